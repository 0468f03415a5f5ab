#ifndef TESTS_ENTRY_ENTRY_PATH_FIXTURE_H_
#define TESTS_ENTRY_ENTRY_PATH_FIXTURE_H_

#include <poll.h>

#include <atomic>
#include <csignal>
#include <ctime>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "gg_entry/entry_daemon.h"
#include "platform/entry_platform_adapter.h"
#include "standins/platform_standin.h"
#include "unit/test_support.h"

namespace greengage {

inline constexpr char kIp[] = "127.0.7.1";
inline constexpr char kTrafficAddress[] = "127.0.7.1:18080";
inline constexpr char kHealthAddress[] = "127.0.7.1:18081";
inline constexpr char kLookupAddress[] = "127.0.7.1:18082";
inline constexpr char kStoreAddress[] = "127.0.7.2:18142";
inline constexpr char kSettingsPath[] = "/tmp/greengage_entry_path_test.conf";

using standins::PlatformStandin;

inline TimePoint Now() { return std::chrono::steady_clock::now(); }

inline void WriteSettings(int grace_seconds = 2) {
  std::ofstream file(kSettingsPath);
  file << "self.node=front-1\nself.zone=north-a\nself.region=north\n"
       << "self.ip=" << kIp << "\nself.limits.memoryMb=260\n"
       << "self.limits.maxFds=4100\nnetwork.listen.front=" << kTrafficAddress
       << "\nnetwork.listen.ready=" << kHealthAddress
       << "\nnetwork.listen.directory=" << kLookupAddress
       << "\nnetwork.internalPorts=18090,18099\nnetwork.zones.north-a=north\n"
       << "platform.platform.addr=" << kStoreAddress
       << "\nterms.bounds.graceS=" << grace_seconds
       << "\nterms.bounds.drainMs=1000\n"
       << "terms.bounds.retryBudgetRatio=0.2\nterms.bounds.retrySlack=62\n"
       << "terms.bounds.budgetWindowS=10\nterms.bounds.coldOvershoot=1.5\n"
       << "terms.bounds.coldSlack=5\nterms.bounds.ttl_max_s=5\n";
}

/** Longer than any time limit of the tests. */
inline constexpr std::chrono::milliseconds kResponseTimeout{8000};

/** Read by the signal handler that EntryPathFixture::StallDaemon() installs. */
inline std::atomic<int> stall_duration_ms = 0;

/** Runs the real daemon on loopback, with stand-ins for the store and the
    targets. */
class EntryPathFixture : public Utest {
 public:
  std::unique_ptr<PlatformStandin> world;
  std::unique_ptr<EntryDaemon> daemon;
  std::thread thread;
  int next_id = 1;

  void setup() override {
    WriteSettings();
    world = std::make_unique<PlatformStandin>(kStoreAddress);
    world->AddTarget("t-1", "127.0.7.3:18201", "north-a");
    world->AddTarget("t-2", "127.0.7.3:18202", "north-a");
  }

  void teardown() override {
    if (thread.joinable()) Stop();
    world.reset();
  }

  void StartDaemon() {
    EntryPlatform platform = platform::MakeEntryPlatform(kSettingsPath);
    auto settings = platform.read_settings();
    CHECK_TRUE_TEXT(settings.ok(), MessageOf(settings.status()).c_str());
    daemon = std::make_unique<EntryDaemon>(*settings, std::move(platform),
                                           EntryDaemon::Options{});
    thread = std::thread([this] {
      const absl::Status status = daemon->Run();
      if (!status.ok()) std::printf("%s\n", MessageOf(status).c_str());
    });
  }

  /** Starts the daemon with a configuration and waits until it responds to
      requests. */
  void StartServing(int time_limit_ms = 500) {
    world->PutConfig(1, time_limit_ms);
    StartDaemon();
    CHECK_TRUE(WaitFor([&] {
      return SendGet(kHealthAddress, "/-/readyz").result_int() == 200 &&
             SendGet(kTrafficAddress, "/read/").result_int() == 200;
    }));
  }

  /** Holds up the daemon's traffic thread for `duration`, as a lack of
      processor time does. Returns at once. */
  void StallDaemon(std::chrono::milliseconds duration) {
    stall_duration_ms = static_cast<int>(duration.count());
    struct sigaction action {};
    action.sa_handler = [](int) {
      const int milliseconds = stall_duration_ms;
      timespec left{.tv_sec = milliseconds / 1000,
                    .tv_nsec = (milliseconds % 1000) * 1'000'000L};
      while (nanosleep(&left, &left) != 0) {
      }
    };
    sigaction(SIGUSR1, &action, nullptr);
    pthread_kill(thread.native_handle(), SIGUSR1);
  }

  /** Sends SIGTERM to the daemon and waits until it has stopped. */
  void Stop() {
    std::raise(SIGTERM);
    thread.join();
    daemon.reset();
  }

  bool WaitFor(const std::function<bool()>& condition) {
    const TimePoint end = Now() + std::chrono::seconds(5);
    while (Now() < end) {
      if (condition()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  using Response = http::response<http::string_body>;

  /** Waits until the peer has sent something or closed the connection. */
  static bool IsReadableWithin(asio::ip::tcp::socket* socket,
                               std::chrono::milliseconds time_limit) {
    pollfd descriptor{
        .fd = socket->native_handle(), .events = POLLIN, .revents = 0};
    return ::poll(&descriptor, 1, static_cast<int>(time_limit.count())) > 0;
  }

  /** Sends one request on a new connection. The status is 0 when there is no
      response. */
  Response SendRequest(http::verb method, const std::string& address,
                       const std::string& path, const std::string& id,
                       const std::string& body = "",
                       const std::string& deadline_ms = "4000") {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    Response response;
    response.result(0U);
    ErrorCode error;
    socket.connect(*ParseEndpoint(address), error);
    if (error) return response;
    http::request<http::string_body> request(method, path, 11);
    request.set(http::field::host, "shop.example");
    request.set("Request-Id", id);
    request.set("Cookie", "Affinity-Key=7");
    request.set("Deadline-Ms", deadline_ms);
    request.body() = body;
    if (method == http::verb::post) request.prepare_payload();
    http::write(socket, request, error);
    if (!IsReadableWithin(&socket, kResponseTimeout)) return response;
    beast::flat_buffer buffer;
    Response read;
    http::read(socket, buffer, read, error);
    return error ? response : read;
  }
  Response SendGet(const std::string& address, const std::string& path) {
    last_id = absl::StrCat("id-", next_id++);
    return SendRequest(http::verb::get, address, path, last_id);
  }
  Response SendOrder(const std::string& path) {
    last_id = absl::StrCat("id-", next_id++);
    return SendRequest(http::verb::post, kTrafficAddress, "/order/" + path,
                       last_id, "two");
  }
  std::string last_id;
};

}  // namespace greengage

#endif  // TESTS_ENTRY_ENTRY_PATH_FIXTURE_H_
