// The client against a service that the test plays, in simulated time: storms, breaks, rollbacks, hostile
// services.
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
  ClientOptions options{.instance = 3, .origin = "ops", .services = 2};
  Ms now = 1000;
  Client client;
  std::vector<Frame> sent;
  std::vector<Validate> validations;
  std::vector<Persist> persists;
  std::vector<Version> applied;
  std::vector<Notify> notices;
  std::vector<std::size_t> connects;
  int closes = 0;
  bool accept_all = false;  // every validation passes and every write to disk succeeds, at once
  std::uint64_t nonce = 0;
  FrameParser parser{1 << 20};

  explicit Wire(Version held = {}, std::uint64_t newest = 0, std::map<std::uint64_t, std::string> broken = {})
      : client(options, std::move(held), newest, std::move(broken), now) {}

  void settle() {
    for (auto effects = client.take_effects(); !effects.empty(); effects = client.take_effects())
      for (Effect& e : effects) {
        if (auto* s = std::get_if<SendBytes>(&e)) {
          parser.push(s->bytes);
          while (auto f = parser.next()) sent.push_back(std::move(*f));
        } else if (auto* d = std::get_if<Connect>(&e)) connects.push_back(d->service);
        else if (std::get_if<CloseAfterSending>(&e)) ++closes;
        else if (auto* c = std::get_if<Validate>(&e)) {
          validations.push_back(*c);
          if (accept_all) client.on_validated(c->ticket, {}, now);
        } else if (auto* k = std::get_if<Persist>(&e)) {
          persists.push_back(*k);
          if (accept_all) client.on_persisted(k->ticket, "", now);
        } else if (auto* a = std::get_if<Apply>(&e)) applied.push_back(a->version);
        else notices.push_back(std::get<Notify>(e));
      }
  }
  void open() {
    client.run_once(now);
    client.on_connected(now);
    parser = FrameParser(1 << 20);
    settle();
  }
  Delivery snapshot(const Version& v) {
    Delivery d{.nonce = ++nonce, .origin = "ops", .number = v.number, .hash = v.hash};
    for (auto& [key, r] : v.resources) d.changed[key] = r.body;
    return d;
  }
  void say(const Frame& f) {
    client.on_bytes(encode(f), now);
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

// An ack says that the version survives a kill. So it is validated, then persisted, and only then acked and
// applied.
TEST(ConfigClient, AVersionIsCheckedThenKeptThenAckedAndApplied) {
  Wire w;
  w.open();
  auto hello = std::get<Subscribe>(w.sent.at(0));
  EXPECT_EQ(hello.held_number, 0u);
  EXPECT_EQ(hello.origin, "ops");
  w.offer(version(5, "a"));
  ASSERT_EQ(w.validations.size(), 1u);
  EXPECT_TRUE(w.answers().empty());
  w.client.on_validated(w.validations[0].ticket, {}, w.now);
  w.settle();
  ASSERT_EQ(w.persists.size(), 1u);
  EXPECT_TRUE(w.answers().empty()) << "acked before it was on disk";
  EXPECT_TRUE(w.applied.empty());
  w.client.on_persisted(w.persists[0].ticket, "", w.now);
  w.settle();
  EXPECT_EQ(w.last().verdict, Verdict::ack);
  EXPECT_EQ(w.last().in_force, 5u);
  ASSERT_EQ(w.applied.size(), 1u);
  EXPECT_EQ(w.applied[0].number, 5u);
}

// A service offers a version that breaks a rule. It is told the reason, the field and a value that would
// pass; the active version stays, and the next version is validated as if nothing had been.
TEST(ConfigClient, ANackNamesReasonAndPathAndTheVersionInForceStays) {
  Wire w(version(4, "old"));
  w.open();
  EXPECT_EQ(std::get<Subscribe>(w.sent.at(0)).held.at({"limits", "site"}), 4u);
  w.offer(version(5, "bad"));
  w.client.on_validated(w.validations[0].ticket,
                        {{"rule 3", "site.guarantees.drain_grace", "too short", "2s"}}, w.now);
  w.settle();
  Answer a = w.last();
  EXPECT_EQ(a.verdict, Verdict::nack);
  EXPECT_EQ(a.in_force, 4u);
  ASSERT_EQ(a.reasons.size(), 1u);
  EXPECT_EQ(a.reasons[0].path, "site.guarantees.drain_grace");
  EXPECT_EQ(a.reasons[0].would_do, "2s");
  EXPECT_TRUE(w.applied.empty());
  w.offer(version(6, "good"));  // and the next is looked at as if nothing had been
  EXPECT_EQ(w.validations.size(), 2u);
}

// The disk is full when a valid version is persisted. Were it applied, a restart would fall back to other
// settings than the service believes: it is nacked, and taken later once there is room.
TEST(ConfigClient, WhatTheDiskDoesNotTakeIsNotRunAndNacked) {
  Wire w;
  w.open();
  w.offer(version(5, "a"));
  w.client.on_validated(w.validations[0].ticket, {}, w.now);
  w.settle();
  w.client.on_persisted(w.persists[0].ticket, "No space left on device", w.now);
  w.settle();
  EXPECT_EQ(w.last().verdict, Verdict::nack);
  EXPECT_NE(w.last().reasons[0].reason.find("No space left"), std::string::npos);
  EXPECT_TRUE(w.applied.empty());
  EXPECT_EQ(w.client.highest_number(), 0u);
  w.accept_all = true;
  w.offer(version(5, "a"));
  EXPECT_EQ(w.last().verdict, Verdict::ack) << "the same version, once there is room";
}

// Deltas change only what they name. One whose base was not the last delivery, or whose result has another
// hash than announced, would give settings that nobody wrote: the client asks for a snapshot and takes no
// delta before one.
TEST(ConfigClient, DeltasBuildOnWhatWasDeliveredAndOneThatDoesNotFitAsksForASnapshot) {
  Wire w;
  w.accept_all = true;
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

// After a failover another service may be behind, repeat a version, give a number to other content, or serve
// another origin. A repeat is acked without work; the others are nacked, each with its reason.
TEST(ConfigClient, OlderRepeatedAndContradictingVersionsAreToldApart) {
  Wire w;
  w.accept_all = true;
  w.open();
  w.offer(version(5, "a"));
  std::size_t validations = w.validations.size();
  w.offer(version(5, "a"));
  EXPECT_EQ(w.last().verdict, Verdict::ack);
  EXPECT_EQ(w.validations.size(), validations) << "a repeat costs nothing";
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
  EXPECT_EQ(w.client.active().number, 5u);
}

// A service publishes a thousand versions while validation is slow. The latest one is active in the end, few
// are validated, and each delivery is answered exactly once.
TEST(ConfigClient, AStormIsCoalescedTheLatestWinsAndEachIsAnsweredOnce) {
  Wire w;
  w.open();
  constexpr std::uint64_t kStorm = 1000;
  for (std::uint64_t k = 1; k <= kStorm; ++k) {
    w.now += 1;
    w.offer(version(k, fmt::format("body {}", k)));
    if (k % 300 != 0) continue;  // the gate takes its time
    auto pass = [&] {
      w.client.on_validated(w.validations.back().ticket, {}, w.now);
      w.settle();
      w.client.on_persisted(w.persists.back().ticket, "", w.now);
      w.settle();
    };
    pass();
  }
  while (w.client.busy()) {
    w.client.on_validated(w.validations.back().ticket, {}, w.now);
    w.settle();
    w.client.on_persisted(w.persists.back().ticket, "", w.now);
    w.settle();
  }
  std::map<std::uint64_t, int> answered;
  for (auto& a : w.answers()) ++answered[a.nonce];
  EXPECT_EQ(answered.size(), kStorm);
  for (auto& [nonce, times] : answered) EXPECT_EQ(times, 1) << nonce;
  EXPECT_EQ(w.client.active().number, kStorm);
  EXPECT_LT(w.validations.size(), 10u);
}

// The connection breaks in the middle of a delivery of two parts. Wherever it breaks, the active version is
// the one before or the one after, and the next stream delivers it whole.
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
    w.accept_all = true;
    w.open();
    w.client.on_bytes(std::string_view(bytes).substr(0, cut), w.now);
    w.settle();
    EXPECT_EQ(w.client.active().number, cut == bytes.size() ? 5u : 4u) << cut;
    w.client.on_disconnected("reset", w.now);
    w.settle();
    while (w.connects.size() < 2) {
      w.now = std::max(w.now + 1, w.client.next_deadline());
      w.client.run_once(w.now);
      w.settle();
    }
    w.open();
    w.offer(next);
    EXPECT_EQ(w.client.active().hash, next.hash) << cut;
    EXPECT_EQ(w.last().verdict, Verdict::ack) << cut;
  }
}

// The connection breaks while a version is validated, or while it is persisted. Validated ones are dropped
// and offered again by the next stream; a persisted one is on disk, so it is applied.
TEST(ConfigClient, AVersionUnderWayWhenTheStreamClosesIsOfferedAnew) {
  Wire w(version(4, "old"));
  w.open();
  w.offer(version(5, "new"));
  w.client.on_disconnected("reset", w.now);
  w.client.on_validated(w.validations[0].ticket, {}, w.now);  // too late: nobody asked for it any more
  w.settle();
  EXPECT_TRUE(w.persists.empty());
  w.now = w.client.next_deadline();
  w.open();
  EXPECT_EQ(std::get<Subscribe>(w.sent.back()).held_number, 4u);
  w.offer(version(5, "new"));
  w.client.on_validated(w.validations.back().ticket, {}, w.now);
  w.settle();
  ASSERT_EQ(w.persists.size(), 1u);
  w.client.on_disconnected("reset", w.now);  // between disk and ack: it is kept, so it is run
  w.client.on_persisted(w.persists[0].ticket, "", w.now);
  w.settle();
  EXPECT_EQ(w.applied.size(), 1u);
  w.now = w.client.next_deadline();
  w.open();
  EXPECT_EQ(std::get<Subscribe>(w.sent.back()).held_number, 5u);
}

// A person rolls back while a later version is validated and another is queued. Neither may become active
// afterwards; both are nacked, and while the pin holds so is every other. Once it is lifted, what the pin
// alone kept out is validated.
TEST(ConfigClient, ARollbackWhileTheGateLooksDropsWhatItLooksAt) {
  Wire w(version(4, "old"));
  w.open();
  w.offer(version(5, "new"));
  w.offer(version(6, "newer"));
  w.client.roll_back_to(version(3, "older"), w.now);
  w.client.set_pin(3, w.now);
  w.client.on_validated(w.validations[0].ticket, {}, w.now);
  w.settle();
  EXPECT_TRUE(w.persists.empty());
  EXPECT_EQ(w.client.active().number, 3u);
  EXPECT_EQ(w.applied.back().number, 3u);
  ASSERT_EQ(w.answers().size(), 2u) << "both that were under way";
  for (auto& a : w.answers()) EXPECT_EQ(a.verdict, Verdict::nack);
  w.offer(version(7, "newest"));
  EXPECT_EQ(w.last().reasons.at(0).rule, "pinned");
  w.client.set_pin(std::nullopt, w.now);  // what the pin alone kept out is looked at now
  w.settle();
  ASSERT_EQ(w.validations.size(), 2u);
  EXPECT_EQ(w.validations.back().candidate.number, 7u);
}

// A version was acked and then failed its trial. The service is told late, with the evidence, and the same
// content is nacked under any number until a person allows it again.
TEST(ConfigClient, AVersionThatGoesBackIsNackedLateAndItsContentIsNotTriedAgain) {
  Wire w(version(4, "old"));
  w.accept_all = true;
  w.open();
  w.offer(version(5, "slow"));
  ASSERT_EQ(w.client.active().number, 5u);
  std::uint64_t acked = w.last().nonce;
  w.client.revert_to(version(4, "old"), {{"watch", "", "service fell from 0.99 to 0.61", ""}}, w.now);
  w.settle();
  EXPECT_EQ(w.last().verdict, Verdict::reverted);
  EXPECT_EQ(w.last().nonce, acked);
  EXPECT_EQ(w.last().in_force, 4u);
  EXPECT_EQ(w.applied.back().number, 4u);
  w.offer(version(5, "slow"));
  EXPECT_EQ(w.last().verdict, Verdict::nack);
  w.offer(version(6, "slow"));
  EXPECT_EQ(w.last().verdict, Verdict::nack) << "by its content, whatever its number";
  w.client.allow_again(version(6, "slow").hash);
  w.offer(version(6, "slow"));
  EXPECT_EQ(w.last().verdict, Verdict::ack);
}

// A nack may have been due to the moment. After a restart the version is validated again, but not if its
// content failed a trial in an earlier run.
TEST(ConfigClient, ANackedVersionIsLookedAtAgainAfterARestart) {
  Version bad = version(5, "bad");
  for (int run = 0; run < 2; ++run) {
    Wire w(version(4, "old"), 4);
    w.open();
    w.offer(bad);
    ASSERT_EQ(w.validations.size(), 1u);
    w.client.on_validated(w.validations[0].ticket, {{"rule 5", "p", "r", ""}}, w.now);
    w.settle();
    EXPECT_EQ(w.last().verdict, Verdict::nack);
  }
  Wire w(version(4, "old"), 5, {{bad.hash, "service fell"}});  // but not if it went back in an earlier run
  w.open();
  w.offer(bad);
  EXPECT_TRUE(w.validations.empty());
  EXPECT_EQ(w.last().verdict, Verdict::nack);
}

// A broken service sends a version without bounds, a delivery that never ends, nothing at all, or a frame of
// four gigabytes. Each costs its stream, in bounded time and memory, and nothing else.
TEST(ConfigClient, HugeEndlessAndSilentServicesCostOnlyTheirStream) {
  {
    Wire w;
    w.open();
    Delivery d{.nonce = 1, .origin = "ops", .number = 5, .part = 0, .parts = 1000000};
    for (std::uint32_t k = 0; w.closes == 0 && k < 100; ++k) {
      d.part = k;
      d.changed = {{{"limits", fmt::format("r{}", k)}, std::string(200000, 'x')}};
      w.say(d);
    }
    EXPECT_EQ(w.closes, 1);
    EXPECT_EQ(w.last().verdict, Verdict::nack);
    EXPECT_EQ(w.last().reasons[0].rule, "bounds");
    EXPECT_TRUE(w.validations.empty());
  }
  {
    Wire w;
    w.open();
    Delivery d{.nonce = 1, .origin = "ops", .number = 5, .part = 0, .parts = 1000000};
    for (std::uint32_t k = 0; w.closes == 0 && k < 2000; ++k) {  // a small part now and then, without end
      d.part = k;
      w.now += 50;
      w.say(d);
      w.client.run_once(w.now);
      w.settle();
    }
    EXPECT_EQ(w.closes, 1);
    EXPECT_LE(w.now, 1000 + w.options.delivery_timeout + 100);
  }
  {
    Wire w;
    w.open();
    for (Ms end = w.now + 4000; w.now < end && w.closes == 0; w.now += 100) {
      w.client.run_once(w.now);
      w.settle();
    }
    EXPECT_EQ(w.closes, 1);
    EXPECT_NEAR(w.now, 1000 + 3000, 150);
  }
  {
    Wire w;
    w.open();
    w.client.on_bytes(std::string("\xff\xff\xff\xff\x02", 5), w.now);  // four gigabytes are announced
    w.settle();
    EXPECT_EQ(w.closes, 1);
  }
}

// All services are down. They are tried in turn, the waits grow up to their limit, and two assigners do not
// wait the same times: a fleet that dials in step would bring down the first service that returns.
TEST(ConfigClient, EndpointsTakeTurnsWithWaitsThatGrowAndDiffer) {
  std::vector<Ms> waits[2];
  for (int who = 0; who < 2; ++who) {
    Wire w;
    ClientOptions o = w.options;
    o.seed = static_cast<std::uint64_t>(who) + 1;
    w.client = Client(o, {}, 0, {}, w.now);
    for (int k = 0; k < 12; ++k) {
      Ms before = w.now;
      w.now = std::max(w.now, w.client.next_deadline());
      waits[who].push_back(w.now - before);
      w.client.run_once(w.now);
      w.settle();
      w.client.on_disconnected("refused", w.now);
      w.settle();
    }
    ASSERT_EQ(w.connects.size(), 12u);
    for (std::size_t k = 0; k < 12; ++k) EXPECT_EQ(w.connects[k], k % 2);
    EXPECT_LE(waits[who].back(), o.max_backoff);
    EXPECT_GE(waits[who].back(), o.max_backoff / 2);
    EXPECT_LE(waits[who][1], o.min_backoff);
  }
  EXPECT_NE(waits[0], waits[1]) << "a fleet must not dial in step";
}

// A valid version has to wait until it can be applied, and a later one comes. The later one is validated in
// its place, and a late result for the first one changes nothing.
TEST(ConfigClient, WhatPassedAndCannotRunYetGivesWayToALaterOne) {
  Wire w;
  w.open();
  w.offer(version(5, "a"));
  EXPECT_FALSE(w.client.supersede_by_queued(w.validations[0].ticket, w.now)) << "nothing waits";
  w.offer(version(6, "b"));
  EXPECT_TRUE(w.client.supersede_by_queued(w.validations[0].ticket, w.now));
  w.settle();
  EXPECT_EQ(w.last().verdict, Verdict::superseded);
  EXPECT_EQ(w.last().number, 5u);
  ASSERT_EQ(w.validations.size(), 2u);
  EXPECT_EQ(w.validations[1].candidate.number, 6u);
  w.client.on_validated(w.validations[0].ticket, {}, w.now);  // a verdict that comes too late
  w.settle();
  EXPECT_TRUE(w.persists.empty());
}

// The first service fails and the second one takes over. After a while the client ends that stream and tries
// the first one again, so that the fleet does not stay on the spare.
TEST(ConfigClient, TheFirstServiceIsComeBackTo) {
  Wire w;
  w.open();
  w.say(Ping{1});
  w.client.on_disconnected("reset", w.now);  // it lived: it is tried first
  w.now = w.client.next_deadline();
  w.client.run_once(w.now);
  w.settle();
  EXPECT_EQ(w.connects.back(), 0u);
  w.client.on_disconnected("refused", w.now);
  w.now = w.client.next_deadline();
  w.client.run_once(w.now);
  w.settle();
  EXPECT_EQ(w.connects.back(), 1u);
  w.client.on_connected(w.now);
  w.settle();
  Ms there = w.now;
  while (w.closes == 0 && w.now < there + 100000) {
    w.now += 500;
    w.say(Ping{1});
    w.client.run_once(w.now);
    w.settle();
  }
  EXPECT_NEAR(w.now - there, w.options.failback_after, 1000);
  w.now = w.client.next_deadline();
  w.client.run_once(w.now);
  w.settle();
  EXPECT_EQ(w.connects.back(), 0u);
}

}  // namespace
}  // namespace beamshunt::config_stream
