#include "gg_steering/budget_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace greengage {

void BudgetTable::SetOwn(const std::string& region, int64_t permits) {
  regions_[region].own = permits;
}

std::optional<Permit> BudgetTable::Acquire(const PermitRequest& request,
                                           TimePoint now) {
  const auto found = regions_.find(request.region);
  if (found == regions_.end()) return std::nullopt;
  RegionBudget& budget = found->second;
  const RegionUsage usage = UsageOf(budget);
  if (!request.may_use_reserve) {
    const auto reserve = static_cast<int64_t>(std::ceil(
        options_.reserve_fraction * static_cast<double>(usage.limit())));
    if (usage.in_use >= usage.limit() - reserve) return std::nullopt;
  }
  if (BorrowedPermits* loan = FindUsableLoan(&budget, request, now)) {
    ++loan->in_use;
    return Permit{request.region, loan->loan.id};
  }
  if (budget.own_in_use >= budget.own - usage.lent) return std::nullopt;
  ++budget.own_in_use;
  return Permit{request.region, 0};
}

void BudgetTable::Release(const Permit& permit) {
  RegionBudget& budget = regions_[permit.region];
  if (permit.loan_id == 0) {
    // Fails when a permit is released twice. Each Permit must have one owner,
    // and only this owner releases it.
    assert(budget.own_in_use > 0);
    --budget.own_in_use;
    return;
  }
  const auto loan = budget.borrowed.find(permit.loan_id);
  if (loan == budget.borrowed.end()) return;
  --loan->second.in_use;
}

std::optional<LoanOffer> BudgetTable::Lend(const std::string& region,
                                           int64_t wanted, TimePoint now) {
  const auto found = regions_.find(region);
  if (found == regions_.end() || wanted <= 0) return std::nullopt;
  RegionBudget& budget = found->second;
  const int64_t idle = budget.own - LentTotal(budget) - budget.own_in_use;
  const int64_t permits = std::min(wanted, idle / 2);
  if (permits <= 0) return std::nullopt;
  budget.lent.push_back(
      {permits, now + options_.loan_term + options_.loan_margin});
  return LoanOffer{permits, options_.loan_term};
}

bool BudgetTable::AddLoan(const Loan& loan, TimePoint now) {
  // Loan identifiers start at 1: 0 marks one of the daemon's own permits.
  assert(loan.id != 0);
  if (loan.permits <= 0 || loan.expires_at <= now) return false;
  return regions_[loan.region]
      .borrowed.emplace(loan.id, BorrowedPermits{loan})
      .second;
}

void BudgetTable::Expire(TimePoint now) {
  for (auto& [name, budget] : regions_) {
    std::erase_if(budget.lent, [&](const LentPermits& lent) {
      return lent.returns_at <= now;
    });
    std::erase_if(budget.borrowed, [&](const auto& entry) {
      return entry.second.loan.expires_at <= now;
    });
  }
}

RegionUsage BudgetTable::Usage(const std::string& region) const {
  const auto found = regions_.find(region);
  return found == regions_.end() ? RegionUsage{} : UsageOf(found->second);
}

std::vector<std::string> BudgetTable::Regions() const {
  std::vector<std::string> names;
  for (const auto& [name, budget] : regions_) names.push_back(name);
  return names;
}

int64_t BudgetTable::LentTotal(const RegionBudget& budget) {
  int64_t total = 0;
  for (const LentPermits& lent : budget.lent) total += lent.permits;
  return total;
}

RegionUsage BudgetTable::UsageOf(const RegionBudget& budget) {
  RegionUsage usage{.own = budget.own,
                    .lent = LentTotal(budget),
                    .in_use = budget.own_in_use};
  for (const auto& [id, borrowed] : budget.borrowed) {
    usage.borrowed += borrowed.loan.permits;
    usage.in_use += borrowed.in_use;
  }
  return usage;
}

BudgetTable::BorrowedPermits* BudgetTable::FindUsableLoan(
    RegionBudget* budget, const PermitRequest& request, TimePoint now) const {
  if (request.time_limit <= Duration::zero()) return nullptr;
  for (auto& [id, borrowed] : budget->borrowed) {
    const bool has_free_permit = borrowed.in_use < borrowed.loan.permits;
    const bool ends_in_term =
        now + request.time_limit <= borrowed.loan.expires_at;
    if (has_free_permit && ends_in_term) return &borrowed;
  }
  return nullptr;
}

}  // namespace greengage
