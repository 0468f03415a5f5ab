#ifndef TESTS_ENTRY_ODD_PEERS_H_
#define TESTS_ENTRY_ODD_PEERS_H_

#include <poll.h>

#include <boost/asio/write.hpp>
#include <string>
#include <string_view>
#include <thread>

#include "entry/odd_responses.h"
#include "gg_store/asio.h"

namespace greengage {

/** How a target ends a connection on which a request is still arriving. */
enum class ConnectionEnd { kClose, kReset };

/** Ends a connection; after a close, what still arrives is read, as closing
   with bytes unread would be a reset. */
inline asio::awaitable<void> EndConnection(asio::ip::tcp::socket* socket,
                                           ConnectionEnd end) {
  ErrorCode error;
  if (end == ConnectionEnd::kReset) {
    socket->set_option(asio::socket_base::linger(true, 0), error);
    socket->close(error);
    co_return;
  }
  socket->shutdown(asio::socket_base::shutdown_send, error);
  std::string discarded(64 * 1024, '\0');
  while (!error) {
    co_await socket->async_read_some(asio::buffer(discarded), Await(&error));
  }
}

/** Accepts one connection, writes an unframed response before the request has
    been read, and ends the connection after `pause`. */
inline asio::awaitable<void> ServeEarly(asio::ip::tcp::acceptor* acceptor,
                                        ConnectionEnd end, Duration pause) {
  ErrorCode error;
  asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
  co_await acceptor->async_accept(socket, Await(&error));
  co_await asio::async_write(
      socket, asio::buffer(std::string_view(kUnframedResponse)), Await(&error));
  if (pause > Duration::zero()) co_await SleepFor(pause);
  co_await EndConnection(&socket, end);
}

/** Sends a request whose header has no end, in lines as EndlessResponses(),
   until the server responds or a megabyte is sent.
    @return the first bytes of the response; empty without one in 5 s. */
inline std::string SendHeaderWithoutEnd(asio::ip::tcp::socket* socket) {
  constexpr int kMaxLines = 64 * 1024;
  ErrorCode error;
  socket->set_option(asio::ip::tcp::no_delay(true), error);
  std::string text = "GET /read/ HTTP/1.1\r\nHost: shop\r\nX";
  for (int i = 0; i < kMaxLines && socket->available(error) == 0; ++i) {
    asio::write(*socket, asio::buffer(text), error);
    if (error) break;
    // The first line is read on its own.
    if (i == 0) std::this_thread::sleep_for(std::chrono::milliseconds(50));
    text = "-Pad: aaaaaaa\r\nX";
  }
  constexpr int kWaitMs = 5000;
  pollfd readable{.fd = socket->native_handle(), .events = POLLIN};
  if (::poll(&readable, 1, kWaitMs) <= 0) return "";
  std::string response(64, '\0');
  response.resize(socket->read_some(asio::buffer(response), error));
  return response;
}

/** Accepts one connection and sends `message` until the reader closes the
    connection or has got kMaxEndlessBytes.
    @param sent_bytes  receives the number of bytes sent. */
inline asio::awaitable<void> SendWithoutEnd(asio::ip::tcp::acceptor* acceptor,
                                            EndlessMessage message,
                                            size_t* sent_bytes) {
  *sent_bytes = 0;
  ErrorCode error;
  asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
  co_await acceptor->async_accept(socket, Await(&error));
  const std::string* next = &message.start;
  while (!error && *sent_bytes < kMaxEndlessBytes) {
    *sent_bytes +=
        co_await asio::async_write(socket, asio::buffer(*next), Await(&error));
    next = &message.repeated;
  }
  // Keeps the connection open until the reader closes it.
  std::string discarded(4096, '\0');
  while (!error) {
    co_await socket.async_read_some(asio::buffer(discarded), Await(&error));
  }
}

}  // namespace greengage

#endif  // TESTS_ENTRY_ODD_PEERS_H_
