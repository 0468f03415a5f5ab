#include "gg_http/memory_report.h"

#include <string>

#include "absl/strings/str_cat.h"
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"

namespace greengage {

void MemoryReport::Publish(const MemoryBudget& budget, Metrics* metrics) {
  const MemoryBudget::Counts counts = budget.counts();
  std::string held;
  for (size_t i = 0; i < kMemoryClassCount; ++i) {
    const auto memory_class = static_cast<MemoryClass>(i);
    const std::string name(kMemoryClassNames.Name(memory_class));
    const std::string label = absl::StrCat("class=\"", name, "\"");
    const size_t bytes = budget.used_bytes(memory_class);
    absl::StrAppend(&held, " ", name, "=", bytes);
    metrics->SetGauge("greengage_memory_bytes", label,
                      static_cast<double>(bytes));
    const auto publish = [&](const char* metric, uint64_t now,
                             uint64_t before) {
      if (now > before) metrics->IncrementCounter(metric, label, now - before);
    };
    publish("greengage_memory_grants_total", counts.granted[i],
            published_.granted[i]);
    publish("greengage_memory_waits_total", counts.waiting[i],
            published_.waiting[i]);
    publish("greengage_memory_refusals_total", counts.refused[i],
            published_.refused[i]);
  }
  published_ = counts;
  metrics->SetGauge("greengage_memory_limit_bytes", "",
                    static_cast<double>(budget.options().limit_bytes));
  metrics->SetGauge("greengage_memory_waiters", "",
                    static_cast<double>(budget.waiters()));
  metrics->SetGauge("greengage_connections", "",
                    static_cast<double>(budget.connections()));
  const bool is_short = budget.IsShort();
  if (is_short == was_short_) return;
  was_short_ = is_short;
  LogEvent(
      is_short ? LogLevel::kWarning : LogLevel::kInfo, Event::kMemoryShort,
      absl::StrCat("short=", is_short ? 1 : 0, " waiting=", budget.waiters(),
                   " limit=", budget.options().limit_bytes, held));
}

}  // namespace greengage
