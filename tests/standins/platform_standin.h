#ifndef TESTS_STANDINS_PLATFORM_STANDIN_H_
#define TESTS_STANDINS_PLATFORM_STANDIN_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "gg_core/random.h"
#include "standins/http_server.h"

namespace greengage::standins {

/** What targets do wrong, each with a probability. */
struct TargetFaults {
  double lose_answer = 0;       // run it, then close without an answer
  double shed = 0;              // say that it was not run
  double fail = 0;              // run it and answer 500
  double truncate = 0;          // run it and end the answer early
  double wrong_request_id = 0;  // answer with another request's identity
  int work_ms = 2;
};

/** Stand-ins for the platform in one process: its key-value store and targets
   of one service "shop", with a thread of their own. The methods may be called
   from any thread.

    The path of a request may ask for behaviour by its last part: lose, shed,
   fail, truncate, cross, unsigned, encoded, extra, unframed, slow (works 3 s).
 */
class PlatformStandin {
 public:
  /** @param store_address  where the store listens, "ip:port". */
  explicit PlatformStandin(std::string store_address, uint64_t seed = 1);
  ~PlatformStandin();
  PlatformStandin(const PlatformStandin&) = delete;
  PlatformStandin& operator=(const PlatformStandin&) = delete;

  //==============================================================================
  /** Starts a target; `advertised_address` is what its entry names, for a
   * proxy. */
  void AddTarget(const std::string& id, const std::string& address,
                 const std::string& zone,
                 const std::string& advertised_address = "");
  void SetDraining(const std::string& id);
  void DeregisterTarget(const std::string& id);
  void SetFaults(const TargetFaults& faults);

  /** Writes a configuration with routes "/read/" (idempotent), "/order/" and
      "/extraN/" for each N up to `extra_routes`. */
  void PutConfig(uint64_t version, int time_limit_ms, int extra_routes = 0);

  //==============================================================================
  void Put(const std::string& key, const std::string& value);
  void Erase(const std::string& key);
  std::optional<std::string> Get(const std::string& key) const;

  /** Makes the store answer 503 to everything, and leases lapse meanwhile. */
  void SetStoreDown(bool is_down);

  /** Forgets what was changed up to now, for watches. */
  void Compact();

  //==============================================================================
  /** How often the request ran, over all targets. */
  int RunCount(const std::string& request_id) const;

  /** Requests that reached the target after its entry left, `grace` later. */
  int CountLateRequests(Duration grace) const;

  /** Calls that the store has answered or refused. */
  int64_t StoreCallCount() const { return store_call_count_; }

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  struct Change {
    std::string key;
    std::optional<Item> item;
    uint64_t revision = 0;
  };
  struct Target {
    std::string id;
    std::string address;
    std::string registration;  // JSON, without its state
  };

  asio::awaitable<bool> HandleStoreRequest(ClientConnection* connection,
                                           RequestParser* request);
  asio::awaitable<bool> HandleWatch(ClientConnection* connection,
                                    const RequestParser& request,
                                    uint64_t after, int wait_ms);
  asio::awaitable<bool> HandleTargetRequest(std::string id,
                                            ClientConnection* connection,
                                            RequestParser* request);
  asio::awaitable<bool> RespondAsTarget(std::string id, std::string behaviour,
                                        ClientConnection* connection,
                                        RequestParser* request);
  std::string RangeJson(const std::string& after) const;
  std::optional<std::string> EventsJson(uint64_t after) const;
  void ApplyTransaction(const std::string& body);
  void ApplyChange(const std::string& key, std::optional<Item> item);
  void ExpireLeases();
  std::string ChooseBehaviour(const std::string& behaviour);
  void WriteRegistration(const std::string& id, const std::string& state);

  asio::io_context io_{1};
  asio::steady_timer keeper_{io_};
  mutable std::mutex mutex_;
  Random random_;
  std::map<std::string, Item> items_;
  std::vector<Change> history_;
  uint64_t compacted_revision_ = 0;
  uint64_t revision_ = 10;
  std::map<uint64_t, TimePoint> lease_deadlines_;  // when each ends
  std::map<uint64_t, Duration> lease_ttls_;
  uint64_t last_lease_id_ = 100;
  std::map<std::string, Target> targets_;
  std::map<std::string, TimePoint> departure_times_;
  std::vector<Duration> times_since_departure_;
  TargetFaults faults_;
  std::map<std::string, int> run_counts_;
  std::atomic<int64_t> store_call_count_ = 0;
  std::atomic<bool> is_store_down_ = false;
  std::thread thread_;
};

}  // namespace greengage::standins

#endif  // TESTS_STANDINS_PLATFORM_STANDIN_H_
