#ifndef GG_REQUEST_OBJECT_DISTRIBUTION_H_
#define GG_REQUEST_OBJECT_DISTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <map>

namespace greengage {

/** Estimates the cumulative distribution of requests over objects.

    Each object has an interval in the range from 0 to 1, as long as its share
    of the requests, in an order that is equal on every daemon. An interval from
    a to b thus stands for the fraction b - a of the requests and for the same
    objects over time. Daemons that see similar load compute similar positions
    without communicating. Traffic thread only. */
class ObjectDistribution {
 public:
  struct Options {
    /** Weight, in requests, of the initial assumption that all objects are
        requested equally often. Equals about one second of a daemon's load. */
    double prior_requests = 32;
    /** Total at which all counts are halved, so that the estimate follows a
        changed load within half a minute. */
    double max_requests = 1024;
  };

  explicit ObjectDistribution(Options options) : options_(options) {}

  /** Records a request for `object` and returns the midpoint of its interval,
      from 0 to 1. */
  double RecordRequest(uint64_t object);

  /** Returns the number of objects with a count. */
  size_t size() const { return request_counts_.size(); }

  /** Returns the number of recorded requests; older ones count less. */
  double request_count() const { return total_requests_; }

  /** Returns the estimated number of objects, with those that were not
      requested here so far. It is derived from the numbers of objects that were
      requested once and twice (Chao, "Nonparametric Estimation of the Number of
      Classes in a Population", 1984). A daemon that gets few requests thus
      estimates too many objects rather than too few. */
  double EstimatedObjectCount() const;

 private:
  void HalveCounts();

  Options options_;
  std::map<uint64_t, double> request_counts_;  // by object
  double total_requests_ = 0;
};

}  // namespace greengage

#endif  // GG_REQUEST_OBJECT_DISTRIBUTION_H_
