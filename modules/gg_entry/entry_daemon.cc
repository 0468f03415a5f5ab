#include "gg_entry/entry_daemon.h"

#include <malloc.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>

#include "absl/strings/str_cat.h"
#include "gg_core/system_inputs.h"
#include "gg_entry/change_relay.h"
#include "gg_entry/entry_traffic.h"
#include "gg_entry/fleet_control.h"
#include "gg_entry/heartbeat_exchange.h"
#include "gg_entry/http_listener.h"
#include "gg_entry/lookup_responder.h"
#include "gg_entry/relayed_watch.h"
#include "gg_entry/store_sync.h"
#include "gg_http/memory_report.h"
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"

namespace greengage {
namespace {

/** Interval at which time limits are checked. */
constexpr Duration kTickInterval = std::chrono::milliseconds(100);

/** Lateness of a tick from which it is logged. */
constexpr Duration kLoggedLoopDelay = std::chrono::milliseconds(250);

/** Ticks between two reads of the settings file. */
constexpr int kTicksPerSettingsCheck = 20;

/** Longest time for which callers may cache a lookup. Most callers leave a host
    that stops within this time. */
constexpr Duration kMaxLookupTtl = std::chrono::seconds(2);

/** Time after SIGTERM by which callers that use a lookup no longer than allowed
    have repeated it. */
constexpr Duration kLookupSettleTime =
    kMaxLookupTtl + std::chrono::milliseconds(500);

/** Largest fraction of the stop's grace period that counts as settle time. */
constexpr double kMaxSettleFraction = 0.4;

/** Fraction of the stop's grace period in which new connections are still
    accepted, for callers that have not repeated their lookup yet. */
constexpr double kAcceptingFraction = 0.55;

/** Time before the end of the grace period at which the process exits even if
    requests are still running. */
constexpr Duration kStopMargin = std::chrono::milliseconds(300);

/** File descriptors reserved for targets, peers, the store and files. */
constexpr int64_t kReservedDescriptors = 1000;

/** Time without a heartbeat after which a daemon of another zone of the region
    is not named any more, where these zones get every second round. One lost
    heartbeat (2 s) and a delay of half a second have no effect. A longer time
    would keep callers of a lost zone waiting. */
constexpr Duration kOtherZoneHeartbeatTimeout = std::chrono::milliseconds(2500);

/** Fewest connections from callers that are kept, however few descriptors. */
constexpr int64_t kMinConnections = 100;

/** Fall of the memory held for peers after which free memory is returned to the
    system, at most once a second. Below it the allocator uses it again. */
constexpr size_t kTrimBytes = size_t{8} * 1024 * 1024;
constexpr int kTicksPerMemoryReport = 10;

size_t MaxConnections(const EntrySettings& settings) {
  return static_cast<size_t>(std::max(
      settings.max_file_descriptors - kReservedDescriptors, kMinConnections));
}

TimePoint Now() { return std::chrono::steady_clock::now(); }

Member MakeSelf(const EntrySettings& settings) {
  return {.name = settings.host_name,
          .traffic_address = settings.traffic_address,
          .peer_address = absl::StrCat(settings.ip, ":", settings.peer_port),
          .zone = settings.zone,
          .region = settings.region,
          .incarnation = WallMicroseconds(),
          .link_mbps = settings.link_mbps,
          .processor_cores = settings.processor_cores};
}

/** Returns when heartbeats are sent. Where requests run in the daemon's zone,
   so that it shares few targets with the region's other zones, these get every
    second round. */
HeartbeatSchedule::Options MakeHeartbeatSchedule(
    const EntrySettings& settings) {
  HeartbeatSchedule::Options options;
  if (settings.processor_cores > 0) options.rounds_per_other_zone_send = 2;
  return options;
}

SessionResponse MakeTextResponse(http::status status, std::string body,
                                 const char* type) {
  SessionResponse response(status, 11);
  response.set(http::field::content_type, type);
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

}  // namespace

struct EntryDaemon::Impl {
  Impl(EntrySettings entry_settings, EntryPlatform entry_platform,
       Options daemon_options)
      : options(daemon_options),
        settings(std::move(entry_settings)),
        platform(std::move(entry_platform)),
        self(MakeSelf(settings)),
        memory(MemoryBudget::OptionsForMachine(settings.memory_mb,
                                               MaxConnections(settings))),
        traffic({.context = &io,
                 .metrics = &metrics,
                 .memory = &memory,
                 .settings = settings,
                 .message_codec = platform.message_codec,
                 .seed = RandomSeed()}),
        heartbeats(&io,
                   {.host_name = self.name,
                    .incarnation = self.incarnation,
                    .ip = settings.ip,
                    .port = settings.peer_port,
                    .schedule = MakeHeartbeatSchedule(settings)},
                   &traffic.board(), &traffic.rate_limiter(),
                   &traffic.tenant_limiter(),
                   {.on_event =
                        [this](FleetEvent event) {
                          fleet_control.Send({std::move(event)});
                        },
                    .on_store_position =
                        [this](StorePosition position) {
                          store_sync.NotePeerPosition(position);
                        }}),
        traffic_listener(&io, MakeListenerOptions(
                                  settings.traffic_address,
                                  [this](const HttpSessionPtr& session,
                                         SessionRequest request) {
                                    traffic.Handle(session, std::move(request));
                                  })),
        health_listener(
            &io, MakeListenerOptions(settings.health_address,
                                     [this](const HttpSessionPtr& session,
                                            const SessionRequest& request) {
                                       RespondToHealthRequest(session, request);
                                     })),
        lookup_listener(
            &io, MakeListenerOptions(settings.lookup_address,
                                     [this](const HttpSessionPtr& session,
                                            const SessionRequest& request) {
                                       RespondToLookup(session, request);
                                     })),
        change_relay(&io, {.ip = settings.ip, .port = settings.peer_port}),
        relayed_watch(&io, {},
                      platform.open_store(&io, settings.store_address)),
        store_sync(&io, relayed_watch.StoreWithRelayedWatch(),
                   platform.decode_item, {.self = self, .seed = RandomSeed()},
                   MakeStoreHooks()),
        tick_timer(io),
        signals(io, SIGTERM, SIGINT, SIGHUP),
        fleet_control(MakeControlOptions()) {}

  FleetControl::Options MakeControlOptions() {
    FleetControl::Options control_options;
    control_options.fleet.targets.zone_regions = settings.zone_regions;
    control_options.fleet.members.self = self;
    control_options.fleet.members.max_members_without_relay =
        options.relay_above;
    if (settings.processor_cores > 0) {
      control_options.fleet.members.other_zone_heartbeat_timeout =
          kOtherZoneHeartbeatTimeout;
    }
    control_options.hooks.log = [](LogLevel level, Event event,
                                   const std::string& text) {
      LogEvent(level, event, text);
    };
    control_options.hooks.publish = [this](FleetViewPtr view) {
      asio::post(io, [this, view = std::move(view)] {
        heartbeats.SetPeers(*view);
        heartbeats.SetEvacuatedZones(view->evacuated_zones);
        relayed_watch.SetRelayAddress(view->relay_address);
        traffic.SetView(view);
      });
    };
    return control_options;
  }

  StoreSync::Hooks MakeStoreHooks() {
    return {
        .on_events =
            [this](std::vector<FleetEvent> events) {
              OnStoreEvents(std::move(events));
            },
        .on_full_read =
            [this](StorePosition position) { change_relay.Reset(position); },
        .on_changes =
            [this](const KeyValueReadResult& changes) {
              change_relay.Publish(changes);
            }};
  }

  void OnStoreEvents(std::vector<FleetEvent> events) {
    for (const FleetEvent& event : events) {
      if (const auto* reachable =
              std::get_if<StoreReachabilityChanged>(&event)) {
        heartbeats.SetStoreReachable(reachable->is_reachable);
      }
    }
    fleet_control.Send(std::move(events));
  }

  HttpListener::Options MakeListenerOptions(const std::string& address,
                                            SessionHandler handler) {
    return {
        .address = address,
        .handler = std::move(handler),
        .limits = [this] { return traffic.limits(); },
        .max_sessions = MaxConnections(settings),
        .on_odd_message =
            [this] {
              metrics.IncrementCounter("greengage_odd_messages_total",
                                       "side=\"caller\"");
            },
        .memory = &memory,
        .make_room = [this] { return CloseAnIdleConnection(); },
        .on_eviction =
            [this](EvictionReason reason) {
              metrics.IncrementCounter(
                  "greengage_memory_evictions_total",
                  absl::StrCat("reason=\"",
                               std::string(kEvictionReasonNames.Name(reason)),
                               "\""));
            }};
  }

  /** Closes an idle connection of the listener that has the most.
      @return false if none is idle. */
  bool CloseAnIdleConnection() {
    HttpListener* listeners[] = {&traffic_listener, &health_listener,
                                 &lookup_listener};
    std::sort(std::begin(listeners), std::end(listeners),
              [](const HttpListener* a, const HttpListener* b) {
                return a->OpenConnections() > b->OpenConnections();
              });
    return std::any_of(
        std::begin(listeners), std::end(listeners),
        [](HttpListener* listener) { return listener->CloseLongestIdle(); });
  }

  /** Publishes what is held for peers, and returns free memory to the
      system. */
  void ReportMemory() {
    memory_report.Publish(memory, &metrics);
    if (memory.TakeFallenBytes(kTrimBytes) > 0) malloc_trim(0);
  }

  bool IsReady() const { return !is_stopping && traffic.routes() != nullptr; }

  void RespondToHealthRequest(const HttpSessionPtr& session,
                              const SessionRequest& request) const {
    const std::string_view path = FromBeast(request.target());
    if (path == "/metrics") {
      session->Respond(
          MakeTextResponse(http::status::ok, metrics.PrometheusText(),
                           "text/plain; version=0.0.4"),
          false);
      return;
    }
    http::status status = http::status::not_found;
    if (platform.message_codec.is_readiness_check(path)) {
      status = IsReady() ? http::status::ok : http::status::service_unavailable;
    }
    session->Respond(MakeTextResponse(status, "", "text/plain"), false);
  }

  void RespondToLookup(const HttpSessionPtr& session,
                       const SessionRequest& request) {
    const auto query =
        platform.message_codec.decode_lookup_query(FromBeast(request.target()));
    if (!query) {
      session->Respond(
          MakeTextResponse(http::status::not_found, "", "text/plain"), false);
      return;
    }
    const FleetViewPtr& view = traffic.view();
    LookupResponse response;
    if (view != nullptr) {
      const Duration ttl =
          std::min<Duration>(kMaxLookupTtl, settings.bounds.max_lookup_ttl);
      response = MakeLookupResponse(*query, *view, self, IsReady(),
                                    {.ttl = ttl}, &traffic.random());
    }
    if (response.addresses.empty()) {
      session->Respond(
          MakeTextResponse(http::status::service_unavailable, "", "text/plain"),
          false);
      return;
    }
    session->Respond(
        MakeTextResponse(
            http::status::ok,
            platform.message_codec.encode_lookup_response(response),
            "application/json"),
        false);
  }

  absl::Status Start() {
    absl::Status status = traffic_listener.Start();
    if (status.ok()) status = health_listener.Start();
    if (status.ok()) status = lookup_listener.Start();
    if (status.ok()) status = heartbeats.Start();
    if (status.ok()) status = change_relay.Start();
    if (!status.ok()) return status;
    store_sync.Start();
    WaitForSignal();
    ScheduleTick();
    return absl::OkStatus();
  }

  void ScheduleTick() {
    tick_timer.expires_after(kTickInterval);
    tick_timer.async_wait([this](const ErrorCode& error) {
      if (error) return;
      const TimePoint now = Now();
      RecordLoopDelay(now - tick_timer.expiry());
      Tick(now);
      ScheduleTick();
    });
  }

  /** Records by how much the traffic thread is behind. */
  void RecordLoopDelay(Duration delay) {
    metrics.RecordLatency("greengage_loop_delay_seconds", "", delay);
    if (delay < kLoggedLoopDelay) return;
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(delay).count();
    LogEvent(LogLevel::kWarning, Event::kProcessBehind,
             absl::StrCat("delay_ms=", milliseconds,
                          " active=", traffic_listener.ActiveRequests()));
  }

  void Tick(TimePoint now) {
    traffic_listener.CheckTimeouts(now);
    health_listener.CheckTimeouts(now);
    lookup_listener.CheckTimeouts(now);
    traffic.CloseExpiredConnections(now);
    heartbeats.SetStorePosition(store_sync.newest_position());
    heartbeats.Tick(now);
    store_sync.Tick(now);
    if (++tick_count % kTicksPerSettingsCheck == 0) ReloadSettings("file");
    if (tick_count % kTicksPerMemoryReport == 0) ReportMemory();
    if (is_stopping) ContinueStop(now);
  }

  void WaitForSignal() {
    signals.async_wait([this](const ErrorCode& error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        ReloadSettings("SIGHUP");
      } else if (is_stopping) {
        LogEvent(LogLevel::kWarning, Event::kStopRepeated,
                 absl::StrCat("signal=", signal, ": still draining"));
      } else {
        BeginStop(signal);
      }
      WaitForSignal();
    });
  }

  /** Reads the settings again and applies their bounds. Changed addresses take
      effect only after a restart.
      @param cause  "file" for the periodic read, or "SIGHUP". */
  void ReloadSettings(const char* cause) {
    auto new_settings = platform.read_settings();
    const bool is_signal = std::string_view(cause) == "SIGHUP";
    if (!new_settings.ok()) {
      // The periodic read logs an invalid file only once.
      if (is_signal || !is_settings_file_invalid) {
        LogError(Event::kSettingsRefused, new_settings.status());
      }
      is_settings_file_invalid = true;
      return;
    }
    is_settings_file_invalid = false;
    if (!is_signal && new_settings->bounds == settings.bounds) return;
    settings.bounds = new_settings->bounds;
    traffic.SetBounds(settings.bounds);
    LogEvent(LogLevel::kInfo, Event::kSettingsReloaded,
             absl::StrCat("cause=", cause));
  }

  void BeginStop(int signal) {
    is_stopping = true;
    // The bounds may change during the stop. The platform ends the process
    // according to those in force now.
    const Duration grace_period = settings.bounds.stop_grace_period;
    stop_plan.began_at = Now();
    stop_plan.settles_at =
        stop_plan.began_at +
        std::min<Duration>(
            kLookupSettleTime,
            FromSeconds(ToSeconds(grace_period) * kMaxSettleFraction));
    accepts_until = stop_plan.began_at +
                    FromSeconds(ToSeconds(grace_period) * kAcceptingFraction);
    stop_plan.exits_at = stop_plan.began_at + grace_period - kStopMargin;
    LogEvent(LogLevel::kInfo, Event::kStopRequested,
             absl::StrCat("signal=", signal,
                          " active=", traffic_listener.ActiveRequests(),
                          " grace_s=", ToSeconds(grace_period)));
    heartbeats.AnnounceLeaving();
    store_sync.Deregister();
    traffic.StartStopping(stop_plan);
  }

  void ContinueStop(TimePoint now) {
    if (now < accepts_until) return;
    if (!is_draining) {
      is_draining = true;
      traffic_listener.StopAccepting();
      traffic_listener.CloseIdle();
      LogEvent(LogLevel::kInfo, Event::kDraining,
               absl::StrCat("active=", traffic_listener.ActiveRequests()));
    }
    const bool is_drained = traffic_listener.OpenConnections() == 0;
    if (!is_drained && now < stop_plan.exits_at) return;
    traffic.InterruptRequests(now);
    io.stop();
  }

  const Options options;
  EntrySettings settings;
  const EntryPlatform platform;
  const Member self;
  MemoryBudget memory;  // outlives what the event loop destroys
  MemoryReport memory_report;
  asio::io_context io{1};
  Metrics metrics;
  EntryTraffic traffic;
  HeartbeatExchange heartbeats;
  HttpListener traffic_listener;
  HttpListener health_listener;
  HttpListener lookup_listener;
  ChangeRelay change_relay;
  RelayedWatch relayed_watch;
  StoreSync store_sync;
  asio::steady_timer tick_timer;
  asio::signal_set signals;
  int tick_count = 0;
  bool is_settings_file_invalid = false;
  bool is_stopping = false;
  bool is_draining = false;
  StopPlan stop_plan;
  TimePoint accepts_until{};
  FleetControl fleet_control;  // last: its thread uses the other members
};

EntryDaemon::EntryDaemon(EntrySettings settings, EntryPlatform platform,
                         Options options)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(platform),
                                   options)) {}

EntryDaemon::~EntryDaemon() = default;

absl::Status EntryDaemon::Run() {
  const absl::Status started = impl_->Start();
  if (!started.ok()) return started;
  const EntrySettings& settings = impl_->settings;
  LogEvent(LogLevel::kInfo, Event::kStarted,
           absl::StrCat("version=" GREENGAGE_VERSION " host=",
                        settings.host_name, " zone=", settings.zone,
                        " incarnation=", impl_->self.incarnation));
  LogEvent(LogLevel::kInfo, Event::kListening,
           absl::StrCat("callers=", settings.traffic_address,
                        " checks=", settings.health_address,
                        " lookups=", settings.lookup_address,
                        " peers=", impl_->self.peer_address));
  impl_->io.run();
  LogEvent(LogLevel::kInfo, Event::kStopped,
           absl::StrCat("active=", impl_->traffic_listener.ActiveRequests()));
  return absl::OkStatus();
}

}  // namespace greengage
