// The HTTP server of greengaged, stopped while its thread is behind.

#include "gg_http/traffic_server.h"

#include <thread>
#include <vector>

#include "entry/odd_peers.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

constexpr char kAddress[] = "127.0.7.6:18212";

TEST_GROUP(TrafficServer) {
  asio::io_context io;
  TrafficServer server{{.address = kAddress,
                        .threads = 1,
                        .make_handler = [](asio::io_context*) {
                          return RequestHandler(
                              &TEST_GROUP_CppUTestGroupTrafficServer::Handle);
                        }}};

  /** Responds, for the path "/hold" after holding up the thread. */
  static asio::awaitable<HandlerResult> Handle(CallerConnection * caller,
                                               RequestParser * request) {
    if (request->get().target() == "/hold") {
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    http::response<http::string_body> response(http::status::ok, 11);
    response.prepare_payload();
    ErrorCode error;
    co_await http::async_write(caller->stream, response, Await(&error));
    co_return HandlerResult{true};
  }
  asio::ip::tcp::socket Connect() {
    asio::ip::tcp::socket socket(io);
    socket.connect(*ParseEndpoint(kAddress));
    return socket;
  }
  static void Send(asio::ip::tcp::socket * socket, const std::string& path) {
    asio::write(*socket, asio::buffer("GET " + path +
                                      " HTTP/1.1\r\nHost: shop\r\n\r\n"));
  }
  /** Returns the first bytes of the response; empty if there is none. */
  static std::string ReadStart(asio::ip::tcp::socket * socket) {
    std::string text(64, '\0');
    ErrorCode error;
    text.resize(socket->read_some(asio::buffer(text), error));
    return text;
  }
};

TEST(TrafficServer, RequestsUnreadAtAStop_AreAnswered) {
  CHECK_TRUE(server.Start().ok());
  asio::ip::tcp::socket holder = Connect();
  asio::ip::tcp::socket kept = Connect();
  Send(&kept, "/");
  CHECK_TRUE(ReadStart(&kept).starts_with("HTTP/1.1 200"));
  Send(&holder, "/hold");
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  std::vector<asio::ip::tcp::socket> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(Connect());
    Send(&callers.back(), "/");
  }
  Send(&kept, "/");
  server.StopAccepting();
  server.CloseIdleConnections();
  CHECK_FALSE(server.is_drained());
  CHECK_TRUE(ReadStart(&holder).starts_with("HTTP/1.1 200"));
  CHECK_TRUE(ReadStart(&kept).starts_with("HTTP/1.1 200"));
  for (asio::ip::tcp::socket& socket : callers) {
    CHECK_TRUE(ReadStart(&socket).starts_with("HTTP/1.1 200"));
  }
  callers.clear();
  kept.close();
  holder.close();
  for (int i = 0; i < 200 && !server.is_drained(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK_TRUE(server.is_drained());
  server.Stop();
}

// A header of short lines was taken without a limit.
TEST(TrafficServer, HeaderWithoutEnd_IsRefused) {
  CHECK_TRUE(server.Start().ok());
  asio::ip::tcp::socket caller = Connect();
  CHECK_TRUE(SendHeaderWithoutEnd(&caller).starts_with("HTTP/1.1 431"));
  server.Stop();
}

}  // namespace
}  // namespace greengage
