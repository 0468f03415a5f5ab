#ifndef GG_ENTRY_MESSAGE_CODEC_H_
#define GG_ENTRY_MESSAGE_CODEC_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gg_core/time.h"
#include "gg_http/http_types.h"

namespace greengage {

/** What a caller's header says beyond method, path and host. */
struct CallerFields {
  std::string request_id;             // empty: none
  std::string object;                 // what the request is about; empty: none
  std::optional<Duration> time_left;  // how long the caller waits
};

/** What the header of a target's answer says beyond status and framing. */
struct TargetFields {
  std::string request_id;       // that of the request it answers
  bool is_signed = false;       // bears the target's signature
  bool was_not_run = false;     // the target vouches that it did not run it
  bool is_misdirected = false;  // another target has the address now
  bool has_content_encoding = false;  // not the plain bytes that were asked for
  std::optional<double> load;         // requests running and waiting there
  std::optional<Duration>
      keep_alive_timeout;  // how long it keeps the connection
};

/** A caller's look-up of where to connect. */
struct LookupQuery {
  std::string region;
  std::string zone;
};

/** Answer to a look-up. */
struct LookupResponse {
  std::vector<std::string> addresses;
  Duration lifetime{};
};

/** How header fields and look-ups are spelled, filled in by the adapter of the
    platform in use. All hooks may be called from any thread. */
struct MessageCodec {
  std::function<CallerFields(const http::fields& fields)> decode_caller_fields;
  /** Sets what a request to a target bears beside the caller's own fields. */
  std::function<void(Duration time_left, const std::string& target_id,
                     http::fields* fields)>
      prepare_target_request;
  /** Sets what an answer of the system's own bears. */
  std::function<void(const std::string& request_id, http::fields* fields)>
      prepare_own_response;
  std::function<TargetFields(const ResponseHeader& header)>
      decode_target_fields;
  /** Nothing when the path is no look-up. */
  std::function<std::optional<LookupQuery>(std::string_view path)>
      decode_lookup_query;
  std::function<std::string(const LookupResponse& answer)>
      encode_lookup_response;
  std::function<bool(std::string_view path)> is_readiness_check;
};

}  // namespace greengage

#endif  // GG_ENTRY_MESSAGE_CODEC_H_
