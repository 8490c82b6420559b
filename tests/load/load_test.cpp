#include "load/load.h"

#include <gtest/gtest.h>

namespace beamshunt::load {
namespace {

std::vector<Ms> all(const Rate& rate, std::uint64_t seed) {
  Schedule schedule(rate, seed);
  std::vector<Ms> out;
  while (auto at = schedule.next()) out.push_back(*at);
  return out;
}

TEST(Schedule, HasTheMeanAndTheShapeItIsGivenAndTheSameForASeed) {
  for (Shape shape : {Shape::constant, Shape::burst, Shape::ramp, Shape::wave}) {
    Rate rate{.mean = 500,
              .shape = shape,
              .times = shape == Shape::wave ? 1.8 : 4,
              .period = 5000,
              .length = 40000};
    std::vector<Ms> due = all(rate, 3);
    EXPECT_EQ(due, all(rate, 3));
    EXPECT_NE(due, all(rate, 4));
    EXPECT_TRUE(std::is_sorted(due.begin(), due.end()));
    EXPECT_NEAR(static_cast<double>(due.size()), 20000, 600) << static_cast<int>(shape);
  }
  Rate burst{.mean = 500, .shape = Shape::burst, .times = 4, .period = 5000, .length = 40000};
  auto within = [&](Ms from, Ms to) {
    std::vector<Ms> due = all(burst, 3);
    return std::count_if(due.begin(), due.end(), [&](Ms at) { return at >= from && at < to; });
  };
  EXPECT_NEAR(static_cast<double>(within(0, 500)), 1000, 120);
  EXPECT_NEAR(static_cast<double>(within(1000, 1500)), 167, 50);
  EXPECT_TRUE(all({.mean = 0}, 1).empty());
}

// A server that stalls for 400 ms answers a few requests late by its own count, and all that were due
// meanwhile late by the clients'.
TEST(Load, WhatAStallDelaysIsCounted) {
  net::Reactor reactor;
  std::vector<http::Responder> held;
  bool stalled = false;
  http::Server server(reactor, {(127u << 24) + (231u << 16) + 1, 8061},
                      [&](http::Message&&, http::Responder r) {
                        if (stalled) held.push_back(std::move(r));
                        else r.send(http::make_response(200, {}));
                      },
                      {});
  Ms now = base::monotonic_ms();
  reactor.call_at(now + 300, [&] { stalled = true; });
  reactor.call_at(now + 700, [&] {
    stalled = false;
    for (http::Responder& r : held) r.send(http::make_response(200, {}));
  });
  Loaded out = run(reactor, {.to = {server.address()}, .rate = {.mean = 400, .length = 1000}, .within = 100});
  EXPECT_GT(out.due, 300u);
  EXPECT_EQ(out.good, out.due);
  EXPECT_GT(out.since_due.p90, 200) << "two fifths of the time it stood still";
  EXPECT_LT(out.in_time, out.good * 9 / 10);
  EXPECT_GE(out.since_due.most, out.since_sent.most * 0.99);
}

TEST(Load, EveryWayToFailHasItsCountAndWhatIsOverTheBoundIsNotSent) {
  net::Reactor reactor;
  int number = 0;
  std::vector<http::Responder> held;
  http::Server server(reactor, {(127u << 24) + (231u << 16) + 1, 8062},
                      [&](http::Message&&, http::Responder r) {
                        int status[] = {200, 503, 500};
                        if (int k = number++ % 4; k < 3) r.send(http::make_response(status[k], {}));
                        else held.push_back(std::move(r));  // never answered
                      },
                      {});
  LoadOptions o{.to = {server.address()}, .rate = {.mean = 200, .length = 500}, .deadline = 200};
  Loaded out = run(reactor, o);
  for (std::size_t n : {out.good, out.refused, out.errors, out.late})
    EXPECT_GT(n, 10u) << out.good << " good, " << out.refused << " refused, " << out.errors << " errors, "
                      << out.late << " late, " << out.broken << " broken";
  EXPECT_EQ(out.good + out.refused + out.errors + out.late + out.broken + out.not_sent, out.due);
  o.to = {{(127u << 24) + (231u << 16) + 2, 1}}, o.rate.length = 100;
  out = run(reactor, o);
  EXPECT_EQ(out.broken, out.due) << "nobody listens";
  o.to = {server.address()}, o.most_open = 1, o.rate.mean = 1000, o.seed = 2;
  out = run(reactor, o);
  EXPECT_GT(out.not_sent, 0u);
}

}  // namespace
}  // namespace beamshunt::load
