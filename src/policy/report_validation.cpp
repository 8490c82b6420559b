#include "policy/report_validation.h"

#include <algorithm>
#include <cmath>

namespace beamshunt {
namespace {

// The comparisons are false for not-a-number.
bool is_count(double value) { return value >= 0 && value <= kMaxReportedAttempts; }

bool is_zero_or_within(Duration value, Duration min, Duration max) {
  return value.count() == 0 || (value >= min && value <= max);
}

bool is_interval(Duration value) { return is_zero_or_within(value, kMinReportInterval, kMaxReportInterval); }

}  // namespace

bool is_valid(const EndpointReport& report) {
  return is_count(report.attempts) && is_count(report.failed) && is_interval(report.interval) &&
         is_zero_or_within(report.mean_latency, kMinReportedLatency, kMaxReportedLatency) &&
         std::ranges::all_of(report.load, [](const auto& metric) { return std::isfinite(metric.second); });
}

bool is_valid(const DemandReport& report) {
  return is_count(report.arrivals) && is_count(report.failed) && is_interval(report.interval);
}

bool is_known_rate(double expected_rate) { return expected_rate > 0 && expected_rate <= kMaxExpectedRate; }

double bounded_capacity(double listed_capacity) {
  if (listed_capacity == 0) return 0;
  return std::clamp(listed_capacity, kMinListedCapacity, kMaxListedCapacity);
}

}  // namespace beamshunt
