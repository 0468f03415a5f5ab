#include "gg_http/lookup_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace greengage {
namespace {

using nlohmann::json;

http::response<http::string_body> MakeJsonResponse(http::status status,
                                                   const json& body) {
  http::response<http::string_body> response(status, 11);
  response.set(http::field::content_type, "application/json");
  response.set(http::field::cache_control, "no-store");
  response.body() = body.dump();
  return response;
}

http::response<http::string_body> MakeErrorResponse(http::status status,
                                                    const std::string& text) {
  return MakeJsonResponse(status, {{"error", text}});
}

json HostToJson(const MemberRecord& host) {
  return {{"address", host.traffic_address},
          {"zone", host.zone},
          {"region", host.region}};
}

}  // namespace

std::map<std::string, std::string> ParseQuery(std::string_view target) {
  std::map<std::string, std::string> parameters;
  const size_t question_mark = target.find('?');
  std::string_view remaining = question_mark == std::string_view::npos
                                   ? ""
                                   : target.substr(question_mark + 1);
  while (!remaining.empty()) {
    const size_t end = std::min(remaining.find('&'), remaining.size());
    const std::string_view parameter = remaining.substr(0, end);
    const size_t equals = std::min(parameter.find('='), parameter.size());
    parameters[std::string(parameter.substr(0, equals))] =
        equals < parameter.size() ? std::string(parameter.substr(equals + 1))
                                  : "";
    remaining.remove_prefix(std::min(end + 1, remaining.size()));
  }
  return parameters;
}

asio::awaitable<HandlerResult> LookupHandler::Handle(
    CallerConnection* caller, const RequestParser& request) {
  auto response = MakeResponse(*caller, FromBeast(request.get().target()));
  const bool keep_alive = request.is_done() && request.get().keep_alive() &&
                          !options_.is_draining();
  response.keep_alive(keep_alive);
  response.prepare_payload();
  ErrorCode error;
  caller->stream.expires_after(kCallerIoTimeout);
  co_await http::async_write(caller->stream, response, Await(&error));
  co_return HandlerResult{keep_alive && !error};
}

http::response<http::string_body> LookupHandler::MakeResponse(
    const CallerConnection& caller, std::string_view target) const {
  const DocumentPtr document = options_.steering->document();
  if (document == nullptr) {
    return MakeErrorResponse(http::status::service_unavailable,
                             "no document yet; ask another host");
  }
  std::map<std::string, std::string> query = ParseQuery(target);
  const ServiceSpec* service = document->FindService(query["service"]);
  if (service == nullptr) {
    return MakeErrorResponse(http::status::not_found,
                             absl::StrCat("no service '", query["service"],
                                          "'; name one with ?service="));
  }
  uint32_t client = caller.client_ipv4;
  if (!query["client"].empty()) {
    ErrorCode error;
    const auto address = asio::ip::make_address_v4(query["client"], error);
    if (error) {
      return MakeErrorResponse(
          http::status::bad_request,
          "client is no IPv4 address; write client=10.1.2.3");
    }
    client = address.to_uint();
  }
  json hosts = json::array();
  for (const MemberRecord& host :
       options_.steering->EntryHosts(service->name, client)) {
    hosts.push_back(HostToJson(host));
  }
  const auto ttl_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(service->lookup_ttl)
          .count();
  json body{{"service", service->name},
            {"hosts", hosts},
            {"ttl_ms", ttl_ms},
            {"revision", options_.steering->document_revision()}};
  const bool wants_key = query["key"] == "1";
  if (wants_key && !options_.is_draining()) {
    const auto key =
        options_.steering->IssueKey(std::chrono::steady_clock::now());
    if (key) {
      body["key"] = *key;
      body["key_host"] = options_.steering->options().traffic_address;
    }
  }
  auto response = MakeJsonResponse(http::status::ok, body);
  if (!wants_key) {
    response.set(http::field::cache_control,
                 absl::StrCat("private, max-age=", ttl_ms / 1000));
  }
  return response;
}

}  // namespace greengage
