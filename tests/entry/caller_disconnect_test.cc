// Requests whose callers disconnect. Nothing is sent for a caller that has
// left, and work that may be repeated ends at the target as well.

#include "entry/entry_path_fixture.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;

/** A target may work on for this long after the caller has left. */
constexpr Duration kMaxWorkAfterDisconnect = milliseconds(500);

TEST_GROUP_BASE(CallerDisconnect, EntryPathFixture) {
  asio::io_context io;

  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket socket(io);
    socket.connect(*ParseEndpoint(kTrafficAddress));
    return socket;
  }

  /** Writes a request for a read on `socket` without waiting for the
      response. */
  void WriteRead(asio::ip::tcp::socket * socket, const std::string& path,
                 const std::string& id) {
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, "shop.example");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", "4000");
    http::write(*socket, request);
  }

  /** Waits until a target runs the request. */
  void WaitUntilRunning(const std::string& id) {
    CHECK_TRUE(WaitFor([&] { return world->RunCount(id) > 0; }));
  }
};

TEST(CallerDisconnect, DaemonThatWasBehind_ReportsItsDelay) {
  StartServing();
  StallDaemon(milliseconds(600));
  std::this_thread::sleep_for(milliseconds(800));
  const std::string metrics = SendGet(kHealthAddress, "/metrics").body();
  const std::string name = "greengage_loop_delay_seconds_sum ";
  const size_t found = metrics.find(name);
  CHECK_TRUE(found != std::string::npos);
  const double sum = std::stod(metrics.substr(found + name.size()));
  CHECK_TRUE(sum > 0.4);
}

}  // namespace
}  // namespace greengage
