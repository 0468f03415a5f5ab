#ifndef GG_REQUEST_ZONE_PLACEMENT_H_
#define GG_REQUEST_ZONE_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gg_core/time.h"
#include "gg_request/object_distribution.h"
#include "gg_request/region_plan.h"
#include "gg_request/weighted_round_robin.h"

namespace greengage {

/** Chooses the availability zone of this daemon's region in which a request
    runs, and orders the request's candidates accordingly.

    Load pattern: bytes between zones are expensive. The targets of the daemon's
    own zone come first. A zone with less capacity than its equal part of the
    region's demand passes the excess on to the other zones, always for the same
    objects, so that an object runs in few zones. The targets of the other zones
    remain as overflow. Traffic thread only. */
class ZonePlacement {
 public:
  struct Options {
    std::string zone;                // of this daemon; empty: zones are alike
    std::vector<std::string> zones;  // all of this daemon's region
    /** Smallest number of hosts of a zone at which zones differ. With fewer,
        lookups name the hosts of the whole region, so that the requests for an
        object arrive in all zones and would run in all. */
    size_t min_zone_hosts = 0;
    /** Fraction by which a zone's load may exceed the region's average before
        requests are passed on. A zone that has one target less than another of
        20 is not worth the bytes. */
    double max_excess_load = 0.1;
    /** Total share that may move per second. The operators' limit concerns
        regions only. The objects that move are new to their targets, and a
        target learns about one object per second without delay to others. */
    double max_change_per_second = 0.1;
    /** Requests per slot at the least loaded target of a zone from which a
        request without an object may run in the other zones: it would wait in
        its own. */
    double busy_utilization = 1.0;
  };

  /** Target to which a request may be sent. */
  struct Candidate {
    size_t row = 0;
    std::string_view zone;
    /** Requests per slot; infinite if it may refuse. Used without order. */
    double utilization = 0;
  };

  explicit ZonePlacement(Options options) : options_(std::move(options)) {}

  /** Returns whether the zones of the region differ for this daemon. */
  bool is_enabled() const {
    return !options_.zone.empty() && options_.zones.size() > 1 &&
           zone_hosts_ >= options_.min_zone_hosts &&
           other_hosts_ >=
               options_.min_zone_hosts * (options_.zones.size() - 1);
  }

  /** Sets the number of hosts.
      @param own_zone  of this daemon's zone, with its own.
      @param other_zones  of the region's other zones together. */
  void SetHosts(size_t own_zone, size_t other_zones) {
    zone_hosts_ = own_zone;
    other_hosts_ = other_zones;
  }

  /** Returns the zone whose targets come first for a request.
      @param capacity  usable slots of the service in each zone of the region.
      @param object  hash of the request's object, or 0. */
  std::string ChooseZone(const std::string& service,
                         const std::map<std::string, double>& capacity,
                         uint64_t object, TimePoint now);

  /** Returns the rows of the candidates, those of `zone` first and otherwise in
      the given order. Leaves out the other zones if the order does not matter
      and `zone` has a target that is not busy.
      @param is_ordered  whether the candidates are in the order of an
             object. */
  std::vector<size_t> Arrange(const std::vector<Candidate>& candidates,
                              std::string_view zone, bool is_ordered) const;

 private:
  struct ServicePlan {
    ShareLimiter limiter;
    WeightedRoundRobin round_robin;
    ObjectDistribution object_distribution{ObjectDistribution::Options{}};
  };

  /** Returns the share of this daemon's requests that each zone is to get. */
  RegionShares PlanShares(const std::map<std::string, double>& capacity) const;

  Options options_;
  size_t zone_hosts_ = 0;
  size_t other_hosts_ = 0;
  std::map<std::string, ServicePlan> plans_;  // by service
};

}  // namespace greengage

#endif  // GG_REQUEST_ZONE_PLACEMENT_H_
