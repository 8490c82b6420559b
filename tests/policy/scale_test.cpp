// The module at full size: many endpoints and proxies, one channel, reports that come seldom.
#include <gtest/gtest.h>

#include <algorithm>

#include "policy/channel_budget.h"
#include "policy/controller_harness.h"

namespace beamshunt::test {
namespace {

vector<ListedEndpoint> many(unsigned each_zone) {
  vector<ListedEndpoint> entries;
  for (unsigned k = 0; k < each_zone; ++k)
    entries.push_back(make_endpoint(1000 + k, 0)), entries.push_back(make_endpoint(5000 + k, 1));
  return entries;
}

Settings large_settings(int proxies) {
  Settings s = two_locality_settings();
  s.proxy_count = proxies;
  return s;
}

void join_all(ControllerHarness& f, unsigned proxies, double rate) {
  vector<Event> events;
  for (unsigned p = 0; p < proxies; ++p) {
    f.zones[p] = p % 2;
    events.emplace_back(ProxyRegistered{ProxyId(p), Locality(p % 2), rate, true});
  }
  f.send(events);
}

// `proxies` in two localities of `each_zone` endpoints, all joined at once.
ControllerHarness joined(unsigned proxies, unsigned each_zone, double rate = 4) {
  ControllerHarness f(large_settings(static_cast<int>(proxies)));
  f.start(many(each_zone));
  join_all(f, proxies, rate);
  return f;
}

// Reports of an endpoint come every eighth period only, and then of all eight.
template <typename Heard>
auto seldom(int& period, Heard heard_of) {
  return [&period, heard_of](const ListedEndpoint& e) {
    if ((static_cast<unsigned>(e.id) + static_cast<unsigned>(period)) % 8 != 0)
      return vector<EndpointReport>{};
    EndpointReport h = heard_of(e);
    h.interval = Duration(4000);
    return vector{h};
  };
}

Settings channel_settings() {
  Settings s;
  s.message_overhead_lines = 3;
  s.channel_lines_per_second = 1000;
  s.message_window = Duration(10000);
  return s;
}

TEST(Channel, CountsWhatIsNotConfirmed) {
  ChannelBudget channel(channel_settings());
  Time now{Duration(700)};
  channel.add(ProxyId(1), 5);
  channel.add(ProxyId(1), 2);
  channel.add(ProxyId(2), 1);
  EXPECT_EQ(channel.queued_lines(now), 8 + 4 * 2);
  auto first = channel.close(Time(Duration(0)));
  EXPECT_FALSE(channel.close(Time(Duration(0))));
  channel.add(ProxyId(1), 6);
  auto second = channel.close(Time(Duration(500)));
  ASSERT_TRUE(first && second);
  EXPECT_EQ(channel.most_messages({ProxyId(1), ProxyId(2)}, Time(Duration(600))), 3);
  EXPECT_EQ(channel.most_messages({ProxyId(1), ProxyId(2)}, Time(Duration(10400))), 2);
  channel.acknowledge(ProxyId(1), *second);  // the later one confirms the earlier too
  EXPECT_EQ(channel.queued_lines(now), 5);
  channel.acknowledge(ProxyId(1), *first);
  channel.acknowledge(ProxyId(9), *first);
  EXPECT_EQ(channel.queued_lines(now), 5);
}

// Danger: the queue still holds what was ordered for proxies that left, while they join and are bound anew.
TEST(Channel, WhatWaitsForTheDepartedLeavesAtTheChannelsPace) {
  ChannelBudget channel(channel_settings());
  Time now{Duration(0)};
  channel.add(ProxyId(1), 496);
  channel.close(now);
  channel.add(ProxyId(1), 96);
  channel.forget(ProxyId(1), now);
  EXPECT_FALSE(channel.close(now)) << "its open message is not sent";
  EXPECT_EQ(channel.queued_lines(now), 500);
  EXPECT_EQ(channel.queued_lines(now + Duration(300)), 200);
  EXPECT_EQ(channel.queued_lines(now + Duration(900)), 0);
}

// Danger: binds of hundreds of proxies that join at once, each with its whole table, overfill the channel.
TEST(Scale, AMassJoinStaysWithinTheQueueAndAllAreBoundInTheEnd) {
  ControllerHarness f = joined(300, 60);
  std::size_t binds = ControllerHarness::only<AssignTable>(f.last).size();
  double lines = 0;
  for (unsigned p = 0; p < binds; ++p) lines += static_cast<double>(f.lines(p, 0).size());
  EXPECT_GT(binds, 0u);
  EXPECT_LT(binds, 300u);
  EXPECT_LT(lines + 6.0 * static_cast<double>(binds), f.settings.max_queued_lines);
  f.send({TimerFired{}});
  EXPECT_TRUE(ControllerHarness::only<AssignTable>(f.last).empty())
      << "nothing is confirmed, so there is no room";
  f.run(
      8, [](const ListedEndpoint& e) { return vector{heard(e, 20, 0, 100)}; }, 2, 1);
  for (unsigned p = 0; p < 300; ++p) EXPECT_TRUE(f.bound.contains({p, 0})) << p;
}

TEST(Scale, TablesAreShortFewAndShareTheEndpointsEvenly) {
  ControllerHarness f = joined(300, 60);
  f.run(
      12, [](const ListedEndpoint& e) { return vector{heard(e, 20, 0, 100)}; }, 2, 1);
  std::map<EndpointId, double> load;
  for (unsigned p = 0; p < 300; ++p) {
    double sum = 0;
    for (auto& [id, w] : f.lines(p, 0)) sum += w;
    for (auto& [id, w] : f.lines(p, 0)) load[id] += w / sum;
    EXPECT_LE(f.lines(p, 0).size(), 25u);
    EXPECT_GE(f.lines(p, 0).size(), 8u);
  }
  EXPECT_LE(f.tables.size(), 300 * 0.35);
  ASSERT_EQ(load.size(), 120u) << "each endpoint is in some table";
  for (auto& [id, l] : load) EXPECT_NEAR(l, 300 / 120.0, 0.25 * 300 / 120.0);
}

TEST(Scale, ASmallSiteKeepsWholeTables) {
  ControllerHarness f = joined(6, 10, 10);
  EXPECT_EQ(f.lines(0, 0).size(), 10u);
}

// Danger: with the list trickling, every change is urgent, and a proxy gets more messages than it may.
TEST(Scale, TricklingDrainsKeepTheGraceAndTheMessageLimit) {
  Settings s = large_settings(6);
  s.max_messages_per_window = 12;
  ControllerHarness f(s);
  f.start(many(20));
  join_all(f, 6, 10);
  auto fine = [](const ListedEndpoint& e) { return vector{heard(e, 20, 0, 100)}; };
  f.run(20, fine);
  int before = f.messages[0];
  for (unsigned k = 0; k < 15; ++k) {
    ListedEndpoint gone = make_endpoint(1000 + k, 0);
    gone.state = EndpointState::removed;
    f.send({EndpointList{EndpointListKind::incremental, {gone}}});
    f.run(1, fine);
    EXPECT_EQ(f.line(0, 0, 1000 + std::max(k, 3u) - 3), k < 3 ? f.line(0, 0, 1000) : 0) << "three periods on";
  }
  EXPECT_LE(f.messages[0] - before, s.max_messages_per_window);
}

// Danger: between two reports of a large fleet lie periods without a good answer; they are no evidence.
TEST(Scale, SeldomReportsWithSomeFailuresEjectNobody) {
  ControllerHarness f = joined(40, 20);
  for (int i = 0; i < 40; ++i) {
    f.run(1, seldom(i, [](const ListedEndpoint& e) { return heard(e, 40, 8, 100); }), 2, 1);
    ASSERT_TRUE(ControllerHarness::only<LogMessage>(f.last).empty());
  }
}

// Danger: deep probes expire at a busy server that answers its requests, long before it is first reported on.
TEST(Scale, ExpiredProbesAloneEjectNobody) {
  ControllerHarness f = joined(40, 20);
  for (int i = 0; i < 40; ++i) {
    f.send({HealthCheckResult{EndpointId(1003), AttemptOutcome::timed_out, Duration(400), {}},
            HealthCheckResult{EndpointId(1004), AttemptOutcome::success, Duration(5), {}}});
    f.run(1, seldom(i, [](const ListedEndpoint& e) { return heard(e, 40, 0, 400); }), 2, 1);
    ASSERT_TRUE(ControllerHarness::only<LogMessage>(f.last).empty());
  }
}

// Danger: one write to the many proxies of a long table overfills the queue.
// One queue serves all tables. Where the first can fill it whenever they are due, the last wait for good.
TEST(Scale, ATableThatWaitsLongestIsWrittenNext) {
  Settings s = two_locality_settings();
  s.max_queued_lines = 40;
  ControllerHarness f(s);
  f.start({make_endpoint(11, 0), make_endpoint(12, 0), make_endpoint(21, 1), make_endpoint(22, 1)});
  std::set<TableId> tables, written;
  auto fine = [](const ListedEndpoint& e) { return vector{heard(e, 20, 0, 100)}; };
  for (unsigned id = 1; id <= 8; ++id) {
    f.join(id, id % 2, id <= 4 ? 2 : 200);
    f.run(6, fine);
    tables.insert(f.bound.at({id, 0}));
  }
  ASSERT_GE(tables.size(), 4u);
  for (int k = 0; k < 40; ++k) {
    f.period([&](const ListedEndpoint& e) {
      return vector{heard(e, 20, 0, (static_cast<int>(e.id) + k / 4) % 2 == 0 ? 100 : 600)};
    });
    for (const SetWeight& line : ControllerHarness::only<SetWeight>(f.last)) written.insert(line.table);
  }
  EXPECT_EQ(written, tables);
}

TEST(Scale, AWriteStopsWhereItsPartOfTheQueueIsFull) {
  Settings s = large_settings(6);  // the site says few proxies, so tables are whole; many come
  s.max_queued_lines = 1500;
  ControllerHarness f(s);
  f.start(many(30));
  auto fine = [](const ListedEndpoint& e) { return vector{heard(e, 20, 0, 100)}; };
  for (unsigned p = 0; p < 60; ++p) {
    f.join(p, p % 2, 20);
    f.run(1, fine);
  }
  f.listed = many(90);
  f.send({EndpointList{EndpointListKind::complete, f.listed}});
  double lines = static_cast<double>(ControllerHarness::only<SetWeight>(f.last).size() + 4) * 30;
  EXPECT_LE(lines, 1500);
  f.run(60, fine);
  EXPECT_EQ(f.lines(0, 0).size(), 90u) << "the rest follows";
}

// Danger: full size of a restarted server is assumed anew, and it is pushed over while it is cold.
TEST(Scale, ARestartKeepsTheSpeedLearned) {
  ControllerHarness f = joined(4, 4, 20);
  auto slow_kind = [](const ListedEndpoint& e) {
    EndpointReport h = heard(e, e.id == EndpointId(1001) ? 10 : 20, 0, 100);
    h.load = {{"utilization", 0.6}};
    return vector{h};
  };
  f.run(120, slow_kind);
  ListedEndpoint again = make_endpoint(1001, 0);
  again.start_time_known = true, again.start_time = f.now;
  f.send({EndpointList{EndpointListKind::incremental, {again}}});
  f.run(40, slow_kind);  // warm again, by the warm-up stated
  EXPECT_LT(f.line(0, 0, 1001), 0.8 * f.line(0, 0, 1002));
}

TEST(Scale, ADeadServerIsEjectedByOneLateReport) {
  ControllerHarness f = joined(40, 20);
  int ejected = 0;
  for (int i = 0; i < 40; ++i) {
    f.run(1,
          seldom(i,
                 [i](const ListedEndpoint& e) {
                   return heard(e, 40, i > 16 && e.id == EndpointId(1003) ? 40 : 0, 100);
                 }),
          2, 1);
    ejected += static_cast<int>(ControllerHarness::only<LogMessage>(f.last).size());
  }
  EXPECT_EQ(ejected, 1);
  for (unsigned p = 0; p < 40; p += 2) EXPECT_EQ(f.line(p, 0, 1003), 0);
}

// Danger: the noise of a few tries, taken for new at every step, makes weights wander.
TEST(Scale, FewTriesHeardOfSeldomLeaveWeightsNearTheirSize) {
  ControllerHarness f = joined(40, 20);
  unsigned noise = 1;
  for (int i = 0; i < 120; ++i) {
    auto noisy = [&noise](const ListedEndpoint& e) {
      noise = noise * 1664525 + 1013904223;
      return heard(e, 8, 0, 60 + 80 * (noise >> 16) / 65536.0);
    };
    f.run(1, seldom(i, noisy), 2, 1);
  }
  for (auto& [id, w] : f.lines(0, 0)) EXPECT_NEAR(w, 2, 0.6);
}

// Danger: a controller that serves one locality's proxies takes the other for idle and floods it.
class LocalOnly : public ::testing::Test {
 protected:
  ControllerHarness after(double busy_here, double busy_there) {
    Settings s = large_settings(4);
    s.local_proxies_only = true;
    ControllerHarness f(s);
    f.start(many(4));
    for (unsigned p = 0; p < 2; ++p) f.join(p, 0, 20);
    f.run(30, [&](const ListedEndpoint& e) {
      EndpointReport h = heard(e, 20, 0, 100);
      h.load = {{"utilization", e.locality == Locality(0) ? busy_here : busy_there}};
      return vector{h};
    });
    return f;
  }
};
TEST_F(LocalOnly, SpillsFromAFullLocalityToOneWithRoom) { EXPECT_GT(after(0.95, 0.3).line(0, 0, 5001), 0); }
TEST_F(LocalOnly, KeepsAtHomeWhenTheOtherIsAsFull) { EXPECT_EQ(after(0.95, 0.95).line(0, 0, 5001), 0); }
TEST_F(LocalOnly, KeepsAtHomeWithRoomAtHome) { EXPECT_EQ(after(0.4, 0.05).line(0, 0, 5001), 0); }

TEST(Scale, AnEmptyListAndTenTimesTheFleetAreServed) {
  ControllerHarness f(large_settings(300));
  f.start({});
  join_all(f, 50, 4);
  f.run(
      4, [](const ListedEndpoint& e) { return vector{heard(e, 20, 0, 100)}; }, 2, 1);
  f.listed = many(600);
  f.send({EndpointList{EndpointListKind::complete, f.listed}});
  f.run(
      8, [](const ListedEndpoint& e) { return vector{heard(e, 5, 0, 100)}; }, 2, 1);
  for (unsigned p = 0; p < 50; ++p) EXPECT_FALSE(f.lines(p, 0).empty());
}

}  // namespace
}  // namespace beamshunt::test
