#ifndef GG_HTTP_LOOKUP_HANDLER_H_
#define GG_HTTP_LOOKUP_HANDLER_H_

#include <functional>
#include <map>
#include <string>

#include "gg_http/caller_connection.h"
#include "gg_http/http_types.h"
#include "gg_steering/steering.h"

namespace greengage {

/** Returns the query parameters of a request target. Percent-encoding is not
    decoded, because no parameter in use needs it. */
std::map<std::string, std::string> ParseQuery(std::string_view target);

/** Answers look-ups of the entry hosts of a service:
    GET /.greengage/lookup?service=NAME. With "&key=1" the response includes an
    issued idempotency key; "&client=IP" looks up on behalf of another client.
    The response is JSON. Its Cache-Control field carries the time to live,
    except with a key, which must not be cached.

    Used on its io_context's thread only. */
class LookupHandler {
 public:
  struct Options {
    Steering* steering = nullptr;  // not owned
    /** Returns true while the process shuts down; no key is issued then, and
        the connection is closed after the response. */
    std::function<bool()> is_draining;
  };

  explicit LookupHandler(Options options) : options_(std::move(options)) {}

  /** Handles one look-up and sends the response. */
  asio::awaitable<HandlerResult> Handle(CallerConnection* caller,
                                        const RequestParser& request);

 private:
  http::response<http::string_body> MakeResponse(const CallerConnection& caller,
                                                 std::string_view target) const;

  Options options_;
};

}  // namespace greengage

#endif  // GG_HTTP_LOOKUP_HANDLER_H_
