// Tests of the decision module with many endpoints and proxies, one update channel and infrequent reports.
#include <gtest/gtest.h>

#include <algorithm>

#include "policy/channel_budget.h"
#include "policy/controller_harness.h"

namespace beamshunt::test {
namespace {

vector<ListedEndpoint> listed_endpoints(unsigned endpoints_per_locality) {
  vector<ListedEndpoint> entries;
  for (unsigned k = 0; k < endpoints_per_locality; ++k)
    entries.push_back(make_endpoint(1000 + k, 0)), entries.push_back(make_endpoint(5000 + k, 1));
  return entries;
}

Settings settings_for(int proxies) {
  Settings settings = two_locality_settings();
  settings.proxy_count = proxies;
  return settings;
}

void register_proxies(ControllerHarness& harness, unsigned proxies, double rate) {
  vector<Event> events;
  for (unsigned p = 0; p < proxies; ++p) {
    harness.proxy_localities[p] = p % 2;
    events.emplace_back(ProxyRegistered{ProxyId(p), Locality(p % 2), rate, true});
  }
  harness.handle(events);
}

// Returns a harness with two localities of `endpoints_per_locality` endpoints, in which all `proxies`
// registered in one batch. `rate` is the expected rate of a proxy in requests per second.
ControllerHarness harness_with_proxies(unsigned proxies, unsigned endpoints_per_locality, double rate = 4) {
  ControllerHarness harness(settings_for(static_cast<int>(proxies)));
  harness.start(listed_endpoints(endpoints_per_locality));
  register_proxies(harness, proxies, rate);
  return harness;
}

// Returns a report function in which each endpoint is reported only every eighth period, for all eight
// periods.
template <typename MakeReports>
auto every_eighth_period(int& period, MakeReports make_one_report) {
  return [&period, make_one_report](const ListedEndpoint& endpoint) {
    if ((static_cast<unsigned>(endpoint.id) + static_cast<unsigned>(period)) % 8 != 0)
      return vector<EndpointReport>{};
    EndpointReport report = make_one_report(endpoint);
    report.interval = Duration(4000);
    return vector{report};
  };
}

Settings channel_settings() {
  Settings settings;
  settings.message_overhead_lines = 3;
  settings.channel_lines_per_second = 1000;
  settings.message_window = Duration(10000);
  return settings;
}

TEST(ChannelBudget, CountsLinesUntilTheyAreAcknowledged) {
  ChannelBudget budget(channel_settings());
  Time now{Duration(700)};
  budget.add_lines(ProxyId(1), 5);
  budget.add_lines(ProxyId(1), 2);
  budget.add_lines(ProxyId(2), 1);
  EXPECT_EQ(budget.queued_lines(now), 8 + 4 * 2);
  auto first = budget.finish_messages(Time(Duration(0)));
  EXPECT_FALSE(budget.finish_messages(Time(Duration(0))));
  budget.add_lines(ProxyId(1), 6);
  auto second = budget.finish_messages(Time(Duration(500)));
  ASSERT_TRUE(first && second);
  EXPECT_EQ(budget.max_messages_in_window({ProxyId(1), ProxyId(2)}, Time(Duration(600))), 3);
  EXPECT_EQ(budget.max_messages_in_window({ProxyId(1), ProxyId(2)}, Time(Duration(10400))), 2);
  budget.acknowledge(ProxyId(1), *second);  // acknowledges the first message too
  EXPECT_EQ(budget.queued_lines(now), 5);
  budget.acknowledge(ProxyId(1), *first);
  budget.acknowledge(ProxyId(9), *first);
  EXPECT_EQ(budget.queued_lines(now), 5);
}

// Guards against ignoring the queued lines to disconnected proxies while these proxies register and get their
// tables again.
TEST(ChannelBudget, DrainsLinesToDisconnectedProxiesAtTheChannelRate) {
  ChannelBudget budget(channel_settings());
  Time now{Duration(0)};
  budget.add_lines(ProxyId(1), 496);
  budget.finish_messages(now);
  budget.add_lines(ProxyId(1), 96);
  budget.remove_proxy(ProxyId(1), now);
  EXPECT_FALSE(budget.finish_messages(now)) << "the unfinished message is not sent";
  EXPECT_EQ(budget.queued_lines(now), 500);
  EXPECT_EQ(budget.queued_lines(now + Duration(300)), 200);
  EXPECT_EQ(budget.queued_lines(now + Duration(900)), 0);
}

// Guards against exceeding the queue limit of the channel by assigning complete tables to hundreds of proxies
// that register at once.
TEST(Scale, AssignsManyNewProxiesWithinTheQueueLimit) {
  ControllerHarness harness = harness_with_proxies(300, 60);
  std::size_t assignments = ControllerHarness::filter<AssignTable>(harness.last_actions).size();
  double lines = 0;
  for (unsigned p = 0; p < assignments; ++p) lines += static_cast<double>(harness.table_weights(p, 0).size());
  EXPECT_GT(assignments, 0u);
  EXPECT_LT(assignments, 300u);
  EXPECT_LT(lines + 6.0 * static_cast<double>(assignments), harness.settings.max_queued_lines);
  harness.handle({TimerFired{}});
  EXPECT_TRUE(ControllerHarness::filter<AssignTable>(harness.last_actions).empty())
      << "no message is acknowledged, so the queue has no room";
  harness.run_periods(
      8, [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 20, 0, 100)}; }, 2, 1);
  for (unsigned p = 0; p < 300; ++p) EXPECT_TRUE(harness.assigned_tables.contains({p, 0})) << p;
}

TEST(Scale, KeepsTablesFewAndShortAndDistributesLoadEvenly) {
  ControllerHarness harness = harness_with_proxies(300, 60);
  harness.run_periods(
      12, [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 20, 0, 100)}; }, 2, 1);
  std::map<EndpointId, double> load;
  for (unsigned p = 0; p < 300; ++p) {
    double sum = 0;
    for (auto& [id, weight] : harness.table_weights(p, 0)) sum += weight;
    for (auto& [id, weight] : harness.table_weights(p, 0)) load[id] += weight / sum;
    EXPECT_LE(harness.table_weights(p, 0).size(), 25u);
    EXPECT_GE(harness.table_weights(p, 0).size(), 8u);
  }
  EXPECT_LE(harness.tables.size(), 300 * 0.35);
  ASSERT_EQ(load.size(), 120u) << "each endpoint is in a table";
  for (auto& [id, endpoint_load] : load) EXPECT_NEAR(endpoint_load, 300 / 120.0, 0.25 * 300 / 120.0);
}

TEST(Scale, UsesCompleteTablesInASmallDeployment) {
  ControllerHarness harness = harness_with_proxies(6, 10, 10);
  EXPECT_EQ(harness.table_weights(0, 0).size(), 10u);
}

// Guards against exceeding the message limit of a proxy when the endpoint list changes in many small steps,
// each of which causes a priority update.
TEST(Scale, KeepsTheGracePeriodAndTheMessageLimitDuringSuccessiveDrains) {
  Settings settings = settings_for(6);
  settings.max_messages_per_window = 12;
  ControllerHarness harness(settings);
  harness.start(listed_endpoints(20));
  register_proxies(harness, 6, 10);
  auto all_fast = [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 20, 0, 100)}; };
  harness.run_periods(20, all_fast);
  int before = harness.message_counts[0];
  for (unsigned k = 0; k < 15; ++k) {
    ListedEndpoint removed = make_endpoint(1000 + k, 0);
    removed.state = EndpointState::removed;
    harness.handle({EndpointList{EndpointListKind::incremental, {removed}}});
    harness.run_periods(1, all_fast);
    EXPECT_EQ(harness.weight(0, 0, 1000 + std::max(k, 3u) - 3), k < 3 ? harness.weight(0, 0, 1000) : 0)
        << "an entry is removed within three periods";
  }
  EXPECT_LE(harness.message_counts[0] - before, settings.max_messages_per_window);
}

// Guards against treating the periods between two reports as evidence: in a large fleet they contain no
// successful attempt.
TEST(Scale, EjectsNoEndpointForSomeFailuresInInfrequentReports) {
  ControllerHarness harness = harness_with_proxies(40, 20);
  for (int i = 0; i < 40; ++i) {
    harness.run_periods(
        1,
        every_eighth_period(i,
                            [](const ListedEndpoint& endpoint) { return make_report(endpoint, 40, 8, 100); }),
        2, 1);
    ASSERT_TRUE(ControllerHarness::filter<LogMessage>(harness.last_actions).empty());
  }
}

// Guards against ejecting a busy endpoint that answers its requests but whose health checks time out before
// its first report.
TEST(Scale, EjectsNoEndpointForHealthCheckTimeoutsAlone) {
  ControllerHarness harness = harness_with_proxies(40, 20);
  for (int i = 0; i < 40; ++i) {
    harness.handle({HealthCheckResult{EndpointId(1003), AttemptOutcome::timed_out, Duration(400), {}},
                    HealthCheckResult{EndpointId(1004), AttemptOutcome::success, Duration(5), {}}});
    harness.run_periods(
        1,
        every_eighth_period(i,
                            [](const ListedEndpoint& endpoint) { return make_report(endpoint, 40, 0, 400); }),
        2, 1);
    ASSERT_TRUE(ControllerHarness::filter<LogMessage>(harness.last_actions).empty());
  }
}

// All tables share one queue. Guards against the first tables filling the queue whenever they are due, so
// that the last tables are never written.
TEST(Scale, WritesEveryTableWhenTheQueueIsShort) {
  Settings settings = two_locality_settings();
  settings.max_queued_lines = 40;
  ControllerHarness harness(settings);
  harness.start({make_endpoint(11, 0), make_endpoint(12, 0), make_endpoint(21, 1), make_endpoint(22, 1)});
  std::set<TableId> tables, written;
  auto all_fast = [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 20, 0, 100)}; };
  for (unsigned id = 1; id <= 8; ++id) {
    harness.register_proxy(id, id % 2, id <= 4 ? 2 : 200);
    harness.run_periods(6, all_fast);
    tables.insert(harness.assigned_tables.at({id, 0}));
  }
  ASSERT_GE(tables.size(), 4u);
  for (int k = 0; k < 40; ++k) {
    harness.run_period([&](const ListedEndpoint& endpoint) {
      return vector{
          make_report(endpoint, 20, 0, (static_cast<int>(endpoint.id) + k / 4) % 2 == 0 ? 100 : 600)};
    });
    for (const SetWeight& set_weight : ControllerHarness::filter<SetWeight>(harness.last_actions))
      written.insert(set_weight.table);
  }
  EXPECT_EQ(written, tables);
}

// Guards against exceeding the queue limit by one write of a long table to its many proxies.
TEST(Scale, StopsAWriteWhenItsFractionOfTheQueueIsFull) {
  Settings settings = settings_for(6);  // few configured proxies give complete tables; more proxies register
  settings.max_queued_lines = 1500;
  ControllerHarness harness(settings);
  harness.start(listed_endpoints(30));
  auto all_fast = [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 20, 0, 100)}; };
  for (unsigned p = 0; p < 60; ++p) {
    harness.register_proxy(p, p % 2, 20);
    harness.run_periods(1, all_fast);
  }
  harness.listed_endpoints = listed_endpoints(90);
  harness.handle({EndpointList{EndpointListKind::complete, harness.listed_endpoints}});
  double lines =
      static_cast<double>(ControllerHarness::filter<SetWeight>(harness.last_actions).size() + 4) * 30;
  EXPECT_LE(lines, 1500);
  harness.run_periods(60, all_fast);
  EXPECT_EQ(harness.table_weights(0, 0).size(), 90u) << "the remaining entries follow";
}

// Guards against using the listed capacity again after a restart, which overloads the endpoint while it warms
// up.
TEST(Scale, KeepsTheLearnedCapacityAfterARestart) {
  ControllerHarness harness = harness_with_proxies(4, 4, 20);
  auto half_rate_endpoint = [](const ListedEndpoint& endpoint) {
    EndpointReport report = make_report(endpoint, endpoint.id == EndpointId(1001) ? 10 : 20, 0, 100);
    report.load = {{"utilization", 0.6}};
    return vector{report};
  };
  harness.run_periods(120, half_rate_endpoint);
  ListedEndpoint restarted = make_endpoint(1001, 0);
  restarted.start_time_known = true, restarted.start_time = harness.now;
  harness.handle({EndpointList{EndpointListKind::incremental, {restarted}}});
  harness.run_periods(40, half_rate_endpoint);  // longer than the warm-up time
  EXPECT_LT(harness.weight(0, 0, 1001), 0.8 * harness.weight(0, 0, 1002));
}

TEST(Scale, EjectsAFailedEndpointAfterOneLateReport) {
  ControllerHarness harness = harness_with_proxies(40, 20);
  int ejected = 0;
  for (int i = 0; i < 40; ++i) {
    harness.run_periods(1,
                        every_eighth_period(i,
                                            [i](const ListedEndpoint& endpoint) {
                                              return make_report(
                                                  endpoint, 40,
                                                  i > 16 && endpoint.id == EndpointId(1003) ? 40 : 0, 100);
                                            }),
                        2, 1);
    ejected += static_cast<int>(ControllerHarness::filter<LogMessage>(harness.last_actions).size());
  }
  EXPECT_EQ(ejected, 1);
  for (unsigned p = 0; p < 40; p += 2) EXPECT_EQ(harness.weight(p, 0, 1003), 0);
}

// Guards against weights that drift because each step counts the noise of the few attempts in one report
// again.
TEST(Scale, KeepsWeightsNearTheListedCapacityWithFewAttemptsAndInfrequentReports) {
  ControllerHarness harness = harness_with_proxies(40, 20);
  unsigned noise = 1;
  for (int i = 0; i < 120; ++i) {
    auto noisy = [&noise](const ListedEndpoint& endpoint) {
      noise = noise * 1664525 + 1013904223;
      return make_report(endpoint, 8, 0, 60 + 80 * (noise >> 16) / 65536.0);
    };
    harness.run_periods(1, every_eighth_period(i, noisy), 2, 1);
  }
  for (auto& [id, weight] : harness.table_weights(0, 0)) EXPECT_NEAR(weight, 2, 0.6);
}

// Guards against a controller that serves the proxies of one locality, counts the other locality as idle and
// overloads it.
class LocalProxiesOnly : public ::testing::Test {
 protected:
  ControllerHarness harness_at_utilization(double local_utilization, double remote_utilization) {
    Settings settings = settings_for(4);
    settings.local_proxies_only = true;
    ControllerHarness harness(settings);
    harness.start(listed_endpoints(4));
    for (unsigned p = 0; p < 2; ++p) harness.register_proxy(p, 0, 20);
    harness.run_periods(30, [&](const ListedEndpoint& endpoint) {
      EndpointReport report = make_report(endpoint, 20, 0, 100);
      report.load = {
          {"utilization", endpoint.locality == Locality(0) ? local_utilization : remote_utilization}};
      return vector{report};
    });
    return harness;
  }
};
TEST_F(LocalProxiesOnly, SpillsOverFromAFullLocalityToOneWithSpareCapacity) {
  EXPECT_GT(harness_at_utilization(0.95, 0.3).weight(0, 0, 5001), 0);
}
TEST_F(LocalProxiesOnly, DoesNotSpillOverToAnEquallyFullLocality) {
  EXPECT_EQ(harness_at_utilization(0.95, 0.95).weight(0, 0, 5001), 0);
}
TEST_F(LocalProxiesOnly, DoesNotSpillOverWithSpareCapacityInTheOwnLocality) {
  EXPECT_EQ(harness_at_utilization(0.4, 0.05).weight(0, 0, 5001), 0);
}

TEST(Scale, HandlesAnEmptyListAndALargeGrowthOfTheFleet) {
  ControllerHarness harness(settings_for(300));
  harness.start({});
  register_proxies(harness, 50, 4);
  harness.run_periods(
      4, [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 20, 0, 100)}; }, 2, 1);
  harness.listed_endpoints = listed_endpoints(600);
  harness.handle({EndpointList{EndpointListKind::complete, harness.listed_endpoints}});
  harness.run_periods(
      8, [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 5, 0, 100)}; }, 2, 1);
  for (unsigned p = 0; p < 50; ++p) EXPECT_FALSE(harness.table_weights(p, 0).empty());
}

}  // namespace
}  // namespace beamshunt::test
