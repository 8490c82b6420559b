#include "assigner/watch.h"

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
constexpr Watch::Limits kLimits{.time = 5000, .service_drop = 0.1, .least_requests = 100};

TEST(ServedPart, IsOfTheLastRequestsByTheirWorthAndUnknownWhileTheyAreFew) {
  Fleet fleet;
  ServedPart part(100);
  part.note(fleet.serve(0, 0));
  part.note(fleet.serve(99, 99));
  EXPECT_FALSE(part.value());
  part.note(fleet.serve(1, 1));
  EXPECT_EQ(*part.value(), 1);
  for (int k = 0; k < 4; ++k) part.note(fleet.serve(25, 0, 25, 25));
  EXPECT_NEAR(*part.value(), 0.75, 1e-9) << "one of four by number is half, by worth three of four";
  EXPECT_EQ(part.requests(), 100);
}

TEST(Watch, AVersionUnderWhichServiceStaysIsConfirmedOnceItsTimeIsOver) {
  Fleet fleet;
  Watch w(kLimits, 0.98, {}, 1000);
  Ms now = 1000;
  while (now < 5700) ASSERT_EQ(w.look(fleet.serve(50, 47), now += 250), Watch::State::watching) << now;
  EXPECT_EQ(w.look(fleet.serve(50, 47), 6000), Watch::State::passed);
  EXPECT_TRUE(w.evidence().empty());
}

TEST(Watch, ServiceThatFallsIsEvidenceOnceItIsSeenTwice) {
  Fleet fleet;
  Watch w(kLimits, 0.98, {}, 1000);
  EXPECT_EQ(w.look(fleet.serve(0, 0), 1100), Watch::State::watching);
  EXPECT_EQ(w.look(fleet.serve(100, 50), 1200), Watch::State::watching) << "a hiccup";
  EXPECT_EQ(w.look(fleet.serve(100, 98), 1300), Watch::State::watching);
  EXPECT_EQ(w.look(fleet.serve(100, 50), 1400), Watch::State::watching);
  EXPECT_EQ(w.look(fleet.serve(100, 50), 1500), Watch::State::broken);
  ASSERT_EQ(w.evidence().size(), 1u);
  EXPECT_EQ(w.evidence()[0].reason, "the part served in time fell from 0.980 to 0.500 over 100 requests");
}

TEST(Watch, ABadTimeBeforeIsNoMeasure) {
  Fleet fleet;
  Watch w(kLimits, std::nullopt, {}, 1000);
  for (Ms now = 1000; now < 5500; now += 250)
    EXPECT_EQ(w.look(fleet.serve(100, 10), now), Watch::State::watching);
}

TEST(Watch, ARuleThatComesToItsLimitIsEvidenceUnlessItWasThereBefore) {
  Fleet fleet;
  Watch w(kLimits, std::nullopt, {0, 0, 0.2, 0, 1.3}, 1000);
  fleet.f.rule_usage = {0, 0, 0.5, 0, 1.4};
  EXPECT_EQ(w.look(fleet.f, 1250), Watch::State::watching) << "rule 5 was over it already";
  fleet.f.rule_usage[2] = 1.1;
  EXPECT_EQ(w.look(fleet.f, 1500), Watch::State::watching);
  EXPECT_EQ(w.look(fleet.f, 1750), Watch::State::broken);
  EXPECT_EQ(w.evidence().at(0).rule, "rule 3");
}

}  // namespace
}  // namespace beamshunt::assigner
