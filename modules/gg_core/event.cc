#include "gg_core/event.h"

#include <algorithm>

#include "gg_core/enum_names.h"

namespace greengage {
namespace {

constexpr EnumNames<LogLevel, 4> kLevelNames{
    {"debug", "info", "warning", "error"}};

}  // namespace

std::string_view LogLevelName(LogLevel level) {
  return kLevelNames.Name(level);
}

const std::vector<EventEntry>& EventTable() {
  static const std::vector<EventEntry> kTable = {
      {Event::kStarted, "started"},
      {Event::kStopRequested, "stop_requested"},
      {Event::kDraining, "draining"},
      {Event::kStopped, "stopped"},
      {Event::kStopRepeated, "stop_repeated"},
      {Event::kListening, "listening"},
      {Event::kDocumentAccepted, "document_accepted"},
      {Event::kDocumentRefused, "document_refused"},
      {Event::kSharedValueRefused, "shared_value_refused"},
      {Event::kMemberJoined, "member_joined"},
      {Event::kMemberSuspected, "member_suspected"},
      {Event::kMemberRecovered, "member_recovered"},
      {Event::kMemberLeaving, "member_leaving"},
      {Event::kMemberRemoved, "member_removed"},
      {Event::kPeerFrameRefused, "peer_frame_refused"},
      {Event::kPeerUnreachable, "peer_unreachable"},
      {Event::kStoreAvailable, "store_available"},
      {Event::kStoreUnavailable, "store_unavailable"},
      {Event::kSlicesClaimed, "slices_claimed"},
      {Event::kSlicesReleased, "slices_released"},
      {Event::kLoanGranted, "loan_granted"},
      {Event::kLoanReceived, "loan_received"},
      {Event::kShiftStep, "shift_step"},
      {Event::kRegionLost, "region_lost"},
      {Event::kRegionRecovered, "region_recovered"},
      {Event::kRequestRefused, "request_refused"},
      {Event::kRequestFailed, "request_failed"},
      {Event::kInternalError, "internal_error"},
      {Event::kTargetEjected, "target_ejected"},
      {Event::kTargetRestored, "target_restored"},
  };
  return kTable;
}

std::string_view EventName(Event event) {
  const auto& table = EventTable();
  const auto entry =
      std::find_if(table.begin(), table.end(),
                   [&](const EventEntry& row) { return row.event == event; });
  return entry == table.end() ? "unknown" : entry->name;
}

std::optional<LogLevel> ParseLogLevel(std::string_view name) {
  return kLevelNames.Parse(name);
}

}  // namespace greengage
