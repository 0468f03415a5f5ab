#include "gg_http/order_claims.h"

#include <nlohmann/json.hpp>

#include "gg_core/errors.h"
#include "gg_core/hash.h"
#include "gg_store/store_client.h"

namespace greengage {
namespace {

using nlohmann::json;

/** Time for which new claims share one lease. */
constexpr Duration kLeaseRenewalInterval = std::chrono::hours(1);

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
    claim.state = ClaimState::kOwnedBySelf;
    claim.revision = result->revision;
    co_return claim;
  }
  if (result.ok() && result->current_entry) {
    co_return ParseClaim(result->current_entry->value,
                         result->current_entry->mod_revision);
  }
  if (result.status().code() != absl::StatusCode::kUnknown) {
    claim.error = result.status();
    co_return claim;
  }
  // The swap may have taken effect even though its response was lost.
  const auto stored = co_await options_.store->Get(StoreKey(order));
  if (stored.ok() && !stored->entries.empty()) {
    co_return ParseClaim(stored->entries[0].value,
                         stored->entries[0].mod_revision);
  }
  claim.error = result.status();
  co_return claim;
}

asio::awaitable<void> OrderClaims::RecordAnswer(std::string order,
                                                uint64_t revision,
                                                OrderAnswer answer) {
  // JSON text must be UTF-8, so a body in another encoding is not recorded.
  json value{{"owner", options_.traffic_address},
             {"incarnation", options_.self.incarnation},
             {"state", "answered"},
             {"status", answer.status},
             {"type", answer.content_type},
             {"kept", answer.is_body_kept},
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
  StoreCompareAndSwap swap{.key = StoreKey(order),
                           .expected_revision = expected_revision};
  swap.puts.push_back(
      {.key = swap.key, .value = std::move(value), .lease = lease_id_});
  return swap;
}

std::string OrderClaims::StoreKey(const std::string& order) const {
  return options_.prefix + Hash128Hex(order);
}

asio::awaitable<absl::Status> OrderClaims::EnsureLease() {
  const bool is_lease_current =
      lease_id_ != 0 && Now() - lease_granted_at_ < kLeaseRenewalInterval;
  if (is_lease_current) co_return absl::OkStatus();
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
      kMinClaimLifetime + kLeaseRenewalInterval);
  const auto lease = co_await options_.store->GrantLease(seconds.count());
  if (!lease.ok()) co_return lease.status();
  lease_id_ = *lease;
  lease_granted_at_ = Now();
  co_return absl::OkStatus();
}

OrderClaim OrderClaims::ParseClaim(const std::string& value,
                                   uint64_t revision) const {
  try {
    return DecodeClaim(value, revision);
  } catch (const json::exception&) {
    return {.revision = revision,
            .error = StepError(absl::StatusCode::kDataLoss, Step::kOrderClaim,
                               "store", "the claim cannot be read")};
  }
}

OrderClaim OrderClaims::DecodeClaim(const std::string& value,
                                    uint64_t revision) const {
  OrderClaim claim{.revision = revision};
  const json parsed = json::parse(value);
  claim.owner_address = parsed.value("owner", "");
  if (parsed.value("state", "") == "answered") {
    claim.state = ClaimState::kAnswered;
    claim.answer = {.status = parsed.value("status", 0),
                    .content_type = parsed.value("type", ""),
                    .body = parsed.value("body", ""),
                    .is_body_kept = parsed.value("kept", false)};
    return claim;
  }
  const bool has_own_address = claim.owner_address == options_.traffic_address;
  const bool is_own =
      has_own_address &&
      parsed.value("incarnation", uint64_t{0}) == options_.self.incarnation;
  const double age =
      ToSeconds(Now() - options_.started_at) - parsed.value("at", 0.0);
  if (is_own && age < ToSeconds(options_.max_own_claim_age)) {
    claim.state = ClaimState::kOwnedBySelf;
  } else if (has_own_address) {
    claim.error = StepError(absl::StatusCode::kAborted, Step::kOrderClaim,
                            claim.owner_address,
                            "an earlier process here claimed the order");
  } else {
    claim.state = ClaimState::kOwnedByPeer;
  }
  return claim;
}

}  // namespace greengage
