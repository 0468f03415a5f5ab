// Requests that arrive at a daemon after SIGTERM, while it still accepts them.

#include "entry/entry_path_fixture.h"

namespace greengage {
namespace {

/** Longer than the time for which a stopping daemon counts on callers that have
    not repeated their lookup, and shorter than that in which it accepts
    connections; of the fixture's grace time of 2 s. */
constexpr std::chrono::milliseconds kLate{950};

constexpr int kLongTimeLimitMs = 4000;

void SleepFor(std::chrono::milliseconds duration) {
  std::this_thread::sleep_for(duration);
}

TEST_GROUP_BASE(PlannedStop, EntryPathFixture){
    /** Waits until the daemon has stopped and its connections are closed. */
    void WaitUntilStopped(){thread.join();
daemon.reset();
}  // namespace

/** Sends a request while the daemon stops.
    @return the response; status 0 if the connection was closed without. */
Response SendUntilStopped(const std::function<Response()>& send) {
  Response response;
  std::thread caller([&] { response = send(); });
  WaitUntilStopped();
  caller.join();
  return response;
}

/** Sends an order on a connection that has carried a request before. */
Response SendOrderOnKeptConnection(asio::ip::tcp::socket* socket,
                                   const std::string& path) {
  http::request<http::string_body> request(http::verb::post, path, 11);
  request.set(http::field::host, "shop.example");
  request.set("Request-Id", last_id = absl::StrCat("id-", next_id++));
  request.set("Deadline-Ms", "4000");
  request.body() = "two";
  request.prepare_payload();
  ErrorCode error;
  http::write(*socket, request, error);
  beast::flat_buffer buffer;
  Response response;
  response.result(0U);
  if (error || !IsReadableWithin(socket, kResponseTimeout)) return response;
  http::read(*socket, buffer, response, error);
  if (error) response.result(0U);
  return response;
}
};  // namespace greengage

// Replays review/3: orders that a stopping daemon took late were still running
// when its process exited, and got no response.
TEST(PlannedStop, LateOrderThatMayOutlastTheProcess_IsRefusedAsNotRun) {
  StartServing(kLongTimeLimitMs);
  std::raise(SIGTERM);
  SleepFor(kLate);
  const Response response =
      SendUntilStopped([this] { return SendOrder("slow"); });
  LONGS_EQUAL(503, response.result_int());
  CHECK_FALSE(response.keep_alive());
  CHECK_TRUE(response.find(http::field::retry_after) != response.end());
  LONGS_EQUAL(0, world->RunCount(last_id));
}

TEST(PlannedStop, LateOrderOnAKeptConnection_IsRefusedAsNotRun) {
  StartServing(kLongTimeLimitMs);
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect(*ParseEndpoint(kTrafficAddress));
  LONGS_EQUAL(200, SendOrderOnKeptConnection(&socket, "/order/").result_int());
  std::raise(SIGTERM);
  SleepFor(kLate);
  const Response response = SendUntilStopped(
      [&] { return SendOrderOnKeptConnection(&socket, "/order/slow"); });
  LONGS_EQUAL(503, response.result_int());
  LONGS_EQUAL(0, world->RunCount(last_id));
}

TEST(PlannedStop, LateOrderThatEndsBeforeTheProcess_IsServed) {
  StartServing(kLongTimeLimitMs);
  std::raise(SIGTERM);
  SleepFor(kLate);
  const Response response = SendUntilStopped([this] {
    return SendRequest(http::verb::post, kTrafficAddress, "/order/", "late",
                       "two", "300");
  });
  LONGS_EQUAL(200, response.result_int());
}

// Callers use a lookup until it expires, so a host is sent requests for some
// time after SIGTERM. Its routes have lately been fast.
TEST(PlannedStop, EarlyOrderOnAFastRoute_IsServed) {
  StartServing(kLongTimeLimitMs);
  LONGS_EQUAL(200, SendOrder("").result_int());
  std::raise(SIGTERM);
  SleepFor(std::chrono::milliseconds(200));
  const Response response = SendUntilStopped([this] { return SendOrder(""); });
  LONGS_EQUAL(200, response.result_int());
}

// The platform ends the process at the end of the grace time that was in force
// at SIGTERM; a change of the settings must not cut requests before.
TEST(PlannedStop, GraceTimeShortenedDuringTheStop_InterruptsNoRequest) {
  StartServing(kLongTimeLimitMs);
  std::raise(SIGTERM);
  SleepFor(std::chrono::milliseconds(100));
  world->SetFaults({.work_ms = 1000});
  Response response;
  std::thread caller([&] {
    response = SendRequest(http::verb::post, kTrafficAddress, "/order/",
                           "early", "two", "1200");
  });
  SleepFor(std::chrono::milliseconds(200));
  WriteSettings(1);
  std::raise(SIGHUP);
  WaitUntilStopped();
  caller.join();
  LONGS_EQUAL(200, response.result_int());
}

}  // namespace
}  // namespace greengage
