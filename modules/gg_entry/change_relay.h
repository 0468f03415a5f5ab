#ifndef GG_ENTRY_CHANGE_RELAY_H_
#define GG_ENTRY_CHANGE_RELAY_H_

#include <list>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "gg_entry/change_history.h"
#include "gg_store/asio.h"

namespace greengage {

/** Tells the store's changes to the daemons of this one's zone that do not
    watch the store themselves.

    A listener connects, says up to which revision it knows the changes, and is
    sent all later ones as they come. Who asks for changes that are no longer
    kept is disconnected, and so is everyone when the history starts anew; they
    ask the store. Traffic thread only. */
class ChangeRelay {
 public:
  struct Options {
    std::string ip;
    uint16_t port = 0;
    /** More than a zone's daemons at the size that is aimed at (870 in 11
        zones); further ones ask the store. */
    size_t max_subscribers = 128;
    /** Bytes that a listener may be behind before it is disconnected: twice
        the history. */
    size_t max_unsent_bytes = size_t{1024} * 1024;
  };

  ChangeRelay(asio::io_context* context, Options options);

  //==============================================================================
  /** Starts accepting; an error names the address. */
  absl::Status Start();

  /** Everything was read as of `revision`. */
  void Reset(uint64_t revision);

  /** Passes changes on. */
  void Publish(const KeyValueRead& changes);

  size_t subscriber_count() const { return subscribers_.size(); }

 private:
  struct Subscriber;
  using SubscriberPtr = std::shared_ptr<Subscriber>;

  void Accept();
  asio::awaitable<void> ServeSubscriber(SubscriberPtr subscriber);
  asio::awaitable<void> WriteUnsent(SubscriberPtr subscriber);
  void SendChanges(const SubscriberPtr& subscriber,
                   const KeyValueRead& changes);
  void Disconnect(const SubscriberPtr& subscriber, const std::string& reason);

  asio::io_context* context_;  // not owned
  Options options_;
  asio::ip::tcp::acceptor acceptor_;
  ChangeHistory history_{ChangeHistory::Options{}};
  std::list<SubscriberPtr> subscribers_;
};

}  // namespace greengage

#endif  // GG_ENTRY_CHANGE_RELAY_H_
