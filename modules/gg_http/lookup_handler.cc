#include "gg_http/lookup_handler.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace greengage {
namespace {

using nlohmann::json;

http::response<http::string_body> JsonAnswer(http::status status,
                                             const json& body) {
  http::response<http::string_body> answer(status, 11);
  answer.set(http::field::content_type, "application/json");
  answer.set(http::field::cache_control, "no-store");
  answer.body() = body.dump();
  return answer;
}

http::response<http::string_body> ErrorAnswer(http::status status,
                                              const std::string& text) {
  return JsonAnswer(status, {{"error", text}});
}

json HostJson(const MemberRecord& host) {
  return {{"address", host.traffic_address},
          {"zone", host.zone},
          {"region", host.region}};
}

}  // namespace

std::map<std::string, std::string> ParseQuery(std::string_view target) {
  std::map<std::string, std::string> parameters;
  const size_t mark = target.find('?');
  std::string_view rest =
      mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    const size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view item = rest.substr(0, end);
    const size_t equals = std::min(item.find('='), item.size());
    parameters[std::string(item.substr(0, equals))] =
        equals < item.size() ? std::string(item.substr(equals + 1)) : "";
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return parameters;
}

asio::awaitable<HandledRequest> LookupHandler::Handle(
    CallerConnection* caller, const RequestParser& request) {
  auto answer = Answer(*caller, FromBeast(request.get().target()));
  const bool keep_alive = request.is_done() && request.get().keep_alive() &&
                          !options_.is_draining();
  answer.keep_alive(keep_alive);
  answer.prepare_payload();
  ErrorCode error;
  caller->stream.expires_after(kCallerStallLimit);
  co_await http::async_write(caller->stream, answer, Await(&error));
  co_return HandledRequest{keep_alive && !error};
}

http::response<http::string_body> LookupHandler::Answer(
    const CallerConnection& caller, std::string_view target) const {
  const DocumentPtr document = options_.steering->document();
  if (document == nullptr) {
    return ErrorAnswer(http::status::service_unavailable,
                       "no document yet; ask another host");
  }
  std::map<std::string, std::string> query = ParseQuery(target);
  const ServiceSpec* service = document->FindService(query["service"]);
  if (service == nullptr) {
    return ErrorAnswer(http::status::not_found,
                       absl::StrCat("no service '", query["service"],
                                    "'; name one with ?service="));
  }
  uint32_t client = caller.client;
  if (!query["client"].empty()) {
    ErrorCode error;
    const auto address = asio::ip::make_address_v4(query["client"], error);
    if (error) {
      return ErrorAnswer(http::status::bad_request,
                         "client is no IPv4 address; write client=10.1.2.3");
    }
    client = address.to_uint();
  }
  json hosts = json::array();
  for (const MemberRecord& host :
       options_.steering->EntryHosts(service->name, client)) {
    hosts.push_back(HostJson(host));
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
  auto answer = JsonAnswer(http::status::ok, body);
  if (!wants_key) {
    answer.set(http::field::cache_control,
               absl::StrCat("private, max-age=", ttl_ms / 1000));
  }
  return answer;
}

}  // namespace greengage
