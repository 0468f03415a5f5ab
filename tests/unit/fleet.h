#ifndef TESTS_UNIT_FLEET_H_
#define TESTS_UNIT_FLEET_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gg_steering/gg_steering.h"

namespace greengage {

/** Control logic of several daemons in one process and in virtual time, with a
    fake store and a network that may delay, lose and repeat messages. Every
   choice follows from the seed. */
class Fleet {
 public:
  struct Options {
    int hosts = 5;
    uint64_t seed = 1;
    double loss_probability = 0;
    double duplicate_probability = 0;
    Duration min_delay = std::chrono::milliseconds(1);
    Duration max_delay = std::chrono::milliseconds(40);
    Duration tick = std::chrono::milliseconds(100);
    std::string document;
    std::vector<std::string> zones;  // host i is in zone i modulo their number
    std::function<std::string(const std::string& zone)> region_of;
    BudgetTable::Options budget;
    std::function<void(Controller::Options* options)> adjust_controller;
    /** Called for each message that is sent, before it may be lost. */
    std::function<void(const PeerMessage& message)> on_send;
  };

  /** One daemon; `controller` is null while its process is dead. */
  struct Host {
    int index = 0;
    HostId id;
    MemberRecord record;
    std::unique_ptr<Steering> steering;
    std::unique_ptr<Controller> controller;
    TimePoint next_tick{};
    bool is_paused = false;
    bool is_watching = false;
    bool is_store_known_up = false;
    int partition = 0;  // hosts of different groups cannot talk
    bool is_store_unreachable = false;
    std::vector<std::function<void()>>
        deferred_deliveries;  // what came while frozen
  };

  /** A request that runs at a target. */
  struct RunningRequest {
    int host = 0;
    uint64_t incarnation = 0;
    Admission admission;
    TimePoint ends_at{};
    bool is_cancelled_with_host = false;
  };

  explicit Fleet(Options options);

  //==============================================================================
  /** Lets `duration` pass; `after_each` is called after every event. */
  void Run(Duration duration, const std::function<void()>& after_each = {});

  void Kill(int host);
  void Restart(int host);
  void Pause(int host) { hosts_[host].is_paused = true; }
  void Resume(int host);

  //==============================================================================
  void SetStoreUp(bool up);
  void WriteDocument(const std::string& text);
  void WriteStore(SharedKey key, const std::string& text);
  uint64_t store_revision(SharedKey key) { return store_[key].revision; }
  const std::string& store_text(SharedKey key) { return store_[key].text; }
  int64_t store_calls() const { return store_calls_; }

  //==============================================================================
  /** Starts a request at a host; false when it is refused. A bounded one ends
      within its route's time limit, an unbounded one after `length`. */
  bool StartRequest(int host, const std::string& path, Duration length);

  /** Returns how many requests run in a region, whoever started them. */
  int64_t RunningIn(const std::string& region) const;
  int64_t running() const { return static_cast<int64_t>(running_.size()); }

  //==============================================================================
  std::vector<Host>& hosts() { return hosts_; }
  Random& random() { return random_; }
  TimePoint now() const { return now_; }
  const Document& document() const { return *document_; }

 private:
  struct PendingAction {
    TimePoint due{};
    uint64_t sequence = 0;
    std::function<void()> action;
    friend bool operator<(const PendingAction& a, const PendingAction& b) {
      return std::tie(a.due, a.sequence) > std::tie(b.due, b.sequence);
    }
  };

  void StartProcess(Host* host);
  ControllerHooks MakeHooks(int host);
  void Schedule(Duration delay, std::function<void()> action);
  Duration RandomDelay();
  void Deliver(int host, uint64_t incarnation,
               std::function<void(Host*)> action);
  void Send(int from, const std::string& address, const PeerMessage& message);
  void WriteFrom(int host, const StoreWrite& write);
  void ReadStore(int host);
  void NotifyWatchers(SharedKey key);
  void FinishDueRequests();

  Options options_;
  Random random_;
  TimePoint now_{};
  uint64_t sequence_ = 0;
  uint64_t revision_ = 1;
  uint64_t next_incarnation_ = 1;
  bool is_store_up_ = true;
  int64_t store_calls_ = 0;
  std::map<SharedKey, StoreValue> store_;
  std::vector<Host> hosts_;
  std::map<std::string, int> host_by_address_;
  std::vector<PendingAction> pending_;  // heap
  std::vector<RunningRequest> running_;
  DocumentPtr document_;
};

/** Returns options for a fleet under the sample document, on a network that
   loses and repeats a tenth of all messages and delays them by up to 300 ms. */
Fleet::Options SampleFleetOptions(uint64_t seed, int hosts);

}  // namespace greengage

#endif  // TESTS_UNIT_FLEET_H_
