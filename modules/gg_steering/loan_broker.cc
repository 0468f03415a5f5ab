#include "gg_steering/loan_broker.h"

#include <algorithm>
#include <cmath>

#include "gg_steering/steering.h"

namespace greengage {

std::vector<OutgoingLoanRequest> LoanBroker::Tick(
    const std::vector<std::string>& peers, TimePoint now) {
  std::erase_if(pending_, [&](const auto& entry) {
    return now - entry.second.sent_at >= steering_->options().budget.loan_term;
  });
  std::vector<OutgoingLoanRequest> requests;
  const DocumentPtr document = steering_->document();
  if (document == nullptr || peers.empty()) return requests;
  for (const RegionSpec& region : document->regions) {
    if (now < next_round_at_[region.name]) continue;
    const int64_t wanted = PermitsToRequest(region.name);
    if (wanted <= 0) continue;
    next_round_at_[region.name] = now + options_.round_interval;
    const int count =
        std::min<int>(options_.peers_per_round, static_cast<int>(peers.size()));
    const uint64_t first_peer = random_.NextBelow(peers.size());
    for (int i = 0; i < count; ++i) {
      const uint64_t id = next_id_++;
      pending_[id] = {region.name, now};
      requests.push_back(
          {peers[(first_peer + i) % peers.size()],
           {.id = id, .region = region.name, .permits = wanted}});
    }
  }
  return requests;
}

std::optional<LoanGrant> LoanBroker::OnRequest(const LoanRequest& request,
                                               TimePoint now) {
  const std::optional<LoanOffer> offer =
      steering_->Lend(request.region, request.permits, now);
  if (!offer) return std::nullopt;
  return LoanGrant{.id = request.id,
                   .region = request.region,
                   .permits = offer->permits,
                   .term = offer->term};
}

bool LoanBroker::OnGrant(const LoanGrant& grant, TimePoint now) {
  const auto pending = pending_.find(grant.id);
  if (pending == pending_.end() || pending->second.region != grant.region) {
    return false;
  }
  const Loan loan{.id = grant.id,
                  .region = grant.region,
                  .permits = grant.permits,
                  .expires_at = pending->second.sent_at + grant.term};
  pending_.erase(pending);
  return steering_->AddLoan(loan, now);
}

int64_t LoanBroker::PermitsToRequest(const std::string& region) {
  const int64_t refused = steering_->TakeRefusalCount(region);
  const RegionUsage usage = steering_->Usage(region);
  const auto limit = static_cast<double>(usage.limit());
  const bool is_short = refused > 0 || static_cast<double>(usage.in_use) >
                                           options_.high_watermark * limit;
  if (!is_short) return 0;
  return std::max<int64_t>(refused, static_cast<int64_t>(std::ceil(limit / 2)));
}

}  // namespace greengage
