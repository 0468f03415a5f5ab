#include "entry/entry_path_fixture.h"

namespace greengage {
namespace {

/** The store comes back from a copy that is older than what it acknowledged. */
struct StoreRestoreFixture : EntryPathFixture {
  void RestoreAfterOutage() {
    world->SetStoreDown(true);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    world->RestoreStore();
    world->SetStoreDown(false);
  }
  bool IsServed(const std::string& path) {
    return WaitFor(
        [&] { return SendGet(kTrafficAddress, path).result_int() == 200; });
  }
};

TEST_GROUP_BASE(StoreRestore, StoreRestoreFixture){};

// Replays Gantnet's day "restored", seed 11: a version was written at a
// revision that the daemon knew of the older era, and was never in force.
TEST(StoreRestore, ConfigWrittenAtAReusedRevision_ComesIntoForce) {
  StartServing();
  world->CopyStore();
  world->PutConfig(2, 500, 1);
  CHECK_TRUE(IsServed("/extra1/"));
  RestoreAfterOutage();
  world->PutConfig(3, 500, 2);
  CHECK_TRUE(IsServed("/extra2/"));
}

// A watch that starts after the store has reached the watched revision again
// returns no error, and none of the changes before it.
TEST(StoreRestore, ConfigWrittenBelowTheWatchedRevision_ComesIntoForce) {
  StartServing();
  world->CopyStore();
  for (int i = 0; i < 10; ++i) world->Put("op/other", std::to_string(i));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  world->SetStoreDown(true);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  world->RestoreStore();
  world->PutConfig(3, 500, 2);
  for (int i = 0; i < 20; ++i) world->Put("op/other", std::to_string(i));
  world->SetStoreDown(false);
  CHECK_TRUE(IsServed("/extra2/"));
}

TEST(StoreRestore, ChangesAfterSeveralRestores_ComeIntoForce) {
  StartServing();
  for (int round = 1; round <= 3; ++round) {
    world->CopyStore();
    world->PutConfig(2 * round, 500, round);
    CHECK_TRUE(IsServed("/extra" + std::to_string(round) + "/"));
    RestoreAfterOutage();
    world->PutConfig(2 * round + 1, 500, round + 1);
    CHECK_TRUE(IsServed("/extra" + std::to_string(round + 1) + "/"));
  }
}

}  // namespace
}  // namespace greengage
