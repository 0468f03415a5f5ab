#ifndef GG_ENTRY_CHANGE_RELAY_H_
#define GG_ENTRY_CHANGE_RELAY_H_

#include <list>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "gg_entry/change_history.h"
#include "gg_store/asio.h"

namespace greengage {

/** Relays the store's changes to the daemons of this daemon's zone that do not
    watch the store themselves.

    A subscriber connects, sends the newest position that it knows, and is sent
    all later changes as they occur. A subscriber that asks for changes which
    are no longer kept, or of another era of the store, is disconnected. All
    subscribers are disconnected when the history is reset. A disconnected
    subscriber reads from the store. Traffic thread only. */
class ChangeRelay {
 public:
  struct Options {
    std::string ip;
    uint16_t port = 0;
    /** Upper bound on connected subscribers; further daemons read from the
        store. It exceeds the daemons per zone at the intended fleet size (870
        daemons in 11 zones). */
    size_t max_subscribers = 128;
    /** Bytes that may be queued for a subscriber before it is disconnected:
        twice the size of the history. */
    size_t max_unsent_bytes = size_t{1024} * 1024;
  };

  ChangeRelay(asio::io_context* context, Options options);

  //==============================================================================
  /** Binds the address and starts accepting subscribers. An error names the
      address. */
  absl::Status Start();

  /** Clears the history after a full read of the store as of `position`, and
      disconnects all subscribers. */
  void Reset(StorePosition position);

  /** Adds changes to the history and sends them to all subscribers. */
  void Publish(const KeyValueReadResult& changes);

  /** Returns the number of connected subscribers. */
  size_t subscriber_count() const { return subscribers_.size(); }

 private:
  struct Subscriber;
  using SubscriberPtr = std::shared_ptr<Subscriber>;

  void Accept();
  asio::awaitable<void> ServeSubscriber(SubscriberPtr subscriber);
  asio::awaitable<void> WriteUnsent(SubscriberPtr subscriber);
  void SendChanges(const SubscriberPtr& subscriber,
                   const KeyValueReadResult& changes);
  void Disconnect(const SubscriberPtr& subscriber, const std::string& reason);

  asio::io_context* context_;  // not owned
  Options options_;
  asio::ip::tcp::acceptor acceptor_;
  ChangeHistory history_{ChangeHistory::Options{}};
  std::list<SubscriberPtr> subscribers_;
};

}  // namespace greengage

#endif  // GG_ENTRY_CHANGE_RELAY_H_
