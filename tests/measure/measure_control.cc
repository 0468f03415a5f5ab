// Measures the control logic at several sizes, in virtual time where time
// matters, and prints lines "name value unit [bound]". Fixed seeds: counts and
// virtual times repeat exactly; processor times do not.

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

constexpr double kLoss = 0.05;
constexpr int kZones = 11;
constexpr int kBudgetBytes = 4096;
constexpr int kSuspectRounds = 20;  // least cleanup time the paper names

void Print(const std::string& name, double value, const char* unit,
           const std::string& bound = "") {
  std::printf("%s %.4g %s%s\n", name.c_str(), value, unit,
              bound.empty() ? "" : (" [" + bound + "]").c_str());
  std::fflush(stdout);
}

double Percentile(std::vector<double> values, double part) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(part *
                                    static_cast<double>(values.size() - 1))];
}

double ResidentKilobytes() {
  std::ifstream statm("/proc/self/statm");
  double pages = 0;
  statm >> pages >> pages;
  constexpr double kPageKilobytes = 4;
  return pages * kPageKilobytes;
}

/** Runs `work` for a while and returns nanoseconds for one call. */
double NanosecondsOf(const std::function<void(uint64_t i)>& work) {
  constexpr uint64_t kCalls = 200'000;
  const auto start = std::chrono::steady_clock::now();
  for (uint64_t i = 0; i < kCalls; ++i) work(i);
  const std::chrono::duration<double, std::nano> spent =
      std::chrono::steady_clock::now() - start;
  return spent.count() / kCalls;
}

/** Document whose length is about `bytes`. */
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

/** Share of living hosts, other than `dead`, that still name it. */
double StillNaming(Fleet* fleet, int dead) {
  int naming = 0;
  int living = 0;
  const std::string address = fleet->hosts()[dead].record.id.address;
  for (Fleet::Host& host : fleet->hosts()) {
    if (!host.controller) continue;
    ++living;
    for (const MemberRecord& member : host.steering->Members()) {
      if (member.id.address != address) continue;
      if (member.state < MemberState::kSuspect) ++naming;
    }
  }
  return static_cast<double>(naming) / living;
}

int64_t Suspected(Fleet* fleet) {
  int64_t suspected = 0;
  for (Fleet::Host& host : fleet->hosts()) {
    if (!host.controller) continue;
    for (const MemberRecord& member : host.controller->membership().Members()) {
      if (member.state == MemberState::kSuspect) ++suspected;
    }
  }
  return suspected;
}

void MeasureOverlay(int hosts) {
  const std::string at = "overlay_" + std::to_string(hosts) + "_";
  int64_t bytes = 0;
  Fleet fleet(FleetOptions(hosts, 0, &bytes));
  fleet.Run(seconds(20));
  int64_t before = bytes;
  fleet.Run(seconds(20));
  const double rate = static_cast<double>(bytes - before) / 20 / hosts;
  Print(at + "bytes_a_second", rate, "B/s", "<= 4096");

  before = bytes;
  fleet.WriteDocument(DocumentOfSize(4000, 2));
  double spread = 0;
  const auto behind = [&] {
    return std::any_of(fleet.hosts().begin(), fleet.hosts().end(),
                       [&](const auto& host) {
                         return host.steering &&
                                host.steering->document_revision() <
                                    fleet.store_revision(SharedKey::kDocument);
                       });
  };
  while (behind() && spread < 30) {
    fleet.Run(milliseconds(50));
    spread += 0.05;
  }
  Print(at + "change_4KB_everywhere", spread, "s", "<= 5");
  Print(at + "change_4KB_bytes_a_daemon",
        static_cast<double>(bytes - before) / hosts - rate * spread, "B");

  std::vector<double> detection;
  double last = 0;
  const int kills = std::min(hosts / 4, 8);
  for (int i = 0; i < kills; ++i) {
    fleet.Kill(i);
    double waited = 0;
    bool half_known = false;
    while (StillNaming(&fleet, i) > 0 && waited < 60) {
      fleet.Run(milliseconds(100));
      waited += 0.1;
      if (!half_known && StillNaming(&fleet, i) <= 0.5) {
        half_known = true;
        detection.push_back(waited);
      }
    }
    last = std::max(last, waited);
  }
  Print(at + "detection_p50", Percentile(detection, 0.5), "s");
  Print(at + "detection_p99", Percentile(detection, 0.99), "s");
  Print(at + "dead_named_by_nobody_after", last, "s", "<= 5");

  Fleet lossy(FleetOptions(hosts, kLoss, nullptr));
  lossy.Run(seconds(20));
  int64_t episodes = 0;
  for (int i = 0; i < 60; ++i) {
    lossy.Run(seconds(1));
    episodes += Suspected(&lossy) > 0 ? 1 : 0;
  }
  Print(at + "seconds_with_false_suspicion_of_60",
        static_cast<double>(episodes), "s");
}

/** Everyone sends a heartbeat to everyone each second. */
void MeasureAllToAll(int hosts) {
  constexpr int kTcpIpHeader = 40;
  const size_t frame =
      EncodeFrame({"sample", {"10.0.0.1:7000", 1}, Heartbeat{}}).size();
  Print("all_to_all_" + std::to_string(hosts) + "_bytes_a_second",
        static_cast<double>(frame + kTcpIpHeader) * (hosts - 1), "B/s",
        "<= " + std::to_string(kBudgetBytes));
}

/** The whole-list gossip of "Distributed Server Monitoring using Gossiping":
   each second each node sends its heartbeat values, suspect list and suspect
   matrix to one random node. Sizes are counted without any framing. */
void MeasureWholeListGossip(int hosts) {
  const std::string at = "whole_list_gossip_" + std::to_string(hosts) + "_";
  const double bytes =
      4.0 * hosts + hosts / 8.0 + static_cast<double>(hosts) * hosts / 8.0;
  Print(at + "bytes_a_second", bytes, "B/s", "<= 4096");
  Random random(20261204);
  std::vector<std::vector<int>> age(hosts, std::vector<int>(hosts, 0));
  constexpr int kWarmUp = 60;
  constexpr int kRounds = 120;
  std::vector<double> detection;
  int64_t false_suspicions = 0;
  for (int round = 0; round < kWarmUp + kRounds; ++round) {
    const bool is_dead = round >= kWarmUp;  // node 0
    for (int node = is_dead ? 1 : 0; node < hosts; ++node) {
      const auto to = static_cast<int>(random.NextBelow(hosts));
      if (random.NextDouble() < kLoss || (is_dead && to == 0)) continue;
      for (int i = 0; i < hosts; ++i) {
        age[to][i] = std::min(age[to][i], age[node][i]);
      }
    }
    for (int node = 0; node < hosts; ++node) {
      for (int i = 0; i < hosts; ++i) {
        age[node][i] = i == node ? 0 : age[node][i] + 1;
        const bool suspects = age[node][i] == kSuspectRounds;
        if (!suspects || node == 0) continue;
        if (i == 0 && is_dead) {
          detection.push_back(round - kWarmUp);
        } else {
          ++false_suspicions;
        }
      }
    }
  }
  Print(at + "detection_p50", Percentile(detection, 0.5), "s");
  Print(at + "detection_p99", Percentile(detection, 0.99), "s", "<= 5");
  Print(at + "false_suspicions", static_cast<double>(false_suspicions),
        "count");
}

void MeasureControlCost(int hosts) {
  const std::string at = "control_" + std::to_string(hosts) + "_";
  const double before = ResidentKilobytes();
  Fleet fleet(FleetOptions(hosts, 0, nullptr));
  fleet.Run(seconds(20));
  Print(at + "memory_a_daemon", (ResidentKilobytes() - before) / hosts, "KB",
        "<= 65536");
  Controller* controller = fleet.hosts()[0].controller.get();
  TimePoint now = fleet.now();
  constexpr int kTicks = 2000;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kTicks; ++i) {
    now += milliseconds(1);
    controller->Tick(now);
  }
  const std::chrono::duration<double, std::micro> spent =
      std::chrono::steady_clock::now() - start;
  constexpr double kTicksPerSecond = 10;
  const double tick = spent.count() / kTicks;
  Print(at + "tick", tick, "us");
  Print(at + "ticks_share_of_core", tick * kTicksPerSecond / 1e6 * 100, "%",
        "<= 3.3");
  const double lookup = NanosecondsOf([&](uint64_t i) {
    if (i % 20 != 0) return;
    fleet.hosts()[0].steering->EntryHosts("shop",
                                          static_cast<uint32_t>(i << 8));
  });
  Print(at + "entry_hosts", lookup * 20, "ns");
}

void MeasureDocument() {
  for (const size_t bytes : {4'000U, 50'000U, 200'000U, 900'000U}) {
    const std::string text = DocumentOfSize(bytes, 1);
    const auto start = std::chrono::steady_clock::now();
    const auto parsed = ParseDocument(text);
    const std::chrono::duration<double, std::milli> spent =
        std::chrono::steady_clock::now() - start;
    if (!parsed.ok()) std::printf("document of %zu bytes refused\n", bytes);
    Print("document_parse_" + std::to_string(bytes / 1000) + "KB",
          spent.count(), "ms");
  }
}

void MeasureSteering() {
  Fleet fleet(FleetOptions(1, 0, nullptr));
  fleet.Run(seconds(5));
  Steering* steering = fleet.hosts()[0].steering.get();
  const DocumentPtr document = steering->document();
  const ServiceSpec& service = document->services[0];
  AdmissionRequest request{.service = &service,
                           .route = &service.routes[0],
                           .home_region = fleet.hosts()[0].record.region};
  const double nanoseconds = NanosecondsOf([&](uint64_t /*i*/) {
    const Admission admission = steering->Admit(request, fleet.now());
    if (!admission.is_admitted()) return;
    steering->Finish(admission, AttemptResult::kAnswered, milliseconds(2),
                     fleet.now());
  });
  Print("steering_admit_and_finish", nanoseconds, "ns");
}

void MeasureBlockTable(size_t blocks) {
  const std::string at = "block_table_" + std::to_string(blocks / 1000) + "k_";
  Random random(20261204);
  BlockTable table;
  uint32_t block = 0;
  // Runs of neighbouring blocks share a site, as allocations of addresses do.
  while (table.size() < blocks) {
    const auto site = static_cast<uint8_t>(random.NextBelow(160));
    const uint64_t run = 1 + random.NextBelow(16);
    for (uint64_t i = 0; i < run && table.size() < blocks; ++i) {
      table.Set({block++ & 0xffffffU, site});
    }
    block += random.NextBelow(8);
  }
  Print(at + "memory", static_cast<double>(table.MemoryBytes()) / 1e6, "MB",
        "<= 64");
  uint64_t sum = 0;
  const double nanoseconds = NanosecondsOf([&](uint64_t i) {
    sum += table.SiteOf(static_cast<uint32_t>(i * 2654435761U));
  });
  Print(at + "look_up", nanoseconds + static_cast<double>(sum % 2) * 1e-9,
        "ns");
  size_t encoded = 0;
  for (int range = 0; range < 256; ++range) {
    encoded += table.EncodeRange(range).size();
  }
  Print(at + "encoded", static_cast<double>(encoded) / 1e6, "MB");
  const auto start = std::chrono::steady_clock::now();
  BlockTable copy;
  for (int range = 0; range < 256; ++range) {
    if (!copy.DecodeRange(range, table.EncodeRange(range)).ok()) return;
  }
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - start;
  Print(at + "rebuild", spent.count(), "s");
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
