#include "gg_ctl/http_get.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_store/asio.h"
#include "gg_store/response_reading.h"

namespace greengage {
namespace {

asio::awaitable<void> FetchResponse(asio::ip::tcp::endpoint endpoint,
                                    std::string path, Duration timeout,
                                    http::response<http::string_body>* response,
                                    ErrorCode* error) {
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  co_await stream.async_connect(endpoint, Await(error));
  if (*error) co_return;
  http::request<http::empty_body> request(http::verb::get, path, 11);
  request.set(http::field::host, "greengaged");
  request.keep_alive(false);
  co_await http::async_write(stream, request, Await(error));
  if (*error) co_return;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  std::optional<CheckedResponseParser<http::string_body>> parser;
  *error = co_await ReadFinalResponse(
      &stream, &buffer, &parser,
      [](CheckedResponseParser<http::string_body>*) {});
  if (!*error) *response = parser->release();
}

}  // namespace

absl::StatusOr<std::string> HttpGet(const std::string& address,
                                    const std::string& path, Duration timeout) {
  const auto make_error = [&](const std::string& what) {
    return StepError(absl::StatusCode::kUnavailable, Step::kPeerConnect,
                     address, what);
  };
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) return make_error("not an address; write ip:port");
  asio::io_context context{1};
  http::response<http::string_body> response;
  ErrorCode error;
  asio::co_spawn(context,
                 FetchResponse(*endpoint, path, timeout, &response, &error),
                 asio::detached);
  context.run();
  if (error) return make_error(error.message());
  if (response.result() != http::status::ok) {
    return make_error(
        absl::StrCat("status ", response.result_int(), ": ", response.body()));
  }
  return response.body();
}

}  // namespace greengage
