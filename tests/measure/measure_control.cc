// Measures the control logic at several fleet sizes and prints lines "name
// value unit [bound]". Delays are simulated in virtual time with fixed seeds,
// so counts and virtual times are the same in every run. Processor times are
// not.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "gg_document/document_parser.h"
#include "gg_wire/gg_wire.h"
#include "unit/fleet.h"
#include "unit/sample_document.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kLossProbability = 0.05;
constexpr int kZones = 11;
constexpr int kMaxBytesPerSecond = 4096;

/** Smallest cleanup time in the paper of MeasureWholeListGossip(). */
constexpr int kSuspicionRounds = 20;

/** Prints one line of the result. */
void Print(const std::string& name, double value, const char* unit,
           const std::string& bound = "") {
  std::printf("%s %.4g %s%s\n", name.c_str(), value, unit,
              bound.empty() ? "" : (" [" + bound + "]").c_str());
  std::fflush(stdout);
}

double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(fraction *
                                    static_cast<double>(values.size() - 1))];
}

double ResidentKilobytes() {
  std::ifstream statm("/proc/self/statm");
  double pages = 0;
  statm >> pages >> pages;
  constexpr double kPageKilobytes = 4;
  return pages * kPageKilobytes;
}

/** Calls the function 200,000 times with the index of the call and returns the
    mean duration in nanoseconds. */
double MeasureNanosecondsPerCall(const std::function<void(uint64_t i)>& call) {
  constexpr uint64_t kCalls = 200'000;
  const auto start = std::chrono::steady_clock::now();
  for (uint64_t i = 0; i < kCalls; ++i) call(i);
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / kCalls;
}

/** Returns a document with a length of about `bytes`. Documents with different
    revisions differ. */
std::string DocumentOfSize(size_t bytes, int revision) {
  std::string text = SampleDocument();
  const std::string from = "cap: 0.2";
  text.replace(text.find(from), from.size(),
               "cap: 0.2" + std::to_string(revision));
  int number = 0;
  while (text.size() < bytes) {
    char line[160];
    ++number;
    std::snprintf(
        line, sizeof(line),
        "    - {name: x%d, address: \"10.8.%d.%d:80\", zone: north-1, "
        "slots: 200, connections: 400}\n",
        number, number / 250, number % 250);
    text += line;
  }
  return text;
}

Fleet::Options FleetOptions(int hosts, double loss_probability,
                            int64_t* bytes) {
  Fleet::Options options;
  options.hosts = hosts;
  options.seed = 20261204;
  options.loss_probability = loss_probability;
  options.tick = milliseconds(500);
  options.max_delay = milliseconds(40);
  options.document = DocumentOfSize(4000, 1);
  for (int i = 0; i < std::min(hosts, kZones); ++i) {
    options.zones.push_back("zone-" + std::to_string(i));
  }
  options.region_of = [](const std::string& zone) {
    return zone.back() % 2 == 0 ? "north" : "south";
  };
  if (bytes != nullptr) {
    options.on_send = [bytes](const PeerMessage& message) {
      constexpr int kTcpIpHeader = 40;
      *bytes +=
          static_cast<int64_t>(
              EncodeFrame({"sample", {"10.0.0.1:7000", 1}, message}).size()) +
          kTcpIpHeader;
    };
  }
  return options;
}

/** Returns the fraction of live hosts that still list `dead_host` as alive or
    leaving. */
double FractionListingDeadHost(Fleet* fleet, int dead_host) {
  int listing_count = 0;
  int live_count = 0;
  const std::string address = fleet->hosts()[dead_host].record.id.address;
  for (Fleet::Host& host : fleet->hosts()) {
    if (!host.controller) continue;
    ++live_count;
    for (const MemberRecord& member : host.steering->Members()) {
      if (member.id.address != address) continue;
      if (member.state < MemberState::kSuspect) ++listing_count;
    }
  }
  return static_cast<double>(listing_count) / live_count;
}

/** Returns the number of suspect members, summed over all live hosts. */
int64_t CountSuspicions(Fleet* fleet) {
  int64_t suspicion_count = 0;
  for (Fleet::Host& host : fleet->hosts()) {
    if (!host.controller) continue;
    for (const MemberRecord& member : host.controller->membership().Members()) {
      if (member.state == MemberState::kSuspect) ++suspicion_count;
    }
  }
  return suspicion_count;
}

/** Measures the traffic of the member overlay, the propagation of a document,
    the detection of killed hosts, and false suspicions with packet loss. */
void MeasureOverlay(int hosts) {
  const std::string prefix = "overlay_" + std::to_string(hosts) + "_";
  int64_t bytes = 0;
  Fleet fleet(FleetOptions(hosts, 0, &bytes));
  fleet.Run(seconds(20));
  int64_t before = bytes;
  fleet.Run(seconds(20));
  const double rate = static_cast<double>(bytes - before) / 20 / hosts;
  Print(prefix + "bytes_a_second", rate, "B/s", "<= 4096");

  before = bytes;
  fleet.WriteDocument(DocumentOfSize(4000, 2));
  double propagation_seconds = 0;
  const auto is_any_host_outdated = [&] {
    return std::any_of(fleet.hosts().begin(), fleet.hosts().end(),
                       [&](const auto& host) {
                         return host.steering &&
                                host.steering->document_revision() <
                                    fleet.store_revision(SharedKey::kDocument);
                       });
  };
  while (is_any_host_outdated() && propagation_seconds < 30) {
    fleet.Run(milliseconds(50));
    propagation_seconds += 0.05;
  }
  Print(prefix + "change_4KB_everywhere", propagation_seconds, "s", "<= 5");
  Print(
      prefix + "change_4KB_bytes_a_daemon",
      static_cast<double>(bytes - before) / hosts - rate * propagation_seconds,
      "B");

  std::vector<double> detection;
  double last = 0;
  const int kills = std::min(hosts / 4, 8);
  for (int i = 0; i < kills; ++i) {
    fleet.Kill(i);
    double waited_seconds = 0;
    bool is_half_informed = false;
    while (FractionListingDeadHost(&fleet, i) > 0 && waited_seconds < 60) {
      fleet.Run(milliseconds(100));
      waited_seconds += 0.1;
      if (!is_half_informed && FractionListingDeadHost(&fleet, i) <= 0.5) {
        is_half_informed = true;
        detection.push_back(waited_seconds);
      }
    }
    last = std::max(last, waited_seconds);
  }
  Print(prefix + "detection_p50", Percentile(detection, 0.5), "s");
  Print(prefix + "detection_p99", Percentile(detection, 0.99), "s");
  Print(prefix + "dead_named_by_nobody_after", last, "s", "<= 5");

  Fleet lossy(FleetOptions(hosts, kLossProbability, nullptr));
  lossy.Run(seconds(20));
  int64_t suspicion_seconds = 0;
  for (int i = 0; i < 60; ++i) {
    lossy.Run(seconds(1));
    suspicion_seconds += CountSuspicions(&lossy) > 0 ? 1 : 0;
  }
  Print(prefix + "seconds_with_false_suspicion_of_60",
        static_cast<double>(suspicion_seconds), "s");
}

/** Baseline: every host sends a heartbeat to every other host each second. */
void MeasureAllToAll(int hosts) {
  constexpr int kTcpIpHeader = 40;
  const size_t frame_size =
      EncodeFrame({"sample", {"10.0.0.1:7000", 1}, Heartbeat{}}).size();
  Print("all_to_all_" + std::to_string(hosts) + "_bytes_a_second",
        static_cast<double>(frame_size + kTcpIpHeader) * (hosts - 1), "B/s",
        "<= " + std::to_string(kMaxBytesPerSecond));
}

/** Baseline: the whole-list gossip of "Distributed Server Monitoring using
    Gossiping". Each second every node sends its heartbeat values, suspect list
    and suspect matrix to one random node. Sizes do not include framing. */
void MeasureWholeListGossip(int hosts) {
  const std::string prefix = "whole_list_gossip_" + std::to_string(hosts) + "_";
  const double bytes =
      4.0 * hosts + hosts / 8.0 + static_cast<double>(hosts) * hosts / 8.0;
  Print(prefix + "bytes_a_second", bytes, "B/s", "<= 4096");
  Random random(20261204);
  std::vector<std::vector<int>> rounds_since_heartbeat(
      hosts, std::vector<int>(hosts, 0));
  constexpr int kWarmUpRounds = 60;
  constexpr int kRounds = 120;
  std::vector<double> detection;
  int64_t false_suspicions = 0;
  for (int round = 0; round < kWarmUpRounds + kRounds; ++round) {
    const bool is_node_dead = round >= kWarmUpRounds;  // node 0
    for (int node = is_node_dead ? 1 : 0; node < hosts; ++node) {
      const auto to = static_cast<int>(random.NextBelow(hosts));
      if (random.NextDouble() < kLossProbability || (is_node_dead && to == 0)) {
        continue;
      }
      for (int i = 0; i < hosts; ++i) {
        rounds_since_heartbeat[to][i] = std::min(
            rounds_since_heartbeat[to][i], rounds_since_heartbeat[node][i]);
      }
    }
    for (int node = 0; node < hosts; ++node) {
      for (int i = 0; i < hosts; ++i) {
        rounds_since_heartbeat[node][i] =
            i == node ? 0 : rounds_since_heartbeat[node][i] + 1;
        const bool starts_suspicion =
            rounds_since_heartbeat[node][i] == kSuspicionRounds;
        if (!starts_suspicion || node == 0) continue;
        if (i == 0 && is_node_dead) {
          detection.push_back(round - kWarmUpRounds);
        } else {
          ++false_suspicions;
        }
      }
    }
  }
  Print(prefix + "detection_p50", Percentile(detection, 0.5), "s");
  Print(prefix + "detection_p99", Percentile(detection, 0.99), "s", "<= 5");
  Print(prefix + "false_suspicions", static_cast<double>(false_suspicions),
        "count");
}

/** Measures the memory and processor time of the control logic per daemon. */
void MeasureControlCost(int hosts) {
  const std::string prefix = "control_" + std::to_string(hosts) + "_";
  const double before = ResidentKilobytes();
  Fleet fleet(FleetOptions(hosts, 0, nullptr));
  fleet.Run(seconds(20));
  Print(prefix + "memory_a_daemon", (ResidentKilobytes() - before) / hosts,
        "KB", "<= 65536");
  Controller* controller = fleet.hosts()[0].controller.get();
  TimePoint now = fleet.now();
  constexpr int kTicks = 2000;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kTicks; ++i) {
    now += milliseconds(1);
    controller->Tick(now);
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  constexpr double kTicksPerSecond = 10;
  const double tick = elapsed.count() / kTicks;
  Print(prefix + "tick", tick, "us");
  Print(prefix + "ticks_share_of_core", tick * kTicksPerSecond / 1e6 * 100, "%",
        "<= 3.3");
  const double lookup = MeasureNanosecondsPerCall([&](uint64_t i) {
    if (i % 20 != 0) return;
    fleet.hosts()[0].steering->EntryHosts("shop",
                                          static_cast<uint32_t>(i << 8));
  });
  Print(prefix + "entry_hosts", lookup * 20, "ns");
}

/** Measures how long it takes to parse documents of several sizes. */
void MeasureDocument() {
  for (const size_t bytes : {4'000U, 50'000U, 200'000U, 900'000U}) {
    const std::string text = DocumentOfSize(bytes, 1);
    const auto start = std::chrono::steady_clock::now();
    const auto parsed = ParseDocument(text);
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - start;
    if (!parsed.ok()) std::printf("document of %zu bytes was refused\n", bytes);
    Print("document_parse_" + std::to_string(bytes / 1000) + "KB",
          elapsed.count(), "ms");
  }
}

/** Measures the admission of one request including its completion. */
void MeasureSteering() {
  Fleet fleet(FleetOptions(1, 0, nullptr));
  fleet.Run(seconds(5));
  Steering* steering = fleet.hosts()[0].steering.get();
  const DocumentPtr document = steering->document();
  const ServiceSpec& service = document->services[0];
  AdmissionRequest request{.service = &service,
                           .route = &service.routes[0],
                           .home_region = fleet.hosts()[0].record.region};
  const double nanoseconds = MeasureNanosecondsPerCall([&](uint64_t /*i*/) {
    const Admission admission = steering->Admit(request, fleet.now());
    if (!admission.is_admitted()) return;
    steering->Finish(admission, AttemptResult::kAnswered, milliseconds(2),
                     fleet.now());
  });
  Print("steering_admit_and_finish", nanoseconds, "ns");
}

/** Measures the memory, look-up, encoding and decoding of a block table. */
void MeasureBlockTable(size_t blocks) {
  const std::string prefix =
      "block_table_" + std::to_string(blocks / 1000) + "k_";
  Random random(20261204);
  BlockTable table;
  uint32_t block = 0;
  // Runs of adjacent blocks have the same site, as allocated address ranges do.
  while (table.size() < blocks) {
    const auto site = static_cast<uint8_t>(random.NextBelow(160));
    const uint64_t run_length = 1 + random.NextBelow(16);
    for (uint64_t i = 0; i < run_length && table.size() < blocks; ++i) {
      table.Set({block++ & 0xffffffU, site});
    }
    block += random.NextBelow(8);
  }
  Print(prefix + "memory", static_cast<double>(table.MemoryBytes()) / 1e6, "MB",
        "<= 64");
  uint64_t checksum = 0;
  const double nanoseconds = MeasureNanosecondsPerCall([&](uint64_t i) {
    checksum += table.SiteOf(static_cast<uint32_t>(i * 2654435761U));
  });
  Print(prefix + "look_up",
        nanoseconds + static_cast<double>(checksum % 2) * 1e-9, "ns");
  size_t encoded = 0;
  for (int range = 0; range < 256; ++range) {
    encoded += table.EncodeRange(range).size();
  }
  Print(prefix + "encoded", static_cast<double>(encoded) / 1e6, "MB");
  const auto start = std::chrono::steady_clock::now();
  BlockTable copy;
  for (int range = 0; range < 256; ++range) {
    if (!copy.DecodeRange(range, table.EncodeRange(range)).ok()) return;
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  Print(prefix + "rebuild", elapsed.count(), "s");
}

}  // namespace
}  // namespace greengage

int main(int argc, char** argv) {
  using namespace greengage;  // NOLINT(google-build-using-namespace)
  const int largest = argc > 1 ? std::atoi(argv[1]) : 870;
  const int smallest = argc > 2 ? std::atoi(argv[2]) : 0;
  for (const int hosts : {11, 100, 300, 870}) {
    if (hosts > largest || hosts < smallest) continue;
    MeasureControlCost(hosts);
    MeasureOverlay(hosts);
    MeasureAllToAll(hosts);
    MeasureWholeListGossip(hosts);
  }
  MeasureDocument();
  MeasureSteering();
  for (const size_t blocks : {100'000U, 1'000'000U, 2'200'000U}) {
    MeasureBlockTable(blocks);
  }
  return 0;
}
