// Tests of the decision module through its Controller interface, without a network: the rules of the
// deployment, the steps of each decision, and their exceptions.
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

const vector<ListedEndpoint> kFourEndpoints = {make_endpoint(11, 0), make_endpoint(12, 0),
                                               make_endpoint(21, 1), make_endpoint(22, 1)};

auto all_fast = [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 20, 0, 100)}; };
auto all_overloaded = [](const ListedEndpoint& endpoint) {
  return vector{make_report(endpoint, 20, 2, 3000)};
};

ControllerHarness running_harness(Settings settings = two_locality_settings(),
                                  vector<ListedEndpoint> entries = kFourEndpoints) {
  ControllerHarness harness(settings);
  harness.start(entries);
  harness.register_proxy(1, 0, 20);
  harness.register_proxy(2, 1, 20);
  harness.run_periods(12, all_fast);
  return harness;
}

// Two of three equal proxies are in the east, so its load is above the mean and spills over to the west.
ControllerHarness harness_with_loaded_east() {
  ControllerHarness harness(two_locality_settings());
  harness.start(kFourEndpoints);
  harness.register_proxy(1, 0, 20);
  harness.register_proxy(2, 0, 20);
  harness.register_proxy(3, 1, 20);
  harness.run_periods(12, all_fast);
  return harness;
}

// ---- Max-min fairness ----
TEST(MaxMinShares, SatisfiesSmallDemandsAndSplitsTheRemainderEvenly) {
  EXPECT_EQ(max_min_shares(10, {2, 8, 10}), (vector<double>{2, 4, 4}));
  EXPECT_EQ(max_min_shares(100, {2, 8, 10}), (vector<double>{2, 8, 10}));
  EXPECT_EQ(max_min_shares(0, {2, 8}), (vector<double>{0, 0}));
  EXPECT_TRUE(max_min_shares(5, {}).empty());
}

TEST(MaxMinShares, NeverExceedDemandOrCapacityAndDoNotDependOnOrder) {
  std::mt19937 random(3);
  std::uniform_real_distribution<double> draw(0, 50);
  for (int round = 0; round < 200; ++round) {
    vector<double> demand(1 + round % 6);
    for (double& d : demand) d = draw(random);
    double capacity = draw(random) * 2;
    vector<double> shares = max_min_shares(capacity, demand);
    double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    double total_demand = std::accumulate(demand.begin(), demand.end(), 0.0);
    EXPECT_NEAR(sum, std::min(capacity, total_demand), 1e-9);
    for (std::size_t i = 0; i < demand.size(); ++i) EXPECT_LE(shares[i], demand[i] + 1e-12);
    vector<double> reversed_demand(demand.rbegin(), demand.rend()),
        reversed_shares = max_min_shares(capacity, reversed_demand);
    std::reverse(reversed_shares.begin(), reversed_shares.end());
    for (std::size_t i = 0; i < demand.size(); ++i) EXPECT_NEAR(reversed_shares[i], shares[i], 1e-9);
  }
}

// ---- Endpoint lists ----
TEST(EndpointListSubscription, IsSentAtStartAndOnceMoreWithBackoffAfterALoss) {
  ControllerHarness harness(two_locality_settings());
  harness.start(kFourEndpoints);
  EXPECT_EQ(ControllerHarness::filter<Subscribe>(harness.last_actions).size(), 1u);
  EXPECT_TRUE(ControllerHarness::filter<Subscribe>(harness.handle({EndpointList{EndpointListKind::lost, {}}}))
                  .empty());
  int subscriptions = 0;
  for (int i = 0; i < 4; ++i) {
    harness.run_period(all_fast);
    subscriptions += static_cast<int>(ControllerHarness::filter<Subscribe>(harness.last_actions).size());
  }
  EXPECT_EQ(subscriptions, 1);
}

TEST(EndpointListSubscription, IsRetriedAtDifferentTimesByControllersThatLoseDiscoveryTogether) {
  std::set<double> subscription_delays_ms;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    Settings settings = two_locality_settings();
    settings.seed = seed * 1000003;
    ControllerHarness harness(settings);
    harness.start(kFourEndpoints);
    harness.handle({EndpointList{EndpointListKind::lost, {}}});
    Time lost = harness.now;
    while (ControllerHarness::filter<Subscribe>(harness.last_actions).empty()) {
      harness.now += Duration(10);
      harness.handle({});
      ASSERT_LE((harness.now - lost).count(), 1250)
          << "maximum backoff: an eighth of the subscription lifetime";
    }
    EXPECT_GE((harness.now - lost).count(), 490) << "minimum backoff: half of the initial backoff";
    subscription_delays_ms.insert((harness.now - lost).count());
  }
  EXPECT_GE(subscription_delays_ms.size(), 4u);
}

TEST(EndpointListSubscription, IsAlwaysRenewedWithinItsLifetime) {
  ControllerHarness harness(two_locality_settings());
  harness.start(kFourEndpoints);
  Time last_subscription = harness.now;
  for (int i = 0; i < 60; ++i) {
    harness.run_period(all_fast);
    if (!ControllerHarness::filter<Subscribe>(harness.last_actions).empty()) last_subscription = harness.now;
    ASSERT_LT(harness.now - last_subscription, harness.settings.subscription_lifetime);
  }
}

TEST(EndpointListSubscription, IsNotSentWhereListsArePushed) {
  Settings settings = two_locality_settings();
  settings.endpoint_list_by_subscription = false;
  settings.subscription_lifetime = Duration{};
  ControllerHarness harness(settings);
  harness.start(kFourEndpoints);
  EXPECT_TRUE(ControllerHarness::filter<Subscribe>(harness.last_actions).empty());
  harness.run_periods(40, all_fast);
  EXPECT_TRUE(ControllerHarness::filter<Subscribe>(harness.last_actions).empty());
}

// ---- Rule 3: drains ----
TEST(Drain, RemovesTheEntryInTheSameBatchAndNeverRestoresIt) {
  for (EndpointState state : {EndpointState::draining, EndpointState::removed}) {
    ControllerHarness harness = running_harness();
    harness.now += Duration(20);
    ListedEndpoint unavailable = make_endpoint(11, 0);
    unavailable.state = state;
    harness.handle({EndpointList{EndpointListKind::incremental, {unavailable}}});
    EXPECT_EQ(harness.weight(1, 0, 11), 0);
    EXPECT_GT(harness.weight(1, 0, 12), 0);
    harness.register_proxy(3, 0, 20);  // a proxy that registers later does not get the entry
    EXPECT_EQ(harness.weight(3, 0, 11), 0);
    harness.run_periods(10, all_fast);
    EXPECT_EQ(harness.weight(1, 0, 11), 0);
  }
}

// All proxies of failed controllers register with one controller while endpoints drain. The channel delivers
// three messages every 100 ms, in order.
struct MassRegistration {
  static constexpr unsigned kProxies = 60;
  static Settings make_settings() {
    Settings settings = two_locality_settings();
    settings.max_queued_lines = 300, settings.proxy_count = kProxies;
    return settings;
  }
  ControllerHarness harness{make_settings()};
  std::deque<UpdateAcknowledged> channel;
  std::set<ProxyId> assigned;

  MassRegistration() {
    harness.start(kFourEndpoints);
    vector<Event> registrations;
    for (unsigned p = 1; p <= kProxies; ++p)
      registrations.emplace_back(ProxyRegistered{ProxyId(p), Locality(0), 20, false});
    send(registrations);
  }
  void send(const vector<Event>& events) {
    harness.handle(events);
    std::set<ProxyId> updated_proxies;
    if (!ControllerHarness::filter<SetWeight>(harness.last_actions).empty()) updated_proxies = assigned;
    for (const AssignTable& assignment : ControllerHarness::filter<AssignTable>(harness.last_actions))
      updated_proxies.insert(assignment.proxy), assigned.insert(assignment.proxy);
    for (const RemoveHeldEndpoint& removal :
         ControllerHarness::filter<RemoveHeldEndpoint>(harness.last_actions))
      updated_proxies.insert(removal.proxy);
    for (const AckRequest& ack_request : ControllerHarness::filter<AckRequest>(harness.last_actions))
      for (ProxyId proxy : updated_proxies)
        channel.push_back({proxy, harness.settings.update_delay, ack_request.sequence_number});
  }
  void step() {
    harness.now += Duration(100);
    vector<Event> events{TimerFired{}};
    for (int k = 0; k < 3 && !channel.empty(); ++k, channel.pop_front()) events.emplace_back(channel.front());
    send(events);
  }
  void update_list(vector<ListedEndpoint> entries) {
    send({EndpointList{EndpointListKind::incremental, std::move(entries)}});
  }
};

ListedEndpoint make_draining_endpoint(unsigned id) {
  ListedEndpoint endpoint = make_endpoint(id, 0);
  endpoint.state = EndpointState::draining;
  return endpoint;
}

// Guards against assignments that fill the channel as fast as it empties: removals for the proxies that were
// assigned earlier then arrived seconds late.
TEST(Drain, RemovesEntriesInTimeWhileManyProxiesAreAssigned) {
  MassRegistration registration;
  for (int k = 0; k < 5; ++k) registration.step();
  registration.update_list({make_draining_endpoint(11)});
  Time drain_time = registration.harness.now;
  while (registration.harness.weight(1, 0, 11) > 0 && registration.harness.now - drain_time < Duration(5000))
    registration.step();
  EXPECT_LE((registration.harness.now - drain_time).count(), 1000) << "half of the drain grace period";
  EXPECT_LT(registration.assigned.size(), MassRegistration::kProxies)
      << "otherwise no assignments compete with the removal";
  for (int k = 0; k < 100; ++k) registration.step();
  EXPECT_EQ(registration.assigned.size(), MassRegistration::kProxies) << "the assignments continue";
}

// During a release, new endpoints are listed while others drain. Guards against priority updates with
// replacement entries that fill the channel: proxies that waited for assignment then kept tables with
// reduced_weight endpoints.
TEST(Drain, DelaysReplacementEntriesWhileProxiesWaitForAssignment) {
  MassRegistration registration;
  for (int k = 0; k < 5; ++k) registration.step();
  registration.update_list({make_draining_endpoint(11), make_endpoint(13, 0), make_endpoint(14, 0)});
  bool replaced_early = false;
  while (registration.assigned.size() < MassRegistration::kProxies &&
         registration.harness.now < Time(Duration(90000))) {
    registration.step();
    replaced_early |= registration.harness.weight(1, 0, 13) > 0 &&
                      registration.assigned.size() < MassRegistration::kProxies;
  }
  EXPECT_FALSE(replaced_early);
  EXPECT_EQ(registration.harness.weight(1, 0, 11), 0);
  vector<Event> disconnects;  // the small queue has room for ordinary updates to only a third of the proxies
  for (unsigned p = 21; p <= MassRegistration::kProxies; ++p)
    disconnects.emplace_back(ProxyDisconnected{ProxyId(p)}), registration.assigned.erase(ProxyId(p));
  registration.send(disconnects);
  for (int k = 0; k < 100; ++k) registration.step();
  EXPECT_GT(registration.harness.weight(1, 0, 13), 0) << "the entry is sent once all proxies are assigned";
}

// Guards against proxies that hear of no drain before their complete tables, which came seconds after the
// grace period when hundreds of proxies registered with a restarted assigner.
TEST(Drain, IsToldToProxiesThatWaitForTheirTables) {
  MassRegistration registration;
  registration.update_list({make_draining_endpoint(11)});
  std::set<ProxyId> told;
  Time drain_time = registration.harness.now;
  while (registration.harness.now - drain_time < registration.harness.settings.drain_grace_period) {
    for (const auto& removal :
         ControllerHarness::filter<RemoveHeldEndpoint>(registration.harness.last_actions)) {
      EXPECT_EQ(removal.endpoint, EndpointId(11));
      EXPECT_FALSE(registration.assigned.contains(removal.proxy)) << "its tables do not have the endpoint";
      EXPECT_TRUE(told.insert(removal.proxy).second) << "it was told before";
    }
    registration.step();
  }
  told.insert(registration.assigned.begin(), registration.assigned.end());
  EXPECT_EQ(told.size(), MassRegistration::kProxies);
  for (int k = 0; k < 100; ++k) registration.step();
  EXPECT_EQ(registration.assigned.size(), MassRegistration::kProxies) << "the assignments continue";
}

// Guards against waiting proxies that were told to remove all that they hold and then wait behind the others.
TEST(Drain, AssignsProxiesThatMayHoldFewEndpointsBeforeTheOthers) {
  MassRegistration registration;
  registration.send({ProxyRegistered{ProxyId(100), Locality(1), 20, false}});
  for (unsigned id : {21U, 22U}) {
    ListedEndpoint removed = make_endpoint(id, 1);
    removed.state = EndpointState::removed;
    registration.update_list({removed});
  }
  Time removal_time = registration.harness.now;
  while (registration.harness.now - removal_time < registration.harness.settings.max_time_without_endpoints &&
         !registration.assigned.contains(ProxyId(100)))
    registration.step();
  EXPECT_TRUE(registration.assigned.contains(ProxyId(100)));
  EXPECT_LT(registration.assigned.size(), MassRegistration::kProxies) << "others still wait";
}

// The simulator's protocol has no removal for one proxy.
TEST(Drain, IsNotToldToWaitingProxiesWhereTheHostCannotDoSo) {
  Settings settings = MassRegistration::make_settings();
  Controller controller(settings, {.remove_held_endpoints = false});
  vector<Event> events = {EndpointList{EndpointListKind::cached, kFourEndpoints}};
  for (unsigned p = 1; p <= MassRegistration::kProxies; ++p)
    events.emplace_back(ProxyRegistered{ProxyId(p), Locality(0), 20, false});
  Time now{Duration(50000)};
  controller.handle(now, events);
  vector<Action> actions = controller.handle(
      now + Duration(100), {EndpointList{EndpointListKind::incremental, {make_draining_endpoint(11)}}});
  EXPECT_TRUE(ControllerHarness::filter<RemoveHeldEndpoint>(actions).empty());
}

// Two localities with two proxies each. The channel has room for a few lines at a time, until
// acknowledgements free it.
struct BusyChannel {
  static Settings make_settings() {
    Settings settings = two_locality_settings();
    settings.classes[1].local_only = true;
    settings.max_queued_lines = 60;
    settings.proxy_count = 4;
    return settings;
  }
  ControllerHarness harness{make_settings()};

  BusyChannel() {
    vector<ListedEndpoint> entries;
    for (unsigned locality : {0U, 1U})
      for (unsigned k = 1; k <= 6; ++k) entries.push_back(make_endpoint(10 * (locality + 1) + k, locality));
    harness.start(entries);
    for (unsigned proxy : {1U, 2U, 3U, 4U}) {
      harness.register_proxy(proxy, (proxy - 1) / 2, 20);
      harness.run_periods(4, all_fast);
    }
    harness.run_periods(20, all_fast);
  }
  // Handles a change of the list, `after` the previous event and without any acknowledgement.
  void change(unsigned id, unsigned locality, EndpointState state, Duration after = Duration(10)) {
    harness.now += after;
    ListedEndpoint entry = make_endpoint(id, locality);
    entry.state = state;
    harness.handle({EndpointList{EndpointListKind::incremental, {entry}}});
  }
  void acknowledge_all() {
    vector<Event> events;
    for (auto [proxy, sequence_number] : harness.unacknowledged)
      events.emplace_back(UpdateAcknowledged{ProxyId(proxy), harness.settings.update_delay, sequence_number});
    harness.unacknowledged.clear();
    events.emplace_back(TimerFired{});
    harness.handle(events);
  }
  // Returns whether any table of the proxy's classes has the endpoint.
  bool uses(unsigned proxy, unsigned endpoint) {
    return harness.weight(proxy, 0, endpoint) > 0 || harness.weight(proxy, 1, endpoint) > 0;
  }
};

// Guards against a group that takes the channel at each change of the list, so that removals of the other
// group wait until the end of a deploy.
TEST(Drain, RemovesTheEntryWithTheNearestDeadlineFirst) {
  BusyChannel busy;
  busy.change(11, 0, EndpointState::draining);
  ASSERT_FALSE(busy.uses(1, 11));
  busy.change(21, 1, EndpointState::draining);
  ASSERT_TRUE(busy.uses(3, 21)) << "the channel has no room for the second group";
  busy.change(12, 0, EndpointState::draining);
  busy.change(13, 0, EndpointState::draining);
  busy.harness.now += Duration(200);
  busy.acknowledge_all();
  EXPECT_FALSE(busy.uses(3, 21)) << "its removal waited longest";
}

// Guards against replacements in one table of a proxy that take the lines of removals in its other table.
TEST(Drain, RemovesEntriesFromAllTablesOfAProxyBeforeItAddsReplacements) {
  BusyChannel busy;
  busy.change(21, 1, EndpointState::draining);
  for (unsigned id : {17U, 18U, 19U}) busy.change(id, 0, EndpointState::available);
  busy.change(11, 0, EndpointState::draining);
  for (int k = 0; k < 4 && busy.uses(1, 11); ++k) {
    busy.harness.now += Duration(100);
    busy.acknowledge_all();
    EXPECT_EQ(busy.harness.weight(1, 0, 11) > 0, busy.harness.weight(1, 1, 11) > 0);
  }
  EXPECT_FALSE(busy.uses(1, 11));
}

TEST(Drain, RemovesAnEndpointThatIsMissingFromACompleteList) {
  ControllerHarness harness = running_harness();
  harness.handle({EndpointList{EndpointListKind::complete,
                               {make_endpoint(12, 0), make_endpoint(21, 1), make_endpoint(22, 1)}}});
  EXPECT_EQ(harness.weight(1, 0, 11), 0);
}

// ---- Rule 1: no proxy without a usable endpoint ----
TEST(NonEmptyTables, KeepTheLastEndpointEvenIfItFails) {
  ControllerHarness harness(two_locality_settings());
  harness.start({make_endpoint(11, 0)});
  harness.register_proxy(1, 0, 20);
  harness.run_periods(
      20, [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 10, 10, 0)}; });
  EXPECT_GT(harness.weight(1, 0, 11), 0);
}

TEST(NonEmptyTables, UseRemoteEndpointsInALocalityWithoutEndpoints) {
  ControllerHarness harness(two_locality_settings());
  harness.start({make_endpoint(21, 1)});
  harness.register_proxy(1, 0, 20);
  EXPECT_GT(harness.weight(1, 0, 21), 0);
}

TEST(NonEmptyTables, KeepFailingLocalEndpointsForALocalOnlyClass) {
  Settings settings = two_locality_settings();
  settings.classes[1].local_only = true;
  ControllerHarness harness(settings);
  harness.start(kFourEndpoints);
  harness.register_proxy(1, 0, 20);
  harness.register_proxy(2, 1, 20);
  harness.run_periods(30, [](const ListedEndpoint& endpoint) {
    return vector{make_report(endpoint, 10, endpoint.locality == Locality(0) ? 10 : 0, 100)};
  });
  EXPECT_FALSE(harness.table_weights(1, 1).empty());
  EXPECT_EQ(harness.weight(1, 1, 21), 0);
  EXPECT_EQ(harness.weight(1, 1, 22), 0);
  EXPECT_NE(harness.assigned_tables.at({1, 0}), harness.assigned_tables.at({1, 1}));
}

// ---- Table assignment ----
TEST(TableAssignment, SharesATableWithinALocalityAndRateBandAndHappensOncePerStream) {
  ControllerHarness harness(two_locality_settings());
  harness.start(kFourEndpoints);
  harness.handle({ProxyRegistered{ProxyId(1), Locality(0), 20, true},
                  ProxyRegistered{ProxyId(2), Locality(0), 21, true},
                  ProxyRegistered{ProxyId(3), Locality(0), 900, true},
                  ProxyRegistered{ProxyId(4), Locality(1), 20, true}});
  EXPECT_EQ(ControllerHarness::filter<AssignTable>(harness.last_actions).size(), 4u);
  EXPECT_EQ(harness.assigned_tables.at({1, 0}), harness.assigned_tables.at({2, 0}));
  EXPECT_NE(harness.assigned_tables.at({1, 0}), harness.assigned_tables.at({3, 0}));
  EXPECT_NE(harness.assigned_tables.at({1, 0}), harness.assigned_tables.at({4, 0}));
  harness.run_periods(5, all_fast);
  EXPECT_TRUE(ControllerHarness::filter<AssignTable>(harness.last_actions).empty());
  harness.handle({ProxyDisconnected{ProxyId(1)}});
  harness.handle({ProxyRegistered{ProxyId(1), Locality(0), 20, false}});
  EXPECT_EQ(ControllerHarness::filter<AssignTable>(harness.last_actions).size(), 1u);
}

TEST(TableAssignment, TreatsAnUnknownExpectedRateAsAverage) {
  ControllerHarness harness(two_locality_settings());
  harness.start(kFourEndpoints);
  harness.register_proxy(1, 0, 900);
  harness.register_proxy(2, 0, 0);
  EXPECT_EQ(harness.assigned_tables.at({1, 0}), harness.assigned_tables.at({2, 0}));
}

TEST(TableAssignment, SkipsAProxyThatDisconnectsInTheBatchOfItsRegistration) {
  ControllerHarness harness(two_locality_settings());
  harness.start(kFourEndpoints);
  harness.handle({ProxyRegistered{ProxyId(1), Locality(0), 20, true}, ProxyDisconnected{ProxyId(1)}});
  EXPECT_TRUE(ControllerHarness::filter<AssignTable>(harness.last_actions).empty());
}

TEST(TableAssignment, WaitsForTheFirstEndpointList) {
  ControllerHarness harness(two_locality_settings());
  harness.start({});
  harness.register_proxy(1, 0, 20);
  harness.run_periods(3, [](const ListedEndpoint&) { return vector<EndpointReport>{}; });
  EXPECT_TRUE(harness.assigned_tables.empty()) << "an empty table would leave the proxy without endpoints";
  harness.listed_endpoints = kFourEndpoints;
  harness.handle({EndpointList{EndpointListKind::complete, kFourEndpoints}});
  EXPECT_EQ(harness.table_weights(1, 0).size(), 4u);
}

TEST(TableAssignment, UsesOnlyLocalEndpointsWithoutOverload) {
  ControllerHarness harness = running_harness();
  EXPECT_GT(harness.weight(1, 0, 11), 0);
  EXPECT_EQ(harness.weight(1, 0, 21), 0);
  EXPECT_GT(harness.weight(2, 0, 21), 0);
}

TEST(TableAssignment, UsesRemoteEndpointsInALocalityWithMoreLoadThanTheMean) {
  ControllerHarness harness = harness_with_loaded_east();
  EXPECT_GT(harness.weight(1, 0, 21), 0);
  EXPECT_LT(harness.weight(1, 0, 21), harness.weight(1, 0, 11));
  EXPECT_EQ(harness.weight(3, 0, 11), 0);
}

// Guards against counting proxies that register again after a network partition as idle until their first
// report: all of their load then stayed in their locality, on endpoints that had just started. Found by a
// randomly generated scenario.
TEST(TableAssignment, CountsAProxyByItsExpectedRateBeforeItsFirstReport) {
  ControllerHarness harness(two_locality_settings());
  harness.start(kFourEndpoints);
  harness.handle({ProxyRegistered{ProxyId(1), Locality(0), 200, true},
                  ProxyRegistered{ProxyId(2), Locality(1), 20, true}});
  EXPECT_GT(harness.weight(1, 0, 21), 0);
}

// ---- Admission control: the BFAIR step ----
TEST(AdmissionControl, SetsNoEffectiveLimitForAClassWithoutACut) {
  ControllerHarness harness = running_harness();
  EXPECT_GE(harness.admission_limit(1, 0).limit, 1e5);
  EXPECT_GE(harness.admission_limit(1, 1).limit, 1e5);
}

TEST(AdmissionControl, CutsTheLargestClassFirstWhenAllEndpointsQueue) {
  ControllerHarness harness = running_harness();
  harness.run_periods(8, all_overloaded, 40, 10);
  EXPECT_LT(harness.admission_limit(1, 0).limit, 80);   // arrivals: 80 per second
  EXPECT_GE(harness.admission_limit(1, 1).limit, 1e5);  // below the fair share of the class
}

TEST(AdmissionControl, DoesNotCutBeforeThreePeriodsAboveTheThreshold) {
  ControllerHarness harness = running_harness();
  harness.run_periods(2, all_overloaded, 40, 10);
  EXPECT_GE(harness.admission_limit(1, 0).limit, 1e5);
}

TEST(AdmissionControl, RaisesRatesAfterAnOverloadUntilTheyAreUnlimited) {
  ControllerHarness harness = running_harness();
  harness.run_periods(8, all_overloaded, 40, 10);
  double cut = harness.admission_limit(1, 0).limit;
  harness.run_periods(20, all_fast, 40, 10);
  EXPECT_GT(harness.admission_limit(1, 0).limit, cut);
  harness.run_periods(80, all_fast, 40, 10);
  EXPECT_GE(harness.admission_limit(1, 0).limit, 1e5);
}

// One paused endpoint must not cause cuts of whole classes at proxies that never send to it; its weight
// decreases instead.
TEST(AdmissionControl, DoesNotCutForOneSlowEndpointWhoseWeightDecreases) {
  ControllerHarness harness = running_harness();
  harness.run_periods(16, [](const ListedEndpoint& endpoint) {
    return vector{make_report(endpoint, 20, 0, endpoint.id == EndpointId(11) ? 2500 : 100)};
  });
  EXPECT_GE(harness.admission_limit(1, 0).limit, 1e5);
  EXPECT_LT(harness.weight(1, 0, 11), 0.5 * harness.weight(1, 0, 12));
}

// The next cut waits until attempts admitted after the previous cut can have ended, because outdated
// latencies would otherwise cause another cut.
TEST(AdmissionControl, WaitsForOneLatencyBetweenCuts) {
  ControllerHarness harness = running_harness();
  vector<Time> cut_times;
  double before = harness.admission_limit(1, 0).limit;
  for (int i = 0; i < 40; ++i) {
    harness.run_period(all_overloaded, 40, 10);
    if (double limit = harness.admission_limit(1, 0).limit; limit < before * 0.95)
      cut_times.push_back(harness.now), before = limit;
  }
  ASSERT_GE(cut_times.size(), 2u);
  for (std::size_t i = 1; i < cut_times.size(); ++i)
    EXPECT_GE(cut_times[i] - cut_times[i - 1], Duration(3000));
}

TEST(AdmissionControl, DoesNotCutWhileLoadReportsShowLowUtilization) {
  ControllerHarness harness = running_harness();
  harness.run_periods(
      10,
      [](const ListedEndpoint& endpoint) {
        EndpointReport report = make_report(endpoint, 20, 0, 3000);
        report.load = {{"utilization", 0.2}};
        return vector{report};
      },
      40, 10);
  EXPECT_GE(harness.admission_limit(1, 0).limit, 1e5);
}

TEST(AdmissionControl, SplitsTheRateOfAGroupOverItsProxies) {
  ControllerHarness harness(two_locality_settings());
  harness.start(kFourEndpoints);
  harness.register_proxy(1, 0, 20);
  harness.register_proxy(2, 1, 20);
  harness.register_proxy(3, 1, 20);
  harness.run_periods(12, all_fast);
  harness.run_periods(8, all_overloaded, 40, 10);
  double total = harness.admission_limit(1, 0).limit + 2 * harness.admission_limit(2, 0).limit;
  EXPECT_LT(total, 240);  // arrivals: 3 x 80 per second
  EXPECT_GT(total, 60);
  EXPECT_NEAR(harness.admission_limit(1, 0).limit, harness.admission_limit(2, 0).limit,
              0.25 * harness.admission_limit(1, 0).limit);
}

// Guards against a negative limit, which was sent for the first proxy of a rate band that registered during a
// cut. Found by a search for rule violations.
TEST(AdmissionControl, SetsNonNegativeLimitsForAGroupCreatedDuringACut) {
  ControllerHarness harness = running_harness();
  harness.run_periods(8, all_overloaded, 40, 10);
  ASSERT_LT(harness.admission_limit(1, 0).limit, 80);
  harness.register_proxy(3, 0, 2000);
  harness.register_proxy(4, 1, 0.01);
  for (int i = 0; i < 10; ++i) {
    for (const SetAdmissionLimit& action : ControllerHarness::filter<SetAdmissionLimit>(harness.last_actions))
      ASSERT_GE(action.limit, 0);
    harness.run_period(all_overloaded, 40, 10);
  }
  EXPECT_GE(harness.admission_limit(3, 0).limit, 0);
  EXPECT_GE(harness.admission_limit(4, 0).limit, 0);
}

TEST(AdmissionControl, SetsAShareWhereTheLimitKindIsShare) {
  Settings settings = two_locality_settings();
  settings.admission_limit_kind = AdmissionLimitKind::share;
  ControllerHarness harness = running_harness(settings);
  EXPECT_EQ(harness.admission_limit(1, 0).limit, 1);
  harness.run_periods(8, all_overloaded, 40, 10);
  EXPECT_LT(harness.admission_limit(1, 0).limit, 1);
  EXPECT_GT(harness.admission_limit(1, 0).limit, 0);
}

// ---- Load balancing: the weight step ----
TEST(LoadBalancing, RestoresTheWeightWhenTheSlowdownEnds) {
  ControllerHarness harness = running_harness();
  harness.run_periods(10, [](const ListedEndpoint& endpoint) {
    return vector{make_report(endpoint, 20, 0, endpoint.id == EndpointId(11) ? 400 : 100)};
  });
  double reduced_weight = harness.weight(1, 0, 11);
  harness.run_periods(40, all_fast);
  EXPECT_GT(harness.weight(1, 0, 11), reduced_weight);
  EXPECT_NEAR(harness.weight(1, 0, 11), harness.weight(1, 0, 12), 0.3 * harness.weight(1, 0, 12));
}

TEST(LoadBalancing, CorrectsAWrongListedCapacityByLoadReports) {
  ControllerHarness harness = running_harness();
  harness.run_periods(60, [](const ListedEndpoint& endpoint) {
    EndpointReport report = make_report(endpoint, 20, 0, 100);
    report.load = {{"utilization", endpoint.id == EndpointId(11) ? 0.8 : 0.4}};
    return vector{report};
  });
  EXPECT_LT(harness.weight(1, 0, 11), 0.7 * harness.weight(1, 0, 12));
}

// Endpoints of equal listed capacity usually have equal relative capacity. Their reports together give an
// estimate within seconds, and the estimate also applies to a new endpoint.
TEST(LoadBalancing, LearnsTheCapacityOfAListedSizeJointlyAndAppliesItToNewEndpoints) {
  ControllerHarness harness(two_locality_settings());
  harness.start({make_endpoint(11, 0, 4), make_endpoint(12, 0, 4), make_endpoint(13, 0, 3),
                 make_endpoint(14, 0, 3), make_endpoint(21, 1, 4)});
  harness.register_proxy(1, 0, 20);
  harness.run_periods(16, [](const ListedEndpoint& endpoint) {
    EndpointReport report = make_report(endpoint, 20, 0, 100);
    report.load = {{"utilization", endpoint.capacity == 3 ? 0.8 : 0.4}};
    return vector{report};
  });
  // The listed ratio is 3/4; the reports show half of it.
  double capacity_ratio = harness.weight(1, 0, 13) / harness.weight(1, 0, 11);
  EXPECT_LT(capacity_ratio, 0.55);
  EXPECT_GT(capacity_ratio, 0.3);
  harness.listed_endpoints.push_back(make_endpoint(15, 0, 3));
  harness.handle({EndpointList{EndpointListKind::incremental, {harness.listed_endpoints.back()}}});
  EXPECT_LT(harness.weight(1, 0, 15), 0.65 * harness.weight(1, 0, 11));
}

// Across a network partition the last load report stays while the reported load decays. This must not count
// as a loss of capacity.
TEST(LoadBalancing, IgnoresAnOutdatedLoadReportInTheCapacity) {
  ControllerHarness harness = running_harness();
  auto reporting = [](const ListedEndpoint& endpoint) {
    EndpointReport report = make_report(endpoint, 20, 0, 100);
    report.load = {{"utilization", 0.5}};
    return vector{report};
  };
  harness.run_periods(20, reporting);
  harness.run_periods(40, [&](const ListedEndpoint& endpoint) {
    // Almost no attempts reach endpoint 11, and its reports contain no load report.
    if (endpoint.id == EndpointId(11)) return vector{make_report(endpoint, 1, 0, 100)};
    return reporting(endpoint);
  });
  EXPECT_GT(harness.weight(1, 0, 11), 0.6 * harness.weight(1, 0, 12));
}

// ---- Outlier detection ----
auto first_endpoint_fails = [](const ListedEndpoint& endpoint) {
  return vector{make_report(endpoint, 10, endpoint.id == EndpointId(11) ? 10 : 0, 100)};
};

TEST(OutlierEjection, EjectsAFailingEndpointAndSendsItHealthChecks) {
  ControllerHarness harness = running_harness();
  harness.run_periods(4, first_endpoint_fails);
  EXPECT_EQ(harness.weight(1, 0, 11), 0);
  harness.run_periods(2, first_endpoint_fails);
  bool health_check_sent = false;
  for (int i = 0; i < 3; ++i) {
    harness.run_period(first_endpoint_fails);
    for (const SendHealthCheck& check : ControllerHarness::filter<SendHealthCheck>(harness.last_actions))
      health_check_sent |= check.endpoint == EndpointId(11);
  }
  EXPECT_TRUE(health_check_sent);
}

// With one failed attempt per second, the count decays before it reaches three. Guards against keeping such
// an endpoint permanently.
TEST(OutlierEjection, EjectsAnEndpointThatFailsAllOfFewAttemptsButNotOneThatFailsSome) {
  ControllerHarness harness(two_locality_settings());
  harness.start({make_endpoint(1, 0), make_endpoint(2, 0), make_endpoint(3, 0), make_endpoint(4, 0),
                 make_endpoint(5, 1)});
  harness.register_proxy(1, 0, 8);
  harness.run_periods(
      20, [&](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 4, 0, 100)}; });
  int k = 0;
  harness.run_periods(
      16,
      [&](const ListedEndpoint& endpoint) {
        bool reports_now = ++k / 5 % 2 == 0;  // every other period; five endpoints report in each period
        if (endpoint.id == EndpointId(2) && !reports_now) return vector<EndpointReport>{};
        EndpointReport short_report =
            make_report(endpoint, 1, endpoint.id == EndpointId(2) || k % 4 == 0, 100);
        short_report.interval = Duration(1000);
        if (endpoint.id <= EndpointId(3) && endpoint.id > EndpointId(1)) return vector{short_report};
        return vector{make_report(endpoint, 4, 0, 100)};
      },
      4, 2);
  EXPECT_EQ(harness.weight(1, 0, 2), 0);
  EXPECT_GT(harness.weight(1, 0, 3), 0);
}

// The ejection shows whether the record of the endpoint still exists: an ejected endpoint that returns at
// once is not used, because its record is kept.
TEST(OutlierEjection, EndsForAnEndpointRemovedLongAgoButNotForOneThatReturnsAtOnce) {
  for (bool returns_at_once : {true, false}) {
    ControllerHarness harness = running_harness();
    harness.run_periods(8, first_endpoint_fails);
    ASSERT_EQ(harness.weight(1, 0, 11), 0);
    ListedEndpoint unavailable = harness.listed_endpoints[0];
    ASSERT_EQ(unavailable.id, EndpointId(11));
    unavailable.state = EndpointState::removed;
    harness.listed_endpoints.erase(harness.listed_endpoints.begin());
    harness.handle({EndpointList{EndpointListKind::incremental, {unavailable}}});
    harness.run_periods(returns_at_once ? 2 : 140, all_fast);
    unavailable.state = EndpointState::available;
    harness.handle({EndpointList{EndpointListKind::incremental, {unavailable}}});
    harness.run_periods(2, all_fast);
    EXPECT_EQ(harness.weight(1, 0, 11) > 0, !returns_at_once);
  }
}

TEST(OutlierEjection, EndsAfterSuccessfulHealthChecksAndThenSlowStartApplies) {
  ControllerHarness harness = running_harness();
  harness.run_periods(4, first_endpoint_fails);
  ASSERT_EQ(harness.weight(1, 0, 11), 0);
  auto first_endpoint_silent = [](const ListedEndpoint& endpoint) {
    return endpoint.id == EndpointId(11) ? vector<EndpointReport>{}
                                         : vector{make_report(endpoint, 10, 0, 100)};
  };
  harness.run_periods(12, first_endpoint_silent);
  EXPECT_EQ(harness.weight(1, 0, 11), 0) << "no readmission without successful health checks";
  for (int i = 0; i < 2; ++i)
    harness.handle({HealthCheckResult{EndpointId(11), AttemptOutcome::success, Duration(5), {}}});
  harness.run_periods(3, first_endpoint_silent);
  EXPECT_GT(harness.weight(1, 0, 11), 0);
  EXPECT_LT(harness.weight(1, 0, 11), 0.6 * harness.weight(1, 0, 12));
}

TEST(OutlierEjection, LowersTheWeightOfAnEndpointThatReturnsErrorsQuickly) {
  ControllerHarness harness = running_harness();
  harness.run_periods(8, [](const ListedEndpoint& endpoint) {
    return vector{make_report(endpoint, 20, endpoint.id == EndpointId(11) ? 12 : 0, 100)};
  });
  EXPECT_LT(harness.weight(1, 0, 11), 0.7 * harness.weight(1, 0, 12));
}

// Attempts at an endpoint that disappeared end late, by timeout. Failed health checks show the fault sooner.
TEST(OutlierEjection, EjectsAnEndpointThatAnswersNeitherHealthChecksNorRequests) {
  ControllerHarness harness = running_harness();
  for (int i = 0; i < 4; ++i) {
    harness.handle({HealthCheckResult{EndpointId(11), AttemptOutcome::timed_out, Duration(400), {}},
                    HealthCheckResult{EndpointId(12), AttemptOutcome::success, Duration(5), {}}});
    harness.run_period([](const ListedEndpoint& endpoint) {
      return endpoint.id == EndpointId(11) ? vector<EndpointReport>{}
                                           : vector{make_report(endpoint, 20, 0, 100)};
    });
  }
  EXPECT_EQ(harness.weight(1, 0, 11), 0);
}

// If no health check of a whole locality is answered, the network is partitioned and the endpoints are not at
// fault.
TEST(OutlierEjection, DoesNotHappenWhenHealthChecksOfAWholeLocalityFail) {
  ControllerHarness harness = running_harness();
  for (int i = 0; i < 6; ++i) {
    harness.handle({HealthCheckResult{EndpointId(21), AttemptOutcome::timed_out, Duration(400), {}},
                    HealthCheckResult{EndpointId(22), AttemptOutcome::timed_out, Duration(400), {}}});
    harness.run_period([](const ListedEndpoint& endpoint) {
      return endpoint.locality == Locality(1) ? vector<EndpointReport>{}
                                              : vector{make_report(endpoint, 20, 0, 100)};
    });
  }
  EXPECT_GT(harness.weight(2, 0, 21), 0);
  EXPECT_GT(harness.weight(2, 0, 22), 0);
}

// Failures of all endpoints have a common cause; ejections would only concentrate the load on fewer
// endpoints.
TEST(OutlierEjection, DoesNotHappenWhenAllEndpointsFail) {
  ControllerHarness harness = running_harness();
  harness.run_periods(
      20, [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 20, 19, 100)}; });
  EXPECT_GT(harness.weight(1, 0, 11), 0);
  EXPECT_GT(harness.weight(1, 0, 12), 0);
}

TEST(OutlierEjection, AppliesOnlyToTheLocalityWhosePathFails) {
  ControllerHarness harness = harness_with_loaded_east();
  auto east_path_fails = [](const ListedEndpoint& endpoint) {
    vector<EndpointReport> reports = {make_report(endpoint, 40, 0, 100)};
    // Attempts of the east's proxies fail, attempts of the west's proxies do not.
    if (endpoint.id == EndpointId(21)) {
      reports.push_back(make_report(endpoint, 5, 5, 0));
      reports.back().source_locality = Locality(0);
    }
    return reports;
  };
  ASSERT_GT(harness.weight(1, 0, 21), 0);
  harness.run_periods(6, east_path_fails);
  EXPECT_EQ(harness.weight(1, 0, 21), 0);
  EXPECT_GT(harness.weight(3, 0, 21), 0);
}

TEST(OutlierEjection, KeepsTheMinimumRemainingCapacity) {
  vector<ListedEndpoint> entries;
  for (unsigned i = 1; i <= 10; ++i) entries.push_back(make_endpoint(i, 0));
  ControllerHarness harness(two_locality_settings());
  harness.start(entries);
  harness.register_proxy(1, 0, 20);
  harness.run_periods(12, all_fast);
  // One endpoint fails at a time, so that the other endpoints do not fail in the same periods.
  for (unsigned failing_id = 1; failing_id <= 9; ++failing_id)
    harness.run_periods(4, [&](const ListedEndpoint& endpoint) {
      if (static_cast<unsigned>(endpoint.id) < failing_id) return vector<EndpointReport>{};
      return vector{
          make_report(endpoint, 10, static_cast<unsigned>(endpoint.id) == failing_id ? 10 : 0, 100)};
    });
  EXPECT_GE(harness.table_weights(1, 0).size(), 4u);
}

// ---- Rule 4: warming endpoints ----
TEST(WarmUp, RaisesTheWeightWithTheGuaranteedCapacity) {
  ControllerHarness harness = running_harness();
  ListedEndpoint restarted = make_endpoint(11, 0);
  restarted.start_time = harness.now;
  restarted.start_time_known = true;
  harness.handle({EndpointList{EndpointListKind::incremental, {restarted}}});
  EXPECT_LE(harness.weight(1, 0, 11), 0.3 * harness.weight(1, 0, 12));
  harness.run_periods(16, all_fast);  // half of the warm-up time
  EXPECT_LE(harness.weight(1, 0, 11), 0.75 * harness.weight(1, 0, 12));
  EXPECT_GT(harness.weight(1, 0, 11), 0.3 * harness.weight(1, 0, 12));
  harness.run_periods(40, all_fast);
  EXPECT_NEAR(harness.weight(1, 0, 11), harness.weight(1, 0, 12), 0.4 * harness.weight(1, 0, 12));
}

TEST(WarmUp, GivesNoTrafficToAWarmingEndpointWhileTheFleetFails) {
  ControllerHarness harness = running_harness();
  harness.run_periods(
      8, [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 20, 14, 800)}; });
  ListedEndpoint restarted = make_endpoint(11, 0);
  restarted.start_time = harness.now;
  restarted.start_time_known = true;
  harness.handle({EndpointList{EndpointListKind::incremental, {restarted}}});
  EXPECT_EQ(harness.weight(1, 0, 11), 0);
  EXPECT_GT(harness.weight(1, 0, 12), 0);
}

// Each endpoint serves 20 attempts per second at half of its capacity. Then the proxies of a stopped
// controller register at once, and the reports of their load arrive seconds later. The load of a warming
// endpoint must stay within its capacity in the meantime.
TEST(WarmUp, CountsNewDemandAndRemovedCapacityBeforeAnyAttemptFails) {
  ControllerHarness harness(two_locality_settings());
  harness.start(kFourEndpoints);
  harness.register_proxy(1, 0, 20);
  harness.register_proxy(2, 1, 20);
  auto half_utilized = [](const ListedEndpoint& endpoint) {
    EndpointReport report = make_report(endpoint, 10, 0, 100);
    report.load["utilization"] = 0.5;
    return vector{report};
  };
  harness.run_periods(12, half_utilized, 20, 0);
  ListedEndpoint restarted = make_endpoint(11, 0);
  restarted.start_time = harness.now;
  restarted.start_time_known = true;
  harness.handle({EndpointList{EndpointListKind::incremental, {restarted}}});
  double initial_ratio = harness.weight(1, 0, 11) / harness.weight(1, 0, 12);
  EXPECT_GT(initial_ratio, 0.2);  // guaranteed capacity at the start: 0.25
  for (unsigned id = 3; id <= 6; ++id) harness.register_proxy(id, id % 2, 160);
  harness.now += harness.settings.report_period;
  harness.handle({TimerFired{}});
  EXPECT_LE(harness.weight(4, 0, 11) / harness.weight(4, 0, 12), 0.3 * initial_ratio)
      << "720 requests per second arrive, the capacity is 120";
  ListedEndpoint draining_endpoint = make_endpoint(22, 1);
  draining_endpoint.state = EndpointState::draining;
  harness.handle({EndpointList{EndpointListKind::incremental, {draining_endpoint}}});
  EXPECT_LE(harness.weight(4, 0, 11) / harness.weight(4, 0, 12), 0.2 * initial_ratio);
}

// A controller may start during an overload, so warming endpoints get no traffic before the first reports.
TEST(WarmUp, GivesNoTrafficToAWarmingEndpointBeforeTheFirstReports) {
  ControllerHarness harness(two_locality_settings());
  vector<ListedEndpoint> entries = kFourEndpoints;
  entries[0].start_time = harness.now;
  entries[0].start_time_known = true;
  harness.start(entries);
  harness.register_proxy(1, 0, 20);
  EXPECT_EQ(harness.weight(1, 0, 11), 0);
  EXPECT_GT(harness.weight(1, 0, 12), 0);
}

TEST(WarmUp, LimitsALocalOnlyClassWhileItsWholeLocalityWarmsUp) {
  Settings settings = two_locality_settings();
  settings.classes[1].local_only = true;
  ControllerHarness harness(settings);
  vector<ListedEndpoint> entries = kFourEndpoints;
  for (int i : {0, 1}) entries[i].start_time = harness.now, entries[i].start_time_known = true;
  harness.start(entries);
  harness.register_proxy(1, 0, 20);
  harness.register_proxy(2, 1, 20);
  EXPECT_LE(harness.admission_limit(1, 1).limit, 20 * 0.3);
  EXPECT_GT(harness.admission_limit(1, 1).limit, 0);
  EXPECT_FALSE(harness.table_weights(1, 1).empty());
  EXPECT_GE(harness.admission_limit(2, 1).limit, 1e5);
  harness.run_periods(40, all_fast);
  EXPECT_GE(harness.admission_limit(1, 1).limit, 1e5);
}

// The endpoint list may contain one endpoint seconds before the others; without a limit it would get the load
// of the whole locality.
TEST(WarmUp, LimitsALocalOnlyClassToTheReturnedCapacityOfItsLocality) {
  for (AdmissionLimitKind kind : {AdmissionLimitKind::rate, AdmissionLimitKind::share}) {
    Settings settings = two_locality_settings();
    settings.classes[1].local_only = true;
    settings.admission_limit_kind = kind;
    double unlimited_limit = kind == AdmissionLimitKind::rate ? 1e5 : 1,
           expected_limit = kind == AdmissionLimitKind::rate ? 10 : 1;
    vector<ListedEndpoint> entries = kFourEndpoints;
    for (unsigned id : {13, 14, 15}) entries.push_back(make_endpoint(id, 0));
    ControllerHarness harness = running_harness(settings, entries);
    auto east = [](const ListedEndpoint& endpoint) { return endpoint.locality == Locality(0); };
    auto set_state = [&](EndpointState state) {
      for (ListedEndpoint& endpoint : harness.listed_endpoints)
        if (east(endpoint))
          endpoint.state = state, endpoint.start_time = harness.now, endpoint.start_time_known = true;
    };
    set_state(EndpointState::removed);
    harness.handle({EndpointList{EndpointListKind::complete, harness.listed_endpoints}});
    harness.run_periods(4, [&](const ListedEndpoint& endpoint) {
      return east(endpoint) ? vector<EndpointReport>{} : all_fast(endpoint);
    });
    set_state(EndpointState::available);
    harness.handle({EndpointList{EndpointListKind::incremental, {harness.listed_endpoints[0]}}});
    EXPECT_FALSE(harness.table_weights(1, 1).empty());
    EXPECT_LE(harness.admission_limit(1, 1).limit, expected_limit * 0.25 / 5 * 1.1)
        << "one of five endpoints is available again";
    EXPECT_GT(harness.admission_limit(1, 1).limit, 0);
    harness.handle({EndpointList{EndpointListKind::incremental, harness.listed_endpoints}});
    harness.run_periods(4, all_fast);
    EXPECT_GE(harness.admission_limit(1, 1).limit, expected_limit * 0.25)
        << "all endpoints are available again";
    harness.run_periods(40, all_fast);
    EXPECT_GE(harness.admission_limit(1, 1).limit, unlimited_limit);
  }
}

// Guards against the overload of the first endpoint of a lost locality: a controller that started after the
// loss took the endpoints that are back for the whole locality. The list names `returned` cold ones of five.
TEST(WarmUp, LimitsALocalOnlyClassAfterARestartThatForgotTheLostEndpoints) {
  for (AdmissionLimitKind kind : {AdmissionLimitKind::rate, AdmissionLimitKind::share}) {
    for (unsigned returned : {1U, 2U, 3U, 4U, 5U}) {
      Settings settings = two_locality_settings();
      settings.classes[1].local_only = true;
      settings.admission_limit_kind = kind;
      settings.proxy_count = 2;
      ControllerHarness harness(settings);
      vector<ListedEndpoint> entries;
      for (unsigned k = 0; k < 5; ++k) entries.push_back(make_endpoint(21 + k, 1));
      for (unsigned k = 0; k < returned; ++k) {
        entries.push_back(make_endpoint(11 + k, 0));
        entries.back().start_time = harness.now;
        entries.back().start_time_known = true;
      }
      harness.start(entries);
      harness.register_proxy(1, 0, 20);
      harness.register_proxy(2, 1, 20);
      harness.run_periods(2, all_fast);
      double local_demand = kind == AdmissionLimitKind::rate ? 10 : 1;
      double guaranteed = local_demand * settings.initial_capacity * returned / 5;
      // The other class may send as much again to the endpoints.
      EXPECT_LE(harness.admission_limit(1, 1).limit, guaranteed * settings.overload_multiple / 2) << returned;
      EXPECT_GE(harness.admission_limit(1, 1).limit, guaranteed) << returned;
    }
  }
}

// Guards against the same overload while proxies are still registering, in any order: the limits of all
// registered proxies of the locality together stay within what its first endpoint can do.
TEST(WarmUp, LimitsALocalOnlyClassWhileProxiesRegisterAfterARestart) {
  const vector<vector<unsigned>> kOrders = {
      {1, 2, 3, 4, 5, 6, 7, 8}, {5, 6, 7, 8, 1, 2, 3, 4}, {1, 5, 2, 6, 3, 7, 4, 8}};
  for (bool local_proxies_only : {false, true}) {
    for (const vector<unsigned>& order : kOrders) {
      Settings settings = two_locality_settings();
      settings.classes[1].local_only = true;
      settings.local_proxies_only = local_proxies_only;
      settings.proxy_count = 8;
      ControllerHarness harness(settings);
      vector<ListedEndpoint> entries = {make_endpoint(21, 1), make_endpoint(22, 1), make_endpoint(23, 1),
                                        make_endpoint(24, 1), make_endpoint(11, 0)};
      entries.back().start_time = harness.now;
      entries.back().start_time_known = true;
      harness.start(entries);
      double registered_locally = 0;
      for (unsigned proxy : order) {
        bool is_local = proxy <= 4;
        if (local_proxies_only && !is_local) continue;
        harness.register_proxy(proxy, is_local ? 0 : 1, 20);
        harness.run_periods(2, all_fast);
        if (!is_local) continue;
        double warm_up_progress = (harness.now - entries.back().start_time) / settings.warm_up_time;
        double factor = settings.initial_capacity + (1 - settings.initial_capacity) * warm_up_progress;
        // One of four endpoints is back, for 40 requests per second. The other class may send as much.
        double guaranteed = 40.0 / 4 * factor;
        double limit = ++registered_locally * harness.admission_limit(proxy, 1).limit;
        EXPECT_LE(limit, guaranteed * settings.overload_multiple / 2) << proxy;
        EXPECT_GT(limit, 0) << proxy;
      }
    }
  }
}

// Only classes that are not local-only can leave a locality, so the whole excess load has to consist of these
// classes.
TEST(WarmUp, SendsTheFirstReturningEndpointNoMoreOfTheMovableClassesThanItsShare) {
  Settings settings = two_locality_settings();
  settings.classes[1].local_only = true;
  vector<ListedEndpoint> entries = kFourEndpoints;
  for (unsigned id : {13, 14, 23, 24}) entries.push_back(make_endpoint(id, id / 10 - 1));
  ControllerHarness harness = running_harness(settings, entries);
  auto only_west_reports = [](const ListedEndpoint& endpoint) {
    return endpoint.locality == Locality(0) ? vector<EndpointReport>{}
                                            : vector{make_report(endpoint, 20, 0, 100)};
  };
  for (ListedEndpoint& endpoint : harness.listed_endpoints)
    if (endpoint.locality == Locality(0))
      endpoint.state = EndpointState::removed, endpoint.start_time = harness.now,
      endpoint.start_time_known = true;
  harness.handle({EndpointList{EndpointListKind::complete, harness.listed_endpoints}});
  harness.run_periods(4, only_west_reports);
  harness.listed_endpoints[0].state = EndpointState::available;
  harness.listed_endpoints[0].start_time = harness.now;
  harness.handle({EndpointList{EndpointListKind::incremental, {harness.listed_endpoints[0]}}});
  double total_weight = 0;
  for (auto& [id, weight] : harness.table_weights(1, 0)) total_weight += weight;
  EXPECT_LE(harness.weight(1, 0, 11) / total_weight, 0.15)
      << "the endpoint has 0.5 of a capacity of 8.5; 40 of 100 requests per second may leave";
}

TEST(WarmUp, ClearsTheHealthDataOfAnEndpointThatRestartsUnderTheSameId) {
  ControllerHarness harness = running_harness();
  harness.run_periods(4, first_endpoint_fails);
  ASSERT_EQ(harness.weight(1, 0, 11), 0);
  ListedEndpoint restarted = make_endpoint(11, 0);
  restarted.start_time = harness.now;
  restarted.start_time_known = true;
  harness.listed_endpoints[0] = restarted;
  harness.handle({EndpointList{EndpointListKind::incremental, {restarted}}});
  harness.run_periods(6, all_fast);
  EXPECT_GT(harness.weight(1, 0, 11), 0);
}

// ---- Rule 2: retries ----
TEST(Retries, AreAllowedWithoutProofOnlyForIdempotentClasses) {
  Settings settings = two_locality_settings();
  settings.classes.push_back({.latency_objective = Duration(1000),
                              .deadline = Duration(4000),
                              .idempotency_window = Duration(3000),
                              .semantics = Semantics::idempotent_with_key,
                              .idempotency_scope = IdempotencyScope::cell});
  ControllerHarness harness(settings);
  harness.start(kFourEndpoints);
  harness.register_proxy(1, 0, 20);
  for (int i = 0; i < 100; ++i) {
    harness.run_period(i % 3 ? all_fast : [](const ListedEndpoint& endpoint) {
      return vector{make_report(endpoint, 20, 1, 100)};
    });
    ASSERT_LE(harness.admission_limit(1, 1).retry_mode, RetryMode::if_not_processed);
    ASSERT_LE(harness.admission_limit(1, 2).retry_mode, RetryMode::if_not_processed);
  }
  EXPECT_EQ(harness.admission_limit(1, 0).retry_mode, RetryMode::once);
}

TEST(Retries, AreRestrictedUnderOverload) {
  ControllerHarness harness = running_harness();
  EXPECT_EQ(harness.admission_limit(1, 0).retry_mode, RetryMode::once);
  harness.run_periods(8, all_overloaded, 40, 10);
  EXPECT_LE(harness.admission_limit(1, 0).retry_mode, RetryMode::if_not_processed);
  harness.run_periods(
      8, [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 40, 30, 3000)}; }, 40, 10);
  EXPECT_EQ(harness.admission_limit(1, 0).retry_mode, RetryMode::never);
}

TEST(Retries, DoNotExceedTheDefaultModeInANewController) {
  for (RetryMode default_mode : {RetryMode::never, RetryMode::if_not_processed, RetryMode::twice}) {
    Settings settings = two_locality_settings();
    settings.default_retry_mode = default_mode;
    ControllerHarness harness(settings);
    harness.start(kFourEndpoints);
    harness.register_proxy(1, 0, 20);
    EXPECT_EQ(harness.admission_limit(1, 1).retry_mode, std::min(default_mode, RetryMode::if_not_processed));
  }
}

// ---- Rule 5: pacing of updates ----
TEST(UpdatePacing, KeepsTheMessageLimitForEachProxy) {
  Settings settings = two_locality_settings();
  settings.max_messages_per_window = 12;
  ControllerHarness harness(settings);
  harness.start(kFourEndpoints);
  harness.register_proxy(1, 0, 20);
  harness.register_proxy(2, 1, 20);
  vector<std::pair<Time, int>> sent;
  for (int i = 0; i < 200; ++i) {  // all weights change all the time, some by priority updates
    harness.run_period([&](const ListedEndpoint& endpoint) {
      return vector{make_report(endpoint, 20, (i / 3) % 2 && endpoint.id == EndpointId(11) ? 20 : 0,
                                100 + 300.0 * (i % 5))};
    });
    sent.emplace_back(harness.now, harness.message_counts[1]);
    for (auto& [send_time, count] : sent)
      if (harness.now - send_time <= settings.message_window) {
        ASSERT_LE(harness.message_counts[1] - count, settings.max_messages_per_window);
        break;
      }
  }
  EXPECT_GT(harness.message_counts[1], 20);
}

TEST(UpdatePacing, SendsNoOrdinaryUpdatesWhileTheChannelIsStalled) {
  Settings settings = two_locality_settings();
  settings.max_queued_lines = 40;
  ControllerHarness harness(settings);
  harness.start(kFourEndpoints);
  for (unsigned p = 1; p <= 4; ++p) harness.register_proxy(p, p % 2, 20);
  for (int i = 0; i < 20; ++i) {
    harness.now += settings.report_period;  // no message is acknowledged, so the channel is stalled
    harness.handle({TimerFired{}});
    ASSERT_TRUE(ControllerHarness::filter<SetAdmissionLimit>(harness.last_actions).empty());
  }
}

TEST(UpdatePacing, SendsNothingWhileNothingChanges) {
  ControllerHarness harness = running_harness();
  harness.run_periods(30, all_fast);
  int before = harness.message_counts[1];
  harness.run_periods(30, all_fast);
  EXPECT_EQ(harness.message_counts[1], before);
}

// ---- Shards ----
Settings shard_settings(bool single_writer) {
  Settings settings = two_locality_settings();
  settings.shard_count = 4;
  settings.single_writer = single_writer;
  settings.lease = Duration(2500);
  settings.lease_settle_time = Duration(5000);
  return settings;
}

TEST(Shards, GetANewOwnerWhenTheOwnerDrains) {
  ControllerHarness harness(shard_settings(false));
  harness.start(kFourEndpoints);
  harness.handle({ShardAssigned{TableId(3), true}, ShardOwnerReported{TableId(3), EndpointId(11), 1}});
  EXPECT_TRUE(ControllerHarness::filter<SetWeight>(harness.last_actions).empty());
  ListedEndpoint unavailable = make_endpoint(11, 0);
  unavailable.state = EndpointState::draining;
  harness.handle({EndpointList{EndpointListKind::incremental, {unavailable}}});
  EXPECT_EQ(harness.tables[TableId(3)].size(), 1u);
  EXPECT_FALSE(harness.tables[TableId(3)].contains(EndpointId(11)));
  EXPECT_TRUE(ControllerHarness::filter<AssignTable>(harness.last_actions).empty());
}

TEST(Shards, WithASingleWriterStopAndWaitForTheLeaseBeforeTheyMove) {
  ControllerHarness harness(shard_settings(true));
  harness.start(kFourEndpoints);
  harness.handle({ShardAssigned{TableId(3), true}, ShardOwnerReported{TableId(3), EndpointId(11), 1}});
  ListedEndpoint unavailable = make_endpoint(11, 0);
  unavailable.state = EndpointState::removed;
  harness.handle({EndpointList{EndpointListKind::incremental, {unavailable}}});
  auto stop_limits = ControllerHarness::filter<SetAdmissionLimit>(harness.last_actions);
  ASSERT_EQ(stop_limits.size(), 1u);
  EXPECT_EQ(stop_limits[0].limit, 0);
  Time stopped = harness.now;
  while (ControllerHarness::filter<SetWeight>(harness.last_actions).empty() &&
         harness.now - stopped < Duration(20000)) {
    harness.now += harness.settings.report_period;
    harness.handle({TimerFired{}});
  }
  EXPECT_GE(harness.now - stopped, Duration(8000));
  ASSERT_EQ(ControllerHarness::filter<SetAdmissionLimit>(harness.last_actions).size(), 1u);
  EXPECT_GT(ControllerHarness::filter<SetAdmissionLimit>(harness.last_actions)[0].limit, 0);
}

// A shard that resumes must not allow retries that are unsafe for its classes, whatever the default retry
// mode is.
TEST(Shards, AllowNoRetryWithoutProofAfterAMove) {
  Settings settings = shard_settings(true);
  settings.default_retry_mode = RetryMode::twice;
  ControllerHarness harness(settings);
  harness.start(kFourEndpoints);
  harness.handle({ShardAssigned{TableId(3), true}});
  for (int i = 0; i < 60; ++i) {
    harness.now += settings.report_period;
    harness.handle({TimerFired{}});
  }
  EXPECT_GT(harness.table_admission_limit(TableId(3), 1).limit, 0);
  EXPECT_LE(harness.table_admission_limit(TableId(3), 1).retry_mode, RetryMode::if_not_processed);
}

TEST(Shards, AreAssignedToWarmingEndpointsWhenAllAreWarmingUp) {
  ControllerHarness harness(shard_settings(false));
  vector<ListedEndpoint> entries = kFourEndpoints;
  for (ListedEndpoint& endpoint : entries)
    endpoint.start_time = harness.now, endpoint.start_time_known = true;
  harness.start(entries);
  harness.handle(
      {ShardAssigned{TableId(0), true}, ShardAssigned{TableId(1), true}, ShardAssigned{TableId(2), true}});
  std::set<EndpointId> used_endpoints;
  for (auto& [table, weights] : harness.tables)
    for (auto& [id, weight] : weights) used_endpoints.insert(id);
  EXPECT_EQ(used_endpoints.size(), 3u);
}

// ---- Determinism ----
TEST(Determinism, EqualEventsGiveEqualActionsForEveryClockOrigin) {
  auto run_scenario = [](double origin) {
    ControllerHarness harness(two_locality_settings(), origin);
    harness.start(kFourEndpoints);
    harness.register_proxy(1, 0, 20);
    harness.register_proxy(2, 1, 20);
    std::string text;
    for (int i = 0; i < 60; ++i) {
      harness.run_period(i < 20 ? all_fast : all_overloaded, 40, 10);
      for (const Action& action : harness.last_actions)
        if (!std::holds_alternative<SetTimer>(action))
          simulator_adapter::append_action(text, "assigner_0", action);
    }
    return text;
  };
  std::string first = run_scenario(1000);
  EXPECT_FALSE(first.empty());
  EXPECT_EQ(first, run_scenario(1000));
  EXPECT_EQ(first, run_scenario(1048576));
}

}  // namespace
}  // namespace beamshunt::test
