// Adds up what callers and targets of a demonstration saw, prints one table,
// and ends with 0 only if every check held. With --snapshot it only saves what
// the targets have seen so far.

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
  std::vector<std::string> callers;
  std::vector<std::string> targets;
  std::vector<std::string> drained;
  std::string before;
  std::string snapshot;
  int clean_stops = 0;
  int expected_stops = 0;
};

json Stats(const std::string& address) {
  const auto text = HttpGet(address, "/control/stats", std::chrono::seconds(5));
  return text.ok() ? json::parse(*text) : json::object();
}

json AllStats(const std::vector<std::string>& addresses) {
  json all = json::object();
  for (const std::string& address : addresses) all[address] = Stats(address);
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
    PrintKinds();
    for (const auto& [kind, row] : kinds_.items()) {
      CheckZero(kind + " with somebody else's answer", row["wrong"]);
      CheckZero(kind + " cut or without an answer", row["broken"]);
      Check(kind + " answered whole", row["whole"], row["whole"] > 0);
    }
    CheckZero("orders seen twice", twice_);
    CheckZero("uploads cut at targets", uploads_cut_);
    CheckZero("requests to drained targets after 5 s", AfterDrain());
    Check("hosts that stopped cleanly", options_.clean_stops,
          options_.clean_stops == options_.expected_stops);
    std::cout << (held_ ? "all held\n" : "NOT all held\n");
    return held_;
  }

 private:
  void AddCallers() {
    for (const std::string& path : options_.callers) {
      const json result = ReadJson(path);
      if (!result.is_object()) {
        std::cout << "no result in " << path << "\n";
        held_ = false;
        continue;
      }
      for (const auto& [kind, row] : result.items()) AddKind(kind, row);
    }
  }

  void AddKind(const std::string& kind, const json& row) {
    json& total = kinds_[kind];
    if (total.is_null()) total = json::object();
    for (const char* field :
         {"sent", "whole", "not_run", "unknown", "broken", "wrong"}) {
      total[field] =
          total.value(field, int64_t{0}) + row.value(field, int64_t{0});
    }
    for (const char* field : {"p50_ms", "p99_ms"}) {
      total[field] = std::max(total.value(field, 0.0), row.value(field, 0.0));
    }
  }

  void AddTargets() {
    after_ = AllStats(options_.targets);
    for (const auto& [address, stats] : after_.items()) {
      twice_ += stats.value("orders_most_runs", 0) > 1 ? 1 : 0;
      uploads_cut_ += stats.value("uploads_cut", 0);
    }
  }

  int64_t AfterDrain() const {
    const json before = ReadJson(options_.before);
    int64_t requests = 0;
    for (const std::string& address : options_.drained) {
      const auto count = [&](const json& all) {
        return all.at(address)
            .at("targets")
            .at(address)
            .at("requests")
            .get<int64_t>();
      };
      requests += count(after_) - count(before);
    }
    return requests;
  }

  void PrintKinds() const {
    std::cout << std::left << std::setw(10) << "kind" << std::right;
    for (const char* column : {"sent", "whole", "not run", "unknown", "cut",
                               "wrong", "p50 ms", "p99 ms"}) {
      std::cout << std::setw(10) << column;
    }
    std::cout << "   (p50, p99: of the slowest caller)\n";
    for (const auto& [kind, row] : kinds_.items()) {
      std::cout << std::left << std::setw(10) << kind << std::right;
      for (const char* field :
           {"sent", "whole", "not_run", "unknown", "broken", "wrong"}) {
        std::cout << std::setw(10) << row[field].get<int64_t>();
      }
      for (const char* field : {"p50_ms", "p99_ms"}) {
        std::cout << std::setw(10) << std::fixed << std::setprecision(1)
                  << row[field].get<double>();
      }
      std::cout << "\n";
    }
  }

  void Check(const std::string& what, int64_t value, bool holds) {
    held_ = held_ && holds;
    std::cout << std::left << std::setw(48) << what << std::right
              << std::setw(8) << value << (holds ? "" : "   FAILED") << "\n";
  }

  void CheckZero(const std::string& what, int64_t value) {
    Check(what, value, value == 0);
  }

  Options options_;
  json kinds_ = json::object();
  json after_;
  int64_t twice_ = 0;
  int64_t uploads_cut_ = 0;
  bool held_ = true;
};

}  // namespace
}  // namespace greengage::standins

int main(int argc, char** argv) {
  using greengage::standins::AllStats;
  greengage::standins::Options options;
  CLI::App app("Adds up a demonstration");
  app.add_option("--callers", options.callers);
  app.add_option("--targets", options.targets)->delimiter(',');
  app.add_option("--drained", options.drained)->delimiter(',');
  app.add_option("--before", options.before);
  app.add_option("--snapshot", options.snapshot);
  app.add_option("--clean-stops", options.clean_stops);
  app.add_option("--expected-stops", options.expected_stops);
  CLI11_PARSE(app, argc, argv);
  if (!options.snapshot.empty()) {
    std::ofstream(options.snapshot) << AllStats(options.targets).dump();
    return 0;
  }
  return greengage::standins::Summary(options).Print() ? 0 : 1;
}
