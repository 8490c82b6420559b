// Load balancing: the weight of an endpoint.
//
// Questions: How much traffic should the proxies of a locality send to an endpoint? How is its weight
// corrected?
// Inputs: listed and relative capacity, slow-start factor, ejections, and slowdown relative to the mean of
// the fleet (a ratio).
// Rules: The effective weight is listed capacity x relative capacity x slow-start factor, and 0 for an
// endpoint that is not available or is ejected. Each step, the weight adjustment decreases for endpoints that
// are slower than the mean and increases for faster endpoints, except within a dead band, and decays towards
// 1.
// Reasons: BFAIR balances by slowdown. A step is scaled by the number of successful attempts reported since
// the previous step: when each second counted fully, the noise of a few attempts made the weights drift.
// Without the decay, an endpoint whose baseline latency is too low by chance would lose its traffic
// permanently.
// Never: The load balancer never removes an endpoint because it is slow; outlier_detector ejects endpoints.
#pragma once

#include "policy/fleet_state.h"
#include "policy/load_estimator.h"
#include "policy/slow_start.h"

namespace beamshunt {

// The inputs of weight computations at one time. The references must stay valid while the view is used, so a
// view is used within one batch only.
struct FleetView {
  const EndpointMap& endpoints;
  const SlowStart& slow_start;
  Time now;
};

// Performs the weight step, which updates the weight adjustments. Must be called once per second.
void adjust_weights(EndpointMap& endpoints, const LoadEstimator& estimator, Time now);

// Returns the capacity of the endpoint for the proxies of locality `from`; 0 if they must not use the
// endpoint.
[[nodiscard]] double effective_weight(const Endpoint& endpoint, Locality from, const FleetView& fleet);

// Returns `weight` multiplied by the endpoint's weight adjustment. While the endpoint is warming up, an
// adjustment above 1 has no effect, because the endpoint must not get more than its guaranteed capacity.
[[nodiscard]] double adjusted_weight(double weight, const Endpoint& endpoint, const FleetView& fleet);

// Returns the load that the endpoint should get from all tables together, relative to other endpoints of its
// locality.
[[nodiscard]] double target_load(const Endpoint& endpoint, const FleetView& fleet);

}  // namespace beamshunt
