#ifndef GG_ENTRY_TARGET_REPORT_RECORDER_H_
#define GG_ENTRY_TARGET_REPORT_RECORDER_H_

#include <string>

#include "gg_core/time.h"
#include "gg_entry/message_codec.h"

namespace greengage {

class EntryTraffic;

/** Records what a response shows of the target that sent it, in the tables that
    all requests share, in the log and in the metrics. Traffic thread only. */
class TargetReportRecorder {
 public:
  /** @param traffic     not owned
      @param row         row of the target in the TargetStatusTable
      @param request_id  request to which the target responded, for the log */
  TargetReportRecorder(EntryTraffic* traffic, size_t row,
                       std::string request_id);

  /** Records that the target is leaving or asks for a pause, if a response
      says so. */
  void RecordNotices(const TargetFields& fields, TimePoint now) const;

  /** Records the load that a response reports. */
  void RecordLoad(const TargetLoad& load, TimePoint now) const;

  /** Records the rate limit that a response names.
      @param is_accepted  the response is the target's own answer; only such a
             response without a limit shows that there is none. */
  void RecordRateLimit(const TargetFields& fields, bool is_accepted,
                       TimePoint now) const;

  /** Records that the target sent what can't be read. */
  void RecordOddMessage(const std::string& reason) const;

 private:
  EntryTraffic* traffic_;  // not owned
  size_t row_;
  std::string request_id_;
};

}  // namespace greengage

#endif  // GG_ENTRY_TARGET_REPORT_RECORDER_H_
