#include "policy/locality_spillover.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace beamshunt {
namespace {

// Utilization of the locality below which nothing leaves it: nothing queues there.
constexpr double kSpilloverUtilization = 0.7;
// Exponent of the step of a local share: most of the way that the utilization asks for.
constexpr double kSpilloverGain = 0.7;
// Part of the load that stays, at least: local endpoints go on being tried, and a network cut would otherwise
// leave tables that name remote endpoints only.
constexpr double kMinLocalShare = 0.2;
// Least utilization that is reckoned with: keeps the power finite.
constexpr double kMinUtilization = 0.01;
// Keeps quotients finite where a locality has no load or no capacity.
constexpr double kEpsilon = 1e-9;

}  // namespace

LocalitySpillover::LocalitySpillover(const Settings& settings)
    : settings_(settings),
      utilization_(settings.localities.size(), 1),
      local_share_(settings.localities.size(), 1) {}

void LocalitySpillover::step(const LoadEstimator& estimator, const FleetView& fleet) {
  std::vector<double> capacity(settings_.localities.size(), 0);
  utilization_.assign(capacity.size(), 0);
  for (const auto& [id, endpoint] : fleet.endpoints) {
    if (!endpoint.available()) continue;
    if (endpoint.utilization < 0 && !estimator.is_current(endpoint, fleet.now)) continue;
    double available =
        endpoint.listed.capacity * endpoint.relative_capacity * fleet.slow_start.factor(endpoint, fleet.now);
    std::size_t locality = index_of(endpoint.listed.locality);
    utilization_[locality] += available * (1 - estimator.headroom(endpoint));
    capacity[locality] += available;
  }
  for (std::size_t z = 0; z < capacity.size(); ++z) {
    utilization_[z] = capacity[z] > 0 ? utilization_[z] / capacity[z] : 1;
  }
  mean_utilization_ = std::accumulate(utilization_.begin(), utilization_.end(), 0.0) /
                      static_cast<double>(utilization_.size());
  for (std::size_t z = 0; z < utilization_.size(); ++z) {
    double over_mean =
        std::max(utilization_[z], kMinUtilization) / std::max(mean_utilization_, kSpilloverUtilization);
    local_share_[z] = std::clamp(local_share_[z] * std::pow(over_mean, -kSpilloverGain), kMinLocalShare, 1.0);
  }
}

std::vector<double> LocalitySpillover::locality_factors(Locality own, const std::vector<double>& capacity,
                                                        const Demand& demand) const {
  std::size_t count = capacity.size();
  std::size_t here = index_of(own);
  std::vector<double> load(count, 0);
  double total_capacity = 0;
  double total_load = 0;
  for (std::size_t z = 0; z < count; ++z) {
    load[z] = settings_.local_proxies_only ? utilization_[z] * capacity[z] : demand.of_locality(z);
    total_capacity += capacity[z];
    total_load += load[z];
  }
  double mean = total_capacity > 0 ? total_load / total_capacity : 0;
  std::vector<double> factors(count, 1);
  if (capacity[here] <= 0) return factors;  // all other localities alike

  double movable = demand.that_may_leave(here);
  double excess = std::clamp(load[here] - capacity[here] * mean, 0.0, movable);
  // Some stays where there are endpoints for it: a cut would leave a table bare that is all remote.
  double least = std::min(kMinLocalShare, capacity[here] * mean / std::max(load[here], kEpsilon));
  double local_share = settings_.local_proxies_only
                           ? local_share_[here]
                           : std::max(least, 1 - excess / std::max(movable, kEpsilon));
  auto spare = [&](std::size_t z) { return std::max(0.0, capacity[z] * mean - load[z]); };
  double total_spare = 0;
  for (std::size_t z = 0; z < count; ++z) {
    if (z != here) total_spare += spare(z);
  }
  factors.assign(count, 0);
  factors[here] = 1;
  if (local_share >= 1 || total_spare <= 0) return factors;
  factors[here] = local_share;
  for (std::size_t z = 0; z < count; ++z) {
    if (z == here) continue;
    double share_of_spare = (1 - local_share) * spare(z) / total_spare;
    factors[z] = share_of_spare / std::max(capacity[z], kEpsilon) * capacity[here];
  }
  return factors;
}

EndpointWeights LocalitySpillover::weights(Locality own, bool local_only, const Demand& demand,
                                           const FleetView& fleet) const {
  std::vector<double> capacity(settings_.localities.size(), 0);
  for (const auto& [id, endpoint] : fleet.endpoints) {
    capacity[index_of(endpoint.listed.locality)] += effective_weight(endpoint, own, fleet);
  }
  std::vector<double> factors(capacity.size(), 0);
  if (local_only) factors[index_of(own)] = 1;
  else factors = locality_factors(own, capacity, demand);

  EndpointWeights weights;
  for (const auto& [id, endpoint] : fleet.endpoints) {
    double weight = effective_weight(endpoint, own, fleet) * factors[index_of(endpoint.listed.locality)];
    if (weight > 0) weights[id] = adjusted_weight(weight, endpoint, fleet);
  }
  if (!weights.empty()) return weights;
  // Rule 1: rather a suspect or warming endpoint than none.
  for (const auto& [id, endpoint] : fleet.endpoints) {
    if (!endpoint.available() || (local_only && endpoint.listed.locality != own)) continue;
    weights[id] = endpoint.listed.capacity * fleet.slow_start.factor(endpoint, fleet.now);
  }
  return weights;
}

}  // namespace beamshunt
