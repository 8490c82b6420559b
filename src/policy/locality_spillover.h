// Locality spillover: the load that leaves a locality and its destinations.
//
// Question: Which weights do all endpoints have for the proxies of one locality?
// Inputs: effective weights; the admitted demand of the localities (requests per second) or their utilization
// (fraction of capacity).
// Rules: Proxies use the endpoints of their own locality. The load of a locality above the mean of the fleet
// spills over to the localities below the mean, in proportion to their spare capacity. Only classes that may
// leave the locality spill over.
// Reasons: A response from a remote locality takes longer and crosses network links that may fail, so load
// leaves only when necessary. Where other controllers serve the proxies of other localities
// (Settings::local_proxies_only), the demand of those proxies is unknown. In that case the local share
// decreases step by step while the utilization of the locality is above the mean and high enough to cause
// queueing, and otherwise increases.
// Never: Spillover never sends a local-only class to another locality.
#pragma once

#include <vector>

#include "policy/demand.h"
#include "policy/fleet_state.h"
#include "policy/load_balancer.h"
#include "policy/load_estimator.h"
#include "policy/settings.h"

namespace beamshunt {

class LocalitySpillover {
 public:
  // `settings` must outlive this object.
  explicit LocalitySpillover(const Settings& settings);

  // Updates the utilization of each locality from the load of its endpoints, and the local shares. Must be
  // called once per second.
  void step(const LoadEstimator& estimator, const FleetView& fleet);

  // Returns the mean utilization of the localities; 1 before the first step.
  [[nodiscard]] double mean_utilization() const { return mean_utilization_; }

  // Returns the weights for the proxies of locality `own`. If `local_only` is true, the weights are for
  // classes that must not leave the locality. The result is empty only if no endpoint that the proxies may
  // use is available.
  [[nodiscard]] EndpointWeights weights(Locality own, bool local_only, const Demand& demand,
                                        const FleetView& fleet) const;

 private:
  // Returns the factor for the effective weight of an endpoint, indexed by the locality of the endpoint.
  [[nodiscard]] std::vector<double> locality_factors(Locality own, const std::vector<double>& capacity,
                                                     const Demand& demand) const;

  const Settings& settings_;
  std::vector<double> utilization_;  // fraction of capacity in use, by locality
  std::vector<double> local_share_;  // fraction of its load that a locality keeps, by locality
  double mean_utilization_ = 1;
};

}  // namespace beamshunt
