#include "gg_insight/metrics.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <sstream>
#include <tuple>

namespace greengage {
namespace {

namespace bh = boost::histogram;

constexpr int kLatencyBinCount = 28;
constexpr double kMinLatencySeconds = 1e-5;  // seconds
constexpr double kMaxLatencySeconds = 1e2;   // seconds

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = bh::histogram<std::tuple<LatencyAxis>>;

struct LatencySeries {
  LatencyHistogram histogram = bh::make_histogram(
      LatencyAxis(kLatencyBinCount, kMinLatencySeconds, kMaxLatencySeconds));
  double sum = 0;
};

struct SeriesKey {
  std::string name;
  std::string labels;
  friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
};

std::string FormatLabels(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

void WriteLatencySeries(std::ostream& out, const SeriesKey& key,
                        const LatencySeries& series) {
  const std::string prefix = key.labels.empty() ? "" : key.labels + ",";
  const auto& axis = series.histogram.axis(0);
  double cumulative = series.histogram.at(-1);
  for (int i = 0; i < axis.size(); ++i) {
    cumulative += series.histogram.at(i);
    out << key.name << "_bucket{" << prefix << "le=\"" << axis.bin(i).upper()
        << "\"} " << cumulative << "\n";
  }
  cumulative += series.histogram.at(axis.size());
  out << key.name << "_bucket{" << prefix << "le=\"+Inf\"} " << cumulative
      << "\n";
  out << key.name << "_sum" << FormatLabels(key.labels) << " " << series.sum
      << "\n";
  out << key.name << "_count" << FormatLabels(key.labels) << " " << cumulative
      << "\n";
}

}  // namespace

struct Metrics::State {
  mutable std::mutex mutex;
  std::map<SeriesKey, uint64_t> counters;
  std::map<SeriesKey, double> gauges;
  std::map<SeriesKey, LatencySeries> latencies;
};

Metrics::Metrics() : state_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::IncrementCounter(std::string_view name, std::string_view labels,
                               uint64_t amount) {
  const std::lock_guard lock(state_->mutex);
  state_->counters[{std::string(name), std::string(labels)}] += amount;
}

void Metrics::SetGauge(std::string_view name, std::string_view labels,
                       double value) {
  const std::lock_guard lock(state_->mutex);
  state_->gauges[{std::string(name), std::string(labels)}] = value;
}

void Metrics::RecordLatency(std::string_view name, std::string_view labels,
                            Duration latency) {
  const std::lock_guard lock(state_->mutex);
  LatencySeries& series =
      state_->latencies[{std::string(name), std::string(labels)}];
  series.histogram(ToSeconds(latency));
  series.sum += ToSeconds(latency);
}

uint64_t Metrics::CounterValue(std::string_view name,
                               std::string_view labels) const {
  const std::lock_guard lock(state_->mutex);
  const auto found =
      state_->counters.find({std::string(name), std::string(labels)});
  return found == state_->counters.end() ? 0 : found->second;
}

std::string Metrics::PrometheusText() const {
  const std::lock_guard lock(state_->mutex);
  std::ostringstream out;
  for (const auto& [key, value] : state_->counters) {
    out << key.name << FormatLabels(key.labels) << " " << value << "\n";
  }
  for (const auto& [key, value] : state_->gauges) {
    out << key.name << FormatLabels(key.labels) << " " << value << "\n";
  }
  for (const auto& [key, series] : state_->latencies) {
    WriteLatencySeries(out, key, series);
  }
  return out.str();
}

}  // namespace greengage
