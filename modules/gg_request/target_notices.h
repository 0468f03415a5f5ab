#ifndef GG_REQUEST_TARGET_NOTICES_H_
#define GG_REQUEST_TARGET_NOTICES_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "gg_core/time.h"

namespace greengage {

/** What a target has said of itself in its responses to this daemon. */
struct TargetNotice {
  /** When it first said that it is leaving. */
  std::optional<TimePoint> leaving_since;
  /** It wants no requests from this daemon until then. */
  TimePoint paused_until{};
};

/** Keeps the notices of targets for longer than the targets are listed: an
    entry that comes back to the store does not revoke what the target itself
    said.

    Targets are identified by the hash of their identifier and incarnation, as a
    restarted target knows nothing of what it said before. A notice lasts until
    very many other targets have given one. Traffic thread only. */
class TargetNotices {
 public:
  struct Options {
    /** Largest number of targets whose notices are kept. Several times the
        number of targets, so that those with older notices have ended. */
    size_t max_targets = 4096;
  };

  explicit TargetNotices(Options options) : options_(options) {}

  /** Records that the target said that it is leaving. A later notice does not
      change the time of the first. */
  void RecordLeaving(uint64_t target, TimePoint now);

  /** Records that the target wants no requests until `until`. A pause that ends
      later remains. */
  void RecordPause(uint64_t target, TimePoint until);

  /** Returns what the target has said; an empty notice if it said nothing. */
  TargetNotice Find(uint64_t target) const;

 private:
  TargetNotice& FindOrAdd(uint64_t target);

  Options options_;
  std::unordered_map<uint64_t, TargetNotice> notices_;  // by target
  std::deque<uint64_t> order_;  // targets in the order of their first notices
};

}  // namespace greengage

#endif  // GG_REQUEST_TARGET_NOTICES_H_
