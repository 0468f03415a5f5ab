#include <thread>
#include <vector>

#include "entry/odd_peers.h"
#include "gg_entry/http_listener.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

constexpr char kAddress[] = "127.0.7.6:18211";

TimePoint Now() { return std::chrono::steady_clock::now(); }

/** A listener with one idle connection of a caller. The test runs the event
   loop, so that input stays unread until then. */
TEST_GROUP(HttpSession) {
  asio::io_context io;
  TrafficLimits limits;
  HttpListener listener{
      &io,
      {.address = kAddress,
       .handler =
           [](const HttpSessionPtr& session, const SessionRequest&) {
             SessionResponse response(http::status::ok, 11);
             response.prepare_payload();
             session->Respond(std::move(response), false);
           },
       .limits = [this] { return limits; },
       .max_sessions = 10}};
  asio::ip::tcp::socket caller{io};

  void setup() override {
    CHECK_TRUE(listener.Start().ok());
    caller.connect(*ParseEndpoint(kAddress));
    RunEventLoop();
  }

  void RunEventLoop() { io.run_for(std::chrono::milliseconds(50)); }

  void SendRequest() {
    const std::string request = "GET /read/ HTTP/1.1\r\nHost: shop\r\n\r\n";
    asio::write(caller, asio::buffer(request));
  }

  /** Returns the first bytes of the response; empty if the connection was
      closed. */
  std::string ReadResponse() {
    RunEventLoop();
    std::string text(64, '\0');
    ErrorCode error;
    text.resize(caller.read_some(asio::buffer(text), error));
    return text;
  }
};

// Replays grown Gantnet's hunt-eb89-3: a daemon that was stopping closed a kept
// connection on which a request lay unread.
TEST(HttpSession, RequestUnreadWhenIdleConnectionsAreClosed_IsAnswered) {
  SendRequest();
  listener.CloseIdle();
  CHECK_TRUE(ReadResponse().starts_with("HTTP/1.1 200"));
}

TEST(HttpSession, RequestUnreadAtTheIdleTimeout_IsAnswered) {
  limits.idle_timeout = std::chrono::milliseconds(10);
  SendRequest();
  listener.CheckTimeouts(Now() + std::chrono::seconds(1));
  CHECK_TRUE(ReadResponse().starts_with("HTTP/1.1 200"));
}

// Callers opened connections and sent requests just before a stopping daemon
// closed its acceptor. The kernel had accepted them, the daemon had not.
TEST(HttpSession, RequestsUnacceptedWhenAcceptingStops_AreAnswered) {
  constexpr int kCallerCount = 8;
  std::vector<asio::ip::tcp::socket> callers;
  for (int i = 0; i < kCallerCount; ++i) {
    callers.emplace_back(io);
    callers.back().connect(*ParseEndpoint(kAddress));
    const std::string request = "GET /read/ HTTP/1.1\r\nHost: shop\r\n\r\n";
    asio::write(callers.back(), asio::buffer(request));
  }
  listener.StopAccepting();
  listener.CloseIdle();
  CHECK_TRUE(listener.OpenConnections() >= kCallerCount);
  RunEventLoop();
  for (asio::ip::tcp::socket& socket : callers) {
    std::string text(64, '\0');
    ErrorCode error;
    text.resize(socket.read_some(asio::buffer(text), error));
    CHECK_TRUE(text.starts_with("HTTP/1.1 200"));
    socket.close();
  }
  RunEventLoop();
  LONGS_EQUAL(0, listener.OpenConnections());
}

// A field of a trailer above Beast's limit of 64 KiB makes it throw.
TEST(HttpSession, OddTrailerOfARequest_ClosesTheConnectionOnly) {
  const std::string request =
      "POST /order/ HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n"
      "\r\n2\r\nab\r\n0\r\nX-Pad: " +
      std::string(70'000, 'a') + "\r\n\r\n";
  std::thread writer([&] {
    ErrorCode error;
    asio::write(caller, asio::buffer(request), error);
  });
  RunEventLoop();
  writer.join();
  CHECK_TRUE(ReadResponse().starts_with("HTTP/1.1 400"));
}

// A header of short lines was taken without a limit.
TEST(HttpSession, HeaderWithoutEnd_IsRefused) {
  std::thread server([this] { io.run_for(std::chrono::seconds(5)); });
  const std::string response = SendHeaderWithoutEnd(&caller);
  io.stop();
  server.join();
  CHECK_TRUE(response.starts_with("HTTP/1.1 431"));
}

TEST(HttpSession, IdleConnection_IsClosed) {
  listener.CloseIdle();
  STRCMP_EQUAL("", ReadResponse().c_str());
}

}  // namespace
}  // namespace greengage
