#ifndef GG_ENTRY_MESSAGE_CODEC_H_
#define GG_ENTRY_MESSAGE_CODEC_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gg_core/time.h"
#include "gg_http/http_types.h"
#include "gg_request/target_load.h"

namespace greengage {

/** Header fields of a caller's request, other than method, path and host. */
struct CallerFields {
  std::string request_id;             // empty: none
  std::string object;                 // affinity key; empty: none
  std::optional<Duration> time_left;  // how long the caller will wait
  std::string api_key;                // secret: not logged; empty: none
};

/** Header fields of a target's response, other than status and framing. */
struct TargetFields {
  std::string request_id;       // of the request that this is the response to
  bool is_signed = false;       // carries the target's signature
  bool was_not_run = false;     // the target did not run the request
  bool is_misdirected = false;  // another target has the address now
  bool has_content_encoding = false;  // the body is not in identity encoding
  std::optional<TargetLoad> load;
  /** Requests per second that the target takes from all daemons together. */
  std::optional<double> rate_limit;
  /** The value of a rate limit that can't be read; empty when there is none. */
  std::string invalid_rate_limit;
  bool is_leaving = false;  // the target says that it is leaving
  /** For how long a target that refused the request wants no other one. */
  std::optional<Duration> pause;
  /** A pause that can't be read; empty when there is none. */
  std::string invalid_pause;
  /** How long the target keeps an idle connection open. */
  std::optional<Duration> keep_alive_timeout;
};

/** A caller's lookup of the entry hosts to connect to. */
struct LookupQuery {
  std::string region;
  std::string zone;
};

/** Response to a lookup. */
struct LookupResponse {
  std::vector<std::string> addresses;  // "ip:port"
  Duration lifetime{};                 // how long callers may cache it
};

/** Encodes and decodes header fields and lookups in the platform's format;
    supplied by the platform's adapter. All hooks may be called from any
    thread. */
struct MessageCodec {
  std::function<CallerFields(const http::fields& fields)> decode_caller_fields;
  /** Sets the fields that a request to a target carries in addition to the
      caller's own. */
  std::function<void(Duration time_left, const std::string& target_id,
                     http::fields* fields)>
      prepare_target_request;
  /** Removes the caller's key and tenant from a request to a target, and sets
      the tenant's name unless it is empty. */
  std::function<void(const std::string& tenant, http::fields* fields)>
      replace_credentials;
  /** Sets the fields of a response that this daemon generates itself. */
  std::function<void(const std::string& request_id, http::fields* fields)>
      prepare_own_response;
  std::function<TargetFields(const ResponseHeader& header)>
      decode_target_fields;
  /** Returns nothing when the path is not that of a lookup. */
  std::function<std::optional<LookupQuery>(std::string_view path)>
      decode_lookup_query;
  std::function<std::string(const LookupResponse& response)>
      encode_lookup_response;
  std::function<bool(std::string_view path)> is_readiness_check;
};

}  // namespace greengage

#endif  // GG_ENTRY_MESSAGE_CODEC_H_
