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

/** Several daemons' control logic in one process and in virtual time, with a
    fake store and a network that may delay, lose and duplicate messages. A run
    is determined by its seed. Not thread-safe. */
class Fleet {
 public:
  struct Options {
    int hosts = 5;
    uint64_t seed = 1;
    double loss_probability = 0;       // of each message
    double duplicate_probability = 0;  // of each message that is not lost
    Duration min_delay = std::chrono::milliseconds(1);
    Duration max_delay = std::chrono::milliseconds(40);
    /** Time between two ticks of a controller. */
    Duration tick = std::chrono::milliseconds(100);
    std::string document;
    std::vector<std::string> zones;  // host i is in zones[i % zones.size()]
    /** Returns the region of an availability zone. */
    std::function<std::string(const std::string& zone)> region_of;
    BudgetTable::Options budget;
    /** Changes the options of each controller before it starts. Optional. */
    std::function<void(Controller::Options* options)> adjust_controller;
    /** Called for each message that is sent, lost ones included. Optional. */
    std::function<void(const PeerMessage& message)> on_send;
  };

  /** One daemon. While its process is dead, `steering` and `controller` are
      null. */
  struct Host {
    int index = 0;
    HostId id;
    MemberRecord record;
    std::unique_ptr<Steering> steering;
    std::unique_ptr<Controller> controller;
    TimePoint next_tick{};
    bool is_paused = false;  // the control logic neither ticks nor receives
    bool is_watching = false;
    bool is_store_known_up = false;
    int partition = 0;  // hosts in different partitions cannot communicate
    bool is_store_unreachable = false;
    /** Deliveries that arrived while the host was paused. */
    std::vector<std::function<void()>> deferred_deliveries;
  };

  /** A request that is running at a target. */
  struct RunningRequest {
    int host = 0;
    uint64_t incarnation = 0;
    Admission admission;
    TimePoint ends_at{};
    /** The target stops the request when the host's process dies. */
    bool is_cancelled_with_host = false;
  };

  explicit Fleet(Options options);

  //==============================================================================
  /** Advances the virtual time by `duration` and runs all events that are due.
      `after_each` is called after every event. */
  void Run(Duration duration, const std::function<void()>& after_each = {});

  /** Ends the process of a host. */
  void Kill(int host);

  /** Starts a new process of a host, after ending one that runs. */
  void Restart(int host);

  /** Stops the control logic of a host: it does not tick, and what arrives for
      it is deferred. StartRequest() still asks its Steering. */
  void Pause(int host) { hosts_[host].is_paused = true; }

  /** Runs what was deferred while the host was paused and resumes its ticks. */
  void Resume(int host);

  //==============================================================================
  /** Makes the store available or unavailable to all hosts. */
  void SetStoreUp(bool is_up);

  /** Writes the operators' document, which may be invalid. */
  void WriteDocument(const std::string& text);

  /** Writes a value without a condition. */
  void WriteStore(SharedKey key, const std::string& text);

  uint64_t store_revision(SharedKey key) { return store_[key].revision; }
  const std::string& store_text(SharedKey key) { return store_[key].text; }

  /** Returns the number of reads and writes that hosts have attempted. */
  int64_t store_calls() const { return store_calls_; }

  //==============================================================================
  /** Starts a request at a host. It ends after `length`, or at its route's time
      limit if this is earlier.
      @return false when the request is refused. */
  bool StartRequest(int host, const std::string& path, Duration length);

  /** Returns the number of requests that run in a region, from all hosts. */
  int64_t RunningIn(const std::string& region) const;

  /** Returns the number of requests that run in all regions. */
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

  /** Runs `action` on the host if its process is still the given incarnation,
      or defers it while the host is paused. */
  void Deliver(int host, uint64_t incarnation,
               std::function<void(Host*)> action);
  void Send(int from, const std::string& address, const PeerMessage& message);
  void WriteFrom(int host, const StoreWrite& write);

  /** Delivers all values of the store to a host. */
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
  std::vector<PendingAction> pending_;  // heap, earliest first
  std::vector<RunningRequest> running_;
  DocumentPtr document_;
};

/** Returns options for a fleet with the sample document, on a network that
    loses a tenth of the messages, duplicates a tenth of the others and delays
    them by up to 300 ms. */
Fleet::Options SampleFleetOptions(uint64_t seed, int hosts);

}  // namespace greengage

#endif  // TESTS_UNIT_FLEET_H_
