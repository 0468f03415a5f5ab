#include "gg_entry/target_attempt.h"

#include "gg_http/http_types.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

constexpr char kAddress[] = "127.0.7.6:18210";

/** Runs one attempt at a target that sends bytes without end. */
TEST_GROUP(TargetAttempt) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor{io, *ParseEndpoint(kAddress)};
  ByteBudget response_budget{64 * 1024 * 1024};
  size_t sent_bytes = 0;
  std::optional<AttemptOutcome> outcome;

  /** Accepts one connection and writes `start`, then `repeated` until the
      connection fails. */
  asio::awaitable<void> ServeEndlessly(std::string start,
                                       std::string repeated) {
    ErrorCode error;
    asio::ip::tcp::socket socket(io);
    co_await acceptor.async_accept(socket, Await(&error));
    std::string* next = &start;
    while (!error) {
      sent_bytes +=
          co_await socket.async_write_some(asio::buffer(*next), Await(&error));
      next = &repeated;
    }
  }

  /** Sends a request to a target that responds with `start` and then with
      `repeated` without end. */
  void Run(const std::string& start, const std::string& repeated) {
    asio::co_spawn(io, ServeEndlessly(start, repeated), asio::detached);
    auto request =
        std::make_shared<TargetRequest>(http::verb::get, "/read/", 11);
    const auto attempt = std::make_shared<TargetAttempt>(TargetAttempt::Options{
        .context = &io,
        .endpoint = acceptor.local_endpoint(),
        .make_request = [request] { return request; },
        .connect_timeout = std::chrono::seconds(1),
        .response_budget = &response_budget,
        .on_done =
            [&](AttemptOutcome result) { outcome = std::move(result); }});
    attempt->Start();
    const TimePoint end =
        std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!outcome && std::chrono::steady_clock::now() < end) {
      io.run_one_for(std::chrono::milliseconds(50));
    }
    attempt->Cancel();
    io.run_for(std::chrono::milliseconds(100));
  }
};

TEST(TargetAttempt, InterimResponsesWithoutEnd_FailTheAttempt) {
  Run("", "HTTP/1.1 100 Continue\r\n\r\n");
  CHECK_TRUE(outcome.has_value());
  CHECK_FALSE(outcome->response.has_value());
  CHECK_TRUE(outcome->fault == AttemptFault::kMayHaveRun);
}

TEST(TargetAttempt, ChunkExtensionWithoutEnd_FailsTheAttempt) {
  Run("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
      std::string(16 * 1024, 'a'));
  CHECK_TRUE(outcome.has_value());
  CHECK_FALSE(outcome->response.has_value());
  CHECK_TRUE(outcome->fault == AttemptFault::kMayHaveRun);
}

TEST(TargetAttempt, HeaderWithoutEnd_FailsTheAttempt) {
  Run("HTTP/1.1 200 OK\r\nX: ", std::string(16 * 1024, 'a'));
  CHECK_TRUE(outcome.has_value());
  CHECK_FALSE(outcome->response.has_value());
}

// Attempts that each stay below the limit of one response must not exhaust the
// memory together.
TEST(TargetAttempt, BodyWithoutEnd_StaysWithinTheBudgetOfAllAttempts) {
  constexpr size_t kLimit = 4 * 1024 * 1024;
  response_budget = ByteBudget(kLimit);
  CHECK_TRUE(response_budget.TryTake(kLimit - 1024 * 1024));
  Run("HTTP/1.1 200 OK\r\n\r\n", std::string(64 * 1024, 'a'));
  CHECK_TRUE(outcome.has_value());
  CHECK_FALSE(outcome->response.has_value());
  STRCMP_EQUAL("receive: no memory left for response bodies",
               outcome->reason.c_str());
  // The bytes of the failed attempt are available again.
  CHECK_TRUE(response_budget.TryTake(1024 * 1024));
}

TEST(TargetAttempt, BodyWithoutEnd_FailsTheAttempt) {
  Run("HTTP/1.1 200 OK\r\n\r\n", std::string(64 * 1024, 'a'));
  CHECK_TRUE(outcome.has_value());
  CHECK_FALSE(outcome->response.has_value());
}

}  // namespace
}  // namespace greengage
