#include "gg_http/order_claims.h"

#include <nlohmann/json.hpp>

#include "gg_core/errors.h"
#include "gg_core/hash.h"
#include "gg_store/store_client.h"

namespace greengage {
namespace {

using nlohmann::json;

constexpr Duration kLeaseRenewal = std::chrono::hours(1);

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

asio::awaitable<OrderClaim> OrderClaims::Claim(std::string order) {
  OrderClaim claim;
  claim.error = co_await EnsureLease();
  if (!claim.error.ok()) co_return claim;
  const json value{{"owner", options_.traffic_address},
                   {"incarnation", options_.self.incarnation},
                   {"at", ToSeconds(Now() - options_.started_at)},
                   {"state", "claimed"}};
  const StoreCompareAndSwap swap = MakeSwap(order, 0, value.dump());
  const auto result = co_await options_.store->CompareAndSwap(swap);
  if (result.ok() && result->succeeded) {
    claim.state = ClaimState::kOwn;
    claim.revision = result->revision;
    co_return claim;
  }
  if (result.ok() && result->current_entry) {
    co_return Read(result->current_entry->value,
                   result->current_entry->mod_revision);
  }
  if (result.status().code() != absl::StatusCode::kUnknown) {
    claim.error = result.status();
    co_return claim;
  }
  // The swap may have taken effect although its answer was lost.
  const auto read = co_await options_.store->Get(KeyOf(order));
  if (read.ok() && !read->entries.empty()) {
    co_return Read(read->entries[0].value, read->entries[0].mod_revision);
  }
  claim.error = result.status();
  co_return claim;
}

asio::awaitable<void> OrderClaims::Record(std::string order, uint64_t revision,
                                          OrderAnswer answer) {
  // JSON text must be UTF-8; a body that is not is left out.
  json value{{"owner", options_.traffic_address},
             {"incarnation", options_.self.incarnation},
             {"state", "answered"},
             {"status", answer.status},
             {"type", answer.content_type},
             {"kept", answer.body_kept},
             {"body", answer.body}};
  std::string text;
  try {
    text = value.dump();
  } catch (const json::exception&) {
    value["kept"] = false;
    value["body"] = "";
    text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  }
  const StoreCompareAndSwap swap = MakeSwap(order, revision, std::move(text));
  co_await options_.store->CompareAndSwap(swap);
}

StoreCompareAndSwap OrderClaims::MakeSwap(const std::string& order,
                                          uint64_t expected_revision,
                                          std::string value) const {
  StoreCompareAndSwap swap{.key = KeyOf(order),
                           .expected_revision = expected_revision};
  swap.puts.push_back(
      {.key = swap.key, .value = std::move(value), .lease = lease_});
  return swap;
}

std::string OrderClaims::KeyOf(const std::string& order) const {
  return options_.prefix + Hash128Hex(order);
}

asio::awaitable<absl::Status> OrderClaims::EnsureLease() {
  const bool is_fresh =
      lease_ != 0 && Now() - lease_granted_at_ < kLeaseRenewal;
  if (is_fresh) co_return absl::OkStatus();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
      kClaimLifetime + kLeaseRenewal);
  const auto lease = co_await options_.store->GrantLease(seconds.count());
  if (!lease.ok()) co_return lease.status();
  lease_ = *lease;
  lease_granted_at_ = Now();
  co_return absl::OkStatus();
}

OrderClaim OrderClaims::Read(const std::string& value,
                             uint64_t revision) const {
  OrderClaim claim{.revision = revision};
  const json parsed = json::parse(value, nullptr, false);
  if (!parsed.is_object()) {
    claim.error = StepError(absl::StatusCode::kDataLoss, Step::kOrderClaim,
                            "store", "the claim cannot be read");
    return claim;
  }
  claim.owner_address = parsed.value("owner", "");
  if (parsed.value("state", "") == "answered") {
    claim.state = ClaimState::kAnswered;
    claim.answer = {.status = parsed.value("status", 0),
                    .content_type = parsed.value("type", ""),
                    .body = parsed.value("body", ""),
                    .body_kept = parsed.value("kept", false)};
    return claim;
  }
  const bool is_address_own = claim.owner_address == options_.traffic_address;
  const bool is_own =
      is_address_own &&
      parsed.value("incarnation", uint64_t{0}) == options_.self.incarnation;
  const double age =
      ToSeconds(Now() - options_.started_at) - parsed.value("at", 0.0);
  if (is_own && age < ToSeconds(options_.own_claim_age)) {
    claim.state = ClaimState::kOwn;
  } else if (is_address_own) {
    claim.error = StepError(absl::StatusCode::kAborted, Step::kOrderClaim,
                            claim.owner_address,
                            "an earlier process here claimed the order");
  } else {
    claim.state = ClaimState::kElsewhere;
  }
  return claim;
}

}  // namespace greengage
