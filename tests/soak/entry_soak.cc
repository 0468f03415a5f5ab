// Randomized soak test. It runs the real entry daemon in several processes on
// loopback, with stand-ins for the platform, and injects faults with proxies in
// front of the store and the targets and with signals. The seed determines the
// schedule of faults. The test checks what callers and targets observe:
//   - an order runs at most once;
//   - a request that was refused as not run never runs;
//   - a successful response is complete and belongs to the request;
//   - after the faults every daemon becomes ready, has the newest configuration
//     and serves requests;
//   - a target that has left gets no requests after the maximum drain time;
//   - a planned stop without faults interrupts no request, also if callers use
//     their connections until the process is gone;
//   - of two requests sent ahead, each gets its own response;
//   - nothing is sent for callers that left before their requests were read,
//   and
//     a read ends at its target when its caller leaves.
// Prints each violation with its seed and exits with 1 if there was one.

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "scenario_runner/process.h"
#include "soak/fault_proxy.h"
#include "standins/platform_standin.h"

namespace greengage::soak {
namespace {

using scenario::Process;
using standins::PlatformStandin;

constexpr int kHostCount = 3;
constexpr int kTargetCount = 6;
constexpr int kCallerCount = 8;

/** Time from the last fault until every daemon must have recovered. */
constexpr Duration kRecoveryTime = std::chrono::seconds(5);

/** The operators require that no request reaches a target later than this after
    it has left. */
constexpr std::chrono::milliseconds kMaxDrainTime{2500};

/** The operators require that a read ends at its target this long after its
    caller has left. */
constexpr std::chrono::milliseconds kMaxWorkAfterDeparture{500};

/** Callers that leave at the same time. */
constexpr int kDepartingCallers = 10;

/** Requests per second that each target takes in the check of rate limits. */
constexpr double kRateLimit = 3;

/** The operators count the requests to a limited target over this time, once it
    has named its limit for the settle time. */
constexpr Duration kRateLimitWindow = std::chrono::seconds(4);
constexpr Duration kRateLimitSettleTime = std::chrono::seconds(3);

/** Time from SIGTERM within which a host must exit; the grace time is 3 s. */
constexpr Duration kMaxStopTime = std::chrono::seconds(4);

/** Time limit of every route. */
constexpr int kTimeLimitMs = 600;

TimePoint Now() { return std::chrono::steady_clock::now(); }

void Sleep(int milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

struct Options {
  uint64_t seed = 1;
  int network_byte = 40;  // second byte of the loopback addresses
  int seconds = 8;        // duration of the faults
  std::string program;
  std::string directory = "/tmp";
};

/** One entry host: its process and its own proxy to the store. */
struct Host {
  std::string name;
  std::string ip;
  Process process;
  std::unique_ptr<FaultProxy> store_proxy;
  std::atomic<bool> is_stopping = false;
};

/** Returns state, kernel function and processor of each thread of a process
   that should have ended. */
std::string DescribeThreads(pid_t pid) {
  std::string text;
  std::error_code error;
  const std::string folder = absl::StrCat("/proc/", pid, "/task");
  for (const auto& task : std::filesystem::directory_iterator(folder, error)) {
    std::string stat;
    std::string function;
    std::getline(std::ifstream(task.path() / "stat"), stat);
    std::getline(std::ifstream(task.path() / "wchan"), function);
    std::istringstream fields(stat.substr(stat.rfind(')') + 1));
    std::string state;
    std::string processor;
    fields >> state;
    for (int i = 4; i <= 39; ++i) fields >> processor;
    absl::StrAppend(&text, " ", task.path().filename().string(), "=", state,
                    ",", function, ",cpu", processor);
  }
  return text;
}

/** What a caller observed of one request. */
struct RequestResult {
  std::string id;
  bool is_order = false;
  int status = 0;  // 0: no complete response
  bool is_complete = false;
  bool was_on_new_connection = false;
};

/** One run of the soak test with one seed. */
class Soak {
 public:
  explicit Soak(Options options)
      : options_(std::move(options)),
        random_(options_.seed),
        platform_(Address(200, 0), options_.seed) {}

  /** Runs the test and returns the number of violations. */
  int Run() {
    SetUp();
    platform_.CopyStore();
    std::vector<std::thread> callers;
    for (int i = 0; i < kCallerCount; ++i) {
      callers.emplace_back([this, i] { RunCaller(i); });
    }
    const TimePoint end = Now() + std::chrono::seconds(options_.seconds);
    while (Now() < end) {
      Sleep(100 + static_cast<int>(random_.NextBelow(500)));
      InjectFault();
    }
    EndFaults();
    std::this_thread::sleep_for(kRecoveryTime);
    CheckRecovery();
    CheckRateLimits();
    CheckCallerDeparture();
    CheckTargetDeparture();
    CheckPlannedStops();
    CheckRequestsLateInAStop();
    is_finished_ = true;
    for (std::thread& caller : callers) caller.join();
    for (Host& host : hosts_) scenario::KillProcess(&host.process);
    CheckRequests();
    Print(absl::StrCat("requests=", results_.size(), " served=", CountServed(),
                       " broken=", violation_count_.load()));
    return violation_count_;
  }

 private:
  std::string Address(int host, int index) const {
    return absl::StrCat("127.", options_.network_byte, ".", host, ".",
                        index + 1, ":", host == 200 ? 18142 : 18080);
  }
  std::string HostIp(int host) const {
    return absl::StrCat("127.", options_.network_byte, ".", host, ".1");
  }
  void Print(const std::string& text) const {
    std::cout << "seed=" << options_.seed << " " << text << std::endl;
  }
  void ReportViolation(const std::string& text) {
    ++violation_count_;
    Print("BROKEN " + text);
  }

  void SetUp() {
    for (int i = 0; i < kTargetCount; ++i) {
      const std::string proxy_address = Address(100, i);
      target_proxies_.push_back(
          std::make_unique<FaultProxy>(proxy_address, Address(101, i)));
      platform_.AddTarget(absl::StrCat("t-", i), Address(101, i),
                          i % 2 == 0 ? "north-a" : "south-a", proxy_address);
    }
    PutConfig();
    for (int i = 0; i < kHostCount; ++i) {
      Host& host = hosts_[i];
      host.name = absl::StrCat("host-", i);
      host.ip = HostIp(i);
      const std::string store_address = Address(150, i);
      host.store_proxy =
          std::make_unique<FaultProxy>(store_address, Address(200, 0));
      const std::string settings = absl::StrCat(options_.directory, "/soak-",
                                                options_.seed, "-", i, ".conf");
      WriteSettings(settings, host, store_address);
      // Even seeds relay changes, as fleets of hundreds of hosts do.
      host.process.command = {options_.program, "--settings", settings,
                              "--relay-above",
                              options_.seed % 2 == 0 ? "1" : "24"};
      host.process.output = absl::StrCat(options_.directory, "/soak-",
                                         options_.seed, "-", i, ".log");
      std::filesystem::remove(host.process.output);
      scenario::StartProcess(&host.process);
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

  /** Writes the next version of the configuration to the store. */
  void PutConfig(int time_limit_ms = kTimeLimitMs) {
    ++config_version_;
    platform_.PutConfig(config_version_, time_limit_ms,
                        static_cast<int>(config_version_));
  }

  //============================================================================
  /** Injects one random fault, or ends the faults of all proxies of targets and
      of one host. Restarts the daemons that have exited. */
  void InjectFault() {
    Host& host = hosts_[random_.NextBelow(kHostCount)];
    FaultProxy& target = *target_proxies_[random_.NextBelow(kTargetCount)];
    const auto mode = static_cast<ProxyMode>(random_.NextBelow(5));
    switch (random_.NextBelow(15)) {
      case 0:
        Signal(&host, SIGSTOP);
        Sleep(static_cast<int>(random_.NextBelow(1500)));
        Signal(&host, SIGCONT);
        break;
      case 1:
        scenario::KillProcess(&host.process);
        scenario::StartProcess(&host.process);
        break;
      case 2:
        Signal(&host, SIGTERM);
        break;
      case 3:
        Signal(&host, SIGHUP);
        break;
      case 4:
        host.store_proxy->SetMode(mode);
        break;
      case 5:
        host.store_proxy->ResetAll();
        break;
      case 6:
        target.SetMode(mode);
        break;
      case 7:
        target.ResetAll();
        break;
      case 8:
        is_store_down_ = !is_store_down_;
        platform_.SetStoreDown(is_store_down_);
        break;
      case 9:
        platform_.Compact();
        break;
      case 10:
        PutConfig();
        break;
      case 11:
        platform_.SetFaults(
            {.lose_answer = random_.NextDouble() * 0.2,
             .shed = random_.NextDouble() * 0.3,
             .fail = random_.NextDouble() * 0.1,
             .truncate = random_.NextDouble() * 0.1,
             .wrong_request_id = random_.NextDouble() * 0.1,
             .cut_head = random_.NextDouble() * 0.05,
             .odd_trailer = random_.NextDouble() * 0.05,
             .early_hints = random_.NextDouble() * 0.1,
             .broken = 0.03,
             .work_ms = static_cast<int>(random_.NextBelow(80))});
        break;
      case 12:
        platform_.CopyStore();
        break;
      case 13:
        RestoreStore();
        break;
      default:
        for (const auto& proxy : target_proxies_) {
          proxy->SetMode(ProxyMode::kPass);
        }
        host.store_proxy->SetMode(ProxyMode::kPass);
        break;
    }
    RestartExited();
  }

  /** Restores the store from the last copy after a short outage. The operators
      write their newest configuration again. */
  void RestoreStore() {
    platform_.SetStoreDown(true);
    Sleep(static_cast<int>(random_.NextBelow(400)));
    platform_.RestoreStore();
    platform_.SetStoreDown(is_store_down_);
    PutConfig();
  }

  void Signal(Host* host, int signal) {
    scenario::ReapProcess(&host->process);
    if (!host->process.exit_code) kill(host->process.pid, signal);
  }

  void RestartExited() {
    for (Host& host : hosts_) {
      scenario::ReapProcess(&host.process);
      if (host.process.exit_code && !host.is_stopping) {
        scenario::StartProcess(&host.process);
      }
    }
  }

  /** Ends all faults and restarts exited daemons for 3.5 s, so that daemons
      that are still stopping are restarted too. */
  void EndFaults() {
    platform_.SetFaults({});
    platform_.SetStoreDown(false);
    for (const auto& proxy : target_proxies_) proxy->SetMode(ProxyMode::kPass);
    for (Host& host : hosts_) {
      host.store_proxy->SetMode(ProxyMode::kPass);
      Signal(&host, SIGCONT);
    }
    PutConfig();
    for (int i = 0; i < 35; ++i) {
      RestartExited();
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

  /** Sends requests as one caller until the test is finished. Runs on a thread
      of its own. */
  void RunCaller(int caller) {
    Random random(options_.seed * 100 + caller);
    std::unique_ptr<Connection> connection;
    int request_count = 0;
    while (!is_finished_) {
      if (connection == nullptr) {
        connection = std::make_unique<Connection>();
        Host& host = hosts_[random.NextBelow(kHostCount)];
        ErrorCode error;
        if (!host.is_stopping) {
          connection->socket.connect(*ParseEndpoint(host.ip + ":18080"), error);
        }
        if (error || host.is_stopping) {
          connection.reset();
          Sleep(20);
          continue;
        }
        timeval receive_timeout{.tv_sec = 4, .tv_usec = 0};
        setsockopt(connection->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO,
                   &receive_timeout, sizeof(receive_timeout));
      }
      if (random.NextBelow(10) == 0) {
        SendTwoAhead(absl::StrCat("c", caller, "-", ++request_count),
                     connection.get());
        connection.reset();
        continue;
      }
      const bool is_order = random.NextBelow(2) == 0;
      const std::string id = absl::StrCat("c", caller, "-", ++request_count);
      const RequestResult result = SendRequest(
          id, is_order, connection.get(), absl::StrCat(random.NextBelow(20)));
      const bool keeps_open = result.status != 0 && !closes_connection_;
      {
        const std::lock_guard lock(mutex_);
        results_.push_back(result);
      }
      connection->is_new = false;
      if (!keeps_open || random.NextBelow(10) == 0) connection.reset();
      Sleep(5);
    }
  }

  static http::request<http::string_body> MakeRequest(const std::string& id,
                                                      bool is_order) {
    http::request<http::string_body> request(
        is_order ? http::verb::post : http::verb::get,
        is_order ? "/order/" : "/read/", 11);
    request.set(http::field::host, "shop.example");
    request.set("Request-Id", id);
    request.set("Deadline-Ms", "3000");
    request.body() = is_order ? "two chests" : "";
    if (is_order) request.prepare_payload();
    return request;
  }

  /** Sends a read or an order and returns the result. Reports a violation if
      the request was refused as not run but has run. */
  RequestResult SendRequest(const std::string& id, bool is_order,
                            Connection* connection,
                            const std::string& affinity_key) {
    RequestResult result{.id = id,
                         .is_order = is_order,
                         .was_on_new_connection = connection->is_new};
    http::request<http::string_body> request = MakeRequest(id, is_order);
    request.set("Cookie", "Affinity-Key=" + affinity_key);
    ErrorCode error;
    http::write(connection->socket, request, error);
    http::response<http::string_body> response;
    if (!error) {
      http::read(connection->socket, connection->buffer, response, error);
    }
    closes_connection_ = !error && !response.keep_alive();
    if (error) return result;
    result.status = static_cast<int>(response.result_int());
    result.is_complete =
        response.body().starts_with(absl::StrCat("whole ", id, " of t-"));
    if (result.status == 503 && platform_.RunCount(id) > 0) {
      ReportViolation("refused as not run, but it ran: " + id);
    }
    return result;
  }

  /** Sends two orders together. Checks that the responses are to them, in
      order. */
  void SendTwoAhead(const std::string& id, Connection* connection) {
    const std::string ids[] = {id + "-a", id + "-b"};
    ErrorCode error;
    std::ostringstream text;
    for (const std::string& each : ids) text << MakeRequest(each, true);
    asio::write(connection->socket, asio::buffer(text.str()), error);
    for (const std::string& each : ids) {
      RequestResult result{.id = each, .is_order = true};
      http::response<http::string_body> response;
      if (!error) {
        http::read(connection->socket, connection->buffer, response, error);
      }
      if (!error) {
        result.status = static_cast<int>(response.result_int());
        result.is_complete =
            response.body().starts_with(absl::StrCat("whole ", each, " of t-"));
        const auto answered_id = response["Request-Id"];
        if (!answered_id.empty() && answered_id != each) {
          ReportViolation("answered with the response to another request: " +
                          each);
        }
      }
      const std::lock_guard lock(mutex_);
      results_.push_back(result);
    }
  }

  //============================================================================
  /** Returns the status of the response to a GET, or 0 if there is none. */
  int FetchStatus(const std::string& address, const std::string& path) {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    ErrorCode error;
    socket.connect(*ParseEndpoint(address), error);
    http::request<http::empty_body> request(http::verb::get, path, 11);
    request.set(http::field::host, "shop.example");
    request.set("Request-Id", absl::StrCat("check-", ++check_count_));
    if (!error) http::write(socket, request, error);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!error) http::read(socket, buffer, response, error);
    return error ? 0 : static_cast<int>(response.result_int());
  }

  /** Checks that every daemon is ready and has the newest configuration, and
      that callers get a success for at least 90 % of their requests. */
  void CheckRecovery() {
    for (Host& host : hosts_) {
      const int ready = FetchStatus(host.ip + ":18081", "/-/readyz");
      if (ready != 200) {
        ReportViolation(absl::StrCat(host.name, " not ready: ", ready));
      }
      const std::string newest_path =
          absl::StrCat("/extra", config_version_, "/");
      const int status = FetchStatus(host.ip + ":18080", newest_path);
      if (status != 200) {
        ReportViolation(
            absl::StrCat(host.name, " serves ", newest_path, " with ", status));
      }
    }
    size_t first = 0;
    {
      const std::lock_guard lock(mutex_);
      first = results_.size();
    }
    Sleep(1000);
    const std::lock_guard lock(mutex_);
    size_t served_count = 0;
    for (size_t i = first; i < results_.size(); ++i) {
      served_count += results_[i].status == 200 ? 1 : 0;
    }
    if (served_count * 10 < (results_.size() - first) * 9) {
      ReportViolation(absl::StrCat("after recovery only ", served_count, " of ",
                                   results_.size() - first,
                                   " requests were served"));
    }
  }

  /** Lets all targets name a rate limit. Checks that none gets more from the
      daemons together than the operators allow. */
  void CheckRateLimits() {
    platform_.SetFaults({.rate_limit = kRateLimit});
    std::this_thread::sleep_for(kRateLimitSettleTime + 2 * kRateLimitWindow);
    const int received =
        platform_.MaxLimitedArrivals(kRateLimitWindow, kRateLimitSettleTime);
    platform_.SetFaults({});
    const double allowed = 1.5 * kRateLimit * ToSeconds(kRateLimitWindow) + 5;
    if (received > allowed) {
      ReportViolation(absl::StrCat("a target that takes ", kRateLimit,
                                   " requests a second got ", received,
                                   " within the window"));
    }
  }

  /** Writes a request to a host without waiting for the response.
      @return the open connection. */
  std::unique_ptr<Connection> BeginRequest(const Host& host, bool is_order,
                                           const std::string& id) {
    auto connection = std::make_unique<Connection>();
    ErrorCode error;
    connection->socket.connect(*ParseEndpoint(host.ip + ":18080"), error);
    if (!error)
      http::write(connection->socket, MakeRequest(id, is_order), error);
    if (error) ReportViolation("cannot send " + id + ": " + error.message());
    return connection;
  }

  /** Lets callers leave while a host is suspended, and while their reads run.
      Checks that none of the former is sent to a target and that the latter end
      there in time. */
  void CheckCallerDeparture() {
    Host& host = hosts_[0];
    scenario::SuspendProcess(host.process);
    std::vector<std::string> ids;
    for (int i = 0; i < kDepartingCallers; ++i) {
      ids.push_back(absl::StrCat("departed-", i));
      BeginRequest(host, i % 2 == 0, ids.back());
    }
    Sleep(300);
    Signal(&host, SIGCONT);
    Sleep(700);
    for (const std::string& id : ids) {
      if (HasRun(id)) ReportViolation("ran though its caller had left: " + id);
    }
    // Without the caller's departure the reads would run until the end.
    constexpr int kWorkMs = 3000;
    PutConfig(2 * kWorkMs);
    Sleep(1000);
    platform_.SetFaults({.work_ms = kWorkMs});
    std::vector<std::unique_ptr<Connection>> connections;
    for (std::string& id : ids) {
      id = "running-" + id;
      connections.push_back(BeginRequest(host, false, id));
    }
    Sleep(300);
    connections.clear();
    std::this_thread::sleep_for(kMaxWorkAfterDeparture);
    platform_.SetFaults({});
    PutConfig();
    for (const std::string& id : ids) {
      if (HasRun(id) && !platform_.WasAbandoned(id)) {
        ReportViolation("ran on after its caller had left: " + id);
      }
    }
    Sleep(kWorkMs);  // requests of the other callers
  }

  /** Sets one target to draining and removes the registration of another. Both
      keep serving, but no request may reach them after kMaxDrainTime. */
  void CheckTargetDeparture() {
    platform_.SetDraining("t-0");
    platform_.DeregisterTarget("t-1");
    Sleep(static_cast<int>(kMaxDrainTime.count()) + 1000);
    const int late_count = platform_.CountLateRequests(kMaxDrainTime);
    if (late_count > 0) {
      ReportViolation(
          absl::StrCat(late_count, " requests reached a target that had left"));
    }
  }

  /** Stops all hosts but one in turn. Checks that each exits within 4 s and
      that no request that has run was left without a response. */
  void CheckPlannedStops() {
    size_t first = 0;
    {
      const std::lock_guard lock(mutex_);
      first = results_.size();
    }
    for (int i = 1; i < kHostCount; ++i) {
      Signal(&hosts_[i], SIGTERM);
      for (int wait = 0; wait < 40; ++wait) {
        // Real callers learn from the look-up that the host is leaving; these
        // callers make no look-ups, so they are told here.
        if (wait == 12) hosts_[i].is_stopping = true;
        scenario::ReapProcess(&hosts_[i].process);
        Sleep(100);
      }
      if (!hosts_[i].process.exit_code) {
        ReportViolation(hosts_[i].name + " did not stop:" +
                        DescribeThreads(hosts_[i].process.pid));
      }
    }
    const std::lock_guard lock(mutex_);
    for (size_t i = first; i < results_.size(); ++i) {
      const bool was_cut = results_[i].status == 0 && HasRun(results_[i].id);
      if (was_cut) {
        ReportViolation("interrupted by a planned stop: " + results_[i].id);
      }
    }
  }

  /** Stops the last host while callers send long orders on open and on new
      connections until its process is gone. Checks that every order that ran
      got its response. */
  void CheckRequestsLateInAStop() {
    constexpr int kWorkMs = 1300;
    constexpr int kOrderCount = 45;
    constexpr int kPauseMs = 60;
    Host& host = hosts_[0];
    PutConfig(2 * kWorkMs);
    Sleep(1000);
    platform_.SetFaults({.work_ms = kWorkMs});
    std::vector<std::unique_ptr<Connection>> connections;
    for (int i = 0; i < kOrderCount; ++i) {
      connections.push_back(
          BeginRequest(host, false, absl::StrCat("warm-", i)));
    }
    for (const auto& connection : connections) ReadStatus(connection.get());
    const TimePoint signalled_at = Now();
    Signal(&host, SIGTERM);
    host.is_stopping = true;
    std::vector<std::thread> callers;
    std::vector<int> statuses(kOrderCount, -1);  // -1: not sent
    for (int i = 0; i < kOrderCount; ++i) {
      callers.emplace_back([&, i] {
        Sleep(i * kPauseMs);
        statuses[i] =
            SendLateOrder(host, absl::StrCat("late-", i),
                          i % 2 == 0 ? connections[i].get() : nullptr);
      });
    }
    for (std::thread& caller : callers) caller.join();
    WaitForExit(&host, signalled_at + kMaxStopTime);
    platform_.SetFaults({});
    int served_count = 0;
    int refused_count = 0;
    for (int i = 0; i < kOrderCount; ++i) {
      const std::string id = absl::StrCat("late-", i);
      served_count += statuses[i] == 200 ? 1 : 0;
      refused_count += statuses[i] == 503 ? 1 : 0;
      if (statuses[i] <= 0 && HasRun(id)) {
        ReportViolation("cut by a planned stop: " + id);
      }
      if (statuses[i] == 503 && HasRun(id)) {
        ReportViolation("refused as not run, but it ran: " + id);
      }
    }
    Print(absl::StrCat("late orders=", kOrderCount, " served=", served_count,
                       " refused=", refused_count));
  }

  /** Checks that a host that was sent SIGTERM exits by `end`. */
  void WaitForExit(Host* host, TimePoint end) {
    scenario::ReapProcess(&host->process);
    while (!host->process.exit_code && Now() < end) {
      Sleep(20);
      scenario::ReapProcess(&host->process);
    }
    if (!host->process.exit_code) {
      ReportViolation(host->name +
                      " did not stop:" + DescribeThreads(host->process.pid));
    }
  }

  /** Sends an order on an open connection, or on a new one if that is nullptr.
      @return the status; 0 if there was no response. */
  int SendLateOrder(const Host& host, const std::string& id,
                    Connection* connection) {
    Connection new_connection;
    ErrorCode error;
    if (connection == nullptr) {
      connection = &new_connection;
      connection->socket.connect(*ParseEndpoint(host.ip + ":18080"), error);
    }
    if (!error) http::write(connection->socket, MakeRequest(id, true), error);
    return error ? 0 : ReadStatus(connection);
  }

  static int ReadStatus(Connection* connection) {
    ErrorCode error;
    http::response<http::string_body> response;
    http::read(connection->socket, connection->buffer, response, error);
    return error ? 0 : static_cast<int>(response.result_int());
  }

  bool HasRun(const std::string& id) const {
    return platform_.RunCount(id) > 0;
  }

  /** Checks the results of all requests against the runs at the targets. */
  void CheckRequests() {
    for (const RequestResult& result : results_) {
      const int runs = platform_.RunCount(result.id);
      if (result.is_order && runs > 1) {
        ReportViolation("order ran twice: " + result.id);
      }
      if (runs > 2) {
        ReportViolation("ran more often than the route allows: " + result.id);
      }
      if (result.status == 200 && !result.is_complete) {
        ReportViolation("success without its own complete response: " +
                        result.id);
      }
      if (result.status == 503 && runs > 0) {
        ReportViolation("refused as not run, but it ran later: " + result.id);
      }
    }
  }

  size_t CountServed() const {
    size_t served_count = 0;
    for (const RequestResult& result : results_) {
      served_count += result.status == 200 ? 1 : 0;
    }
    return served_count;
  }

  Options options_;
  Random random_;
  PlatformStandin platform_;
  std::vector<std::unique_ptr<FaultProxy>> target_proxies_;
  Host hosts_[kHostCount];
  uint64_t config_version_ = 0;
  bool is_store_down_ = false;
  std::atomic<bool> is_finished_ = false;
  static thread_local bool closes_connection_;  // set by each response
  std::mutex mutex_;
  std::vector<RequestResult> results_;
  std::atomic<int> violation_count_ = 0;
  int check_count_ = 0;
};

thread_local bool Soak::closes_connection_ = false;

}  // namespace
}  // namespace greengage::soak

int main(int argc, char** argv) {
  CLI::App app("Soak test of the entry daemon with random faults");
  greengage::soak::Options options;
  int seeds = 1;
  app.add_option("--program", options.program, "path of greengage_entry")
      ->required();
  app.add_option("--seed", options.seed, "first seed");
  app.add_option("--seeds", seeds,
                 "number of seeds to run, one after the other");
  app.add_option("--seconds", options.seconds,
                 "duration of the faults for each seed");
  app.add_option("--net", options.network_byte,
                 "second byte of the loopback addresses");
  app.add_option("--folder", options.directory,
                 "directory for settings and logs");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  int violations = 0;
  for (int i = 0; i < seeds; ++i) {
    violations += greengage::soak::Soak(options).Run();
    ++options.seed;
  }
  return violations == 0 ? 0 : 1;
}
