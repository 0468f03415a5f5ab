// Responses of the key-value service that must end a call, not the process.

#include <boost/asio/write.hpp>

#include "absl/strings/str_cat.h"
#include "entry/odd_peers.h"
#include "gg_store/store_client.h"
#include "platform/platform_store.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

constexpr char kStoreAddress[] = "127.0.7.6:18215";

class StoreResponseFixture : public Utest {
 public:
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor{io, *ParseEndpoint(kStoreAddress)};
  int connection_count = 0;

  /** Responds to each request on each connection with `parts`, and closes the
      connection if `closes`. */
  asio::awaitable<void> Serve(std::vector<std::string> parts, bool closes) {
    for (;;) {
      ErrorCode error;
      asio::ip::tcp::socket socket(io);
      co_await acceptor.async_accept(socket, Await(&error));
      if (error) co_return;
      ++connection_count;
      std::string request(4096, '\0');
      do {
        co_await socket.async_read_some(asio::buffer(request), Await(&error));
        for (const std::string& part : parts) {
          if (error) break;
          co_await asio::async_write(socket, asio::buffer(part), Await(&error));
          if (parts.size() == 1) continue;
          co_await SleepFor(std::chrono::milliseconds(5));
        }
      } while (!error && !closes);
    }
  }

  /** Runs `call` against a service that responds with `parts`.
      @return whether the call returned; its result is in `status`. */
  template <typename MakeCall>
  absl::Status Run(const std::vector<std::string>& parts, bool closes,
                   const MakeCall& call) {
    absl::Status status = absl::InternalError("did not return");
    io.restart();
    asio::co_spawn(io, Serve(parts, closes), asio::detached);
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> { status = co_await call(); },
        [this](std::exception_ptr) { io.stop(); });
    io.run_for(std::chrono::seconds(5));
    acceptor.cancel();
    io.restart();
    io.run_for(std::chrono::milliseconds(10));
    CHECK_TRUE_TEXT(MessageOf(status) != "did not return", "did not return");
    return status;
  }
};

TEST_GROUP_BASE(StoreResponse, StoreResponseFixture){};

/** Bodies that the clients accept. */
constexpr char kPage[] = R"({"items":[],"asOf":7})";
constexpr char kRange[] = R"({"header":{"revision":"7"},"kvs":[]})";
constexpr char kWatchLine[] =
    R"({"result":{"header":{"revision":"7"},"events":[]}})"
    "\n";

/** Each call of both clients, against a service that responds with given
    bytes. */
TEST_GROUP_BASE(StoreCall, StoreResponseFixture) {
  absl::Status ReadPage(const std::string& response) {
    platform::PlatformStore store(&io, {.address = kStoreAddress});
    return Run({response}, true, [&]() -> asio::awaitable<absl::Status> {
      auto page = co_await store.ReadPage("op/", "");
      co_return page.status();
    });
  }

  absl::Status Put(const std::string& response) {
    platform::PlatformStore store(&io, {.address = kStoreAddress});
    // GCC 12 destroys a temporary argument of the awaited call twice.
    const KeyValueWrite write{.key = "key", .value = "value"};
    return Run({response}, true, [&]() -> asio::awaitable<absl::Status> {
      co_return co_await store.Put(write);
    });
  }

  absl::Status Get(const std::string& response) {
    StoreClient store(&io, {.addresses = {kStoreAddress}});
    return Run({response}, true, [&]() -> asio::awaitable<absl::Status> {
      auto result = co_await store.Get("key");
      co_return result.status();
    });
  }

  /** Returns whether a watch takes a change from `response`. */
  bool WatchSeesChange(const std::string& response) {
    StoreClient store(&io, {.addresses = {kStoreAddress}});
    bool has_change = false;
    const auto watch = [&]() -> asio::awaitable<absl::Status> {
      co_return co_await store.Watch(
          "key", 1, std::chrono::seconds(1),
          [&](const StoreReadResult&) { has_change = true; });
    };
    CHECK_FALSE(Run({response}, true, watch).ok());  // a watch has no other end
    return has_change;
  }

  /** Checks that `call` returns before a service that sends `message` has sent
      more than a response may have. */
  template <typename MakeCall>
  void CheckEndsEarly(const EndlessMessage& message, const MakeCall& call) {
    absl::Status status = absl::InternalError("did not return");
    size_t sent_bytes = 0;
    io.restart();
    asio::co_spawn(io, SendWithoutEnd(&acceptor, message, &sent_bytes),
                   asio::detached);
    asio::co_spawn(
        io, [&]() -> asio::awaitable<void> { status = co_await call(); },
        asio::detached);
    io.run_for(std::chrono::seconds(8));
    CHECK_FALSE_TEXT(status.ok(), message.Name().c_str());
    CHECK_TRUE_TEXT(MessageOf(status) != "did not return",
                    message.Name().c_str());
    CHECK_TRUE_TEXT(sent_bytes < kMaxEndlessBytes, message.Name().c_str());
  }

  void CheckCallsEndEarly(const EndlessMessage& message) {
    platform::PlatformStore platform_store(&io, {.address = kStoreAddress});
    CheckEndsEarly(message, [&]() -> asio::awaitable<absl::Status> {
      auto page = co_await platform_store.ReadPage("op/", "");
      co_return page.status();
    });
    StoreClient store(&io, {.addresses = {kStoreAddress}});
    CheckEndsEarly(message, [&]() -> asio::awaitable<absl::Status> {
      auto result = co_await store.Get("key");
      co_return result.status();
    });
    CheckEndsEarly(message, [&]() -> asio::awaitable<absl::Status> {
      co_return co_await store.Watch("key", 1, std::chrono::seconds(2),
                                     [](const StoreReadResult&) {});
    });
  }

  using MakeResponses = std::vector<std::string> (*)(const std::string& body);

  /** Checks that no call takes any of the responses, made by `make_responses`
      with a body, for a response. */
  void CheckAreNoResponses(MakeResponses make_responses) {
    for (const std::string& response : make_responses(kPage)) {
      CHECK_FALSE_TEXT(ReadPage(response).ok(), response.c_str());
      CHECK_FALSE_TEXT(Put(response).ok(), response.c_str());
    }
    for (const std::string& response : make_responses(kRange)) {
      CHECK_FALSE_TEXT(Get(response).ok(), response.c_str());
    }
  }

  /** The same for watches. They take changes as these arrive, so only the head
      counts. */
  void CheckAreNoWatches(MakeResponses make_responses) {
    for (const std::string& response : make_responses(kWatchLine)) {
      CHECK_FALSE_TEXT(WatchSeesChange(response), response.c_str());
    }
  }
};

// Shows that the bodies are accepted, so that the other tests can fail.
TEST(StoreCall, ValidResponse_IsAccepted) {
  const std::string status_line = "HTTP/1.1 200 OK";
  CHECK_TRUE(ReadPage(ResponseWithStatusLine(status_line, kPage)).ok());
  CHECK_TRUE(Put(ResponseWithStatusLine(status_line, kPage)).ok());
  CHECK_TRUE(Get(ResponseWithStatusLine(status_line, kRange)).ok());
  CHECK_TRUE(WatchSeesChange(ResponseWithStatusLine(status_line, kWatchLine)));
}

TEST(StoreCall, InvalidStatusLine_IsNoResponse) {
  CheckAreNoResponses(ResponsesWithInvalidStatusLines);
  CheckAreNoWatches(ResponsesWithInvalidStatusLines);
}

TEST(StoreCall, InvalidField_IsNoResponse) {
  CheckAreNoResponses(ResponsesWithInvalidFields);
  CheckAreNoResponses(ResponsesWithInvalidTrailers);
  CheckAreNoWatches(ResponsesWithInvalidFields);
}

TEST(StoreCall, InvalidFraming_IsNoResponse) {
  CheckAreNoResponses(ResponsesWithInvalidFraming);
  CheckAreNoResponses(ResponsesWithInvalidChunks);
  CheckAreNoWatches(ResponsesWithInvalidFraming);
}

// As of targets: bytes without end must not fill the memory.
TEST(StoreCall, ResponseWithoutEnd_EndsTheCallEarly) {
  for (const EndlessMessage& message : EndlessResponses()) {
    CheckCallsEndEarly(message);
  }
}

TEST(StoreCall, BodyWithoutEnd_EndsTheCallEarly) {
  for (const EndlessMessage& message : EndlessBodies()) {
    CheckCallsEndEarly(message);
  }
}

// An extra response on a kept connection was taken for that to the next call.
TEST(StoreResponse, BytesAfterAResponse_AreNotTheNextResponse) {
  const std::string page = ResponseWithStatusLine("HTTP/1.1 200 OK", kPage);
  const std::string stale =
      ResponseWithStatusLine("HTTP/1.1 200 OK", R"({"items":[],"asOf":3})");
  platform::PlatformStore platform_store(&io, {.address = kStoreAddress});
  uint64_t revision = 0;
  const absl::Status page_status =
      Run({page, stale}, false, [&]() -> asio::awaitable<absl::Status> {
        auto first = co_await platform_store.ReadPage("op/", "");
        if (!first.ok()) co_return first.status();
        co_await SleepFor(std::chrono::milliseconds(30));
        auto second = co_await platform_store.ReadPage("op/", "");
        if (second.ok()) revision = second->store_revision;
        co_return second.status();
      });
  CHECK_TRUE_TEXT(page_status.ok(), MessageOf(page_status).c_str());
  LONGS_EQUAL(7, revision);

  const std::string range = ResponseWithStatusLine("HTTP/1.1 200 OK", kRange);
  const std::string stale_range = ResponseWithStatusLine(
      "HTTP/1.1 200 OK", R"({"header":{"revision":"3"},"kvs":[]})");
  StoreClient store(&io, {.addresses = {kStoreAddress}});
  const absl::Status range_status =
      Run({range, stale_range}, false, [&]() -> asio::awaitable<absl::Status> {
        auto first = co_await store.Get("key");
        if (!first.ok()) co_return first.status();
        co_await SleepFor(std::chrono::milliseconds(30));
        auto second = co_await store.Get("key");
        if (second.ok()) revision = second->store_revision;
        co_return second.status();
      });
  CHECK_TRUE_TEXT(range_status.ok(), MessageOf(range_status).c_str());
  LONGS_EQUAL(7, revision);
}

// As review/2: the stores' clients parsed responses without a guard as well.
TEST(StoreResponse, OddEndOfAResponse_FailsTheCallOfThePlatformsStoreOnly) {
  for (const std::vector<std::string>& parts : OddChunkedResponses()) {
    platform::PlatformStore store(&io, {.address = kStoreAddress});
    const absl::Status status =
        Run(parts, true, [&]() -> asio::awaitable<absl::Status> {
          auto page = co_await store.ReadPage("op/", "");
          co_return page.status();
        });
    CHECK_FALSE(status.ok());
  }
}

TEST(StoreResponse, OddEndOfAResponse_FailsTheCallAndTheWatchOnly) {
  for (const std::vector<std::string>& parts : OddChunkedResponses()) {
    StoreClient store(&io, {.addresses = {kStoreAddress}});
    CHECK_FALSE(Run(parts, true, [&]() -> asio::awaitable<absl::Status> {
                  auto result = co_await store.Get("key");
                  co_return result.status();
                }).ok());
    CHECK_FALSE(Run(parts, true, [&]() -> asio::awaitable<absl::Status> {
                  co_return co_await store.Watch("key", 1,
                                                 std::chrono::seconds(1),
                                                 [](const StoreReadResult&) {});
                }).ok());
  }
}

// A call that had been done was reported as failed.
TEST(StoreCall, InterimResponse_IsFollowedByTheResponse) {
  for (const char* interim_status : {"100", "102", "103", "199"}) {
    const std::string head = InterimHead(interim_status);
    const auto interim_and = [&](const std::string& body) {
      return head + head + ResponseWithStatusLine("HTTP/1.1 200 OK", body);
    };
    CHECK_TRUE(ReadPage(interim_and(kPage)).ok());
    CHECK_TRUE(Put(interim_and(kPage)).ok());
    CHECK_TRUE(Get(interim_and(kRange)).ok());
    CHECK_TRUE(WatchSeesChange(interim_and(kWatchLine)));
  }
  const std::string switching = InterimHead("101");
  const std::string response = ResponseWithStatusLine("HTTP/1.1 200 OK", kPage);
  CHECK_FALSE(Put(switching + response).ok());
  CHECK_FALSE(Put(InterimHead("103")).ok());
}

// Changes come with status 200 only.
TEST(StoreCall, FailureWithTheBodyOfAWatch_IsNoChange) {
  for (const char* status_line :
       {"HTTP/1.1 500 Error", "HTTP/1.1 503 Busy", "HTTP/1.1 404 None"}) {
    CHECK_FALSE(
        WatchSeesChange(ResponseWithStatusLine(status_line, kWatchLine)));
  }
}

// The final response must not be taken for the response to the next call.
TEST(StoreResponse, InterimResponse_LeavesTheConnectionInOrder) {
  const std::string final_response =
      ResponseWithStatusLine("HTTP/1.1 200 OK", kPage);
  platform::PlatformStore store(&io, {.address = kStoreAddress});
  const absl::Status status =
      Run({InterimHead("103"), final_response}, false,
          [&]() -> asio::awaitable<absl::Status> {
            auto first = co_await store.ReadPage("op/", "");
            if (!first.ok()) co_return first.status();
            auto second = co_await store.ReadPage("op/", "");
            co_return second.status();
          });
  CHECK_TRUE_TEXT(status.ok(), MessageOf(status).c_str());
  LONGS_EQUAL(1, connection_count);
}

}  // namespace
}  // namespace greengage
