#include "gg_steering/order_key.h"

#include <charconv>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gg_core/hash.h"

namespace greengage {
namespace {

constexpr std::string_view kPrefix = "gg1";
constexpr size_t kFieldCount = 6;

std::vector<std::string_view> SplitFields(std::string_view text) {
  std::vector<std::string_view> fields;
  size_t start = 0;
  while (start <= text.size()) {
    const size_t end = std::min(text.find('-', start), text.size());
    fields.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return fields;
}

bool ParseNumber(std::string_view text, uint64_t* value) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), *value);
  return error == std::errc() && end == text.data() + text.size();
}

std::string FormatHashedFields(const OrderKey& key) {
  return absl::StrCat(std::string(kPrefix), "-", key.address, "-",
                      key.incarnation, "-", key.sequence, "-",
                      key.expires_seconds);
}

}  // namespace

uint64_t OrderKeyHash(const OrderKey& key, uint64_t secret) {
  return Hash64(FormatHashedFields(key), secret);
}

std::string FormatOrderKey(const OrderKey& key) {
  return absl::StrCat(FormatHashedFields(key), "-", key.keyed_hash);
}

std::optional<OrderKey> ParseOrderKey(std::string_view text) {
  const std::vector<std::string_view> fields = SplitFields(text);
  if (fields.size() != kFieldCount || fields[0] != kPrefix) return std::nullopt;
  OrderKey key{.address = std::string(fields[1])};
  const bool is_valid = ParseNumber(fields[2], &key.incarnation) &&
                        ParseNumber(fields[3], &key.sequence) &&
                        ParseNumber(fields[4], &key.expires_seconds) &&
                        ParseNumber(fields[5], &key.keyed_hash);
  if (!is_valid) return std::nullopt;
  return key;
}

}  // namespace greengage
