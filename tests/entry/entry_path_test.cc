#include "entry/entry_path_fixture.h"
#include "entry/odd_responses.h"

namespace greengage {
namespace {

TEST_GROUP_BASE(EntryPath, EntryPathFixture){};

TEST(EntryPath, BeforeAnyConfiguration_IsNotReadyAndRefusesRequests) {
  StartDaemon();
  CHECK_TRUE(WaitFor([&] {
    return SendGet(kHealthAddress, "/-/readyz").result_int() == 503;
  }));
  LONGS_EQUAL(503, SendGet(kTrafficAddress, "/read/").result_int());
  LONGS_EQUAL(0, world->RunCount(last_id));
}

TEST(EntryPath, Request_GetsItsOwnCompleteSignedResponse) {
  StartServing();
  const Response response = SendGet(kTrafficAddress, "/read/");
  LONGS_EQUAL(200, response.result_int());
  CHECK_TRUE(response.body().starts_with("whole " + last_id + " of t-"));
  CHECK_FALSE(response["Upstream-Stamp"].empty());
  LONGS_EQUAL(404, SendGet(kTrafficAddress, "/nowhere/").result_int());
}

TEST(EntryPath, OrderWithLostResponse_RunsOnceAndIsNotReportedAsNotRun) {
  StartServing();
  LONGS_EQUAL(502, SendOrder("lose").result_int());
  LONGS_EQUAL(1, world->RunCount(last_id));
}

TEST(EntryPath, OrderThatNoTargetRan_IsRefusedWithRetryAfter) {
  StartServing();
  const Response response = SendOrder("shed");
  LONGS_EQUAL(503, response.result_int());
  CHECK_FALSE(response[http::field::retry_after].empty());
  LONGS_EQUAL(0, world->RunCount(last_id));
}

TEST(EntryPath, InvalidResponses_NeverReachTheCallerAsSuccess) {
  StartServing();
  for (const char* fault : {"truncate", "cross", "unsigned", "encoded"}) {
    const Response response = SendOrder(fault);
    LONGS_EQUAL_TEXT(502, response.result_int(), fault);
    LONGS_EQUAL_TEXT(1, world->RunCount(last_id), fault);
  }
}

// A target repeated an earlier refusal on a kept connection. The caller was
// told that its order had not run, or the order ran at a second target.
TEST(EntryPath, EarlierRefusalSentOnceMore_IsNotTakenForTheAnswer) {
  StartServing();
  world->SetFaults({.repeats_responses = true});
  int unknown = 0;
  for (int i = 0; i < 5; ++i) {
    SendOrder("shed");
    const unsigned status = SendOrder("").result_int();
    CHECK_TRUE(status == 200 || status == 502 || status == 503);
    LONGS_EQUAL(status == 503 ? 0 : 1, world->RunCount(last_id));
    unknown += status == 502 ? 1 : 0;
  }
  CHECK_TRUE(unknown > 0);
}

TEST(EntryPath, EarlierAnswerSentOnceMore_NeverReachesTheNextCaller) {
  StartServing();
  world->SetFaults({.repeats_responses = true});
  int answered = 0;
  for (int i = 0; i < 20; ++i) {
    const Response response = SendGet(kTrafficAddress, "/read/");
    if (response.result_int() != 200) continue;
    ++answered;
    CHECK_TRUE(response.body().starts_with("whole " + last_id + " "));
  }
  CHECK_TRUE(answered >= 5);
}

// Callers take a 503 for a promise that the order has not run.
TEST(EntryPath, RefusalThatDoesNotSayNotRun_IsNoPromiseToTheCaller) {
  StartServing();
  LONGS_EQUAL(502, SendOrder("unstated").result_int());
  LONGS_EQUAL(1, world->RunCount(last_id));
}

TEST(EntryPath, BytesAfterAResponse_AreDiscarded) {
  StartServing();
  for (int i = 0; i < 5; ++i) {
    const Response followed_by_extra = SendGet(kTrafficAddress, "/read/extra");
    LONGS_EQUAL(200, followed_by_extra.result_int());
    CHECK_TRUE(followed_by_extra.body().starts_with("whole " + last_id));
    const Response next = SendGet(kTrafficAddress, "/read/");
    CHECK_TRUE(next.body().starts_with("whole " + last_id));
  }
}

TEST(EntryPath, ResponseWithoutLength_ArrivesComplete) {
  StartServing();
  const Response response = SendGet(kTrafficAddress, "/read/unframed");
  LONGS_EQUAL(200, response.result_int());
  CHECK_TRUE(response.body().starts_with("whole " + last_id));
}

TEST(EntryPath, ReadWithLostResponse_IsRetriedOnAnotherTargetOnly) {
  StartServing();
  LONGS_EQUAL(502, SendGet(kTrafficAddress, "/read/lose").result_int());
  LONGS_EQUAL(2, world->RunCount(last_id));  // the route allows two attempts
}

TEST(EntryPath, TimeLimit_ProducesAResponseInTime) {
  StartServing(400);
  const TimePoint began = Now();
  LONGS_EQUAL(504, SendOrder("slow").result_int());
  const double taken = ToSeconds(Now() - began);
  CHECK_TRUE(taken > 0.3 && taken < 0.9);
}

TEST(EntryPath, OrderWhoseCallerDisconnected_EndsAtItsTimeLimit) {
  StartServing(400);
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect(*ParseEndpoint(kTrafficAddress));
  http::request<http::string_body> request(http::verb::post, "/order/slow", 11);
  request.set(http::field::host, "shop.example");
  request.set("Request-Id", "left");
  request.prepare_payload();
  http::write(socket, request);
  CHECK_TRUE(WaitFor([&] { return world->RunCount("left") == 1; }));
  socket.close();
  CHECK_TRUE(WaitFor([&] {
    return Contains(SendGet(kHealthAddress, "/metrics").body(),
                    "greengage_attempts_total{end=\"timed_out\"} 1");
  }));
}

// A daemon that was behind sent requests on as if they had just arrived.
TEST(EntryPath, RequestWhoseTimePassedUnread_IsRefusedAsNotRun) {
  StartServing(4000);
  StallDaemon(std::chrono::milliseconds(700));
  last_id = "expired";
  const Response response = SendRequest(http::verb::post, kTrafficAddress,
                                        "/order/", last_id, "two", "300");
  LONGS_EQUAL(503, response.result_int());
  CHECK_FALSE(response[http::field::retry_after].empty());
  LONGS_EQUAL(0, world->RunCount(last_id));
}

TEST(EntryPath, TargetFailure_IsForwardedUnchanged) {
  StartServing();
  const Response response = SendOrder("fail");
  LONGS_EQUAL(500, response.result_int());
  CHECK_FALSE(response["Upstream-Stamp"].empty());
}

TEST(EntryPath, ChunkExtensionWithoutEnd_ClosesTheConnection) {
  StartServing();
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect(*ParseEndpoint(kTrafficAddress));
  asio::write(socket, asio::buffer(std::string(
                          "POST /order/ HTTP/1.1\r\nHost: shop.example\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n5;x=")));
  const std::string extension(64 * 1024, 'a');
  constexpr size_t kMaxAcceptedBytes = 16 * 1024 * 1024;
  size_t sent_bytes = 0;
  ErrorCode error;
  while (!error && sent_bytes < kMaxAcceptedBytes) {
    sent_bytes += asio::write(socket, asio::buffer(extension), error);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK_TRUE(error.failed());
  LONGS_EQUAL(200, SendGet(kTrafficAddress, "/read/").result_int());
}

TEST(EntryPath, OddMessages_EndTheirConnectionsAndAreCounted) {
  StartServing();
  LONGS_EQUAL(502, SendOrder("odd_trailer").result_int());
  LONGS_EQUAL(502, SendOrder("cut_head").result_int());
  const std::string path = "/read/" + std::string(100'000, 'a');
  const auto refusal = SendRequest(http::verb::get, kTrafficAddress, path, "x");
  LONGS_EQUAL(431, refusal.result_int());
  LONGS_EQUAL(200, SendOrder("").result_int());
  const std::string metrics = SendGet(kHealthAddress, "/metrics").body();
  // A head that breaks off is the end of a connection, not an odd message.
  CHECK_TRUE(
      Contains(metrics, "greengage_odd_messages_total{side=\"target\"} 1\n"));
  CHECK_TRUE(
      Contains(metrics, "greengage_odd_messages_total{side=\"caller\"} 1\n"));
}

// A target sent a response with status 000, and callers got it as the answer.
// Targets that fail are left for some time, so some requests are refused.
TEST(EntryPath, BrokenResponses_NeverReachTheCaller) {
  StartServing();
  int failed_count = 0;
  for (size_t i = 0; i < BrokenResponses().size(); ++i) {
    const Response response = i % 2 == 0
                                  ? SendOrder("broken")
                                  : SendGet(kTrafficAddress, "/read/broken");
    if (response.result_int() == 503) {
      LONGS_EQUAL(0, world->RunCount(last_id));
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
      continue;
    }
    LONGS_EQUAL(502, response.result_int());
    CHECK_TRUE(response["Upstream-Stamp"].empty());
    // A read is tried twice until the retry budget is used up.
    const int run_count = world->RunCount(last_id);
    CHECK_TRUE(run_count == 1 || (i % 2 == 1 && run_count == 2));
    ++failed_count;
  }
  CHECK_TRUE(failed_count > 10);
}

// A target answered an upload at once, without a length, and reset the
// connection in the middle of the body. Callers got that part as the answer.
TEST(EntryPath, EarlyResponseResetDuringAnUpload_NeverReachesTheCaller) {
  StartServing(5000);
  const std::string upload(16 * 1024 * 1024, 'u');
  for (int i = 0; i < 4; ++i) {
    last_id = absl::StrCat("id-", next_id++);
    const Response response =
        SendRequest(http::verb::post, kTrafficAddress, "/order/early_reset",
                    last_id, upload);
    const bool is_refused = response.result_int() == 503;
    CHECK_TRUE(is_refused || response.result_int() == 502);
    LONGS_EQUAL(is_refused ? 0 : 1, world->RunCount(last_id));
  }
}

TEST(EntryPath, InterimResponseWithoutIdentifier_LeavesTheOutcomeOfAnOrder) {
  StartServing();
  LONGS_EQUAL(200, SendOrder("early_hints").result_int());
  LONGS_EQUAL(1, world->RunCount(last_id));
}

TEST(EntryPath, DrainingTarget_GetsNoNewRequests) {
  StartServing();
  world->SetDraining("t-1");
  world->DeregisterTarget("t-1");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (int i = 0; i < 20; ++i)
    LONGS_EQUAL(200, SendGet(kTrafficAddress, "/read/").result_int());
  LONGS_EQUAL(0, world->CountLateRequests(std::chrono::milliseconds(800)));
}

// A daemon restarted while a target was withdrawn and the store was away.
TEST(EntryPath, RestartWhileTheStoreIsAway_BringsBackNoTargetThatLeft) {
  StartServing();
  Stop();
  world->SetStoreDown(true);
  StartDaemon();
  CHECK_TRUE(WaitFor(
      [&] { return SendGet(kTrafficAddress, "/read/").result_int() == 503; }));
  world->SetDraining("t-1");
  world->DeregisterTarget("t-1");
  LONGS_EQUAL(503, SendGet(kTrafficAddress, "/read/").result_int());
  world->SetStoreDown(false);
  CHECK_TRUE(WaitFor(
      [&] { return SendGet(kTrafficAddress, "/read/").result_int() == 200; }));
  for (int i = 0; i < 20; ++i) {
    CHECK_TRUE(SendGet(kTrafficAddress, "/read/").body().ends_with("t-2"));
  }
  LONGS_EQUAL(0, world->CountLateRequests(Duration::zero()));
}

// A target that is silent for seconds may be running the order still.
TEST(EntryPath, OrderAtATargetThatIsSilent_IsNeitherRepeatedNorCalledNotRun) {
  StartServing(1000);
  LONGS_EQUAL(504, SendOrder("slow").result_int());
  LONGS_EQUAL(1, world->RunCount(last_id));
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  LONGS_EQUAL(1, world->RunCount(last_id));
}

TEST(EntryPath, OddEntriesOfTargets_LeaveTheOthersInUse) {
  StartServing();
  const std::string entry = *world->Get("servers/t-1");
  const std::string nested(100'000, '[');
  world->Put("servers/odd-nested", nested);
  world->Put("servers/odd-member",
             entry.substr(0, entry.size() - 1) + ",\"x\":" + nested);
  int number = 0;
  for (const char* address :
       {"127.0.7.3:0", "127.0.7.3:65536", "127.0.7.3:-1", "nowhere:80"}) {
    std::string odd = entry;
    const std::string known = "127.0.7.3:18201";
    odd.replace(odd.find(known), known.size(), address);
    world->Put(absl::StrCat("servers/odd-", ++number), odd);
  }
  world->Put("servers/odd-large", std::string(900'000, '9'));
  world->Put("servers/odd-bytes", "\xff\xfe{");
  // A change after the entries shows that the daemon still follows the store.
  world->PutConfig(2, 500, 1);
  CHECK_TRUE(WaitFor([&] {
    return SendGet(kTrafficAddress, "/extra1/").result_int() == 200;
  }));
  for (int i = 0; i < 20; ++i) {
    LONGS_EQUAL(200, SendGet(kTrafficAddress, "/read/").result_int());
  }
  CHECK_TRUE(Contains(SendGet(kHealthAddress, "/metrics").body(),
                      "greengage_attempts_total{end=\"answered\"}"));
  CHECK_FALSE(Contains(SendGet(kHealthAddress, "/metrics").body(),
                       "greengage_attempts_total{end=\"unreachable\"}"));
}

TEST(EntryPath, NewConfiguration_TakesEffect_AlsoAfterLostHistory) {
  StartServing();
  LONGS_EQUAL(404, SendGet(kTrafficAddress, "/extra1/").result_int());
  world->Compact();
  world->PutConfig(2, 500, 1);
  CHECK_TRUE(WaitFor([&] {
    return SendGet(kTrafficAddress, "/extra1/").result_int() == 200;
  }));
}

// Replays Txurruka's trouble-3: a change made just after an outage of the store
// took effect too late.
TEST(EntryPath, ChangeAfterAnOutage_TakesEffectWithinTheBound) {
  StartServing();
  world->SetStoreDown(true);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  LONGS_EQUAL(200, SendGet(kTrafficAddress, "/read/").result_int());
  world->SetStoreDown(false);
  world->PutConfig(2, 500, 1);
  const TimePoint began = Now();
  CHECK_TRUE(WaitFor([&] {
    return SendGet(kTrafficAddress, "/extra1/").result_int() == 200;
  }));
  CHECK_TRUE(Now() - began < std::chrono::milliseconds(2500));
}

TEST(EntryPath, Stop_CompletesRequestsAndRemovesTheMemberEntry) {
  StartServing(2500);
  Response response;
  std::thread caller([&] { response = SendGet(kTrafficAddress, "/read/"); });
  world->SetFaults({.work_ms = 1200});
  caller.join();
  std::thread slow([&] {
    response =
        SendRequest(http::verb::get, kTrafficAddress, "/read/", "during-stop");
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  Stop();
  slow.join();
  LONGS_EQUAL(200, response.result_int());
  CHECK_FALSE(world->Get("gg/members/front-1").has_value());
}

TEST(EntryPath, Lookup_ReturnsThisHost) {
  StartServing();
  const Response response = SendGet(
      kLookupAddress, "/-/resolve?name=shop.example&region=north&zone=north-a");
  LONGS_EQUAL(200, response.result_int());
  CHECK_TRUE(Contains(response.body(), kTrafficAddress));
  CHECK_TRUE(Contains(SendGet(kHealthAddress, "/metrics").body(),
                      "greengage_attempts"));
}

}  // namespace
}  // namespace greengage
