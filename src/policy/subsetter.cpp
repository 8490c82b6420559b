#include "policy/subsetter.h"

#include <algorithm>
#include <cmath>

#include "policy/id_hash.h"

namespace beamshunt {
namespace {

// Expected rates within one band differ by at most this factor: a shared limit fits all of them.
constexpr double kBandRatio = 4;
// Entries of a table, at least, however seldom its proxies send: some endpoints may fail.
constexpr double kMinEntries = 8;
// Subsetting rounds, that is, tables of a band that hold one endpoint: with two, subsets overlap, and the
// load that one table's proxies bring can be balanced by another's.
constexpr int kRounds = 2;
// Passes that balance shared endpoints: further ones change little.
constexpr int kBalancingPasses = 3;

// An order by a hash of the ids, for each locality by itself.
ShuffledOrder shuffle(const EndpointWeights& weights, const EndpointMap& endpoints,
                      std::uint32_t multiplier) {
  ShuffledOrder order;
  for (const auto& [id, weight] : weights) {
    order[endpoints.at(id).listed.locality].emplace_back(std::uint32_t(id) * multiplier, id);
  }
  for (auto& [locality, ids] : order) std::sort(ids.begin(), ids.end());
  return order;
}

// Subset `index` of `count` equal ones of the order.
EndpointWeights subset_of(const ShuffledOrder& order, const EndpointWeights& weights, std::size_t index,
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

int Subsetter::subsets_of_band(const ProxyGroupKey& key, const EndpointMap& endpoints) const {
  // Entries that a proxy of the band's middle rate sends to before their connections idle out.
  double kept_open =
      std::pow(kBandRatio, key.rate_band + 0.5) * (settings_.connection_idle_timeout / Duration(1000));
  double fitting =
      settings_.max_queued_lines / std::max(1, settings_.proxy_count) - settings_.message_overhead_lines;
  double all = 0;
  double local = 0;
  for (const auto& [id, endpoint] : endpoints) {
    if (!endpoint.available()) continue;
    all += 1;
    if (endpoint.listed.locality == key.locality) local += 1;
  }
  // A locality that lost its endpoints has no say: its tables hold remote ones.
  double most_subsets = (local < kMinEntries ? all : local) / kMinEntries;
  return static_cast<int>(std::min(all / std::max(1.0, std::min(kept_open, fitting)), most_subsets));
}

ProxyGroup& Subsetter::join(Proxy& proxy, ProxyGroupMap& groups, const EndpointMap& endpoints) {
  const ProxyGroupKey& key = proxy.group;
  ProxyGroup& first = groups[{key.locality, key.rate_band, 0}];
  if (first.tables.empty()) {
    int subsets = subsets_of_band(key, endpoints);
    if (subsets > 1) first.subset_count = kRounds * subsets;
  }
  auto& rates = subset_rates_[{key.locality, key.rate_band}];
  for (int subset = static_cast<int>(rates.size()); subset < first.subset_count; ++subset) {
    groups[{key.locality, key.rate_band, subset}].subset_count = first.subset_count;
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

const LocalityWeights* Subsetter::find(Locality own, bool local_only) const {
  auto found = locality_weights_.find({own, local_only});
  return found == locality_weights_.end() ? nullptr : &found->second;
}

const LocalityWeights& Subsetter::store(Locality own, bool local_only, EndpointWeights weights,
                                        const EndpointMap& endpoints) {
  LocalityWeights& stored = locality_weights_[{own, local_only}];
  stored.weights = std::move(weights);
  stored.rounds.clear();
  for (std::uint32_t round = 0; round < kRounds; ++round) {
    stored.rounds.push_back(shuffle(stored.weights, endpoints, kHashMultiplier + 2 * round));
  }
  return stored;
}

EndpointWeights Subsetter::table_weights(const ProxyGroupKey& key, const ProxyGroup& group,
                                         const LocalityWeights& locality) {
  if (group.subset_count <= 1) return locality.weights;
  const ShuffledOrder& order = locality.rounds[index_of(key.subset) % kRounds];
  std::size_t index = index_of(key.subset) / kRounds;
  std::size_t count = index_of(group.subset_count) / kRounds;
  EndpointWeights subset = subset_of(order, locality.weights, index, count);
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
    for (const auto& [id, weight] : *table.weights) load[id] += table.admitted * weight / sum;
  }
  std::map<Locality, double> locality_load;
  std::map<Locality, double> locality_due;
  for (const auto& [id, endpoint_load] : load) {
    const Endpoint& endpoint = fleet.endpoints.at(id);
    locality_load[endpoint.listed.locality] += endpoint_load;
    locality_due[endpoint.listed.locality] += due_load(endpoint, fleet);
  }
  for (const WeightedTable& table : tables) {
    for (auto& [id, weight] : *table.weights) {
      bool loaded = load[id] > 0;  // false, too, for a table without any weight
      if (!loaded) continue;
      const Endpoint& endpoint = fleet.endpoints.at(id);
      Locality locality = endpoint.listed.locality;
      weight *= due_load(endpoint, fleet) / locality_due[locality] * locality_load[locality] / load[id];
    }
  }
}

}  // namespace beamshunt
