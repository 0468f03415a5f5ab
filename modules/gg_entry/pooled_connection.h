#ifndef GG_ENTRY_POOLED_CONNECTION_H_
#define GG_ENTRY_POOLED_CONNECTION_H_

#include <memory>

#include "gg_core/time.h"
#include "gg_http/http_types.h"

namespace greengage {

/** A connection to a target, which IdleConnectionPool keeps between
    requests. */
struct PooledConnection {
  explicit PooledConnection(asio::io_context* context) : socket(*context) {}

  asio::ip::tcp::socket socket;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  TimePoint usable_until{};  // set while the connection is idle
};

using PooledConnectionPtr = std::shared_ptr<PooledConnection>;

}  // namespace greengage

#endif  // GG_ENTRY_POOLED_CONNECTION_H_
