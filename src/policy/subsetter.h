// Subsetting: the endpoints in the table of a proxy group, and the subset that a proxy joins.
//
// Questions: How many tables do the proxies of one locality and rate band share? Which entries does each
// table have?
// Inputs: expected rates (requests per second), the idle time after which proxies close connections (ms), the
// queue limit of the update channel (lines), and the weights of the locality.
// Rules: The number of entries in a table is at most the number of connections that its proxies can keep
// open, and at most the number with which one full queue of updates assigns tables to all proxies. Where this
// is less than the number of endpoints, each subsetting round cuts the shuffled order of each locality's
// endpoints into subsets, one for each table. A proxy joins the subset with the lowest expected rate. Tables
// that share endpoints are then balanced: each entry is scaled by its endpoint's target load / the load that
// all tables together would send to it.
// Reasons: If connections close because they are idle, each request needs a new handshake. Rule 5 limits the
// queue.
// Never: Subsetting never moves a proxy that was assigned and never changes an endpoint's own weight.
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

// Returns the rate band of a proxy. Rates within one band differ by at most a small factor.
[[nodiscard]] int rate_band(double expected_rate);

// The endpoints of each locality with the hashes of their ids, ordered by hash.
using ShuffledOrder = std::map<Locality, std::vector<std::pair<std::uint32_t, EndpointId>>>;

// The weights and shuffled orders that all tables of a locality share.
struct LocalityWeights {
  EndpointWeights weights;
  std::vector<ShuffledOrder> rounds;  // one order for each subsetting round
};

class Subsetter {
 public:
  // `settings` must outlive this object.
  explicit Subsetter(const Settings& settings) : settings_(settings) {}

  // Selects the proxy's subset, stores it in proxy.group.subset and returns the proxy's group.
  ProxyGroup& assign_subset(Proxy& proxy, ProxyGroupMap& groups, const EndpointMap& endpoints);
  // Changes the expected rate of a group by `rate` requests per second: positive when a proxy is added,
  // negative when a proxy is removed.
  void add_expected_rate(const ProxyGroupKey& key, ProxyGroup& group, double rate);

  // Returns the stored weights of the locality, or null if there are none. The pointer is valid until
  // clear_locality_weights() is called.
  [[nodiscard]] const LocalityWeights* find_locality_weights(Locality own, bool local_only) const;
  // Stores the weights of the locality with a shuffled order of its endpoints for each subsetting round.
  const LocalityWeights& store_locality_weights(Locality own, bool local_only, EndpointWeights weights,
                                                const EndpointMap& endpoints);
  void clear_locality_weights() { locality_weights_.clear(); }

  // Returns the entries of one group's table: those of its subset, or all entries of the locality if the
  // subset would be empty.
  [[nodiscard]] static EndpointWeights table_weights(const ProxyGroupKey& key, const ProxyGroup& group,
                                                     const LocalityWeights& locality);

  // Scales the desired entries of all tables so that each endpoint gets its target load from all tables
  // together.
  void balance_shared_endpoints(ProxyGroupMap& groups, const FleetView& fleet) const;

 private:
  struct WeightedTable {
    double admitted = 0;  // requests per second of the proxies that use the table
    EndpointWeights* weights = nullptr;
  };
  [[nodiscard]] int subset_count_for_band(const ProxyGroupKey& key, const EndpointMap& endpoints) const;
  static void balance_once(const std::vector<WeightedTable>& tables, const FleetView& fleet);

  const Settings& settings_;
  // Expected rate and index of each subset, in ascending order of the rate. The key is the locality and rate
  // band.
  std::map<std::pair<Locality, int>, std::set<std::pair<double, int>>> subset_rates_;
  std::map<std::pair<Locality, bool>, LocalityWeights> locality_weights_;  // key: locality, local-only
};

}  // namespace beamshunt
