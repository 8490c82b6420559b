#include "policy/load_estimator.h"

#include <algorithm>
#include <cmath>

#include "policy/failure_thresholds.h"
#include "policy/smoothing.h"

namespace beamshunt {
namespace {

// Weight of the sample of one report period: two periods contribute three quarters of an estimate.
constexpr double kRateSmoothing = 0.5;
// Weight of the interval of one report; the mean interval changes only with the size of the fleet.
constexpr double kIntervalSmoothing = 0.02;
// Number of attempts with a total weight equal to that of all earlier attempts; the latency follows a few
// dozen requests.
constexpr double kLatencyAttempts = 8;
// As kLatencyAttempts, for the long-term latency. The minimum of a shorter mean would be noise and not a
// baseline.
constexpr double kLongTermAttempts = 100;
// Successful attempts before a baseline is set; fewer attempts are not significant.
constexpr double kMinBaselineAttempts = 20;
// Maximum of the first baseline, as a fraction of the shortest latency objective. A higher value was measured
// under overload, as by a controller that restarts during one.
constexpr double kMaxInitialBaseline = 0.5;
// Report intervals without a finished attempt after which the estimates of an endpoint are stale.
constexpr int kStaleIntervals = 4;
// Report periods after which a load report is stale. Across a network partition, the reported load decays
// while the utilization would stay, and the capacity of the endpoint would appear to decrease.
constexpr int kStaleLoadPeriods = 8;
// Fraction of the attempt counts that remains after one report period; the counts cover the outcomes of a few
// seconds.
constexpr double kCountRetention = 0.7;
// Lower bound for the ratio of successful attempts in a slowdown, which bounds the slowdown of one endpoint.
constexpr double kMinSuccessRatioInSlowdown = 0.2;
// Queueing time at the threshold T, as a fraction of the shortest latency objective; requests still succeed
// then.
constexpr double kThresholdQueueing = 0.3;
// Lower bound in ms for the baseline in a threshold, which keeps the threshold finite for a baseline near 0.
constexpr double kMinBaselineMs = 1;
// Utilization below which no capacity is derived, because the quotient would be noise.
constexpr double kMinUtilization = 0.1;
// Utilization at which an endpoint has no headroom, because no core is free for the next request.
constexpr double kFullUtilization = 0.85;
// Weight of one step's sample of the capacity of one endpoint; the sample is noisy and delayed.
constexpr double kEndpointCapacitySmoothing = 0.15;
// Weight of one step's sample of the mean capacity of all endpoints of one listed capacity; the mean is less
// noisy.
constexpr double kSharedCapacitySmoothing = 0.5;
// Bounds of the relative capacity; a listed capacity has no larger error.
constexpr double kMinRelativeCapacity = 0.1;
constexpr double kMaxRelativeCapacity = 4;

}  // namespace

LoadEstimator::LoadEstimator(const Settings& settings) : settings_(settings) {
  for (const RequestClass& request_class : settings.classes) {
    min_latency_objective_ = std::min(min_latency_objective_, request_class.latency_objective);
  }
}

void LoadEstimator::apply(const EndpointReport& report, Endpoint& endpoint, Time now) {
  Path& path = endpoint.paths[report.source_locality];
  apply_load_report(report.load, endpoint);
  if (report.interval.count() <= 0) return;
  double succeeded = std::max(0.0, report.attempts - report.failed);
  double periods = report.interval / settings_.report_period;
  double seconds = report.interval / Duration(1000);
  double retained = std::pow(kCountRetention, periods);
  smooth(mean_report_interval_ms_, report.interval.count(), kIntervalSmoothing,
         mean_report_interval_ms_ == 0);
  smooth(path.attempt_rate, report.attempts / seconds, 1 - std::pow(1 - kRateSmoothing, periods));
  path.succeeded = path.succeeded * retained + succeeded;
  path.failed = path.failed * retained + report.failed;
  path.failed_since_success = succeeded > 0 ? 0 : path.failed_since_success + report.failed;
  path.last_report = now;
  endpoint.last_report = now;

  double latency = report.mean_latency.count();
  if (succeeded <= 0 || latency <= 0) return;
  path.last_success = now;
  bool first = endpoint.successes == 0;
  smooth(endpoint.latency, latency, succeeded / (succeeded + kLatencyAttempts), first);
  smooth(endpoint.long_term_latency, latency, succeeded / (succeeded + kLongTermAttempts), first);
  endpoint.successes += succeeded;
  endpoint.successes_since_adjustment += succeeded;
  if (endpoint.successes < kMinBaselineAttempts) return;
  double baseline = endpoint.baseline_latency;
  double limit = baseline > 0 ? baseline : kMaxInitialBaseline * min_latency_objective_.count();
  endpoint.baseline_latency = std::min(limit, endpoint.long_term_latency);
}

void LoadEstimator::apply_load_report(const LoadReport& report, Endpoint& endpoint) {
  auto utilization = report.find("utilization");
  if (utilization == report.end() || !std::isfinite(utilization->second)) return;
  double sample = std::clamp(utilization->second, 0.0, 1.0);
  smooth(endpoint.utilization, sample, kRateSmoothing, endpoint.utilization < 0);
  endpoint.periods_since_load_report = 0;
}

Duration LoadEstimator::report_interval() const {
  return std::max(settings_.report_period, Duration(mean_report_interval_ms_));
}

void LoadEstimator::end_period(EndpointMap& endpoints, Time now) const {
  for (auto& [id, endpoint] : endpoints) {
    endpoint.attempt_rate = 0;
    endpoint.success_rate = 0;
    for (auto& [locality, path] : endpoint.paths) {
      if (now - path.last_report > kStaleIntervals * report_interval()) {
        path.attempt_rate = 0;
        path.succeeded = 0;
        path.failed = 0;
        path.failed_since_success = 0;
      }
      if (path.attempt_rate <= 0) continue;
      endpoint.attempt_rate += path.attempt_rate;
      endpoint.success_rate += path.attempt_rate * path.succeeded / path.attempts();
    }
    ++endpoint.periods_since_load_report;
    if (endpoint.periods_since_load_report > kStaleLoadPeriods) endpoint.utilization = -1;
    bool overloaded = slowdown(endpoint) > threshold(endpoint);
    endpoint.periods_over_threshold = overloaded ? endpoint.periods_over_threshold + 1 : 0;
  }
}

bool LoadEstimator::has_capacity_sample(const Endpoint& endpoint, const SlowStart& slow_start,
                                        Time now) const {
  if (!has_current_load(endpoint, now) || endpoint.utilization < kMinUtilization) return false;
  // The speed of a warming endpoint is temporary.
  return endpoint.success_rate > 0 && endpoint.listed.capacity > 0 && slow_start.factor(endpoint, now) >= 1;
}

double LoadEstimator::relative_to_fleet(double full_utilization_rate, double listed_capacity,
                                        const CapacitySample& fleet) {
  return std::clamp(
      full_utilization_rate / listed_capacity * fleet.listed_capacity / fleet.full_utilization_rate,
      kMinRelativeCapacity, kMaxRelativeCapacity);
}

void LoadEstimator::learn_relative_capacity(EndpointMap& endpoints, const SlowStart& slow_start, Time now) {
  CapacitySample fleet;
  std::map<double, CapacitySample> by_size;
  for (auto& [id, endpoint] : endpoints) {
    if (!has_capacity_sample(endpoint, slow_start, now)) continue;
    for (CapacitySample* sample : {&fleet, &by_size[endpoint.listed.capacity]}) {
      sample->full_utilization_rate += endpoint.success_rate / endpoint.utilization;
      sample->listed_capacity += endpoint.listed.capacity;
    }
  }
  if (fleet.listed_capacity > 0 && slow_start.fleet_failure_ratio() <= kCommonFailureRatio) {
    smooth(rate_per_capacity_, fleet.full_utilization_rate / fleet.listed_capacity,
           kEndpointCapacitySmoothing, rate_per_capacity_ == 0);
  }
  // The listed capacities of endpoints of equal listed capacity have similar errors. Their common mean shows
  // the error sooner, and it also applies to new endpoints.
  for (auto& [size, sample] : by_size) {
    auto shared = relative_capacities_.try_emplace(size, 1).first;
    smooth(shared->second, relative_to_fleet(sample.full_utilization_rate, sample.listed_capacity, fleet),
           kSharedCapacitySmoothing);
  }
  for (auto& [id, endpoint] : endpoints) {
    auto shared = relative_capacities_.find(endpoint.listed.capacity);
    if (shared == relative_capacities_.end()) continue;
    if (has_capacity_sample(endpoint, slow_start, now)) {
      double full_utilization_rate = endpoint.success_rate / endpoint.utilization;
      smooth(endpoint.endpoint_capacity_factor,
             relative_to_fleet(full_utilization_rate, endpoint.listed.capacity, fleet) / shared->second,
             kEndpointCapacitySmoothing);
    }
    endpoint.relative_capacity = std::clamp(shared->second * endpoint.endpoint_capacity_factor,
                                            kMinRelativeCapacity, kMaxRelativeCapacity);
  }
}

bool LoadEstimator::has_current_load(const Endpoint& endpoint, Time now) const {
  return endpoint.available() && endpoint.baseline_latency > 0 &&
         now - endpoint.last_report < kStaleIntervals * report_interval();
}

double LoadEstimator::failure_ratio(const Endpoint& endpoint) {
  Path all = endpoint.path_totals();
  return all.attempts() >= kMinFailures ? all.failed / all.attempts() : 0;
}

double LoadEstimator::slowdown(const Endpoint& endpoint) {
  if (endpoint.baseline_latency <= 0) return 1;
  double success_ratio = std::max(kMinSuccessRatioInSlowdown, 1 - failure_ratio(endpoint));
  return endpoint.latency / endpoint.baseline_latency / success_ratio;
}

double LoadEstimator::threshold(const Endpoint& endpoint) const {
  return 1 + kThresholdQueueing * min_latency_objective_.count() /
                 std::max(endpoint.baseline_latency, kMinBaselineMs);
}

double LoadEstimator::headroom(const Endpoint& endpoint) const {
  double used = endpoint.utilization >= 0 ? endpoint.utilization / kFullUtilization
                                          : (slowdown(endpoint) - 1) / (threshold(endpoint) - 1);
  return std::clamp(1 - used, 0.0, 1.0);
}

std::optional<FleetAverages> LoadEstimator::averages(const EndpointMap& endpoints, Time now) const {
  FleetAverages sums;
  double load = 0;
  for (const auto& [id, endpoint] : endpoints) {
    if (!has_current_load(endpoint, now)) continue;
    sums.failure_ratio += endpoint.attempt_rate * failure_ratio(endpoint);
    sums.slowdown += endpoint.attempt_rate * slowdown(endpoint);
    sums.threshold += endpoint.attempt_rate * threshold(endpoint);
    sums.headroom += endpoint.attempt_rate * headroom(endpoint);
    load += endpoint.attempt_rate;
  }
  if (load <= 0) return std::nullopt;
  return FleetAverages{.failure_ratio = sums.failure_ratio / load,
                       .slowdown = sums.slowdown / load,
                       .threshold = sums.threshold / load,
                       .headroom = sums.headroom / load};
}

}  // namespace beamshunt
