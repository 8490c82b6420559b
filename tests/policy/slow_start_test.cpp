// Rule 4: an endpoint that is warming up may get only what it can do, also while the fleet is overloaded.
#include "policy/slow_start.h"

#include <gtest/gtest.h>

#include "policy/controller_harness.h"

namespace beamshunt::test {
namespace {

// Initial capacity 0.25, warm-up time 16 s.
const Settings kSettings = two_locality_settings();

Endpoint started_at(double ms) {
  Endpoint result;
  result.listed = make_endpoint(1, 0);
  result.listed.start_time = Time(Duration(ms));
  result.listed.start_time_known = true;
  return result;
}

// A state in which one warmed-up endpoint of capacity 2 serves `admitted` requests a second.
SlowStart at_publication(double fail_share, double admitted) {
  SlowStart slow_start(kSettings);
  EndpointMap endpoints;
  endpoints[EndpointId(2)].listed = make_endpoint(2, 0);
  Demand demand(kSettings);
  demand.add(Locality(0), 0, admitted);
  slow_start.update_overload(fail_share, 10, endpoints, demand, Time(Duration(100000)));
  return slow_start;
}

TEST(SlowStartFactor, GrowsLinearlyFromTheInitialCapacityOverTheWarmUpTime) {
  SlowStart slow_start(kSettings);
  Endpoint fresh = started_at(100000);
  EXPECT_DOUBLE_EQ(slow_start.factor(fresh, Time(Duration(100000))), 0.25);
  EXPECT_DOUBLE_EQ(slow_start.factor(fresh, Time(Duration(108000))), 0.625);
  EXPECT_DOUBLE_EQ(slow_start.factor(fresh, Time(Duration(116000))), 1);
  EXPECT_DOUBLE_EQ(slow_start.factor(fresh, Time(Duration(200000))), 1);
}

TEST(SlowStartFactor, IsOneForAnEndpointThatStartedLongAgo) {
  Endpoint old;
  old.listed = make_endpoint(1, 0);
  EXPECT_DOUBLE_EQ(SlowStart(kSettings).factor(old, Time(Duration(100000))), 1);
}

// An ejected endpoint may have restarted unseen, without a new start time in the list.
TEST(SlowStartFactor, GrowsOverHalfTheWarmUpTimeAfterReadmission) {
  Endpoint readmitted = started_at(0);
  readmitted.readmitted_at = Time(Duration(100000));
  EXPECT_DOUBLE_EQ(SlowStart(kSettings).factor(readmitted, Time(Duration(104000))), 0.625);
  EXPECT_DOUBLE_EQ(SlowStart(kSettings).factor(readmitted, Time(Duration(108000))), 1);
}

TEST(SlowStartUnderOverload, FallsWithCapacityOverLoadForWarmingEndpointsOnly) {
  Time now(Duration(108000));
  // 2 units of capacity at 10 requests a second each, for 40 requests a second.
  SlowStart overloaded = at_publication(0, 40);
  EXPECT_DOUBLE_EQ(overloaded.factor_under_overload(started_at(100000), now), 0.625 * 0.5);
  EXPECT_DOUBLE_EQ(overloaded.factor_under_overload(started_at(0), now), 1);
  EXPECT_DOUBLE_EQ(at_publication(0, 10).factor_under_overload(started_at(100000), now), 0.625);
}

TEST(SlowStartUnderOverload, HoldsBackWhileFailuresAreCommonOrNothingIsKnown) {
  EXPECT_TRUE(SlowStart(kSettings).holds_back());
  EXPECT_TRUE(at_publication(0.21, 10).holds_back());
  EXPECT_FALSE(at_publication(0.2, 10).holds_back());
}

}  // namespace
}  // namespace beamshunt::test
