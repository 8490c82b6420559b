// A version on trial: what its samples say of the service and of the rules.
#include "assigner/version_trial.h"

#include <gtest/gtest.h>

namespace beamshunt::assigner {
namespace {

struct Fleet {
  telemetry::AssignerMetrics f;
  Fleet() { f.service = {{"north", "read", 0, 0, 0, 1}, {"north", "pay", 0, 0, 0, 3}}; }
  const telemetry::AssignerMetrics& serve(std::uint64_t reads, std::uint64_t in_time, std::uint64_t pays = 0,
                                          std::uint64_t paid = 0) {
    f.service[0].arrivals += reads, f.service[0].in_time += in_time;
    f.service[1].arrivals += pays, f.service[1].in_time += paid;
    return f;
  }
};
constexpr VersionTrial::Limits kLimits{.duration = 5000, .max_service_drop = 0.1, .min_requests = 100};

// A quiet site answers few requests. One slow answer among them must not look like a fall of the service, so
// the window grows until it holds enough; a request of a higher priority weight counts for more.
TEST(ServiceLevelWindow, IsOfTheLastRequestsByTheirWorthAndUnknownWhileTheyAreFew) {
  Fleet fleet;
  ServiceLevelWindow window(100);
  window.add(fleet.serve(0, 0));
  window.add(fleet.serve(99, 99));
  EXPECT_FALSE(window.value());
  window.add(fleet.serve(1, 1));
  EXPECT_EQ(*window.value(), 1);
  for (int k = 0; k < 4; ++k) window.add(fleet.serve(25, 0, 25, 25));
  EXPECT_NEAR(*window.value(), 0.75, 1e-9) << "one of four by number is half, by worth three of four";
  EXPECT_EQ(window.requests(), 100);
}

// A version is applied and the service stays as it was: it is confirmed when the trial is over, not earlier.
TEST(VersionTrial, AVersionUnderWhichServiceStaysIsConfirmedOnceItsTimeIsOver) {
  Fleet fleet;
  VersionTrial trial(kLimits, 0.98, {}, 1000);
  Ms now = 1000;
  while (now < 5700)
    ASSERT_EQ(trial.evaluate(fleet.serve(50, 47), now += 250), VersionTrial::State::running) << now;
  EXPECT_EQ(trial.evaluate(fleet.serve(50, 47), 6000), VersionTrial::State::passed);
  EXPECT_TRUE(trial.evidence().empty());
}

// A version halves what is answered in time. One sample with such a fall may be a pause of the network; two
// in a row end the trial, and the evidence holds the figures.
TEST(VersionTrial, ServiceThatFallsIsEvidenceOnceItIsSeenTwice) {
  Fleet fleet;
  VersionTrial trial(kLimits, 0.98, {}, 1000);
  EXPECT_EQ(trial.evaluate(fleet.serve(0, 0), 1100), VersionTrial::State::running);
  EXPECT_EQ(trial.evaluate(fleet.serve(100, 50), 1200), VersionTrial::State::running) << "a hiccup";
  EXPECT_EQ(trial.evaluate(fleet.serve(100, 98), 1300), VersionTrial::State::running);
  EXPECT_EQ(trial.evaluate(fleet.serve(100, 50), 1400), VersionTrial::State::running);
  EXPECT_EQ(trial.evaluate(fleet.serve(100, 50), 1500), VersionTrial::State::failed);
  ASSERT_EQ(trial.evidence().size(), 1u);
  EXPECT_EQ(trial.evidence()[0].reason, "the part served in time fell from 0.980 to 0.500 over 100 requests");
}

// Before the version too little was served to know the service level: a bad one after it proves nothing.
TEST(VersionTrial, ABadTimeBeforeIsNoMeasure) {
  Fleet fleet;
  VersionTrial trial(kLimits, std::nullopt, {}, 1000);
  for (Ms now = 1000; now < 5500; now += 250)
    EXPECT_EQ(trial.evaluate(fleet.serve(100, 10), now), VersionTrial::State::running);
}

// Under the version rule 3 reaches its limit, which it had not before: the trial fails. Rule 5 was past its
// limit before the version came and is not held against it.
TEST(VersionTrial, ARuleThatComesToItsLimitIsEvidenceUnlessItWasThereBefore) {
  Fleet fleet;
  VersionTrial trial(kLimits, std::nullopt, {0, 0, 0.2, 0, 1.3}, 1000);
  fleet.f.rule_usage = {0, 0, 0.5, 0, 1.4};
  EXPECT_EQ(trial.evaluate(fleet.f, 1250), VersionTrial::State::running) << "rule 5 was over it already";
  fleet.f.rule_usage[2] = 1.1;
  EXPECT_EQ(trial.evaluate(fleet.f, 1500), VersionTrial::State::running);
  EXPECT_EQ(trial.evaluate(fleet.f, 1750), VersionTrial::State::failed);
  EXPECT_EQ(trial.evidence().at(0).rule, "rule 3");
}

}  // namespace
}  // namespace beamshunt::assigner
