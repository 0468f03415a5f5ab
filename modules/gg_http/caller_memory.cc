#include "gg_http/caller_memory.h"

#include <chrono>

namespace greengage {
namespace {

/** Interval at which a waiting caller asks again. */
constexpr Duration kMemoryPollInterval = std::chrono::milliseconds(20);

/** Longest that a caller waits for memory. */
constexpr Duration kMaxMemoryWait = std::chrono::seconds(5);

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

asio::awaitable<bool> TakeCallerMemory(CallerMemory* memory, MemoryHold* hold,
                                       size_t bytes) {
  const auto take = [&] {
    return hold->Grow(bytes, memory->held_bytes() - hold->bytes()) ==
           MemoryDecision::kGranted;
  };
  if (take()) co_return true;
  const ScopedMemoryWaiter waiter(memory->budget);
  const std::optional<PeerActivity> activity = memory->activity;
  memory->activity = PeerActivity::kWaiting;
  memory->waits_since = Now();
  bool is_granted = false;
  while (!is_granted && !memory->evicted) {
    co_await SleepFor(kMemoryPollInterval);
    is_granted = take();
    if (!is_granted && Now() - memory->waits_since > kMaxMemoryWait) {
      memory->MarkEvicted(EvictionReason::kNoMemory);
    }
  }
  memory->activity = activity;
  memory->progress.Restart(Now());
  co_return is_granted;
}

}  // namespace greengage
