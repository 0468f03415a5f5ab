#include "gg_store/store_codec.h"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

#include "gg_core/errors.h"

namespace greengage {
namespace {

using nlohmann::json;
namespace base64 = boost::beast::detail::base64;

/** Returns a 64-bit number, which the protocol writes as a JSON string. An
    absent field means zero. */
uint64_t ReadUint64(const json& object, const char* key) {
  if (!object.contains(key)) return 0;
  const json& value = object.at(key);
  if (value.is_string()) return std::stoull(value.get<std::string>());
  if (!value.is_number_unsigned()) {
    throw std::invalid_argument(std::string(key) + " is no whole number");
  }
  return value.get<uint64_t>();
}

StoreEntry DecodeEntry(const json& kv) {
  return {.key = Base64Decode(kv.at("key").get<std::string>()),
          .value = Base64Decode(kv.value("value", "")),
          .mod_revision = ReadUint64(kv, "mod_revision")};
}

/** Parses `text` and calls `decode` on it. Returns kDataLoss for invalid JSON
    and for missing or mistyped fields. */
template <typename Result, typename Decode>
absl::StatusOr<Result> DecodeJson(const std::string& text,
                                  std::string_view peer, Decode decode) {
  try {
    return decode(json::parse(text));
  } catch (const std::exception& error) {
    return StepError(absl::StatusCode::kDataLoss, Step::kStoreCall, peer,
                     error.what());
  }
}

}  // namespace

std::string Base64Encode(std::string_view data) {
  std::string text(base64::encoded_size(data.size()), '\0');
  text.resize(base64::encode(text.data(), data.data(), data.size()));
  return text;
}

std::string Base64Decode(std::string_view text) {
  std::string data(base64::decoded_size(text.size()), '\0');
  data.resize(base64::decode(data.data(), text.data(), text.size()).first);
  return data;
}

std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty()) {
    const auto last = static_cast<unsigned char>(prefix.back());
    if (last < 0xffU) {
      prefix.back() = static_cast<char>(last + 1U);
      return prefix;
    }
    prefix.pop_back();
  }
  return std::string(1, '\0');
}

std::string EncodeRange(std::string_view key, std::string_view range_end) {
  json request{{"key", Base64Encode(key)}};
  if (!range_end.empty()) request["range_end"] = Base64Encode(range_end);
  return request.dump();
}

std::string EncodeCompareAndSwap(const StoreCompareAndSwap& swap) {
  const std::string key = Base64Encode(swap.key);
  json success = json::array();
  for (const StorePut& put : swap.puts) {
    json request{{"key", Base64Encode(put.key)},
                 {"value", Base64Encode(put.value)}};
    if (put.lease != 0) request["lease"] = std::to_string(put.lease);
    success.push_back({{"request_put", request}});
  }
  const json compare{{"key", key},
                     {"target", "MOD"},
                     {"result", "EQUAL"},
                     {"mod_revision", std::to_string(swap.expected_revision)}};
  return json{{"compare", json::array({compare})},
              {"success", success},
              {"failure", json::array({{{"request_range", {{"key", key}}}}})}}
      .dump();
}

std::string EncodeWatch(std::string_view prefix, uint64_t start_revision) {
  return json{{"create_request",
               {{"key", Base64Encode(prefix)},
                {"range_end", Base64Encode(PrefixEnd(std::string(prefix)))},
                {"start_revision", std::to_string(start_revision)}}}}
      .dump();
}

std::string EncodeLeaseGrant(int64_t ttl_seconds) {
  return json{{"TTL", std::to_string(ttl_seconds)}}.dump();
}

absl::StatusOr<StoreReadResult> DecodeRange(const std::string& text,
                                            std::string_view peer) {
  return DecodeJson<StoreReadResult>(text, peer, [](const json& response) {
    StoreReadResult read{.store_revision =
                             ReadUint64(response.at("header"), "revision")};
    if (!response.contains("kvs")) return read;
    for (const json& kv : response.at("kvs")) {
      read.entries.push_back(DecodeEntry(kv));
    }
    return read;
  });
}

absl::StatusOr<StoreCompareAndSwapResult> DecodeCompareAndSwap(
    const std::string& text, std::string_view peer) {
  return DecodeJson<StoreCompareAndSwapResult>(
      text, peer, [](const json& response) {
        StoreCompareAndSwapResult result{
            .succeeded = response.value("succeeded", false),
            .revision = ReadUint64(response.at("header"), "revision")};
        if (result.succeeded) return result;
        const json& range = response.at("responses").at(0).at("response_range");
        if (range.contains("kvs") && !range.at("kvs").empty()) {
          result.current_entry = DecodeEntry(range.at("kvs").at(0));
        }
        return result;
      });
}

absl::StatusOr<int64_t> DecodeLeaseGrant(const std::string& text,
                                         std::string_view peer) {
  return DecodeJson<int64_t>(text, peer, [](const json& response) {
    return static_cast<int64_t>(ReadUint64(response, "ID"));
  });
}

absl::StatusOr<StoreReadResult> DecodeWatchLine(const std::string& text,
                                                std::string_view peer) {
  return DecodeJson<StoreReadResult>(text, peer, [](const json& line) {
    const json& result = line.at("result");
    StoreReadResult read{.store_revision =
                             ReadUint64(result.at("header"), "revision")};
    if (!result.contains("events")) return read;
    for (const json& event : result.at("events")) {
      const bool is_put = event.value("type", "PUT") == "PUT";
      if (is_put) read.entries.push_back(DecodeEntry(event.at("kv")));
    }
    return read;
  });
}

}  // namespace greengage
