#include "policy/shard_assignment.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "policy/admission_control.h"
#include "policy/retry_policy.h"

namespace beamshunt {
namespace {

// Least listed capacity that is reckoned with: keeps the quotient finite.
constexpr double kMinCapacity = 1e-3;

}  // namespace

void ShardAssignment::apply(const ShardAssigned& event) {
  shards_.erase(event.shard);
  if (event.assigned) shards_[event.shard];
}

void ShardAssignment::apply(const ShardOwnerReported& event) {
  auto found = shards_.find(event.shard);
  if (found != shards_.end()) found->second.owners[event.endpoint] = event.weight;
}

void ShardAssignment::remove_lost_owners(TableId id, Shard& shard, const EndpointMap& endpoints, Time now,
                                         std::vector<Action>& actions) const {
  std::erase_if(shard.owners, [&](const auto& owner) {
    auto endpoint = endpoints.find(owner.first);
    if (endpoint != endpoints.end() && endpoint->second.available()) return false;
    if (!settings_.single_writer) actions.emplace_back(SetWeight{id, owner.first, 0});
    return true;
  });
  if (!shard.owners.empty()) return;
  shard.stopped = settings_.single_writer;
  Duration wait{};
  if (settings_.single_writer) {
    wait = settings_.max_update_delay + settings_.lease + settings_.lease_settle_time;
    actions.emplace_back(SetAdmissionLimit{id, false, 0, 0, RetryMode::never});
  }
  shard.move_at = now + wait;
}

std::vector<Action> ShardAssignment::assign_owners(const EndpointMap& endpoints, const SlowStart& slow_start,
                                                   Time now) {
  std::vector<Action> actions;
  std::map<EndpointId, double> owned;  // shards
  for (const auto& [id, shard] : shards_) {
    for (const auto& [endpoint, weight] : shard.owners) ++owned[endpoint];
  }
  for (auto& [id, shard] : shards_) {
    if (!shard.stopped) {
      remove_lost_owners(id, shard, endpoints, now, actions);
      if (!shard.owners.empty()) continue;
    }
    if (now < shard.move_at) continue;
    auto best = std::ranges::min_element(endpoints, {}, [&](const auto& entry) {
      const Endpoint& endpoint = entry.second;
      double capacity = std::max(endpoint.listed.capacity, kMinCapacity);
      bool warming_up = slow_start.factor(endpoint, now) < 1;
      return std::tuple{!endpoint.available(), warming_up, owned[entry.first] / capacity};
    });
    if (best == endpoints.end() || !best->second.available()) continue;
    shard.owners[best->first] = 1;
    ++owned[best->first];
    actions.emplace_back(SetWeight{id, best->first, 1});
    if (std::exchange(shard.stopped, false)) {
      actions.emplace_back(SetAdmissionLimit{id, false, 0, unlimited(settings_.admission_limit_kind),
                                             cautious_retry_mode(settings_)});
    }
  }
  return actions;
}

}  // namespace beamshunt
