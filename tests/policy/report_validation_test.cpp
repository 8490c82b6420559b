// Tests that figures which cannot be true, in reports, registrations and lists, leave all decisions finite.
#include "policy/report_validation.h"

#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <limits>

#include "policy/controller_harness.h"
#include "policy/load_estimator.h"

namespace beamshunt::test {
namespace {

constexpr double kTiny = 1e-310;
constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kNan = std::numeric_limits<double>::quiet_NaN();

const vector<ListedEndpoint> kFourEndpoints = {make_endpoint(11, 0), make_endpoint(12, 0),
                                               make_endpoint(21, 1), make_endpoint(22, 1)};

auto all_fast = [](const ListedEndpoint& endpoint) { return vector{make_report(endpoint, 20, 0, 100)}; };

// One proxy in the first locality, none in the second.
ControllerHarness running_harness() {
  ControllerHarness harness(two_locality_settings());
  harness.start(kFourEndpoints);
  harness.register_proxy(1, 0, 20);
  harness.run_periods(12, all_fast);
  return harness;
}

// Expects that after the event the controller decides as it does without the event, also for a proxy that
// registers later and in another group.
void expect_ignored(const Event& event, const std::string& description) {
  ControllerHarness harness = running_harness();
  ControllerHarness reference = running_harness();
  harness.handle({event});
  reference.handle({});
  for (ControllerHarness* each : {&harness, &reference}) {
    each->run_periods(8, all_fast);
    each->register_proxy(2, 1, 20);
    each->run_periods(8, all_fast);
  }
  for (unsigned proxy : {1, 2})
    for (unsigned request_class : {0, 1}) {
      EXPECT_FALSE(harness.table_weights(proxy, request_class).empty()) << description;
      EXPECT_EQ(harness.table_weights(proxy, request_class), reference.table_weights(proxy, request_class))
          << description;
      EXPECT_EQ(harness.admission_limit(proxy, request_class).limit,
                reference.admission_limit(proxy, request_class).limit)
          << description;
    }
}

// Guards against empty tables: an interval of 1e-310 ms made an attempt rate, then the mean slowdown and then
// all weights not-a-number, and a weight that is not a number is never published.
TEST(ReportValidation, EndpointReportWithAnImpossibleFigureIsIgnored) {
  const EndpointReport sound = make_report(kFourEndpoints[0], 12, 0, 240);
  auto expect_report_ignored = [&](const char* figure, double value,
                                   const std::function<void(EndpointReport&, double)>& set) {
    EndpointReport report = sound;
    set(report, value);
    EXPECT_FALSE(is_valid(report)) << figure << " " << value;
    expect_ignored(report, figure + (" " + std::to_string(value)));
  };
  for (double value : {kTiny, 5e-324, 1e-20, -1.0, 1e300, kInfinity, kNan})
    expect_report_ignored("interval", value, [](auto& report, double v) { report.interval = Duration(v); });
  for (double value : {kTiny, 1e-20, -1.0, 1e300, kInfinity, kNan})
    expect_report_ignored("latency", value,
                          [](auto& report, double v) { report.mean_latency = Duration(v); });
  for (double value : {-1.0, 1e300, kInfinity, kNan}) {
    expect_report_ignored("attempts", value, [](auto& report, double v) { report.attempts = v; });
    expect_report_ignored("failed", value, [](auto& report, double v) { report.failed = v; });
  }
  for (double value : {kInfinity, -kInfinity, kNan})
    expect_report_ignored("load", value, [](auto& report, double v) { report.load["utilization"] = v; });
  EXPECT_TRUE(is_valid(sound));
}

// The latency of one report of many attempts replaced the baseline latency of its endpoint, whatever it was.
TEST(ReportValidation, ReportOfManyAttemptsWithAnImpossibleLatencyIsIgnored) {
  expect_ignored(make_report(kFourEndpoints[0], 1e7, 0, kTiny), "latency of 1e7 attempts");
}

TEST(ReportValidation, DemandReportWithAnImpossibleFigureIsIgnored) {
  const DemandReport sound{ProxyId(1), ClassId(0), 20, 0, Duration(500)};
  for (double interval : {kTiny, 5e-324, -1.0, 1e300, kInfinity, kNan}) {
    DemandReport report = sound;
    report.interval = Duration(interval);
    expect_ignored(report, "interval " + std::to_string(interval));
  }
  for (double arrivals : {-1.0, 1e300, kInfinity, kNan}) {
    DemandReport report = sound;
    report.arrivals = arrivals;
    expect_ignored(report, "arrivals " + std::to_string(arrivals));
  }
  EXPECT_TRUE(is_valid(sound));
}

TEST(ReportValidation, HealthCheckWithAnImpossibleUtilizationLeavesTheUtilization) {
  Endpoint endpoint;
  LoadEstimator::apply_load_report({{"utilization", 0.5}}, endpoint);
  for (double utilization : {kInfinity, -kInfinity, kNan})
    LoadEstimator::apply_load_report({{"utilization", utilization}}, endpoint);
  EXPECT_EQ(endpoint.utilization, 0.5);
}

// The rates of proxies are summed, and one impossible rate would be the whole demand of its locality.
TEST(ReportValidation, ProxyWithAnImpossibleRateCountsAsOneWithAnUnknownRate) {
  for (double rate : {-1.0, 1e300, kInfinity, kNan}) {
    ControllerHarness harness = running_harness();
    ControllerHarness reference = running_harness();
    harness.register_proxy(2, 1, rate);
    reference.register_proxy(2, 1, 0);
    for (ControllerHarness* each : {&harness, &reference}) each->register_proxy(3, 1, 20);
    EXPECT_FALSE(harness.table_weights(3, 0).empty());
    EXPECT_EQ(harness.table_weights(3, 0), reference.table_weights(3, 0)) << rate;
  }
}

// A listed capacity is only a rough value, so an extreme one must not keep an endpoint out of the tables.
TEST(ReportValidation, EndpointsOfAnyListedCapacityAreInTheTables) {
  for (double capacity : {kTiny, 1e-20, 1e-12, 1e-9, 1e12, 1e300}) {
    vector<ListedEndpoint> entries = kFourEndpoints;
    for (ListedEndpoint& entry : entries) entry.capacity = capacity;
    ControllerHarness harness(two_locality_settings());
    harness.start(entries);
    harness.register_proxy(1, 0, 20);
    harness.run_periods(12, [](const ListedEndpoint& endpoint) {
      EndpointReport report = make_report(endpoint, 20, 0, 100);
      report.load["utilization"] = 0.5;
      return vector{report};
    });
    harness.register_proxy(2, 1, 20);
    for (unsigned proxy : {1, 2}) {
      EXPECT_FALSE(harness.table_weights(proxy, 0).empty()) << capacity;
      for (const auto& [id, weight] : harness.table_weights(proxy, 0))
        EXPECT_TRUE(std::isfinite(weight) && weight > 0) << capacity;
    }
  }
}

}  // namespace
}  // namespace beamshunt::test
