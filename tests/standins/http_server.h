#ifndef TESTS_STANDINS_HTTP_SERVER_H_
#define TESTS_STANDINS_HTTP_SERVER_H_

#include <functional>
#include <string>

#include "gg_http/http_types.h"

namespace greengage::standins {

/** A connection that a stand-in's HTTP server has accepted. */
struct ClientConnection {
  explicit ClientConnection(asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::string address;
  /** Each response is preceded by the one before it, sent once more. */
  bool repeats_responses = false;
  std::string last_response;  // while `repeats_responses`
};

/** Handles one request. The header has been read, the body has not. Returns
    false if the server must close the connection. */
using RequestHandler = std::function<asio::awaitable<bool>(
    ClientConnection* connection, RequestParser* request)>;

/** Accepts connections on `address` ("ip:port") and passes each request to
    `handler`. The handler runs on the thread that runs `context`. Exits the
    process with a message if the address is invalid or cannot be bound. */
void Listen(asio::io_context* context, const std::string& address,
            RequestHandler handler);

/** Appends the whole request body to `body`. Returns false if the connection
    fails. */
asio::awaitable<bool> ReadBody(ClientConnection* connection,
                               RequestParser* request, std::string* body);

/** Sends a complete response. Returns true if the connection can be reused. */
asio::awaitable<bool> Send(ClientConnection* connection,
                           const RequestParser& request,
                           http::response<http::string_body> response);

/** Sends a JSON response with status 200. Returns true if the connection can be
    reused. */
asio::awaitable<bool> SendJson(ClientConnection* connection,
                               const RequestParser& request, std::string text);

}  // namespace greengage::standins

#endif  // TESTS_STANDINS_HTTP_SERVER_H_
