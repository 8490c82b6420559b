// Shard assignment: the owners of shards in sharded deployments.
//
// Question: Which endpoint owns a shard?
// Inputs: shards assigned to this controller and their present owners; endpoints with listed capacity
// (relative) and slow-start factor; Settings::lease, lease_settle_time and max_update_delay (ms).
// Rules: An owner that is no longer available loses the shard. A shard without an owner gets the available
// endpoint with the fewest shards relative to its capacity; warmed-up endpoints have precedence. A
// single-writer shard is stopped and gets a new owner only when its former owner must have ended.
// Reason: Two writers of one shard would lose data, so the lease of the former owner has to expire first.
// Never: Shard assignment never moves a shard away from an available endpoint.
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
  // `settings` must outlive this object.
  explicit ShardAssignment(const Settings& settings) : settings_(settings) {}

  void apply(const ShardAssigned& event);
  void apply(const ShardOwnerReported& event);

  // Removes owners that are not available, and assigns a new owner to each shard without an owner as soon as
  // the new owner may start.
  [[nodiscard]] std::vector<Action> assign_owners(const EndpointMap& endpoints, const SlowStart& slow_start,
                                                  Time now);

 private:
  struct Shard {
    EndpointWeights owners;
    bool stopped = false;  // true: single-writer shard between two owners
    Time reassign_at{};    // time from which a new owner may start
  };
  void remove_unavailable_owners(TableId id, Shard& shard, const EndpointMap& endpoints, Time now,
                                 std::vector<Action>& actions) const;

  const Settings& settings_;
  std::map<TableId, Shard> shards_;
};

}  // namespace beamshunt
