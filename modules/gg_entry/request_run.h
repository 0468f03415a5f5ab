#ifndef GG_ENTRY_REQUEST_RUN_H_
#define GG_ENTRY_REQUEST_RUN_H_

#include <memory>
#include <string>
#include <vector>

#include "gg_core/event.h"
#include "gg_entry/entry_traffic.h"
#include "gg_entry/target_attempt.h"
#include "gg_request/attempt_policy.h"

namespace greengage {

/** One request of a caller from its arrival to its answer. Keeps itself alive.
    Traffic thread only. */
class RequestRun : public std::enable_shared_from_this<RequestRun> {
 public:
  RequestRun(EntryTraffic* traffic, HttpSessionPtr session,
             SessionRequest request);

  /** Finds the route and begins the first attempt. */
  void Start(TimePoint now);

 private:
  bool FindRoute();
  void TryNext(TimePoint now);
  void BeginAttempt(const Pick& pick, TimePoint now);
  void OnOutcome(AttemptOutcome outcome);
  bool TakeAnswer(AttemptOutcome* outcome, TimePoint now, std::string* fault,
                  TargetFields* fields);
  void OnFault(AttemptFault fault, const std::string& reason, TimePoint now);
  void OnDue();
  void OnCallerGone();
  void PassOn(TargetAnswer answer, TimePoint now);
  void Refuse(http::status status, Event event, const std::string& reason,
              TimePoint now);
  void EndAttempt(AttemptEnd end, double relative_time, TimePoint now);
  void Log(LogLevel level, Event event, const std::string& text,
           TimePoint now) const;
  double RelativeTime(TimePoint now);
  Duration Left(TimePoint now) const;
  Duration ReturnPause(TimePoint now) const;
  std::string RowKey() const;

  EntryTraffic* traffic_;  // not owned
  HttpSessionPtr session_;
  SessionRequest request_;
  CallerFields caller_;
  std::shared_ptr<const RouteTable> table_;  // keeps the route alive
  const RouteRule* route_ = nullptr;
  std::string service_;
  asio::steady_timer due_timer_;
  TimePoint arrived_{};
  TimePoint due_at_{};
  AttemptState state_;
  std::vector<size_t> tried_;
  std::string region_;
  bool is_first_choice_ = false;
  double refused_utilization_ = 0;  // see Pick

  std::shared_ptr<TargetAttempt> attempt_;
  size_t row_ = 0;
  TimePoint attempt_began_{};
  bool is_over_ = false;  // the caller has its answer or is gone
};

}  // namespace greengage

#endif  // GG_ENTRY_REQUEST_RUN_H_
