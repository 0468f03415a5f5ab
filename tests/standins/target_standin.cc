// Stand-in for targets. One process listens on any number of addresses; each is
// a target with its own slots. The response describes the request
// (X-Request-Id, method, path, length and hash of the body), so that a caller
// can check that the response is complete and belongs to its request. The runs
// of each order are counted by X-Order-Id.
//
// A request can set the processing time with X-Work-Ms, and with X-Answer-Bytes
// the length of a plain body that replaces the JSON. Faults apply to the whole
// process and are set by POST /control/NAME?value=N:
//   lose=N       the next N requests run, but their responses are lost
//   cut=N        the next N responses end in the middle of the body
//   shed=1|0     every request is refused and reported as not run
//   broken=N     N responses, every fourth, are none (entry/odd_responses.h)
//   short=N      the next N responses have one byte less than Content-Length
//   lose_then_shed=1  the next request runs and its response is lost; all later
//                requests are refused as with shed
//   repeat=1|0   each response is preceded by the connection's previous one
//   interim=1|0  a 102 response precedes each response
//   reset=1      resets the request counts and peaks
// GET /control/stats returns the statistics.

#include <CLI/CLI.hpp>
#include <map>
#include <nlohmann/json.hpp>

#include "entry/odd_responses.h"
#include "gg_core/hash.h"
#include "gg_http/lookup_handler.h"
#include "standins/http_server.h"

namespace greengage::standins {
namespace {

using nlohmann::json;

/** One of so many responses is broken, so that targets are not ejected. */
constexpr int kBrokenResponseInterval = 4;

struct Target {
  std::string address;
  int slots = 0;
  int in_use = 0;
  int peak_in_use = 0;
  int64_t requests = 0;
};

/** The targets of this process and the faults that apply to them. */
class TargetProcess {
 public:
  struct Options {
    int slots = 10;
    int work_ms = 2;
    int cold_ms = 0;  // unused
  };

  explicit TargetProcess(Options options) : options_(options) {}

  void Add(asio::io_context* context, const std::string& address) {
    Target& target = targets_[address];
    target.address = address;
    target.slots = options_.slots;
    Listen(
        context, address,
        [this, &target](ClientConnection* connection, RequestParser* request) {
          return HandleRequest(&target, connection, request);
        });
  }

 private:
  asio::awaitable<bool> HandleRequest(Target* target,
                                      ClientConnection* connection,
                                      RequestParser* request) {
    const std::string path(FromBeast(request->get().target()));
    if (path.rfind("/control/", 0) == 0) {
      co_return co_await HandleControl(connection, request, path);
    }
    connection->repeats_responses = repeats_responses_;
    if (target->in_use >= target->slots || is_shedding_) {
      ++refused_requests_;
      co_return co_await RefuseRequest(connection, request);
    }
    ++target->in_use;
    ++in_use_;
    target->peak_in_use = std::max(target->peak_in_use, target->in_use);
    peak_in_use_ = std::max(peak_in_use_, in_use_);
    ++target->requests;
    const bool keeps_open = co_await RunRequest(connection, request);
    --target->in_use;
    --in_use_;
    co_return keeps_open;
  }

  asio::awaitable<bool> RefuseRequest(ClientConnection* connection,
                                      RequestParser* request) {
    std::string body;
    co_await ReadBody(connection, request, &body);
    http::response<http::string_body> response(
        http::status::service_unavailable, 11);
    response.set(ToBeast(kOutcomeField), "not-run");
    RepeatAttemptId(*request, &response);
    co_return co_await Send(connection, *request, std::move(response));
  }

  asio::awaitable<bool> RunRequest(ClientConnection* connection,
                                   RequestParser* request) {
    const std::string order_id = HeaderField(*request, "X-Order-Id");
    const bool is_upload = request->get().method() == http::verb::put;
    std::string body;
    uint64_t length = 0;
    if (is_upload) {
      if (!co_await DiscardBody(connection, request, &length)) {
        ++truncated_uploads_;
        co_return false;
      }
      ++complete_uploads_;
    } else if (!co_await ReadBody(connection, request, &body)) {
      ++truncated_requests_;
      co_return false;
    }
    if (!is_upload) length = body.size();
    if (!order_id.empty()) ++order_run_counts_[order_id];
    const std::string requested_work_ms = HeaderField(*request, "X-Work-Ms");
    const int work_ms = requested_work_ms.empty()
                            ? options_.work_ms
                            : std::stoi(requested_work_ms);
    co_await SleepFor(std::chrono::milliseconds(work_ms));
    if (ConsumeFault(&responses_to_lose_)) co_return false;
    if (ConsumeFault(&lose_then_shed_count_)) {
      is_shedding_ = true;
      co_return false;
    }
    const json response{{"id", HeaderField(*request, "X-Request-Id")},
                        {"order", order_id},
                        {"method", FromBeast(request->get().method_string())},
                        {"path", FromBeast(request->get().target())},
                        {"length", length},
                        {"hash", Hash64(body)},
                        {"probe", HeaderField(*request, "X-Probe")},
                        {"connection", HeaderField(*request, "Connection")}};
    std::string text = response.dump();
    const std::string requested_bytes = HeaderField(*request, "X-Answer-Bytes");
    if (!requested_bytes.empty()) {
      text.assign(std::stoull(requested_bytes), 'x');
    }
    if (ConsumeFault(&responses_to_truncate_)) {
      co_return co_await SendTruncated(connection, text, 0);
    }
    if (++response_count_ % kBrokenResponseInterval == 0 &&
        ConsumeFault(&responses_to_break_)) {
      co_return co_await SendBroken(connection);
    }
    if (ConsumeFault(&responses_to_shorten_)) {
      co_return co_await SendTruncated(connection, text, 1);
    }
    if (sends_interim_responses_) {
      http::response<http::empty_body> interim(http::status::processing, 11);
      ErrorCode error;
      co_await http::async_write(connection->stream, interim, Await(&error));
    }
    http::response<http::string_body> final_response(http::status::ok, 11);
    final_response.set(http::field::content_type, "application/json");
    final_response.set("X-Request-Id", HeaderField(*request, "X-Request-Id"));
    RepeatAttemptId(*request, &final_response);
    final_response.body() = std::move(text);
    co_return co_await Send(connection, *request, std::move(final_response));
  }

  /** Sends the next of the messages that are no response. */
  asio::awaitable<bool> SendBroken(ClientConnection* connection) {
    const std::string bytes =
        broken_responses_[next_broken_response_++ % broken_responses_.size()];
    ErrorCode error;
    co_await asio::async_write(connection->stream, asio::buffer(bytes),
                               Await(&error));
    co_return false;
  }

  /** Sends a response that is shorter than its Content-Length. With
      `extra_bytes` 0 half of the body is missing; otherwise the whole body is
      sent and Content-Length is larger by `extra_bytes`. */
  static asio::awaitable<bool> SendTruncated(ClientConnection* connection,
                                             std::string text,
                                             size_t extra_bytes) {
    const size_t content_length = text.size() + extra_bytes;
    if (extra_bytes == 0) text.resize(text.size() / 2);
    const std::string bytes =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(content_length) + "\r\n\r\n" + text;
    ErrorCode error;
    co_await asio::async_write(connection->stream, asio::buffer(bytes),
                               Await(&error));
    co_return false;
  }

  static asio::awaitable<bool> DiscardBody(ClientConnection* connection,
                                           RequestParser* request,
                                           uint64_t* length) {
    std::string chunk(kBodyChunkBytes, '\0');
    while (!request->is_done()) {
      request->get().body().data = chunk.data();
      request->get().body().size = chunk.size();
      ErrorCode error;
      co_await http::async_read_some(connection->stream, connection->buffer,
                                     *request, Await(&error));
      if (error == http::error::need_buffer) error = {};
      if (error) co_return false;
      *length += chunk.size() - request->get().body().size;
    }
    co_return true;
  }

  static std::string HeaderField(const RequestParser& request,
                                 std::string_view name) {
    return std::string(FromBeast(request.get()[ToBeast(name)]));
  }

  static void RepeatAttemptId(const RequestParser& request,
                              http::fields* response) {
    response->set(ToBeast(kAttemptField), HeaderField(request, kAttemptField));
  }

  /** Returns true and decrements the count if it is positive. */
  static bool ConsumeFault(int* count) {
    if (*count <= 0) return false;
    --*count;
    return true;
  }

  asio::awaitable<bool> HandleControl(ClientConnection* connection,
                                      RequestParser* request,
                                      std::string path) {
    std::string ignored_body;
    co_await ReadBody(connection, request, &ignored_body);
    std::map<std::string, std::string> query = ParseQuery(path);
    const std::string name = path.substr(9, path.find('?') - 9);
    const int value = std::atoi(query["value"].c_str());
    const std::map<std::string, int*> faults = {
        {"lose", &responses_to_lose_},
        {"cut", &responses_to_truncate_},
        {"short", &responses_to_shorten_},
        {"broken", &responses_to_break_},
        {"lose_then_shed", &lose_then_shed_count_}};
    const auto fault = faults.find(name);
    if (fault != faults.end()) *fault->second = value;
    if (name == "shed") is_shedding_ = value != 0;
    if (name == "repeat") repeats_responses_ = value != 0;
    if (name == "interim") sends_interim_responses_ = value != 0;
    if (name == "reset") {
      for (auto& [address, target] : targets_) {
        target.requests = 0;
        target.peak_in_use = target.in_use;
      }
      peak_in_use_ = in_use_;
      refused_requests_ = 0;
    }
    co_return co_await SendJson(connection, *request, StatsJson().dump());
  }

  json StatsJson() const {
    int max_runs = 0;
    int64_t total_requests = 0;
    for (const auto& [order_id, runs] : order_run_counts_) {
      max_runs = std::max(max_runs, runs);
    }
    json targets_json = json::object();
    for (const auto& [address, target] : targets_) {
      total_requests += target.requests;
      targets_json[address] = {{"requests", target.requests},
                               {"peak", target.peak_in_use},
                               {"in_use", target.in_use}};
    }
    return {{"orders", order_run_counts_.size()},
            {"orders_most_runs", max_runs},
            {"runs", order_run_counts_},
            {"uploads_whole", complete_uploads_},
            {"uploads_cut", truncated_uploads_},
            {"requests_cut", truncated_requests_},
            {"shed", refused_requests_},
            {"requests", total_requests},
            {"peak", peak_in_use_},
            {"in_use", in_use_},
            {"targets", targets_json}};
  }

  Options options_;
  std::map<std::string, Target> targets_;
  std::map<std::string, int> order_run_counts_;
  int64_t complete_uploads_ = 0;
  int64_t truncated_uploads_ = 0;
  int64_t truncated_requests_ = 0;
  int64_t refused_requests_ = 0;
  int in_use_ = 0;
  int peak_in_use_ = 0;
  int responses_to_lose_ = 0;
  int lose_then_shed_count_ = 0;
  int responses_to_truncate_ = 0;
  int responses_to_shorten_ = 0;
  int responses_to_break_ = 0;
  int64_t response_count_ = 0;
  const std::vector<std::string> broken_responses_ = BrokenResponses();
  size_t next_broken_response_ = 0;
  bool is_shedding_ = false;
  bool sends_interim_responses_ = false;
  bool repeats_responses_ = false;
};

}  // namespace
}  // namespace greengage::standins

int main(int argc, char** argv) {
  CLI::App app("Stand-in for targets");
  greengage::standins::TargetProcess::Options options;
  std::vector<std::string> addresses;
  app.add_option("--listen", addresses, "ip:port of each target")
      ->required()
      ->delimiter(',');
  app.add_option("--slots", options.slots,
                 "Concurrent requests of each target");
  app.add_option("--work-ms", options.work_ms, "Processing time of a request");
  CLI11_PARSE(app, argc, argv);
  greengage::asio::io_context context{1};
  greengage::standins::TargetProcess targets(options);
  for (const std::string& address : addresses) targets.Add(&context, address);
  context.run();
}
