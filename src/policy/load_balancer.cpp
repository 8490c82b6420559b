#include "policy/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/outlier_detector.h"

namespace beamshunt {
namespace {

// Slowdowns this near to the mean (as a ratio, less 1) leave a weight alone: differences of service, not of
// load.
constexpr double kDeadBand = 0.25;
// Exponent of the weight step: a weight moves a third of the way that the slowdown asks for.
constexpr double kWeightGain = 0.3;
// Part of the adjustment's exponent that a step leaves: an adjustment without cause fades within seconds.
constexpr double kAdjustmentFading = 0.8;
// Bounds of the weight adjustment: an endpoint is not drained, nor flooded, for its slowdown alone.
constexpr double kMinAdjustment = 0.2;
constexpr double kMaxAdjustment = 2;
// Successful attempts since the last step at which a step counts half: a few say little.
constexpr double kConfidenceAttempts = 8;
// Least slowdown that is reckoned with: keeps the power finite.
constexpr double kMinSlowdown = 0.01;

}  // namespace

void adjust_weights(EndpointMap& endpoints, const LoadEstimator& estimator, Time now) {
  std::optional<FleetAverages> averages = estimator.averages(endpoints, now);
  double mean = averages ? averages->slowdown : 1;
  for (auto& [id, endpoint] : endpoints) {
    double relative_slowdown = 1;
    if (estimator.is_current(endpoint, now)) {
      relative_slowdown = std::max(LoadEstimator::slowdown(endpoint), kMinSlowdown) / mean;
    }
    double successes = std::exchange(endpoint.successes_since_adjustment, 0);
    double confidence = successes / (successes + kConfidenceAttempts);
    bool in_dead_band = relative_slowdown < 1 + kDeadBand && relative_slowdown > 1 / (1 + kDeadBand);
    if (in_dead_band) relative_slowdown = 1;
    double faded = std::pow(endpoint.weight_adjustment, kAdjustmentFading);
    double step = std::pow(relative_slowdown, -kWeightGain * confidence);
    endpoint.weight_adjustment = std::clamp(faded * step, kMinAdjustment, kMaxAdjustment);
  }
}

double effective_weight(const Endpoint& endpoint, Locality from, const FleetView& fleet) {
  double factor = 0;
  if (endpoint.available() && !is_ejected(endpoint, from)) {
    factor = fleet.slow_start.factor_under_overload(endpoint, fleet.now);
  }
  if (factor < 1 && fleet.slow_start.holds_back()) return 0;
  return endpoint.listed.capacity * endpoint.relative_capacity * factor;
}

double adjusted_weight(double weight, const Endpoint& endpoint, const FleetView& fleet) {
  bool warming_up = fleet.slow_start.factor(endpoint, fleet.now) < 1;
  return weight * (warming_up ? std::min(1.0, endpoint.weight_adjustment) : endpoint.weight_adjustment);
}

double due_load(const Endpoint& endpoint, const FleetView& fleet) {
  return endpoint.listed.capacity * endpoint.relative_capacity * endpoint.weight_adjustment *
         fleet.slow_start.factor_under_overload(endpoint, fleet.now);
}

}  // namespace beamshunt
