#ifndef GG_ENTRY_ENTRY_TRAFFIC_H_
#define GG_ENTRY_ENTRY_TRAFFIC_H_

#include <map>
#include <memory>
#include <string>

#include "gg_entry/entry_settings.h"
#include "gg_entry/http_session.h"
#include "gg_entry/message_codec.h"
#include "gg_entry/target_link_pool.h"
#include "gg_request/fleet_retry_budget.h"
#include "gg_request/route_table.h"
#include "gg_request/target_picker.h"

namespace greengage {

class Metrics;

/** What all requests of a daemon share: the view in force, the board of
   targets, the picker and the budgets. Traffic thread only. */
class EntryTraffic {
 public:
  struct Options {
    asio::io_context* context = nullptr;  // not owned
    Metrics* metrics = nullptr;           // not owned
    EntrySettings settings;
    MessageCodec messages;
    uint64_t seed = 1;
  };

  explicit EntryTraffic(Options options);

  //==============================================================================
  /** Puts a view into force. */
  void SetView(FleetViewPtr view);

  /** Takes over bounds that changed. */
  void SetBounds(const EntryBounds& bounds);

  /** Serves one request of a caller. */
  void Handle(const HttpSessionPtr& session, SessionRequest request);

  /** Closes idle connections to targets; called every tick. */
  void Sweep(TimePoint now) { links_.Sweep(now); }

  /** From now on connections end after their answer. */
  void StartClosing() { is_closing_ = true; }

  //==============================================================================
  /** Limits of the configuration in force. */
  TrafficLimits limits() const;

  const FleetViewPtr& view() const { return view_; }
  const RouteTable* routes() const { return routes_.get(); }
  std::shared_ptr<const RouteTable> shared_routes() const { return routes_; }
  const Options& options() const { return options_; }
  bool is_closing() const { return is_closing_; }
  TargetStatusTable& board() { return board_; }
  TargetPicker& picker() { return *picker_; }
  TargetLinkPool& links() { return links_; }
  FleetRetryBudget& retries() { return retries_; }
  Random& random() { return random_; }

  /** Returns the service that the next request of `route` goes to. */
  std::string ChooseService(const RouteRule& route);

  /** Returns how long an answer on the route usually takes; zero: unknown. */
  Duration UsualTime(const std::string& route) const;

  /** Returns `time` against what is usual for the route, and learns from it. */
  double RelativeTime(const std::string& route, Duration time);

 private:
  Options options_;
  FleetViewPtr view_;
  std::shared_ptr<const RouteTable> routes_;
  TargetStatusTable board_{TargetStatusTable::Options{}};
  std::unique_ptr<TargetPicker> picker_;
  FleetRetryBudget retries_{FleetRetryBudget::Options{}};
  TargetLinkPool links_;
  std::map<std::string, WeightedRoundRobin> splits_;  // by route
  std::map<std::string, double> usual_seconds_;       // by route
  Random random_;
  bool is_closing_ = false;
};

}  // namespace greengage

#endif  // GG_ENTRY_ENTRY_TRAFFIC_H_
