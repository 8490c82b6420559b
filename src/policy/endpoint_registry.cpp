#include "policy/endpoint_registry.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <set>

#include "policy/id_hash.h"

namespace beamshunt {
namespace {

// Part of the subscription's lifetime after which it is renewed: before it ends, even if a renewal takes
// long.
constexpr double kRenewPart = 0.8;
// Part of the subscription's lifetime that a backoff may last at most, as a divisor.
constexpr double kBackoffLimitDivisor = 8;
// Doublings of the backoff, at most: an unreachable discovery is still tried every few periods.
constexpr int kBackoffDoublings = 4;
// After a removal: no report or update of the endpoint is under way any more.
constexpr Duration kForgetAfter{60000};

bool is_published(const ProxyGroupMap& groups, EndpointId id) {
  return std::ranges::any_of(groups, [&](const auto& entry) {
    return std::ranges::any_of(entry.second.tables,
                               [&](const auto& table) { return table.second.published.contains(id); });
  });
}

}  // namespace

bool EndpointRegistry::apply(const EndpointList& list, const std::map<double, double>& capacity_by_size,
                             Time now) {
  if (list.kind == EndpointListKind::lost) {
    retry_after_loss(now);
    return false;
  }
  if (list.kind != EndpointListKind::cached) {
    losses_in_a_row_ = 0;
    resubscribe_at_ = now + settings_.subscription_lifetime * kRenewPart;
  }
  std::set<EndpointId> named;
  for (const ListedEndpoint& entry : list.entries) {
    named.insert(entry.id);
    apply_entry(entry, capacity_by_size);
  }
  if (list.kind == EndpointListKind::incremental) return true;
  for (auto& [id, endpoint] : endpoints_) {
    if (!named.contains(id)) endpoint.listed.state = EndpointState::removed;
  }
  return true;
}

void EndpointRegistry::apply_entry(const ListedEndpoint& entry,
                                   const std::map<double, double>& capacity_by_size) {
  auto [found, is_new] = endpoints_.try_emplace(entry.id);
  Endpoint& endpoint = found->second;
  if (is_new) {
    auto learned = capacity_by_size.find(entry.capacity);
    if (learned != capacity_by_size.end()) endpoint.relative_capacity = learned->second;
  }
  // A restart under the same id: what was known of its health is void, not of its speed. With its listed size
  // instead, a slow kind would come back to more than it can do (rule 4).
  const ListedEndpoint& before = endpoint.listed;
  bool restarted =
      entry.start_time_known && (!before.start_time_known || before.start_time != entry.start_time);
  if (restarted) endpoint = endpoint.restarted();
  endpoint.listed = entry;
}

void EndpointRegistry::retry_after_loss(Time now) {
  ++losses_in_a_row_;
  // Spread over half of the backoff, by the seed: all controllers lose one discovery at once, and it would
  // fail again under all their calls.
  auto hash = std::uint32_t((settings_.seed + std::uint64_t(losses_in_a_row_)) * kHashMultiplier);
  double spread = hash / std::exp2(33);
  Duration longest = settings_.subscription_lifetime / kBackoffLimitDivisor;
  Duration backoff = settings_.report_period * std::exp2(std::min(losses_in_a_row_, kBackoffDoublings));
  resubscribe_at_ = now + std::min(longest, backoff) * (1 - spread);
}

bool EndpointRegistry::take_due_subscription(Time now) {
  if (!settings_.endpoint_list_by_subscription || now < resubscribe_at_) return false;
  resubscribe_at_ = now + settings_.subscription_lifetime * kRenewPart;
  return true;
}

void EndpointRegistry::close_period(const ProxyGroupMap& groups, Time now) {
  // Kept by name for good, all that ever served would weigh on memory and on each look at the list.
  std::erase_if(endpoints_, [&](const auto& entry) {
    const Endpoint& endpoint = entry.second;
    bool long_gone =
        endpoint.listed.state == EndpointState::removed && now - endpoint.last_listed > kForgetAfter;
    return long_gone && !is_published(groups, entry.first);
  });
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.listed.state != EndpointState::removed) endpoint.last_listed = now;
  }
}

}  // namespace beamshunt
