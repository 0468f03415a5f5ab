#ifndef GG_ENTRY_ENTRY_TRAFFIC_H_
#define GG_ENTRY_ENTRY_TRAFFIC_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "gg_entry/entry_settings.h"
#include "gg_entry/http_session.h"
#include "gg_entry/idle_connection_pool.h"
#include "gg_entry/message_codec.h"
#include "gg_entry/tenant_gate.h"
#include "gg_request/fleet_retry_budget.h"
#include "gg_request/recent_maximum.h"
#include "gg_request/route_table.h"
#include "gg_request/target_picker.h"
#include "gg_request/tenant_directory.h"
#include "gg_request/tenant_rate_limiter.h"

namespace greengage {

class ForwardedRequest;
class Metrics;

/** A planned stop of the daemon. */
struct StopPlan {
  TimePoint began_at{};
  TimePoint settles_at{};  // callers have repeated their lookups by then
  TimePoint exits_at{};    // the process exits at the latest
};

/** State that all requests of a daemon share: the current FleetView, the
    TargetStatusTable, the TargetPicker, the FleetRetryBudget and the
    IdleConnectionPool. Traffic thread only. */
class EntryTraffic {
 public:
  struct Options {
    asio::io_context* context = nullptr;  // not owned
    Metrics* metrics = nullptr;           // not owned
    MemoryBudget* memory = nullptr;       // not owned
    EntrySettings settings;
    MessageCodec message_codec;
    uint64_t seed = 1;
  };

  explicit EntryTraffic(Options options);

  //==============================================================================
  /** Replaces the view of the fleet; new requests use it from now on. */
  void SetView(FleetViewPtr view);

  /** Applies changed bounds. */
  void SetBounds(const EntryBounds& bounds);

  /** Forwards one request of a caller; the response goes to `session`. */
  void Handle(const HttpSessionPtr& session, SessionRequest request);

  /** Closes connections to targets that were idle for too long. Called every
      tick. */
  void CloseExpiredConnections(TimePoint now) {
    idle_connections_.CloseExpired(now);
  }

  /** From now on callers' connections are closed after the next response, and
      requests that may outlast the process are refused. */
  void StartStopping(const StopPlan& plan) { stop_plan_ = plan; }

  /** Ends and logs the requests that still run when the process exits. */
  void InterruptRequests(TimePoint now);

  //==============================================================================
  /** Returns the limits of the current configuration, or the defaults when none
      was read yet. */
  TrafficLimits limits() const;

  /** Returns the current view; nullptr before the first one. */
  const FleetViewPtr& view() const { return view_; }

  /** Returns the current route table; nullptr before the first
      configuration. */
  const RouteTable* routes() const { return routes_.get(); }

  /** Returns the same table, for requests that outlast it. */
  std::shared_ptr<const RouteTable> shared_routes() const { return routes_; }

  /** Returns the tenants of the same configuration. */
  std::shared_ptr<const TenantDirectory> shared_tenants() const {
    return tenants_;
  }

  const Options& options() const { return options_; }
  /** Returns the planned stop; nullopt while none has begun. */
  const std::optional<StopPlan>& stop_plan() const { return stop_plan_; }
  bool is_stopping() const { return stop_plan_.has_value(); }
  TargetStatusTable& board() { return board_; }
  TargetPicker& picker() { return *picker_; }
  TargetRateLimiter& rate_limiter() { return picker_->rate_limiter(); }
  TenantRateLimiter& tenant_limiter() { return tenant_limiter_; }
  TenantGate& tenant_gate() { return tenant_gate_; }
  IdleConnectionPool& idle_connections() { return idle_connections_; }
  FleetRetryBudget& retry_budget() { return retry_budget_; }
  Random& random() { return random_; }

  /** Chooses the target of a request and counts the choice in the metrics. */
  Pick ChooseTarget(const PickRequest& request, TimePoint now);

  /** Returns the service for the next request of `route`, in proportion to the
      route's shares. */
  std::string ChooseService(const RouteRule& route);

  /** Returns the moving average of response times on the route; zero when it is
      unknown. */
  Duration TypicalResponseTime(const std::string& route) const;

  /** Adds `time` to the route's moving average.
      @return `time` divided by the average. */
  double RecordResponseTime(const std::string& route, Duration time);

  /** Longest response times of the routes, for all objects. */
  RecentMaximum& slowest_response(const std::string& route) {
    return slowest_responses_[route];
  }

  /** Returns the list in which every request stands while it exists. Requests
      share it, as the event loop may destroy them after this object. */
  const std::shared_ptr<std::set<ForwardedRequest*>>& requests() const {
    return requests_;
  }

 private:
  Options options_;
  FleetViewPtr view_;
  std::shared_ptr<const RouteTable> routes_;
  std::shared_ptr<const TenantDirectory> tenants_;
  TargetStatusTable board_{TargetStatusTable::Options{}};
  std::unique_ptr<TargetPicker> picker_;
  FleetRetryBudget retry_budget_{FleetRetryBudget::Options{}};
  TenantRateLimiter tenant_limiter_;
  TenantGate tenant_gate_;
  IdleConnectionPool idle_connections_;
  std::map<std::string, WeightedRoundRobin> service_choices_;  // by route
  std::map<std::string, double> typical_seconds_;              // by route
  std::map<std::string, RecentMaximum> slowest_responses_;     // by route
  Random random_;
  std::optional<StopPlan> stop_plan_;
  std::shared_ptr<std::set<ForwardedRequest*>> requests_ =
      std::make_shared<std::set<ForwardedRequest*>>();
};

}  // namespace greengage

#endif  // GG_ENTRY_ENTRY_TRAFFIC_H_
