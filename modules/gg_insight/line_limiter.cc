#include "gg_insight/line_limiter.h"

#include <utility>

namespace greengage {
namespace {

/** Numbers of the events that concern a single request. */
constexpr int kFirstRequestEvent = 600;
constexpr int kLastRequestEvent = 689;

bool IsOfRequest(Event event) {
  const int number = static_cast<int>(event);
  return number >= kFirstRequestEvent && number <= kLastRequestEvent;
}

}  // namespace

void LineLimiter::SetOptions(Options options) {
  const std::lock_guard<std::mutex> lock(mutex_);
  options_ = options;
}

bool LineLimiter::Admit(Event event, TimePoint now, Dropped* dropped) {
  const int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count();
  const std::lock_guard<std::mutex> lock(mutex_);
  if (second != second_) {
    second_ = second;
    request_lines_ = 0;
    other_lines_ = 0;
    *dropped = std::exchange(dropped_, {});
  }
  const bool is_of_request = IsOfRequest(event);
  uint64_t& lines = is_of_request ? request_lines_ : other_lines_;
  const uint64_t limit =
      is_of_request ? options_.request_lines : options_.other_lines;
  if (options_.request_lines == 0 || lines < limit) {
    ++lines;
    return true;
  }
  ++dropped_[event];
  return false;
}

void LineLimiter::NoteDropped(Event event) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++dropped_[event];
}

}  // namespace greengage
