#ifndef GG_STORE_ASIO_H_
#define GG_STORE_ASIO_H_

// Boost.Asio 1.74 uses std::exchange without including it, so this comes first.
// clang-format off
#include <utility>
// clang-format on

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "gg_core/time.h"

namespace greengage {

namespace asio = boost::asio;

using ErrorCode = boost::system::error_code;

/** Returns a completion token that suspends the coroutine until the operation
    has completed and stores its result in `*error` instead of throwing. */
inline auto Await(ErrorCode* error) {
  return asio::redirect_error(asio::use_awaitable, *error);
}

/** Suspends the calling coroutine for `duration`. */
inline asio::awaitable<void> SleepFor(Duration duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  ErrorCode ignored;
  co_await timer.async_wait(Await(&ignored));
}

/** Parses "ip:port". Returns nullopt when `text` is not such an address. */
std::optional<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view text);

/** Returns true when the peer has neither closed the connection nor sent data
    that is still unread. Does not block. */
bool IsOpenAndIdle(asio::ip::tcp::socket& socket);

/** Returns true when the peer has closed or reset the connection, even if bytes
    that it sent before are still unread. Does not block. */
bool HasPeerClosed(asio::ip::tcp::socket& socket);

/** Returns true when the connection has ended by an error, such as a reset,
   even if the error has been reported already: a failed write takes it from the
   socket, and a read then reports an orderly end. The sending side must not
   have been shut down. Does not block. */
bool HasConnectionFailed(asio::ip::tcp::socket& socket);

/** Returns the time since the newest bytes of the connection arrived, whether
   or not they have been read; zero when the system does not tell. */
Duration TimeSinceLastReceived(asio::ip::tcp::socket& socket);

}  // namespace greengage

#endif  // GG_STORE_ASIO_H_
