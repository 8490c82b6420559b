#include "policy/subsetter.h"

#include <algorithm>
#include <cmath>

#include "policy/id_hash.h"

namespace beamshunt {
namespace {

// Maximum ratio of two expected rates within one band, so that a shared limit suits all proxies of the band.
constexpr double kBandRatio = 4;
// Minimum number of entries in a table, however rarely its proxies send, because some endpoints may fail.
constexpr double kMinTableEntries = 8;
// Number of subsetting rounds, which is also the number of tables of a band that contain one endpoint. With
// two rounds the subsets overlap, and the entries of one table can balance the load of the proxies that use
// another table.
constexpr int kSubsettingRounds = 2;
// Passes that balance shared endpoints; further passes change little.
constexpr int kBalancingPasses = 3;

// Orders the endpoints of each locality by a hash of their ids.
ShuffledOrder shuffle_by_hash(const EndpointWeights& weights, const EndpointMap& endpoints,
                              std::uint32_t multiplier) {
  ShuffledOrder order;
  for (const auto& [id, weight] : weights) {
    order[endpoints.at(id).listed.locality].emplace_back(std::uint32_t(id) * multiplier, id);
  }
  for (auto& [locality, ids] : order) std::sort(ids.begin(), ids.end());
  return order;
}

// Returns the weights of subset `index` (from 0) when each locality's order is cut into `count` equal
// subsets.
EndpointWeights subset_weights(const ShuffledOrder& order, const EndpointWeights& weights, std::size_t index,
                               std::size_t count) {
  EndpointWeights subset;
  for (const auto& [locality, ids] : order) {
    std::size_t first = (index * ids.size() + count - 1) / count;
    for (std::size_t k = first; k * count < (index + 1) * ids.size(); ++k) {
      subset[ids[k].second] = weights.at(ids[k].second);
    }
  }
  return subset;
}

}  // namespace

int rate_band(double expected_rate) {
  return static_cast<int>(std::floor(std::log(expected_rate) / std::log(kBandRatio)));
}

int Subsetter::subset_count_for_band(const ProxyGroupKey& key, const EndpointMap& endpoints) const {
  // Number of endpoints to which a proxy with the middle rate of the band sends within the idle timeout of a
  // connection.
  double open_connections =
      std::pow(kBandRatio, key.rate_band + 0.5) * (settings_.connection_idle_timeout / Duration(1000));
  double max_entries_by_queue =
      settings_.max_queued_lines / std::max(1, settings_.proxy_count) - settings_.message_overhead_lines;
  double all = 0;
  double local = 0;
  for (const auto& [id, endpoint] : endpoints) {
    if (!endpoint.available()) continue;
    all += 1;
    if (endpoint.listed.locality == key.locality) local += 1;
  }
  // A locality that lost its endpoints uses remote endpoints, so the count of all endpoints applies.
  double max_subsets = (local < kMinTableEntries ? all : local) / kMinTableEntries;
  return static_cast<int>(
      std::min(all / std::max(1.0, std::min(open_connections, max_entries_by_queue)), max_subsets));
}

ProxyGroup& Subsetter::assign_subset(Proxy& proxy, ProxyGroupMap& groups, const EndpointMap& endpoints) {
  const ProxyGroupKey& key = proxy.group;
  ProxyGroup& first_group = groups[{key.locality, key.rate_band, 0}];
  if (first_group.tables.empty()) {
    int subsets = subset_count_for_band(key, endpoints);
    if (subsets > 1) first_group.subset_count = kSubsettingRounds * subsets;
  }
  auto& rates = subset_rates_[{key.locality, key.rate_band}];
  for (int subset = static_cast<int>(rates.size()); subset < first_group.subset_count; ++subset) {
    groups[{key.locality, key.rate_band, subset}].subset_count = first_group.subset_count;
    rates.emplace(0, subset);
  }
  proxy.group.subset = rates.begin()->second;
  return groups[proxy.group];
}

void Subsetter::add_expected_rate(const ProxyGroupKey& key, ProxyGroup& group, double rate) {
  auto& rates = subset_rates_[{key.locality, key.rate_band}];
  rates.erase({group.expected_rate, key.subset});
  group.expected_rate += rate;
  rates.emplace(group.expected_rate, key.subset);
}

const LocalityWeights* Subsetter::find_locality_weights(Locality own, bool local_only) const {
  auto found = locality_weights_.find({own, local_only});
  return found == locality_weights_.end() ? nullptr : &found->second;
}

const LocalityWeights& Subsetter::store_locality_weights(Locality own, bool local_only,
                                                         EndpointWeights weights,
                                                         const EndpointMap& endpoints) {
  LocalityWeights& stored = locality_weights_[{own, local_only}];
  stored.weights = std::move(weights);
  stored.rounds.clear();
  for (std::uint32_t round = 0; round < kSubsettingRounds; ++round) {
    stored.rounds.push_back(shuffle_by_hash(stored.weights, endpoints, kHashMultiplier + 2 * round));
  }
  return stored;
}

EndpointWeights Subsetter::table_weights(const ProxyGroupKey& key, const ProxyGroup& group,
                                         const LocalityWeights& locality) {
  if (group.subset_count <= 1) return locality.weights;
  const ShuffledOrder& order = locality.rounds[index_of(key.subset) % kSubsettingRounds];
  std::size_t index = index_of(key.subset) / kSubsettingRounds;
  std::size_t count = index_of(group.subset_count) / kSubsettingRounds;
  EndpointWeights subset = subset_weights(order, locality.weights, index, count);
  return subset.empty() ? locality.weights : subset;
}

void Subsetter::balance_shared_endpoints(ProxyGroupMap& groups, const FleetView& fleet) const {
  std::vector<WeightedTable> tables;
  for (auto& [key, group] : groups) {
    for (auto& [local_only, table] : group.tables) {
      WeightedTable weighted{.admitted = 0, .weights = &table.desired};
      for (std::size_t c = 0; c < group.admitted.size() && !group.members.empty(); ++c) {
        if (settings_.classes[c].local_only == local_only) weighted.admitted += group.admitted[c];
      }
      tables.push_back(weighted);
    }
  }
  for (int pass = 0; pass < kBalancingPasses; ++pass) balance_once(tables, fleet);
}

void Subsetter::balance_once(const std::vector<WeightedTable>& tables, const FleetView& fleet) {
  std::map<EndpointId, double> load;
  for (const WeightedTable& table : tables) {
    double sum = 0;
    for (const auto& [id, weight] : *table.weights) sum += weight;
    if (sum <= 0) continue;  // the shares of its endpoints are undefined
    for (const auto& [id, weight] : *table.weights) load[id] += table.admitted * weight / sum;
  }
  std::map<Locality, double> locality_load;
  std::map<Locality, double> locality_target;
  for (const auto& [id, endpoint_load] : load) {
    const Endpoint& endpoint = fleet.endpoints.at(id);
    locality_load[endpoint.listed.locality] += endpoint_load;
    locality_target[endpoint.listed.locality] += target_load(endpoint, fleet);
  }
  for (const WeightedTable& table : tables) {
    for (auto& [id, weight] : *table.weights) {
      if (load[id] <= 0) continue;
      const Endpoint& endpoint = fleet.endpoints.at(id);
      Locality locality = endpoint.listed.locality;
      if (locality_target[locality] <= 0) continue;
      weight *= target_load(endpoint, fleet) / locality_target[locality] * locality_load[locality] / load[id];
    }
  }
}

}  // namespace beamshunt
