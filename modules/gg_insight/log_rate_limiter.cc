#include "gg_insight/log_rate_limiter.h"

#include <utility>

namespace greengage {
namespace {

/** Range of the numbers of events about a single request. */
constexpr int kFirstRequestEvent = 600;
constexpr int kLastRequestEvent = 689;

bool IsRequestEvent(Event event) {
  const int number = static_cast<int>(event);
  return number >= kFirstRequestEvent && number <= kLastRequestEvent;
}

}  // namespace

void LogRateLimiter::SetOptions(Options options) {
  const std::lock_guard<std::mutex> lock(mutex_);
  options_ = options;
}

bool LogRateLimiter::Admit(Event event, TimePoint now, DroppedCounts* dropped) {
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (second != current_second_) {
    current_second_ = second;
    request_line_count_ = 0;
    other_line_count_ = 0;
    *dropped = std::exchange(dropped_counts_, {});
  }
  const bool is_request_event = IsRequestEvent(event);
  uint64_t& lines = is_request_event ? request_line_count_ : other_line_count_;
  const uint64_t limit = is_request_event
                             ? options_.max_request_lines_per_second
                             : options_.max_other_lines_per_second;
  if (options_.max_request_lines_per_second == 0 || lines < limit) {
    ++lines;
    return true;
  }
  ++dropped_counts_[event];
  return false;
}

void LogRateLimiter::CountDropped(Event event) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++dropped_counts_[event];
}

}  // namespace greengage
