#ifndef GG_STEERING_LOAN_BROKER_H_
#define GG_STEERING_LOAN_BROKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gg_core/random.h"
#include "gg_core/time.h"
#include "gg_steering/peer_message.h"

namespace greengage {

class Steering;

/** Loan request and the peer to send it to. */
struct OutgoingLoanRequest {
  std::string address;  // peer address
  LoanRequest request;
};

/** Requests loans of permits from peers for regions in which this daemon runs
    short of them, and answers the loan requests of peers.

    The borrower counts the term of a loan from the moment at which it sent the
    request. This is before the lender subtracted the permits, so the loan ends
    at the borrower first. Not thread-safe. */
class LoanBroker {
 public:
  struct Options {
    /** Utilization of a region's limit above which permits are requested, as a
        fraction. */
    double high_watermark = 0.7;
    /** Number of peers asked in each round for one region. */
    int peers_per_round = 2;
    /** Least time between two rounds for one region. */
    Duration round_interval = std::chrono::milliseconds(250);
  };

  /** @param steering  its budgets are lent from and added to; not owned, must
                       outlive this object.
      @param seed  of the random choice of peers. */
  LoanBroker(Options options, Steering* steering, uint64_t seed)
      : options_(options), steering_(steering), random_(seed) {}

  //==============================================================================
  /** Returns the loan requests to send now.
      @param peers  addresses of the living daemons other than this one. */
  std::vector<OutgoingLoanRequest> Tick(const std::vector<std::string>& peers,
                                        TimePoint now);

  /** Returns the grant that answers a peer's request, or nothing when no permit
      can be lent. */
  std::optional<LoanGrant> OnRequest(const LoanRequest& request, TimePoint now);

  /** Adds the permits of a grant to the budget. A grant that was not requested,
      arrives a second time or arrives after its term is ignored.
      @return true when permits were added. */
  bool OnGrant(const LoanGrant& grant, TimePoint now);

 private:
  /** Returns the number of permits to request for a region, 0 when it is not
      short of them. Resets the region's refusal count. */
  int64_t PermitsToRequest(const std::string& region);

  struct PendingRequest {
    std::string region;
    TimePoint sent_at{};
  };

  Options options_;
  Steering* steering_;  // not owned
  Random random_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, PendingRequest> pending_;      // by request id
  std::map<std::string, TimePoint> next_round_at_;  // by region
};

}  // namespace greengage

#endif  // GG_STEERING_LOAN_BROKER_H_
