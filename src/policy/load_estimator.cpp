#include "policy/load_estimator.h"

#include <algorithm>
#include <cmath>

#include "policy/failure_thresholds.h"
#include "policy/smoothing.h"

namespace beamshunt {
namespace {

// Weight of one report period's sample: two periods make three quarters of a figure.
constexpr double kRateSmoothing = 0.5;
// Weight of one report's interval: the mean changes only with the fleet's size.
constexpr double kIntervalSmoothing = 0.02;
// Attempts that weigh as much in the latency as all known before: it follows a few dozen requests.
constexpr double kLatencyAttempts = 8;
// The same for the long-term latency: the lowest of a shorter mean would be noise, not a baseline.
constexpr double kLongTermAttempts = 100;
// Successful attempts before a baseline is taken: a few say little.
constexpr double kBaselineAttempts = 20;
// Part of the tightest latency objective that a baseline may be: a higher one was taken under overload, as by
// a controller that restarts in the middle of it.
constexpr double kBaselineLimit = 0.5;
// Report intervals without a finished attempt after which an endpoint's figures are stale.
constexpr int kStaleIntervals = 4;
// Report periods after which a load report is stale: across a network cut, the load from there fades while
// the utilization would stay, and the endpoint's capacity would seem to shrink.
constexpr int kStaleLoadPeriods = 8;
// Part of the counts of attempts that remains after one report period: outcomes of a few seconds count.
constexpr double kCountFading = 0.7;
// Least successful part of attempts that a slowdown is divided by: one endpoint can't look endlessly slow.
constexpr double kMinSuccessShareInSlowdown = 0.2;
// Part of the tightest latency objective that queueing takes at the threshold T: work then still succeeds.
constexpr double kThresholdPart = 0.3;
// Milliseconds: keeps the threshold finite for a baseline near zero.
constexpr double kMinBaseline = 1;
// Utilization below which a capacity can't be derived: the quotient would be noise.
constexpr double kMinUtilization = 0.1;
// Utilization at which an endpoint has no headroom: no core is left for the next request.
constexpr double kFullUtilization = 0.85;
// Weight of one step's sample of an endpoint's own capacity: the sample is noisy and late.
constexpr double kOwnCapacitySmoothing = 0.15;
// The same for all endpoints of one listed size together: their mean is less noisy.
constexpr double kCommonCapacitySmoothing = 0.5;
// Bounds of the relative capacity: a listed size is not wrong by more.
constexpr double kMinRelativeCapacity = 0.1;
constexpr double kMaxRelativeCapacity = 4;

}  // namespace

LoadEstimator::LoadEstimator(const Settings& settings) : settings_(settings) {
  for (const RequestClass& request_class : settings.classes) {
    tightest_objective_ = std::min(tightest_objective_, request_class.latency_objective);
  }
}

void LoadEstimator::apply(const EndpointReport& report, Endpoint& endpoint, Time now) {
  Path& path = endpoint.paths[report.source_locality];
  apply_load_report(report.load, endpoint);
  if (report.interval.count() <= 0) return;
  double succeeded = std::max(0.0, report.attempts - report.failed);
  double periods = report.interval / settings_.report_period;
  double seconds = report.interval / Duration(1000);
  double kept = std::pow(kCountFading, periods);
  smooth(mean_interval_, report.interval.count(), kIntervalSmoothing, mean_interval_ == 0);
  smooth(path.attempt_rate, report.attempts / seconds, 1 - std::pow(1 - kRateSmoothing, periods));
  path.succeeded = path.succeeded * kept + succeeded;
  path.failed = path.failed * kept + report.failed;
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
  if (endpoint.successes < kBaselineAttempts) return;
  double baseline = endpoint.baseline_latency;
  double limit = baseline > 0 ? baseline : kBaselineLimit * tightest_objective_.count();
  endpoint.baseline_latency = std::min(limit, endpoint.long_term_latency);
}

void LoadEstimator::apply_load_report(const LoadReport& report, Endpoint& endpoint) {
  auto utilization = report.find("utilization");
  if (utilization == report.end()) return;
  double sample = std::clamp(utilization->second, 0.0, 1.0);
  smooth(endpoint.utilization, sample, kRateSmoothing, endpoint.utilization < 0);
  endpoint.utilization_age = 0;
}

Duration LoadEstimator::report_interval() const {
  return std::max(settings_.report_period, Duration(mean_interval_));
}

void LoadEstimator::close_period(EndpointMap& endpoints, Time now) const {
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
    ++endpoint.utilization_age;
    if (endpoint.utilization_age > kStaleLoadPeriods) endpoint.utilization = -1;
    bool overloaded = slowdown(endpoint) > threshold(endpoint);
    endpoint.periods_over_threshold = overloaded ? endpoint.periods_over_threshold + 1 : 0;
  }
}

bool LoadEstimator::tells_capacity(const Endpoint& endpoint, const SlowStart& slow_start, Time now) const {
  if (!is_current(endpoint, now) || endpoint.utilization < kMinUtilization) return false;
  // The speed of an endpoint that is warming up will not last.
  return endpoint.success_rate > 0 && endpoint.listed.capacity > 0 && slow_start.factor(endpoint, now) >= 1;
}

double LoadEstimator::over_mean(double full_rate, double listed_capacity, const CapacitySample& fleet) {
  return std::clamp(full_rate / listed_capacity * fleet.listed_capacity / fleet.full_rate,
                    kMinRelativeCapacity, kMaxRelativeCapacity);
}

void LoadEstimator::learn_relative_capacity(EndpointMap& endpoints, const SlowStart& slow_start, Time now) {
  CapacitySample fleet;
  std::map<double, CapacitySample> by_size;
  for (auto& [id, endpoint] : endpoints) {
    if (!tells_capacity(endpoint, slow_start, now)) continue;
    for (CapacitySample* sample : {&fleet, &by_size[endpoint.listed.capacity]}) {
      sample->full_rate += endpoint.success_rate / endpoint.utilization;
      sample->listed_capacity += endpoint.listed.capacity;
    }
  }
  if (fleet.listed_capacity > 0 && slow_start.fleet_fail_share() <= kCommonFailShare) {
    smooth(rate_per_capacity_, fleet.full_rate / fleet.listed_capacity, kOwnCapacitySmoothing,
           rate_per_capacity_ == 0);
  }
  // Endpoints listed alike are alike wrongly listed: together they tell it sooner, and to new ones, too.
  for (auto& [size, sample] : by_size) {
    auto common = capacity_by_size_.try_emplace(size, 1).first;
    smooth(common->second, over_mean(sample.full_rate, sample.listed_capacity, fleet),
           kCommonCapacitySmoothing);
  }
  for (auto& [id, endpoint] : endpoints) {
    auto common = capacity_by_size_.find(endpoint.listed.capacity);
    if (common == capacity_by_size_.end()) continue;
    if (tells_capacity(endpoint, slow_start, now)) {
      double full_rate = endpoint.success_rate / endpoint.utilization;
      smooth(endpoint.own_capacity_factor,
             over_mean(full_rate, endpoint.listed.capacity, fleet) / common->second, kOwnCapacitySmoothing);
    }
    endpoint.relative_capacity =
        std::clamp(common->second * endpoint.own_capacity_factor, kMinRelativeCapacity, kMaxRelativeCapacity);
  }
}

bool LoadEstimator::is_current(const Endpoint& endpoint, Time now) const {
  return endpoint.available() && endpoint.baseline_latency > 0 &&
         now - endpoint.last_report < kStaleIntervals * report_interval();
}

double LoadEstimator::fail_share(const Endpoint& endpoint) {
  Path all = endpoint.all_paths();
  return all.attempts() >= kMinFailures ? all.failed / all.attempts() : 0;
}

double LoadEstimator::slowdown(const Endpoint& endpoint) {
  if (endpoint.baseline_latency <= 0) return 1;
  double success_share = std::max(kMinSuccessShareInSlowdown, 1 - fail_share(endpoint));
  return endpoint.latency / endpoint.baseline_latency / success_share;
}

double LoadEstimator::threshold(const Endpoint& endpoint) const {
  return 1 + kThresholdPart * tightest_objective_.count() / std::max(endpoint.baseline_latency, kMinBaseline);
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
    if (!is_current(endpoint, now)) continue;
    sums.fail_share += endpoint.attempt_rate * fail_share(endpoint);
    sums.slowdown += endpoint.attempt_rate * slowdown(endpoint);
    sums.threshold += endpoint.attempt_rate * threshold(endpoint);
    sums.headroom += endpoint.attempt_rate * headroom(endpoint);
    load += endpoint.attempt_rate;
  }
  if (load <= 0) return std::nullopt;
  return FleetAverages{.fail_share = sums.fail_share / load,
                       .slowdown = sums.slowdown / load,
                       .threshold = sums.threshold / load,
                       .headroom = sums.headroom / load};
}

}  // namespace beamshunt
