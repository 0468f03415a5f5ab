// Responses that greengaged must not take for complete ones.

#include "gg_http/target_exchange.h"

#include <vector>

#include "entry/odd_peers.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

constexpr char kTargetAddress[] = "127.0.7.6:18213";
constexpr char kCallerAddress[] = "127.0.7.6:18214";

/** Doesn't fit into the buffers of a connection. */
constexpr size_t kUploadBytes = 32 * 1024 * 1024;

/** Runs exchanges with a target that sends given bytes and closes. */
TEST_GROUP(TargetExchange) {
  asio::io_context io;
  asio::ip::tcp::acceptor target_acceptor{io, *ParseEndpoint(kTargetAddress)};
  asio::ip::tcp::acceptor caller_acceptor{io, *ParseEndpoint(kCallerAddress)};
  absl::Status status;
  int response_status = 0;
  std::string body;
  std::string response_outcome;
  std::string relayed;    // bytes that the caller of an upload has received
  ErrorCode relayed_end;  // end of the caller's connection; OK if it is kept
  size_t upload_bytes = kUploadBytes;
  std::string upload_version = "HTTP/1.1";
  bool is_reused_connection = false;
  bool is_target_reusable = false;

  asio::awaitable<void> ServeTarget(std::vector<std::string> parts) {
    ErrorCode error;
    asio::ip::tcp::socket socket(io);
    co_await target_acceptor.async_accept(socket, Await(&error));
    std::string request(1024, '\0');
    co_await socket.async_read_some(asio::buffer(request), Await(&error));
    for (const std::string& part : parts) {
      co_await asio::async_write(socket, asio::buffer(part), Await(&error));
      if (parts.size() > 1) co_await SleepFor(std::chrono::milliseconds(5));
    }
  }

  asio::awaitable<void> RunExchange() {
    ErrorCode error;
    asio::ip::tcp::socket caller_side(io);
    caller_side.connect(*ParseEndpoint(kCallerAddress));
    CallerConnection caller(caller_acceptor.accept());
    asio::write(caller_side,
                asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    RequestParser request;
    co_await http::async_read_header(caller.stream, caller.buffer, request,
                                     Await(&error));
    TargetConnection target(io.get_executor());
    co_await target.stream.async_connect(*ParseEndpoint(kTargetAddress),
                                         Await(&error));
    const std::string no_body;
    TargetExchange exchange({.caller = &caller,
                             .request = &request,
                             .target = &target,
                             .buffered_request_body = &no_body,
                             .attempt_id = "id-1",
                             .is_reused_connection = is_reused_connection,
                             .cancels_on_disconnect = false});
    status = co_await exchange.SendRequest();
    if (status.ok()) status = co_await exchange.ReadResponseHeader();
    if (status.ok()) status = co_await exchange.BufferResponseBody();
    is_target_reusable = exchange.is_target_reusable();
    if (!status.ok()) co_return;
    response_status = static_cast<int>(exchange.response().result_int());
    body = exchange.buffered_body();
    response_outcome = FromBeast(exchange.response()[ToBeast(kOutcomeField)]);
  }

  asio::awaitable<void> SendUpload(asio::ip::tcp::socket * caller_side) {
    const std::string text =
        "PUT / " + upload_version +
        "\r\nHost: a\r\nContent-Length: " + std::to_string(upload_bytes) +
        "\r\n\r\n" + std::string(upload_bytes, 'u');
    ErrorCode error;
    co_await asio::async_write(*caller_side, asio::buffer(text), Await(&error));
  }

  /** Runs an upload as Forwarder does. */
  asio::awaitable<void> RunUploadExchange(bool is_body_buffered) {
    ErrorCode error;
    asio::ip::tcp::socket caller_side(io);
    caller_side.connect(*ParseEndpoint(kCallerAddress));
    CallerConnection caller(caller_acceptor.accept());
    asio::co_spawn(io, SendUpload(&caller_side), asio::detached);
    RequestParser request;
    request.body_limit(kUnlimitedBody);
    co_await http::async_read_header(caller.stream, caller.buffer, request,
                                     Await(&error));
    TargetConnection target(io.get_executor());
    co_await target.stream.async_connect(*ParseEndpoint(kTargetAddress),
                                         Await(&error));
    const std::string upload(upload_bytes, 'u');
    TargetExchange exchange(
        {.caller = &caller,
         .request = &request,
         .target = &target,
         .buffered_request_body = is_body_buffered ? &upload : nullptr,
         .cancels_on_disconnect = false});
    status = co_await exchange.SendRequest();
    const absl::Status read_status = co_await exchange.ReadResponseHeader();
    if (status.ok() || read_status.ok()) status = read_status;
    if (status.ok() && is_body_buffered) {
      status = co_await exchange.BufferResponseBody();
    }
    if (!status.ok()) co_return;
    bool is_complete = true;
    HandlerResult result;
    if (exchange.is_fully_buffered()) {
      result = co_await exchange.SendBufferedResponse(false);
    } else {
      result = co_await exchange.RelayResponse(false, &is_complete);
    }
    if (!is_complete) status = absl::UnknownError("the response was cut");
    if (!result.keep_alive) {
      caller.stream.socket().shutdown(asio::socket_base::shutdown_send, error);
    }
    relayed.resize(caller_side.available(error));
    caller_side.read_some(asio::buffer(relayed), relayed_end);
    char byte = 0;
    if (!result.keep_alive && !relayed_end) {
      caller_side.read_some(asio::buffer(&byte, 1), relayed_end);
    }
  }

  /** Returns whether the response of a target that responds early to an upload
      was taken for a complete one. */
  bool IsUploadAnswered(ConnectionEnd end, Duration pause,
                        bool is_body_buffered) {
    status = absl::InternalError("not run");
    io.restart();
    asio::co_spawn(io, ServeEarly(&target_acceptor, end, pause),
                   asio::detached);
    asio::co_spawn(io, RunUploadExchange(is_body_buffered), asio::detached);
    io.run_for(std::chrono::seconds(5));
    return status.ok();
  }

  /** Returns whether the target's bytes were taken for a complete response. */
  bool IsResponse(const std::vector<std::string>& parts) {
    status = absl::InternalError("not run");
    io.restart();
    asio::co_spawn(io, ServeTarget(parts), asio::detached);
    asio::co_spawn(io, RunExchange(), asio::detached);
    io.run_for(std::chrono::seconds(5));
    return status.ok();
  }

  /** Checks that none of `responses` is taken for a response, on a new or a
      kept connection. */
  void CheckAreNoResponses(const std::vector<std::string>& responses) {
    for (const std::string& response : responses) {
      is_reused_connection = false;
      CHECK_FALSE_TEXT(IsResponse({response}), response.c_str());
      CHECK_FALSE_TEXT(is_target_reusable, response.c_str());
      is_reused_connection = true;
      CHECK_FALSE_TEXT(IsResponse({response}), response.c_str());
      CHECK_FALSE_TEXT(is_target_reusable, response.c_str());
    }
  }
};

TEST(TargetExchange, InvalidStatusLine_IsNoResponse) {
  CheckAreNoResponses(ResponsesWithInvalidStatusLines());
}

TEST(TargetExchange, InvalidField_IsNoResponse) {
  CheckAreNoResponses(ResponsesWithInvalidFields());
  CheckAreNoResponses(ResponsesWithInvalidTrailers());
}

// Reported by another operator: a target closed its connection in the middle of
// the head, and callers got a 200 with a short body.
TEST(TargetExchange, ResponseCutAtAnyByte_IsNoResponse) {
  for (const std::string& response : FramedResponses()) {
    for (size_t size = 0; size < response.size(); ++size) {
      CHECK_FALSE(IsResponse({response.substr(0, size)}));
    }
    CHECK_TRUE(IsResponse({response}));
    STRCMP_EQUAL("hello", body.c_str());
  }
}

TEST(TargetExchange, HeadCutAtAnyByte_IsNoResponse) {
  const std::string head = std::string(kHead) + "Connection: close\r\n\r\n";
  for (size_t size = 0; size < head.size(); ++size) {
    CHECK_FALSE(IsResponse({head.substr(0, size)}));
  }
  CHECK_TRUE(IsResponse({head}));
}

TEST(TargetExchange, InvalidFraming_IsNoResponse) {
  CheckAreNoResponses(ResponsesWithInvalidFraming());
  CheckAreNoResponses(ResponsesWithInvalidChunks());
}

TEST(TargetExchange, FieldsOfATrailer_AreNotThoseOfTheHeader) {
  const std::string response = ResponseWithTrailer(
      "Request-Id: id-1\r\n",
      "Greengage-Attempt: id-1\r\nGreengage-Outcome: not-run\r\n");
  CHECK_TRUE(IsResponse({response}));
  STRCMP_EQUAL("hello", body.c_str());
  STRCMP_EQUAL("", response_outcome.c_str());
  CHECK_FALSE(is_target_reusable);  // the header repeats no attempt
}

// As on greengage_entry. A body without end is passed on as it arrives.
TEST(TargetExchange, ResponseWithoutEnd_FailsTheExchangeEarly) {
  for (const EndlessMessage& message : EndlessResponses()) {
    size_t sent_bytes = 0;
    status = absl::InternalError("not run");
    io.restart();
    asio::co_spawn(io, SendWithoutEnd(&target_acceptor, message, &sent_bytes),
                   asio::detached);
    asio::co_spawn(io, RunExchange(), asio::detached);
    io.run_for(std::chrono::seconds(5));
    CHECK_FALSE_TEXT(status.ok(), message.Name().c_str());
    CHECK_TRUE_TEXT(MessageOf(status) != "not run", message.Name().c_str());
    CHECK_TRUE_TEXT(sent_bytes < kMaxEndlessBytes, message.Name().c_str());
  }
}

// What follows such a response would be taken for a part of the next one.
TEST(TargetExchange, BodilessResponseToAnUpload_IsRelayedWithoutABody) {
  upload_bytes = 5;
  std::vector<std::string> responses = BodilessResponsesThatAnnounceABody();
  responses.push_back("HTTP/1.1 204 No Content\r\n\r\n");
  responses.push_back("HTTP/1.1 304 Not Modified\r\n\r\n");
  for (const std::string& response : responses) {
    io.restart();
    asio::co_spawn(io, ServeTarget({response}), asio::detached);
    asio::co_spawn(io, RunUploadExchange(false), asio::detached);
    io.run_for(std::chrono::seconds(5));
    CHECK_TRUE_TEXT(status.ok(), response.c_str());
    CHECK_TRUE_TEXT(relayed.ends_with("\r\n\r\n"), relayed.c_str());
    LONGS_EQUAL(relayed.size() - 4, relayed.find("\r\n\r\n"));
    CHECK_FALSE(Contains(relayed, "Transfer-Encoding"));
    CHECK_FALSE(Contains(relayed, "Content-Length"));
  }
}

// HTTP/1.0 has no chunks; the end of the connection tells whether the response
// is complete.
TEST(TargetExchange, UnframedResponseToACallerOfHttp10_EndsWithTheConnection) {
  upload_bytes = 5;
  upload_version = "HTTP/1.0";
  CHECK_TRUE(IsUploadAnswered(ConnectionEnd::kClose, Duration::zero(), false));
  CHECK_FALSE(Contains(relayed, "Transfer-Encoding"));
  CHECK_TRUE_TEXT(relayed.ends_with("\r\n\r\nhello"), relayed.c_str());
  CHECK_TRUE(relayed_end == asio::error::eof);
  CHECK_FALSE(IsUploadAnswered(ConnectionEnd::kReset,
                               std::chrono::milliseconds(20), false));
  CHECK_TRUE(relayed_end == asio::error::connection_reset);
}

// A body that arrives after all would be taken for the next response.
TEST(TargetExchange, BodilessResponseThatAnnouncesABody_EndsTheConnection) {
  for (const std::string& response : BodilessResponsesThatAnnounceABody()) {
    CHECK_TRUE(IsResponse({response}));
    CHECK_FALSE(is_target_reusable);
  }
  CHECK_TRUE(IsResponse({ResponseWithStatusLine("HTTP/1.1 204 OK", "")}));
  CHECK_TRUE(is_target_reusable);
}

// As on greengage_entry: the part of the body before the reset was taken for
// the whole one.
TEST(TargetExchange, UnframedResponseResetDuringAnUpload_IsNoResponse) {
  for (const bool is_body_buffered : {false, true}) {
    for (const int pause_ms : {0, 1, 20}) {
      CHECK_FALSE(IsUploadAnswered(ConnectionEnd::kReset,
                                   std::chrono::milliseconds(pause_ms),
                                   is_body_buffered));
    }
  }
}

TEST(TargetExchange, UnframedResponseClosedDuringAnUpload_IsComplete) {
  CHECK_TRUE(IsUploadAnswered(ConnectionEnd::kClose,
                              std::chrono::milliseconds(20), false));
}

// As review/2 on greengage_entry: some of these ended the process.
TEST(TargetExchange, OddEndOfAChunkedResponse_FailsTheExchangeOnly) {
  for (const std::vector<std::string>& parts : OddChunkedResponses()) {
    CHECK_FALSE(IsResponse(parts));
  }
}

// As review/4 on greengage_entry: a 103 was passed on as the answer.
TEST(TargetExchange, InterimResponses_AreFollowedByTheResponse) {
  const std::string response = FramedResponses().front();
  for (const char* interim_status : {"100", "102", "103", "110", "199"}) {
    const std::string interim = InterimHead(interim_status);
    CHECK_TRUE(IsResponse({interim + interim + response}));
    LONGS_EQUAL(200, response_status);
    CHECK_TRUE(IsResponse({interim, response}));
    CHECK_FALSE(IsResponse({interim}));
  }
  CHECK_FALSE(IsResponse({InterimHead("101") + response}));
}

}  // namespace
}  // namespace greengage
