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

/** Delay after a failed accept, which is usually caused by a lack of file
    descriptors. */
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

struct ChangeRelay::Subscriber {
  explicit Subscriber(asio::ip::tcp::socket accepted)
      : socket(std::move(accepted)) {}
  asio::ip::tcp::socket socket;
  std::string peer;
  /** Revision up to which the subscriber has all changes, either before it
      connected or sent to it since. 0 until its request is read. */
  uint64_t known_revision = 0;
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
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return StepError(absl::StatusCode::kUnavailable, Step::kSettings,
                     absl::StrCat(options_.ip, ":", options_.port),
                     absl::StrCat("cannot listen: ", error.message()));
  }
  Accept();
  return absl::OkStatus();
}

void ChangeRelay::Accept() {
  acceptor_.async_accept([this](const ErrorCode& error,
                                asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (error) {
      LogEvent(LogLevel::kWarning, Event::kInternalError,
               absl::StrCat("accept for the relay: ", error.message()));
      asio::co_spawn(
          *context_,
          [this]() -> asio::awaitable<void> {
            co_await SleepFor(kAcceptRetryDelay);
            Accept();
          },
          asio::detached);
      return;
    }
    if (subscribers_.size() < options_.max_subscribers) {
      subscribers_.push_back(std::make_shared<Subscriber>(std::move(socket)));
      asio::co_spawn(*context_, ServeSubscriber(subscribers_.back()),
                     asio::detached);
    }
    Accept();
  });
}

asio::awaitable<void> ChangeRelay::ServeSubscriber(SubscriberPtr subscriber) {
  ErrorCode error;
  const auto remote = subscriber->socket.remote_endpoint(error);
  if (!error) subscriber->peer = remote.address().to_string();
  std::string prefix(kFramePrefixBytes, '\0');
  co_await asio::async_read(subscriber->socket, asio::buffer(prefix),
                            Await(&error));
  if (error) {
    Disconnect(subscriber, error.message());
    co_return;
  }
  const auto size = DecodeFramePrefix(prefix, subscriber->peer);
  std::string frame(size.value_or(0), '\0');
  if (size.ok()) {
    co_await asio::async_read(subscriber->socket, asio::buffer(frame),
                              Await(&error));
  }
  const auto after = DecodeRelayRequest(frame, subscriber->peer);
  if (!after.ok()) {
    LogError(Event::kPeerFrameRefused, after.status());
    Disconnect(subscriber, "not a request");
    co_return;
  }
  const auto changes = history_.ChangesAfter(*after);
  if (!changes) {
    Disconnect(subscriber, absl::StrCat("no history from ", after->revision,
                                        " of era ", after->era));
    co_return;
  }
  subscriber->known_revision = after->revision;
  SendChanges(subscriber, *changes);
  // The subscriber sends nothing more; readability means that it disconnected.
  co_await subscriber->socket.async_wait(asio::socket_base::wait_read,
                                         Await(&error));
  Disconnect(subscriber, "left");
}

void ChangeRelay::Reset(StorePosition position) {
  history_.Reset(position);
  while (!subscribers_.empty()) Disconnect(subscribers_.front(), "read anew");
}

void ChangeRelay::Publish(const KeyValueReadResult& changes) {
  history_.Add(changes);
  const std::list<SubscriberPtr> subscribers = subscribers_;
  for (const SubscriberPtr& subscriber : subscribers) {
    if (subscriber->known_revision != 0) SendChanges(subscriber, changes);
  }
}

void ChangeRelay::SendChanges(const SubscriberPtr& subscriber,
                              const KeyValueReadResult& changes) {
  KeyValueReadResult unseen{.store_revision = changes.store_revision,
                            .era = changes.era};
  for (const KeyValueItem& item : changes.items) {
    if (item.revision > subscriber->known_revision) {
      unseen.items.push_back(item);
    }
  }
  subscriber->known_revision =
      std::max(subscriber->known_revision, changes.store_revision);
  if (unseen.items.empty()) return;
  subscriber->unsent += EncodeRelayedChanges(unseen);
  if (subscriber->unsent.size() > options_.max_unsent_bytes) {
    Disconnect(subscriber, "too far behind");
    return;
  }
  if (subscriber->is_writing) return;
  subscriber->is_writing = true;
  asio::co_spawn(*context_, WriteUnsent(subscriber), asio::detached);
}

asio::awaitable<void> ChangeRelay::WriteUnsent(SubscriberPtr subscriber) {
  while (!subscriber->unsent.empty()) {
    const std::string bytes = std::move(subscriber->unsent);
    subscriber->unsent.clear();
    ErrorCode error;
    co_await asio::async_write(subscriber->socket, asio::buffer(bytes),
                               Await(&error));
    if (error) {
      Disconnect(subscriber, error.message());
      break;
    }
  }
  subscriber->is_writing = false;
}

void ChangeRelay::Disconnect(const SubscriberPtr& subscriber,
                             const std::string& reason) {
  const auto found =
      std::find(subscribers_.begin(), subscribers_.end(), subscriber);
  if (found == subscribers_.end()) return;
  // `subscriber` may refer to the list element that is erased.
  const SubscriberPtr removed = subscriber;
  subscribers_.erase(found);
  LogEvent(LogLevel::kInfo, Event::kRelayListenerGone,
           absl::StrCat("peer=", removed->peer, " reason=\"", reason, "\""));
  ErrorCode ignored;
  removed->socket.close(ignored);
}

}  // namespace greengage
