#include "gg_entry/entry_daemon.h"

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
#include "gg_insight/event_log.h"
#include "gg_insight/metrics.h"

namespace greengage {
namespace {

/** How often limits of time of connections are checked. */
constexpr Duration kTick = std::chrono::milliseconds(100);

/** Ticks between two looks at the settings file. */
constexpr int kTicksPerReload = 20;

/** How long callers may keep the answer to a look-up: a host that stops is left
    within this time by most. */
constexpr Duration kLookupLifetime = std::chrono::seconds(2);

/** Part of the stop's grace time in which new connections are still taken, from
    callers that have not looked up anew. */
constexpr double kAcceptingPart = 0.55;

/** Time before the grace time ends at which the process ends in any case. */
constexpr Duration kStopMargin = std::chrono::milliseconds(300);

/** Descriptors that are kept for targets, peers, the store and files. */
constexpr int64_t kOwnDescriptors = 1000;

TimePoint Now() { return std::chrono::steady_clock::now(); }

Member MakeSelf(const EntrySettings& settings) {
  return {
      .name = settings.host_name,
      .traffic_address = settings.traffic_address,
      .peer_address = absl::StrCat(settings.ip, ":", settings.first_peer_port),
      .zone = settings.zone,
      .region = settings.region,
      .incarnation = WallMicroseconds()};
}

SessionAnswer TextAnswer(http::status status, std::string body,
                         const char* type) {
  SessionAnswer answer(status, 11);
  answer.set(http::field::content_type, type);
  answer.body() = std::move(body);
  answer.prepare_payload();
  return answer;
}

}  // namespace

struct EntryDaemon::Parts {
  Parts(EntrySettings entry_settings, EntryPlatform entry_platform,
        Options daemon_options)
      : options(daemon_options),
        settings(std::move(entry_settings)),
        platform(std::move(entry_platform)),
        self(MakeSelf(settings)),
        traffic({.context = &io,
                 .metrics = &metrics,
                 .settings = settings,
                 .messages = platform.messages,
                 .seed = RandomSeed()}),
        heartbeats(
            &io,
            {.host_name = self.name,
             .incarnation = self.incarnation,
             .ip = settings.ip,
             .port = settings.first_peer_port},
            &traffic.board(),
            {.on_event =
                 [this](FleetEvent event) { control.Send(std::move(event)); },
             .on_store_revision =
                 [this](uint64_t revision) { store.NoteRevision(revision); }}),
        front(&io, MakeListener(settings.traffic_address,
                                [this](const HttpSessionPtr& session,
                                       SessionRequest request) {
                                  traffic.Handle(session, std::move(request));
                                })),
        ready(&io, MakeListener(settings.ready_address,
                                [this](const HttpSessionPtr& session,
                                       const SessionRequest& request) {
                                  AnswerCheck(session, request);
                                })),
        directory(&io, MakeListener(settings.directory_address,
                                    [this](const HttpSessionPtr& session,
                                           const SessionRequest& request) {
                                      AnswerDirectory(session, request);
                                    })),
        relay(&io, {.ip = settings.ip, .port = settings.first_peer_port}),
        watch(&io, {}, platform.open_store(&io, settings.store_address)),
        store(&io, watch.Calls(), platform.decode_item,
              {.self = self, .seed = RandomSeed()}, MakeStoreHooks()),
        ticker(io),
        signals(io, SIGTERM, SIGINT, SIGHUP),
        control(MakeControlOptions()) {}

  FleetControl::Options MakeControlOptions() {
    FleetControl::Options control_options;
    control_options.fleet.targets.zone_regions = settings.zone_regions;
    control_options.fleet.members.self = self;
    control_options.fleet.members.max_members_without_relay =
        options.relay_above;
    control_options.hooks.log = [](LogLevel level, Event event,
                                   const std::string& text) {
      LogEvent(level, event, text);
    };
    control_options.hooks.publish = [this](FleetViewPtr view) {
      asio::post(io, [this, view = std::move(view)] {
        heartbeats.SetPeers(view->own_region_peers, view->other_region_peers);
        heartbeats.SetEvacuated(view->evacuated_zones);
        watch.SetRelay(view->relay_address);
        traffic.SetView(view);
      });
    };
    return control_options;
  }

  StoreSync::Hooks MakeStoreHooks() {
    return {.on_event =
                [this](FleetEvent event) { OnStoreEvent(std::move(event)); },
            .on_read = [this](uint64_t revision) { relay.Reset(revision); },
            .on_changes =
                [this](const KeyValueReadResult& changes) {
                  relay.Publish(changes);
                }};
  }

  void OnStoreEvent(FleetEvent event) {
    if (const auto* reachable = std::get_if<StoreReachabilityChanged>(&event)) {
      heartbeats.SetStoreReachable(reachable->is_reachable);
    }
    control.Send(std::move(event));
  }

  HttpListener::Options MakeListener(const std::string& address,
                                     SessionHandler handler) {
    return {.address = address,
            .handler = std::move(handler),
            .limits = [this] { return traffic.limits(); },
            .max_sessions = static_cast<size_t>(std::max<int64_t>(
                settings.max_descriptors - kOwnDescriptors, 100))};
  }

  bool IsReady() const { return !is_stopping && traffic.routes() != nullptr; }

  void AnswerCheck(const HttpSessionPtr& session,
                   const SessionRequest& request) const {
    const std::string_view path = FromBeast(request.target());
    if (path == "/metrics") {
      session->Answer(TextAnswer(http::status::ok, metrics.PrometheusText(),
                                 "text/plain; version=0.0.4"),
                      false);
      return;
    }
    http::status status = http::status::not_found;
    if (platform.messages.is_ready_check(path)) {
      status = IsReady() ? http::status::ok : http::status::service_unavailable;
    }
    session->Answer(TextAnswer(status, "", "text/plain"), false);
  }

  void AnswerDirectory(const HttpSessionPtr& session,
                       const SessionRequest& request) const {
    const auto query =
        platform.messages.decode_lookup(FromBeast(request.target()));
    if (!query) {
      session->Answer(TextAnswer(http::status::not_found, "", "text/plain"),
                      false);
      return;
    }
    const FleetViewPtr& view = traffic.view();
    LookupAnswer answer;
    if (view != nullptr) {
      const Duration lifetime = std::min<Duration>(
          kLookupLifetime, settings.bounds.longest_lookup_ttl);
      answer = AnswerLookup(*query, *view, self, IsReady(), lifetime);
    }
    if (answer.addresses.empty()) {
      session->Answer(
          TextAnswer(http::status::service_unavailable, "", "text/plain"),
          false);
      return;
    }
    session->Answer(
        TextAnswer(http::status::ok, platform.messages.encode_lookup(answer),
                   "application/json"),
        false);
  }

  absl::Status Start() {
    absl::Status status = front.Start();
    if (status.ok()) status = ready.Start();
    if (status.ok()) status = directory.Start();
    if (status.ok()) status = heartbeats.Start();
    if (status.ok()) status = relay.Start();
    if (!status.ok()) return status;
    store.Start();
    WaitForSignal();
    ScheduleTick();
    return absl::OkStatus();
  }

  void ScheduleTick() {
    ticker.expires_after(kTick);
    ticker.async_wait([this](const ErrorCode& error) {
      if (error) return;
      Tick(Now());
      ScheduleTick();
    });
  }

  void Tick(TimePoint now) {
    front.Sweep(now);
    ready.Sweep(now);
    directory.Sweep(now);
    traffic.Sweep(now);
    heartbeats.SetStoreRevision(store.newest_revision());
    heartbeats.Tick(now);
    store.Tick(now);
    if (++tick_count % kTicksPerReload == 0) Reload("file");
    if (is_stopping) ContinueStop(now);
  }

  void WaitForSignal() {
    signals.async_wait([this](const ErrorCode& error, int signal) {
      if (error) return;
      if (signal == SIGHUP) {
        Reload("SIGHUP");
      } else if (is_stopping) {
        LogEvent(LogLevel::kWarning, Event::kStopRepeated,
                 absl::StrCat("signal=", signal, ": still draining"));
      } else {
        BeginStop(signal);
      }
      WaitForSignal();
    });
  }

  /** Takes over bounds that changed; addresses need a restart. */
  void Reload(const char* cause) {
    auto read = platform.read_settings();
    const bool is_signal = std::string_view(cause) == "SIGHUP";
    if (!read.ok()) {
      // The poll tells of a broken file once.
      if (is_signal || !is_file_refused) {
        LogError(Event::kSettingsRefused, read.status());
      }
      is_file_refused = true;
      return;
    }
    is_file_refused = false;
    if (!is_signal && read->bounds == settings.bounds) return;
    settings.bounds = read->bounds;
    traffic.SetBounds(settings.bounds);
    LogEvent(LogLevel::kInfo, Event::kSettingsReloaded,
             absl::StrCat("cause=", cause));
  }

  void BeginStop(int signal) {
    is_stopping = true;
    stop_began = Now();
    LogEvent(LogLevel::kInfo, Event::kStopRequested,
             absl::StrCat("signal=", signal, " active=", front.ActiveRequests(),
                          " grace_s=", ToSeconds(settings.bounds.stop_grace)));
    heartbeats.Leave();
    store.Leave();
    traffic.StartClosing();
  }

  void ContinueStop(TimePoint now) {
    const Duration passed = now - stop_began;
    const Duration accepting =
        FromSeconds(ToSeconds(settings.bounds.stop_grace) * kAcceptingPart);
    if (passed < accepting) return;
    if (!is_closed) {
      is_closed = true;
      front.StopAccepting();
      front.CloseIdle();
      LogEvent(LogLevel::kInfo, Event::kDraining,
               absl::StrCat("active=", front.ActiveRequests()));
    }
    const bool is_over = front.ActiveRequests() == 0;
    if (is_over || passed >= settings.bounds.stop_grace - kStopMargin)
      io.stop();
  }

  const Options options;
  EntrySettings settings;
  const EntryPlatform platform;
  const Member self;
  asio::io_context io{1};
  Metrics metrics;
  EntryTraffic traffic;
  HeartbeatExchange heartbeats;
  HttpListener front;
  HttpListener ready;
  HttpListener directory;
  ChangeRelay relay;
  RelayedWatch watch;
  StoreSync store;
  asio::steady_timer ticker;
  asio::signal_set signals;
  int tick_count = 0;
  bool is_file_refused = false;
  bool is_stopping = false;
  bool is_closed = false;
  TimePoint stop_began{};
  FleetControl control;  // last: its thread uses the others
};

EntryDaemon::EntryDaemon(EntrySettings settings, EntryPlatform platform,
                         Options options)
    : parts_(std::make_unique<Parts>(std::move(settings), std::move(platform),
                                     options)) {}

EntryDaemon::~EntryDaemon() = default;

absl::Status EntryDaemon::Run() {
  const absl::Status started = parts_->Start();
  if (!started.ok()) return started;
  const EntrySettings& settings = parts_->settings;
  LogEvent(LogLevel::kInfo, Event::kStarted,
           absl::StrCat("version=" GREENGAGE_VERSION " host=",
                        settings.host_name, " zone=", settings.zone,
                        " incarnation=", parts_->self.incarnation));
  LogEvent(LogLevel::kInfo, Event::kListening,
           absl::StrCat("callers=", settings.traffic_address,
                        " checks=", settings.ready_address,
                        " lookups=", settings.directory_address,
                        " peers=", parts_->self.peer_address));
  parts_->io.run();
  LogEvent(LogLevel::kInfo, Event::kStopped,
           absl::StrCat("active=", parts_->front.ActiveRequests()));
  return absl::OkStatus();
}

}  // namespace greengage
