#include "gg_store/asio.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <charconv>

namespace greengage {

std::optional<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  ErrorCode error;
  const auto address =
      asio::ip::make_address(std::string(text.substr(0, colon)), error);
  uint16_t port = 0;
  const std::string_view digits = text.substr(colon + 1);
  const auto [end, parse_error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool is_valid = !error && parse_error == std::errc() &&
                        end == digits.data() + digits.size();
  if (!is_valid) return std::nullopt;
  return asio::ip::tcp::endpoint(address, port);
}

bool IsOpenAndIdle(asio::ip::tcp::socket& socket) {
  char byte = 0;
  const ssize_t count =
      ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool HasPeerClosed(asio::ip::tcp::socket& socket) {
  pollfd descriptor{
      .fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

bool HasConnectionFailed(asio::ip::tcp::socket& socket) {
  // POLLERR and POLLHUP are always reported.
  pollfd descriptor{.fd = socket.native_handle(), .events = 0, .revents = 0};
  return ::poll(&descriptor, 1, 0) > 0;
}

Duration TimeSinceLastReceived(asio::ip::tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int result =
      ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  if (result != 0) return Duration::zero();
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace greengage
