#include "scenario_runner/http_call.h"

#include "gg_http/http_types.h"

namespace greengage::scenario {
namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(30);

}  // namespace

Reply Send(const Call& call) {
  asio::io_context context{1};
  Reply reply;
  http::request<http::string_body> request(http::string_to_verb(call.method),
                                           call.path, 11);
  request.set(http::field::host, "unset");
  for (const auto& [name, value] : call.headers) request.set(name, value);
  request.body() = call.body;
  request.keep_alive(false);
  request.prepare_payload();
  const auto exchange = [&]() -> asio::awaitable<void> {
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    ErrorCode error;
    stream.expires_after(kCallTimeout);
    const auto endpoint = ParseEndpoint(call.address);
    if (!endpoint) co_return;
    co_await stream.async_connect(*endpoint, Await(&error));
    if (error) co_return;
    co_await http::async_write(stream, request, Await(&error));
    http::response<http::string_body> response;
    co_await http::async_read(stream, buffer, response, Await(&error));
    if (error) co_return;
    reply.status = static_cast<int>(response.result_int());
    reply.outcome = std::string(FromBeast(response[ToBeast(kOutcomeField)]));
    reply.body = std::move(response.body());
  };
  asio::co_spawn(context, exchange(), asio::detached);
  context.run();
  return reply;
}

std::string SendRaw(const std::string& address, const std::string& bytes) {
  asio::io_context context{1};
  std::string response;
  const auto exchange = [&]() -> asio::awaitable<void> {
    beast::tcp_stream stream(context);
    ErrorCode error;
    stream.expires_after(kCallTimeout);
    co_await stream.async_connect(*ParseEndpoint(address), Await(&error));
    if (error) co_return;
    co_await asio::async_write(stream, asio::buffer(bytes), Await(&error));
    std::string chunk(kBodyChunkBytes, '\0');
    while (!error) {
      stream.expires_after(std::chrono::seconds(1));
      const size_t count =
          co_await stream.async_read_some(asio::buffer(chunk), Await(&error));
      response.append(chunk.data(), count);
    }
  };
  asio::co_spawn(context, exchange(), asio::detached);
  context.run();
  return response;
}

void SendAndClose(const std::string& address, const std::string& bytes) {
  asio::io_context context{1};
  asio::ip::tcp::socket socket(context);
  ErrorCode error;
  socket.connect(*ParseEndpoint(address), error);
  if (!error) asio::write(socket, asio::buffer(bytes), error);
}

nlohmann::json FetchJson(const std::string& address, const std::string& path) {
  return nlohmann::json::parse(Send({.address = address, .path = path}).body,
                               nullptr, false);
}

}  // namespace greengage::scenario
