// Versions of streamed settings: what they make of the files, and how a running core takes them.
#include "assigner/streamed_configuration.h"

#include <gtest/gtest.h>

#include <tuple>

#include "assigner/core_harness.h"
#include "assigner/fleet_constraints.h"
#include "flight_record/replay.h"

namespace beamshunt::assigner::test {
namespace {

using config_stream::Resources;

const std::vector<config::Source> kFiles{{"site.cue", kSiteConfiguration}};

ComposedSettings with(const std::string& type, const std::string& body) {
  return compose(kFiles, {{{type, "site"}, {7, body}}});
}
std::string first(const ComposedSettings& c) {
  return c.reasons.empty() ? "" : c.reasons[0].path + " | " + c.reasons[0].reason;
}

TEST(StreamedConfiguration, AResourceTakesThePlaceOfWhatTheFileGivesAndNothingElse) {
  ComposedSettings c = with("limits", "site: channel: delay_most: 300ms");
  ASSERT_TRUE(c.settings) << first(c);
  EXPECT_EQ(c.settings->policy.max_update_delay.count(), 300);
  EXPECT_EQ(c.settings->policy.update_delay.count(), 20) << "its neighbour is still the file's";
  EXPECT_EQ(c.settings->policy.localities.size(), 2u);
  c = with("localities",
           R"(site: localities: [{name: "north", prefixes: ["127.10.0.0/16", "127.11.0.0/16"]}])");
  ASSERT_TRUE(c.settings) << first(c);
  EXPECT_EQ(c.settings->policy.localities.size(), 1u) << "a list is one value";
}

// A resource gives a field that is not its type's, or text that can't be read. The version is rejected, and
// the reason names the resource, the line and the field.
TEST(StreamedConfiguration, WhatATypeDoesNotGiveIsRefusedWithItsPlace) {
  EXPECT_EQ(first(with("limits", "\n  instance: 3")),
            "instance | limits/site@7:2:3: only the assigner's own file gives this");
  EXPECT_EQ(first(with("classes", "site: proxies: 3")),
            "site.proxies | classes/site@7:1:7: a resource of type \"classes\" does not give this");
  EXPECT_EQ(first(with("settings", "site: channel: delay: 3ms")).substr(0, 18), "site.channel.delay");
  EXPECT_EQ(first(with("wishes", "site: {}")), "wishes/site@7 | there is no type \"wishes\"");
  EXPECT_NE(first(with("limits", "site: channel: delay: [")).find("limits/site@7:1:"), std::string::npos);
  EXPECT_NE(first(with("limits", "site: channel: delay: 5")).find("limits/site@7:1:23: expected a duration"),
            std::string::npos);
  EXPECT_NE(first(with("limits", "site: channel: dealy: 5ms")).find("site.channel.dealy"), std::string::npos);
  ComposedSettings two = compose(kFiles, {{{"limits", "a"}, {1, "site: channel: delay: 3ms"}},
                                          {{"limits", "b"}, {2, "site: channel: delay: 4ms"}}});
  EXPECT_NE(first(two).find("conflicts with 3ms at limits/a@1"), std::string::npos) << first(two);
}

// Every field of the schema says how a change of it takes effect, and every one that may be streamed has a
// type.
TEST(StreamedConfiguration, EveryFieldOfTheSchemaHasAWayToTakeEffect) {
  std::string all = kSiteConfiguration;
  all += R"(
admit: ["127.0.0.0/8"]
listen: admin: "127.10.0.1:7001"
log: file: "x"
control: {origin: "ops", services: ["127.10.0.9:7300"]}
remote_write: {url: "http://127.10.0.8:9090/w", credentials: {kind: "bearer", file: "x"}}
)";
  config::Tree tree = config::load(settings_schema(), "#Assigner", {{"all.cue", all}});
  std::size_t fields = 0;
  for (const std::string& path : config::paths(tree)) {
    TakesEffect effect{};
    ASSERT_NO_THROW(effect = takes_effect(path)) << path;
    ++fields;
    bool has_type = false;
    for (const ResourceType& t : resource_types()) {
      auto holds = [&](std::string_view p) { return path == p || path.starts_with(std::string(p) + "."); };
      has_type |= std::any_of(t.gives.begin(), t.gives.end(), holds) &&
                  std::none_of(t.except.begin(), t.except.end(), holds);
    }
    EXPECT_EQ(has_type, effect != TakesEffect::file_only) << path;
  }
  EXPECT_GT(fields, 60u);
  EXPECT_THROW(std::ignore = takes_effect("sight.channel"), std::logic_error);
}

// And each does as it says: a changed value makes a fresh module exactly where one is announced.
TEST(StreamedConfiguration, EachFieldTakesEffectAsItSays) {
  const std::vector<std::pair<const char*, const char*>> kChanges{
      {"site.proxies", "site: proxies: 9"},
      {"site.default_retry", "site: default_retry: \"once\""},
      {"site.retry_wait_factor", "site: retry_wait_factor: 2"},
      {"site.connection_idle", "site: connection_idle: 9s"},
      {"site.local_proxies_only", "site: local_proxies_only: true"},
      {"site.levels", "site: levels: \"share\""},
      {"site.list.on_request", "site: list: on_request: false"},
      {"site.list.must_ask_in", "site: list: must_ask_in: 9s"},
      {"site.list.quiet", "site: list: quiet: 9s"},
      {"site.probes.allowed", "site: probes: allowed: false"},
      {"site.probes.timeout", "site: probes: timeout: 50ms"},
      {"site.reports.period", "site: reports: period: 100ms"},
      {"site.reports.lines_per_s", "site: reports: lines_per_s: 7/s"},
      {"site.reports.load", "site: reports: load: \"probe\""},
      {"site.channel.lines_per_s", "site: channel: lines_per_s: 100/s"},
      {"site.channel.envelope_lines", "site: channel: envelope_lines: 5"},
      {"site.channel.most_waiting_lines", "site: channel: most_waiting_lines: 500"},
      {"site.channel.messages", "site: channel: messages: 8"},
      {"site.channel.span", "site: channel: span: 3s"},
      {"site.channel.delay", "site: channel: delay: 30ms"},
      {"site.channel.delay_most", "site: channel: delay_most: 300ms"},
      {"site.guarantees.empty_for", "site: guarantees: empty_for: 3s"},
      {"site.guarantees.drain_grace", "site: guarantees: drain_grace: 3s"},
      {"site.guarantees.warm_up", "site: guarantees: warm_up: 9s"},
      {"site.guarantees.fall", "site: guarantees: fall: 1s"},
      {"site.guarantees.start_capacity", "site: guarantees: start_capacity: 0.5"},
      {"site.guarantees.tip_multiple", "site: guarantees: tip_multiple: 2"},
      {"site.guarantees.gone_is_advice", "site: guarantees: gone_is_advice: true"},
      {"streams.heartbeat", "streams: heartbeat: 100ms"},
      {"streams.hello_within", "streams: hello_within: 900ms"},
      {"streams.confirm_within", "streams: confirm_within: 3s"},
      {"streams.most", "streams: most: 70"},
      {"streams.most_unsent", "streams: most_unsent: 1MiB"},
      {"streams.most_frame", "streams: most_frame: 32KiB"},
      {"log.level", "log: level: \"debug\""},
      {"stop_within", "stop_within: 3s"},
      {"admit", "admit: [\"127.0.0.0/8\"]"},
      {"remote_write", "remote_write: url: \"http://127.10.0.8:9090/w\""},
      {"site.classes", R"(site: classes: [{name: "read", slo: 400ms, deadline: 2s, semantics: "retryable"},
                          {name: "write", slo: 500ms, deadline: 2s, home_only: true}])"},
      {"site.localities", R"(site: localities: [{name: "north", prefixes: ["127.10.0.0/16"]},
                          {name: "south", prefixes: ["127.20.0.0/16"]}, {name: "west", prefixes: []}])"}};
  for (auto& [path, text] : kChanges) {
    AssignerSettings next;
    try {
      next = to_assigner_settings(config::load(settings_schema(), "#Assigner", kFiles, {{"next.cue", text}}));
    } catch (const config::ConfigError& error) {
      FAIL() << path << ": " << error.what();
    }
    CoreHarness harness;
    harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4, 5}));
    harness.advance_responsive({harness.register_proxy(0)}, 300);
    harness.core.reconfigure(next, 2, 99, harness.now);
    EXPECT_EQ(harness.core.handover_in_progress(), takes_effect(path) == TakesEffect::fresh_module) << path;
    EXPECT_FALSE(harness.core.take_effects().empty());
  }
}

// Lines that a proxy has for a class, by the orders that came.
struct Held {
  std::map<std::uint32_t, std::set<std::uint32_t>> tables;
  std::map<int, std::uint32_t> of_class;
  std::size_t seen = 0;
  bool ever_empty = false;
  void follow(CoreHarness& harness, StreamId id) {
    auto all = harness.received<native_protocol::UpdateMessage>(id);
    for (; seen < all.size(); ++seen) {
      for (auto& order : all[seen].updates) {
        if (auto* line = std::get_if<native_protocol::WeightUpdate>(&order)) {
          if (line->weight > 0) tables[line->table].insert(line->endpoint);
          else tables[line->table].erase(line->endpoint);
        }
        if (auto* bind = std::get_if<native_protocol::AssignTableUpdate>(&order)) {
          tables[bind->table].clear();
          for (int c = 0; c < 2; ++c)
            if (bind->classes >> c & 1) of_class[c] = bind->table;
        }
      }
      for (auto& [c, table] : of_class) ever_empty |= tables[table].empty();
    }
  }
  bool has(std::uint32_t endpoint) {
    return std::ranges::any_of(of_class,
                               [&](auto& entry) { return tables[entry.second].contains(endpoint); });
  }
};

struct Takeover : testing::Test {
  CoreHarness harness;
  std::vector<StreamId> streams;
  std::map<StreamId, Held> held;

  void begin(int proxies) {
    harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4, 6, 5, 7, 9}));
    for (int k = 0; k < proxies; ++k)
      streams.push_back(harness.register_proxy(static_cast<std::uint32_t>(k)));
    go(3000);
  }
  void go(Ms time) {
    for (Ms end = harness.now + time; harness.now < end;) {
      harness.advance_responsive(streams, 50);
      for (StreamId id : streams) held[id].follow(harness, id);
    }
  }
  AssignerSettings changed(const std::string& text) {
    return to_assigner_settings(config::load(settings_schema(), "#Assigner", kFiles, {{"next.cue", text}}));
  }
};

// A version changes a guarantee, so a new controller takes over proxy by proxy. A proxy that had no endpoints
// in between would fail its requests.
TEST_F(Takeover, NoProxyIsEverWithoutLinesAndAllAreTakenOver) {
  begin(6);
  harness.core.reconfigure(changed("site: guarantees: warm_up: 5s"), 2, 99, harness.now);
  go(4000);
  EXPECT_FALSE(harness.core.handover_in_progress());
  EXPECT_TRUE(harness.has_logged("controller_replaced"));
  for (StreamId id : streams) {
    EXPECT_FALSE(held[id].ever_empty);
    EXPECT_FALSE(harness.is_closed(id)) << harness.refusal_reason(id);
    for (auto& [c, table] : held[id].of_class) EXPECT_GE(table, 1u << 16) << "still on a former table";
    EXPECT_TRUE(held[id].has(2));
  }
  flight_record::ReplayResult replay = flight_record::replay(harness.flight_record_bytes);
  EXPECT_TRUE(replay.same()) << replay.difference;
  EXPECT_EQ(replay.replacements, 1u);
  EXPECT_EQ(replay.config_changes, 1u);
}

// The channel is slow: while most proxies still wait for the fresh module, a server drains.
TEST_F(Takeover, ADrainReachesThoseThatAreNotTakenOverYet) {
  begin(12);
  std::string slow = "site: {proxies: 12, channel: {lines_per_s: 80/s, most_waiting_lines: 200}}";
  harness.core.reconfigure(changed(slow), 2, 99, harness.now);
  go(150);
  ASSERT_TRUE(harness.core.handover_in_progress());
  std::size_t former = 0;
  for (StreamId id : streams)
    for (auto& [c, table] : held[id].of_class) former += table < 1u << 16;
  ASSERT_GT(former, 0u);
  harness.deliver_endpoint_list(endpoint_list_json("changes", 2, {2}, "terminating"));
  go(9000);
  for (StreamId id : streams) EXPECT_FALSE(held[id].has(2));
  for (StreamId id : streams) EXPECT_FALSE(held[id].ever_empty);
  EXPECT_FALSE(harness.core.handover_in_progress());
  EXPECT_TRUE(flight_record::replay(harness.flight_record_bytes).same());
}

// Version after version starts a new controller, which knows nothing of the messages that the former one
// sent. Both together must stay within the limits of each proxy and of the channel.
TEST_F(Takeover, MessagesAndLinesOfBothModulesTogetherKeepTheLimits) {
  begin(6);
  std::string few = "site: channel: {messages: 6, span: 3s}";
  harness.core.reconfigure(changed(few), 2, 99, harness.now);
  go(4000);
  int times_taken = 0;
  for (int k = 0; k < 12; ++k) {  // a fresh module each 300 ms would forget what its formers sent
    AssignerSettings next = changed(few + fmt::format("\nsite: proxies: {}", 7 + k));
    if (harness.core.may_reconfigure(next, harness.now))
      harness.core.reconfigure(next, 3, 99, harness.now), ++times_taken;
    for (int step = 0; step < 6; ++step) {
      go(50);
      EXPECT_LE(harness.core.unacknowledged_lines(), 2000);
    }
  }
  go(3000);
  EXPECT_GE(times_taken, 2);
  EXPECT_LT(times_taken, 12);
  for (StreamId id : streams) {
    std::vector<Ms> times;
    for (auto& m : harness.received<native_protocol::UpdateMessage>(id))
      if (m.decided_at_ms > 1007500) times.push_back(m.decided_at_ms);
    for (std::size_t k = 6; k < times.size(); ++k)
      EXPECT_GT(times[k] - times[k - 6], 3000) << "message " << k << " of proxy stream";
    EXPECT_FALSE(held[id].ever_empty);
  }
  EXPECT_FALSE(harness.core.handover_in_progress());
}

// While the handover is under way a proxy leaves, another joins and one returns. Each must be taken over
// once.
TEST_F(Takeover, ProxiesThatComeGoOrReturnMeanwhileFindTheirPlace) {
  begin(8);
  std::string slow = "site: {proxies: 12, channel: {lines_per_s: 60/s, most_waiting_lines: 60}}";
  harness.core.reconfigure(changed(slow), 2, 99, harness.now);
  go(100);
  harness.core.stream_closed(streams[7], "reset", harness.now);
  streams.pop_back();
  streams.push_back(harness.register_proxy(20));
  streams.push_back(harness.register_proxy(7, 1, 2));
  go(8000);
  EXPECT_FALSE(harness.core.handover_in_progress());
  for (StreamId id : streams) {
    EXPECT_FALSE(harness.is_closed(id)) << harness.refusal_reason(id);
    EXPECT_TRUE(held[id].has(4));
    EXPECT_FALSE(held[id].ever_empty);
  }
  EXPECT_TRUE(flight_record::replay(harness.flight_record_bytes).same());
}

TEST_F(Takeover, HeartbeatAndPeriodAreToldToThoseThatAreJoined) {
  begin(1);
  harness.core.reconfigure(changed("streams: heartbeat: 70ms"), 2, 99, harness.now);
  go(100);
  auto welcomes = harness.received<native_protocol::Welcome>(streams[0]);
  ASSERT_EQ(welcomes.size(), 2u);
  EXPECT_EQ(welcomes[1].heartbeat_ms, 70);
  EXPECT_EQ(welcomes[1].epoch, welcomes[0].epoch);
}

// Proxies and endpoint lists go by the positions of localities and classes. A version that moves one while
// they are connected would make them take one for another: it is rejected with its reason.
TEST_F(Takeover, WhatJoinedProxiesAndListsGoByCannotChange) {
  begin(2);
  FleetSnapshot fleet = harness.core.fleet(harness.now);
  EXPECT_EQ(fleet.endpoints.size(), 6u);
  EXPECT_EQ(fleet.proxies.size(), 2u);
  auto why = [&](const std::string& text) {
    auto reasons = fleet_conflicts(harness.settings, changed(text), fleet);
    return reasons.empty() ? "" : reasons[0].path + ": " + reasons[0].reason;
  };
  EXPECT_EQ(why("site: proxies: 9"), "");
  EXPECT_NE(why(R"(site: localities: [{name: "north", prefixes: ["127.10.0.0/16"]}])").find("\"south\" goes"),
            std::string::npos);
  EXPECT_NE(why(R"(site: localities: [{name: "south", prefixes: ["127.20.0.0/16"]},
                                      {name: "north", prefixes: ["127.10.0.0/16"]}])")
                .find("changes its place"),
            std::string::npos);
  EXPECT_NE(why(R"(site: localities: [{name: "north", prefixes: ["127.10.9.0/24"]},
                                      {name: "south", prefixes: ["127.20.0.0/16"]}])")
                .find("would be in none"),
            std::string::npos);
  EXPECT_NE(why(R"(admit: ["127.99.0.0/16"])").find("could not come back"), std::string::npos);
  EXPECT_NE(why(R"(site: levels: "share")").find("share is no rate"), std::string::npos);
  EXPECT_NE(why(R"(site: classes: [{name: "read", slo: 500ms, deadline: 2s}])").find("\"write\""),
            std::string::npos);
  EXPECT_EQ(why(R"(site: classes: [{name: "read", slo: 500ms, deadline: 2s, semantics: "retryable"},
                 {name: "write", slo: 500ms, deadline: 2s, home_only: true},
                 {name: "new", slo: 1s, deadline: 2s}])"),
            "");
}

}  // namespace
}  // namespace beamshunt::assigner::test
