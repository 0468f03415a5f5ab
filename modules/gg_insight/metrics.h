#ifndef GG_INSIGHT_METRICS_H_
#define GG_INSIGHT_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "gg_core/time.h"

namespace greengage {

/** Counters, gauges and latency histograms of one daemon.

    Series are created on first use and live as long as the object. Names
    follow the Prometheus conventions. `labels` is the text between the braces,
    for example `kind="browse",result="whole"`.

    Any thread may call any method. */
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  //==============================================================================
  /** Adds `amount` to a counter. */
  void IncrementCounter(std::string_view name, std::string_view labels,
                        uint64_t amount = 1);

  /** Sets the value of a gauge. */
  void SetGauge(std::string_view name, std::string_view labels, double value);

  /** Adds one latency to a histogram with logarithmic bins from 10 us to
      100 s. */
  void RecordLatency(std::string_view name, std::string_view labels,
                     Duration latency);

  //==============================================================================
  /** Returns the current value of a counter, or 0 if it does not exist. */
  uint64_t CounterValue(std::string_view name, std::string_view labels) const;

  /** Returns all series in the Prometheus text format 0.0.4. */
  std::string PrometheusText() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace greengage

#endif  // GG_INSIGHT_METRICS_H_
