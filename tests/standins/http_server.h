#ifndef TESTS_STANDINS_HTTP_SERVER_H_
#define TESTS_STANDINS_HTTP_SERVER_H_

#include <functional>
#include <string>

#include "gg_http/http_types.h"

namespace greengage::standins {

/** One connection of a stand-in. */
struct ClientConnection {
  explicit ClientConnection(asio::ip::tcp::socket socket)
      : stream(std::move(socket)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  std::string address;
};

/** Handles one request whose header was read; false ends the connection. */
using RequestHandler = std::function<asio::awaitable<bool>(
    ClientConnection* connection, RequestParser* request)>;

/** Accepts on `address` and serves each connection with `handler`. Prints a
    message and ends the process when the address cannot be bound. */
void Listen(asio::io_context* context, const std::string& address,
            RequestHandler handler);

/** Reads the whole body into a string. */
asio::awaitable<bool> ReadBody(ClientConnection* connection,
                               RequestParser* request, std::string* body);

/** Sends a whole answer. */
asio::awaitable<bool> Send(ClientConnection* connection,
                           const RequestParser& request,
                           http::response<http::string_body> response);

/** Sends a JSON answer with status 200. */
asio::awaitable<bool> SendJson(ClientConnection* connection,
                               const RequestParser& request, std::string text);

}  // namespace greengage::standins

#endif  // TESTS_STANDINS_HTTP_SERVER_H_
