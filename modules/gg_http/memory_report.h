#ifndef GG_HTTP_MEMORY_REPORT_H_
#define GG_HTTP_MEMORY_REPORT_H_

#include "gg_http/memory_budget.h"

namespace greengage {

class Metrics;

/** Publishes the state of a MemoryBudget as metrics, and logs when memory
    becomes short and when it no longer is. Used on one thread. */
class MemoryReport {
 public:
  /** Publishes the state. Called about once a second, which also bounds the
      log lines. */
  void Publish(const MemoryBudget& budget, Metrics* metrics);

 private:
  MemoryBudget::Counts published_;
  bool was_short_ = false;
};

}  // namespace greengage

#endif  // GG_HTTP_MEMORY_REPORT_H_
