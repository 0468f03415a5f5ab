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
    size_t most_listeners = 128;
    /** Bytes that a listener may be behind before it is disconnected: twice
        the history. */
    size_t most_unsent = size_t{1024} * 1024;
  };

  ChangeRelay(asio::io_context* context, Options options);

  //==============================================================================
  /** Starts accepting; an error names the address. */
  absl::Status Start();

  /** Everything was read as of `revision`. */
  void Reset(uint64_t revision);

  /** Passes changes on. */
  void Publish(const KeyValueReadResult& changes);

  size_t listeners() const { return listeners_.size(); }

 private:
  struct Listener;
  using ListenerPtr = std::shared_ptr<Listener>;

  void Accept();
  asio::awaitable<void> Serve(ListenerPtr listener);
  asio::awaitable<void> Write(ListenerPtr listener);
  void Send(const ListenerPtr& listener, const KeyValueReadResult& changes);
  void Disconnect(const ListenerPtr& listener, const std::string& reason);

  asio::io_context* context_;  // not owned
  Options options_;
  asio::ip::tcp::acceptor acceptor_;
  ChangeHistory history_{ChangeHistory::Options{}};
  std::list<ListenerPtr> listeners_;
};

}  // namespace greengage

#endif  // GG_ENTRY_CHANGE_RELAY_H_
