// Sums up the results of the callers and targets of a demonstration, prints
// them as a table, and exits with 0 only if every check passed. With --snapshot
// it only saves the current statistics of the targets.

#include <CLI/CLI.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>

#include "gg_ctl/http_get.h"

namespace greengage::standins {
namespace {

using nlohmann::json;

struct Options {
  std::vector<std::string> caller_results;
  std::vector<std::string> target_addresses;
  std::vector<std::string> drained_addresses;
  std::string stats_before_path;
  std::string snapshot_path;
  int clean_stop_count = 0;
  int expected_stop_count = 0;
};

json FetchStats(const std::string& address) {
  const auto text = HttpGet(address, "/control/stats", std::chrono::seconds(5));
  return text.ok() ? json::parse(*text) : json::object();
}

json FetchAllStats(const std::vector<std::string>& addresses) {
  json all = json::object();
  for (const std::string& address : addresses) {
    all[address] = FetchStats(address);
  }
  return all;
}

json ReadJson(const std::string& path) {
  std::ifstream file(path);
  return json::parse(file, nullptr, false);
}

class Summary {
 public:
  explicit Summary(Options options) : options_(std::move(options)) {}

  bool Print() {
    AddCallers();
    AddTargets();
    PrintTable();
    for (const auto& [kind, counts] : results_by_kind_.items()) {
      CheckZero(kind + " with the response to another request",
                counts["wrong"]);
      CheckZero(kind + " with an incomplete or no response", counts["broken"]);
      Check(kind + " with a complete response", counts["whole"],
            counts["whole"] > 0);
    }
    CheckZero("target processes that ran an order twice",
              processes_with_repeated_orders_);
    CheckZero("uploads truncated at targets", truncated_uploads_);
    CheckZero("requests to drained targets after 5 s", RequestsAfterDrain());
    Check("hosts that stopped cleanly", options_.clean_stop_count,
          options_.clean_stop_count == options_.expected_stop_count);
    std::cout << (all_checks_passed_ ? "all checks passed\n"
                                     : "some checks FAILED\n");
    return all_checks_passed_;
  }

 private:
  void AddCallers() {
    for (const std::string& path : options_.caller_results) {
      const json result = ReadJson(path);
      if (!result.is_object()) {
        std::cout << "no valid result in " << path << "\n";
        all_checks_passed_ = false;
        continue;
      }
      for (const auto& [kind, counts] : result.items()) AddResult(kind, counts);
    }
  }

  void AddResult(const std::string& kind, const json& counts) {
    json& total = results_by_kind_[kind];
    if (total.is_null()) total = json::object();
    for (const char* field :
         {"sent", "whole", "not_run", "unknown", "broken", "wrong"}) {
      total[field] =
          total.value(field, int64_t{0}) + counts.value(field, int64_t{0});
    }
    for (const char* field : {"p50_ms", "p99_ms"}) {
      total[field] =
          std::max(total.value(field, 0.0), counts.value(field, 0.0));
    }
  }

  void AddTargets() {
    final_stats_ = FetchAllStats(options_.target_addresses);
    for (const auto& [address, stats] : final_stats_.items()) {
      processes_with_repeated_orders_ +=
          stats.value("orders_most_runs", 0) > 1 ? 1 : 0;
      truncated_uploads_ += stats.value("uploads_cut", 0);
    }
  }

  int64_t RequestsAfterDrain() const {
    const json stats_before = ReadJson(options_.stats_before_path);
    int64_t requests = 0;
    for (const std::string& address : options_.drained_addresses) {
      const auto count = [&](const json& all) {
        return all.at(address)
            .at("targets")
            .at(address)
            .at("requests")
            .get<int64_t>();
      };
      requests += count(final_stats_) - count(stats_before);
    }
    return requests;
  }

  void PrintTable() const {
    std::cout << std::left << std::setw(10) << "kind" << std::right;
    for (const char* column : {"sent", "complete", "not run", "unknown",
                               "broken", "wrong", "p50 ms", "p99 ms"}) {
      std::cout << std::setw(10) << column;
    }
    std::cout << "   (p50, p99: of the slowest caller)\n";
    for (const auto& [kind, counts] : results_by_kind_.items()) {
      std::cout << std::left << std::setw(10) << kind << std::right;
      for (const char* field :
           {"sent", "whole", "not_run", "unknown", "broken", "wrong"}) {
        std::cout << std::setw(10) << counts[field].get<int64_t>();
      }
      for (const char* field : {"p50_ms", "p99_ms"}) {
        std::cout << std::setw(10) << std::fixed << std::setprecision(1)
                  << counts[field].get<double>();
      }
      std::cout << "\n";
    }
  }

  void Check(const std::string& what, int64_t value, bool passed) {
    all_checks_passed_ = all_checks_passed_ && passed;
    std::cout << std::left << std::setw(48) << what << std::right
              << std::setw(8) << value << (passed ? "" : "   FAILED") << "\n";
  }

  void CheckZero(const std::string& what, int64_t value) {
    Check(what, value, value == 0);
  }

  Options options_;
  json results_by_kind_ = json::object();
  json final_stats_;
  int64_t processes_with_repeated_orders_ = 0;
  int64_t truncated_uploads_ = 0;
  bool all_checks_passed_ = true;
};

}  // namespace
}  // namespace greengage::standins

int main(int argc, char** argv) {
  using greengage::standins::FetchAllStats;
  greengage::standins::Options options;
  CLI::App app("Summarizes the results of a demonstration");
  app.add_option("--callers", options.caller_results);
  app.add_option("--targets", options.target_addresses)->delimiter(',');
  app.add_option("--drained", options.drained_addresses)->delimiter(',');
  app.add_option("--before", options.stats_before_path);
  app.add_option("--snapshot", options.snapshot_path);
  app.add_option("--clean-stops", options.clean_stop_count);
  app.add_option("--expected-stops", options.expected_stop_count);
  CLI11_PARSE(app, argc, argv);
  if (!options.snapshot_path.empty()) {
    std::ofstream(options.snapshot_path)
        << FetchAllStats(options.target_addresses).dump();
    return 0;
  }
  return greengage::standins::Summary(options).Print() ? 0 : 1;
}
