// Removals for proxies that wait for their tables. After a restart or the loss of another controller, many
// proxies register at once and go on with the tables that they hold until new ones are assigned.
//
// Question: Which endpoints must a waiting proxy remove from the tables that it holds, and when is it told?
// Inputs: the endpoints that drain or are removed and since when; registrations; lines queued in the channel.
// Rules:
//  - A waiting proxy is told of all endpoints that are not available, in one message and in the order of
//    registration. It is told again of endpoints that became unavailable later, after a time in which further
//    changes gather.
//  - A proxy whose tables may have lost most of their entries gets its new tables before the others, even
//    while removals wait.
//  - While a proxy waits for such a message because the channel has no room, no other proxy is assigned.
// Reasons: Rule 3 applies from the registration on, whatever tables a proxy holds. Complete tables for all
// proxies may take the channel longer than the grace period; a removal takes a line.
// Removals may leave nothing in the tables of a proxy that waits for long (rule 1).
// Never: The cleaner never tells a proxy anything after its first table was assigned.
#pragma once

#include <deque>
#include <vector>

#include "policy/actions.h"
#include "policy/channel_budget.h"
#include "policy/fleet_state.h"
#include "policy/proxy_registry.h"

namespace beamshunt {

class HeldTableCleaner {
 public:
  // `budget` must outlive this object.
  explicit HeldTableCleaner(ChannelBudget& budget) : budget_(budget) {}

  // Must be called with each registration. The proxy waits for tables from now on.
  void add_proxy(ProxyId proxy) { waiting_.push_back(proxy); }
  // Must be called after a change of the endpoint list, with the proxies that wait for tables.
  void endpoints_changed(const std::deque<ProxyId>& unassigned) { waiting_ = unassigned; }

  // Appends removals for waiting proxies to `actions` while less than `max_queued_lines` are queued. A proxy
  // that was told within `gather_time` waits.
  void write(ProxyRegistry& proxies, const EndpointMap& endpoints, double max_queued_lines,
             Duration gather_time, Time now, std::vector<Action>& actions);

  // Returns whether the last write() had no lines left for a proxy whose removals are due.
  [[nodiscard]] bool lacks_lines() const { return lacks_lines_; }
  // Returns whether proxies wait to be told.
  [[nodiscard]] bool any_waiting() const { return !waiting_.empty(); }

 private:
  ChannelBudget& budget_;
  std::deque<ProxyId> waiting_;  // may contain proxies that have been assigned or have disconnected
  bool lacks_lines_ = false;
};

}  // namespace beamshunt
