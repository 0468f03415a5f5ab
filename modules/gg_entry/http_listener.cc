#include "gg_entry/http_listener.h"

#include <algorithm>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_insight/event_log.h"

namespace greengage {
namespace {

/** Delay after a failed accept, which is usually caused by a lack of file
    descriptors. */
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

HttpListener::HttpListener(asio::io_context* context, Options options)
    : context_(context),
      options_(std::move(options)),
      acceptor_(*context),
      accept_retry_timer_(*context) {}

absl::Status HttpListener::Start() {
  const auto endpoint = ParseEndpoint(options_.address);
  if (!endpoint) {
    return StepError(absl::StatusCode::kInvalidArgument, Step::kSettings,
                     options_.address, "not an address; write ip:port");
  }
  ErrorCode error;
  acceptor_.open(endpoint->protocol(), error);
  acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  acceptor_.bind(*endpoint, error);
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return StepError(absl::StatusCode::kUnavailable, Step::kSettings,
                     options_.address,
                     absl::StrCat("cannot listen: ", error.message()));
  }
  Accept();
  return absl::OkStatus();
}

void HttpListener::Accept() {
  acceptor_.async_accept([this](const ErrorCode& error,
                                asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (error) {
      LogEvent(
          LogLevel::kWarning, Event::kInternalError,
          absl::StrCat("accept at ", options_.address, ": ", error.message()));
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      accept_retry_timer_.async_wait([this](const ErrorCode& cancelled) {
        if (!cancelled) Accept();
      });
      return;
    }
    AddSession(std::move(socket));
    Accept();
  });
}

void HttpListener::AddSession(asio::ip::tcp::socket socket) {
  bool has_room = sessions_.size() < options_.max_sessions;
  if (has_room && options_.memory != nullptr) {
    has_room = options_.memory->TryAddConnection();
    // The connection that is closed frees its place a moment later, so this one
    // is taken beyond the limit.
    if (!has_room && options_.make_room && options_.make_room()) {
      options_.memory->AddConnection();
      has_room = true;
    }
  }
  if (!has_room) {
    LogEvent(LogLevel::kWarning, Event::kInternalError,
             absl::StrCat("connection refused at ", options_.address,
                          ": sessions=", sessions_.size()));
    return;
  }
  auto session = std::make_shared<HttpSession>(
      std::move(socket),
      HttpSession::Options{.handler = options_.handler,
                           .limits = options_.limits,
                           .on_closed =
                               [this](HttpSession* s) {
                                 if (options_.memory != nullptr) {
                                   options_.memory->RemoveConnection();
                                 }
                                 sessions_.erase(s);
                               },
                           .on_odd_message = options_.on_odd_message,
                           .memory = options_.memory,
                           .on_eviction = options_.on_eviction});
  sessions_[session.get()] = session;
  session->Start();
}

void HttpListener::CheckTimeouts(TimePoint now) {
  std::vector<HttpSessionPtr> sessions;
  sessions.reserve(sessions_.size());
  for (const auto& [key, session] : sessions_) sessions.push_back(session);
  for (const HttpSessionPtr& session : sessions) session->CheckTimeouts(now);
  if (is_closing_) CloseIdle();
  RelieveMemory(now);
}

void HttpListener::RelieveMemory(TimePoint now) {
  if (options_.memory == nullptr || !options_.memory->IsShort()) return;
  std::vector<HttpSessionPtr> waiting;
  for (const auto& [key, session] : sessions_) {
    if (session->is_waiting_for_memory()) waiting.push_back(session);
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const HttpSessionPtr& a, const HttpSessionPtr& b) {
              return a->request_began_at() < b->request_began_at();
            });
  for (const HttpSessionPtr& session : waiting) session->ResumeReading();
  std::vector<HttpSessionPtr> sessions;
  std::vector<PeerHolding> holdings;
  for (const auto& [key, session] : sessions_) {
    const std::optional<PeerHolding> holding = session->Holding(now);
    if (!holding) continue;
    sessions.push_back(session);
    holdings.push_back(*holding);
  }
  for (const Eviction& eviction :
       ChooseEvictions(holdings, options_.memory->BytesToFree(), now)) {
    sessions[eviction.index]->Evict(eviction.reason);
  }
}

bool HttpListener::CloseLongestIdle() {
  HttpSession* longest = nullptr;
  for (const auto& [key, session] : sessions_) {
    if (session->phase() != HttpSession::Phase::kIdle ||
        session->is_being_closed()) {
      continue;
    }
    if (longest == nullptr ||
        session->phase_began_at() < longest->phase_began_at()) {
      longest = key;
    }
  }
  if (longest == nullptr) return false;
  longest->CloseIfIdle();
  if (options_.on_eviction) options_.on_eviction(EvictionReason::kIdle);
  return true;
}

void HttpListener::StopAccepting() {
  // Closing the acceptor resets the connections that wait in its queue, with
  // the requests that callers have sent over them.
  ErrorCode error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(*context_);
    acceptor_.accept(socket, error);
    if (!error) AddSession(std::move(socket));
  }
  acceptor_.close(error);
}

void HttpListener::CloseIdle() {
  is_closing_ = true;
  std::vector<HttpSessionPtr> sessions;
  for (const auto& [key, session] : sessions_) sessions.push_back(session);
  for (const HttpSessionPtr& session : sessions) session->CloseWhenIdle();
}

size_t HttpListener::ActiveRequests() const {
  size_t count = 0;
  for (const auto& [key, session] : sessions_) {
    if (session->has_request()) ++count;
  }
  return count;
}

}  // namespace greengage
