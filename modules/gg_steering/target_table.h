#ifndef GG_STEERING_TARGET_TABLE_H_
#define GG_STEERING_TARGET_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gg_core/random.h"
#include "gg_core/time.h"
#include "gg_document/document.h"

namespace greengage {

/** How an attempt at a target ended. */
enum class AttemptResult {
  kAnswered,   // the target answered
  kShed,       // the target refused the request to shed load
  kFailed,     // the connection to or the exchange with the target failed
  kCancelled,  // ended for a reason that does not concern the target
};

/** Change of a target's availability that the caller should log. */
enum class TargetChange { kNone, kEjected, kRestored };

/** Row of the target table: one target and what this daemon observed of it. */
struct TargetState {
  TargetSpec spec;
  std::string service;
  std::string region;
  int64_t in_flight = 0;       // requests of this daemon
  double latency_seconds = 0;  // moving average; 0 before the first answer
  TimePoint last_answer_at{};
  int consecutive_failures = 0;
  TimePoint ejected_until{};
  TimePoint first_listed_at{};
  bool is_removed = false;  // the document no longer lists the target
};

/** Parameters of TargetTable::Choose(). */
struct TargetQuery {
  std::string service;
  std::string region;
  std::vector<size_t> excluded_rows;  // rows that are not chosen
};

/** Targets of all services, with what this daemon has observed of each.

    Choose() takes the row with the lowest cost: this daemon's requests in
    flight per slot, raised for a target that is much slower than the others or
    new. Ties are broken at random; otherwise all daemons would choose the first
    of the tied rows. The load that targets report about themselves is not used.

    Not thread-safe; Steering calls it under its lock. */
class TargetTable {
 public:
  struct Options {
    /** Consecutive failures after which a target is ejected. */
    int failures_to_eject = 3;
    /** Time for which an ejected target gets no requests. */
    Duration ejection_time = std::chrono::seconds(5);
    /** Weight of the newest sample in the moving average of latency. */
    double latency_smoothing_factor = 0.1;
    /** Time after which an observed latency is ignored, so that a target that
        was slow is tried again. */
    Duration latency_lifetime = std::chrono::seconds(5);
  };

  explicit TargetTable(Options options) : options_(options) {}

  //==============================================================================
  /** Applies the targets of `document`. Rows keep their index and observations;
      a row whose target the document lacks is marked as removed and no longer
      chosen. */
  void Apply(const Document& document, TimePoint now);

  /** Chooses a row for one request and counts the request as in flight there.
      Returns nothing when no target in the region can take a request. */
  std::optional<size_t> Choose(const TargetQuery& query, Random* random,
                               TimePoint now);

  /** Ends a request for which Choose() returned `row`, and records its result.
      To be called once for each successful Choose().
      @return whether this result ejected or restored the target. */
  TargetChange Finish(size_t row, AttemptResult result, Duration latency,
                      TimePoint now);

  //==============================================================================
  /** Returns whether the service has a target in the region that is listed, not
      leaving and not ejected. A target without a free slot counts as usable. */
  bool IsRegionUsable(const std::string& service, const std::string& region,
                      TimePoint now) const;

  const TargetState& row(size_t index) const { return rows_[index]; }

  /** Returns the number of rows, those of removed targets included. */
  size_t size() const { return rows_.size(); }

 private:
  bool IsUsable(const TargetState& state, TimePoint now) const;

  /** Returns the median latency of the given rows in seconds; 0 when none has
      answered yet. */
  double TypicalLatency(const std::vector<size_t>& usable) const;
  double SelectionCost(const TargetState& state, double typical_latency,
                       TimePoint now) const;

  /** Returns the fraction of its full weight that a target has by its age,
      kMinWarmUpFactor to 1. */
  double WarmUpFactor(const TargetState& state, TimePoint now) const;

  Options options_;
  std::vector<TargetState> rows_;
  std::map<std::string, size_t> row_by_address_;
  /** Indices of the listed rows, by service and region. */
  std::map<std::string, std::map<std::string, std::vector<size_t>>>
      rows_by_region_;
  std::map<std::string, Duration> cold_start_by_service_;
  bool has_document_ = false;
};

}  // namespace greengage

#endif  // GG_STEERING_TARGET_TABLE_H_
