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
      {Event::kSettingsReloaded, "settings_reloaded"},
      {Event::kSettingsRefused, "settings_refused"},
      {Event::kProcessBehind, "process_behind"},
      {Event::kMemoryShort, "memory_short"},
      {Event::kDocumentAccepted, "document_accepted"},
      {Event::kDocumentRefused, "document_refused"},
      {Event::kSharedValueRefused, "shared_value_refused"},
      {Event::kConfigInForce, "config_in_force"},
      {Event::kStoreValueRefused, "store_value_refused"},
      {Event::kMemberJoined, "member_joined"},
      {Event::kMemberSuspected, "member_suspected"},
      {Event::kMemberRecovered, "member_recovered"},
      {Event::kMemberLeaving, "member_leaving"},
      {Event::kMemberRemoved, "member_removed"},
      {Event::kPeerFrameRefused, "peer_frame_refused"},
      {Event::kPeerUnreachable, "peer_unreachable"},
      {Event::kTargetListed, "target_listed"},
      {Event::kTargetDraining, "target_draining"},
      {Event::kTargetUnlisted, "target_unlisted"},
      {Event::kZoneEvacuated, "zone_evacuated"},
      {Event::kZoneReturned, "zone_returned"},
      {Event::kStoreAvailable, "store_available"},
      {Event::kStoreUnavailable, "store_unavailable"},
      {Event::kStoreReadAnew, "store_read_anew"},
      {Event::kMemberRegistered, "member_registered"},
      {Event::kStoreEraChanged, "store_era_changed"},
      {Event::kStoreItemPassedOver, "store_item_passed_over"},
      {Event::kMemberEntryLost, "member_entry_lost"},
      {Event::kRelayFollowed, "relay_followed"},
      {Event::kRelayLost, "relay_lost"},
      {Event::kRelayListenerGone, "relay_listener_gone"},
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
      {Event::kMessageRefused, "message_refused"},
      {Event::kTargetEjected, "target_ejected"},
      {Event::kTargetRestored, "target_restored"},
      {Event::kTargetRateLimited, "target_rate_limited"},
      {Event::kTargetRateLimitEnded, "target_rate_limit_ended"},
      {Event::kTargetRateLimitInvalid, "target_rate_limit_invalid"},
      {Event::kTargetLeaving, "target_leaving"},
      {Event::kTargetPaused, "target_paused"},
      {Event::kTargetPauseInvalid, "target_pause_invalid"},
      {Event::kTenantOverLimit, "tenant_over_limit"},
      {Event::kRequestAnswered, "request_answered"},
      {Event::kAttemptFailed, "attempt_failed"},
      {Event::kCallerGone, "caller_gone"},
      {Event::kRequestCut, "request_cut"},
      {Event::kPeerEvicted, "peer_evicted"},
      {Event::kLinesDropped, "lines_dropped"},
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
