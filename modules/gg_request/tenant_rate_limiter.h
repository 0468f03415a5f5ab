#ifndef GG_REQUEST_TENANT_RATE_LIMITER_H_
#define GG_REQUEST_TENANT_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "gg_core/random.h"
#include "gg_core/tenant_load_report.h"
#include "gg_fleet/fleet_config.h"
#include "gg_request/fleet_load.h"

namespace greengage {

/** Bounds on the requests of a tenant in any window: at most
    (rate x window + burst) x (1 + overshoot) + slack, over all daemons. */
struct TenantLimitBounds {
  Duration window{};  // zero: the limits are not enforced
  double overshoot = 0;
  double slack = 0;

  friend bool operator==(const TenantLimitBounds&,
                         const TenantLimitBounds&) = default;
};

/** Keeps the requests of each tenant, summed over all daemons, within the
    tenant's limit.

    Load pattern: one tenant sends at seven times its rate, through all daemons
    at once. Before a heartbeat tells of it, the daemons together have admitted
    more than the bound allows.

    Three rules decide, on top of the sums of FleetLoad:
    - The requests of all daemons in the window stay below the limit. Below a
      part of the limit everything is admitted.
    - Above that part, each daemon admits the fraction of its own demand that
      the limit is of everybody's.
    - The requests that the other daemons can't know of yet may grow only by
      what is left of the room in the window after a surge of the others, or by
      this daemon's share of the room. The shares follow from what all daemons
      reported, and add up to one, so that the sum stays within the bound
      although no daemon knows it.

    A daemon that hears no other one keeps to the share that it had last. State
    is kept in memory only. Traffic thread only. */
class TenantRateLimiter {
 public:
  struct Options {
    uint64_t seed = 1;
    /** Shorter than the window, so that demand is noticed to end before the
        window is empty; long enough to average a few requests of a small
        tenant. */
    Duration demand_time_constant = std::chrono::seconds(2);
    /** Longer than the interval of heartbeats between regions of a large
        fleet. */
    Duration report_freshness = std::chrono::milliseconds(2500);
    /** As long as a daemon that was removed from the store counts as a
        sender. */
    Duration report_lifetime = std::chrono::seconds(10);
    /** Time by which the reports of other daemons are assumed to lag. The mean
        age of the reports of daemons in other regions of a large fleet. */
    Duration report_lag = std::chrono::seconds(1);
    /** Factor by which a tenant's requests may grow from one moment to the next
        without exceeding the bound. */
    double surge_factor = 7;
    /** Fraction of the limit up to which everything is admitted. */
    double ample_fraction = 0.8;
    /** Fraction of the slack that the known requests of all daemons may use,
        for errors of the sums, and of slack and overshoot that the expected
       ones may use. The rest is for surges that are noticed late, and for
       requests that run later than they were admitted. */
    double known_slack_fraction = 0.15;
    /** The same for tenants whose surge fits into the slack. Their sums are off
        by a larger part of the limit. */
    double small_tenant_slack_fraction = 0.35;
    double expected_overshoot_fraction = 0.4;
    /** Requests by which each daemon may grow in any case while there is room:
        above the ample fraction of the limit, and below it. Medium tenants are
        refused below their limit otherwise, as their requests at a daemon vary
        by chance. */
    double min_growth = 1;
    double ample_growth = 3;
    /** Part of the room that is shared equally; the other part goes by the
        requests that the daemons sent. Daemons without requests need some room
        for their first ones. */
    double equal_fraction = 0.75;
    /** Time without requests and reports after which a tenant is forgotten. */
    Duration tenant_lifetime = std::chrono::seconds(60);
    /** Whether the requests in the window are bounded. Only tests that show
        what the bound is for switch it off. */
    bool bounds_window = true;
  };

  explicit TenantRateLimiter(Options options);

  //==============================================================================
  /** Changes the bounds. */
  void SetBounds(const TenantLimitBounds& bounds);

  /** Sets the upper bound on the daemons that may be sending, with this one. */
  void SetSenderCount(int count) { load_.SetSenderCount(count); }

  /** Replaces the reports of another daemon.
      @param incarnation  of the daemon. What an earlier one sent still counts
             until its lifetime is over. */
  void RecordPeerReports(const std::string& host, uint64_t incarnation,
                         const TenantLoadReports& reports, TimePoint now);

  /** Forgets tenants and reports that are out of date. */
  void Tick(TimePoint now);

  //==============================================================================
  /** Returns whether the tenant has a limit and it is enforced. */
  bool IsEnforced(const TenantRule& tenant) const {
    return bounds_.window > Duration::zero() && tenant.requests_per_second > 0;
  }

  /** Offers a request of the tenant, which counts as demand.
      @return whether it may be sent, which is then counted; always true without
              a limit. */
  bool TryAdmit(const TenantRule& tenant, TimePoint now);

  /** Returns the time after which this daemon expects to admit the next request
      of the tenant. */
  Duration TimeUntilAdmission(const TenantRule& tenant, TimePoint now);

  /** Returns how long a refused caller should wait before it retries. Callers
      that are refused one after the other get times one after the other, at the
      rate at which this daemon admits requests. */
  Duration ReserveRetry(const TenantRule& tenant, TimePoint now);

  //==============================================================================
  /** Returns what the other daemons need to know: the tenants with demand or
      requests in the window. */
  TenantLoadReports Reports(TimePoint now);

  /** Returns the estimated demand and requests in the window of all daemons. */
  SubjectLoad FleetTotals(const TenantRule& tenant, TimePoint now);

 private:
  struct Tenant {
    /** Admitted requests that are due, a fraction of one. */
    double credit = 0;
    /** This daemon's part of the tenant's requests when others were heard. */
    std::optional<double> share;
    TimePoint next_retry{};
    TimePoint used_at{};
  };
  /** What the rules say of a tenant at a moment. */
  struct Assessment {
    SubjectLoad own;
    SubjectLoad fleet;
    double admitted_rate = 0;  // of all daemons, requests per second
    /** Own requests that are too many by the bounds on the window, and those by
        which they may still grow. */
    double excess_sends = 0;
    bool is_ample = false;
    double fraction = 1;  // of the demand that is admitted when not ample
  };
  struct Peer {
    uint64_t incarnation = 0;
    uint32_t sent_at_ms = 0;  // of the newest reports
    TimePoint received_at{};
    /** Receiver's time at the sender's start, by the report that was under way
        for the shortest time. */
    TimePoint started_at{};
  };

  Tenant& FindOrAdd(uint32_t id, TimePoint now);
  Assessment Assess(const TenantRule& rule, Tenant* tenant, uint32_t id,
                    TimePoint now);
  /** Returns the part of a daemon's requests in the window that an earlier
      process of this host may have sent, unknown to this one. */
  double HiddenSenders(TimePoint now);

  Options options_;
  TenantLimitBounds bounds_;
  Random random_;
  FleetLoad load_;
  std::optional<TimePoint> started_at_;
  uint32_t last_sent_at_ms_ = 0;
  std::map<uint32_t, Tenant> tenants_;  // by hash of the name
  std::map<std::string, Peer> peers_;   // by host name
};

}  // namespace greengage

#endif  // GG_REQUEST_TENANT_RATE_LIMITER_H_
