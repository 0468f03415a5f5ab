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

/** Request for a loan and the peer to send it to. */
struct OutgoingLoanRequest {
  std::string address;
  LoanRequest request;
};

/** Asks peers for permits where this daemon's budget is short, and answers when
    they ask. The term of a loan is counted from the moment the request was
   sent, which is before the lender subtracted it. One thread at a time. */
class LoanBroker {
 public:
  struct Options {
    /** Part of the limit in use from which more is asked for. */
    double high_watermark = 0.7;
    /** Peers asked for each region and round. */
    int peers_per_round = 2;
    /** Pause between rounds for one region. */
    Duration round_interval = std::chrono::milliseconds(250);
  };

  LoanBroker(Options options, Steering* steering, uint64_t seed)
      : options_(options), steering_(steering), random_(seed) {}

  //==============================================================================
  /** Returns the requests to send now.
      @param peers  addresses of living daemons other than this one. */
  std::vector<OutgoingLoanRequest> Tick(const std::vector<std::string>& peers,
                                        TimePoint now);

  /** Answers a peer's request; nothing when no permit can be spared. */
  std::optional<LoanGrant> OnRequest(const LoanRequest& request, TimePoint now);

  /** Takes in a grant. One that was not asked for, came twice or is too late is
      ignored.
      @return true when permits were added. */
  bool OnGrant(const LoanGrant& grant, TimePoint now);

 private:
  int64_t PermitsToRequest(const std::string& region);

  struct PendingRequest {
    std::string region;
    TimePoint sent_at{};
  };

  Options options_;
  Steering* steering_;  // not owned
  Random random_;
  uint64_t next_id_ = 1;
  std::map<uint64_t, PendingRequest> pending_;
  std::map<std::string, TimePoint> next_round_at_;
};

}  // namespace greengage

#endif  // GG_STEERING_LOAN_BROKER_H_
