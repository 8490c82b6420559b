// The endpoint registry: applies endpoint lists and schedules subscriptions.
//
// Questions: How does an endpoint list change the records of the fleet? When is the next subscription due?
// Inputs: endpoint lists (complete, incremental, cached, lost); times in ms.
// Rules: A complete or cached list removes every endpoint that is not in it. A new start time under a known
// id is a restart. A subscription is renewed before its lifetime ends; after a loss it is retried with an
// exponential backoff with jitter. An endpoint that was removed long ago is deleted once no table contains
// it.
// Reasons: All controllers lose a failing discovery service at the same time and would overload it again if
// they subscribed together. A restarted endpoint keeps its learned capacity: with its listed capacity, an
// endpoint on slower hardware would be overloaded (rule 4).
// Never: The registry never evaluates the health or load of an endpoint.
#pragma once

#include <cstdint>
#include <map>

#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace beamshunt {

class EndpointRegistry {
 public:
  // `settings` must outlive this object.
  explicit EndpointRegistry(const Settings& settings) : settings_(settings) {}

  // Applies a list. Returns false for a lost list and true for every other kind. `relative_capacities` maps a
  // listed capacity to the initial relative capacity of a new endpoint.
  bool apply(const EndpointList& list, const std::map<double, double>& relative_capacities, Time now);

  // Returns whether a subscription has to be sent now. If it returns true, the next subscription is due when
  // most of the subscription's lifetime has passed.
  bool renew_subscription_if_due(Time now);

  // Records which endpoints are listed in this period, and deletes endpoints that were removed long ago and
  // are in no published table.
  void end_period(const ProxyGroupMap& groups, Time now);

  [[nodiscard]] EndpointMap& endpoints() { return endpoints_; }
  [[nodiscard]] const EndpointMap& endpoints() const { return endpoints_; }

 private:
  void apply_entry(const ListedEndpoint& entry, const std::map<double, double>& relative_capacities);
  void schedule_resubscription(Time now);

  const Settings& settings_;
  EndpointMap endpoints_;
  Time next_subscription_ = kDistantPast;
  int consecutive_losses_ = 0;
  std::uint64_t removal_count_ = 0;  // drains and removals so far
};

}  // namespace beamshunt
