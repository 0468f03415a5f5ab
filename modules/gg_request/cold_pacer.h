#ifndef GG_REQUEST_COLD_PACER_H_
#define GG_REQUEST_COLD_PACER_H_

#include <deque>
#include <map>
#include <string>

#include "gg_core/time.h"

namespace greengage {

/** Keeps a cold target below the rate at which it crashes.

    Load pattern: a zone comes back cold and every daemon sees it at the same
    moment. Each daemon has its share of the rate, without asking the others;
    where there are more daemons than requests to deal out, some have none.
    Traffic thread only. */
class ColdPacer {
 public:
  struct Options {
    std::string self;  // name of this daemon
    /** Requests that all daemons together may have above the configured rate.
        Zero keeps within what the target bears. */
    double slack = 0;
  };

  explicit ColdPacer(Options options) : options_(std::move(options)) {}

  /** Sets another slack; what was sent stays counted. */
  void SetSlack(double slack) { options_.slack = slack; }

  /** Takes one request of the share, if there is one left.
      @param rate  requests a second that the target bears.
      @param senders  daemons that may be sending. */
  bool TryTake(const std::string& target_id, double rate, int senders,
               TimePoint now);

  /** Returns whether TryTake() would succeed. */
  bool HasRoom(const std::string& target_id, double rate, int senders,
               TimePoint now);

 private:
  int Share(const std::string& target_id, double rate, int senders) const;
  void Expire(std::deque<TimePoint>* sent, TimePoint now) const;

  Options options_;
  std::map<std::string, std::deque<TimePoint>> sent_;
};

}  // namespace greengage

#endif  // GG_REQUEST_COLD_PACER_H_
