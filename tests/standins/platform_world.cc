#include "standins/platform_world.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace greengage::standins {
namespace {

using nlohmann::json;

constexpr Duration kWatchPoll = std::chrono::milliseconds(10);

TimePoint Now() { return std::chrono::steady_clock::now(); }

std::string Query(const std::string& target, const std::string& name) {
  const size_t mark = target.find('?');
  if (mark == std::string::npos) return {};
  for (const absl::string_view part :
       absl::StrSplit(target.substr(mark + 1), '&')) {
    const std::pair<std::string, std::string> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    if (pair.first == name) return pair.second;
  }
  return {};
}

std::string Field(const RequestParser& request, const char* name) {
  return std::string(FromBeast(request.get()[name]));
}

http::response<http::string_body> Status(http::status status) {
  return {status, 11};
}

json RouteJson(const std::string& name, const std::string& kind,
               int time_limit_ms) {
  return {{"entryKind", "routes"},
          {"metadata", {{"name", name}}},
          {"spec",
           {{"host", "shop.example"},
            {"prefix", "/" + name + "/"},
            {"routeKind", kind},
            {"timeoutMs", time_limit_ms},
            {"latencyTargetMs", 600},
            {"priority", 1},
            {"service", "shop"},
            {"attempts", 2},
            {"sticky", true},
            {"homeRegions", json::array()}}}};
}

}  // namespace

PlatformStandin::PlatformStandin(std::string store_address, uint64_t seed)
    : random_(seed) {
  Listen(&io_, store_address, [this](Peer* peer, RequestParser* request) {
    return HandleStore(peer, request);
  });
  thread_ = std::thread([this] {
    const auto work = asio::make_work_guard(io_);
    io_.run();
  });
}

PlatformStandin::~PlatformStandin() {
  io_.stop();
  thread_.join();
}

void PlatformStandin::AddTarget(const std::string& id,
                                const std::string& address,
                                const std::string& zone,
                                const std::string& shown_address) {
  {
    const std::lock_guard lock(mutex_);
    const json entry = {
        {"service", "shop"},
        {"addr", shown_address.empty() ? address : shown_address},
        {"zone", zone},
        {"version", "v1"},
        {"slots", 8},
        {"coldLeftMs", 0},
        {"seq", 1},
        {"born", 1'000'000}};
    targets_[id] = {id, address, entry.dump()};
  }
  asio::post(io_, [this, id, address] {
    Listen(&io_, address, [this, id](Peer* peer, RequestParser* request) {
      return HandleTarget(id, peer, request);
    });
  });
  PutEntry(id, "ready");
}

void PlatformStandin::PutEntry(const std::string& id,
                               const std::string& state) {
  json entry;
  {
    const std::lock_guard lock(mutex_);
    entry = json::parse(targets_.at(id).entry);
  }
  entry["state"] = state;
  Put("servers/" + id, entry.dump());
}

void PlatformStandin::SetDraining(const std::string& id) {
  PutEntry(id, "draining");
  const std::lock_guard lock(mutex_);
  left_at_[id] = Now();
}

void PlatformStandin::DeregisterTarget(const std::string& id) {
  Erase("servers/" + id);
  const std::lock_guard lock(mutex_);
  left_at_.try_emplace(id, Now());
}

void PlatformStandin::SetFaults(const TargetFaults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

void PlatformStandin::PutConfig(uint64_t version, int time_limit_ms,
                                int extra_routes) {
  json resources = json::array();
  resources.push_back(RouteJson("read", "idempotent", time_limit_ms));
  resources.push_back(RouteJson("order", "non_idempotent", time_limit_ms));
  for (int i = 1; i <= extra_routes; ++i) {
    resources.push_back(
        RouteJson(absl::StrCat("extra", i), "idempotent", time_limit_ms));
  }
  resources.push_back({{"entryKind", "services"},
                       {"metadata", {{"name", "shop"}}},
                       {"spec", {{"coldS", 0.1}, {"coldPerS", 50}}}});
  char digits[17];
  std::snprintf(digits, sizeof(digits), "%08llx",
                static_cast<unsigned long long>(version));
  Put("op/config",
      json({{"version", digits}, {"resources", resources}}).dump());
}

void PlatformStandin::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Store(key, Item{.value = value});
}

void PlatformStandin::Erase(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.count(key) != 0) Store(key, std::nullopt);
}

std::optional<std::string> PlatformStandin::Get(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  if (found == items_.end()) return std::nullopt;
  return found->second.value;
}

void PlatformStandin::SetStoreDown(bool is_down) { is_store_down_ = is_down; }

void PlatformStandin::Compact() {
  const std::lock_guard lock(mutex_);
  compacted_ = revision_;
}

int PlatformStandin::RunCount(const std::string& request_id) const {
  const std::lock_guard lock(mutex_);
  const auto found = runs_.find(request_id);
  return found == runs_.end() ? 0 : found->second;
}

int PlatformStandin::CountLateRequests(Duration grace) const {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(std::count_if(
      arrivals_after_leaving_.begin(), arrivals_after_leaving_.end(),
      [&](Duration after) { return after > grace; }));
}

/** Changes one key; the lock is held. */
void PlatformStandin::Store(const std::string& key, std::optional<Item> item) {
  ++revision_;
  if (item) {
    item->revision = revision_;
    items_[key] = *item;
  } else {
    items_.erase(key);
  }
  history_.push_back({key, std::move(item), revision_});
}

/** Ends leases that were not renewed; the lock is held. */
void PlatformStandin::ExpireLeases() {
  const TimePoint now = Now();
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == it->first) keys.push_back(key);
    }
    for (const std::string& key : keys) Store(key, std::nullopt);
    it = leases_.erase(it);
  }
}

std::string PlatformStandin::RangeJson(const std::string& after) const {
  json items = json::array();
  for (const auto& [key, item] : items_) {
    if (key <= after) continue;
    items.push_back({{"key", key},
                     {"value", absl::Base64Escape(item.value)},
                     {"rev", item.revision},
                     {"created", item.revision},
                     {"lease", item.lease}});
  }
  return json({{"items", items}, {"hasMore", false}, {"asOf", revision_}})
      .dump();
}

std::optional<std::string> PlatformStandin::EventsJson(uint64_t after) const {
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision <= after) continue;
    json event = {{"key", change.key}, {"rev", change.revision}};
    if (change.item) {
      event["value"] = absl::Base64Escape(change.item->value);
      event["created"] = change.revision;
      event["lease"] = change.item->lease;
    } else {
      event["tombstone"] = true;
    }
    events.push_back(std::move(event));
  }
  if (events.empty()) return std::nullopt;
  return json({{"events", events}, {"asOf", revision_}}).dump();
}

void PlatformStandin::Transact(const std::string& body) {
  const json call = json::parse(body);
  for (const json& put : call.at("puts")) {
    std::string value;
    absl::Base64Unescape(put.at("value").get<std::string>(), &value);
    Store(put.at("key"), Item{.value = value, .lease = put.value("lease", 0U)});
  }
  for (const json& key : call.at("deletes")) Store(key, std::nullopt);
}

asio::awaitable<bool> PlatformStandin::HandleStore(Peer* peer,
                                                   RequestParser* request) {
  std::string body;
  if (!co_await ReadBody(peer, request, &body)) co_return false;
  ++store_calls_;
  const std::string target(FromBeast(request->get().target()));
  const std::string path = target.substr(0, target.find('?'));
  if (is_store_down_) {
    co_return co_await Send(peer, *request,
                            Status(http::status::service_unavailable));
  }
  if (path == "/-/kv-watch") {
    co_return co_await Watch(peer, *request,
                             std::stoull(Query(target, "after")),
                             std::stoi(Query(target, "waitMs")));
  }
  std::string answer = "{}";
  http::status status = http::status::ok;
  {
    const std::lock_guard lock(mutex_);
    ExpireLeases();
    if (path == "/-/kv-range") {
      answer = RangeJson(Query(target, "after"));
    } else if (path == "/-/kv-txn") {
      Transact(body);
      answer = json({{"rev", revision_}}).dump();
    } else if (path == "/-/kv-lease") {
      const auto time =
          std::chrono::milliseconds(json::parse(body).at("ttlMs").get<int>());
      leases_[++next_lease_] = Now() + time;
      lease_times_[next_lease_] = time;
      answer = json({{"lease", next_lease_}, {"ttlMs", time.count()}}).dump();
    } else if (path.starts_with("/-/kv-keep/")) {
      const uint64_t lease = std::stoull(path.substr(11));
      if (leases_.count(lease) == 0) {
        status = http::status::not_found;
      } else {
        leases_[lease] = Now() + lease_times_[lease];
      }
    } else if (path.starts_with("/-/kv-lease-end/")) {
      leases_[std::stoull(path.substr(16))] = Now();
      ExpireLeases();
    } else {
      status = http::status::bad_request;
    }
  }
  http::response<http::string_body> reply(status, 11);
  reply.set(http::field::content_type, "application/json");
  reply.body() = answer;
  co_return co_await Send(peer, *request, std::move(reply));
}

asio::awaitable<bool> PlatformStandin::Watch(Peer* peer,
                                             const RequestParser& request,
                                             uint64_t after, int wait_ms) {
  const TimePoint end = Now() + std::chrono::milliseconds(wait_ms);
  for (;;) {
    if (is_store_down_) co_return false;
    std::optional<std::string> events;
    bool is_gone = false;
    {
      const std::lock_guard lock(mutex_);
      ExpireLeases();
      is_gone = after < compacted_;
      events = EventsJson(after);
      if (!events && Now() >= end) {
        events = json({{"events", json::array()}, {"asOf", revision_}}).dump();
      }
    }
    if (is_gone)
      co_return co_await Send(peer, request, Status(http::status::gone));
    if (events) co_return co_await SendJson(peer, request, *events);
    co_await SleepFor(kWatchPoll);
  }
}

/** Returns what to do wrong: what was asked for, or by chance. */
std::string PlatformStandin::Draw(const std::string& behaviour) {
  const std::lock_guard lock(mutex_);
  if (!behaviour.empty()) return behaviour;
  const double draw = random_.NextDouble();
  double bound = faults_.lose_answer;
  if (draw < bound) return "lose";
  if (draw < (bound += faults_.shed)) return "shed";
  if (draw < (bound += faults_.fail)) return "fail";
  if (draw < (bound += faults_.truncate)) return "truncate";
  if (draw < (bound += faults_.cross)) return "cross";
  return {};
}

asio::awaitable<bool> PlatformStandin::HandleTarget(std::string id, Peer* peer,
                                                    RequestParser* request) {
  std::string body;
  if (!co_await ReadBody(peer, request, &body)) co_return false;
  const std::string path(FromBeast(request->get().target()));
  const std::string asked = path.substr(path.rfind('/') + 1);
  const std::string behaviour = Draw(asked);
  if (Field(*request, "Expect-Instance") != id) {
    co_return co_await Send(peer, *request,
                            Status(http::status::misdirected_request));
  }
  {
    const std::lock_guard lock(mutex_);
    const auto left = left_at_.find(id);
    if (left != left_at_.end()) {
      arrivals_after_leaving_.push_back(Now() - left->second);
    }
    if (behaviour != "shed") ++runs_[Field(*request, "Request-Id")];
  }
  co_return co_await AnswerAsTarget(id, behaviour, peer, request);
}

asio::awaitable<bool> PlatformStandin::AnswerAsTarget(std::string id,
                                                      std::string behaviour,
                                                      Peer* peer,
                                                      RequestParser* request) {
  int work_ms = 0;
  {
    const std::lock_guard lock(mutex_);
    work_ms = behaviour == "slow" ? 3000 : faults_.work_ms;
  }
  const std::string request_id = Field(*request, "Request-Id");
  http::response<http::string_body> answer(http::status::ok, 11);
  answer.set("Request-Id", request_id);
  if (behaviour == "shed") {
    answer.result(http::status::service_unavailable);
    answer.set("Not-Run", "1");
    co_return co_await Send(peer, *request, std::move(answer));
  }
  co_await SleepFor(std::chrono::milliseconds(work_ms));
  if (behaviour == "lose") co_return false;
  answer.body() = absl::StrCat("whole ", request_id, " of ", id);
  answer.set("Upstream-Load", "1,0,8");
  if (behaviour != "unsigned") answer.set("Upstream-Stamp", "stamp-" + id);
  if (behaviour == "fail") answer.result(http::status::internal_server_error);
  if (behaviour == "cross") answer.set("Request-Id", "0000");
  if (behaviour == "encoded") answer.set("Content-Encoding", "gzip");
  if (behaviour == "truncate" || behaviour == "extra" ||
      behaviour == "unframed") {
    std::string bytes =
        absl::StrCat("HTTP/1.1 200 OK\r\nRequest-Id: ", request_id,
                     "\r\nUpstream-Stamp: stamp\r\n");
    if (behaviour != "unframed") {
      const size_t length =
          answer.body().size() + (behaviour == "truncate" ? 10 : 0);
      absl::StrAppend(&bytes, "Content-Length: ", length, "\r\n");
    }
    absl::StrAppend(&bytes, "\r\n", answer.body());
    if (behaviour == "extra") {
      absl::StrAppend(&bytes, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nX");
    }
    ErrorCode error;
    co_await asio::async_write(peer->stream, asio::buffer(bytes),
                               Await(&error));
    co_return behaviour == "extra" && !error;
  }
  co_return co_await Send(peer, *request, std::move(answer));
}

}  // namespace greengage::standins
