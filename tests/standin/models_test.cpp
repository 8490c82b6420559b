// The stand-ins' models: a server's queue, cold start and pod; a proxy's obedience.
#include <gtest/gtest.h>

#include "standin/proxy_model.h"
#include "standin/receiver.h"
#include "standin/server_model.h"

namespace beamshunt::standin {
namespace {

ServerModel server(ServerSpec spec = {}) {
  ServerModel s(spec, std::make_shared<Pod>(), 3000, 1);
  s.start(0, false);
  return s;
}

TEST(ServerModel, WorksThroughItsQueueWithItsCores) {
  ServerModel s = server({.cores = 2, .speed = 2, .most_queued = 1});
  EXPECT_EQ(s.arrive(0, {1, 1, 0, "", 100}), ServerModel::Taken::working);
  EXPECT_EQ(s.arrive(0, {2, 2, 0, "", 100}), ServerModel::Taken::working);
  EXPECT_EQ(s.arrive(0, {3, 3, 0, "", 100}), ServerModel::Taken::queued);
  EXPECT_EQ(s.arrive(0, {4, 4, 0, "", 100}), ServerModel::Taken::full);
  EXPECT_TRUE(s.advance(49).empty());
  EXPECT_EQ(s.advance(50).size(), 2u);
  auto last = s.advance(100);
  ASSERT_EQ(last.size(), 1u);
  EXPECT_EQ(last[0].token, 3u);
}

TEST(ServerModel, ItsPodDropsRepeatsWithinTheWindow) {
  auto pod = std::make_shared<Pod>();
  ServerModel a({}, pod, 3000, 1), b({}, pod, 3000, 2);
  a.start(0, false), b.start(0, false);
  a.arrive(0, {1, 1, 0, "key", 10});
  EXPECT_TRUE(a.advance(50)[0].effect);
  b.arrive(100, {2, 2, 0, "key", 10});
  EXPECT_FALSE(b.advance(200)[0].effect);
  b.arrive(3200, {3, 3, 0, "key", 10});
  EXPECT_TRUE(b.advance(5000)[0].effect);
}

TEST(ServerModel, WhatIsDoneWhenAnotherArrivesIsNotLost) {
  ServerModel s = server({.cores = 1});
  s.arrive(0, {1, 1, 0, "", 10});
  s.arrive(50, {2, 2, 0, "", 10});
  EXPECT_EQ(s.next_due(), 0);
  EXPECT_EQ(s.advance(50).size(), 1u);
  EXPECT_EQ(s.advance(60).size(), 1u);
}

TEST(ServerModel, AColdOneFallsOverWhenPushedAndStaysDown) {
  ServerModel s({.cores = 2, .start_capacity = 0.25, .tip_multiple = 4, .warm_up = 3000, .fall = 800},
                std::make_shared<Pod>(), 0, 1);
  s.start(0, true);
  for (int k = 0; k < 15; ++k) s.arrive(k, {1, 1, 0, "", 100});  // 1500 ms of work, 1600 may be
  EXPECT_TRUE(s.up());
  for (int k = 0; k < 3; ++k) s.arrive(20, {1, 1, 0, "", 100});
  EXPECT_TRUE(s.fell_over());
  EXPECT_FALSE(s.up());
}

TEST(ServerModel, LiesAsToldAndErrsByClass) {
  ServerModel s = server({.cores = 1});
  s.arrive(0, {1, 1, 0, "", 5000});
  double busy = s.load(2000).at("utilization");
  EXPECT_GT(busy, 0.9);
  s.faults.lie = LoadLie::scaled, s.faults.lie_factor = 0.1;
  EXPECT_NEAR(s.load(2000).at("utilization"), busy / 10, 1e-9);
  s.faults.lie = LoadLie::stuck;
  double stuck = s.load(2000).at("utilization");
  EXPECT_EQ(s.load(60000).at("utilization"), stuck);
  s.faults = {.error_share = 1, .failing_class = 1};
  EXPECT_EQ(s.arrive(2000, {2, 2, 1, "", 5}), ServerModel::Taken::error);
  EXPECT_NE(s.arrive(2000, {3, 3, 0, "", 5}), ServerModel::Taken::error);
}

native_protocol::WeightUpdate line(std::uint32_t table, std::uint32_t endpoint, double weight) {
  return {.table = table, .endpoint = endpoint, .weight = weight, .ip = 1, .port = 1};
}

ProxyModel bound(ProxySpec spec = {.classes = 2}) {
  spec.standing = {{.endpoint = 9}};
  ProxyModel p(spec);
  p.stream_begins();
  p.apply({1, 0, 5, {native_protocol::AssignTableUpdate{3, 0}, line(0, 1, 1), line(0, 2, 3)}});
  return p;
}

TEST(ProxyModel, PicksByWeightAndHoldsItsStandingTableUntilBound) {
  ProxyModel fresh({.classes = 1, .standing = {{.endpoint = 9}}});
  EXPECT_EQ(fresh.pick(0, 0, {})->endpoint, 9u);
  EXPECT_TRUE(fresh.only_standing());
  ProxyModel p = bound();
  EXPECT_FALSE(p.only_standing());
  int second = 0;
  for (int k = 0; k < 4000; ++k) second += p.pick(0, 0, {})->endpoint == 2;
  EXPECT_NEAR(second, 3000, 150);
  EXPECT_EQ(p.take_left().size(), 1u);
}

TEST(ProxyModel, KeepsItsTablesOverABreakAndTakesTheNewStreamsAsNew) {
  ProxyModel p = bound();
  p.stream_begins();
  EXPECT_EQ(p.lines_of(0).size(), 2u);
  // The new stream's table 0 is another table: class 1, not bound yet, keeps the old one.
  p.apply({1, 0, 5, {native_protocol::AssignTableUpdate{1, 0}, line(0, 7, 1)}});
  EXPECT_EQ(p.lines_of(0), std::vector<std::uint32_t>{7});
  EXPECT_EQ(p.lines_of(1), (std::vector<std::uint32_t>{1, 2}));
}

TEST(ProxyModel, AvoidsAfterFailuresInARowButNeverAllOfATable) {
  ProxyModel p = bound();
  for (int k = 0; k < 3; ++k) p.ended(100, 2, false, 0, {});
  for (int k = 0; k < 100; ++k) EXPECT_EQ(p.pick(200, 0, {})->endpoint, 1u);
  for (int k = 0; k < 3; ++k) p.ended(100, 1, false, 0, {});
  EXPECT_TRUE(p.pick(200, 0, {}));
  EXPECT_FALSE(p.pick(200, 0, {1, 2}));
}

TEST(ProxyModel, LetsInByRateAndRefusesAtZero) {
  ProxyModel p = bound();
  p.apply({2,
           0,
           5,
           {native_protocol::AdmissionLimitUpdate{0, 1, 20, 0},
            native_protocol::AdmissionLimitUpdate{0, 2, 0, 0}}});
  int in = 0;
  for (int ms = 0; ms < 10000; ms += 5) in += p.admit(ms, 0);
  EXPECT_NEAR(in, 200, 8);
  EXPECT_FALSE(p.admit(10000, 1));
  p.apply({3, 0, 5, {native_protocol::AdmissionLimitUpdate{native_protocol::kAllTables, 1, 5, 0}}});
  in = 0;
  for (int ms = 20000; ms < 30000; ms += 5) in += p.admit(ms, 0);
  EXPECT_NEAR(in, 50, 5);  // where both are set, the lower holds
}

TEST(ProxyModel, RetriesByItsModeAlone) {
  ProxyModel p = bound();
  auto mode = [&](std::uint8_t retry) {
    p.apply({2, 0, 5, {native_protocol::AdmissionLimitUpdate{0, 1, 1e6, retry}}});
  };
  mode(0);
  EXPECT_FALSE(p.may_retry(0, 1, true));
  mode(1);
  EXPECT_TRUE(p.may_retry(0, 1, true));
  EXPECT_FALSE(p.may_retry(0, 1, false));
  mode(2);
  EXPECT_TRUE(p.may_retry(0, 1, false));
  EXPECT_FALSE(p.may_retry(0, 2, false));
  mode(3);
  EXPECT_TRUE(p.may_retry(0, 2, false));
}

TEST(ProxyModel, ReportsEachTryOnce) {
  ProxyModel p = bound();
  p.reports_begin(0);
  p.came(0), p.came(0), p.unanswered(0);
  p.ended(10, 1, true, 30, {{"utilization", 0.5}}), p.ended(10, 1, true, 50, {}),
      p.ended(10, 1, false, 0, {});
  auto r = p.report(250);
  EXPECT_EQ(r.interval_ms, 250);
  ASSERT_EQ(r.endpoints.size(), 1u);
  EXPECT_EQ(r.endpoints[0].attempts, 3u);
  EXPECT_EQ(r.endpoints[0].failed, 1u);
  EXPECT_EQ(r.endpoints[0].mean_latency_ms, 40);
  EXPECT_EQ(r.demand[0].arrivals, 2u);
  EXPECT_TRUE(p.report(500).endpoints.empty());
}

alerts::Store looks(std::initializer_list<std::int64_t> times) {
  alerts::Store store;
  for (std::int64_t at : times) store.add({{"__name__", "beamshunt_up"}, {"instance", "0"}}, at, 1);
  return store;
}

// All days of a machine whose clock was set 927 ms on found a gap of 1127 ms between looks 200 ms apart.
TEST(FindGaps, AStepOfTheWallClockIsNoneAndALateLookIsOneBesideIt) {
  base::ClockStepDetector steady, stepped;
  stepped.sample(0, 10000, 0);
  stepped.sample(20, 10947, 20);
  EXPECT_EQ(find_gaps(looks({9800, 10927}), 1000, {}, steady).size(), 1u);
  EXPECT_TRUE(find_gaps(looks({9800, 10927}), 1000, {}, stepped).empty());
  EXPECT_EQ(find_gaps(looks({9800, 11728}), 1000, {}, stepped).size(), 1u);  // 1001 ms without the step
  EXPECT_EQ(find_gaps(looks({9800, 10927, 11928}), 1000, {}, stepped).size(), 1u);  // late after the step
}

}  // namespace
}  // namespace beamshunt::standin
