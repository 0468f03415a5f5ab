#include "gg_core/gg_core.h"
#include "gg_document/document_parser.h"
#include "gg_steering/gg_steering.h"
#include "unit/sample_document.h"
#include "unit/test_support.h"

namespace greengage {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

TEST_GROUP(ListedHosts){};

// An entry of another writer ended the daemons that read the list.
TEST(ListedHosts, OddEntries_AreLeftOutAndTheOthersHold) {
  const auto list = ListedHostsFromJson(
      R"({"hosts":[{"address":5},{"address":"a:1","state":7},null,[],)"
      R"({"address":"b:1","state":"leaving"},{"state":"leaving"}]})");
  CHECK_TRUE(list.ok());
  LONGS_EQUAL(2, list->hosts.size());
  LONGS_EQUAL(1, list->leaving_hosts.size());
  LONGS_EQUAL(1, list->leaving_hosts.count("b:1"));
}

TEST(ListedHosts, ValueThatIsNoList_IsRefused) {
  for (const char* text : {"", "[]", "{}", R"({"hosts":5})", "\xff"}) {
    CHECK_FALSE(ListedHostsFromJson(text).ok());
  }
}

TEST(ListedHosts, NumbersThatDoNotFit_AreRefusedInSharedValues) {
  CHECK_FALSE(SliceTableFromJson(R"({"owners":[["a:1",1e300]]})").ok());
  CHECK_FALSE(SliceTableFromJson(R"({"owners":[["a:1",-1]]})").ok());
  CHECK_FALSE(RampPlanFromJson(R"({"s":{"step":1e300,"split":{}}})").ok());
}

TEST_GROUP(BudgetTable) {
  BudgetTable table{BudgetTable::Options{.reserve_fraction = 0}};
  PermitRequest bounded{.region = "r", .time_limit = seconds(2)};
  PermitRequest unbounded{.region = "r"};
};

TEST(BudgetTable, AcquireBeyondOwnRefused) {
  table.SetOwn("r", 2);
  CHECK_TRUE(table.Acquire(bounded, kStart).has_value());
  const auto second = table.Acquire(bounded, kStart);
  CHECK_TRUE(second.has_value());
  CHECK_FALSE(table.Acquire(bounded, kStart).has_value());
  table.Release(*second);
  CHECK_TRUE(table.Acquire(bounded, kStart).has_value());
}

TEST(BudgetTable, LentPermitsReturnAfterTermAndMargin) {
  table.SetOwn("r", 4);
  const auto offer = table.Lend("r", 10, kStart);
  LONGS_EQUAL(2, offer->permits);
  table.Expire(kStart + offer->term);
  LONGS_EQUAL(2, table.Usage("r").limit());
  table.Expire(kStart + offer->term + table.options().loan_margin);
  LONGS_EQUAL(4, table.Usage("r").limit());
}

TEST(BudgetTable, LoanAdmitsOnlyRequestsThatEndWithinItsTerm) {
  CHECK_TRUE(table.AddLoan({1, "r", 1, kStart + seconds(3)}, kStart));
  CHECK_FALSE(table.Acquire(unbounded, kStart).has_value());
  CHECK_FALSE(table.Acquire(bounded, kStart + milliseconds(1500)).has_value());
  CHECK_TRUE(table.Acquire(bounded, kStart + seconds(1)).has_value());
}

TEST(BudgetTable, RepeatedLoanCountsOnce) {
  CHECK_TRUE(table.AddLoan({1, "r", 1, kStart + seconds(3)}, kStart));
  CHECK_FALSE(table.AddLoan({1, "r", 1, kStart + seconds(3)}, kStart));
  LONGS_EQUAL(1, table.Usage("r").borrowed);
}

TEST(BudgetTable, ReserveIsOnlyForRequestsThatMayUseIt) {
  BudgetTable reserved{BudgetTable::Options{.reserve_fraction = 0.1}};
  reserved.SetOwn("r", 2);
  CHECK_TRUE(reserved.Acquire(bounded, kStart).has_value());
  CHECK_FALSE(reserved.Acquire(bounded, kStart).has_value());
  PermitRequest valuable = bounded;
  valuable.may_use_reserve = true;
  CHECK_TRUE(reserved.Acquire(valuable, kStart).has_value());
}

TEST_GROUP(SliceTable){};

TEST(SliceTable, PermitsOfAllSlicesAddUpToTheCapacity) {
  for (const int64_t capacity : {1, 7, 62, 110, 1000}) {
    int64_t sum = 0;
    for (int64_t i = 0; i < 66; ++i) {
      sum += SlicePermits(capacity, 66, i, Hash64("bizkaia"));
    }
    LONGS_EQUAL(capacity, sum);
  }
}

TEST(SliceTable, ClaimTakesSlicesOfEarlierIncarnationAndFreeSlices) {
  SliceTable table{{{"a", 1}, {"b", 1}, {}, {}}};
  const SliceTable next = PlanSliceClaim(
      table, {.self = {"a", 2}, .slices = 4, .living = {"a", "b"}});
  LONGS_EQUAL(2, OwnedSlices(next, {"a", 2}));
  LONGS_EQUAL(0, OwnedSlices(next, {"a", 1}));
  LONGS_EQUAL(1, OwnedSlices(next, {"b", 1}));
}

TEST(SliceTable, ClaimTakesNoSliceOfALivingDaemon) {
  SliceTable table{{{"b", 1}, {"b", 1}}};
  CHECK_TRUE(PlanSliceClaim(table, {.self = {"a", 2}, .living = {"a", "b"}}) ==
             table);
}

TEST(SliceTable, JsonRoundTripKeepsTheTable) {
  const SliceTable table{{{"a", 7}, {}, {"10.0.0.1:7000", 1796363482073088}}};
  CHECK_TRUE(*SliceTableFromJson(SliceTableToJson(table)) == table);
  CHECK_FALSE(SliceTableFromJson("{\"owners\":[[1]]}").ok());
  CHECK_FALSE(SliceTableFromJson("nonsense").ok());
}

TEST_GROUP(RampPlan) {
  DocumentPtr document =
      *ParseDocument(SampleDocument("{north: 0.0, south: 1.0}"));
  RampPlan plan{
      {{"shop",
        {1, {{"north", {{"north", 1.0}}}, {"south", {{"south", 1.0}}}}}}}};
};

TEST(RampPlan, JsonRoundTripKeepsThePlan) {
  const auto read = RampPlanFromJson(RampPlanToJson(plan));
  CHECK_TRUE_TEXT(read.ok(), MessageOf(read.status()).c_str());
  CHECK_TRUE(*read == plan);
  CHECK_FALSE(RampPlanFromJson("{\"shop\": 3}").ok());
}

TEST(RampPlan, NextStepWaitsForIntervalAndMovesFractionOfCap) {
  const PositionFirstSeenTimes seen{{"shop", kStart}};
  CHECK_TRUE(NextPlan(plan, *document, seen, kStart + seconds(4)) == plan);
  const RampPlan next = NextPlan(plan, *document, seen, kStart + seconds(5));
  LONGS_EQUAL(2, next.services.at("shop").step);
  DOUBLES_EQUAL(kPlanStepCapFraction * 0.2,
                ShiftSize(plan.services.at("shop").split.at("north"),
                          next.services.at("shop").split.at("north")),
                1e-9);
}

TEST(RampPlan, UnseenPositionIsNotMoved) {
  CHECK_TRUE(NextPlan(plan, *document, {}, kStart + seconds(500)) == plan);
}

TEST_GROUP(ShiftLimiter) {
  const ShiftSpec spec{0.2, seconds(20)};
  const RegionSplit start{{"north", 1.0}};
  const RegionSplit goal{{"south", 1.0}};
};

TEST(ShiftLimiter, ShiftPerWindowStaysUnderTheCap) {
  ShiftLimiter limiter(start, kStart);
  std::vector<double> moved;
  for (int i = 1; i <= 1200; ++i) {
    moved.push_back(
        limiter.Advance(goal, spec, kStart + milliseconds(100) * i));
  }
  for (size_t i = 0; i + 200 <= moved.size(); ++i) {
    double sum = 0;
    for (size_t j = i; j < i + 200; ++j) sum += moved[j];
    CHECK_TRUE(sum <= spec.cap);
  }
  CHECK_TRUE(limiter.split().at("south") > 0.9);
}

TEST(ShiftLimiter, LongPauseCausesNoJump) {
  ShiftLimiter limiter(start, kStart);
  const double moved = limiter.Advance(goal, spec, kStart + seconds(3600));
  CHECK_TRUE(moved <= spec.cap / 20 + 1e-9);
}

TEST(ShiftLimiter, PicksFollowTheSplit) {
  ShiftLimiter limiter({{"a", 0.7}, {"b", 0.2}, {"c", 0.1}, {"d", 0}}, kStart);
  std::map<std::string, int> picks;
  for (int i = 0; i < 100; ++i) ++picks[limiter.PickRegion()];
  LONGS_EQUAL(70, picks["a"]);
  LONGS_EQUAL(20, picks["b"]);
  LONGS_EQUAL(10, picks["c"]);
  LONGS_EQUAL(0, picks["d"]);
}

TEST_GROUP(OrderLedger) {
  OrderLedger ledger{{.max_orders = 2, .max_body_bytes = 10}};
  OrderAnswer answer;
  const TimePoint later = kStart + seconds(10);
};

TEST(OrderLedger, SecondBeginReturnsStateAndAnswer) {
  CHECK_TRUE(ledger.Begin("k", later, &answer) == BeginResult::kStarted);
  CHECK_TRUE(ledger.Begin("k", later, &answer) == BeginResult::kRunning);
  ledger.Complete("k", {200, "text/plain", "done", true});
  CHECK_TRUE(ledger.Begin("k", later, &answer) == BeginResult::kAnswered);
  STRCMP_EQUAL("done", answer.body.c_str());
}

TEST(OrderLedger, UnknownOrderIsNotStartedAgain) {
  ledger.Begin("k", later, &answer);
  ledger.MarkUnknown("k");
  CHECK_TRUE(ledger.Begin("k", later, &answer) == BeginResult::kUnknown);
}

TEST(OrderLedger, AbandonedOrderMayStartAgain) {
  ledger.Begin("k", later, &answer);
  ledger.Abandon("k");
  CHECK_TRUE(ledger.Begin("k", later, &answer) == BeginResult::kStarted);
}

TEST(OrderLedger, FullLedgerRefusesNewAndKeepsOldOrders) {
  ledger.Begin("a", later, &answer);
  ledger.Begin("b", later, &answer);
  CHECK_TRUE(ledger.Begin("c", later, &answer) == BeginResult::kFull);
  CHECK_TRUE(ledger.Begin("a", later, &answer) == BeginResult::kRunning);
}

TEST(OrderLedger, ExpireRemovesAllButRunningOrders) {
  ledger.Begin("a", later, &answer);
  ledger.Begin("b", later, &answer);
  ledger.Complete("b", {200, "", "0123456789ab", true});
  CHECK_TRUE(ledger.Begin("b", later, &answer) == BeginResult::kAnswered);
  CHECK_FALSE(answer.is_body_kept);
  ledger.Expire(later);
  LONGS_EQUAL(1, ledger.size());
}

TEST_GROUP(OrderKey){};

TEST(OrderKey, FormatAndParseAgree) {
  OrderKey key{"10.0.0.1:8080", 1796363482073088, 12, 600, 0};
  key.keyed_hash = OrderKeyHash(key, 99);
  const auto parsed = ParseOrderKey(FormatOrderKey(key));
  CHECK_TRUE(parsed.has_value());
  CHECK_TRUE(*parsed == key);
  CHECK_FALSE(OrderKeyHash(key, 98) == key.keyed_hash);
  CHECK_FALSE(ParseOrderKey("my-own-key").has_value());
  CHECK_FALSE(ParseOrderKey("gg1-a-b-c-d-e").has_value());
}

TEST_GROUP(TargetTable) {
  TargetTable table{{}};
  Random random{7};
  DocumentPtr document = *ParseDocument(SampleDocument());
  void setup() override { table.Apply(*document, kStart); }
  std::optional<size_t> Choose(std::vector<size_t> excluded_rows = {}) {
    return table.Choose({"shop", "north", std::move(excluded_rows)}, &random,
                        kStart);
  }
};

TEST(TargetTable, ChoiceStaysInRegionAndSkipsExcluded) {
  const auto first = Choose();
  STRCMP_EQUAL("north", table.row(*first).region.c_str());
  const auto second = Choose({*first});
  CHECK_FALSE(*first == *second);
  CHECK_FALSE(Choose({*first, *second}).has_value());
}

TEST(TargetTable, LeavingTargetIsNotChosen) {
  std::string text = SampleDocument();
  text.replace(text.find("{name: n1"), 9, "{leaving: true, name: n1");
  table.Apply(**ParseDocument(text), kStart);
  for (int i = 0; i < 50; ++i) {
    STRCMP_EQUAL("n2", table.row(*Choose()).spec.name.c_str());
  }
}

TEST(TargetTable, TargetsThatShedAreStillChosen) {
  for (int i = 0; i < 20; ++i) {
    const auto chosen = Choose();
    CHECK_TRUE(chosen.has_value());
    table.Finish(*chosen, AttemptResult::kShed, milliseconds(1), kStart);
  }
}

TEST(TargetTable, SlowTargetIsChosenLessOften) {
  std::map<std::string, int> chosen_count;
  for (int i = 0; i < 200; ++i) {
    const auto chosen = Choose();
    const bool is_slow = table.row(*chosen).spec.name == "n1";
    ++chosen_count[table.row(*chosen).spec.name];
    table.Finish(*chosen, AttemptResult::kAnswered,
                 milliseconds(is_slow ? 100 : 10), kStart);
  }
  CHECK_TRUE(chosen_count["n1"] < 20);
  // The target is tried again once its observed latency has expired.
  int n1_choices = 0;
  for (int i = 0; i < 50; ++i) {
    const TimePoint later = kStart + seconds(6);
    const auto chosen = table.Choose({"shop", "north", {}}, &random, later);
    n1_choices += table.row(*chosen).spec.name == "n1" ? 1 : 0;
    table.Finish(*chosen, AttemptResult::kAnswered, milliseconds(10), later);
  }
  CHECK_TRUE(n1_choices > 0);
}

TEST(TargetTable, FailingTargetIsEjectedAndRestored) {
  TargetChange change = TargetChange::kNone;
  size_t failing = 0;
  for (int i = 0; i < 3; ++i) {
    failing = 0;
    while (table.row(failing).spec.name != "n1") ++failing;
    std::optional<size_t> chosen;
    do {
      if (chosen) {
        table.Finish(*chosen, AttemptResult::kAnswered, milliseconds(1),
                     kStart);
      }
      chosen = Choose();
    } while (*chosen != failing);
    change =
        table.Finish(failing, AttemptResult::kFailed, milliseconds(1), kStart);
  }
  CHECK_TRUE(change == TargetChange::kEjected);
  for (int i = 0; i < 20; ++i) CHECK_FALSE(*Choose() == failing);
  const auto restored =
      table.Choose({"shop", "north", {1, 2}}, &random, kStart + seconds(6));
  LONGS_EQUAL(failing, *restored);
  CHECK_TRUE(table.Finish(*restored, AttemptResult::kAnswered, milliseconds(1),
                          kStart + seconds(6)) == TargetChange::kRestored);
}

TEST_GROUP(Steering) {
  DocumentPtr document =
      *ParseDocument(SampleDocument("{north: 0.8, south: 0.2}"));
  const ServiceSpec& shop = document->services[0];
  Steering steering{{.region = "north", .started_at = kStart}};
  TimePoint now = kStart;

  void setup() override {
    steering.ApplyDocument(document, 1, now);
    steering.ApplyPlan({}, now);
    steering.SetOwnPermits("north", 10);
    steering.SetOwnPermits("south", 10);
    steering.Tick(now);
  }

  double SouthShare() {
    for (const Position& position : steering.Positions()) {
      if (position.home == "north") return position.split.at("south");
    }
    return -1;
  }

  Admission Admit() {
    return steering.Admit(
        {.service = &shop, .route = &shop.routes[0], .home_region = "north"},
        now);
  }

  /** Sends one request per tick for a second; those to region north fail. */
  void RunOneSecondWithNorthDown() {
    for (int i = 0; i < 10; ++i) {
      now += milliseconds(100);
      steering.Tick(now);
      const Admission admission = Admit();
      if (!admission.is_admitted()) continue;
      const bool fails = admission.target_region == "north";
      steering.Finish(admission,
                      fails ? AttemptResult::kFailed : AttemptResult::kAnswered,
                      milliseconds(10), now);
    }
  }
};

TEST(Steering, SplitLeavesLostRegionNoFasterThanTheCap) {
  std::vector<double> shares;
  bool was_seen_lost = false;
  for (int second = 0; second < 200; ++second) {
    RunOneSecondWithNorthDown();
    was_seen_lost |= steering.LostRegions(now).count({"shop", "north"}) == 1;
    shares.push_back(SouthShare());
    const size_t window = std::min<size_t>(shares.size() - 1, 20);
    const double moved = shares.back() - shares[shares.size() - 1 - window];
    CHECK_TRUE(moved <= 0.2 + 1e-9);
  }
  CHECK_TRUE(was_seen_lost);
  // An ejected target is tried again from time to time, so the share does not
  // reach 1.
  CHECK_TRUE(shares.back() > 0.8);
}

TEST(Steering, StalledControlThreadAdmitsNothing) {
  CHECK_TRUE(Admit().is_admitted());
  now += seconds(3);
  CHECK_TRUE(Admit().refusal == Refusal::kControlStalled);
  steering.Tick(now);
  CHECK_TRUE(Admit().is_admitted());
}

TEST(Steering, BytesOfAllDaemonsStayUnderTheLinkRate) {
  // Three daemons, each with a third of the link, send as much as they may.
  int64_t sent = 0;
  for (int daemon = 0; daemon < 3; ++daemon) {
    Steering each{{.region = "north", .started_at = kStart}};
    each.ApplyDocument(document, 1, kStart);
    each.SetLinkShare(1.0 / 3);
    TimePoint at = kStart;
    while (at < kStart + seconds(10)) {
      const Duration wait = each.ReserveLink("north", "south", 4096, at);
      if (wait == Duration::zero()) {
        sent += 4096;
      } else {
        at += wait;
      }
    }
  }
  const int64_t link = document->links[0].bytes_per_second;
  CHECK_TRUE(sent <= 10 * link + link / 20 + 3 * 4096);
  CHECK_TRUE(sent >= 9 * link);
}

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, RetriesStayUnderFractionOfAttempts) {
  RetryBudget budget{{.fraction = 0.1, .burst = 10}};
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    if (budget.TryTakeRetry()) ++retries;
  }
  CHECK_TRUE(retries <= 110);
  CHECK_TRUE(retries >= 100);
}

TEST_GROUP(RateLimiter){};

TEST(RateLimiter, BytesInAnyWindowStayUnderRateAndBurst) {
  RateLimiter limiter;
  limiter.SetRate(1'000'000);
  TimePoint now = kStart;
  int64_t sent = 0;
  while (now < kStart + seconds(10)) {
    const Duration wait = limiter.TryReserve(65536, now);
    if (wait == Duration::zero()) {
      sent += 65536;
    } else {
      now += wait;
    }
  }
  CHECK_TRUE(sent <= 10'000'000 + 50'000 + 65536);
  CHECK_TRUE(sent >= 9'800'000);
}

TEST(RateLimiter, NoRateSendsNothing) {
  RateLimiter limiter;
  limiter.SetRate(0);
  CHECK_TRUE(limiter.TryReserve(1, kStart) > Duration::zero());
  CHECK_TRUE(limiter.TryReserve(1, kStart + seconds(60)) > Duration::zero());
}

}  // namespace
}  // namespace greengage
