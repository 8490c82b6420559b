#include "policy/locality_spillover.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace beamshunt {
namespace {

// Utilization of a locality below which no load leaves it, because no requests queue there.
constexpr double kSpilloverUtilization = 0.7;
// Exponent of the step of a local share, which makes most of the correction for the utilization in one step.
constexpr double kSpilloverGain = 0.7;
// Minimum fraction of the load that stays local. With it, attempts at local endpoints continue, and no table
// contains only remote endpoints, which would be unreachable during a network partition.
constexpr double kMinLocalShare = 0.2;
// Lower bound for a utilization, which keeps the power finite.
constexpr double kMinUtilization = 0.01;
// Lower bound for divisors, which keeps quotients finite for a locality without load or capacity.
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
    if (endpoint.utilization < 0 && !estimator.has_current_load(endpoint, fleet.now)) continue;
    double available =
        endpoint.listed.capacity * endpoint.relative_capacity * fleet.slow_start.factor(endpoint, fleet.now);
    std::size_t locality = index_of(endpoint.listed.locality);
    utilization_[locality] += available * (1 - estimator.headroom(endpoint));
    capacity[locality] += available;
  }
  for (std::size_t locality = 0; locality < capacity.size(); ++locality) {
    utilization_[locality] = capacity[locality] > 0 ? utilization_[locality] / capacity[locality] : 1;
  }
  mean_utilization_ = std::accumulate(utilization_.begin(), utilization_.end(), 0.0) /
                      static_cast<double>(utilization_.size());
  for (std::size_t locality = 0; locality < utilization_.size(); ++locality) {
    double relative_to_fleet = std::max(utilization_[locality], kMinUtilization) /
                               std::max(mean_utilization_, kSpilloverUtilization);
    local_share_[locality] = std::clamp(local_share_[locality] * std::pow(relative_to_fleet, -kSpilloverGain),
                                        kMinLocalShare, 1.0);
  }
}

std::vector<double> LocalitySpillover::locality_factors(Locality own, const std::vector<double>& capacity,
                                                        const Demand& demand) const {
  std::size_t count = capacity.size();
  std::size_t own_index = index_of(own);
  std::vector<double> load(count, 0);
  double total_capacity = 0;
  double total_load = 0;
  for (std::size_t locality = 0; locality < count; ++locality) {
    load[locality] = settings_.local_proxies_only ? utilization_[locality] * capacity[locality]
                                                  : demand.locality_rate(locality);
    total_capacity += capacity[locality];
    total_load += load[locality];
  }
  double mean = total_capacity > 0 ? total_load / total_capacity : 0;
  std::vector<double> factors(count, 1);
  if (capacity[own_index] <= 0) return factors;  // no local capacity: equal factors for all localities

  double spillable = demand.spillable_rate(own_index);
  double excess = std::clamp(load[own_index] - capacity[own_index] * mean, 0.0, spillable);
  // A fraction of the load stays local if there are local endpoints: a network partition would leave a table
  // of remote endpoints without any reachable endpoint.
  double min_local_share =
      std::min(kMinLocalShare, capacity[own_index] * mean / std::max(load[own_index], kEpsilon));
  double local_share = settings_.local_proxies_only
                           ? local_share_[own_index]
                           : std::max(min_local_share, 1 - excess / std::max(spillable, kEpsilon));
  auto spare_rate = [&](std::size_t locality) {
    return std::max(0.0, capacity[locality] * mean - load[locality]);
  };
  double total_spare_rate = 0;
  for (std::size_t locality = 0; locality < count; ++locality) {
    if (locality != own_index) total_spare_rate += spare_rate(locality);
  }
  factors.assign(count, 0);
  factors[own_index] = 1;
  if (local_share >= 1 || total_spare_rate <= 0) return factors;
  factors[own_index] = local_share;
  for (std::size_t locality = 0; locality < count; ++locality) {
    if (locality == own_index) continue;
    double remote_share = (1 - local_share) * spare_rate(locality) / total_spare_rate;
    factors[locality] = remote_share / std::max(capacity[locality], kEpsilon) * capacity[own_index];
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
  // Rule 1: an ejected or warming endpoint is better than an empty table.
  for (const auto& [id, endpoint] : fleet.endpoints) {
    if (!endpoint.available() || (local_only && endpoint.listed.locality != own)) continue;
    weights[id] = endpoint.listed.capacity * fleet.slow_start.factor(endpoint, fleet.now);
  }
  return weights;
}

}  // namespace beamshunt
