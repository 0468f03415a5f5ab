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
enum class AttemptResult { kAnswered, kShed, kFailed, kCancelled };

/** Change of a target's standing, worth a log line. */
enum class TargetChange { kNone, kEjected, kRestored };

/** Row of the target table. */
struct TargetState {
  TargetSpec spec;
  std::string service;
  std::string region;
  int64_t in_flight = 0;       // of this daemon
  double latency_seconds = 0;  // moving average, 0 before the first answer
  TimePoint last_answer_at{};
  int consecutive_failures = 0;
  TimePoint ejected_until{};
  TimePoint first_listed_at{};
  bool is_removed = false;
};

/** What Choose() is asked. */
struct TargetQuery {
  std::string service;
  std::string region;
  std::vector<size_t> excluded_rows;  // rows already tried
};

/** Targets of all services as one table, with what this daemon has seen of
   them.

    The choice is the row with the least own requests in flight for its slots,
    weighted up for a target that is much slower than the others or is new. Ties
   are broken at random: the first of them would draw all daemons. Load that
   targets report about themselves is not used.

    One thread at a time; Steering holds the lock. */
class TargetTable {
 public:
  struct Options {
    int failures_to_eject = 3;
    Duration ejection_time = std::chrono::seconds(5);
    double latency_smoothing_factor = 0.1;  // of the newest sample
    /** Time after which an observed latency no longer counts, so that a target
        that was slow is tried again. */
    Duration latency_lifetime = std::chrono::seconds(5);
  };

  explicit TargetTable(Options options) : options_(options) {}

  //==============================================================================
  /** Takes over the targets of `document`. Rows keep their index and history; a
      row whose target is gone is marked and takes no new work. */
  void Apply(const Document& document, TimePoint now);

  /** Chooses a row for one request and counts it in flight, or nothing when no
      target there can take work. */
  std::optional<size_t> Choose(const TargetQuery& query, Random* random,
                               TimePoint now);

  /** Reports the end of a request that Choose() gave out. */
  TargetChange Finish(size_t row, AttemptResult result, Duration latency,
                      TimePoint now);

  //==============================================================================
  /** True when some target of the service in the region may take work. */
  bool IsRegionUsable(const std::string& service, const std::string& region,
                      TimePoint now) const;

  const TargetState& row(size_t index) const { return rows_[index]; }
  size_t size() const { return rows_.size(); }

 private:
  bool IsUsable(const TargetState& state, TimePoint now) const;
  double TypicalLatency(const std::vector<size_t>& usable) const;
  double SelectionCost(const TargetState& state, double typical_latency,
                       TimePoint now) const;
  double WarmUpFactor(const TargetState& state, TimePoint now) const;

  Options options_;
  std::vector<TargetState> rows_;
  std::map<std::string, size_t> row_by_address_;
  std::map<std::string, std::map<std::string, std::vector<size_t>>>
      rows_by_region_;
  std::map<std::string, Duration> cold_start_by_service_;
  bool has_document_ = false;
};

}  // namespace greengage

#endif  // GG_STEERING_TARGET_TABLE_H_
