#include "config_stream/client.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>

namespace beamshunt::config_stream {
namespace {

Version version(std::uint64_t number, const std::string& body, const std::string& more = {}) {
  Version v{number, 0, {{{"limits", "site"}, {number, body}}}};
  if (!more.empty()) v.resources[{"classes", "site"}] = {number, more};
  v.hash = content_hash(v.resources);
  return v;
}

// A client and a service that only the test moves, over a wire of bytes.
struct Wire {
  ClientOptions options{.instance = 3, .origin = "ops", .endpoints = 2};
  Ms now = 1000;
  Client client;
  std::vector<Frame> sent;
  std::vector<Check> checks;
  std::vector<Keep> keeps;
  std::vector<Version> applied;
  std::vector<Told> told;
  std::vector<std::size_t> dialled;
  int hung_up = 0;
  bool gate_is_open = false;  // every check passes and every keep succeeds, at once
  std::uint64_t nonce = 0;
  FrameParser parser{1 << 20};

  explicit Wire(Version held = {}, std::uint64_t newest = 0, std::map<std::uint64_t, std::string> broken = {})
      : client(options, std::move(held), newest, std::move(broken), now) {}

  void settle() {
    for (auto effects = client.take_effects(); !effects.empty(); effects = client.take_effects())
      for (Effect& e : effects) {
        if (auto* s = std::get_if<Send>(&e)) {
          parser.push(s->bytes);
          while (auto f = parser.next()) sent.push_back(std::move(*f));
        } else if (auto* d = std::get_if<Dial>(&e)) dialled.push_back(d->endpoint);
        else if (std::get_if<HangUp>(&e)) ++hung_up;
        else if (auto* c = std::get_if<Check>(&e)) {
          checks.push_back(*c);
          if (gate_is_open) client.checked(c->ticket, {}, now);
        } else if (auto* k = std::get_if<Keep>(&e)) {
          keeps.push_back(*k);
          if (gate_is_open) client.kept(k->ticket, "", now);
        } else if (auto* a = std::get_if<Apply>(&e)) applied.push_back(a->version);
        else told.push_back(std::get<Told>(e));
      }
  }
  void open() {
    client.turn(now);
    client.connected(now);
    parser = FrameParser(1 << 20);
    settle();
  }
  Delivery snapshot(const Version& v) {
    Delivery d{.nonce = ++nonce, .origin = "ops", .number = v.number, .hash = v.hash};
    for (auto& [key, r] : v.resources) d.changed[key] = r.body;
    return d;
  }
  void say(const Frame& f) {
    client.bytes(encode(f), now);
    settle();
  }
  void offer(const Version& v) { say(snapshot(v)); }
  std::vector<Answer> answers() const {
    std::vector<Answer> out;
    for (auto& f : sent)
      if (auto* a = std::get_if<Answer>(&f)) out.push_back(*a);
    return out;
  }
  Answer last() const { return answers().back(); }
};

TEST(ConfigClient, AVersionIsCheckedThenKeptThenAckedAndApplied) {
  Wire w;
  w.open();
  auto hello = std::get<Subscribe>(w.sent.at(0));
  EXPECT_EQ(hello.held_number, 0u);
  EXPECT_EQ(hello.origin, "ops");
  w.offer(version(5, "a"));
  ASSERT_EQ(w.checks.size(), 1u);
  EXPECT_TRUE(w.answers().empty());
  w.client.checked(w.checks[0].ticket, {}, w.now);
  w.settle();
  ASSERT_EQ(w.keeps.size(), 1u);
  EXPECT_TRUE(w.answers().empty()) << "acked before it was on disk";
  EXPECT_TRUE(w.applied.empty());
  w.client.kept(w.keeps[0].ticket, "", w.now);
  w.settle();
  EXPECT_EQ(w.last().verdict, Verdict::ack);
  EXPECT_EQ(w.last().in_force, 5u);
  ASSERT_EQ(w.applied.size(), 1u);
  EXPECT_EQ(w.applied[0].number, 5u);
}

TEST(ConfigClient, ANackNamesReasonAndPathAndTheVersionInForceStays) {
  Wire w(version(4, "old"));
  w.open();
  EXPECT_EQ(std::get<Subscribe>(w.sent.at(0)).held.at({"limits", "site"}), 4u);
  w.offer(version(5, "bad"));
  w.client.checked(w.checks[0].ticket, {{"rule 3", "site.guarantees.drain_grace", "too short", "2s"}}, w.now);
  w.settle();
  Answer a = w.last();
  EXPECT_EQ(a.verdict, Verdict::nack);
  EXPECT_EQ(a.in_force, 4u);
  ASSERT_EQ(a.reasons.size(), 1u);
  EXPECT_EQ(a.reasons[0].path, "site.guarantees.drain_grace");
  EXPECT_EQ(a.reasons[0].would_do, "2s");
  EXPECT_TRUE(w.applied.empty());
  w.offer(version(6, "good"));  // and the next is looked at as if nothing had been
  EXPECT_EQ(w.checks.size(), 2u);
}

TEST(ConfigClient, WhatTheDiskDoesNotTakeIsNotRunAndNacked) {
  Wire w;
  w.open();
  w.offer(version(5, "a"));
  w.client.checked(w.checks[0].ticket, {}, w.now);
  w.settle();
  w.client.kept(w.keeps[0].ticket, "No space left on device", w.now);
  w.settle();
  EXPECT_EQ(w.last().verdict, Verdict::nack);
  EXPECT_NE(w.last().reasons[0].reason.find("No space left"), std::string::npos);
  EXPECT_TRUE(w.applied.empty());
  EXPECT_EQ(w.client.newest(), 0u);
  w.gate_is_open = true;
  w.offer(version(5, "a"));
  EXPECT_EQ(w.last().verdict, Verdict::ack) << "the same version, once there is room";
}

TEST(ConfigClient, DeltasBuildOnWhatWasDeliveredAndOneThatDoesNotFitAsksForASnapshot) {
  Wire w;
  w.gate_is_open = true;
  w.open();
  w.offer(version(5, "a", "classes"));
  Version six = version(6, "b", "classes");
  six.resources[{"classes", "site"}].version = 5;
  w.say(Delivery{.nonce = 50,
                 .origin = "ops",
                 .number = 6,
                 .base = 5,
                 .hash = six.hash,
                 .changed = {{{"limits", "site"}, "b"}}});
  EXPECT_EQ(w.last().verdict, Verdict::ack);
  EXPECT_EQ(w.applied.back(), six) << "resources that did not change keep their version";
  Version seven = version(7, "b");
  w.say(Delivery{.nonce = 51,
                 .origin = "ops",
                 .number = 7,
                 .base = 6,
                 .hash = seven.hash,
                 .removed = {{"classes", "site"}}});
  EXPECT_EQ(w.last().verdict, Verdict::ack);
  EXPECT_EQ(w.applied.back().resources.size(), 1u);
  w.say(Delivery{.nonce = 52, .origin = "ops", .number = 9, .base = 8, .hash = 1});
  EXPECT_EQ(w.last().verdict, Verdict::resync);
  w.say(Delivery{.nonce = 53, .origin = "ops", .number = 10, .base = 9, .hash = 1});
  EXPECT_EQ(w.last().verdict, Verdict::resync) << "until a snapshot comes";
  w.say(Delivery{.nonce = 54,
                 .origin = "ops",
                 .number = 11,
                 .base = 0,
                 .hash = 12345,
                 .changed = {{{"limits", "site"}, "torn on the way"}}});
  EXPECT_EQ(w.last().verdict, Verdict::resync) << "the hash does not fit";
  w.offer(version(12, "c"));
  EXPECT_EQ(w.last().verdict, Verdict::ack);
}

TEST(ConfigClient, OlderRepeatedAndContradictingVersionsAreToldApart) {
  Wire w;
  w.gate_is_open = true;
  w.open();
  w.offer(version(5, "a"));
  std::size_t checks = w.checks.size();
  w.offer(version(5, "a"));
  EXPECT_EQ(w.last().verdict, Verdict::ack);
  EXPECT_EQ(w.checks.size(), checks) << "a repeat costs nothing";
  w.offer(version(4, "old"));
  EXPECT_EQ(w.last().verdict, Verdict::nack);
  EXPECT_NE(w.last().reasons[0].reason.find("older"), std::string::npos);
  w.offer(version(5, "other"));
  EXPECT_EQ(w.last().verdict, Verdict::nack);
  EXPECT_NE(w.last().reasons[0].reason.find("disagree"), std::string::npos);
  Delivery foreign = w.snapshot(version(9, "x"));
  foreign.origin = "lab";
  w.say(foreign);
  EXPECT_EQ(w.last().verdict, Verdict::nack);
  EXPECT_EQ(w.last().reasons[0].path, "origin");
  EXPECT_EQ(w.client.in_force().number, 5u);
}

TEST(ConfigClient, AStormIsCoalescedTheLatestWinsAndEachIsAnsweredOnce) {
  Wire w;
  w.open();
  constexpr std::uint64_t kStorm = 1000;
  for (std::uint64_t k = 1; k <= kStorm; ++k) {
    w.now += 1;
    w.offer(version(k, fmt::format("body {}", k)));
    if (k % 300 != 0) continue;  // the gate takes its time
    auto pass = [&] {
      w.client.checked(w.checks.back().ticket, {}, w.now);
      w.settle();
      w.client.kept(w.keeps.back().ticket, "", w.now);
      w.settle();
    };
    pass();
  }
  while (w.client.busy()) {
    w.client.checked(w.checks.back().ticket, {}, w.now);
    w.settle();
    w.client.kept(w.keeps.back().ticket, "", w.now);
    w.settle();
  }
  std::map<std::uint64_t, int> answered;
  for (auto& a : w.answers()) ++answered[a.nonce];
  EXPECT_EQ(answered.size(), kStorm);
  for (auto& [nonce, times] : answered) EXPECT_EQ(times, 1) << nonce;
  EXPECT_EQ(w.client.in_force().number, kStorm);
  EXPECT_LT(w.checks.size(), 10u);
}

// However a stream is cut, the state is that of a version before or after, and the next stream mends it.
TEST(ConfigClient, AStreamThatClosesAtAnyByteLeavesAWholeVersion) {
  Version old = version(4, "old", "classes"), next = version(5, "new", "other classes");
  std::string bytes;
  {
    Delivery head{
        .nonce = 1, .origin = "ops", .number = 5, .base = 4, .hash = next.hash, .part = 0, .parts = 2};
    head.changed[{"limits", "site"}] = "new";
    Delivery tail = head;
    tail.part = 1;
    tail.changed = {{{"classes", "site"}, "other classes"}};
    bytes = encode(head) + encode(tail);
  }
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    Wire w(old);
    w.gate_is_open = true;
    w.open();
    w.client.bytes(std::string_view(bytes).substr(0, cut), w.now);
    w.settle();
    EXPECT_EQ(w.client.in_force().number, cut == bytes.size() ? 5u : 4u) << cut;
    w.client.closed("reset", w.now);
    w.settle();
    while (w.dialled.size() < 2) {
      w.now = std::max(w.now + 1, w.client.next_due());
      w.client.turn(w.now);
      w.settle();
    }
    w.open();
    w.offer(next);
    EXPECT_EQ(w.client.in_force().hash, next.hash) << cut;
    EXPECT_EQ(w.last().verdict, Verdict::ack) << cut;
  }
}

TEST(ConfigClient, AVersionUnderWayWhenTheStreamClosesIsOfferedAnew) {
  Wire w(version(4, "old"));
  w.open();
  w.offer(version(5, "new"));
  w.client.closed("reset", w.now);
  w.client.checked(w.checks[0].ticket, {}, w.now);  // too late: nobody asked for it any more
  w.settle();
  EXPECT_TRUE(w.keeps.empty());
  w.now = w.client.next_due();
  w.open();
  EXPECT_EQ(std::get<Subscribe>(w.sent.back()).held_number, 4u);
  w.offer(version(5, "new"));
  w.client.checked(w.checks.back().ticket, {}, w.now);
  w.settle();
  ASSERT_EQ(w.keeps.size(), 1u);
  w.client.closed("reset", w.now);  // between disk and ack: it is kept, so it is run
  w.client.kept(w.keeps[0].ticket, "", w.now);
  w.settle();
  EXPECT_EQ(w.applied.size(), 1u);
  w.now = w.client.next_due();
  w.open();
  EXPECT_EQ(std::get<Subscribe>(w.sent.back()).held_number, 5u);
}

TEST(ConfigClient, ARollbackWhileTheGateLooksDropsWhatItLooksAt) {
  Wire w(version(4, "old"));
  w.open();
  w.offer(version(5, "new"));
  w.offer(version(6, "newer"));
  w.client.rolled_back(version(3, "older"), w.now);
  w.client.pin(3, w.now);
  w.client.checked(w.checks[0].ticket, {}, w.now);
  w.settle();
  EXPECT_TRUE(w.keeps.empty());
  EXPECT_EQ(w.client.in_force().number, 3u);
  EXPECT_EQ(w.applied.back().number, 3u);
  ASSERT_EQ(w.answers().size(), 2u) << "both that were under way";
  for (auto& a : w.answers()) EXPECT_EQ(a.verdict, Verdict::nack);
  w.offer(version(7, "newest"));
  EXPECT_EQ(w.last().reasons.at(0).rule, "pinned");
  w.client.pin(std::nullopt, w.now);  // what the pin alone kept out is looked at now
  w.settle();
  ASSERT_EQ(w.checks.size(), 2u);
  EXPECT_EQ(w.checks.back().candidate.number, 7u);
}

TEST(ConfigClient, AVersionThatGoesBackIsNackedLateAndItsContentIsNotTriedAgain) {
  Wire w(version(4, "old"));
  w.gate_is_open = true;
  w.open();
  w.offer(version(5, "slow"));
  ASSERT_EQ(w.client.in_force().number, 5u);
  std::uint64_t acked = w.last().nonce;
  w.client.went_back(version(4, "old"), {{"watch", "", "service fell from 0.99 to 0.61", ""}}, w.now);
  w.settle();
  EXPECT_EQ(w.last().verdict, Verdict::reverted);
  EXPECT_EQ(w.last().nonce, acked);
  EXPECT_EQ(w.last().in_force, 4u);
  EXPECT_EQ(w.applied.back().number, 4u);
  w.offer(version(5, "slow"));
  EXPECT_EQ(w.last().verdict, Verdict::nack);
  w.offer(version(6, "slow"));
  EXPECT_EQ(w.last().verdict, Verdict::nack) << "by its content, whatever its number";
  w.client.forgive(version(6, "slow").hash);
  w.offer(version(6, "slow"));
  EXPECT_EQ(w.last().verdict, Verdict::ack);
}

TEST(ConfigClient, ANackedVersionIsLookedAtAgainAfterARestart) {
  Version bad = version(5, "bad");
  for (int run = 0; run < 2; ++run) {
    Wire w(version(4, "old"), 4);
    w.open();
    w.offer(bad);
    ASSERT_EQ(w.checks.size(), 1u);
    w.client.checked(w.checks[0].ticket, {{"rule 5", "p", "r", ""}}, w.now);
    w.settle();
    EXPECT_EQ(w.last().verdict, Verdict::nack);
  }
  Wire w(version(4, "old"), 5, {{bad.hash, "service fell"}});  // but not if it went back in an earlier run
  w.open();
  w.offer(bad);
  EXPECT_TRUE(w.checks.empty());
  EXPECT_EQ(w.last().verdict, Verdict::nack);
}

TEST(ConfigClient, HugeEndlessAndSilentServicesCostOnlyTheirStream) {
  {
    Wire w;
    w.open();
    Delivery d{.nonce = 1, .origin = "ops", .number = 5, .part = 0, .parts = 1000000};
    for (std::uint32_t k = 0; w.hung_up == 0 && k < 100; ++k) {
      d.part = k;
      d.changed = {{{"limits", fmt::format("r{}", k)}, std::string(200000, 'x')}};
      w.say(d);
    }
    EXPECT_EQ(w.hung_up, 1);
    EXPECT_EQ(w.last().verdict, Verdict::nack);
    EXPECT_EQ(w.last().reasons[0].rule, "bounds");
    EXPECT_TRUE(w.checks.empty());
  }
  {
    Wire w;
    w.open();
    Delivery d{.nonce = 1, .origin = "ops", .number = 5, .part = 0, .parts = 1000000};
    for (std::uint32_t k = 0; w.hung_up == 0 && k < 2000; ++k) {  // a small part now and then, without end
      d.part = k;
      w.now += 50;
      w.say(d);
      w.client.turn(w.now);
      w.settle();
    }
    EXPECT_EQ(w.hung_up, 1);
    EXPECT_LE(w.now, 1000 + w.options.deliver_within + 100);
  }
  {
    Wire w;
    w.open();
    for (Ms end = w.now + 4000; w.now < end && w.hung_up == 0; w.now += 100) {
      w.client.turn(w.now);
      w.settle();
    }
    EXPECT_EQ(w.hung_up, 1);
    EXPECT_NEAR(w.now, 1000 + 3000, 150);
  }
  {
    Wire w;
    w.open();
    w.client.bytes(std::string("\xff\xff\xff\xff\x02", 5), w.now);  // four gigabytes are announced
    w.settle();
    EXPECT_EQ(w.hung_up, 1);
  }
}

TEST(ConfigClient, EndpointsTakeTurnsWithWaitsThatGrowAndDiffer) {
  std::vector<Ms> waits[2];
  for (int who = 0; who < 2; ++who) {
    Wire w;
    ClientOptions o = w.options;
    o.seed = static_cast<std::uint64_t>(who) + 1;
    w.client = Client(o, {}, 0, {}, w.now);
    for (int k = 0; k < 12; ++k) {
      Ms before = w.now;
      w.now = std::max(w.now, w.client.next_due());
      waits[who].push_back(w.now - before);
      w.client.turn(w.now);
      w.settle();
      w.client.closed("refused", w.now);
      w.settle();
    }
    ASSERT_EQ(w.dialled.size(), 12u);
    for (std::size_t k = 0; k < 12; ++k) EXPECT_EQ(w.dialled[k], k % 2);
    EXPECT_LE(waits[who].back(), o.backoff_most);
    EXPECT_GE(waits[who].back(), o.backoff_most / 2);
    EXPECT_LE(waits[who][1], o.backoff_least);
  }
  EXPECT_NE(waits[0], waits[1]) << "a fleet must not dial in step";
}

TEST(ConfigClient, WhatPassedAndCannotRunYetGivesWayToALaterOne) {
  Wire w;
  w.open();
  w.offer(version(5, "a"));
  EXPECT_FALSE(w.client.give_way(w.checks[0].ticket, w.now)) << "nothing waits";
  w.offer(version(6, "b"));
  EXPECT_TRUE(w.client.give_way(w.checks[0].ticket, w.now));
  w.settle();
  EXPECT_EQ(w.last().verdict, Verdict::superseded);
  EXPECT_EQ(w.last().number, 5u);
  ASSERT_EQ(w.checks.size(), 2u);
  EXPECT_EQ(w.checks[1].candidate.number, 6u);
  w.client.checked(w.checks[0].ticket, {}, w.now);  // a verdict that comes too late
  w.settle();
  EXPECT_TRUE(w.keeps.empty());
}

TEST(ConfigClient, TheFirstServiceIsComeBackTo) {
  Wire w;
  w.open();
  w.say(Ping{1});
  w.client.closed("reset", w.now);  // it lived: it is tried first
  w.now = w.client.next_due();
  w.client.turn(w.now);
  w.settle();
  EXPECT_EQ(w.dialled.back(), 0u);
  w.client.closed("refused", w.now);
  w.now = w.client.next_due();
  w.client.turn(w.now);
  w.settle();
  EXPECT_EQ(w.dialled.back(), 1u);
  w.client.connected(w.now);
  w.settle();
  Ms there = w.now;
  while (w.hung_up == 0 && w.now < there + 100000) {
    w.now += 500;
    w.say(Ping{1});
    w.client.turn(w.now);
    w.settle();
  }
  EXPECT_NEAR(w.now - there, w.options.return_after, 1000);
  w.now = w.client.next_due();
  w.client.turn(w.now);
  w.settle();
  EXPECT_EQ(w.dialled.back(), 0u);
}

}  // namespace
}  // namespace beamshunt::config_stream
