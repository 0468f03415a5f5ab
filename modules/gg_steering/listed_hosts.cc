#include "gg_steering/listed_hosts.h"

#include <nlohmann/json.hpp>

#include "gg_core/errors.h"

namespace greengage {
namespace {

/** Returns the string in the member `key`, or "" when it is none. */
std::string StringMember(const nlohmann::json& object, const char* key) {
  const auto found = object.find(key);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

}  // namespace

absl::StatusOr<ListedHosts> ListedHostsFromJson(const std::string& text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("hosts") ||
      !json["hosts"].is_array()) {
    return StepError(absl::StatusCode::kDataLoss, Step::kStoreCall, "hosts",
                     "the list of hosts in the store cannot be read");
  }
  ListedHosts list;
  for (const auto& host : json["hosts"]) {
    if (!host.is_object()) continue;
    const std::string address = StringMember(host, "address");
    if (address.empty()) continue;
    list.hosts.insert(address);
    if (StringMember(host, "state") == "leaving") {
      list.leaving_hosts.insert(address);
    }
  }
  return list;
}

}  // namespace greengage
