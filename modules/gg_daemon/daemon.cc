#include "gg_daemon/daemon.h"

#include <malloc.h>
#include <sys/resource.h>

#include <atomic>
#include <boost/asio/signal_set.hpp>
#include <set>
#include <thread>

#include "absl/strings/str_cat.h"
#include "gg_core/hash.h"
#include "gg_core/system_inputs.h"
#include "gg_daemon/control_actor.h"
#include "gg_daemon/peer_mesh.h"
#include "gg_http/admin_handler.h"
#include "gg_http/memory_budget.h"
#include "gg_http/memory_report.h"
#include "gg_http/request_dispatcher.h"
#include "gg_http/traffic_server.h"
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"
#include "gg_store/asio.h"
#include "gg_store/store_client.h"
#include "gg_store/store_session.h"

namespace greengage {
namespace {

/** Time between two checks whether a stage of the shutdown has ended. */
constexpr Duration kStopPollInterval = std::chrono::milliseconds(50);

/** Time between two log lines with the number of active requests. */
constexpr Duration kDrainLogInterval = std::chrono::seconds(5);

/** Added to the longest time to live, for look-up responses in transit. */
constexpr Duration kLookupInTransitMargin = std::chrono::seconds(1);

/** Longest wait for the slices to be released in the store. */
constexpr Duration kSliceReleaseTimeout = std::chrono::seconds(5);

/** Time between two reports of what is held for callers. */
constexpr Duration kMemoryReportInterval = std::chrono::seconds(1);

/** Fall of the memory held for callers after which free memory is returned to
    the system. Below it the allocator uses it again. */
constexpr size_t kTrimBytes = size_t{8} * 1024 * 1024;

/** Share of the file descriptors for callers. Each request may need a
   connection to a target too; the rest is for peers, the store and files. */
constexpr double kCallerDescriptorShare = 0.45;

TimePoint Now() { return std::chrono::steady_clock::now(); }

/** Returns the number of callers' connections that the descriptors allow; 0 if
    their limit is not known. */
size_t MaxConnections(const Settings& settings) {
  auto descriptors = static_cast<double>(settings.max_descriptors);
  rlimit limit{};
  if (settings.max_descriptors == 0 && getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
      limit.rlim_cur != RLIM_INFINITY) {
    descriptors = static_cast<double>(limit.rlim_cur);
  }
  return static_cast<size_t>(descriptors * kCallerDescriptorShare);
}

/** Returns the prefix of the store keys that all daemons share. */
std::string SharedPrefix(const std::string& deployment) {
  return absl::StrCat("/greengage/", deployment, "/shared/");
}

std::string SharedKeyPath(const std::string& deployment, SharedKey key) {
  return SharedPrefix(deployment) + std::string(kSharedKeyNames.Name(key));
}

Steering::Options SteeringOptions(const Settings& settings,
                                  uint64_t incarnation) {
  return {.self = {settings.peer, incarnation},
          .traffic_address = settings.listen,
          .region = settings.region,
          .zone = settings.zone,
          .seed = RandomSeed(),
          .key_secret = RandomSeed(),
          .started_at = Now()};
}

}  // namespace

struct Daemon::Components {
  explicit Components(const Settings& daemon_settings)
      : settings(daemon_settings),
        incarnation(WallMicroseconds()),
        started_at(Now()),
        memory(MemoryBudget::OptionsForMachine(settings.memory_mb,
                                               MaxConnections(settings))),
        steering(SteeringOptions(settings, incarnation)),
        mesh(&io,
             {.deployment = settings.deployment,
              .self = {settings.peer, incarnation},
              .metrics = &metrics},
             [this](PeerFrame frame) { control->Send(std::move(frame)); }),
        store(&io, {.addresses = settings.store}),
        session(
            &io, &store,
            {.prefix = SharedPrefix(settings.deployment), .seed = RandomSeed()},
            SessionHooks()) {
    control = std::make_unique<ControlActor>(MakeControlOptions());
    traffic = MakeTrafficServer();
    admin = MakeAdminServer();
  }

  ~Components() {
    traffic->Stop();
    admin->Stop();
    io.stop();
    if (io_thread.joinable()) io_thread.join();
    control.reset();
  }

  ControlActor::Options MakeControlOptions() {
    ControlActor::Options options;
    options.steering = &steering;
    options.controller.self = {.id = {settings.peer, incarnation},
                               .traffic_address = settings.listen,
                               .zone = settings.zone,
                               .region = settings.region};
    options.controller.seeds = settings.seeds;
    options.controller.seed = RandomSeed();
    options.controller.host_gone_after =
        std::chrono::seconds(settings.host_gone_seconds);
    options.hooks.send = [this](const std::string& address,
                                const PeerMessage& message) {
      mesh.Send(address, message);
    };
    options.hooks.write_store = [this](const StoreWrite& write) {
      asio::co_spawn(io, WriteStore(write), asio::detached);
    };
    options.hooks.set_watching = [this](bool is_enabled) {
      session.SetWatchEnabled(is_enabled);
    };
    options.hooks.log = [](LogLevel level, Event event,
                           const std::string& text) {
      LogEvent(level, event, text);
    };
    return options;
  }

  StoreSessionHooks SessionHooks() {
    return {.on_entry = [this](const StoreEntry& entry) { OnEntry(entry); },
            .on_read_complete = [this] { OnReadComplete(); },
            .on_availability_changed =
                [this](bool is_available, const absl::Status& reason) {
                  if (!reason.ok()) LogError(Event::kStoreUnavailable, reason);
                  control->Send(StoreAvailability{is_available});
                }};
  }

  void OnEntry(const StoreEntry& entry) {
    const std::string prefix = SharedPrefix(settings.deployment);
    const auto key = kSharedKeyNames.Parse(
        std::string_view(entry.key).substr(prefix.size()));
    if (!key) return;
    existing_keys.insert(*key);
    control->Send(StoreValuesRead{{{*key, entry.mod_revision, entry.value}}});
  }

  /** Tells the control thread which shared keys do not exist in the store. */
  void OnReadComplete() {
    StoreValuesRead absent_keys;
    for (const SharedKey key : {SharedKey::kDocument, SharedKey::kPlan,
                                SharedKey::kSlices, SharedKey::kHosts}) {
      if (existing_keys.count(key) == 0) {
        absent_keys.values.push_back({key, 0, ""});
      }
    }
    control->Send(std::move(absent_keys));
  }

  asio::awaitable<void> WriteStore(StoreWrite write) {
    StoreCompareAndSwap swap;
    swap.key = SharedKeyPath(settings.deployment, write.key);
    swap.expected_revision = write.expected_revision;
    swap.puts.push_back({.key = swap.key, .value = write.value});
    const auto result = co_await store.CompareAndSwap(swap);
    metrics.IncrementCounter("greengage_store_writes_total",
                             absl::StrCat("ok=\"", result.ok() ? 1 : 0, "\""));
    if (result.ok() && result->succeeded) {
      control->Send(
          StoreValuesRead{{{write.key, result->revision, write.value}}});
    } else if (result.ok() && result->current_entry) {
      control->Send(
          StoreValuesRead{{{write.key, result->current_entry->mod_revision,
                            result->current_entry->value}}});
    } else if (!result.ok()) {
      // The write may have taken effect although the call failed, so read the
      // current value.
      const auto read = co_await store.Get(swap.key);
      if (!read.ok() || read->entries.empty()) co_return;
      control->Send(StoreValuesRead{{{write.key, read->entries[0].mod_revision,
                                      read->entries[0].value}}});
    }
  }

  /** Publishes what is held for callers, and returns free memory to the
      system. */
  asio::awaitable<void> ReportMemory() {
    MemoryReport report;
    for (;;) {
      co_await SleepFor(kMemoryReportInterval);
      report.Publish(memory, &metrics);
      if (memory.TakeFallenBytes(kTrimBytes) > 0) malloc_trim(0);
    }
  }

  std::unique_ptr<TrafficServer> MakeTrafficServer() {
    RequestDispatcher::Options options{
        .steering = &steering,
        .metrics = &metrics,
        .store_addresses = settings.store,
        .claim_key_prefix =
            absl::StrCat("/greengage/", settings.deployment, "/orders/"),
        .self = {settings.peer, incarnation},
        .traffic_address = settings.listen,
        .started_at = started_at,
        .is_draining = [this] { return is_draining.load(); }};
    TrafficServer::Options server;
    server.address = settings.listen;
    server.threads = settings.threads;
    server.memory = &memory;
    server.on_eviction = [this](EvictionReason reason) {
      metrics.IncrementCounter(
          "greengage_memory_evictions_total",
          absl::StrCat("reason=\"",
                       std::string(kEvictionReasonNames.Name(reason)), "\""));
    };
    server.make_handler = [options](asio::io_context* context) {
      auto dispatcher = std::make_shared<RequestDispatcher>(context, options);
      return [dispatcher](CallerConnection* caller, RequestParser* request) {
        return dispatcher->Handle(caller, request);
      };
    };
    return std::make_unique<TrafficServer>(std::move(server));
  }

  std::unique_ptr<TrafficServer> MakeAdminServer() {
    AdminHandler::Options options{
        .steering = &steering,
        .metrics = &metrics,
        .control_status = [this] { return control->Snapshot().status_json; },
        .document_text = [this] { return control->Snapshot().document_text; },
        .health_problem = [this] { return Health(); }};
    TrafficServer::Options server;
    server.address = settings.admin;
    server.make_handler = [options](asio::io_context* /*context*/) {
      auto handler = std::make_shared<AdminHandler>(options);
      return [handler](CallerConnection* caller, RequestParser* request) {
        return handler->Handle(caller, *request);
      };
    };
    return std::make_unique<TrafficServer>(std::move(server));
  }

  /** Returns why the daemon is not ready, or "" when it is. */
  std::string Health() const {
    if (is_draining) return "draining";
    if (!control->Snapshot().is_ready) {
      return "no document or positions yet";
    }
    return "";
  }

  absl::Status Start() {
    absl::Status status = mesh.Start();
    if (status.ok()) status = traffic->Start();
    if (status.ok()) status = admin->Start();
    if (!status.ok()) return status;
    session.Start();
    asio::co_spawn(io, ReportMemory(), asio::detached);
    io_thread = std::thread([this] { io.run(); });
    return absl::OkStatus();
  }

  /** Returns the time after which no caller holds a cached look-up response. */
  Duration MaxCachedLookupLifetime() const {
    const DocumentPtr document = steering.document();
    Duration longest{};
    if (document == nullptr) return longest;
    for (const ServiceSpec& service : document->services) {
      longest = std::max(longest, service.lookup_ttl);
    }
    return longest + kLookupInTransitMargin;
  }

  void WaitForActiveRequests() {
    TimePoint next_log = Now();
    while (!traffic->is_drained()) {
      if (Now() >= next_log) {
        LogEvent(LogLevel::kInfo, Event::kDraining,
                 absl::StrCat("requests=", traffic->active_requests()));
        next_log = Now() + kDrainLogInterval;
      }
      std::this_thread::sleep_for(kStopPollInterval);
    }
  }

  void Drain() {
    is_draining = true;
    control->Send(DrainRequest{});
    const Duration lifetime = MaxCachedLookupLifetime();
    LogEvent(
        LogLevel::kInfo, Event::kDraining,
        absl::StrCat("cached look-ups end in ", ToSeconds(lifetime), " s"));
    std::this_thread::sleep_for(lifetime);
    traffic->StopAccepting();
    traffic->CloseIdleConnections();
    WaitForActiveRequests();
    control->Send(ReleaseSlicesRequest{});
    const TimePoint deadline = Now() + kSliceReleaseTimeout;
    while (!control->Snapshot().has_released_all_slices && Now() < deadline) {
      std::this_thread::sleep_for(kStopPollInterval);
    }
  }

  const Settings settings;
  const uint64_t incarnation;
  const TimePoint started_at;
  std::atomic<bool> is_draining = false;
  MemoryBudget memory;  // outlives the connections
  Metrics metrics;
  Steering steering;
  asio::io_context io{1};
  PeerMesh mesh;
  StoreClient store;
  StoreSession session;
  std::set<SharedKey> existing_keys;  // used on the io thread only
  std::unique_ptr<ControlActor> control;
  std::unique_ptr<TrafficServer> traffic;
  std::unique_ptr<TrafficServer> admin;
  std::thread io_thread;
};

Daemon::Daemon(Settings settings) : settings_(std::move(settings)) {}
Daemon::~Daemon() = default;

absl::Status Daemon::Run() {
  // The signal handler is installed before the first thread starts, so that a
  // signal during start-up does not kill the process.
  asio::io_context signal_context{1};
  asio::signal_set signals(signal_context, SIGTERM, SIGINT);
  std::atomic<int> received = 0;
  std::function<void()> wait = [&] {
    signals.async_wait([&](const ErrorCode& error, int signal) {
      if (error) return;
      const bool is_first = received++ == 0;
      LogEvent(is_first ? LogLevel::kInfo : LogLevel::kWarning,
               is_first ? Event::kStopRequested : Event::kStopRepeated,
               absl::StrCat("signal=", signal,
                            is_first ? "" : ": still draining, see status"));
      if (is_first) signal_context.stop();
      wait();
    });
  };
  wait();
  components_ = std::make_unique<Components>(settings_);
  const absl::Status started = components_->Start();
  if (!started.ok()) return started;
  LogEvent(LogLevel::kInfo, Event::kStarted,
           absl::StrCat("version=" GREENGAGE_VERSION " deployment=",
                        settings_.deployment, " zone=", settings_.zone,
                        " incarnation=", components_->incarnation));
  LogEvent(LogLevel::kInfo, Event::kListening,
           absl::StrCat("callers=", settings_.listen, " peers=", settings_.peer,
                        " operators=", settings_.admin));
  signal_context.run();
  signal_context.restart();
  std::thread signal_thread([&] { signal_context.run(); });
  components_->Drain();
  components_.reset();
  signal_context.stop();
  signal_thread.join();
  LogEvent(LogLevel::kInfo, Event::kStopped, "");
  return absl::OkStatus();
}

}  // namespace greengage
