#include "gg_entry/heartbeat_exchange.h"

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_core/hash.h"
#include "gg_insight/event_log.h"

namespace greengage {
namespace {

TimePoint Now() { return std::chrono::steady_clock::now(); }

std::vector<asio::ip::udp::endpoint> ParseEndpoints(
    const std::vector<std::string>& addresses) {
  std::vector<asio::ip::udp::endpoint> endpoints;
  for (const std::string& address : addresses) {
    const auto endpoint = ParseEndpoint(address);
    if (endpoint) endpoints.emplace_back(endpoint->address(), endpoint->port());
  }
  return endpoints;
}

}  // namespace

HeartbeatExchange::HeartbeatExchange(asio::io_context* context, Options options,
                                     TargetStatusTable* board,
                                     TargetRateLimiter* rate_limiter,
                                     TenantRateLimiter* tenant_limiter,
                                     Hooks hooks)
    : options_(std::move(options)),
      board_(board),
      rate_limiter_(rate_limiter),
      tenant_limiter_(tenant_limiter),
      hooks_(std::move(hooks)),
      socket_(*context),
      send_timer_(*context),
      schedule_(options_.schedule, Hash64(options_.host_name)) {}

absl::Status HeartbeatExchange::Start() {
  ErrorCode error;
  const auto address = asio::ip::make_address(options_.ip, error);
  if (!error) socket_.open(asio::ip::udp::v4(), error);
  if (!error) socket_.bind({address, options_.port}, error);
  if (!error) socket_.non_blocking(true, error);
  if (error) {
    return StepError(absl::StatusCode::kUnavailable, Step::kSettings,
                     absl::StrCat(options_.ip, ":", options_.port),
                     absl::StrCat("cannot bind: ", error.message()));
  }
  Receive();
  ScheduleSend();
  return absl::OkStatus();
}

void HeartbeatExchange::SetPeers(const FleetView& view) {
  const std::set<std::string> own_zone(view.own_zone_peers.begin(),
                                       view.own_zone_peers.end());
  std::vector<std::string> other_zones;
  for (const std::string& address : view.own_region_peers) {
    if (own_zone.count(address) == 0) other_zones.push_back(address);
  }
  own_zone_peers_ = ParseEndpoints(view.own_zone_peers);
  other_zone_peers_ = ParseEndpoints(other_zones);
  other_region_peers_ = ParseEndpoints(view.other_region_peers);
}

size_t HeartbeatExchange::PeerCount() const {
  return own_zone_peers_.size() + other_zone_peers_.size() +
         other_region_peers_.size();
}

void HeartbeatExchange::Receive() {
  socket_.async_receive_from(asio::buffer(receive_buffer_), sender_,
                             [this](const ErrorCode& error, size_t count) {
                               if (error == asio::error::operation_aborted)
                                 return;
                               // Other errors report that an earlier datagram
                               // reached a closed port.
                               if (!error) OnDatagram(count);
                               Receive();
                             });
}

void HeartbeatExchange::OnDatagram(size_t count) {
  auto heartbeat = DecodeEntryHeartbeat({receive_buffer_.data(), count},
                                        sender_.address().to_string());
  if (!heartbeat.ok()) {
    LogError(Event::kPeerFrameRefused, heartbeat.status());
    return;
  }
  PeerWork& work = peer_work_[heartbeat->sender];
  work.targets = std::move(heartbeat->targets);
  work.received_at = Now();
  rate_limiter_->RecordPeerReports(heartbeat->sender, heartbeat->rate_limits,
                                   work.received_at);
  tenant_limiter_->RecordPeerReports(heartbeat->sender, heartbeat->incarnation,
                                     heartbeat->tenants, work.received_at);
  hooks_.on_store_position(heartbeat->store_position);
  pending_heartbeats_[heartbeat->sender] = {
      heartbeat->sender, heartbeat->incarnation, heartbeat->is_leaving,
      heartbeat->is_store_reachable, heartbeat->evacuated_zones};
}

void HeartbeatExchange::ScheduleSend() {
  send_timer_.expires_after(schedule_.Interval(PeerCount()));
  send_timer_.async_wait([this](const ErrorCode& error) {
    if (error) return;
    const std::string datagram = EncodeHeartbeat(Now());
    const auto round = schedule_.BeginRound(PeerCount());
    SendTo(own_zone_peers_, datagram);
    if (round.is_for_other_zones) SendTo(other_zone_peers_, datagram);
    if (round.is_for_other_regions) SendTo(other_region_peers_, datagram);
    ScheduleSend();
  });
}

std::string HeartbeatExchange::EncodeHeartbeat(TimePoint now) {
  EntryHeartbeat heartbeat{.sender = options_.host_name,
                           .incarnation = options_.incarnation,
                           .is_leaving = is_leaving_,
                           .is_store_reachable = is_store_reachable_,
                           .store_position = store_position_,
                           .evacuated_zones = evacuated_zones_,
                           .rate_limits = rate_limiter_->Reports(now),
                           .tenants = tenant_limiter_->Reports(now)};
  for (size_t i = 0; i < board_->size(); ++i) {
    const TargetStatus& row = board_->row(i);
    const TargetReport note{
        .in_flight = row.own_in_flight,
        .slowness = board_->OwnSlowness(row, now),
        .is_ejected = row.ejected_until > now || board_->IsAbsent(row, now)};
    const bool is_included = note.in_flight > 0 || note.is_ejected ||
                             note.slowness >= kSlowThreshold;
    if (row.is_listed && is_included) heartbeat.targets[row.id_hash] = note;
  }
  return EncodeEntryHeartbeat(heartbeat);
}

void HeartbeatExchange::SendTo(
    const std::vector<asio::ip::udp::endpoint>& peers,
    const std::string& datagram) {
  for (const auto& peer : peers) {
    ErrorCode ignored;  // the next heartbeat replaces a lost one
    socket_.send_to(asio::buffer(datagram), peer, 0, ignored);
  }
}

void HeartbeatExchange::AnnounceLeaving() {
  is_leaving_ = true;
  const std::string datagram = EncodeHeartbeat(Now());
  SendTo(own_zone_peers_, datagram);
  SendTo(other_zone_peers_, datagram);
  SendTo(other_region_peers_, datagram);
}

void HeartbeatExchange::Tick(TimePoint now) {
  if (!pending_heartbeats_.empty()) {
    HeartbeatsReceived event;
    for (auto& [name, heartbeat] : pending_heartbeats_) {
      event.heartbeats.push_back(std::move(heartbeat));
    }
    pending_heartbeats_.clear();
    hooks_.on_event(std::move(event));
  }
  std::map<uint64_t, PeerSummary> totals;
  Duration age_sum{};
  for (auto it = peer_work_.begin(); it != peer_work_.end();) {
    if (now - it->second.received_at >= options_.peer_work_lifetime) {
      it = peer_work_.erase(it);
      continue;
    }
    age_sum += now - it->second.received_at;
    for (const auto& [target, note] : it->second.targets) {
      PeerSummary& notes = totals[target];
      notes.in_flight += note.in_flight;
      notes.in_flight_age_seconds +=
          note.in_flight * ToSeconds(now - it->second.received_at);
      notes.ejecting_peers += note.is_ejected ? 1 : 0;
      if (note.slowness < kSlowThreshold) continue;
      ++notes.slow_peers;
      notes.slowness_sum += note.slowness;
    }
    ++it;
  }
  std::optional<Duration> mean_age;
  if (!peer_work_.empty()) {
    mean_age = age_sum / static_cast<int64_t>(peer_work_.size());
  }
  board_->SetPeerSummaries(totals, mean_age, now);
  rate_limiter_->Tick(now);
  tenant_limiter_->Tick(now);
}

}  // namespace greengage
