#ifndef GG_ENTRY_FORWARDED_REQUEST_H_
#define GG_ENTRY_FORWARDED_REQUEST_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gg_core/event.h"
#include "gg_entry/entry_traffic.h"
#include "gg_entry/response_check.h"
#include "gg_entry/target_attempt.h"
#include "gg_request/attempt_policy.h"
#include "gg_request/caller_identity.h"

namespace greengage {

class TargetReportRecorder;

/** Forwards one request of a caller: finds the route, sends attempts to
    targets, and responds to the caller. The object keeps itself alive until
    then. Traffic thread only. */
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
 public:
  ForwardedRequest(EntryTraffic* traffic, HttpSessionPtr session,
                   SessionRequest request);
  ~ForwardedRequest();
  ForwardedRequest(const ForwardedRequest&) = delete;
  ForwardedRequest& operator=(const ForwardedRequest&) = delete;

  /** Finds the route and starts the first attempt, or responds with an
      error. */
  void Start(TimePoint now);

  /** Ends the request without a response, as the process exits. Logs it if its
      caller still waits. */
  void Interrupt(TimePoint now);

 private:
  bool FindRoute();
  /** Returns whether the daemon stops and the request, which has not run, could
      outlast its process. */
  bool MayOutlastProcess(TimePoint now) const;
  PickRequest DescribeForPicker(TimePoint now) const;
  void StartNextAttempt(TimePoint now);
  void StartAttempt(TimePoint now);
  /** Returns the request for the target of the current attempt, or nullptr when
      the caller has disconnected or the time has passed while the connection
      was opened. */
  std::shared_ptr<const TargetRequest> MakeTargetRequest();
  void OnOutcome(AttemptOutcome outcome);
  /** Checks a target's response, records what it says of the target, and
      returns its connection to the pool unless responses are out of order. */
  ResponseVerdict AcceptResponse(AttemptOutcome* outcome, TimePoint now);
  /** Continues after a response that does not answer the request. */
  void OnRejectedResponse(const ResponseVerdict& verdict, http::status status,
                          TimePoint now);
  /** Returns the recorder for responses of the current target. */
  TargetReportRecorder ReportRecorder() const;
  void OnFault(AttemptFault fault, const std::string& reason, TimePoint now);
  /** Continues with another target when the current one may not be sent the
      request any more. */
  void OnTargetBarred(SendBarrier barrier, TimePoint now);
  void OnDeadline();
  void OnCallerGone();
  /** Ends the request if its caller has disconnected.
      @return whether it has. */
  bool EndIfCallerGone();
  void ForwardResponse(TargetResponse response, TimePoint now);
  void RespondWithError(http::status status, Event event,
                        const std::string& reason, TimePoint now);
  void EndAttempt(AttemptEnd end, double relative_time, TimePoint now);
  void Log(LogLevel level, Event event, const std::string& text,
           TimePoint now) const;
  /** Records the response time.
      @return it divided by the route's average; 0 when it isn't comparable. */
  double RecordResponseTime(TimePoint now);
  Duration TimeLeft(TimePoint now) const;
  /** Returns the pause for the Retry-After field of a refusal. */
  Duration RetryAfterPause(TimePoint now) const;
  /** Responds that this host, which stops, has not run the request. */
  void RefuseWhileStopping(TimePoint now);
  /** Returns the current target's key in the IdleConnectionPool. */
  std::string TargetKey() const;

  EntryTraffic* traffic_;                                  // not owned
  std::shared_ptr<std::set<ForwardedRequest*>> requests_;  // has `this`
  HttpSessionPtr session_;
  SessionRequest request_;
  CallerFields caller_fields_;
  std::shared_ptr<const RouteTable> route_table_;  // keeps the route alive
  const RouteRule* route_ = nullptr;
  std::shared_ptr<const TenantDirectory> tenants_;  // keeps the tenant alive
  CallerIdentity caller_;
  std::string service_;
  asio::steady_timer deadline_timer_;
  TimePoint arrived_at_{};
  TimePoint deadline_{};
  AttemptState state_;
  std::vector<size_t> tried_rows_;  // of the TargetStatusTable
  std::string chosen_region_;
  Pick pick_;                            // the latest
  bool is_served_elsewhere_ = false;     // see RefusalState
  int rate_limited_targets_ = 0;         // that passed it on, over all attempts
  std::optional<Duration> retry_after_;  // see TenantGate::Refusal

  std::shared_ptr<TargetAttempt> attempt_;
  size_t target_row_ = 0;
  TimePoint attempt_began_at_{};
  bool is_finished_ = false;  // response sent or caller disconnected
};

}  // namespace greengage

#endif  // GG_ENTRY_FORWARDED_REQUEST_H_
