// Tests of rule 4: the load of a warming endpoint stays within its capacity, even while the fleet is
// overloaded.
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

// Returns the state after a publication in which one warmed-up endpoint of capacity 2 serves `admitted`
// requests per second, at 10 requests per second for each unit of capacity.
SlowStart state_after_publication(double failure_ratio, double admitted) {
  SlowStart slow_start(kSettings);
  EndpointMap endpoints;
  endpoints[EndpointId(2)].listed = make_endpoint(2, 0);
  Demand demand(kSettings);
  demand.add(Locality(0), 0, admitted);
  slow_start.update_overload(failure_ratio, 10, endpoints, demand, Time(Duration(100000)));
  return slow_start;
}

TEST(SlowStartFactor, GrowsLinearlyFromTheInitialCapacityOverTheWarmUpTime) {
  SlowStart slow_start(kSettings);
  Endpoint starting = started_at(100000);
  EXPECT_DOUBLE_EQ(slow_start.factor(starting, Time(Duration(100000))), 0.25);
  EXPECT_DOUBLE_EQ(slow_start.factor(starting, Time(Duration(108000))), 0.625);
  EXPECT_DOUBLE_EQ(slow_start.factor(starting, Time(Duration(116000))), 1);
  EXPECT_DOUBLE_EQ(slow_start.factor(starting, Time(Duration(200000))), 1);
}

TEST(SlowStartFactor, IsOneForAnEndpointThatStartedLongAgo) {
  Endpoint running;
  running.listed = make_endpoint(1, 0);
  EXPECT_DOUBLE_EQ(SlowStart(kSettings).factor(running, Time(Duration(100000))), 1);
}

// Without a warm-up time, the quotient of elapsed and warm-up time at the start is 0 / 0.
TEST(SlowStartFactor, IsOneFromTheStartWithoutAWarmUpTime) {
  Settings settings = kSettings;
  settings.warm_up_time = Duration(0);
  Endpoint starting = started_at(100000);
  starting.readmitted_at = Time(Duration(100000));
  EXPECT_EQ(SlowStart(settings).factor(starting, Time(Duration(100000))), 1);
  EXPECT_EQ(SlowStart(settings).factor(starting, Time(Duration(100001))), 1);
}

// An ejected endpoint may have restarted without a new start time in the endpoint list.
TEST(SlowStartFactor, GrowsOverHalfTheWarmUpTimeAfterReadmission) {
  Endpoint readmitted = started_at(0);
  readmitted.readmitted_at = Time(Duration(100000));
  EXPECT_DOUBLE_EQ(SlowStart(kSettings).factor(readmitted, Time(Duration(104000))), 0.625);
  EXPECT_DOUBLE_EQ(SlowStart(kSettings).factor(readmitted, Time(Duration(108000))), 1);
}

TEST(SlowStartUnderOverload, ReducesTheFactorOfWarmingEndpointsByTheRatioOfCapacityToLoad) {
  Time now(Duration(108000));
  // The capacity is 2 units at 10 requests per second; the load is 40 requests per second.
  SlowStart overloaded = state_after_publication(0, 40);
  EXPECT_DOUBLE_EQ(overloaded.factor_under_overload(started_at(100000), now), 0.625 * 0.5);
  EXPECT_DOUBLE_EQ(overloaded.factor_under_overload(started_at(0), now), 1);
  EXPECT_DOUBLE_EQ(state_after_publication(0, 10).factor_under_overload(started_at(100000), now), 0.625);
}

TEST(SlowStartUnderOverload, WithholdsTrafficWhileFailuresAreCommonOrNothingIsKnown) {
  EXPECT_TRUE(SlowStart(kSettings).withholds_traffic());
  EXPECT_TRUE(state_after_publication(0.21, 10).withholds_traffic());
  EXPECT_FALSE(state_after_publication(0.2, 10).withholds_traffic());
}

}  // namespace
}  // namespace beamshunt::test
