#include "gg_steering/lookup_policy.h"

#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "gg_core/hash.h"

namespace greengage {
namespace {

struct Candidate {
  bool is_suspect = false;
  bool is_outside_home_region = false;
  uint64_t rank = 0;
  const MemberRecord* record = nullptr;

  friend bool operator<(const Candidate& a, const Candidate& b) {
    return std::tie(a.is_suspect, a.is_outside_home_region, a.rank) <
           std::tie(b.is_suspect, b.is_outside_home_region, b.rank);
  }
};

}  // namespace

std::vector<MemberRecord> ChooseEntryHosts(
    const std::vector<MemberRecord>& members, const LookupQuery& query) {
  const uint64_t block_hash = Hash64(
      absl::StrCat(query.service, "/", query.client >> kClientBlockBits));
  std::vector<Candidate> candidates;
  for (const MemberRecord& member : members) {
    const bool is_suspect = member.state == MemberState::kSuspect;
    if (member.state != MemberState::kAlive && !is_suspect) continue;
    candidates.push_back(
        {.is_suspect = is_suspect,
         .is_outside_home_region = member.region != query.home_region,
         .rank = Hash64(member.traffic_address, block_hash),
         .record = &member});
  }
  const bool has_alive =
      std::any_of(candidates.begin(), candidates.end(),
                  [](const Candidate& c) { return !c.is_suspect; });
  if (has_alive) {
    std::erase_if(candidates, [](const Candidate& c) { return c.is_suspect; });
  }
  const size_t count = std::min(query.max_hosts, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<ptrdiff_t>(count),
                    candidates.end());
  std::vector<MemberRecord> hosts;
  for (size_t i = 0; i < count; ++i) hosts.push_back(*candidates[i].record);
  return hosts;
}

}  // namespace greengage
