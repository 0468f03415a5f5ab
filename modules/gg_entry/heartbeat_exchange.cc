#include "gg_entry/heartbeat_exchange.h"

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_insight/event_log.h"

namespace greengage {
namespace {

/** Rounds of heartbeats of which one goes to other regions as well. */
constexpr uint64_t kFarRounds = 4;

TimePoint Now() { return std::chrono::steady_clock::now(); }

std::vector<asio::ip::udp::endpoint> Endpoints(
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
                                     TargetBoard* board, Hooks hooks)
    : options_(std::move(options)),
      board_(board),
      hooks_(std::move(hooks)),
      socket_(*context),
      timer_(*context) {}

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

void HeartbeatExchange::SetPeers(const std::vector<std::string>& near_peers,
                                 const std::vector<std::string>& far_peers) {
  near_ = Endpoints(near_peers);
  far_ = Endpoints(far_peers);
}

void HeartbeatExchange::Receive() {
  socket_.async_receive_from(asio::buffer(datagram_), sender_,
                             [this](const ErrorCode& error, size_t count) {
                               if (error == asio::error::operation_aborted)
                                 return;
                               // Other errors tell of an earlier send to a port
                               // that is closed.
                               if (!error) OnDatagram(count);
                               Receive();
                             });
}

void HeartbeatExchange::OnDatagram(size_t count) {
  auto heartbeat = DecodeEntryHeartbeat({datagram_.data(), count},
                                        sender_.address().to_string());
  if (!heartbeat.ok()) {
    LogError(Event::kPeerFrameRefused, heartbeat.status());
    return;
  }
  PeerWork& work = work_[heartbeat->sender];
  work.targets = std::move(heartbeat->targets);
  work.heard_at = Now();
  hooks_.on_store_revision(heartbeat->store_revision);
  heard_[heartbeat->sender] = {
      heartbeat->sender, heartbeat->incarnation, heartbeat->is_leaving,
      heartbeat->store_reachable, heartbeat->evacuated};
}

void HeartbeatExchange::ScheduleSend() {
  const bool is_small = near_.size() + far_.size() < options_.small_fleet;
  timer_.expires_after(is_small ? options_.interval : options_.large_interval);
  timer_.async_wait([this](const ErrorCode& error) {
    if (error) return;
    const std::string datagram = MakeDatagram(Now());
    SendTo(near_, datagram);
    if (rounds_++ % kFarRounds == 0) SendTo(far_, datagram);
    ScheduleSend();
  });
}

std::string HeartbeatExchange::MakeDatagram(TimePoint now) const {
  EntryHeartbeat heartbeat{.sender = options_.host_name,
                           .incarnation = options_.incarnation,
                           .is_leaving = is_leaving_,
                           .store_reachable = store_reachable_,
                           .store_revision = store_revision_,
                           .evacuated = evacuated_};
  for (size_t i = 0; i < board_->size(); ++i) {
    const BoardRow& row = board_->row(i);
    const TargetNote note{
        .in_flight = row.own_in_flight,
        .slowness = board_->OwnSlowness(row, now),
        .is_resting = row.ejected_until > now || board_->IsAbsent(row, now)};
    const bool is_news =
        note.in_flight > 0 || note.is_resting || note.slowness >= kSlowFrom;
    if (row.is_listed && is_news) heartbeat.targets[row.id_hash] = note;
  }
  return EncodeEntryHeartbeat(heartbeat);
}

void HeartbeatExchange::SendTo(
    const std::vector<asio::ip::udp::endpoint>& peers,
    const std::string& datagram) {
  for (const auto& peer : peers) {
    ErrorCode ignored;  // the next heartbeat follows soon
    socket_.send_to(asio::buffer(datagram), peer, 0, ignored);
  }
}

void HeartbeatExchange::Leave() {
  is_leaving_ = true;
  const std::string datagram = MakeDatagram(Now());
  SendTo(near_, datagram);
  SendTo(far_, datagram);
}

void HeartbeatExchange::Tick(TimePoint now) {
  if (!heard_.empty()) {
    HeartbeatsReceived event;
    for (auto& [name, heartbeat] : heard_) {
      event.heartbeats.push_back(std::move(heartbeat));
    }
    heard_.clear();
    hooks_.on_event(std::move(event));
  }
  std::map<uint64_t, PeerNotes> total;
  for (auto it = work_.begin(); it != work_.end();) {
    if (now - it->second.heard_at >= options_.work_lifetime) {
      it = work_.erase(it);
      continue;
    }
    for (const auto& [target, note] : it->second.targets) {
      PeerNotes& notes = total[target];
      notes.in_flight += note.in_flight;
      notes.resting += note.is_resting ? 1 : 0;
      if (note.slowness < kSlowFrom) continue;
      ++notes.slow;
      notes.slowness_sum += note.slowness;
    }
    ++it;
  }
  board_->SetPeerNotes(total);
}

}  // namespace greengage
