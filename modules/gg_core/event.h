#ifndef GG_CORE_EVENT_H_
#define GG_CORE_EVENT_H_

#include <optional>
#include <string_view>
#include <vector>

namespace greengage {

/** Severity of a log event, least severe first. */
enum class LogLevel { kDebug, kInfo, kWarning, kError };

/** Every event that the programs log. Numbers are stable across releases and
    are never reused. Each event has an entry in docs/EVENTS.md. */
enum class Event {
  kStarted = 100,
  kStopRequested = 101,
  kDraining = 102,
  kStopped = 103,
  kStopRepeated = 104,
  kListening = 105,
  kSettingsReloaded = 106,
  kSettingsRefused = 107,
  kProcessBehind = 108,
  kMemoryShort = 109,
  kDocumentAccepted = 200,
  kDocumentRefused = 201,
  kSharedValueRefused = 203,
  kConfigInForce = 210,
  kStoreValueRefused = 211,
  kMemberJoined = 300,
  kMemberSuspected = 301,
  kMemberRecovered = 302,
  kMemberLeaving = 303,
  kMemberRemoved = 304,
  kPeerFrameRefused = 310,
  kPeerUnreachable = 311,
  kTargetListed = 320,
  kTargetDraining = 321,
  kTargetUnlisted = 322,
  kZoneEvacuated = 330,
  kZoneReturned = 331,
  kStoreAvailable = 400,
  kStoreUnavailable = 401,
  kStoreReadAnew = 402,
  kMemberRegistered = 403,
  kStoreEraChanged = 404,
  kStoreItemPassedOver = 405,
  kMemberEntryLost = 406,
  kRelayFollowed = 410,
  kRelayLost = 411,
  kRelayListenerGone = 412,
  kSlicesClaimed = 500,
  kSlicesReleased = 501,
  kLoanGranted = 510,
  kLoanReceived = 511,
  kShiftStep = 520,
  kRegionLost = 530,
  kRegionRecovered = 531,
  kRequestRefused = 600,
  kRequestFailed = 601,
  kInternalError = 602,
  kMessageRefused = 603,
  kTargetEjected = 610,
  kTargetRestored = 611,
  kTargetRateLimited = 612,
  kTargetRateLimitEnded = 613,
  kTargetRateLimitInvalid = 614,
  kTargetLeaving = 615,
  kTargetPaused = 616,
  kTargetPauseInvalid = 617,
  kTenantOverLimit = 618,
  kRequestAnswered = 620,
  kAttemptFailed = 621,
  kCallerGone = 622,
  kRequestCut = 623,
  kPeerEvicted = 624,
  kLinesDropped = 690,
};

/** An event and its name in the log. */
struct EventEntry {
  Event event;
  std::string_view name;
};

/** Returns all events in ascending order of their numbers. */
const std::vector<EventEntry>& EventTable();

/** Returns the name of `event` as documented in docs/EVENTS.md, or "unknown"
    for a number without an event. */
std::string_view EventName(Event event);

/** Returns the name of `level`, or "?" when it is out of range. */
std::string_view LogLevelName(LogLevel level);

/** Returns the level called `name` ("debug", "info", "warning" or "error"), or
    nullopt for any other name. */
std::optional<LogLevel> ParseLogLevel(std::string_view name);

}  // namespace greengage

#endif  // GG_CORE_EVENT_H_
