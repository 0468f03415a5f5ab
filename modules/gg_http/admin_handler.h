#ifndef GG_HTTP_ADMIN_HANDLER_H_
#define GG_HTTP_ADMIN_HANDLER_H_

#include <functional>
#include <string>

#include "gg_http/caller_connection.h"
#include "gg_http/http_types.h"
#include "gg_steering/steering.h"

namespace greengage {

class Metrics;

/** Serves the read-only endpoints for operators under /.greengage/: health,
    status, metrics, document and explain. Used on its io_context's thread
    only. */
class AdminHandler {
 public:
  struct Options {
    Steering* steering = nullptr;  // not owned
    Metrics* metrics = nullptr;    // not owned
    /** Returns the status of the control thread as the text of a JSON object.
     */
    std::function<std::string()> control_status;
    /** Returns the text of the document in force. */
    std::function<std::string()> document_text;
    /** Returns the reason why the daemon is unhealthy, or "" if it is healthy.
     */
    std::function<std::string()> health_problem;
  };

  explicit AdminHandler(Options options) : options_(std::move(options)) {}

  /** Handles one request and sends the response. */
  asio::awaitable<HandlerResult> Handle(CallerConnection* caller,
                                        const RequestParser& request);

 private:
  http::response<http::string_body> MakeResponse(std::string_view target) const;
  std::string MakeStatusJson() const;
  http::response<http::string_body> MakeExplainResponse(
      std::string_view target) const;
  void UpdateGauges() const;

  Options options_;
};

}  // namespace greengage

#endif  // GG_HTTP_ADMIN_HANDLER_H_
