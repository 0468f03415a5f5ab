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

/** Who holds the claim on an order whose idempotency key the caller chose. */
enum class ClaimState {
  kOwnedBySelf,  // this process, which alone may run the order
  kOwnedByPeer,  // another process, which alone may run the order
  kAnswered,     // the order ran and its answer is recorded
  kUnavailable,  // not known: see OrderClaim::error
};

/** A claim as read from or written to the store. */
struct OrderClaim {
  ClaimState state = ClaimState::kUnavailable;
  uint64_t revision = 0;      // of the claim in the store, for RecordAnswer()
  std::string owner_address;  // traffic address, with kOwnedByPeer
  OrderAnswer answer;         // with kAnswered
  absl::Status error;         // with kUnavailable
};

/** Claims orders in the platform's store, with one store key per order.

    A claim names one process. It is created by compare-and-swap before the
    first byte of the order is sent, and no other process takes it over. If the
    store's response to a claim is lost, this process recognises the claim as
    its own when it reads it back.

    Claims expire with their lease, after at least `kMinClaimLifetime`. The
    claims made within about an hour share one lease.

    Used on its io_context's thread only. */
class OrderClaims {
 public:
  /** Minimum time for which the store keeps a claim. */
  static constexpr Duration kMinClaimLifetime = std::chrono::hours(24);

  struct Options {
    StoreClient* store = nullptr;  // not owned
    std::string prefix;            // of the store keys
    HostId self;
    std::string traffic_address;
    TimePoint started_at{};
    /** Age up to which a claim of this process, for which the ledger has no
        record, proves that the order was never started. It must be shorter than
        the time for which the ledger keeps records. */
    Duration max_own_claim_age = std::chrono::minutes(10);
  };

  explicit OrderClaims(Options options) : options_(std::move(options)) {}

  //==============================================================================
  /** Claims an order, or reads who has claimed it.
      @param order  "SERVICE/KEY". */
  asio::awaitable<OrderClaim> Claim(std::string order);

  /** Records the answer to an order that this process has run. A failure of the
      store is ignored.
      @param revision  OrderClaim::revision of the claim. */
  asio::awaitable<void> RecordAnswer(std::string order, uint64_t revision,
                                     OrderAnswer answer);

 private:
  StoreCompareAndSwap MakeSwap(const std::string& order,
                               uint64_t expected_revision,
                               std::string value) const;
  std::string StoreKey(const std::string& order) const;

  /** Obtains a new lease if the present one is too old to be shared. */
  asio::awaitable<absl::Status> EnsureLease();

  /** Parses a stored claim and finds out who owns it. */
  OrderClaim ParseClaim(const std::string& value, uint64_t revision) const;

  /** Like ParseClaim(), but throws for a claim that can't be read. */
  OrderClaim DecodeClaim(const std::string& value, uint64_t revision) const;

  Options options_;
  int64_t lease_id_ = 0;
  TimePoint lease_granted_at_{};
};

}  // namespace greengage

#endif  // GG_HTTP_ORDER_CLAIMS_H_
