// The endpoint list: what is listed, and when to subscribe again.
//
// Questions: what does an endpoint list change in the fleet's records? When is the next subscription due?
// Inputs: endpoint lists (complete, incremental, cached, lost); times in ms.
// Rule: a complete or cached list removes what it does not name; a new start time under a known id is a
// restart. A subscription is renewed before its lifetime ends, and after a loss with a growing, spread
// backoff. An endpoint that was removed long ago is forgotten once no table names it.
// Reason: all controllers lose one discovery service at once and would fail it again together. A restarted
// endpoint keeps its learned capacity: with its listed size a slow kind would be overloaded (rule 4).
// It never judges an endpoint's health or load.
#pragma once

#include <map>

#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace beamshunt {

class EndpointRegistry {
 public:
  // `settings` must outlive the registry.
  explicit EndpointRegistry(const Settings& settings) : settings_(settings) {}

  // Applies a list; true if it holds entries or a removal, false for a lost subscription.
  // `capacity_by_size`: relative capacity that a new endpoint of a listed size begins with.
  bool apply(const EndpointList& list, const std::map<double, double>& capacity_by_size, Time now);

  // True if a subscription has to be sent now; the next one is due most of a lifetime later.
  bool take_due_subscription(Time now);

  // Notes what is listed in this period and forgets what was removed long ago and is in no group's table.
  void close_period(const ProxyGroupMap& groups, Time now);

  [[nodiscard]] EndpointMap& endpoints() { return endpoints_; }
  [[nodiscard]] const EndpointMap& endpoints() const { return endpoints_; }

 private:
  void apply_entry(const ListedEndpoint& entry, const std::map<double, double>& capacity_by_size);
  void retry_after_loss(Time now);

  const Settings& settings_;
  EndpointMap endpoints_;
  Time resubscribe_at_ = kLongAgo;
  int losses_in_a_row_ = 0;
};

}  // namespace beamshunt
