#include "gg_entry/change_relay.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "absl/strings/str_cat.h"
#include "gg_core/errors.h"
#include "gg_insight/event_log.h"
#include "gg_wire/change_relay_codec.h"
#include "gg_wire/frame_codec.h"

namespace greengage {
namespace {

/** Pause after an accept that failed, mostly for want of descriptors. */
constexpr Duration kAcceptRetry = std::chrono::milliseconds(50);

}  // namespace

struct ChangeRelay::Listener {
  explicit Listener(asio::ip::tcp::socket accepted)
      : socket(std::move(accepted)) {}
  asio::ip::tcp::socket socket;
  std::string peer;
  uint64_t knows = 0;  // all changes up to this revision
  std::string unsent;
  bool is_writing = false;
};

ChangeRelay::ChangeRelay(asio::io_context* context, Options options)
    : context_(context), options_(std::move(options)), acceptor_(*context) {}

absl::Status ChangeRelay::Start() {
  ErrorCode error;
  const auto address = asio::ip::make_address(options_.ip, error);
  if (!error) acceptor_.open(asio::ip::tcp::v4(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) acceptor_.bind({address, options_.port}, error);
  if (!error)
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return StepError(absl::StatusCode::kUnavailable, Step::kSettings,
                     absl::StrCat(options_.ip, ":", options_.port),
                     absl::StrCat("cannot listen: ", error.message()));
  }
  Accept();
  return absl::OkStatus();
}

void ChangeRelay::Accept() {
  acceptor_.async_accept(
      [this](const ErrorCode& error, asio::ip::tcp::socket socket) {
        if (!acceptor_.is_open()) return;
        if (error) {
          LogEvent(LogLevel::kWarning, Event::kInternalError,
                   absl::StrCat("accept for the relay: ", error.message()));
          asio::co_spawn(
              *context_,
              [this]() -> asio::awaitable<void> {
                co_await SleepFor(kAcceptRetry);
                Accept();
              },
              asio::detached);
          return;
        }
        if (listeners_.size() < options_.most_listeners) {
          listeners_.push_back(std::make_shared<Listener>(std::move(socket)));
          asio::co_spawn(*context_, Serve(listeners_.back()), asio::detached);
        }
        Accept();
      });
}

asio::awaitable<void> ChangeRelay::Serve(ListenerPtr listener) {
  ErrorCode error;
  const auto remote = listener->socket.remote_endpoint(error);
  if (!error) listener->peer = remote.address().to_string();
  std::string prefix(kFramePrefixBytes, '\0');
  co_await asio::async_read(listener->socket, asio::buffer(prefix),
                            Await(&error));
  if (error) {
    Disconnect(listener, error.message());
    co_return;
  }
  const auto size = DecodeFramePrefix(prefix, listener->peer);
  std::string frame(size.value_or(0), '\0');
  if (size.ok()) {
    co_await asio::async_read(listener->socket, asio::buffer(frame),
                              Await(&error));
  }
  const auto after = DecodeRelayRequest(frame, listener->peer);
  if (!after.ok()) {
    LogError(Event::kPeerFrameRefused, after.status());
    Disconnect(listener, "not a request");
    co_return;
  }
  const auto changes = history_.After(*after);
  if (!changes) {
    Disconnect(listener, absl::StrCat("no history from ", *after));
    co_return;
  }
  listener->knows = *after;
  Send(listener, *changes);
  // Nothing more is expected; the read tells of the connection's end.
  co_await listener->socket.async_wait(asio::socket_base::wait_read,
                                       Await(&error));
  Disconnect(listener, "left");
}

void ChangeRelay::Reset(uint64_t revision) {
  history_.Reset(revision);
  while (!listeners_.empty()) Disconnect(listeners_.front(), "read anew");
}

void ChangeRelay::Publish(const KeyValueReadResult& changes) {
  history_.Add(changes);
  const std::list<ListenerPtr> listeners = listeners_;
  for (const ListenerPtr& listener : listeners) {
    if (listener->knows != 0) Send(listener, changes);
  }
}

void ChangeRelay::Send(const ListenerPtr& listener,
                       const KeyValueReadResult& changes) {
  KeyValueReadResult news{.store_revision = changes.store_revision};
  for (const KeyValueItem& item : changes.items) {
    if (item.revision > listener->knows) news.items.push_back(item);
  }
  listener->knows = std::max(listener->knows, changes.store_revision);
  if (news.items.empty()) return;
  listener->unsent += EncodeRelayedChanges(news);
  if (listener->unsent.size() > options_.most_unsent) {
    Disconnect(listener, "too far behind");
    return;
  }
  if (listener->is_writing) return;
  listener->is_writing = true;
  asio::co_spawn(*context_, Write(listener), asio::detached);
}

asio::awaitable<void> ChangeRelay::Write(ListenerPtr listener) {
  while (!listener->unsent.empty()) {
    const std::string bytes = std::move(listener->unsent);
    listener->unsent.clear();
    ErrorCode error;
    co_await asio::async_write(listener->socket, asio::buffer(bytes),
                               Await(&error));
    if (error) {
      Disconnect(listener, error.message());
      break;
    }
  }
  listener->is_writing = false;
}

void ChangeRelay::Disconnect(const ListenerPtr& listener,
                             const std::string& reason) {
  const auto found = std::find(listeners_.begin(), listeners_.end(), listener);
  if (found == listeners_.end()) return;
  const ListenerPtr kept = listener;  // `listener` may be the list's own
  listeners_.erase(found);
  LogEvent(LogLevel::kInfo, Event::kRelayListenerGone,
           absl::StrCat("peer=", kept->peer, " reason=\"", reason, "\""));
  ErrorCode ignored;
  kept->socket.close(ignored);
}

}  // namespace greengage
