#ifndef GG_REQUEST_OBJECT_DISTRIBUTION_H_
#define GG_REQUEST_OBJECT_DISTRIBUTION_H_

#include <cstddef>
#include <cstdint>
#include <map>

namespace greengage {

/** Lays objects out on a line from 0 to 1, each as long as its part of the
    requests, in an order that is the same on every daemon.

    Whoever gets the piece of the line from a to b gets b - a of the requests
    and the same objects all the time. Daemons that see the same kind of load
    place an object alike without telling each other. Traffic thread only. */
class ObjectDistribution {
 public:
  struct Options {
    /** Requests after which what was seen outweighs the assumption that all
        objects are asked for alike: about a second of a daemon's load. */
    double prior_requests = 32;
    /** Requests after which all counts are halved, so that a load that changes
        is followed within half a minute. */
    double max_requests = 1024;
  };

  explicit ObjectDistribution(Options options) : options_(options) {}

  /** Notes a request for `object` and returns the middle of its place. */
  double RecordRequest(uint64_t object);

  /** Returns how many objects are kept in mind. */
  size_t size() const { return request_counts_.size(); }

 private:
  void HalveCounts();

  Options options_;
  std::map<uint64_t, double> request_counts_;  // requests, by object
  double total_requests_ = 0;
};

}  // namespace greengage

#endif  // GG_REQUEST_OBJECT_DISTRIBUTION_H_
