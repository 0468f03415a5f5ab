#include "standins/http_server.h"

#include <iostream>
#include <sstream>

namespace greengage::standins {
namespace {

asio::awaitable<void> ServeConnection(asio::ip::tcp::socket socket,
                                      RequestHandler handler) {
  ErrorCode error;
  socket.set_option(asio::ip::tcp::no_delay(true), error);
  ClientConnection connection(std::move(socket));
  for (;;) {
    RequestParser request;
    request.body_limit(kUnlimitedBody);
    co_await http::async_read_header(connection.stream, connection.buffer,
                                     request, Await(&error));
    if (error) co_return;
    if (!co_await handler(&connection, &request)) co_return;
  }
}

asio::awaitable<void> AcceptConnections(
    asio::io_context* context,
    std::shared_ptr<asio::ip::tcp::acceptor> acceptor, RequestHandler handler) {
  for (;;) {
    asio::ip::tcp::socket socket(*context);
    ErrorCode error;
    co_await acceptor->async_accept(socket, Await(&error));
    if (error) co_return;
    asio::co_spawn(*context, ServeConnection(std::move(socket), handler),
                   asio::detached);
  }
}

}  // namespace

void Listen(asio::io_context* context, const std::string& address,
            RequestHandler handler) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    std::cerr << "'" << address << "' is not a valid address\n";
    std::exit(2);
  }
  try {
    auto acceptor =
        std::make_shared<asio::ip::tcp::acceptor>(*context, *endpoint);
    asio::co_spawn(*context,
                   AcceptConnections(context, acceptor, std::move(handler)),
                   asio::detached);
  } catch (const std::exception& error) {
    std::cerr << address << ": " << error.what() << "\n";
    std::exit(1);
  }
}

asio::awaitable<bool> ReadBody(ClientConnection* connection,
                               RequestParser* request, std::string* body) {
  std::string chunk(kBodyChunkBytes, '\0');
  while (!request->is_done()) {
    request->get().body().data = chunk.data();
    request->get().body().size = chunk.size();
    ErrorCode error;
    co_await http::async_read_some(connection->stream, connection->buffer,
                                   *request, Await(&error));
    if (error == http::error::need_buffer) error = {};
    if (error) co_return false;
    body->append(chunk.data(), chunk.size() - request->get().body().size);
  }
  co_return true;
}

asio::awaitable<bool> Send(ClientConnection* connection,
                           const RequestParser& request,
                           http::response<http::string_body> response) {
  response.keep_alive(request.get().keep_alive());
  response.prepare_payload();
  if (request.get().method() == http::verb::head) response.body().clear();
  ErrorCode error;
  if (connection->repeats_responses) {
    const std::string repeated = std::move(connection->last_response);
    std::ostringstream text;
    text << response;
    connection->last_response = text.str();
    co_await asio::async_write(connection->stream, asio::buffer(repeated),
                               Await(&error));
  }
  if (!error) {
    co_await http::async_write(connection->stream, response, Await(&error));
  }
  co_return !error && response.keep_alive();
}

asio::awaitable<bool> SendJson(ClientConnection* connection,
                               const RequestParser& request, std::string text) {
  http::response<http::string_body> response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(text);
  co_return co_await Send(connection, request, std::move(response));
}

}  // namespace greengage::standins
