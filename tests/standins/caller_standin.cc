// Stand-in for callers. It looks up entry hosts, caches the result for its time
// to live, sends a mix of requests, and checks that each response is complete
// and belongs to the request. Orders carry keys issued by the look-up and are
// repeated with the same key while their outcome is unknown. Prints the results
// as one JSON object at the end.
//
// With --direct it sends to the given address without a look-up. This is the
// baseline for measurements.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>

#include "gg_core/random.h"
#include "gg_http/http_types.h"

namespace greengage::standins {
namespace {

using nlohmann::json;

TimePoint Now() { return std::chrono::steady_clock::now(); }

struct Options {
  std::vector<std::string> lookup_addresses;
  std::string direct;
  std::string service;
  std::string host;
  std::string bind = "127.0.0.1";
  std::string upload_path = "/drawings/1";
  std::string order_path = "/orders";
  std::string browse_path = "/catalogue";
  int workers = 4;
  double seconds = 5;
  int browse_weight = 90;
  int order_weight = 10;
  int upload_weight = 0;
  int64_t upload_bytes = 1'000'000;
  int64_t answer_bytes = 0;
  double upload_pause_ms = 0;
  double think_ms = 0;
  int work_ms = -1;
  uint64_t seed = 1;
  bool sends_only_lookups = false;
};

/** Results of the requests of one kind. */
struct KindStats {
  int64_t sent = 0;
  int64_t whole = 0;
  int64_t not_run = 0;
  int64_t unknown = 0;
  int64_t broken = 0;  // no response, or an incomplete one
  int64_t wrong = 0;   // the response to another request
  std::vector<double> latencies_ms;
};

/** Response to one request. */
struct Response {
  bool is_complete = false;  // the whole response arrived
  int status = 0;
  std::string outcome;
  std::string id;
  std::string body;
};

/** Sends requests one after the other over one connection at a time. */
class Worker {
 public:
  Worker(asio::io_context* context, const Options* options, int worker_index,
         std::map<std::string, KindStats>* stats)
      : context_(context),
        options_(options),
        worker_index_(worker_index),
        stats_(stats),
        random_(options->seed * 1000 + worker_index) {}

  asio::awaitable<void> Run(TimePoint end) {
    while (Now() < end) {
      if (options_->sends_only_lookups) {
        co_await MeasureLookup();
        continue;
      }
      const auto draw = static_cast<int>(
          random_.NextBelow(options_->browse_weight + options_->order_weight +
                            options_->upload_weight));
      if (draw < options_->browse_weight) {
        co_await SendBrowse();
      } else if (draw < options_->browse_weight + options_->order_weight) {
        co_await PlaceOrder();
      } else {
        co_await Upload();
      }
      if (options_->think_ms > 0) {
        co_await SleepFor(FromSeconds(options_->think_ms / 1000));
      }
    }
  }

 private:
  struct Connection {
    explicit Connection(asio::io_context* context) : stream(*context) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::string address;
  };

  std::string NextRequestId() {
    return std::to_string(options_->seed) + "-" +
           std::to_string(worker_index_) + "-" +
           std::to_string(++last_request_number_);
  }

  asio::awaitable<bool> Connect(std::string address) {
    if (connection_ && connection_->address == address) co_return true;
    connection_ = std::make_unique<Connection>(context_);
    connection_->address = address;
    const auto endpoint = ParseEndpoint(address);
    ErrorCode error;
    auto& socket = connection_->stream.socket();
    socket.open(asio::ip::tcp::v4(), error);
    socket.bind({asio::ip::make_address(options_->bind), 0}, error);
    connection_->stream.expires_after(std::chrono::seconds(2));
    co_await connection_->stream.async_connect(*endpoint, Await(&error));
    if (error) connection_.reset();
    if (!error) socket.set_option(asio::ip::tcp::no_delay(true), error);
    co_return connection_ != nullptr;
  }

  /** Sends a request with its whole body and reads the response. */
  asio::awaitable<Response> SendRequest(
      std::string address, http::request<http::string_body> request) {
    Response response;
    if (!co_await Connect(address)) co_return response;
    ErrorCode error;
    connection_->stream.expires_after(std::chrono::seconds(30));
    co_await http::async_write(connection_->stream, request, Await(&error));
    if (!error) response = co_await ReadResponse();
    if (!response.is_complete) connection_.reset();
    co_return response;
  }

  asio::awaitable<Response> ReadResponse() {
    Response response;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kUnlimitedBody);
    ErrorCode error;
    connection_->stream.expires_after(std::chrono::seconds(60));
    co_await http::async_read(connection_->stream, connection_->buffer, parser,
                              Await(&error));
    if (error) co_return response;
    response.is_complete = true;
    response.status = static_cast<int>(parser.get().result_int());
    response.outcome =
        std::string(FromBeast(parser.get()[ToBeast(kOutcomeField)]));
    response.id = std::string(FromBeast(parser.get()["X-Request-Id"]));
    response.body = std::move(parser.get().body());
    if (!parser.get().keep_alive()) connection_.reset();
    co_return response;
  }

  http::request<http::string_body> MakeRequest(http::verb method,
                                               const std::string& path,
                                               const std::string& id) const {
    http::request<http::string_body> request(method, path, 11);
    request.set(http::field::host, options_->host);
    request.set("X-Request-Id", id);
    if (options_->work_ms >= 0) {
      request.set("X-Work-Ms", std::to_string(options_->work_ms));
    }
    if (options_->answer_bytes > 0) {
      request.set("X-Answer-Bytes", std::to_string(options_->answer_bytes));
    }
    return request;
  }

  asio::awaitable<bool> LookUpHosts(bool needs_order_key) {
    if (!options_->direct.empty()) {
      hosts_ = {options_->direct};
      co_return true;
    }
    if (!needs_order_key && Now() < lookup_expires_at_ && !hosts_.empty()) {
      co_return true;
    }
    for (size_t i = 0; i < options_->lookup_addresses.size(); ++i) {
      const std::string& address =
          options_->lookup_addresses[(worker_index_ + next_lookup_++) %
                                     options_->lookup_addresses.size()];
      auto request =
          MakeRequest(http::verb::get,
                      "/.greengage/lookup?service=" + options_->service +
                          (needs_order_key ? "&key=1" : ""),
                      "");
      request.erase("X-Request-Id");
      const Response response =
          co_await SendRequest(address, std::move(request));
      if (!response.is_complete || response.status != 200) continue;
      const json parsed_body = json::parse(response.body, nullptr, false);
      if (!parsed_body.is_object() || parsed_body["hosts"].empty()) continue;
      hosts_.clear();
      for (const json& host : parsed_body["hosts"]) {
        hosts_.push_back(host.at("address").get<std::string>());
      }
      order_key_ = parsed_body.value("key", "");
      order_key_host_ = parsed_body.value("key_host", "");
      lookup_expires_at_ =
          Now() + std::chrono::milliseconds(parsed_body.value("ttl_ms", 0));
      co_return true;
    }
    co_return false;
  }

  asio::awaitable<void> MeasureLookup() {
    KindStats& stats = (*stats_)["lookup"];
    const TimePoint start = Now();
    ++stats.sent;
    auto request = MakeRequest(
        http::verb::get, "/.greengage/lookup?service=" + options_->service, "");
    const Response response =
        co_await SendRequest(options_->lookup_addresses[0], std::move(request));
    RecordResult(&stats, response, "", start);
  }

  void RecordResult(KindStats* stats, const Response& response,
                    const std::string& id, TimePoint start) {
    if (!response.is_complete) {
      ++stats->broken;
    } else if (response.status < 100 || response.status > 599) {
      ++stats->wrong;
    } else if (response.status == 200) {
      const bool is_own_response = response.id == id;
      ++(is_own_response ? stats->whole : stats->wrong);
      stats->latencies_ms.push_back(ToSeconds(Now() - start) * 1000);
    } else if (response.outcome == "not-run") {
      ++stats->not_run;
    } else {
      ++stats->unknown;
    }
  }

  /** Returns true if no response came or the host did not run the request:
      another host may be reachable or have free capacity. */
  static bool ShouldTryNextHost(const Response& response) {
    return !response.is_complete ||
           (response.status == 503 && response.outcome == "not-run");
  }

  asio::awaitable<void> SendBrowse() {
    KindStats& stats = (*stats_)["browse"];
    if (!co_await LookUpHosts(false)) co_return;
    const TimePoint start = Now();
    const std::string id = NextRequestId();
    ++stats.sent;
    Response response;
    for (size_t i = 0; i < hosts_.size() && ShouldTryNextHost(response); ++i) {
      auto request = MakeRequest(http::verb::get, options_->browse_path, id);
      response = co_await SendRequest(hosts_[i], std::move(request));
    }
    RecordResult(&stats, response, id, start);
  }

  asio::awaitable<void> PlaceOrder() {
    KindStats& stats = (*stats_)["order"];
    if (!co_await LookUpHosts(true) ||
        (order_key_.empty() && options_->direct.empty())) {
      co_return;
    }
    const TimePoint start = Now();
    const std::string id = NextRequestId();
    ++stats.sent;
    Response response;
    const std::string key = order_key_;
    std::vector<std::string> hosts = {
        options_->direct.empty() ? order_key_host_ : options_->direct};
    hosts.insert(hosts.end(), hosts_.begin(), hosts_.end());
    for (const std::string& host : hosts) {
      auto request = MakeRequest(http::verb::post, options_->order_path, id);
      request.set(ToBeast(kIdempotencyKeyField), key);
      request.set("X-Order-Id", id);
      request.body() = "{\"order\":\"" + id + "\"}";
      request.prepare_payload();
      response = co_await SendRequest(host, std::move(request));
      const bool is_outcome_known =
          response.is_complete &&
          (response.status == 200 || response.outcome == "not-run");
      if (is_outcome_known) break;
    }
    if (response.is_complete && response.id.empty()) {
      response.id = RequestIdInBody(response.body);
    }
    RecordResult(&stats, response, id, start);
  }

  /** Returns the request ID in a JSON body. The response to a repeated order
      carries the stored body without the header X-Request-Id. */
  static std::string RequestIdInBody(const std::string& body) {
    const json parsed_body = json::parse(body, nullptr, false);
    return parsed_body.is_object() ? parsed_body.value("id", "") : "";
  }

  asio::awaitable<void> Upload() {
    KindStats& stats = (*stats_)["upload"];
    if (!co_await LookUpHosts(false)) co_return;
    const TimePoint start = Now();
    const std::string id = NextRequestId();
    ++stats.sent;
    connection_.reset();
    Response response;
    for (size_t i = 0; i < hosts_.size() && ShouldTryNextHost(response); ++i) {
      connection_.reset();
      if (co_await Connect(hosts_[i])) response = co_await SendUpload(id);
    }
    connection_.reset();
    const json parsed_body = json::parse(response.body, nullptr, false);
    const bool is_body_whole =
        parsed_body.is_object() &&
        parsed_body.value("length", int64_t{-1}) == options_->upload_bytes;
    if (response.is_complete && response.status == 200 && !is_body_whole) {
      response.id = "cut";
    }
    RecordResult(&stats, response, id, start);
  }

  asio::awaitable<Response> SendUpload(std::string id) {
    http::request<http::buffer_body> request(http::verb::put,
                                             options_->upload_path, 11);
    request.set(http::field::host, options_->host);
    request.set("X-Request-Id", id);
    request.content_length(options_->upload_bytes);
    http::request_serializer<http::buffer_body> serializer(request);
    const std::string chunk(kBodyChunkBytes, 'd');
    ErrorCode error;
    int64_t bytes_left = options_->upload_bytes;
    while (bytes_left > 0 && !error) {
      const int64_t size =
          std::min(bytes_left, static_cast<int64_t>(chunk.size()));
      request.body().data = const_cast<char*>(chunk.data());
      request.body().size = size;
      request.body().more = bytes_left > size;
      connection_->stream.expires_after(std::chrono::seconds(60));
      co_await http::async_write(connection_->stream, serializer,
                                 Await(&error));
      if (error == http::error::need_buffer) error = {};
      bytes_left -= size;
      if (options_->upload_pause_ms > 0) {
        co_await SleepFor(FromSeconds(options_->upload_pause_ms / 1000));
      }
    }
    // A refusal may arrive before the whole body was sent.
    co_return co_await ReadResponse();
  }

  asio::io_context* context_;
  const Options* options_;
  int worker_index_;
  std::map<std::string, KindStats>* stats_;
  Random random_;
  std::unique_ptr<Connection> connection_;
  std::vector<std::string> hosts_;
  std::string order_key_;
  std::string order_key_host_;
  TimePoint lookup_expires_at_{};
  size_t next_lookup_ = 0;
  int64_t last_request_number_ = 0;
};

double Percentile(std::vector<double>* values, double fraction) {
  if (values->empty()) return 0;
  std::sort(values->begin(), values->end());
  const auto index =
      static_cast<size_t>(fraction * static_cast<double>(values->size() - 1));
  return (*values)[index];
}

json SummaryJson(std::map<std::string, KindStats>* stats, double seconds) {
  json kinds = json::object();
  for (auto& [kind, row] : *stats) {
    kinds[kind] = {{"sent", row.sent},
                   {"whole", row.whole},
                   {"not_run", row.not_run},
                   {"unknown", row.unknown},
                   {"broken", row.broken},
                   {"wrong", row.wrong},
                   {"per_second", static_cast<double>(row.whole) / seconds},
                   {"p50_ms", Percentile(&row.latencies_ms, 0.5)},
                   {"p99_ms", Percentile(&row.latencies_ms, 0.99)}};
  }
  return kinds;
}

void AddFlags(CLI::App* app, Options* options) {
  app->add_option("--lookup", options->lookup_addresses)->delimiter(',');
  app->add_option("--direct", options->direct);
  app->add_option("--service", options->service);
  app->add_option("--host", options->host);
  app->add_option("--bind", options->bind, "Local address of the connections");
  app->add_option("--browse-path", options->browse_path);
  app->add_option("--order-path", options->order_path);
  app->add_option("--upload-path", options->upload_path);
  app->add_option("--workers", options->workers);
  app->add_option("--seconds", options->seconds);
  app->add_option("--browse", options->browse_weight,
                  "Weight of browse requests in the mix");
  app->add_option("--orders", options->order_weight);
  app->add_option("--uploads", options->upload_weight);
  app->add_option("--upload-bytes", options->upload_bytes);
  app->add_option("--upload-pause-ms", options->upload_pause_ms);
  app->add_option("--answer-bytes", options->answer_bytes);
  app->add_option("--think-ms", options->think_ms);
  app->add_option("--work-ms", options->work_ms);
  app->add_option("--seed", options->seed);
  app->add_flag("--lookups-only", options->sends_only_lookups);
}

}  // namespace
}  // namespace greengage::standins

int main(int argc, char** argv) {
  using greengage::standins::Worker;
  greengage::standins::Options options;
  CLI::App app("Stand-in for callers");
  greengage::standins::AddFlags(&app, &options);
  CLI11_PARSE(app, argc, argv);
  greengage::asio::io_context context{1};
  std::map<std::string, greengage::standins::KindStats> stats;
  std::vector<std::unique_ptr<Worker>> workers;
  const auto end = std::chrono::steady_clock::now() +
                   greengage::FromSeconds(options.seconds);
  for (int i = 0; i < options.workers; ++i) {
    workers.push_back(std::make_unique<Worker>(&context, &options, i, &stats));
    greengage::asio::co_spawn(context, workers.back()->Run(end),
                              greengage::asio::detached);
  }
  context.run();
  std::cout << greengage::standins::SummaryJson(&stats, options.seconds).dump()
            << "\n";
}
