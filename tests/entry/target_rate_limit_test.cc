#include "entry/entry_path_fixture.h"

namespace greengage {
namespace {

TEST_GROUP_BASE(TargetRateLimit, EntryPathFixture){};

// Replays Gantnet's day "capped": a target named 3.5 requests a second and
// received 9, because the daemon did not act on it.
TEST(TargetRateLimit, RequestsBeyondTheLimitThatTargetsName_AreNotSent) {
  constexpr double kLimit = 2;
  constexpr double kWindowSeconds = 4;
  StartServing(1500);
  world->SetFaults({.rate_limit = kLimit});
  const TimePoint end = Now() + std::chrono::seconds(8);
  int answered = 0;
  while (Now() < end) {
    const auto response = SendGet(kTrafficAddress, "/read/");
    const unsigned status = response.result_int();
    answered += status == 200 ? 1 : 0;
    // A caller that is refused is told when to come back.
    if (status != 200) {
      LONGS_EQUAL(503, status);
      CHECK_TRUE(response.count(http::field::retry_after) == 1);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  const int received =
      world->MaxLimitedArrivals(FromSeconds(kWindowSeconds), FromSeconds(3));
  CHECK_TRUE(received <= 1.5 * kWindowSeconds * kLimit + 5);
  // Both targets together take 4 requests a second.
  CHECK_TRUE(answered >= 8 * 2 * kLimit / 2);
}

}  // namespace
}  // namespace greengage
