// Shard assignment: owners of shards, in sharded deployments.
//
// Question: which endpoint owns a shard?
// Inputs: shards assigned to this controller and their present owners; endpoints with listed capacity
// (relative) and slow-start factor; Settings::lease, lease_settle_time and max_update_delay (ms).
// Rule: an owner that is not available any more loses the shard. A shard without an owner gets the available
// endpoint with the fewest shards for its capacity, a warmed-up one first. Where a shard has a single writer,
// it is stopped and moves once its former owner must have ended.
// Reason: two writers of one shard would lose data, so a former owner's lease has to run out first.
// It never moves a shard from an endpoint that is available.
#pragma once

#include <map>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/fleet_state.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace beamshunt {

class ShardAssignment {
 public:
  // `settings` must outlive it.
  explicit ShardAssignment(const Settings& settings) : settings_(settings) {}

  void apply(const ShardAssigned& event);
  void apply(const ShardOwnerReported& event);

  // Removes owners that are gone and gives shards without one a new owner, as far as it is due.
  [[nodiscard]] std::vector<Action> assign_owners(const EndpointMap& endpoints, const SlowStart& slow_start,
                                                  Time now);

 private:
  struct Shard {
    EndpointWeights owners;
    bool stopped = false;  // a single-writer shard between two owners
    Time move_at{};        // a new owner may start then
  };
  void remove_lost_owners(TableId id, Shard& shard, const EndpointMap& endpoints, Time now,
                          std::vector<Action>& actions) const;

  const Settings& settings_;
  std::map<TableId, Shard> shards_;
};

}  // namespace beamshunt
