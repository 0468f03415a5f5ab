// Responses that greengagectl must not take for those of a daemon.

#include "gg_ctl/http_get.h"

#include <boost/asio/write.hpp>
#include <thread>

#include "entry/odd_peers.h"
#include "gg_http/http_types.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

constexpr char kAddress[] = "127.0.7.6:18217";

TEST_GROUP(HttpGet) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor{io, *ParseEndpoint(kAddress)};

  /** Calls a daemon that responds with `response` and closes. */
  absl::StatusOr<std::string> Get(const std::string& response) {
    std::thread daemon([&] {
      ErrorCode error;
      asio::ip::tcp::socket socket = acceptor.accept();
      std::string request(1024, '\0');
      socket.read_some(asio::buffer(request), error);
      asio::write(socket, asio::buffer(response), error);
    });
    auto body = HttpGet(kAddress, "/status", std::chrono::seconds(5));
    daemon.join();
    return body;
  }

  /** Checks that a call of a daemon that sends `message` fails early. */
  void CheckEndsEarly(const EndlessMessage& message) {
    size_t sent_bytes = 0;
    io.restart();
    asio::co_spawn(io, SendWithoutEnd(&acceptor, message, &sent_bytes),
                   asio::detached);
    std::thread daemon([this] { io.run(); });
    const auto body = HttpGet(kAddress, "/status", std::chrono::seconds(2));
    daemon.join();
    CHECK_FALSE_TEXT(body.ok(), message.Name().c_str());
    CHECK_TRUE_TEXT(sent_bytes < kMaxEndlessBytes, message.Name().c_str());
  }

  void CheckAreNoResponses(const std::vector<std::string>& responses) {
    for (const std::string& response : responses) {
      CHECK_FALSE_TEXT(Get(response).ok(), response.c_str());
    }
  }
};

TEST(HttpGet, ValidResponse_ReturnsItsBody) {
  const auto body = Get(ResponseWithStatusLine("HTTP/1.1 200 OK", "hello"));
  CHECK_TRUE(body.ok());
  STRCMP_EQUAL("hello", body->c_str());
}

TEST(HttpGet, InvalidStatusLine_IsNoResponse) {
  CheckAreNoResponses(ResponsesWithInvalidStatusLines());
}

TEST(HttpGet, InvalidField_IsNoResponse) {
  CheckAreNoResponses(ResponsesWithInvalidFields());
  CheckAreNoResponses(ResponsesWithInvalidTrailers());
}

TEST(HttpGet, InvalidFraming_IsNoResponse) {
  CheckAreNoResponses(ResponsesWithInvalidFraming());
  CheckAreNoResponses(ResponsesWithInvalidChunks());
}

TEST(HttpGet, InterimResponse_IsFollowedByTheResponse) {
  const std::string response =
      ResponseWithStatusLine("HTTP/1.1 200 OK", "hello");
  const auto body = Get(InterimHead("103") + InterimHead("100") + response);
  CHECK_TRUE(body.ok());
  STRCMP_EQUAL("hello", body->c_str());
  CHECK_FALSE(Get(InterimHead("101") + response).ok());
}

// As of targets: bytes without end must not fill the memory.
TEST(HttpGet, ResponseWithoutEnd_EndsTheCallEarly) {
  for (const EndlessMessage& message : EndlessResponses()) {
    CheckEndsEarly(message);
  }
  for (const EndlessMessage& message : EndlessBodies()) {
    CheckEndsEarly(message);
  }
}

}  // namespace
}  // namespace greengage
