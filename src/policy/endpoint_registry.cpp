#include "policy/endpoint_registry.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <set>

#include "policy/id_hash.h"
#include "policy/report_validation.h"

namespace beamshunt {
namespace {

// Fraction of a subscription's lifetime after which it is renewed, so that even a slow renewal finishes
// before the subscription ends.
constexpr double kRenewalFraction = 0.8;
// Ratio of the subscription's lifetime to the maximum backoff.
constexpr double kMaxBackoffDivisor = 8;
// Maximum number of doublings of the backoff, so that an unreachable discovery service is still tried every
// few periods.
constexpr int kMaxBackoffDoublings = 4;
// Time after a removal at which no report or update of the endpoint can still be in flight.
constexpr Duration kRemovedEndpointRetention{60000};

bool is_published(const ProxyGroupMap& groups, EndpointId id) {
  return std::ranges::any_of(groups, [&](const auto& entry) {
    return std::ranges::any_of(entry.second.tables,
                               [&](const auto& table) { return table.second.published.contains(id); });
  });
}

}  // namespace

bool EndpointRegistry::apply(const EndpointList& list, const std::map<double, double>& relative_capacities,
                             Time now) {
  if (list.kind == EndpointListKind::lost) {
    schedule_resubscription(now);
    return false;
  }
  if (list.kind != EndpointListKind::cached) {
    consecutive_losses_ = 0;
    next_subscription_ = now + settings_.subscription_lifetime * kRenewalFraction;
  }
  std::set<EndpointId> listed_ids;
  for (const ListedEndpoint& entry : list.entries) {
    listed_ids.insert(entry.id);
    apply_entry(entry, relative_capacities);
  }
  if (list.kind == EndpointListKind::incremental) return true;
  for (auto& [id, endpoint] : endpoints_) {
    if (listed_ids.contains(id)) continue;
    if (endpoint.available()) endpoint.removal_number = ++removal_count_;
    endpoint.listed.state = EndpointState::removed;
  }
  return true;
}

void EndpointRegistry::apply_entry(const ListedEndpoint& entry,
                                   const std::map<double, double>& relative_capacities) {
  auto [found, is_new] = endpoints_.try_emplace(entry.id);
  Endpoint& endpoint = found->second;
  if (is_new) {
    auto learned = relative_capacities.find(bounded_capacity(entry.capacity));
    if (learned != relative_capacities.end()) endpoint.relative_capacity = learned->second;
  }
  // After a restart under the same id, the health data is invalid but the learned capacity still applies.
  // With its listed capacity, an endpoint on slower hardware would restart with more load than it can serve
  // (rule 4).
  const ListedEndpoint& previous = endpoint.listed;
  bool restarted =
      entry.start_time_known && (!previous.start_time_known || previous.start_time != entry.start_time);
  if (restarted) endpoint = endpoint.after_restart();
  bool was_available = is_new || endpoint.available();
  endpoint.listed = entry;
  if (was_available && !endpoint.available()) endpoint.removal_number = ++removal_count_;
  endpoint.listed.capacity = bounded_capacity(entry.capacity);
}

void EndpointRegistry::schedule_resubscription(Time now) {
  ++consecutive_losses_;
  // The seed spreads the subscriptions over half of the backoff: all controllers lose the same discovery
  // service at the same time, and it would fail again under their simultaneous requests.
  auto hash = std::uint32_t((settings_.seed + std::uint64_t(consecutive_losses_)) * kHashMultiplier);
  double spread = hash / std::exp2(33);
  Duration max_backoff = settings_.subscription_lifetime / kMaxBackoffDivisor;
  Duration backoff = settings_.report_period * std::exp2(std::min(consecutive_losses_, kMaxBackoffDoublings));
  next_subscription_ = now + std::min(max_backoff, backoff) * (1 - spread);
}

bool EndpointRegistry::renew_subscription_if_due(Time now) {
  if (!settings_.endpoint_list_by_subscription || now < next_subscription_) return false;
  next_subscription_ = now + settings_.subscription_lifetime * kRenewalFraction;
  return true;
}

void EndpointRegistry::end_period(const ProxyGroupMap& groups, Time now) {
  // Without this deletion, the records of all endpoints that ever existed would cost memory and time in each
  // iteration.
  std::erase_if(endpoints_, [&](const auto& entry) {
    const Endpoint& endpoint = entry.second;
    bool retention_expired = endpoint.listed.state == EndpointState::removed &&
                             now - endpoint.last_listed > kRemovedEndpointRetention;
    return retention_expired && !is_published(groups, entry.first);
  });
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.listed.state != EndpointState::removed) endpoint.last_listed = now;
  }
}

}  // namespace beamshunt
