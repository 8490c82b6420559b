// The audit: each rule broken by a few taps, and kept by the nearest ones that keep it.
#include "audit/rules.h"

#include <gtest/gtest.h>

namespace beamshunt::audit {
namespace {

using namespace standin;

Limits limits() {
  Limits l;
  l.classes = {
      {.latency_objective = Duration(500), .deadline = Duration(1000), .semantics = Semantics::idempotent},
      {.latency_objective = Duration(500),
       .deadline = Duration(1000),
       .idempotency_window = Duration(3000),
       .semantics = Semantics::idempotent_with_key,
       .idempotency_scope = IdempotencyScope::cell},
      {.latency_objective = Duration(500),
       .deadline = Duration(1000),
       .semantics = Semantics::not_idempotent,
       .local_only = true}};
  l.empty_for = 2000, l.drain_grace = 1000, l.warm_up = 3000, l.fall = 800, l.messages_span = 10000;
  l.start_capacity = 0.25, l.tip_multiple = 4, l.most_waiting_lines = 100, l.messages_allowed = 3;
  l.margin = 100;
  return l;
}

// Two warm servers in one cell of locality 0, one in another; proxy 1 joined to assigner 0 and bound.
struct Scene {
  std::vector<Taps::Entry> taps;
  void at(Ms when, Seen seen) { taps.push_back({when, std::move(seen)}); }
  void orders(Ms decided, Ms came, std::vector<native_protocol::Update> all, double lines = 5) {
    at(came, OrdersCame{1, {++sequence, decided, lines, std::move(all)}});
  }
  std::uint64_t sequence = 0;
  Scene() {
    for (std::uint32_t e : {1u, 2u, 3u}) {
      at(0, ServerUp{e, 0, e / 3, false, 2, 1});
      at(1, ListTold{0, e, 0, ListTold::State::in_service, 0});
    }
    at(2, ProxyStanding{1, 0, {1}});
    at(5000, StreamUp{1, 0});
    orders(5001, 5002, {native_protocol::AssignTableUpdate{7, 0}, line(1), line(2)});
  }
  static native_protocol::WeightUpdate line(std::uint32_t endpoint, double weight = 1) {
    return {.table = 0, .endpoint = endpoint, .weight = weight};
  }
  Verdict verdict() const { return judge(taps, limits()); }
};

TEST(Audit, AnOrdinarySceneKeepsAll) {
  Scene s;
  s.at(6000, TrySent{1, 1, 10, 1, 2, 50});
  s.at(6001, TryTaken{1, 1, 10, 1, 2, 50});
  s.at(6050, EffectDone{1, 10, 2});
  EXPECT_EQ(s.verdict().kept(), kRules);
}

TEST(Audit, Rule1LinesTakenAwayAreNoticedAfterTheTime) {
  Scene s;
  s.orders(6000, 6001, {Scene::line(1, 0), Scene::line(2, 0)});
  s.at(8000, Note{""});
  EXPECT_EQ(s.verdict().kept(), kRules);
  s.at(8200, Note{""});
  EXPECT_TRUE(s.verdict().broke(Rule::empty));
  Scene withdrawn;
  withdrawn.orders(
      6000, 6001,
      {native_protocol::ExcludeEndpointUpdate{1, true}, native_protocol::ExcludeEndpointUpdate{2, true}});
  withdrawn.at(8200, Note{""});
  EXPECT_TRUE(withdrawn.verdict().broke(Rule::empty));
}

TEST(Audit, Rule1AsksForNothingThatTheListDoesNotHave) {
  Scene s;
  s.orders(6000, 6001, {Scene::line(1, 0), Scene::line(2, 0)});
  for (std::uint32_t e : {1u, 2u, 3u}) s.at(6002, ListTold{0, e, 0, ListTold::State::gone, 0});
  s.at(12000, Note{""});
  EXPECT_FALSE(s.verdict().broke(Rule::empty));
  s.at(12001, ListTold{0, 3, 0, ListTold::State::in_service, 12000});  // cold: not yet
  s.at(15000, Note{""});
  EXPECT_FALSE(s.verdict().broke(Rule::empty));
  s.at(15001, Note{""});
  s.at(17500, Note{""});
  EXPECT_TRUE(s.verdict().broke(Rule::empty));
  Scene left;
  left.orders(6000, 6001, {Scene::line(1, 0), Scene::line(2, 0)});
  left.at(7000, StreamDown{1});
  left.at(12000, Note{""});
  EXPECT_FALSE(left.verdict().broke(Rule::empty));
}

TEST(Audit, Rule2AFragileRequestIsTakenInOnce) {
  Scene s;
  s.at(6000, TryTaken{1, 1, 10, 1, 2, 50});
  s.at(6100, TryTaken{2, 1, 10, 2, 2, 50});
  EXPECT_TRUE(s.verdict().broke(Rule::twice));
  Scene safe;
  safe.at(6000, TryTaken{1, 1, 10, 1, 0, 50});
  safe.at(6100, TryTaken{2, 1, 10, 2, 0, 50});
  safe.at(6101, EffectDone{1, 10, 0});
  safe.at(6102, EffectDone{2, 10, 0});
  EXPECT_FALSE(safe.verdict().broke(Rule::twice));
}

TEST(Audit, Rule2AKeyedRepeatStaysInItsPodAndWindow) {
  auto second = [](std::uint32_t endpoint, Ms when) {
    Scene s;
    s.at(6000, TryTaken{1, 1, 10, 1, 1, 50});
    s.at(when, TryTaken{endpoint, 1, 10, 2, 1, 50});
    return s.verdict().broke(Rule::twice);
  };
  EXPECT_FALSE(second(2, 6500));
  EXPECT_TRUE(second(3, 6500));
  EXPECT_TRUE(second(2, 9500));
  Scene effect;
  effect.at(6000, EffectDone{1, 10, 1});
  effect.at(6001, EffectDone{2, 10, 1});
  EXPECT_TRUE(effect.verdict().broke(Rule::twice));
}

TEST(Audit, Rule3SendingPastTheGraceIsNoticedAndAJoinStartsItsClock) {
  auto sent = [](Ms when, Ms joined) {
    Scene s;
    s.at(6000, ListTold{0, 1, 0, ListTold::State::terminating, 0});
    s.at(6500, ListTold{0, 1, 0, ListTold::State::gone, 0});  // does not start it anew
    if (joined > 0) s.at(joined, StreamDown{1}), s.at(joined, StreamUp{1, 0});
    s.at(when, TrySent{1, 1, 10, 1, 0, 50});
    return s.verdict().broke(Rule::drain);
  };
  EXPECT_FALSE(sent(7000, 0));
  EXPECT_TRUE(sent(7200, 0));
  EXPECT_FALSE(sent(7200, 6800));
  EXPECT_TRUE(sent(8000, 6800));
}

TEST(Audit, Rule4APushByWhoKnewOfTheStartIsNoticed) {
  auto pushed = [](bool told, double work, Ms decided) {
    Scene s;
    s.at(6000, ServerUp{3, 0, 1, true, 2, 1});
    if (told) s.at(6100, ListTold{0, 3, 0, ListTold::State::in_service, 6000});
    s.orders(decided, decided + 1, {Scene::line(3)});
    for (int k = 0; k < 10; ++k)
      s.at(6200 + k, TrySent{1, 3, 100u + static_cast<unsigned>(k), 1, 0, work / 10});
    return s.verdict().broke(Rule::cold);
  };
  // 4 times 2 cores at 0.3 of their speed for 800 ms: some 2000 ms of work.
  EXPECT_TRUE(pushed(true, 2500, 6150));
  EXPECT_FALSE(pushed(true, 1500, 6150));
  EXPECT_FALSE(pushed(false, 2500, 6150));
  EXPECT_FALSE(pushed(true, 2500, 6050));  // its last message was sent before the start was known
}

TEST(Audit, Rule5LinesThatWaitAndMessagesThatComeAreCounted) {
  Scene s;
  s.orders(6000, 6400, {Scene::line(1)}, 60);
  EXPECT_EQ(s.verdict().kept(), kRules);
  s.orders(6300, 6500, {Scene::line(1)}, 60);
  EXPECT_TRUE(s.verdict().broke(Rule::queue));
  Scene many;
  for (int k = 0; k < 2; ++k) many.orders(6000 + k, 6001 + k, {Scene::line(1)});
  EXPECT_EQ(many.verdict().kept(), kRules);
  many.orders(7000, 7001, {Scene::line(1)});
  EXPECT_TRUE(many.verdict().broke(Rule::queue));
}

}  // namespace
}  // namespace beamshunt::audit
