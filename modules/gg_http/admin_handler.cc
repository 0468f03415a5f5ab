#include "gg_http/admin_handler.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "gg_http/lookup_handler.h"
#include "gg_insight/metrics.h"

namespace greengage {
namespace {

using nlohmann::json;

http::response<http::string_body> MakeTextResponse(http::status status,
                                                   std::string_view type,
                                                   std::string body) {
  http::response<http::string_body> response(status, 11);
  response.set(http::field::content_type, ToBeast(type));
  response.set(http::field::cache_control, "no-store");
  response.body() = std::move(body);
  return response;
}

json TargetToJson(const TargetState& target, TimePoint now) {
  return {{"service", target.service},
          {"name", target.spec.name},
          {"address", target.spec.address},
          {"zone", target.spec.zone},
          {"region", target.region},
          {"slots", target.spec.slots},
          {"in_flight", target.in_flight},
          {"latency_ms", target.latency_seconds * 1000},
          {"leaving", target.spec.is_leaving},
          {"removed", target.is_removed},
          {"ejected", target.ejected_until > now}};
}

json UsageToJson(const RegionUsage& usage) {
  return {{"own", usage.own},
          {"lent", usage.lent},
          {"borrowed", usage.borrowed},
          {"in_use", usage.in_use}};
}

}  // namespace

asio::awaitable<HandlerResult> AdminHandler::Handle(
    CallerConnection* caller, const RequestParser& request) {
  auto response = MakeResponse(FromBeast(request.get().target()));
  const bool keep_alive = request.is_done() && request.get().keep_alive();
  response.keep_alive(keep_alive);
  response.prepare_payload();
  ErrorCode error;
  caller->stream.expires_after(kCallerIoTimeout);
  co_await http::async_write(caller->stream, response, Await(&error));
  co_return HandlerResult{keep_alive && !error};
}

http::response<http::string_body> AdminHandler::MakeResponse(
    std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  if (path == "/.greengage/health") {
    const std::string problem = options_.health_problem();
    return problem.empty()
               ? MakeTextResponse(http::status::ok, "text/plain", "ok\n")
               : MakeTextResponse(http::status::service_unavailable,
                                  "text/plain", problem + "\n");
  }
  if (path == "/.greengage/metrics") {
    UpdateGauges();
    return MakeTextResponse(http::status::ok, "text/plain; version=0.0.4",
                            options_.metrics->PrometheusText());
  }
  if (path == "/.greengage/status") {
    return MakeTextResponse(http::status::ok, "application/json",
                            MakeStatusJson());
  }
  if (path == "/.greengage/document") {
    return MakeTextResponse(http::status::ok, "application/yaml",
                            options_.document_text());
  }
  if (path == "/.greengage/explain") return MakeExplainResponse(target);
  return MakeTextResponse(http::status::not_found, "text/plain",
                          "use health, status, metrics, document or explain\n");
}

std::string AdminHandler::MakeStatusJson() const {
  const TimePoint now = std::chrono::steady_clock::now();
  json status = json::parse(options_.control_status(), nullptr, false);
  if (!status.is_object()) status = json::object();
  const Steering& steering = *options_.steering;
  status["revision"] = steering.document_revision();
  json regions = json::object();
  const DocumentPtr document = steering.document();
  if (document != nullptr) {
    for (const RegionSpec& region : document->regions) {
      regions[region.name] = UsageToJson(steering.Usage(region.name));
      regions[region.name]["capacity"] = region.capacity;
    }
  }
  status["regions"] = regions;
  json targets = json::array();
  for (const TargetState& target : steering.Targets()) {
    targets.push_back(TargetToJson(target, now));
  }
  status["targets"] = targets;
  json positions = json::array();
  for (const Position& position : steering.Positions()) {
    positions.push_back({{"service", position.service},
                         {"home", position.home},
                         {"split", position.split}});
  }
  status["positions"] = positions;
  return status.dump();
}

http::response<http::string_body> AdminHandler::MakeExplainResponse(
    std::string_view target) const {
  std::map<std::string, std::string> query = ParseQuery(target);
  const DocumentPtr document = options_.steering->document();
  const ServiceSpec* service =
      document == nullptr ? nullptr : document->FindService(query["service"]);
  ErrorCode error;
  const auto client = asio::ip::make_address_v4(query["client"], error);
  if (service == nullptr || error) {
    return MakeTextResponse(http::status::bad_request, "text/plain",
                            "use explain?service=NAME&client=10.1.2.3\n");
  }
  const std::string home(document->HomeRegion(
      client.to_uint(), options_.steering->options().region));
  json body{{"service", service->name},
            {"client", query["client"]},
            {"home_region", home},
            {"document_split", service->split.at(home)},
            {"revision", options_.steering->document_revision()}};
  for (const Position& position : options_.steering->Positions()) {
    if (position.service != service->name || position.home != home) continue;
    body["split_in_force"] = position.split;
  }
  json hosts = json::array();
  for (const MemberRecord& host :
       options_.steering->EntryHosts(service->name, client.to_uint())) {
    hosts.push_back(host.traffic_address);
  }
  body["entry_hosts"] = hosts;
  json targets = json::array();
  for (const TargetState& state : options_.steering->Targets()) {
    if (state.service != service->name) continue;
    targets.push_back(TargetToJson(state, std::chrono::steady_clock::now()));
  }
  body["targets"] = targets;
  json regions = json::object();
  for (const RegionSpec& region : document->regions) {
    regions[region.name] = UsageToJson(options_.steering->Usage(region.name));
  }
  body["regions"] = regions;
  return MakeTextResponse(http::status::ok, "application/json", body.dump());
}

void AdminHandler::UpdateGauges() const {
  const DocumentPtr document = options_.steering->document();
  if (document == nullptr) return;
  options_.metrics->SetGauge(
      "greengage_document_revision", "",
      static_cast<double>(options_.steering->document_revision()));
  for (const RegionSpec& region : document->regions) {
    const RegionUsage usage = options_.steering->Usage(region.name);
    const std::string label = absl::StrCat("region=\"", region.name, "\"");
    options_.metrics->SetGauge("greengage_region_in_use", label,
                               static_cast<double>(usage.in_use));
    options_.metrics->SetGauge("greengage_region_limit", label,
                               static_cast<double>(usage.limit()));
  }
}

}  // namespace greengage
