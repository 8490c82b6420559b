// The module without a wire: each rule's guard, each step of the mechanism, each exception.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <numeric>
#include <random>

#include "policy/controller_harness.h"
#include "policy/max_min_fairness.h"
#include "simulator_adapter/codec.h"

namespace beamshunt::test {
namespace {

const vector<ListedEndpoint> kFour = {make_endpoint(11, 0), make_endpoint(12, 0), make_endpoint(21, 1),
                                      make_endpoint(22, 1)};

auto all_fine = [](const ListedEndpoint& e) { return vector{heard(e, 20, 0, 100)}; };
auto all_jammed = [](const ListedEndpoint& e) { return vector{heard(e, 20, 2, 3000)}; };

ControllerHarness running(Settings s = two_locality_settings(), vector<ListedEndpoint> entries = kFour) {
  ControllerHarness f(s);
  f.start(entries);
  f.join(1, 0, 20);
  f.join(2, 1, 20);
  f.run(12, all_fine);
  return f;
}

// Two of three equal proxies are in the east: its load is over the mean and spills to the west.
ControllerHarness crowded_east() {
  ControllerHarness f(two_locality_settings());
  f.start(kFour);
  f.join(1, 0, 20);
  f.join(2, 0, 20);
  f.join(3, 1, 20);
  f.run(12, all_fine);
  return f;
}

// ---- Max-min fairness ----
TEST(MaxMin, GivesTheSmallWhatTheyAskAndSplitsTheRest) {
  EXPECT_EQ(max_min_shares(10, {2, 8, 10}), (vector<double>{2, 4, 4}));
  EXPECT_EQ(max_min_shares(100, {2, 8, 10}), (vector<double>{2, 8, 10}));
  EXPECT_EQ(max_min_shares(0, {2, 8}), (vector<double>{0, 0}));
  EXPECT_TRUE(max_min_shares(5, {}).empty());
}

TEST(MaxMin, NeverAboveDemandOrCapacityAndIndependentOfOrder) {
  std::mt19937 random(3);
  std::uniform_real_distribution<double> draw(0, 50);
  for (int round = 0; round < 200; ++round) {
    vector<double> demand(1 + round % 6);
    for (double& d : demand) d = draw(random);
    double capacity = draw(random) * 2;
    vector<double> fair = max_min_shares(capacity, demand);
    double sum = std::accumulate(fair.begin(), fair.end(), 0.0);
    double asked = std::accumulate(demand.begin(), demand.end(), 0.0);
    EXPECT_NEAR(sum, std::min(capacity, asked), 1e-9);
    for (std::size_t i = 0; i < demand.size(); ++i) EXPECT_LE(fair[i], demand[i] + 1e-12);
    vector<double> turned(demand.rbegin(), demand.rend()), back = max_min_shares(capacity, turned);
    std::reverse(back.begin(), back.end());
    for (std::size_t i = 0; i < demand.size(); ++i) EXPECT_NEAR(back[i], fair[i], 1e-9);
  }
}

// ---- The list ----
TEST(List, SubscribesAtStartAndAgainAfterALossWithBackoff) {
  ControllerHarness f(two_locality_settings());
  f.start(kFour);
  EXPECT_EQ(ControllerHarness::only<Subscribe>(f.last).size(), 1u);
  EXPECT_TRUE(ControllerHarness::only<Subscribe>(f.send({EndpointList{EndpointListKind::lost, {}}})).empty());
  int asked = 0;
  for (int i = 0; i < 4; ++i) {
    f.period(all_fine);
    asked += static_cast<int>(ControllerHarness::only<Subscribe>(f.last).size());
  }
  EXPECT_EQ(asked, 1);
}

TEST(List, ControllersThatLoseOneDiscoveryTogetherDoNotAskItTogether) {
  std::set<double> asked;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Settings s = two_locality_settings();
    s.seed = seed * 1000003;
    ControllerHarness f(s);
    f.start(kFour);
    f.send({EndpointList{EndpointListKind::lost, {}}});
    Time lost = f.now;
    while (ControllerHarness::only<Subscribe>(f.last).empty()) {
      f.now += Duration(10);
      f.send({});
      ASSERT_LE((f.now - lost).count(), 1250) << "an eighth of must_ask_in";
    }
    EXPECT_GE((f.now - lost).count(), 490) << "half a period's backoff";
    asked.insert((f.now - lost).count());
  }
  EXPECT_GE(asked.size(), 4u);
}

TEST(List, NeverSitsPastMustAskInUnheard) {
  ControllerHarness f(two_locality_settings());
  f.start(kFour);
  Time asked = f.now;
  for (int i = 0; i < 60; ++i) {
    f.period(all_fine);
    if (!ControllerHarness::only<Subscribe>(f.last).empty()) asked = f.now;
    ASSERT_LT(f.now - asked, f.settings.subscription_lifetime);
  }
}

TEST(List, PushedListsAreNotAskedFor) {
  Settings s = two_locality_settings();
  s.endpoint_list_by_subscription = false;
  s.subscription_lifetime = Duration{};
  ControllerHarness f(s);
  f.start(kFour);
  EXPECT_TRUE(ControllerHarness::only<Subscribe>(f.last).empty());
  f.run(40, all_fine);
  EXPECT_TRUE(ControllerHarness::only<Subscribe>(f.last).empty());
}

// ---- Rule 3: drains ----
TEST(Drain, ALineGoesInTheVeryReplyAndNeverComesBack) {
  for (EndpointState state : {EndpointState::draining, EndpointState::removed}) {
    ControllerHarness f = running();
    f.now += Duration(20);
    ListedEndpoint gone = make_endpoint(11, 0);
    gone.state = state;
    f.send({EndpointList{EndpointListKind::incremental, {gone}}});
    EXPECT_EQ(f.line(1, 0, 11), 0);
    EXPECT_GT(f.line(1, 0, 12), 0);
    f.join(3, 0, 20);  // one that joins later never hears of it
    EXPECT_EQ(f.line(3, 0, 11), 0);
    f.run(10, all_fine);
    EXPECT_EQ(f.line(1, 0, 11), 0);
  }
}

// All proxies of controllers that died come to one while endpoints drain. The channel takes three messages in
// a tenth of a second, in their order.
struct MassRejoin {
  static constexpr unsigned kProxies = 60;
  static Settings settings() {
    Settings s = two_locality_settings();
    s.max_queued_lines = 300, s.proxy_count = kProxies;
    return s;
  }
  ControllerHarness f{settings()};
  std::deque<UpdateAcknowledged> channel;
  std::set<ProxyId> bound;

  MassRejoin() {
    f.start(kFour);
    vector<Event> joins;
    for (unsigned p = 1; p <= kProxies; ++p)
      joins.emplace_back(ProxyRegistered{ProxyId(p), Locality(0), 20, false});
    send(joins);
  }
  void send(const vector<Event>& events) {
    f.send(events);
    std::set<ProxyId> reached;
    if (!ControllerHarness::only<SetWeight>(f.last).empty()) reached = bound;
    for (const AssignTable& b : ControllerHarness::only<AssignTable>(f.last))
      reached.insert(b.proxy), bound.insert(b.proxy);
    for (const AckRequest& barrier : ControllerHarness::only<AckRequest>(f.last))
      for (ProxyId proxy : reached)
        channel.push_back({proxy, f.settings.update_delay, barrier.sequence_number});
  }
  void step() {
    f.now += Duration(100);
    vector<Event> events{TimerFired{}};
    for (int k = 0; k < 3 && !channel.empty(); ++k, channel.pop_front()) events.emplace_back(channel.front());
    send(events);
  }
  void list(vector<ListedEndpoint> entries) {
    send({EndpointList{EndpointListKind::incremental, std::move(entries)}});
  }
};

ListedEndpoint draining(unsigned id) {
  ListedEndpoint e = make_endpoint(id, 0);
  e.state = EndpointState::draining;
  return e;
}

// Their binds filled the channel as fast as it emptied, and the removals for those bound before came seconds
// late.
TEST(Drain, ARemovalDoesNotWaitForTheBindsOfAMassRejoin) {
  MassRejoin r;
  for (int k = 0; k < 5; ++k) r.step();
  r.list({draining(11)});
  Time told = r.f.now;
  while (r.f.line(1, 0, 11) > 0 && r.f.now - told < Duration(5000)) r.step();
  EXPECT_LE((r.f.now - told).count(), 1000) << "half of the grace";
  EXPECT_LT(r.bound.size(), MassRejoin::kProxies) << "or the test had no rejoin to wait for";
  for (int k = 0; k < 100; ++k) r.step();
  EXPECT_EQ(r.bound.size(), MassRejoin::kProxies) << "and the binds go on";
}

// In a release others are listed as some drain. Urgent lines in their place filled the channel, and the
// proxies that waited to be bound waited on with what they held, drained endpoints in it.
TEST(Drain, LinesInThePlaceOfRemovedOnesWaitWhileProxiesWaitToBeBound) {
  MassRejoin r;
  for (int k = 0; k < 5; ++k) r.step();
  r.list({draining(11), make_endpoint(13, 0), make_endpoint(14, 0)});
  bool early = false;
  while (r.bound.size() < MassRejoin::kProxies && r.f.now < Time(Duration(90000))) {
    r.step();
    early |= r.f.line(1, 0, 13) > 0 && r.bound.size() < MassRejoin::kProxies;
  }
  EXPECT_FALSE(early);
  EXPECT_EQ(r.f.line(1, 0, 11), 0);
  vector<Event> leave;  // a queue this small has room for ordinary lines to a third of them
  for (unsigned p = 21; p <= MassRejoin::kProxies; ++p)
    leave.emplace_back(ProxyDisconnected{ProxyId(p)}), r.bound.erase(ProxyId(p));
  r.send(leave);
  for (int k = 0; k < 100; ++k) r.step();
  EXPECT_GT(r.f.line(1, 0, 13), 0) << "and they come when all are bound";
}

TEST(Drain, AnEndpointMissingFromAWholeListIsGone) {
  ControllerHarness f = running();
  f.send({EndpointList{EndpointListKind::complete,
                       {make_endpoint(12, 0), make_endpoint(21, 1), make_endpoint(22, 1)}}});
  EXPECT_EQ(f.line(1, 0, 11), 0);
}

// ---- Rule 1: nobody left without a server ----
TEST(NeverBare, TheLastSuspectEndpointStaysInTheTable) {
  ControllerHarness f(two_locality_settings());
  f.start({make_endpoint(11, 0)});
  f.join(1, 0, 20);
  f.run(20, [](const ListedEndpoint& e) { return vector{heard(e, 10, 10, 0)}; });
  EXPECT_GT(f.line(1, 0, 11), 0);
}

TEST(NeverBare, ALocalityWithoutServersReachesAcross) {
  ControllerHarness f(two_locality_settings());
  f.start({make_endpoint(21, 1)});
  f.join(1, 0, 20);
  EXPECT_GT(f.line(1, 0, 21), 0);
}

TEST(NeverBare, AHomeOnlyClassKeepsItsSuspectsRatherThanLeave) {
  Settings s = two_locality_settings();
  s.classes[1].local_only = true;
  ControllerHarness f(s);
  f.start(kFour);
  f.join(1, 0, 20);
  f.join(2, 1, 20);
  f.run(30, [](const ListedEndpoint& e) {
    return vector{heard(e, 10, e.locality == Locality(0) ? 10 : 0, 100)};
  });
  EXPECT_FALSE(f.lines(1, 1).empty());
  EXPECT_EQ(f.line(1, 1, 21), 0);
  EXPECT_EQ(f.line(1, 1, 22), 0);
  EXPECT_NE(f.bound.at({1, 0}), f.bound.at({1, 1}));
}

// ---- Binding ----
TEST(Binding, ProxiesOfALocalityAndBandShareATableAndAreBoundOnceAStream) {
  ControllerHarness f(two_locality_settings());
  f.start(kFour);
  f.send({ProxyRegistered{ProxyId(1), Locality(0), 20, true},
          ProxyRegistered{ProxyId(2), Locality(0), 21, true},
          ProxyRegistered{ProxyId(3), Locality(0), 900, true},
          ProxyRegistered{ProxyId(4), Locality(1), 20, true}});
  EXPECT_EQ(ControllerHarness::only<AssignTable>(f.last).size(), 4u);
  EXPECT_EQ(f.bound.at({1, 0}), f.bound.at({2, 0}));
  EXPECT_NE(f.bound.at({1, 0}), f.bound.at({3, 0}));
  EXPECT_NE(f.bound.at({1, 0}), f.bound.at({4, 0}));
  f.run(5, all_fine);
  EXPECT_TRUE(ControllerHarness::only<AssignTable>(f.last).empty());
  f.send({ProxyDisconnected{ProxyId(1)}});
  f.send({ProxyRegistered{ProxyId(1), Locality(0), 20, false}});
  EXPECT_EQ(ControllerHarness::only<AssignTable>(f.last).size(), 1u);
}

TEST(Binding, AnUnknownUsualRateCountsAsAverage) {
  ControllerHarness f(two_locality_settings());
  f.start(kFour);
  f.join(1, 0, 900);
  f.join(2, 0, 0);
  EXPECT_EQ(f.bound.at({1, 0}), f.bound.at({2, 0}));
}

TEST(Binding, AProxyThatLeavesInTheBatchItJoinedIsNotBound) {
  ControllerHarness f(two_locality_settings());
  f.start(kFour);
  f.send({ProxyRegistered{ProxyId(1), Locality(0), 20, true}, ProxyDisconnected{ProxyId(1)}});
  EXPECT_TRUE(ControllerHarness::only<AssignTable>(f.last).empty());
}

TEST(Binding, WithoutAnyListYetAProxyKeepsWhatItHolds) {
  ControllerHarness f(two_locality_settings());
  f.start({});
  f.join(1, 0, 20);
  f.run(3, [](const ListedEndpoint&) { return vector<EndpointReport>{}; });
  EXPECT_TRUE(f.bound.empty()) << "an empty table would leave it without a server";
  f.listed = kFour;
  f.send({EndpointList{EndpointListKind::complete, kFour}});
  EXPECT_EQ(f.lines(1, 0).size(), 4u);
}

TEST(Binding, LocalEndpointsComeFirst) {
  ControllerHarness f = running();
  EXPECT_GT(f.line(1, 0, 11), 0);
  EXPECT_EQ(f.line(1, 0, 21), 0);
  EXPECT_GT(f.line(2, 0, 21), 0);
}

TEST(Binding, AnOverloadedLocalityReachesAcross) {
  ControllerHarness f = crowded_east();
  EXPECT_GT(f.line(1, 0, 21), 0);
  EXPECT_LT(f.line(1, 0, 21), f.line(1, 0, 11));
  EXPECT_EQ(f.line(3, 0, 11), 0);
}

// Found on a drawn day: proxies that rejoin after a cut counted as idle until their first report, so all they
// brought stayed at home, on endpoints that had just started cold.
TEST(Binding, AProxyNotHeardOfYetCountsByItsAnnouncedRate) {
  ControllerHarness f(two_locality_settings());
  f.start(kFour);
  f.send({ProxyRegistered{ProxyId(1), Locality(0), 200, true},
          ProxyRegistered{ProxyId(2), Locality(1), 20, true}});
  EXPECT_GT(f.line(1, 0, 21), 0);
}

// ---- The BFAIR step ----
TEST(Bfair, AClassNeverCutCarriesNoBindingLimit) {
  ControllerHarness f = running();
  EXPECT_GE(f.level(1, 0).limit, 1e5);
  EXPECT_GE(f.level(1, 1).limit, 1e5);
}

TEST(Bfair, CutsTheLargestClassFirstOnceAllQueue) {
  ControllerHarness f = running();
  f.run(8, all_jammed, 40, 10);
  EXPECT_LT(f.level(1, 0).limit, 80);   // came: 80 a second
  EXPECT_GE(f.level(1, 1).limit, 1e5);  // under its fair share
}

TEST(Bfair, ACutWaitsThreePeriodsAboveT) {
  ControllerHarness f = running();
  f.run(2, all_jammed, 40, 10);
  EXPECT_GE(f.level(1, 0).limit, 1e5);
}

TEST(Bfair, RatesComeBackAfterTheJamUntilTheyBindNobody) {
  ControllerHarness f = running();
  f.run(8, all_jammed, 40, 10);
  double cut = f.level(1, 0).limit;
  f.run(20, all_fine, 40, 10);
  EXPECT_GT(f.level(1, 0).limit, cut);
  f.run(80, all_fine, 40, 10);
  EXPECT_GE(f.level(1, 0).limit, 1e5);
}

// One paused server must not cut whole classes at proxies that never send there: its weight drains instead.
TEST(Bfair, OneSlowServerIsDrainedNotCutFor) {
  ControllerHarness f = running();
  f.run(16,
        [](const ListedEndpoint& e) { return vector{heard(e, 20, 0, e.id == EndpointId(11) ? 2500 : 100)}; });
  EXPECT_GE(f.level(1, 0).limit, 1e5);
  EXPECT_LT(f.line(1, 0, 11), 0.5 * f.line(1, 0, 12));
}

// The next cut waits until tries admitted after the last one can have ended, lest stale latencies cut again.
TEST(Bfair, CutsAreALatencyApart) {
  ControllerHarness f = running();
  vector<Time> cuts;
  double before = f.level(1, 0).limit;
  for (int i = 0; i < 40; ++i) {
    f.period(all_jammed, 40, 10);
    if (double level = f.level(1, 0).limit; level < before * 0.95) cuts.push_back(f.now), before = level;
  }
  ASSERT_GE(cuts.size(), 2u);
  for (std::size_t i = 1; i < cuts.size(); ++i) EXPECT_GE(cuts[i] - cuts[i - 1], Duration(3000));
}

TEST(Bfair, BusyReportsThatShowIdleCoresStopACut) {
  ControllerHarness f = running();
  f.run(
      10,
      [](const ListedEndpoint& e) {
        EndpointReport h = heard(e, 20, 0, 3000);
        h.load = {{"utilization", 0.2}};
        return vector{h};
      },
      40, 10);
  EXPECT_GE(f.level(1, 0).limit, 1e5);
}

TEST(Bfair, ABandsPartIsSplitToARateAtEachProxy) {
  ControllerHarness f(two_locality_settings());
  f.start(kFour);
  f.join(1, 0, 20);
  f.join(2, 1, 20);
  f.join(3, 1, 20);
  f.run(12, all_fine);
  f.run(8, all_jammed, 40, 10);
  double total = f.level(1, 0).limit + 2 * f.level(2, 0).limit;
  EXPECT_LT(total, 240);  // 3 x 80 came
  EXPECT_GT(total, 60);
  EXPECT_NEAR(f.level(1, 0).limit, f.level(2, 0).limit, 0.25 * f.level(1, 0).limit);
}

// Found by a rule hunt: a level below 0 was sent for the first proxy of a band that joined under a cut.
TEST(Bfair, ABandThatBeginsUnderACutGetsALegalLevel) {
  ControllerHarness f = running();
  f.run(8, all_jammed, 40, 10);
  ASSERT_LT(f.level(1, 0).limit, 80);
  f.join(3, 0, 2000);
  f.join(4, 1, 0.01);
  for (int i = 0; i < 10; ++i) {
    for (const SetAdmissionLimit& a : ControllerHarness::only<SetAdmissionLimit>(f.last))
      ASSERT_GE(a.limit, 0);
    f.period(all_jammed, 40, 10);
  }
  EXPECT_GE(f.level(3, 0).limit, 0);
  EXPECT_GE(f.level(4, 0).limit, 0);
}

TEST(Bfair, ShareSitesGetAShare) {
  Settings s = two_locality_settings();
  s.admission_limit_kind = AdmissionLimitKind::share;
  ControllerHarness f = running(s);
  EXPECT_EQ(f.level(1, 0).limit, 1);
  f.run(8, all_jammed, 40, 10);
  EXPECT_LT(f.level(1, 0).limit, 1);
  EXPECT_GT(f.level(1, 0).limit, 0);
}

// ---- The weight step ----
TEST(Weights, AFadingNudgeForgetsALuckyBaseline) {
  ControllerHarness f = running();
  f.run(10,
        [](const ListedEndpoint& e) { return vector{heard(e, 20, 0, e.id == EndpointId(11) ? 400 : 100)}; });
  double drained = f.line(1, 0, 11);
  f.run(40, all_fine);
  EXPECT_GT(f.line(1, 0, 11), drained);
  EXPECT_NEAR(f.line(1, 0, 11), f.line(1, 0, 12), 0.3 * f.line(1, 0, 12));
}

TEST(Weights, AWrongListedSizeIsLearnedFromLoadReports) {
  ControllerHarness f = running();
  f.run(60, [](const ListedEndpoint& e) {
    EndpointReport h = heard(e, 20, 0, 100);
    h.load = {{"utilization", e.id == EndpointId(11) ? 0.8 : 0.4}};
    return vector{h};
  });
  EXPECT_LT(f.line(1, 0, 11), 0.7 * f.line(1, 0, 12));
}

// Endpoints of one listed size are worth the same part of it more often than not: what all of them report is
// known within seconds, and holds for one that has only just come.
TEST(Weights, WhatAListedSizeIsWorthIsLearnedTogetherAndHoldsForNewcomers) {
  ControllerHarness f(two_locality_settings());
  f.start({make_endpoint(11, 0, 4), make_endpoint(12, 0, 4), make_endpoint(13, 0, 3), make_endpoint(14, 0, 3),
           make_endpoint(21, 1, 4)});
  f.join(1, 0, 20);
  f.run(16, [](const ListedEndpoint& e) {
    EndpointReport h = heard(e, 20, 0, 100);
    h.load = {{"utilization", e.capacity == 3 ? 0.8 : 0.4}};
    return vector{h};
  });
  double worth = f.line(1, 0, 13) / f.line(1, 0, 11);  // listed as 3 to 4, and half of that by the reports
  EXPECT_LT(worth, 0.55);
  EXPECT_GT(worth, 0.3);
  f.listed.push_back(make_endpoint(15, 0, 3));
  f.send({EndpointList{EndpointListKind::incremental, {f.listed.back()}}});
  EXPECT_LT(f.line(1, 0, 15), 0.65 * f.line(1, 0, 11));
}

// Behind a cut the last report stays while the load heard of fades: that is no loss of speed.
TEST(Weights, AnOldLoadReportSaysNothingOfSpeed) {
  ControllerHarness f = running();
  auto reporting = [](const ListedEndpoint& e) {
    EndpointReport h = heard(e, 20, 0, 100);
    h.load = {{"utilization", 0.5}};
    return vector{h};
  };
  f.run(20, reporting);
  f.run(40, [&](const ListedEndpoint& e) {
    if (e.id == EndpointId(11))
      return vector{heard(e, 1, 0, 100)};  // next to nothing comes through, no report
    return reporting(e);
  });
  EXPECT_GT(f.line(1, 0, 11), 0.6 * f.line(1, 0, 12));
}

// ---- Health ----
auto server_fails = [](const ListedEndpoint& e) {
  return vector{heard(e, 10, e.id == EndpointId(11) ? 10 : 0, 100)};
};

TEST(Health, ADeadServerIsEjectedAndProbed) {
  ControllerHarness f = running();
  f.run(4, server_fails);
  EXPECT_EQ(f.line(1, 0, 11), 0);
  f.run(2, server_fails);
  bool probed = false;
  for (int i = 0; i < 3; ++i) {
    f.period(server_fails);
    for (const SendHealthCheck& p : ControllerHarness::only<SendHealthCheck>(f.last))
      probed |= p.endpoint == EndpointId(11);
  }
  EXPECT_TRUE(probed);
}

// One failed try in each second fades before three are counted: such a server was kept for good.
TEST(Health, AServerThatFailsAllOfItsFewTriesIsEjectedAndOneThatAnswersSomeIsNot) {
  ControllerHarness fleet(two_locality_settings());
  fleet.start({make_endpoint(1, 0), make_endpoint(2, 0), make_endpoint(3, 0), make_endpoint(4, 0),
               make_endpoint(5, 1)});
  fleet.join(1, 0, 8);
  fleet.run(20, [&](const ListedEndpoint& e) { return vector{heard(e, 4, 0, 100)}; });
  int k = 0;
  fleet.run(
      16,
      [&](const ListedEndpoint& e) {
        bool second = ++k / 5 % 2 == 0;  // of two periods; five servers a period
        if (e.id == EndpointId(2) && !second) return vector<EndpointReport>{};
        EndpointReport few = heard(e, 1, e.id == EndpointId(2) || k % 4 == 0, 100);
        few.interval = Duration(1000);
        if (e.id <= EndpointId(3) && e.id > EndpointId(1)) return vector{few};
        return vector{heard(e, 4, 0, 100)};
      },
      4, 2);
  EXPECT_EQ(fleet.line(1, 0, 2), 0);
  EXPECT_GT(fleet.line(1, 0, 3), 0);
}

// What was known of an endpoint tells whether it is still kept: an ejected one that comes back at once is not
// used.
TEST(Health, WhoIsLongGoneIsForgottenAndWhoComesBackAtOnceIsNot) {
  for (bool at_once : {true, false}) {
    ControllerHarness f = running();
    f.run(8, server_fails);
    ASSERT_EQ(f.line(1, 0, 11), 0);
    ListedEndpoint gone = f.listed[0];
    ASSERT_EQ(gone.id, EndpointId(11));
    gone.state = EndpointState::removed;
    f.listed.erase(f.listed.begin());
    f.send({EndpointList{EndpointListKind::incremental, {gone}}});
    f.run(at_once ? 2 : 140, all_fine);
    gone.state = EndpointState::available;
    f.send({EndpointList{EndpointListKind::incremental, {gone}}});
    f.run(2, all_fine);
    EXPECT_EQ(f.line(1, 0, 11) > 0, !at_once);
  }
}

TEST(Health, ReturnsByAnsweredProbesAndEasesIn) {
  ControllerHarness f = running();
  f.run(4, server_fails);
  ASSERT_EQ(f.line(1, 0, 11), 0);
  auto quiet_there = [](const ListedEndpoint& e) {
    return e.id == EndpointId(11) ? vector<EndpointReport>{} : vector{heard(e, 10, 0, 100)};
  };
  f.run(12, quiet_there);
  EXPECT_EQ(f.line(1, 0, 11), 0) << "no evidence, no return";
  for (int i = 0; i < 2; ++i)
    f.send({HealthCheckResult{EndpointId(11), AttemptOutcome::success, Duration(5), {}}});
  f.run(3, quiet_there);
  EXPECT_GT(f.line(1, 0, 11), 0);
  EXPECT_LT(f.line(1, 0, 11), 0.6 * f.line(1, 0, 12));
}

TEST(Health, AServerAnsweringErrorsQuicklyIsDrainedNotTakenForIdle) {
  ControllerHarness f = running();
  f.run(8,
        [](const ListedEndpoint& e) { return vector{heard(e, 20, e.id == EndpointId(11) ? 12 : 0, 100)}; });
  EXPECT_LT(f.line(1, 0, 11), 0.7 * f.line(1, 0, 12));
}

// A vanished server's tries end late, at their time-outs: unanswered probes tell sooner.
TEST(Health, AServerThatAnswersNeitherProbesNorTriesIsEjected) {
  ControllerHarness f = running();
  for (int i = 0; i < 4; ++i) {
    f.send({HealthCheckResult{EndpointId(11), AttemptOutcome::timed_out, Duration(400), {}},
            HealthCheckResult{EndpointId(12), AttemptOutcome::success, Duration(5), {}}});
    f.period([](const ListedEndpoint& e) {
      return e.id == EndpointId(11) ? vector<EndpointReport>{} : vector{heard(e, 20, 0, 100)};
    });
  }
  EXPECT_EQ(f.line(1, 0, 11), 0);
}

// When no probe comes back from a whole locality it is the way that is cut, not its servers that are gone.
TEST(Health, UnansweredProbesOfAWholeLocalityEjectNobody) {
  ControllerHarness f = running();
  for (int i = 0; i < 6; ++i) {
    f.send({HealthCheckResult{EndpointId(21), AttemptOutcome::timed_out, Duration(400), {}},
            HealthCheckResult{EndpointId(22), AttemptOutcome::timed_out, Duration(400), {}}});
    f.period([](const ListedEndpoint& e) {
      return e.locality == Locality(1) ? vector<EndpointReport>{} : vector{heard(e, 20, 0, 100)};
    });
  }
  EXPECT_GT(f.line(2, 0, 21), 0);
  EXPECT_GT(f.line(2, 0, 22), 0);
}

// What fails everywhere has a common cause: ejecting would only pile the load on fewer.
TEST(Health, NobodyIsEjectedWhenAllFailAlike) {
  ControllerHarness f = running();
  f.run(20, [](const ListedEndpoint& e) { return vector{heard(e, 20, 19, 100)}; });
  EXPECT_GT(f.line(1, 0, 11), 0);
  EXPECT_GT(f.line(1, 0, 12), 0);
}

TEST(Health, APathFaultEjectsForItsOwnSideOnly) {
  ControllerHarness f = crowded_east();
  auto cut_between = [](const ListedEndpoint& e) {
    vector<EndpointReport> h = {heard(e, 40, 0, 100)};
    if (e.id == EndpointId(21)) {  // the east's proxies fail there, the west's do not
      h.push_back(heard(e, 5, 5, 0));
      h.back().source_locality = Locality(0);
    }
    return h;
  };
  ASSERT_GT(f.line(1, 0, 21), 0);
  f.run(6, cut_between);
  EXPECT_EQ(f.line(1, 0, 21), 0);
  EXPECT_GT(f.line(3, 0, 21), 0);
}

TEST(Health, ThePanicThresholdKeepsPartOfTheFleet) {
  vector<ListedEndpoint> many;
  for (unsigned i = 1; i <= 10; ++i) many.push_back(make_endpoint(i, 0));
  ControllerHarness f(two_locality_settings());
  f.start(many);
  f.join(1, 0, 20);
  f.run(12, all_fine);
  for (unsigned dead = 1; dead <= 9; ++dead)  // one by one, so that the others look fine each time
    f.run(4, [&](const ListedEndpoint& e) {
      if (static_cast<unsigned>(e.id) < dead) return vector<EndpointReport>{};
      return vector{heard(e, 10, static_cast<unsigned>(e.id) == dead ? 10 : 0, 100)};
    });
  EXPECT_GE(f.lines(1, 0).size(), 4u);
}

// ---- Rule 4: cold servers ----
TEST(ColdStart, WorkFollowsTheGuaranteedCapacity) {
  ControllerHarness f = running();
  ListedEndpoint fresh = make_endpoint(11, 0);
  fresh.start_time = f.now;
  fresh.start_time_known = true;
  f.send({EndpointList{EndpointListKind::incremental, {fresh}}});
  EXPECT_LE(f.line(1, 0, 11), 0.3 * f.line(1, 0, 12));
  f.run(16, all_fine);  // half of the warm-up
  EXPECT_LE(f.line(1, 0, 11), 0.75 * f.line(1, 0, 12));
  EXPECT_GT(f.line(1, 0, 11), 0.3 * f.line(1, 0, 12));
  f.run(40, all_fine);
  EXPECT_NEAR(f.line(1, 0, 11), f.line(1, 0, 12), 0.4 * f.line(1, 0, 12));
}

TEST(ColdStart, NoColdServerIsUsedWhileTheFleetFails) {
  ControllerHarness f = running();
  f.run(8, [](const ListedEndpoint& e) { return vector{heard(e, 20, 14, 800)}; });
  ListedEndpoint fresh = make_endpoint(11, 0);
  fresh.start_time = f.now;
  fresh.start_time_known = true;
  f.send({EndpointList{EndpointListKind::incremental, {fresh}}});
  EXPECT_EQ(f.line(1, 0, 11), 0);
  EXPECT_GT(f.line(1, 0, 12), 0);
}

// Each serves 20 tries a second at half of what it can do. Those of a stopped controller come here at once,
// and reports of it come seconds later: a cold endpoint's part of the load is to stay what it can do.
TEST(ColdStart, WhatJoinsAndWhatTheListTakesAwayCountBeforeAnyTryFails) {
  ControllerHarness f(two_locality_settings());
  f.start(kFour);
  f.join(1, 0, 20);
  f.join(2, 1, 20);
  auto half_full = [](const ListedEndpoint& e) {
    EndpointReport h = heard(e, 10, 0, 100);
    h.load["utilization"] = 0.5;
    return vector{h};
  };
  f.run(12, half_full, 20, 0);
  ListedEndpoint fresh = make_endpoint(11, 0);
  fresh.start_time = f.now;
  fresh.start_time_known = true;
  f.send({EndpointList{EndpointListKind::incremental, {fresh}}});
  double calm = f.line(1, 0, 11) / f.line(1, 0, 12);
  EXPECT_GT(calm, 0.2);  // it is guaranteed to start at 0.25
  for (unsigned id = 3; id <= 6; ++id) f.join(id, id % 2, 160);
  f.now += f.settings.report_period;
  f.send({TimerFired{}});
  EXPECT_LE(f.line(4, 0, 11) / f.line(4, 0, 12), 0.3 * calm) << "720/s come, 120 can be done";
  ListedEndpoint drains = make_endpoint(22, 1);
  drains.state = EndpointState::draining;
  f.send({EndpointList{EndpointListKind::incremental, {drains}}});
  EXPECT_LE(f.line(4, 0, 11) / f.line(4, 0, 12), 0.2 * calm);
}

// A controller that starts into a jam has heard of no calm: cold servers wait for the first reports.
TEST(ColdStart, AControllerJustStartedSparesColdServers) {
  ControllerHarness f(two_locality_settings());
  vector<ListedEndpoint> entries = kFour;
  entries[0].start_time = f.now;
  entries[0].start_time_known = true;
  f.start(entries);
  f.join(1, 0, 20);
  EXPECT_EQ(f.line(1, 0, 11), 0);
  EXPECT_GT(f.line(1, 0, 12), 0);
}

TEST(ColdStart, AHomeOnlyClassIsLimitedWhileItsWholeLocalityIsCold) {
  Settings s = two_locality_settings();
  s.classes[1].local_only = true;
  ControllerHarness f(s);
  vector<ListedEndpoint> entries = kFour;
  for (int i : {0, 1}) entries[i].start_time = f.now, entries[i].start_time_known = true;
  f.start(entries);
  f.join(1, 0, 20);
  f.join(2, 1, 20);
  EXPECT_LE(f.level(1, 1).limit, 20 * 0.3);
  EXPECT_GT(f.level(1, 1).limit, 0);
  EXPECT_FALSE(f.lines(1, 1).empty());
  EXPECT_GE(f.level(2, 1).limit, 1e5);
  f.run(40, all_fine);
  EXPECT_GE(f.level(1, 1).limit, 1e5);
}

// The list tells of one endpoint seconds before the rest: the whole locality's work would come to it.
TEST(ColdStart, AHomeOnlyClassIsLimitedToWhatIsBackOfItsLocality) {
  for (AdmissionLimitKind kind : {AdmissionLimitKind::rate, AdmissionLimitKind::share}) {
    Settings s = two_locality_settings();
    s.classes[1].local_only = true;
    s.admission_limit_kind = kind;
    double open = kind == AdmissionLimitKind::rate ? 1e5 : 1,
           usual = kind == AdmissionLimitKind::rate ? 10 : 1;
    vector<ListedEndpoint> entries = kFour;
    for (unsigned id : {13, 14, 15}) entries.push_back(make_endpoint(id, 0));
    ControllerHarness f = running(s, entries);
    auto east = [](const ListedEndpoint& e) { return e.locality == Locality(0); };
    auto set_state = [&](EndpointState state) {
      for (ListedEndpoint& e : f.listed)
        if (east(e)) e.state = state, e.start_time = f.now, e.start_time_known = true;
    };
    set_state(EndpointState::removed);
    f.send({EndpointList{EndpointListKind::complete, f.listed}});
    f.run(4, [&](const ListedEndpoint& e) { return east(e) ? vector<EndpointReport>{} : all_fine(e); });
    set_state(EndpointState::available);
    f.send({EndpointList{EndpointListKind::incremental, {f.listed[0]}}});
    EXPECT_FALSE(f.lines(1, 1).empty());
    EXPECT_LE(f.level(1, 1).limit, usual * 0.25 / 5 * 1.1) << "one of five is back";
    EXPECT_GT(f.level(1, 1).limit, 0);
    f.send({EndpointList{EndpointListKind::incremental, f.listed}});
    f.run(4, all_fine);
    EXPECT_GE(f.level(1, 1).limit, usual * 0.25) << "all are back";
    f.run(40, all_fine);
    EXPECT_GE(f.level(1, 1).limit, open);
  }
}

// Only the classes that are free can leave a locality: where others stay at home, all that is over has to be
// theirs.
TEST(ColdStart, TheFirstOfALocalityToComeBackGetsNoMoreOfTheFreeClassesThanItsPart) {
  Settings s = two_locality_settings();
  s.classes[1].local_only = true;
  vector<ListedEndpoint> entries = kFour;
  for (unsigned id : {13, 14, 23, 24}) entries.push_back(make_endpoint(id, id / 10 - 1));
  ControllerHarness f = running(s, entries);
  auto west_alone = [](const ListedEndpoint& e) {
    return e.locality == Locality(0) ? vector<EndpointReport>{} : vector{heard(e, 20, 0, 100)};
  };
  for (ListedEndpoint& e : f.listed)
    if (e.locality == Locality(0))
      e.state = EndpointState::removed, e.start_time = f.now, e.start_time_known = true;
  f.send({EndpointList{EndpointListKind::complete, f.listed}});
  f.run(4, west_alone);
  f.listed[0].state = EndpointState::available;
  f.listed[0].start_time = f.now;
  f.send({EndpointList{EndpointListKind::incremental, {f.listed[0]}}});
  double all = 0;
  for (auto& [id, weight] : f.lines(1, 0)) all += weight;
  EXPECT_LE(f.line(1, 0, 11) / all, 0.15) << "0.5 of a strength of 8.5, and 40 of 100/s to give";
}

TEST(ColdStart, ARestartUnderTheSameIdForgetsItsHealth) {
  ControllerHarness f = running();
  f.run(4, server_fails);
  ASSERT_EQ(f.line(1, 0, 11), 0);
  ListedEndpoint fresh = make_endpoint(11, 0);
  fresh.start_time = f.now;
  fresh.start_time_known = true;
  f.listed[0] = fresh;
  f.send({EndpointList{EndpointListKind::incremental, {fresh}}});
  f.run(6, all_fine);
  EXPECT_GT(f.line(1, 0, 11), 0);
}

// ---- Rule 2: retries ----
TEST(Retries, OnlySafeClassesRepeatWithoutProof) {
  Settings s = two_locality_settings();
  s.classes.push_back({.latency_objective = Duration(1000),
                       .deadline = Duration(4000),
                       .idempotency_window = Duration(3000),
                       .semantics = Semantics::idempotent_with_key,
                       .idempotency_scope = IdempotencyScope::cell});
  ControllerHarness f(s);
  f.start(kFour);
  f.join(1, 0, 20);
  for (int i = 0; i < 100; ++i) {
    f.period(i % 3 ? all_fine : [](const ListedEndpoint& e) { return vector{heard(e, 20, 1, 100)}; });
    ASSERT_LE(f.level(1, 1).retry_mode, RetryMode::if_not_processed);
    ASSERT_LE(f.level(1, 2).retry_mode, RetryMode::if_not_processed);
  }
  EXPECT_EQ(f.level(1, 0).retry_mode, RetryMode::once);
}

TEST(Retries, NoStormUnderOverload) {
  ControllerHarness f = running();
  EXPECT_EQ(f.level(1, 0).retry_mode, RetryMode::once);
  f.run(8, all_jammed, 40, 10);
  EXPECT_LE(f.level(1, 0).retry_mode, RetryMode::if_not_processed);
  f.run(
      8, [](const ListedEndpoint& e) { return vector{heard(e, 40, 30, 3000)}; }, 40, 10);
  EXPECT_EQ(f.level(1, 0).retry_mode, RetryMode::never);
}

TEST(Retries, AFreshControllerAllowsNoMoreThanIsUsual) {
  for (RetryMode usual : {RetryMode::never, RetryMode::if_not_processed, RetryMode::twice}) {
    Settings s = two_locality_settings();
    s.default_retry_mode = usual;
    ControllerHarness f(s);
    f.start(kFour);
    f.join(1, 0, 20);
    EXPECT_EQ(f.level(1, 1).retry_mode, std::min(usual, RetryMode::if_not_processed));
  }
}

// ---- Rule 5: the pace of orders ----
TEST(Pace, MessagesToAProxyStayWithinTheSpan) {
  Settings s = two_locality_settings();
  s.max_messages_per_window = 12;
  ControllerHarness f(s);
  f.start(kFour);
  f.join(1, 0, 20);
  f.join(2, 1, 20);
  vector<std::pair<Time, int>> sent;
  for (int i = 0; i < 200; ++i) {  // everything moves all the time, some of it urgently
    f.period([&](const ListedEndpoint& e) {
      return vector{heard(e, 20, (i / 3) % 2 && e.id == EndpointId(11) ? 20 : 0, 100 + 300.0 * (i % 5))};
    });
    sent.emplace_back(f.now, f.messages[1]);
    for (auto& [then, count] : sent)
      if (f.now - then <= s.message_window) {
        ASSERT_LE(f.messages[1] - count, s.max_messages_per_window);
        break;
      }
  }
  EXPECT_GT(f.messages[1], 20);
}

TEST(Pace, NothingOrdinaryIsSentWhileTheChannelIsBehind) {
  Settings s = two_locality_settings();
  s.max_queued_lines = 40;
  ControllerHarness f(s);
  f.start(kFour);
  for (unsigned p = 1; p <= 4; ++p) f.join(p, p % 2, 20);
  for (int i = 0; i < 20; ++i) {
    f.now += s.report_period;  // nothing is confirmed: the channel is stuck
    f.send({TimerFired{}});
    ASSERT_TRUE(ControllerHarness::only<SetAdmissionLimit>(f.last).empty());
  }
}

TEST(Pace, NoUselessLines) {
  ControllerHarness f = running();
  f.run(30, all_fine);
  int before = f.messages[1];
  f.run(30, all_fine);
  EXPECT_EQ(f.messages[1], before);
}

// ---- Slices ----
Settings slice_settings(bool single_writer) {
  Settings s = two_locality_settings();
  s.shard_count = 4;
  s.single_writer = single_writer;
  s.lease = Duration(2500);
  s.lease_settle_time = Duration(5000);
  return s;
}

TEST(Slices, ASliceWithoutAnOpenEndpointGetsOne) {
  ControllerHarness f(slice_settings(false));
  f.start(kFour);
  f.send({ShardAssigned{TableId(3), true}, ShardOwnerReported{TableId(3), EndpointId(11), 1}});
  EXPECT_TRUE(ControllerHarness::only<SetWeight>(f.last).empty());
  ListedEndpoint gone = make_endpoint(11, 0);
  gone.state = EndpointState::draining;
  f.send({EndpointList{EndpointListKind::incremental, {gone}}});
  EXPECT_EQ(f.tables[TableId(3)].size(), 1u);
  EXPECT_FALSE(f.tables[TableId(3)].contains(EndpointId(11)));
  EXPECT_TRUE(ControllerHarness::only<AssignTable>(f.last).empty());
}

TEST(Slices, ASingleWriterSliceStopsAndSettlesBeforeItMoves) {
  ControllerHarness f(slice_settings(true));
  f.start(kFour);
  f.send({ShardAssigned{TableId(3), true}, ShardOwnerReported{TableId(3), EndpointId(11), 1}});
  ListedEndpoint gone = make_endpoint(11, 0);
  gone.state = EndpointState::removed;
  f.send({EndpointList{EndpointListKind::incremental, {gone}}});
  auto stops = ControllerHarness::only<SetAdmissionLimit>(f.last);
  ASSERT_EQ(stops.size(), 1u);
  EXPECT_EQ(stops[0].limit, 0);
  Time stopped = f.now;
  while (ControllerHarness::only<SetWeight>(f.last).empty() && f.now - stopped < Duration(20000)) {
    f.now += f.settings.report_period;
    f.send({TimerFired{}});
  }
  EXPECT_GE(f.now - stopped, Duration(8000));
  ASSERT_EQ(ControllerHarness::only<SetAdmissionLimit>(f.last).size(), 1u);
  EXPECT_GT(ControllerHarness::only<SetAdmissionLimit>(f.last)[0].limit, 0);
}

// A slice that opens again must not order repeats that its classes can't bear, whatever is usual.
TEST(Slices, AMovedSliceRepeatsNothingWithoutProof) {
  Settings s = slice_settings(true);
  s.default_retry_mode = RetryMode::twice;
  ControllerHarness f(s);
  f.start(kFour);
  f.send({ShardAssigned{TableId(3), true}});
  for (int i = 0; i < 60; ++i) {
    f.now += s.report_period;
    f.send({TimerFired{}});
  }
  EXPECT_GT(f.level_of(TableId(3), 1).limit, 0);
  EXPECT_LE(f.level_of(TableId(3), 1).retry_mode, RetryMode::if_not_processed);
}

TEST(Slices, ColdEndpointsServeWhenAllAreCold) {
  ControllerHarness f(slice_settings(false));
  vector<ListedEndpoint> entries = kFour;
  for (ListedEndpoint& e : entries) e.start_time = f.now, e.start_time_known = true;
  f.start(entries);
  f.send({ShardAssigned{TableId(0), true}, ShardAssigned{TableId(1), true}, ShardAssigned{TableId(2), true}});
  std::set<EndpointId> used;
  for (auto& [t, lines] : f.tables)
    for (auto& [id, w] : lines) used.insert(id);
  EXPECT_EQ(used.size(), 3u);
}

// ---- Determinism ----
TEST(Determinism, SameEventsSameActionsWhateverTheClocksOrigin) {
  auto play = [](double origin) {
    ControllerHarness f(two_locality_settings(), origin);
    f.start(kFour);
    f.join(1, 0, 20);
    f.join(2, 1, 20);
    std::string text;
    for (int i = 0; i < 60; ++i) {
      f.period(i < 20 ? all_fine : all_jammed, 40, 10);
      for (const Action& a : f.last)
        if (!std::holds_alternative<SetTimer>(a)) simulator_adapter::append_action(text, "assigner_0", a);
    }
    return text;
  };
  std::string first = play(1000);
  EXPECT_FALSE(first.empty());
  EXPECT_EQ(first, play(1000));
  EXPECT_EQ(first, play(1048576));
}

}  // namespace
}  // namespace beamshunt::test
