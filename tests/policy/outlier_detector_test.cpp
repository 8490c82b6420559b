// A hung endpoint returns no answers, so that no latency shows it: it has to be ejected, and to come back.
#include "policy/outlier_detector.h"

#include <gtest/gtest.h>

#include "policy/controller_harness.h"

namespace beamshunt::test {
namespace {

const Locality kEast{0};
const Locality kWest{1};
const Duration kInterval{500};
const Time kNow(Duration(100000));

// Three endpoints in the east, all reported just now by its proxies.
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
  std::vector<LogMessage> judge(Time now = kNow) { return detector.judge(kEast, endpoints, kInterval, now); }
  Endpoint& first() { return endpoints[EndpointId(11)]; }

  Settings settings = two_locality_settings();
  OutlierDetector detector{settings};
  EndpointMap endpoints = fleet_of_three();
};

TEST_F(OutlierDetection, EjectsAnEndpointThatFailsWhileTheOthersSucceed) {
  fail(first(), 3);
  std::vector<LogMessage> messages = judge();
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].text, "eject 11, tries fail, seen from east");
  EXPECT_TRUE(is_ejected(first(), kEast));
  EXPECT_TRUE(is_ejected(first(), kWest)) << "ejected in its own locality: for all";
}

TEST_F(OutlierDetection, TwoFailuresAreNoEvidence) {
  fail(first(), 2);
  EXPECT_TRUE(judge().empty());
}

TEST_F(OutlierDetection, ACommonCauseEjectsNobody) {
  for (auto& [id, endpoint] : endpoints) fail(endpoint, 10);
  EXPECT_TRUE(judge().empty());
}

TEST_F(OutlierDetection, SilenceCountsWhereHealthChecksFailThatOthersAnswer) {
  first().paths[kEast].last_success = kNow - Duration(1500);
  first().paths[kEast].last_report = kNow - Duration(1500);
  first().health_check_run = -2;
  EXPECT_TRUE(judge().empty()) << "no other answered: the network may be at fault";
  endpoints[EndpointId(12)].health_check_run = 1;
  std::vector<LogMessage> messages = judge();
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].text, "eject 11, no probe answered, seen from east");
}

TEST_F(OutlierDetection, ReadmitsAfterTheTimeAndTwoHealthChecksAndDoublesTheTimeAtARelapse) {
  fail(first(), 3);
  ASSERT_EQ(judge().size(), 1u);
  Time later = kNow + Duration(3000);
  judge(later);
  EXPECT_TRUE(is_ejected(first(), kEast)) << "no health check succeeded yet";
  for (int k = 0; k < 2; ++k) OutlierDetector::apply({.outcome = AttemptOutcome::success}, first());
  judge(later - Duration(1));
  EXPECT_TRUE(is_ejected(first(), kEast)) << "too early";
  judge(later);
  EXPECT_FALSE(is_ejected(first(), kEast));
  EXPECT_EQ(first().readmitted_at, later);
  fail(first(), 3);
  first().paths[kEast].last_report = kNow;
  ASSERT_EQ(judge(later).size(), 1u);
  EXPECT_EQ(first().paths[kEast].ejected_until, later + Duration(6000));
}

TEST_F(OutlierDetection, OnlyEjectedEndpointsNeedHealthChecksWhereReportsComeOtherwise) {
  EXPECT_TRUE(detector.due_health_checks(endpoints).empty());
  first().paths[kWest].ejected = true;
  ASSERT_EQ(detector.due_health_checks(endpoints).size(), 1u);
  EXPECT_EQ(detector.due_health_checks(endpoints)[0].endpoint, EndpointId(11));
  settings.load_reports_by_health_check = true;
  EXPECT_EQ(detector.due_health_checks(endpoints).size(), 3u);
}

}  // namespace
}  // namespace beamshunt::test
