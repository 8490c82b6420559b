// Subsetting: which endpoints a proxy group's table holds, and which subset a proxy joins.
//
// Questions: how many tables do the proxies of a locality and rate band share? Which entries has each?
// Inputs: expected rates (requests a second), the idle time after which proxies close connections (ms), the
// queue limit of the update channel (lines), the weights of the locality.
// Rule: a table holds no more entries than its proxies can keep connections open for, nor than lets all
// proxies be assigned with one queue full of updates. Where that is less than all endpoints, each subsetting
// round cuts the shuffled order of each locality's endpoints into subsets, one a table. A proxy joins the
// subset with the least expected rate. Tables that share endpoints are then balanced: each entry is scaled by
// its endpoint's due load over what all tables together would send to it.
// Reason: connections that close for idleness make each request pay a handshake; rule 5 limits the queue.
// It never moves a proxy that was assigned, and never changes an endpoint's own weight.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/load_balancer.h"
#include "policy/settings.h"

namespace beamshunt {

// The rate band of a proxy: rates within one band differ by a small factor at most.
[[nodiscard]] int rate_band(double expected_rate);

// The endpoints of each locality, ordered by a hash of their ids.
using ShuffledOrder = std::map<Locality, std::vector<std::pair<std::uint32_t, EndpointId>>>;

// What all tables of a locality share.
struct LocalityWeights {
  EndpointWeights weights;
  std::vector<ShuffledOrder> rounds;  // one order a subsetting round
};

class Subsetter {
 public:
  // `settings` must outlive it.
  explicit Subsetter(const Settings& settings) : settings_(settings) {}

  // Chooses the proxy's subset (it writes proxy.group.subset) and returns its group.
  ProxyGroup& join(Proxy& proxy, ProxyGroupMap& groups, const EndpointMap& endpoints);
  // Changes the expected rate of a group by `rate` requests a second, as a proxy comes or goes.
  void add_expected_rate(const ProxyGroupKey& key, ProxyGroup& group, double rate);

  // The locality's weights as last stored; null after clear(). Valid until then.
  [[nodiscard]] const LocalityWeights* find(Locality own, bool local_only) const;
  // Stores the locality's weights and shuffles its endpoints for each round.
  const LocalityWeights& store(Locality own, bool local_only, EndpointWeights weights,
                               const EndpointMap& endpoints);
  void clear() { locality_weights_.clear(); }

  // The entries of one group's table; all of the locality's where the subset would be empty.
  [[nodiscard]] static EndpointWeights table_weights(const ProxyGroupKey& key, const ProxyGroup& group,
                                                     const LocalityWeights& locality);

  // Scales the desired entries of all tables so that each endpoint gets its due load from all together.
  void balance_shared_endpoints(ProxyGroupMap& groups, const FleetView& fleet) const;

 private:
  struct WeightedTable {
    double admitted = 0;  // requests a second of the proxies that use it
    EndpointWeights* weights = nullptr;
  };
  [[nodiscard]] int subsets_of_band(const ProxyGroupKey& key, const EndpointMap& endpoints) const;
  static void balance_once(const std::vector<WeightedTable>& tables, const FleetView& fleet);

  const Settings& settings_;
  // By locality and rate band: expected rate and index of each subset, the least loaded first.
  std::map<std::pair<Locality, int>, std::set<std::pair<double, int>>> subset_rates_;
  std::map<std::pair<Locality, bool>, LocalityWeights> locality_weights_;  // by local-only, too
};

}  // namespace beamshunt
