#include "policy/held_table_cleaner.h"

#include <algorithm>
#include <utility>

namespace beamshunt {
namespace {

// Fraction of a locality's endpoints that must be left for proxies to wait for their tables in the usual
// order.
constexpr double kMinKeptFraction = 0.75;

// Returns the unavailable endpoints of which the proxy was not told yet.
std::vector<EndpointId> untold_removals(const Proxy& proxy, const EndpointMap& endpoints) {
  std::vector<EndpointId> unavailable;
  for (const auto& [id, endpoint] : endpoints) {
    if (!endpoint.available() && endpoint.removal_number > proxy.last_removal_number)
      unavailable.push_back(id);
  }
  return unavailable;
}

// Returns whether the tables that the proxy holds may have lost so many entries that they are soon empty.
// They are unknown and may be short, so the endpoints of its locality count that are unavailable or started
// after its registration.
bool may_have_few_endpoints(const Proxy& proxy, const EndpointMap& endpoints) {
  double kept = 0;
  double all = 0;
  for (const auto& [id, endpoint] : endpoints) {
    if (endpoint.listed.locality != proxy.group.locality) continue;
    bool started_later = endpoint.listed.start_time_known && endpoint.listed.start_time > proxy.registered_at;
    ++all;
    if (endpoint.available() && !started_later) ++kept;
  }
  return kept < kMinKeptFraction * all;
}

}  // namespace

void HeldTableCleaner::write(ProxyRegistry& proxies, const EndpointMap& endpoints, double max_queued_lines,
                             Duration gather_time, Time now, std::vector<Action>& actions) {
  lacks_lines_ = false;
  if (waiting_.empty()) return;
  std::deque<ProxyId> still_waiting;
  for (ProxyId id : waiting_) {
    Proxy* proxy = proxies.find(id);
    if (proxy == nullptr || proxy->assigned) continue;
    if (now - proxy->removals_sent_at < gather_time) {
      still_waiting.push_back(id);
      continue;
    }
    std::vector<EndpointId> removals = untold_removals(*proxy, endpoints);
    if (removals.empty()) continue;
    if (budget_.queued_lines(now) >= max_queued_lines) {
      lacks_lines_ = true;
      still_waiting.push_back(id);
      continue;
    }
    for (EndpointId endpoint : removals) actions.emplace_back(RemoveHeldEndpoint{id, endpoint});
    budget_.add_lines(id, static_cast<double>(removals.size()));
    for (EndpointId endpoint : removals)
      proxy->last_removal_number =
          std::max(proxy->last_removal_number, endpoints.at(endpoint).removal_number);
    proxy->removals_sent_at = now;
    if (may_have_few_endpoints(*proxy, endpoints)) proxies.assign_first(id, now);
  }
  waiting_ = std::move(still_waiting);
}

}  // namespace beamshunt
