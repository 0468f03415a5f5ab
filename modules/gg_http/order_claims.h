#ifndef GG_HTTP_ORDER_CLAIMS_H_
#define GG_HTTP_ORDER_CLAIMS_H_

#include <cstdint>
#include <string>

#include "absl/status/status.h"
#include "gg_core/host_id.h"
#include "gg_core/time.h"
#include "gg_steering/order_ledger.h"
#include "gg_store/asio.h"
#include "gg_store/store_types.h"

namespace greengage {

class StoreClient;

/** Who holds the claim on an order with a key of the caller's own. */
enum class ClaimState {
  kOwn,          // this process: only it may run the order
  kElsewhere,    // another process: it alone may run it
  kAnswered,     // the order ran and the answer is recorded
  kUnavailable,  // the store could not tell
};

/** What is known of a claim. */
struct OrderClaim {
  ClaimState state = ClaimState::kUnavailable;
  uint64_t revision = 0;      // of the claim, for Record()
  std::string owner_address;  // traffic address, with kElsewhere
  OrderAnswer answer;         // with kAnswered
  absl::Status error;         // with kUnavailable
};

/** Claims on orders in the platform's store, one key an order.

    A claim is made by compare-and-swap before the first byte of an order
   leaves, names one process, and is never taken over. A claim that this process
   made and whose answer was lost is recognised when it is met again. Claims go
   after `kClaimLifetime` with a lease shared by all claims of about an hour.

    Used on its io_context's thread only. */
class OrderClaims {
 public:
  /** Time for which a claim is remembered at least. */
  static constexpr Duration kClaimLifetime = std::chrono::hours(24);

  struct Options {
    StoreClient* store = nullptr;  // not owned
    std::string prefix;            // of the keys
    HostId self;
    std::string traffic_address;
    TimePoint started_at{};
    /** Age up to which an own claim without a ledger record proves that the
        order was never started; shorter than the ledger's memory. */
    Duration own_claim_age = std::chrono::minutes(10);
  };

  explicit OrderClaims(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Claims the order or finds who has it.
      @param order  service and key. */
  asio::awaitable<OrderClaim> Claim(std::string order);

  /** Records the answer of an order that this process has run. Best effort. */
  asio::awaitable<void> Record(std::string order, uint64_t revision,
                               OrderAnswer answer);

 private:
  StoreCompareAndSwap MakeSwap(const std::string& order,
                               uint64_t expected_revision,
                               std::string value) const;
  std::string KeyOf(const std::string& order) const;
  asio::awaitable<absl::Status> EnsureLease();
  OrderClaim Read(const std::string& value, uint64_t revision) const;

  Options options_;
  int64_t lease_ = 0;
  TimePoint lease_granted_at_{};
};

}  // namespace greengage

#endif  // GG_HTTP_ORDER_CLAIMS_H_
