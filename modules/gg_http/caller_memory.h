#ifndef GG_HTTP_CALLER_MEMORY_H_
#define GG_HTTP_CALLER_MEMORY_H_

#include <functional>
#include <optional>

#include "gg_core/time.h"
#include "gg_http/memory_budget.h"
#include "gg_http/memory_eviction.h"
#include "gg_store/asio.h"

namespace greengage {

/** What a daemon holds for one caller, and whether it may be evicted. Used on
    the thread of the caller's connection only. */
struct CallerMemory {
  explicit CallerMemory(MemoryBudget* memory_budget)
      : budget(memory_budget),
        connection(memory_budget, MemoryClass::kConnection),
        header(memory_budget, MemoryClass::kRequestHeader),
        body(memory_budget, MemoryClass::kRequestBody),
        response(memory_budget, MemoryClass::kResponse) {}

  size_t held_bytes() const {
    return connection.bytes() + header.bytes() + body.bytes() +
           response.bytes();
  }

  /** Marks the start of a transfer from or to a peer. */
  void BeginTransfer(PeerActivity new_activity, TimePoint now) {
    activity = new_activity;
    progress.Restart(now);
  }

  void MarkEvicted(EvictionReason reason) {
    if (evicted) return;
    evicted = reason;
    if (on_evicted) on_evicted(reason);
  }

  /** Marks the end of the transfer; the caller can't be evicted any more. */
  void EndTransfer() { activity.reset(); }

  MemoryBudget* budget;  // not owned; nullptr: no limit
  MemoryHold connection;
  MemoryHold header;
  MemoryHold body;
  MemoryHold response;
  std::optional<PeerActivity> activity;  // nullopt: can't be evicted
  TransferProgress progress;
  TimePoint request_began_at{};
  TimePoint waits_since{};
  std::optional<EvictionReason> evicted;
  /** Called once with the reason when the caller is evicted; may be empty. */
  std::function<void(EvictionReason)> on_evicted;
  /** Cancels the transfer to a target that takes no bytes; may be empty. */
  std::function<void()> cancel_target;
};

/** Takes `bytes` for the caller, and waits while there is no memory.
    @param hold  of `memory`
    @return false if the caller was evicted, or has waited for too long and is
            evicted for that. */
asio::awaitable<bool> TakeCallerMemory(CallerMemory* memory, MemoryHold* hold,
                                       size_t bytes);

}  // namespace greengage

#endif  // GG_HTTP_CALLER_MEMORY_H_
