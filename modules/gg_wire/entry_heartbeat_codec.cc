#include "gg_wire/entry_heartbeat_codec.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "gg_core/errors.h"
#include "gg_wire/compact_bytes.h"

namespace greengage {
namespace {

/** Start of every heartbeat; the last character is the version of the format.
    The heartbeats of earlier builds have "GGEH" at the fifth byte. */
constexpr std::string_view kMagic = "GE2";

/** Bits of the byte after the magic. */
constexpr uint8_t kLeavingBit = 1;
constexpr uint8_t kStoreReachableBit = 2;

/** Lowest bits of the number that follows a target's hash; the requests in
    flight are above them. */
constexpr uint64_t kEjectedBit = 1;
constexpr uint64_t kSlownessBit = 2;  // the slowness follows
constexpr int kInFlightShift = 2;

/** Largest slowness that is sent, in tenths. Higher values are clamped. */
constexpr double kMaxSlownessTenths = 1000;
constexpr uint64_t kUsualSlownessTenths = 10;

/** Largest number of requests at a target that is accepted. The sum over all
    daemons stays within the range of an int. */
constexpr uint64_t kMaxInFlight = 1'000'000;

/** Unit of rates, requests per second. */
constexpr double kRateUnit = 0.01;

/** Fewest bytes of an entry: a hash and a number, or a hash and six numbers, or
    the length of a text. */
constexpr size_t kMinTargetBytes = 9;
constexpr size_t kMinRateLimitBytes = 14;
constexpr size_t kMinTextBytes = 1;

/** Rounds and clamps to the range of an unsigned type. */
template <typename Wire>
uint64_t Clamp(double value) {
  constexpr double kMax = std::numeric_limits<Wire>::max();
  return static_cast<Wire>(std::clamp(std::round(value), 0.0, kMax));
}

/** Reads a number that Clamp<Wire>() made. */
template <typename Wire>
Wire ReadClamped(CompactReader* reader) {
  return static_cast<Wire>(std::min<uint64_t>(
      reader->ReadNumber(), std::numeric_limits<Wire>::max()));
}

void WriteTarget(uint64_t id_hash, const TargetReport& report,
                 CompactWriter* writer) {
  const auto tenths = static_cast<uint64_t>(
      std::clamp(report.slowness * 10, 0.0, kMaxSlownessTenths));
  const bool has_slowness = tenths != kUsualSlownessTenths;
  const auto in_flight = static_cast<uint64_t>(std::max(report.in_flight, 0));
  writer->WriteHash(id_hash);
  writer->WriteNumber(in_flight << kInFlightShift |
                      (has_slowness ? kSlownessBit : 0) |
                      (report.is_ejected ? kEjectedBit : 0));
  if (has_slowness) writer->WriteNumber(tenths);
}

TargetReport ReadTarget(CompactReader* reader) {
  const uint64_t number = reader->ReadNumber();
  uint64_t tenths = kUsualSlownessTenths;
  if ((number & kSlownessBit) != 0) tenths = ReadClamped<uint16_t>(reader);
  return {.in_flight = static_cast<int>(
              std::min(number >> kInFlightShift, kMaxInFlight)),
          .slowness = static_cast<double>(tenths) / 10.0,
          .is_ejected = (number & kEjectedBit) != 0};
}

/** Writes the limit increased by one, or 0 if there is none. */
void WriteRateLimit(uint64_t key_hash, const RateLimitReport& report,
                    CompactWriter* writer) {
  writer->WriteHash(key_hash);
  writer->WriteNumber(
      report.limit ? Clamp<uint32_t>(*report.limit / kRateUnit) + 1 : 0);
  writer->WriteNumber(Clamp<uint16_t>(ToSeconds(report.age) * 1000));
  writer->WriteNumber(Clamp<uint16_t>(report.urgent_demand / kRateUnit));
  writer->WriteNumber(Clamp<uint16_t>(report.other_demand / kRateUnit));
  writer->WriteNumber(Clamp<uint16_t>(report.passed_on_demand / kRateUnit));
  writer->WriteNumber(Clamp<uint16_t>(report.recent_sends));
}

RateLimitReport ReadRateLimit(CompactReader* reader) {
  RateLimitReport report;
  const uint64_t limit = reader->ReadNumber();
  if (limit > 0) {
    report.limit = static_cast<double>(std::min<uint64_t>(
                       limit - 1, std::numeric_limits<uint32_t>::max())) *
                   kRateUnit;
  }
  report.age = std::chrono::milliseconds(ReadClamped<uint16_t>(reader));
  report.urgent_demand = ReadClamped<uint16_t>(reader) * kRateUnit;
  report.other_demand = ReadClamped<uint16_t>(reader) * kRateUnit;
  report.passed_on_demand = ReadClamped<uint16_t>(reader) * kRateUnit;
  report.recent_sends = ReadClamped<uint16_t>(reader);
  return report;
}

}  // namespace

std::string EncodeEntryHeartbeat(const EntryHeartbeat& heartbeat) {
  CompactWriter writer;
  for (const char c : kMagic) writer.WriteByte(static_cast<uint8_t>(c));
  writer.WriteByte(static_cast<uint8_t>(
      (heartbeat.is_leaving ? kLeavingBit : 0) |
      (heartbeat.is_store_reachable ? kStoreReachableBit : 0)));
  writer.WriteText(heartbeat.sender);
  writer.WriteNumber(heartbeat.incarnation);
  writer.WriteNumber(heartbeat.store_position.era);
  writer.WriteNumber(heartbeat.store_position.revision);
  writer.WriteNumber(heartbeat.evacuated_zones.size());
  for (const std::string& zone : heartbeat.evacuated_zones) {
    writer.WriteText(zone);
  }
  writer.WriteNumber(heartbeat.targets.size());
  for (const auto& [id_hash, report] : heartbeat.targets) {
    WriteTarget(id_hash, report, &writer);
  }
  writer.WriteNumber(heartbeat.rate_limits.size());
  for (const auto& [key_hash, report] : heartbeat.rate_limits) {
    WriteRateLimit(key_hash, report, &writer);
  }
  return writer.TakeBytes();
}

absl::StatusOr<EntryHeartbeat> DecodeEntryHeartbeat(std::string_view datagram,
                                                    std::string_view peer) {
  const auto refuse = [&](std::string_view reason) {
    return StepError(absl::StatusCode::kInvalidArgument, Step::kPeerFrame, peer,
                     reason);
  };
  if (!datagram.starts_with(kMagic)) {
    return refuse("the datagram is no heartbeat of this version");
  }
  CompactReader reader(datagram.substr(kMagic.size()));
  EntryHeartbeat heartbeat;
  const uint8_t bits = reader.ReadByte();
  heartbeat.is_leaving = (bits & kLeavingBit) != 0;
  heartbeat.is_store_reachable = (bits & kStoreReachableBit) != 0;
  heartbeat.sender = reader.ReadText();
  heartbeat.incarnation = reader.ReadNumber();
  heartbeat.store_position.era = reader.ReadNumber();
  heartbeat.store_position.revision = reader.ReadNumber();
  for (uint64_t left = reader.ReadCount(kMinTextBytes); left > 0; --left) {
    heartbeat.evacuated_zones.insert(reader.ReadText());
  }
  for (uint64_t left = reader.ReadCount(kMinTargetBytes); left > 0; --left) {
    const uint64_t id_hash = reader.ReadHash();
    heartbeat.targets[id_hash] = ReadTarget(&reader);
  }
  for (uint64_t left = reader.ReadCount(kMinRateLimitBytes); left > 0; --left) {
    const uint64_t key_hash = reader.ReadHash();
    heartbeat.rate_limits[key_hash] = ReadRateLimit(&reader);
  }
  if (!reader.is_valid()) return refuse("the heartbeat is incomplete");
  if (!reader.is_at_end()) return refuse("the heartbeat is too long");
  return heartbeat;
}

}  // namespace greengage
