#ifndef GG_STEERING_ORDER_LEDGER_H_
#define GG_STEERING_ORDER_LEDGER_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "gg_core/time.h"

namespace greengage {

/** State of one order in the ledger. */
enum class OrderState {
  kRunning,   // begun, but not dispatched or not answered yet
  kAnswered,  // run, and the answer is recorded
  kUnknown,   // dispatched, but its answer was lost
};

/** Result of OrderLedger::Begin(). */
enum class BeginResult {
  kStarted,   // the order is new; the caller of Begin() must run it
  kRunning,   // another request is running the order
  kAnswered,  // the order has run; the recorded answer is to be repeated
  kUnknown,   // the order may have run and must not run again
  kFull,      // the ledger is full; the order is to be refused as not run
};

/** Answer kept for repeats of an order. */
struct OrderAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  bool is_body_kept = false;  // false: the body was too long to keep
};

/** Records of the orders that this process has run, by idempotency key.

    A record is kept until its key has expired. An order under an expired key is
    refused before it reaches the ledger, so that dropping the record cannot
    cause a second run. A full ledger refuses new orders and drops no records.

    Not thread-safe; Steering calls it under its lock. */
class OrderLedger {
 public:
  struct Options {
    size_t max_orders = 50'000;
    /** Size of the longest answer body that is kept. */
    size_t max_body_bytes = 16384;
    /** Total size of all answer bodies that are kept. */
    size_t max_total_bytes = 16777216;
  };

  explicit OrderLedger(Options options) : options_(options) {}

  //==============================================================================
  /** Starts the order `key`, or returns its state when it is known already.
      @param expires_at  time until which the record must be kept.
      @param answer  receives the answer when the result is kAnswered. */
  BeginResult Begin(const std::string& key, TimePoint expires_at,
                    OrderAnswer* answer);

  /** Removes an order that was begun but never left this process, so that a
      repeat of it may run. */
  void Abandon(const std::string& key);

  /** Records the answer of an order that has run. The body is dropped when it
      exceeds the limits in Options. */
  void Complete(const std::string& key, OrderAnswer answer);

  /** Records that an order was dispatched but its answer was lost. */
  void MarkUnknown(const std::string& key);

  //==============================================================================
  /** Removes the records that have expired, except those of running orders. */
  void Expire(TimePoint now);

  /** Returns the number of records. */
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
