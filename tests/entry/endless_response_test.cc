// The memory of an entry daemon whose targets send bytes without end.

#include <atomic>
#include <fstream>
#include <memory>
#include <thread>
#include <vector>

#include "absl/strings/numbers.h"
#include "entry/entry_path_fixture.h"
#include "entry/odd_responses.h"
#include "scenario_runner/process.h"

namespace greengage {
namespace {

/** The memory of the host, as in the settings. */
constexpr int64_t kMaxMemoryKb = 260 * 1024;

constexpr int kCallerCount = 120;
constexpr std::chrono::seconds kDuration{6};

/** Sends one message without end on each connection, until the peer closes it.
    Each connection has a thread of its own. */
class EndlessTarget {
 public:
  EndlessTarget(const std::string& address, EndlessMessage message)
      : message_(std::move(message)),
        acceptor_(io_, *ParseEndpoint(address)),
        thread_([this] { Accept(); }) {}

  ~EndlessTarget() {
    is_stopping_ = true;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    for (std::thread& connection : connections_) connection.join();
  }

 private:
  void Accept() {
    ErrorCode error;
    while (!is_stopping_) {
      auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
      acceptor_.accept(*socket, error);
      if (error) continue;
      connections_.emplace_back([this, socket] { Send(socket.get()); });
    }
  }

  void Send(asio::ip::tcp::socket* socket) const {
    ErrorCode error;
    socket->set_option(asio::ip::tcp::no_delay(true), error);
    asio::write(*socket, asio::buffer(message_.start), error);
    // The start is read on its own.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    while (!error && !is_stopping_) {
      asio::write(*socket, asio::buffer(message_.repeated), error);
    }
  }

  EndlessMessage message_;
  std::atomic<bool> is_stopping_ = false;
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

TEST_GROUP_BASE(EndlessResponse, EntryPathFixture) {
  scenario::Process process;
  std::vector<std::unique_ptr<EndlessTarget>> targets;
  std::atomic<int> answered_count = 0;  // requests with a success
  std::atomic<int> failed_count = 0;

  void teardown() override {
    scenario::KillProcess(&process);
    targets.clear();
    EntryPathFixture::teardown();
  }

  void AddEndlessTarget(const EndlessMessage& message) {
    const size_t index = targets.size();
    const std::string address = absl::StrCat("127.0.7.4:", 19000 + index);
    targets.push_back(std::make_unique<EndlessTarget>(address, message));
    world->AddTarget(absl::StrCat("endless-", index),
                     absl::StrCat("127.0.7.5:", 19000 + index), "north-a",
                     address);
  }

  void StartProcess() {
    process.command = {GREENGAGE_ENTRY_PROGRAM, "--settings", kSettingsPath};
    process.output = "/dev/null";
    scenario::StartProcess(&process);
    CHECK_TRUE(WaitFor([&] {
      return SendGet(kHealthAddress, "/-/readyz").result_int() == 200;
    }));
  }

  void RunCaller(int number) {
    const TimePoint end = Now() + kDuration;
    for (int i = 0; Now() < end; ++i) {
      const bool is_order = number % 2 == 0;
      const Response response = SendRequest(
          is_order ? http::verb::post : http::verb::get, kTrafficAddress,
          is_order ? "/order/" : "/read/",
          absl::StrCat("caller-", number, "-", i), is_order ? "two" : "");
      ++(response.result_int() == 200 ? answered_count : failed_count);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  /** Returns the highest resident size of the process so far. */
  int64_t PeakMemoryKb() const {
    std::ifstream status(absl::StrCat("/proc/", process.pid, "/status"));
    std::string word;
    int64_t size = 0;
    while (status >> word && word != "VmHWM:") {
    }
    status >> size;
    return size;
  }
};

// Reported by another operator: the machine kept all of it, ran out of memory,
// and the requests of other callers ended with the process.
TEST(EndlessResponse, AtManyTargets_LeavesTheProcessWithinItsMemory) {
  const EndlessMessage lines{kHead + std::string("X"), "-Pad: aaaaaaa\r\nX"};
  for (int i = 0; i < 12; ++i) AddEndlessTarget(lines);
  for (const EndlessMessage& message : EndlessResponses()) {
    AddEndlessTarget(message);
  }
  for (const EndlessMessage& message : EndlessBodies()) {
    AddEndlessTarget(message);
  }
  world->PutConfig(1, 5000);
  StartProcess();
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallerCount; ++i) {
    callers.emplace_back([this, i] { RunCaller(i); });
  }
  for (std::thread& caller : callers) caller.join();
  scenario::ReapProcess(&process);
  const int64_t peak_kb = PeakMemoryKb();
  std::printf("peak_memory %lld KB, answered %d, failed %d\n",
              static_cast<long long>(peak_kb), answered_count.load(),
              failed_count.load());
  CHECK_FALSE(process.exit_code.has_value());
  CHECK_TRUE(peak_kb > 0);
  CHECK_TRUE(peak_kb < kMaxMemoryKb);
  CHECK_TRUE(answered_count > 0);  // at the targets in order
  for (size_t i = 0; i < targets.size(); ++i) {
    world->DeregisterTarget(absl::StrCat("endless-", i));
  }
  CHECK_TRUE(WaitFor(
      [&] { return SendGet(kTrafficAddress, "/read/").result_int() == 200; }));
}

}  // namespace
}  // namespace greengage
