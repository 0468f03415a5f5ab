#ifndef GG_STEERING_ORDER_LEDGER_H_
#define GG_STEERING_ORDER_LEDGER_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "gg_core/time.h"

namespace greengage {

/** State of one order in the ledger. */
enum class OrderState {
  kRunning,   // claimed; not dispatched or not answered yet
  kAnswered,  // ran, the answer is held
  kUnknown,   // dispatched, and the answer was lost
};

/** What Begin() found. */
enum class BeginResult {
  kStarted,   // new: the caller of Begin() runs it
  kRunning,   // another request runs it now
  kAnswered,  // it ran: repeat the answer
  kUnknown,   // it may have run: it must not run again
  kFull,      // no room for a new order: refuse it as not run
};

/** Answer kept for repeats of an order. */
struct OrderAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  bool is_body_kept = false;  // false: the body was too long to hold
};

/** Record of the orders that this process has run, by idempotency key.

    A record lives until the key has expired; only then may it be forgotten, and
    a key that has expired is refused before it gets here. A full ledger refuses
    new orders, never forgets old ones.

    One thread at a time; Steering holds the lock. */
class OrderLedger {
 public:
  struct Options {
    size_t max_orders = 50'000;
    size_t max_body_bytes = 16384;
    size_t max_total_bytes = 16777216;
  };

  explicit OrderLedger(Options options) : options_(options) {}

  //==============================================================================
  /** Starts the order `key` or says what is known of it.
      @param answer  receives the answer when the result is kAnswered.
      @param expires_at  until when the record must be kept. */
  BeginResult Begin(const std::string& key, TimePoint expires_at,
                    OrderAnswer* answer);

  /** The order was not run and never left this process: forget it, so that a
      repeat may run. */
  void Abandon(const std::string& key);

  /** The order ran and `answer` came back. */
  void Complete(const std::string& key, OrderAnswer answer);

  /** The order was dispatched and its answer is lost. */
  void MarkUnknown(const std::string& key);

  //==============================================================================
  /** Forgets records that have expired, but for those still running. */
  void Expire(TimePoint now);

  size_t size() const { return records_.size(); }

 private:
  struct Record {
    OrderState state = OrderState::kRunning;
    OrderAnswer answer;
    TimePoint expires_at{};
  };

  Options options_;
  std::unordered_map<std::string, Record> records_;
  size_t total_body_bytes_ = 0;
};

}  // namespace greengage

#endif  // GG_STEERING_ORDER_LEDGER_H_
