#ifndef GG_HTTP_LOOKUP_HANDLER_H_
#define GG_HTTP_LOOKUP_HANDLER_H_

#include <functional>
#include <map>
#include <string>

#include "gg_http/caller_connection.h"
#include "gg_http/http_types.h"
#include "gg_steering/steering.h"

namespace greengage {

/** Returns the parameters of a query string. Percent-encoding is not resolved:
   no parameter of ours needs it. */
std::map<std::string, std::string> ParseQuery(std::string_view target);

/** Answers which entry hosts to use: GET /.greengage/lookup?service=NAME, with
    "&key=1" for an idempotency key and "&client=IP" for another client than the
    one that asks. The answer is JSON; its Cache-Control carries the time to
   live.

    Used on its io_context's thread only. */
class LookupHandler {
 public:
  struct Options {
    Steering* steering = nullptr;  // not owned
    std::function<bool()> is_draining;
  };

  explicit LookupHandler(Options options) : options_(std::move(options)) {}

  /** Answers one look-up. */
  asio::awaitable<HandlerResult> Handle(CallerConnection* caller,
                                        const RequestParser& request);

 private:
  http::response<http::string_body> MakeResponse(const CallerConnection& caller,
                                                 std::string_view target) const;

  Options options_;
};

}  // namespace greengage

#endif  // GG_HTTP_LOOKUP_HANDLER_H_
