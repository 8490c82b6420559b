// Locality spillover: what leaves a locality, and to where.
//
// Question: which weights do all endpoints have for the proxies of one locality?
// Inputs: effective weights, the localities' admitted demand (requests a second) or utilization (part of
// capacity).
// Rule: proxies use their own locality's endpoints. The part of its load over the fleet's mean goes to the
// localities under the mean, in proportion to their spare capacity, and all of it from classes that may
// leave.
// Reason: an answer from far away takes longer and crosses links that may fail, so load leaves only when
// needed. Where other controllers serve other localities' proxies (Settings::local_proxies_only), their
// demand is not known; the local share then falls step by step while the locality is fuller than the mean and
// full enough to queue, and else rises.
// It never sends a local-only class to another locality.
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
  // `settings` must outlive it.
  explicit LocalitySpillover(const Settings& settings);

  // Once a second: utilization of localities by their endpoints' own reports, and the local shares.
  void step(const LoadEstimator& estimator, const FleetView& fleet);

  // The mean of the localities' utilization; 1 before the first step.
  [[nodiscard]] double mean_utilization() const { return mean_utilization_; }

  // The weights for the proxies of `own`; `local_only`: for classes that may not leave it. Empty only if no
  // endpoint that they may use is available.
  [[nodiscard]] EndpointWeights weights(Locality own, bool local_only, const Demand& demand,
                                        const FleetView& fleet) const;

 private:
  // What an endpoint's effective weight is multiplied by, by its locality.
  [[nodiscard]] std::vector<double> locality_factors(Locality own, const std::vector<double>& capacity,
                                                     const Demand& demand) const;

  const Settings& settings_;
  std::vector<double> utilization_;  // by locality, part of capacity
  std::vector<double> local_share_;  // by locality, the part of its load that it keeps
  double mean_utilization_ = 1;
};

}  // namespace beamshunt
