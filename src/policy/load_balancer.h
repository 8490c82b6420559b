// Load balancing: the weight of an endpoint.
//
// Questions: how strongly should an endpoint be used by a locality's proxies? How is its weight corrected?
// Inputs: listed and relative capacity, slow-start factor, ejections, slowdown against the fleet's mean
// (ratio).
// Rules: effective weight = listed capacity x relative capacity x slow-start factor, 0 if not available or
// ejected. Each step, the weight adjustment falls for endpoints slower than the mean and rises for faster
// ones, outside a dead band, and fades towards 1.
// Reason: BFAIR balances by slowdown. A step counts by the successful attempts newly reported: taken for new
// each second, the noise of a few attempts made weights wander. An adjustment that did not fade would drain
// an endpoint for good whose baseline chance had set low.
// It never removes an endpoint for its slowness; ejection is outlier_detector's.
#pragma once

#include "policy/fleet_state.h"
#include "policy/load_estimator.h"
#include "policy/slow_start.h"

namespace beamshunt {

// What weights are computed from, at one moment. Holds references: for use within one reply.
struct FleetView {
  const EndpointMap& endpoints;
  const SlowStart& slow_start;
  Time now;
};

// The weight step, once a second: changes the weight adjustments.
void adjust_weights(EndpointMap& endpoints, const LoadEstimator& estimator, Time now);

// The capacity that an endpoint has for the proxies of locality `from`; 0: not to be used.
[[nodiscard]] double effective_weight(const Endpoint& endpoint, Locality from, const FleetView& fleet);

// `weight` with the endpoint's adjustment; one that is warming up gets no more than its guaranteed capacity.
[[nodiscard]] double adjusted_weight(double weight, const Endpoint& endpoint, const FleetView& fleet);

// The part of its locality's load that an endpoint should get from all tables together, relative to others.
[[nodiscard]] double due_load(const Endpoint& endpoint, const FleetView& fleet);

}  // namespace beamshunt
