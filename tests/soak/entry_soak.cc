// Randomized soak: the real entry daemon in several processes on loopback,
// between stand-ins for the platform, with faults from outside: proxies before
// store and targets, and signals. One seed gives one schedule of faults. It
// checks what callers and targets see:
//   - an order runs at most once;
//   - a request that was refused as not run has not run and never does;
//   - a success is the whole answer to the caller's own request;
//   - after calm every daemon is ready, has the newest configuration and
//   serves;
//   - a planned stop in calm cuts no request.
// Exits with 1 and names the seed when one is broken.

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "absl/strings/str_cat.h"
#include "scenario_runner/process.h"
#include "soak/fault_proxy.h"
#include "standins/platform_world.h"

namespace greengage::soak {
namespace {

using scenario::Process;
using standins::PlatformWorld;

constexpr int kHosts = 3;
constexpr int kTargets = 6;
constexpr int kCallers = 8;
constexpr Duration kCalm = std::chrono::seconds(5);

/** The operators' bound on requests to a target after it has left. */
constexpr std::chrono::milliseconds kDrainBound{2500};
constexpr int kTimeLimitMs = 600;

TimePoint Now() { return std::chrono::steady_clock::now(); }

void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

struct Options {
  uint64_t seed = 1;
  int net = 40;  // second byte of the loopback addresses
  int seconds = 8;
  std::string program;
  std::string folder = "/tmp";
};

/** One entry host: its process and its own way to the store. */
struct Host {
  std::string name;
  std::string ip;
  Process process;
  std::unique_ptr<FaultProxy> store_way;
  std::atomic<bool> is_stopping = false;
};

/** What a caller saw of one request. */
struct Seen {
  std::string id;
  bool is_order = false;
  int status = 0;  // 0: no answer
  bool is_whole = false;
  bool was_on_new_connection = false;
};

class Soak {
 public:
  explicit Soak(Options options)
      : options_(std::move(options)),
        random_(options_.seed),
        world_(Address(200, 0), options_.seed) {}

  /** Returns the number of broken promises. */
  int Run() {
    SetUp();
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([this, i] { Call(i); });
    }
    const TimePoint end = Now() + std::chrono::seconds(options_.seconds);
    while (Now() < end) {
      Sleep(100 + static_cast<int>(random_.NextBelow(500)));
      InjectFault();
    }
    EndFaults();
    std::this_thread::sleep_for(kCalm);
    CheckCalm();
    LeaveInCalm();
    StopEachInCalm();
    is_over_ = true;
    for (std::thread& caller : callers) caller.join();
    for (Host& host : hosts_) scenario::End(&host.process);
    CheckRequests();
    Report(absl::StrCat("requests=", seen_.size(), " served=", Served(),
                        " broken=", broken_.load()));
    return broken_;
  }

 private:
  std::string Address(int host, int index) const {
    return absl::StrCat("127.", options_.net, ".", host, ".", index + 1, ":",
                        host == 200 ? 18142 : 18080);
  }
  std::string Ip(int host) const {
    return absl::StrCat("127.", options_.net, ".", host, ".1");
  }
  void Report(const std::string& text) const {
    std::cout << "seed=" << options_.seed << " " << text << std::endl;
  }
  void Broken(const std::string& text) {
    ++broken_;
    Report("BROKEN " + text);
  }

  void SetUp() {
    for (int i = 0; i < kTargets; ++i) {
      const std::string shown = Address(100, i);
      target_ways_.push_back(
          std::make_unique<FaultProxy>(shown, Address(101, i)));
      world_.AddTarget(absl::StrCat("t-", i), Address(101, i),
                       i % 2 == 0 ? "north-a" : "south-a", shown);
    }
    PutConfig();
    for (int i = 0; i < kHosts; ++i) {
      Host& host = hosts_[i];
      host.name = absl::StrCat("host-", i);
      host.ip = Ip(i);
      const std::string way = Address(150, i);
      host.store_way = std::make_unique<FaultProxy>(way, Address(200, 0));
      const std::string settings = absl::StrCat(options_.folder, "/soak-",
                                                options_.seed, "-", i, ".conf");
      WriteSettings(settings, host, way);
      // Every second seed has changes relayed, as in fleets of hundreds.
      host.process.command = {options_.program, "--settings", settings,
                              "--relay-above",
                              options_.seed % 2 == 0 ? "1" : "24"};
      host.process.output = absl::StrCat(options_.folder, "/soak-",
                                         options_.seed, "-", i, ".log");
      std::filesystem::remove(host.process.output);
      scenario::Start(&host.process);
    }
    Sleep(800);
  }

  static void WriteSettings(const std::string& path, const Host& host,
                            const std::string& store) {
    std::ofstream file(path);
    file << "self.node=" << host.name << "\nself.zone=north-a\n"
         << "self.region=north\nself.ip=" << host.ip
         << "\nself.limits.memoryMb=260\nself.limits.maxFds=4100\n"
         << "network.listen.front=" << host.ip << ":18080\n"
         << "network.listen.ready=" << host.ip << ":18081\n"
         << "network.listen.directory=" << host.ip << ":18082\n"
         << "network.internalPorts=18090,18099\n"
         << "network.zones.north-a=north\nnetwork.zones.south-a=south\n"
         << "platform.platform.addr=" << store << "\nterms.bounds.graceS=3\n"
         << "terms.bounds.retryBudgetRatio=0.2\nterms.bounds.retrySlack=62\n"
         << "terms.bounds.budgetWindowS=10\nterms.bounds.coldOvershoot=1.5\n"
         << "terms.bounds.coldSlack=5\nterms.bounds.ttl_max_s=5\n";
  }

  void PutConfig() {
    ++version_;
    world_.PutConfig(version_, kTimeLimitMs, static_cast<int>(version_));
  }

  //============================================================================
  void InjectFault() {
    Host& host = hosts_[random_.NextBelow(kHosts)];
    FaultProxy& target = *target_ways_[random_.NextBelow(kTargets)];
    const auto mode = static_cast<ProxyMode>(random_.NextBelow(5));
    switch (random_.NextBelow(13)) {
      case 0:
        Signal(&host, SIGSTOP);
        Sleep(static_cast<int>(random_.NextBelow(1500)));
        Signal(&host, SIGCONT);
        break;
      case 1:
        scenario::End(&host.process);
        scenario::Start(&host.process);
        break;
      case 2:
        Signal(&host, SIGTERM);
        break;
      case 3:
        Signal(&host, SIGHUP);
        break;
      case 4:
        host.store_way->SetMode(mode);
        break;
      case 5:
        host.store_way->ResetAll();
        break;
      case 6:
        target.SetMode(mode);
        break;
      case 7:
        target.ResetAll();
        break;
      case 8:
        is_store_down_ = !is_store_down_;
        world_.SetStoreDown(is_store_down_);
        break;
      case 9:
        world_.Compact();
        break;
      case 10:
        PutConfig();
        break;
      case 11:
        world_.SetFaults({.lose_answer = random_.NextDouble() * 0.2,
                          .shed = random_.NextDouble() * 0.3,
                          .fail = random_.NextDouble() * 0.1,
                          .truncate = random_.NextDouble() * 0.1,
                          .cross = random_.NextDouble() * 0.1,
                          .work_ms = static_cast<int>(random_.NextBelow(80))});
        break;
      default:
        for (const auto& way : target_ways_) way->SetMode(ProxyMode::kPass);
        host.store_way->SetMode(ProxyMode::kPass);
        break;
    }
    StartEnded();
  }

  void Signal(Host* host, int signal) {
    scenario::Reap(&host->process);
    if (!host->process.exit_code) kill(host->process.pid, signal);
  }

  void StartEnded() {
    for (Host& host : hosts_) {
      scenario::Reap(&host.process);
      if (host.process.exit_code && !host.is_stopping) {
        scenario::Start(&host.process);
      }
    }
  }

  void EndFaults() {
    world_.SetFaults({});
    world_.SetStoreDown(false);
    for (const auto& way : target_ways_) way->SetMode(ProxyMode::kPass);
    for (Host& host : hosts_) {
      host.store_way->SetMode(ProxyMode::kPass);
      Signal(&host, SIGCONT);
    }
    PutConfig();
    for (int i = 0; i < 35; ++i) {
      StartEnded();
      Sleep(100);
    }
  }

  //============================================================================
  struct Connection {
    asio::io_context io;
    asio::ip::tcp::socket socket{io};
    beast::flat_buffer buffer;
    bool is_new = true;
  };

  void Call(int caller) {
    Random random(options_.seed * 100 + caller);
    std::unique_ptr<Connection> connection;
    int number = 0;
    while (!is_over_) {
      if (connection == nullptr) {
        connection = std::make_unique<Connection>();
        Host& host = hosts_[random.NextBelow(kHosts)];
        ErrorCode error;
        if (!host.is_stopping) {
          connection->socket.connect(*ParseEndpoint(host.ip + ":18080"), error);
        }
        if (error || host.is_stopping) {
          connection.reset();
          Sleep(20);
          continue;
        }
        timeval limit{.tv_sec = 4, .tv_usec = 0};
        setsockopt(connection->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO,
                   &limit, sizeof(limit));
      }
      const bool is_order = random.NextBelow(2) == 0;
      const std::string id = absl::StrCat("c", caller, "-", ++number);
      const Seen seen = Ask(id, is_order, connection.get(),
                            absl::StrCat(random.NextBelow(20)));
      const bool keeps = seen.status != 0 && !closes_;
      {
        const std::lock_guard lock(mutex_);
        seen_.push_back(seen);
      }
      connection->is_new = false;
      if (!keeps || random.NextBelow(10) == 0) connection.reset();
      Sleep(5);
    }
  }

  Seen Ask(const std::string& id, bool is_order, Connection* connection,
           const std::string& object) {
    Seen seen{.id = id,
              .is_order = is_order,
              .was_on_new_connection = connection->is_new};
    http::request<http::string_body> request(
        is_order ? http::verb::post : http::verb::get,
        is_order ? "/order/" : "/read/", 11);
    request.set(http::field::host, "shop.example");
    request.set("Request-Id", id);
    request.set("Cookie", "Affinity-Key=" + object);
    request.set("Deadline-Ms", "3000");
    request.body() = is_order ? "two chests" : "";
    if (is_order) request.prepare_payload();
    ErrorCode error;
    http::write(connection->socket, request, error);
    http::response<http::string_body> answer;
    if (!error)
      http::read(connection->socket, connection->buffer, answer, error);
    closes_ = !error && !answer.keep_alive();
    if (error) return seen;
    seen.status = static_cast<int>(answer.result_int());
    seen.is_whole =
        answer.body().starts_with(absl::StrCat("whole ", id, " of t-"));
    if (seen.status == 503 && world_.RunCount(id) > 0) {
      Broken("refused as not run, but it ran: " + id);
    }
    return seen;
  }

  //============================================================================
  int Status(const std::string& address, const std::string& path) {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    ErrorCode error;
    socket.connect(*ParseEndpoint(address), error);
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, "shop.example");
    request.set("Request-Id", absl::StrCat("check-", ++checks_));
    if (!error) http::write(socket, request, error);
    beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    if (!error) http::read(socket, buffer, answer, error);
    return error ? 0 : static_cast<int>(answer.result_int());
  }

  void CheckCalm() {
    for (Host& host : hosts_) {
      const int ready = Status(host.ip + ":18081", "/-/readyz");
      if (ready != 200) Broken(absl::StrCat(host.name, " not ready: ", ready));
      const std::string newest = absl::StrCat("/extra", version_, "/");
      const int status = Status(host.ip + ":18080", newest);
      if (status != 200) {
        Broken(absl::StrCat(host.name, " serves ", newest, " with ", status));
      }
    }
    size_t from = 0;
    {
      const std::lock_guard lock(mutex_);
      from = seen_.size();
    }
    Sleep(1000);
    const std::lock_guard lock(mutex_);
    size_t served = 0;
    for (size_t i = from; i < seen_.size(); ++i) {
      served += seen_[i].status == 200 ? 1 : 0;
    }
    if (served * 10 < (seen_.size() - from) * 9) {
      Broken(absl::StrCat("in calm only ", served, " of ", seen_.size() - from,
                          " were served"));
    }
  }

  /** One target says that it leaves, another's entry goes without a word; both
      serve on, and nothing may reach them after the operators' bound. */
  void LeaveInCalm() {
    world_.SetDraining("t-0");
    world_.RemoveEntry("t-1");
    Sleep(static_cast<int>(kDrainBound.count()) + 1000);
    const int late = world_.LateArrivals(kDrainBound);
    if (late > 0) {
      Broken(absl::StrCat(late, " requests reached a target that had left"));
    }
  }

  void StopEachInCalm() {
    size_t from = 0;
    {
      const std::lock_guard lock(mutex_);
      from = seen_.size();
    }
    for (int i = 1; i < kHosts; ++i) {
      Signal(&hosts_[i], SIGTERM);
      for (int wait = 0; wait < 40; ++wait) {
        // Callers learn from the look-up that the host is leaving.
        if (wait == 12) hosts_[i].is_stopping = true;
        scenario::Reap(&hosts_[i].process);
        Sleep(100);
      }
      if (!hosts_[i].process.exit_code)
        Broken(hosts_[i].name + " did not stop");
    }
    const std::lock_guard lock(mutex_);
    for (size_t i = from; i < seen_.size(); ++i) {
      const bool was_cut = seen_[i].status == 0 && RanOnce(seen_[i].id);
      if (was_cut) Broken("cut by a planned stop: " + seen_[i].id);
    }
  }

  bool RanOnce(const std::string& id) const { return world_.RunCount(id) > 0; }

  void CheckRequests() {
    for (const Seen& seen : seen_) {
      const int runs = world_.RunCount(seen.id);
      if (seen.is_order && runs > 1) Broken("order ran twice: " + seen.id);
      if (runs > 2) Broken("more targets than attempts: " + seen.id);
      if (seen.status == 200 && !seen.is_whole) {
        Broken("not its own whole answer: " + seen.id);
      }
      if (seen.status == 503 && runs > 0) {
        Broken("ran after it was refused: " + seen.id);
      }
    }
  }

  size_t Served() const {
    size_t served = 0;
    for (const Seen& seen : seen_) served += seen.status == 200 ? 1 : 0;
    return served;
  }

  Options options_;
  Random random_;
  PlatformWorld world_;
  std::vector<std::unique_ptr<FaultProxy>> target_ways_;
  Host hosts_[kHosts];
  uint64_t version_ = 0;
  bool is_store_down_ = false;
  std::atomic<bool> is_over_ = false;
  static thread_local bool closes_;  // the last answer ends the connection
  std::mutex mutex_;
  std::vector<Seen> seen_;
  std::atomic<int> broken_ = 0;
  int checks_ = 0;
};

thread_local bool Soak::closes_ = false;

}  // namespace
}  // namespace greengage::soak

int main(int argc, char** argv) {
  CLI::App app("Soak of the entry daemon with random faults");
  greengage::soak::Options options;
  int seeds = 1;
  app.add_option("--program", options.program, "greengage_entry")->required();
  app.add_option("--seed", options.seed, "first seed");
  app.add_option("--seeds", seeds, "how many seeds, one after the other");
  app.add_option("--seconds", options.seconds, "of faults for each seed");
  app.add_option("--net", options.net, "second byte of the addresses used");
  app.add_option("--folder", options.folder, "for settings and logs");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  int broken = 0;
  for (int i = 0; i < seeds; ++i) {
    broken += greengage::soak::Soak(options).Run();
    ++options.seed;
  }
  return broken == 0 ? 0 : 1;
}
