#include "unit/fleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "gg_document/document_parser.h"
#include "unit/sample_document.h"

namespace greengage {
namespace {

/** Time after which a target notices that its caller's process died. */
constexpr Duration kCancelDelay = std::chrono::milliseconds(100);

constexpr Duration kStoreDelay = std::chrono::milliseconds(5);
constexpr Duration kStoreRetryDelay = std::chrono::seconds(1);

}  // namespace

Fleet::Options SampleFleetOptions(uint64_t seed, int hosts) {
  return {
      .hosts = hosts,
      .seed = seed,
      .loss_probability = 0.1,
      .duplicate_probability = 0.1,
      .max_delay = std::chrono::milliseconds(300),
      .document = SampleDocument(),
      .zones = {"north-1", "south-1", "north-2", "south-2"},
      .region_of = [](const std::string& zone) { return zone.substr(0, 5); },
      .budget = {},
      .adjust_controller = {},
      .on_send = {}};
}

Fleet::Fleet(Options options)
    : options_(std::move(options)),
      random_(options_.seed),
      now_(std::chrono::hours(1)) {
  hosts_.resize(options_.hosts);
  for (int i = 0; i < options_.hosts; ++i) {
    Host& host = hosts_[i];
    host.index = i;
    host.record.zone = options_.zones[i % options_.zones.size()];
    host.record.region = options_.region_of(host.record.zone);
    host.record.id.address = "10.0." + std::to_string(i / 200) + "." +
                             std::to_string(i % 200 + 1) + ":7000";
    host.record.traffic_address = host.record.id.address;
    host_by_address_[host.record.id.address] = i;
  }
  if (!options_.document.empty()) WriteDocument(options_.document);
  for (Host& host : hosts_) StartProcess(&host);
}

void Fleet::Run(Duration duration, const std::function<void()>& after_each) {
  const TimePoint end = now_ + duration;
  while (!pending_.empty() && pending_.front().due <= end) {
    std::pop_heap(pending_.begin(), pending_.end());
    PendingAction next = std::move(pending_.back());
    pending_.pop_back();
    now_ = std::max(now_, next.due);
    FinishDueRequests();
    next.action();
    if (after_each) after_each();
  }
  now_ = end;
  FinishDueRequests();
}

void Fleet::Kill(int host) {
  Host& dead = hosts_[host];
  dead.controller.reset();
  dead.steering.reset();
  dead.is_paused = false;
  dead.deferred_deliveries.clear();
  for (RunningRequest& request : running_) {
    const bool is_on_host = request.host == host;
    if (is_on_host && request.is_cancelled_with_host) {
      request.ends_at = std::min(request.ends_at, now_ + kCancelDelay);
    }
  }
}

void Fleet::Restart(int host) {
  if (hosts_[host].controller) Kill(host);
  StartProcess(&hosts_[host]);
}

void Fleet::Resume(int host) {
  hosts_[host].is_paused = false;
  for (auto& action : std::exchange(hosts_[host].deferred_deliveries, {})) {
    action();
  }
}

void Fleet::SetStoreUp(bool is_up) {
  is_store_up_ = is_up;
  for (Host& host : hosts_) {
    if (!is_up) {
      Schedule(RandomDelay(), [this, i = host.index] {
        Deliver(i, hosts_[i].id.incarnation, [this](Host* h) {
          h->is_store_known_up = false;
          h->controller->OnStoreAvailable(false, now_);
        });
      });
    } else {
      ReadStore(host.index);
    }
  }
}

void Fleet::WriteDocument(const std::string& text) {
  const absl::StatusOr<DocumentPtr> parsed = ParseDocument(text);
  if (parsed.ok()) document_ = *parsed;
  WriteStore(SharedKey::kDocument, text);
}

void Fleet::WriteStore(SharedKey key, const std::string& text) {
  store_[key] = {key, ++revision_, text};
  NotifyWatchers(key);
}

bool Fleet::StartRequest(int index, const std::string& path, Duration length) {
  Host& host = hosts_[index];
  if (!host.steering) return false;
  const DocumentPtr document = host.steering->document();
  if (document == nullptr) return false;
  const ServiceSpec& service = document->services[0];
  const RouteSpec* route = FindRoute(service, "GET", path);
  AdmissionRequest request{.service = &service, .route = route};
  request.home_region = host.record.region;
  const Admission admission = host.steering->Admit(request, now_);
  if (!admission.is_admitted()) return false;
  const bool is_bounded = route->time_limit > Duration::zero();
  running_.push_back(
      {.host = index,
       .incarnation = host.id.incarnation,
       .admission = admission,
       .ends_at =
           now_ + (is_bounded ? std::min(length, route->time_limit) : length),
       .is_cancelled_with_host = !is_bounded});
  return true;
}

int64_t Fleet::RunningIn(const std::string& region) const {
  return std::count_if(running_.begin(), running_.end(),
                       [&](const RunningRequest& r) {
                         return r.admission.target_region == region;
                       });
}

void Fleet::StartProcess(Host* host) {
  host->id = {host->record.id.address, next_incarnation_++};
  host->record.id = host->id;
  host->is_watching = false;
  host->is_store_known_up = false;
  host->is_paused = false;
  Steering::Options steering{.self = host->id,
                             .traffic_address = host->record.traffic_address,
                             .region = host->record.region,
                             .zone = host->record.zone,
                             .seed = random_.Next(),
                             .started_at = now_,
                             .budget = options_.budget};
  host->steering = std::make_unique<Steering>(steering);
  Controller::Options options;
  options.self = host->record;
  options.seed = random_.Next();
  for (int i = 0; i < std::min<int>(3, options_.hosts); ++i) {
    options.seeds.push_back(hosts_[i].record.id.address);
  }
  if (options_.adjust_controller) options_.adjust_controller(&options);
  host->controller = std::make_unique<Controller>(
      options, MakeHooks(host->index), host->steering.get(), now_);
  const uint64_t incarnation = host->id.incarnation;
  const int index = host->index;
  // The tick schedules its next run until this process has ended.
  auto tick = std::make_shared<std::function<void()>>();
  *tick = [this, index, incarnation, tick] {
    Host& ticking = hosts_[index];
    if (!ticking.controller || ticking.id.incarnation != incarnation) {
      *tick = nullptr;
      return;
    }
    if (!ticking.is_paused) ticking.controller->Tick(now_);
    Schedule(options_.tick, [tick] {
      if (*tick) (*tick)();
    });
  };
  const auto phase = static_cast<int64_t>(
      random_.NextBelow(static_cast<uint64_t>(options_.tick.count())));
  Schedule(Duration(phase), [tick] { (*tick)(); });
  ReadStore(index);
}

ControllerHooks Fleet::MakeHooks(int host) {
  return {
      .send = [this, host](
                  const std::string& address,
                  const PeerMessage& message) { Send(host, address, message); },
      .write_store =
          [this, host](const StoreWrite& write) {
            Schedule(kStoreDelay,
                     [this, host, write] { WriteFrom(host, write); });
          },
      .set_watching =
          [this, host](bool is_watching) {
            const bool must_read = is_watching && !hosts_[host].is_watching;
            hosts_[host].is_watching = is_watching;
            if (must_read) ReadStore(host);
          },
      .log =
          [this, host](LogLevel /*level*/, Event event,
                       const std::string& text) {
            static const bool kVerbose =
                std::getenv("GREENGAGE_FLEET_LOG") != nullptr;
            if (!kVerbose) return;
            std::printf("%8.3f host %d E%d %s\n",
                        ToSeconds(now_.time_since_epoch()) - 3600, host,
                        static_cast<int>(event), text.c_str());
          }};
}

void Fleet::Schedule(Duration delay, std::function<void()> action) {
  pending_.push_back({now_ + delay, sequence_++, std::move(action)});
  std::push_heap(pending_.begin(), pending_.end());
}

Duration Fleet::RandomDelay() {
  const auto span =
      static_cast<uint64_t>((options_.max_delay - options_.min_delay).count());
  return options_.min_delay +
         Duration(static_cast<int64_t>(random_.NextBelow(span + 1)));
}

void Fleet::Deliver(int index, uint64_t incarnation,
                    std::function<void(Host*)> action) {
  Host& host = hosts_[index];
  if (!host.controller || host.id.incarnation != incarnation) return;
  if (host.is_paused) {
    host.deferred_deliveries.push_back(
        [this, index, incarnation, action = std::move(action)] {
          Deliver(index, incarnation, action);
        });
    return;
  }
  action(&host);
}

void Fleet::Send(int from, const std::string& address,
                 const PeerMessage& message) {
  if (options_.on_send) options_.on_send(message);
  const auto found = host_by_address_.find(address);
  if (found == host_by_address_.end()) return;
  const int to = found->second;
  if (hosts_[from].partition != hosts_[to].partition) return;
  if (random_.NextDouble() < options_.loss_probability) return;
  const int copies =
      random_.NextDouble() < options_.duplicate_probability ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Schedule(RandomDelay(), [this, to, id = hosts_[from].id, message] {
      if (!hosts_[to].controller) return;
      Deliver(to, hosts_[to].id.incarnation, [this, id, message](Host* host) {
        host->controller->OnPeerMessage(id, message, now_);
      });
    });
  }
}

void Fleet::WriteFrom(int index, const StoreWrite& write) {
  Host& host = hosts_[index];
  ++store_calls_;
  if (!is_store_up_ || host.is_store_unreachable) return;
  StoreValue& value = store_[write.key];
  value.key = write.key;
  if (value.revision == write.expected_revision) {
    value = {write.key, ++revision_, write.value};
    NotifyWatchers(write.key);
  }
  Schedule(kStoreDelay,
           [this, index, incarnation = host.id.incarnation, value] {
             Deliver(index, incarnation, [this, value](Host* h) {
               h->controller->OnStoreValue(value, now_);
             });
           });
}

void Fleet::ReadStore(int index) {
  Schedule(kStoreDelay, [this, index] {
    Host& host = hosts_[index];
    if (!host.controller) return;
    ++store_calls_;
    if (!is_store_up_ || host.is_store_unreachable) {
      if (is_store_up_ || host.is_watching) {
        Schedule(kStoreRetryDelay, [this, index] { ReadStore(index); });
      }
      return;
    }
    const auto values = store_;
    Deliver(index, host.id.incarnation, [this, values](Host* h) {
      h->is_store_known_up = true;
      h->controller->OnStoreAvailable(true, now_);
      for (const SharedKey key : {SharedKey::kDocument, SharedKey::kPlan,
                                  SharedKey::kSlices, SharedKey::kHosts}) {
        const auto value = values.find(key);
        h->controller->OnStoreValue(
            value == values.end() ? StoreValue{key, 0, ""} : value->second,
            now_);
      }
    });
  });
}

void Fleet::NotifyWatchers(SharedKey key) {
  for (const Host& host : hosts_) {
    if (!host.is_watching || host.is_store_unreachable || !is_store_up_) {
      continue;
    }
    Schedule(kStoreDelay, [this, index = host.index, value = store_[key]] {
      Deliver(index, hosts_[index].id.incarnation, [this, value](Host* h) {
        h->controller->OnStoreValue(value, now_);
      });
    });
  }
}

void Fleet::FinishDueRequests() {
  std::erase_if(running_, [&](const RunningRequest& request) {
    if (request.ends_at > now_) return false;
    Host& host = hosts_[request.host];
    const bool is_same_process =
        host.steering && host.id.incarnation == request.incarnation;
    if (!is_same_process) return true;
    Deliver(request.host, request.incarnation,
            [this, admission = request.admission](Host* h) {
              h->steering->Finish(admission, AttemptResult::kAnswered,
                                  std::chrono::milliseconds(10), now_);
            });
    return true;
  });
}

}  // namespace greengage
