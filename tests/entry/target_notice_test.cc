// What targets say of themselves in their responses: that they are leaving, and
// that they want no requests for a while. With the daemon on loopback.

#include <algorithm>

#include "entry/entry_path_fixture.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;

/** Time to drain in the settings of EntryPathFixture. */
constexpr Duration kDrainTime = milliseconds(1000);

// clang-format takes the braces of this group for an initializer.
// clang-format off
TEST_GROUP_BASE(TargetNotice, EntryPathFixture) {
  /** When the caller first got an answer in which a target says that it is
      leaving, by target. */
  std::map<std::string, TimePoint> passed_on_at;

  /** Sends reads for `duration`. Checks that none that is sent later than
      kDrainTime after such an answer runs at its target.
      @return how many of them each target answered; refusals under "". */
  std::map<std::string, int> SendReads(Duration duration) {
    std::map<std::string, int> answers;
    const TimePoint end = Now() + duration;
    while (Now() < end) {
      const TimePoint sent_at = Now();
      const Response response = SendGet(kTrafficAddress, "/read/");
      const std::string body = response.body();
      const bool is_answered = response.result_int() == 200;
      if (!is_answered) LONGS_EQUAL(503, response.result_int());
      LONGS_EQUAL(is_answered ? 1 : 0, world->RunCount(last_id));
      const std::string target =
          is_answered ? body.substr(body.size() - 3) : "";
      ++answers[target];
      const auto passed_on = passed_on_at.find(target);
      if (passed_on != passed_on_at.end()) {
        CHECK_TRUE(sent_at <= passed_on->second + kDrainTime);
      } else if (response["Server-Leaving"] == "1") {
        passed_on_at[target] = Now();
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return answers;
  }
  /** Returns the target that reads go to. */
  std::string FirstChoice() {
    return SendReads(milliseconds(1)).begin()->first;
  }
  static std::string Other(const std::string& target) {
    return target == "t-1" ? "t-2" : "t-1";
  }
};
// clang-format on

TEST(TargetNotice, LeavingTarget_GetsNothingWhileThereIsAnother) {
  StartServing();
  const std::string leaving = FirstChoice();
  world->AnnounceLeaving(leaving);
  SendGet(kTrafficAddress, "/read/");  // brings the notice
  const auto answers = SendReads(milliseconds(1500));
  LONGS_EQUAL(0, answers.count(leaving));
  LONGS_EQUAL(0, answers.count(""));
  LONGS_EQUAL(0, world->CountLateRequests(milliseconds(100)));
}

TEST(TargetNotice, LastTarget_IsUsedUntilItsTimeToDrainEnds) {
  StartServing();
  world->SetStoreDown(true);
  world->AnnounceLeaving("t-1");
  world->AnnounceLeaving("t-2");
  const auto before = SendReads(kDrainTime * 7 / 10);
  LONGS_EQUAL(0, before.count(""));
  SendReads(kDrainTime);
  const auto after = SendReads(milliseconds(500));
  LONGS_EQUAL(1, after.size());
  LONGS_EQUAL(1, after.count(""));
  LONGS_EQUAL(2, passed_on_at.size());
}

TEST(TargetNotice, LeavingTargetWhoseEntryReturns_StillGetsNothing) {
  StartServing();
  const std::string leaving = FirstChoice();
  world->AnnounceLeaving(leaving);
  SendGet(kTrafficAddress, "/read/");
  const std::string key = "servers/" + leaving;
  const std::string entry = *world->Get(key);
  world->Erase(key);
  SendReads(milliseconds(1200));
  world->Put(key, entry);
  const auto answers = SendReads(milliseconds(1500));
  LONGS_EQUAL(0, answers.count(leaving));
  LONGS_EQUAL(0, world->CountLateRequests(kDrainTime));
}

TEST(TargetNotice, RestartedTarget_IsUsedAgainUnderItsIdentifier) {
  StartServing();
  world->AnnounceLeaving("t-1");
  world->AnnounceLeaving("t-2");
  SendReads(kDrainTime + milliseconds(600));
  world->RestartTarget("t-2");
  CHECK_TRUE(WaitFor([&] {
    return SendGet(kTrafficAddress, "/read/").body().ends_with("t-2");
  }));
}

TEST(TargetNotice, NoticeInAnswerToHeadAfterInterimResponse_IsHeeded) {
  StartServing();
  const std::string leaving = FirstChoice();
  world->AnnounceLeaving(leaving);
  // The reader of SendRequest() expects a body, so its result is ignored.
  SendRequest(http::verb::head, kTrafficAddress, "/read/interim", "head-1", "",
              "300");
  const auto answers = SendReads(milliseconds(300));
  LONGS_EQUAL(0, answers.count(leaving));
}

TEST(TargetNotice, NoticeInAnswerWhoseCallerHasLeft_IsHeeded) {
  StartServing(2000);
  const std::string first_body = SendOrder("").body();
  const std::string leaving = first_body.substr(first_body.size() - 3);
  world->SetFaults({.work_ms = 300});
  world->AnnounceLeaving(leaving);
  {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect(*ParseEndpoint(kTrafficAddress));
    http::request<http::string_body> request(http::verb::post, "/order/", 11);
    request.set(http::field::host, "shop.example");
    request.set("Request-Id", "left");
    request.set("Cookie", "Affinity-Key=7");
    request.prepare_payload();
    http::write(socket, request);
    CHECK_TRUE(WaitFor([&] { return world->RunCount("left") == 1; }));
  }
  std::this_thread::sleep_for(milliseconds(500));
  world->SetFaults({});
  for (int i = 0; i < 5; ++i) {
    CHECK_TRUE(SendOrder("").body().ends_with(Other(leaving)));
  }
}

// An answer that is cut is not passed on, and what stands in it is not heeded.
TEST(TargetNotice, NoticeInAnswerThatIsCut_DoesNotBarTheTarget) {
  StartServing();
  const std::string leaving = FirstChoice();
  world->AnnounceLeaving(leaving);
  LONGS_EQUAL(502, SendOrder("truncate").result_int());
  LONGS_EQUAL(1, SendReads(milliseconds(1)).count(leaving));
}

TEST(TargetNotice, PausedTargets_GetNothingUntilTheirPauseEnds) {
  StartServing();
  constexpr Duration kPause = milliseconds(1500);
  world->SetFaults({.retry_after = "1.5"});
  LONGS_EQUAL(503, SendOrder("shed").result_int());  // by both targets
  const TimePoint began = Now();
  while (Now() < began + kPause - milliseconds(100)) {
    const TimePoint sent_at = Now();
    const Response response = SendGet(kTrafficAddress, "/read/");
    LONGS_EQUAL(503, response.result_int());
    CHECK_TRUE(Contains(response.body(), "targets_paused"));
    // The caller is told when a target takes requests again, at most twice as
    // late, to spread the returns.
    const double left = ToSeconds(began + kPause - sent_at);
    const double told =
        std::stod(std::string(FromBeast(response[http::field::retry_after])));
    CHECK_TRUE(told <= 2 * left + 0.2);
    std::this_thread::sleep_for(milliseconds(20));
  }
  LONGS_EQUAL(0, world->CountRequestsInPauses(kPause));
  CHECK_TRUE(WaitFor(
      [&] { return SendGet(kTrafficAddress, "/read/").result_int() == 200; }));
}

TEST(TargetNotice, TargetThatDoesNotPause_ServesMeanwhile) {
  StartServing();
  const std::string paused = FirstChoice();
  world->SetFaults({.retry_after = "2"});
  // A read is repeated at the other target, which is not asked to refuse.
  world->SetShedding(paused, true);
  LONGS_EQUAL(200, SendGet(kTrafficAddress, "/read/").result_int());
  world->SetShedding(paused, false);
  const auto answers = SendReads(milliseconds(1200));
  LONGS_EQUAL(0, answers.count(paused));
  LONGS_EQUAL(0, answers.count(""));
  CHECK_TRUE(answers.count(Other(paused)) == 1);
}

}  // namespace
}  // namespace greengage
