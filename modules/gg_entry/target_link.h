#ifndef GG_ENTRY_TARGET_LINK_H_
#define GG_ENTRY_TARGET_LINK_H_

#include <memory>

#include "gg_core/time.h"
#include "gg_http/http_types.h"

namespace greengage {

/** One connection to a target. */
struct TargetLink {
  explicit TargetLink(asio::io_context* context) : socket(*context) {}

  asio::ip::tcp::socket socket;
  beast::flat_buffer buffer;
  TimePoint usable_until{};  // while idle
};

using TargetLinkPtr = std::shared_ptr<TargetLink>;

}  // namespace greengage

#endif  // GG_ENTRY_TARGET_LINK_H_
