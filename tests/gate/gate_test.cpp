// The gate against changes that are labelled beforehand, and gates that are broken on purpose.
#include "gate/gate.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "assigner/setting_effects.h"
#include "assigner/streamed_configuration.h"
#include "audit/sabotage.h"
#include "gate/changes.h"
#include "gate/prove.h"
#include "gate/shadow.h"

namespace beamshunt::gate {
namespace {

using test::Change;

const std::vector<config::Source> kFiles{{"present.cue", test::kPresent}};
const AssignerSettings& present() {
  static const AssignerSettings kSite = assigner::load_assigner_settings(kFiles);
  return kSite;
}

FleetSnapshot fleet_of(test::Fleet kind) {
  FleetSnapshot f;
  std::uint32_t servers = kind == test::Fleet::large ? 40 : 8;
  for (std::uint32_t k = 0; k < servers; ++k) {
    FleetSnapshot::Endpoint s{100 + k, k % 2, k / 6, 2.0};
    s.attempt_rate = 40, s.utilization = 0.55;
    s.address = {127u << 24 | (k % 2 ? 20u : 10u) << 16 | 2u << 8 | (k + 1), 8000};
    s.available = kind != test::Fleet::south_gone || k % 2 == 0;
    if (kind == test::Fleet::one_cold && k == 3) s.uptime = 600;
    f.endpoints.push_back(s);
  }
  for (std::uint32_t k = 0; k < 8; ++k) {
    FleetSnapshot::RegisteredProxy p{k, k % 2, 40, 3};
    if (kind == test::Fleet::busy_channel && k == 5) p.messages_in_window = 12;
    p.address = {127u << 24 | (k % 2 ? 20u : 10u) << 16 | 1u << 8 | (k + 1), 40000};
    f.proxies.push_back(p);
  }
  f.arrivals_by_class = {500, 250, 200};
  f.streams = 10;
  return f;
}

std::vector<Reason> all_of_it(const Change& change, const assigner::ConfigurationValidator& gate) {
  config_stream::Resources resources{{{change.type, "site"}, {2, change.body}}};
  assigner::ComposedSettings composed = assigner::compose(kFiles, resources);
  if (!composed.settings) return composed.reasons;
  std::vector<std::string> changed;
  if (std::string(change.type) != assigner::kAlertsType)
    for (auto& [path, at] : config::given_paths({"next", change.body})) changed.push_back(path);
  FleetSnapshot fleet = fleet_of(change.fleet);
  return gate({present(), *composed.settings, fleet, resources, changed});
}

struct Score {
  std::size_t caught = 0, missed = 0, well = 0, wrongly = 0;
  std::vector<std::string> wrong;
};
Score score(const assigner::ConfigurationValidator& gate) {
  Score out;
  for (const Change& change : test::harmful()) {
    auto reasons = all_of_it(change, gate);
    // A rehearsal may name the rule that it saw broken.
    bool named = std::any_of(reasons.begin(), reasons.end(), [&](const Reason& r) {
      return r.rule == change.rule || (std::string(change.rule) == "shadow" && !r.rule.empty());
    });
    (named ? out.caught : out.missed)++;
    if (!named)
      out.wrong.push_back(fmt::format("missed: {} {} ({}){}", change.type, change.body, change.rule,
                                      reasons.empty() ? "" : ", said " + to_string(reasons[0])));
  }
  for (const Change& change : test::harmless()) {
    auto reasons = all_of_it(change, gate);
    (reasons.empty() ? out.well : out.wrongly)++;
    if (!reasons.empty())
      out.wrong.push_back(
          fmt::format("wrongly refused: {} {}: {}", change.type, change.body, to_string(reasons[0])));
  }
  return out;
}
bool good(const Score& s) { return s.missed == 0 && s.wrongly == 0; }

TEST(Gate, CatchesTheHarmfulChangesAndLetsTheHarmlessPass) {
  ASSERT_GE(test::harmful().size(), 60u);
  ASSERT_GE(test::harmless().size(), 60u);
  Score s = score(judge);
  fmt::print("gate: {} of {} harmful caught, {} of {} harmless wrongly refused\n", s.caught,
             s.caught + s.missed, s.wrongly, s.well + s.wrongly);
  for (auto& line : s.wrong) fmt::print("  {}\n", line);
  EXPECT_TRUE(good(s));
}

TEST(Gate, AGateBrokenOnPurposeIsSeenToBe) {
  EXPECT_FALSE(good(score([](const assigner::CandidateConfiguration&) { return std::vector<Reason>{}; })));
  EXPECT_FALSE(good(score([](const assigner::CandidateConfiguration& c) {
    return prove(c.now, c.next, c.fleet);
  }))) << "neither alerts nor rehearsal";
  EXPECT_FALSE(good(score([](const assigner::CandidateConfiguration& c) {
    auto out = judge(c);
    std::erase_if(out, [](const Reason& r) { return r.rule == "rule 4"; });
    return out;
  }))) << "blind to one rule";
  EXPECT_FALSE(good(score([](const assigner::CandidateConfiguration&) {
    return std::vector<Reason>{{"rule 1", "", "no", ""}};
  }))) << "refuses all";
}

TEST(Gate, ReasonsNameRulePathFiguresAndAValueThatWouldDo) {
  auto reasons = all_of_it({"limits", "site: guarantees: drain_grace: 60ms"}, judge);
  ASSERT_EQ(reasons.size(), 1u);
  EXPECT_EQ(reasons[0].rule, "rule 3");
  EXPECT_EQ(reasons[0].path, "site.guarantees.drain_grace");
  EXPECT_NE(reasons[0].reason.find("8 proxies"), std::string::npos);
  auto again = all_of_it({"limits", "site: guarantees: drain_grace: " + reasons[0].would_do}, judge);
  EXPECT_TRUE(again.empty()) << to_string(again[0]);
}

// The values that reasons offer must pass themselves, where they are values at all.
TEST(Gate, WhatWouldDoDoes) {
  std::size_t tried = 0;
  for (const Change& change : test::harmful()) {
    for (const Reason& r : all_of_it(change, judge)) {
      std::size_t colon = change.body.rfind(": ");
      bool value = !r.would_do.empty() && r.would_do.find(' ') == std::string::npos &&
                   colon != std::string::npos && change.body.find('{') == std::string::npos &&
                   r.path.find('[') == std::string::npos;
      if (!value ||
          change.body.substr(0, colon).find(r.path.substr(r.path.rfind('.') + 1)) == std::string::npos)
        continue;
      Change better = change;
      better.body = change.body.substr(0, colon + 2) + r.would_do;
      for (const Reason& left : all_of_it(better, judge))
        EXPECT_FALSE(left.rule == r.rule && left.path == r.path) << better.body << ": " << to_string(left);
      ++tried;
    }
  }
  EXPECT_GT(tried, 20u);
}

TEST(Gate, AFaultThatIsThereAlreadyIsNotTheChanges) {
  FleetSnapshot fleet = fleet_of(test::Fleet::warm);
  for (std::uint32_t k = 8; k < 400; ++k) fleet.proxies.push_back({k, 0, 40, 0, fleet.proxies[0].address});
  AssignerSettings next = present();
  next.policy.connection_idle_timeout = Duration(9000);
  EXPECT_TRUE(prove(present(), next, fleet).empty()) << "the fleet grew; idle times did not do it";
  next.policy.drain_grace_period = Duration(50);
  EXPECT_FALSE(prove(present(), next, fleet).empty());
}

TEST(Shadow, IsTheSameEachTimeAndSeesTheDayItPlays) {
  FleetSnapshot fleet = fleet_of(test::Fleet::warm);
  Rehearsal one = rehearse(present(), present(), fleet, {}), two = rehearse(present(), present(), fleet, {});
  EXPECT_EQ(one.requests, two.requests);
  EXPECT_EQ(one.service, two.service);
  EXPECT_GT(one.requests, 1000);
  EXPECT_GT(one.service, 0.9);
  EXPECT_TRUE(one.verdict.breaks.empty()) << one.verdict.breaks[0].what;
  EXPECT_GT(one.verdict.nearest[2], 0) << "a drain took place";
  EXPECT_GT(one.verdict.nearest[3], 0) << "a cold server was sent to";
}

TEST(Shadow, ItsAuditSeesOrdersThatAreBrokenOnPurpose) {
  using audit::Rule;
  for (auto& [name, rule] :
       {std::pair{"drain", Rule::drain}, {"empty", Rule::empty}, {"queue", Rule::queue}}) {
    ShadowOptions options;
    options.interceptor = audit::sabotage(name, present());
    Rehearsal r = rehearse(present(), present(), fleet_of(test::Fleet::warm), options);
    EXPECT_TRUE(r.verdict.broke(rule)) << name;
  }
}

TEST(Shadow, OutOfBudgetItSaysSo) {
  ShadowOptions options;
  int steps = 0;
  options.out_of_budget = [&] { return ++steps > 100; };
  EXPECT_FALSE(rehearse(present(), present(), fleet_of(test::Fleet::warm), options).finished);
}

}  // namespace
}  // namespace beamshunt::gate
