// Tests of ejection and readmission. A hung endpoint returns no responses and has no latency, so only
// ejection takes it out of use.
#include "policy/outlier_detector.h"

#include <gtest/gtest.h>

#include "policy/controller_harness.h"

namespace beamshunt::test {
namespace {

const Locality kEast{0};
const Locality kWest{1};
const Duration kInterval{500};
const Time kNow(Duration(100000));

// Three endpoints in the east, which the proxies of the east reported at kNow.
EndpointMap fleet_of_three() {
  EndpointMap endpoints;
  for (unsigned id : {11, 12, 13}) {
    Endpoint& added = endpoints[EndpointId(id)];
    added.listed = make_endpoint(id, 0);
    Path& path = added.paths[kEast];
    path.succeeded = 50;
    path.last_report = kNow;
    path.last_success = kNow;
  }
  return endpoints;
}

void fail(Endpoint& endpoint, double attempts) {
  Path& path = endpoint.paths[kEast];
  path.succeeded = 0;
  path.failed = attempts;
  path.failed_since_success = attempts;
  path.last_success = kNow - Duration(1500);
}

class OutlierDetection : public testing::Test {
 protected:
  std::vector<LogMessage> evaluate(Time now = kNow) {
    return detector.evaluate(kEast, endpoints, kInterval, now);
  }
  Endpoint& first_endpoint() { return endpoints[EndpointId(11)]; }

  Settings settings = two_locality_settings();
  OutlierDetector detector{settings};
  EndpointMap endpoints = fleet_of_three();
};

TEST_F(OutlierDetection, EjectsAnEndpointThatFailsWhileOtherEndpointsSucceed) {
  fail(first_endpoint(), 3);
  std::vector<LogMessage> messages = evaluate();
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].text, "eject 11, tries fail, seen from east");
  EXPECT_TRUE(is_ejected(first_endpoint(), kEast));
  EXPECT_TRUE(is_ejected(first_endpoint(), kWest))
      << "an ejection in its own locality applies to all localities";
}

TEST_F(OutlierDetection, DoesNotEjectAfterTwoFailures) {
  fail(first_endpoint(), 2);
  EXPECT_TRUE(evaluate().empty());
}

TEST_F(OutlierDetection, DoesNotEjectWhenAllEndpointsFail) {
  for (auto& [id, endpoint] : endpoints) fail(endpoint, 10);
  EXPECT_TRUE(evaluate().empty());
}

TEST_F(OutlierDetection, EjectsAnUnreportedEndpointWhoseHealthChecksFailWhileOtherEndpointsAnswer) {
  first_endpoint().paths[kEast].last_success = kNow - Duration(1500);
  first_endpoint().paths[kEast].last_report = kNow - Duration(1500);
  first_endpoint().health_check_streak = -2;
  EXPECT_TRUE(evaluate().empty()) << "no other endpoint answered, so the network may be at fault";
  endpoints[EndpointId(12)].health_check_streak = 1;
  std::vector<LogMessage> messages = evaluate();
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].text, "eject 11, no probe answered, seen from east");
}

TEST_F(OutlierDetection, ReadmitsAfterTheEjectionTimeAndTwoHealthChecksAndDoublesTheNextEjectionTime) {
  fail(first_endpoint(), 3);
  ASSERT_EQ(evaluate().size(), 1u);
  Time later = kNow + Duration(3000);
  evaluate(later);
  EXPECT_TRUE(is_ejected(first_endpoint(), kEast)) << "no health check has succeeded yet";
  for (int k = 0; k < 2; ++k) OutlierDetector::apply({.outcome = AttemptOutcome::success}, first_endpoint());
  evaluate(later - Duration(1));
  EXPECT_TRUE(is_ejected(first_endpoint(), kEast)) << "the ejection time has not passed";
  evaluate(later);
  EXPECT_FALSE(is_ejected(first_endpoint(), kEast));
  EXPECT_EQ(first_endpoint().readmitted_at, later);
  fail(first_endpoint(), 3);
  first_endpoint().paths[kEast].last_report = kNow;
  ASSERT_EQ(evaluate(later).size(), 1u);
  EXPECT_EQ(first_endpoint().paths[kEast].ejected_until, later + Duration(6000));
}

TEST_F(OutlierDetection, ChecksOnlyEjectedEndpointsUnlessHealthChecksCarryTheLoadReports) {
  EXPECT_TRUE(detector.due_health_checks(endpoints).empty());
  first_endpoint().paths[kWest].ejected = true;
  ASSERT_EQ(detector.due_health_checks(endpoints).size(), 1u);
  EXPECT_EQ(detector.due_health_checks(endpoints)[0].endpoint, EndpointId(11));
  settings.load_reports_by_health_check = true;
  EXPECT_EQ(detector.due_health_checks(endpoints).size(), 3u);
}

}  // namespace
}  // namespace beamshunt::test
