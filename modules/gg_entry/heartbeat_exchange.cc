#include "gg_entry/heartbeat_exchange.h"

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_insight/event_log.h"

namespace greengage {
namespace {

TimePoint Now() { return std::chrono::steady_clock::now(); }

}  // namespace

HeartbeatExchange::HeartbeatExchange(
    asio::io_context* context, Options options, TargetBoard* board,
    std::function<void(FleetEvent event)> on_event)
    : options_(std::move(options)),
      board_(board),
      on_event_(std::move(on_event)),
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

void HeartbeatExchange::SetPeers(const std::vector<std::string>& addresses) {
  peers_.clear();
  for (const std::string& address : addresses) {
    const auto endpoint = ParseEndpoint(address);
    if (endpoint) peers_.emplace_back(endpoint->address(), endpoint->port());
  }
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
  work.in_flight = std::move(heartbeat->in_flight);
  work.heard_at = Now();
  on_event_(HeartbeatHeard{heartbeat->sender, heartbeat->incarnation,
                           heartbeat->is_leaving, heartbeat->store_reachable});
}

void HeartbeatExchange::ScheduleSend() {
  timer_.expires_after(options_.interval);
  timer_.async_wait([this](const ErrorCode& error) {
    if (error) return;
    SendToAll();
    ScheduleSend();
  });
}

void HeartbeatExchange::SendToAll() {
  EntryHeartbeat heartbeat{.sender = options_.host_name,
                           .incarnation = options_.incarnation,
                           .is_leaving = is_leaving_,
                           .store_reachable = store_reachable_};
  for (size_t i = 0; i < board_->size(); ++i) {
    const BoardRow& row = board_->row(i);
    if (row.own_in_flight > 0) {
      heartbeat.in_flight[row.id_hash] += row.own_in_flight;
    }
  }
  const std::string datagram = EncodeEntryHeartbeat(heartbeat);
  for (const auto& peer : peers_) {
    ErrorCode ignored;  // the next heartbeat follows soon
    socket_.send_to(asio::buffer(datagram), peer, 0, ignored);
  }
}

void HeartbeatExchange::Leave() {
  is_leaving_ = true;
  SendToAll();
}

void HeartbeatExchange::Tick(TimePoint now) {
  std::map<uint64_t, int> total;
  for (auto it = work_.begin(); it != work_.end();) {
    if (now - it->second.heard_at >= options_.work_lifetime) {
      it = work_.erase(it);
      continue;
    }
    for (const auto& [target, count] : it->second.in_flight) {
      total[target] += count;
    }
    ++it;
  }
  board_->SetPeerWork(total);
}

}  // namespace greengage
