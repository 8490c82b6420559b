// Registered proxies: their expected rates, arrivals, and the demand they make together.
//
// Questions: which proxies are there, and which still wait for their tables? How much do they admit?
// Inputs: registrations with an expected rate and demand reports (requests, interval in ms).
// Rules: a proxy of unknown rate counts as average. Arrivals are smoothed. A proxy admits its arrivals, at
// most its published limit; before its first report, what it announced.
// Reason: counted as idle, the load of proxies that register after a loss would seem not to need other
// localities, and would stay on warming local endpoints (rule 4).
// It never limits a proxy and never chooses its tables.
#pragma once

#include <deque>

#include "policy/demand.h"
#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace beamshunt {

class ProxyRegistry {
 public:
  // `settings` must outlive it.
  explicit ProxyRegistry(const Settings& settings) : settings_(settings), demand_(settings) {}

  // The record of a new registration, among the proxies registered so far.
  [[nodiscard]] Proxy make_proxy(const ProxyRegistered& event) const;
  // Adds the proxy, as the last of those that wait for tables.
  void add(ProxyId id, Proxy proxy);
  void remove(ProxyId id) { proxies_.erase(id); }
  // Null if the proxy is not registered.
  [[nodiscard]] Proxy* find(ProxyId id);
  [[nodiscard]] const ProxyMap& proxies() const { return proxies_; }

  void apply(const DemandReport& report);

  // Whether proxies wait for tables. Some of them may have left since.
  [[nodiscard]] bool any_unassigned() const { return !unassigned_.empty(); }
  // Takes the one that waits longest.
  ProxyId take_unassigned();

  // Adds what an assigned proxy admits to its group.
  void add_admitted(const Proxy& proxy, ProxyGroup& group) const;
  // Counts the events of a batch; true while proxies wait for tables and enough events came for a new sum.
  bool demand_is_outdated(std::size_t events);
  // Sums what all proxies admit, by locality and by group.
  void sum_demand(ProxyGroupMap& groups);
  // As of the last sum.
  [[nodiscard]] const Demand& demand() const { return demand_; }

 private:
  [[nodiscard]] double admitted_rate(const Proxy& proxy, const ProxyGroup* group,
                                     std::size_t request_class) const;

  const Settings& settings_;
  ProxyMap proxies_;
  std::deque<ProxyId> unassigned_;  // in the order of registration
  Demand demand_;
  double events_since_sum_ = 0;
};

}  // namespace beamshunt
