#include "policy/load_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/outlier_detector.h"

namespace beamshunt {
namespace {

// Relative distance of a slowdown from the mean within which a weight does not change, because such
// differences come from service times and not from load.
constexpr double kDeadBand = 0.25;
// Exponent of the weight step: a weight changes by about a third of the correction for its slowdown.
constexpr double kWeightGain = 0.3;
// Fraction of the adjustment's exponent that remains after a step, so that an adjustment without cause decays
// within seconds.
constexpr double kAdjustmentRetention = 0.8;
// Bounds of the weight adjustment, so that slowdown alone neither removes all load from an endpoint nor
// overloads it.
constexpr double kMinAdjustment = 0.2;
constexpr double kMaxAdjustment = 2;
// Successful attempts since the last step at which a step has half of its full effect; fewer attempts are
// less significant.
constexpr double kConfidenceAttempts = 8;
// Lower bound for a slowdown, which keeps the power finite.
constexpr double kMinSlowdown = 0.01;

}  // namespace

void adjust_weights(EndpointMap& endpoints, const LoadEstimator& estimator, Time now) {
  std::optional<FleetAverages> averages = estimator.averages(endpoints, now);
  double mean = averages ? averages->slowdown : 1;
  for (auto& [id, endpoint] : endpoints) {
    double relative_slowdown = 1;
    if (estimator.has_current_load(endpoint, now)) {
      relative_slowdown = std::max(LoadEstimator::slowdown(endpoint), kMinSlowdown) / mean;
    }
    double successes = std::exchange(endpoint.successes_since_adjustment, 0);
    double confidence = successes / (successes + kConfidenceAttempts);
    bool in_dead_band = relative_slowdown < 1 + kDeadBand && relative_slowdown > 1 / (1 + kDeadBand);
    if (in_dead_band) relative_slowdown = 1;
    double decayed = std::pow(endpoint.weight_adjustment, kAdjustmentRetention);
    double step = std::pow(relative_slowdown, -kWeightGain * confidence);
    endpoint.weight_adjustment = std::clamp(decayed * step, kMinAdjustment, kMaxAdjustment);
  }
}

double effective_weight(const Endpoint& endpoint, Locality from, const FleetView& fleet) {
  double factor = 0;
  if (endpoint.available() && !is_ejected(endpoint, from)) {
    factor = fleet.slow_start.factor_under_overload(endpoint, fleet.now);
  }
  if (factor < 1 && fleet.slow_start.withholds_traffic()) return 0;
  return endpoint.listed.capacity * endpoint.relative_capacity * factor;
}

double adjusted_weight(double weight, const Endpoint& endpoint, const FleetView& fleet) {
  bool warming_up = fleet.slow_start.factor(endpoint, fleet.now) < 1;
  return weight * (warming_up ? std::min(1.0, endpoint.weight_adjustment) : endpoint.weight_adjustment);
}

double target_load(const Endpoint& endpoint, const FleetView& fleet) {
  return endpoint.listed.capacity * endpoint.relative_capacity * endpoint.weight_adjustment *
         fleet.slow_start.factor_under_overload(endpoint, fleet.now);
}

}  // namespace beamshunt
