// The proxy registry: registered proxies, their expected and actual arrival rates, and their total demand.
//
// Questions: Which proxies are registered, and which of them have no tables yet? How many requests do they
// admit?
// Inputs: registrations with an expected rate (requests per second) and demand reports (requests, interval in
// ms).
// Rules: A proxy with an unknown rate counts with the average rate. Arrival rates are smoothed. A proxy
// admits its arrival rate up to its published limit; before its first report, its expected rate stands for
// the arrival rate.
// Reason: Proxies that register after a loss would otherwise count as idle until their first report. Their
// load would seem to fit into their own locality and would stay on warming local endpoints (rule 4).
// Never: The registry never limits a proxy and never selects its tables.
#pragma once

#include <deque>
#include <optional>

#include "policy/demand.h"
#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace beamshunt {

class ProxyRegistry {
 public:
  // `settings` must outlive this object.
  explicit ProxyRegistry(const Settings& settings) : settings_(settings), demand_(settings) {}

  // Returns the record for a new registration. An unknown rate is set to the mean of the proxies registered
  // so far.
  [[nodiscard]] Proxy make_proxy(const ProxyRegistered& event) const;
  // Adds the proxy to the registry and to the end of the queue of unassigned proxies.
  void add(ProxyId id, Proxy proxy);
  void remove(ProxyId id) { proxies_.erase(id); }
  // Returns null if the proxy is not registered. The pointer is valid until the proxy is removed.
  [[nodiscard]] Proxy* find(ProxyId id);
  [[nodiscard]] const ProxyMap& proxies() const { return proxies_; }

  // Updates the arrival rate of the proxy. A report of an unknown proxy has no effect.
  void apply(const DemandReport& report);

  // Returns whether the queue of unassigned proxies is not empty. It may contain proxies that have
  // disconnected.
  [[nodiscard]] bool any_unassigned() const { return !unassigned_.empty() || !assigned_first_.empty(); }
  // Returns the unassigned proxies in the order of registration, with some that have disconnected.
  [[nodiscard]] const std::deque<ProxyId>& unassigned() const { return unassigned_; }
  // Puts an unassigned proxy before all others that are not put first.
  void assign_first(ProxyId id, Time now) { assigned_first_.push_back({id, now}); }
  // Returns when the proxy that is assigned next was put first, or nothing if it was not.
  [[nodiscard]] std::optional<Time> next_put_first_at() const;
  // Removes and returns the proxy that has waited longest, of those put first if there are any. It may have
  // been returned before. The queue must not be empty.
  ProxyId pop_unassigned();

  // Adds the admitted rates of a newly assigned proxy to its group.
  void add_admitted_rates(const Proxy& proxy, ProxyGroup& group) const;
  // Counts the events of a batch. Returns true if proxies are unassigned and enough events arrived since the
  // last sum of the demand to justify a new sum.
  bool demand_is_stale_after(std::size_t events);
  // Sums the admitted rates of all proxies by locality and by group.
  void sum_demand(ProxyGroupMap& groups);
  // Returns the demand at the last call of sum_demand().
  [[nodiscard]] const Demand& demand() const { return demand_; }

 private:
  struct PutFirst {
    ProxyId proxy{};
    Time at{};
  };

  [[nodiscard]] double admitted_rate(const Proxy& proxy, const ProxyGroup* group,
                                     std::size_t request_class) const;

  const Settings& settings_;
  ProxyMap proxies_;
  std::deque<ProxyId> unassigned_;       // queue in the order of registration
  std::deque<PutFirst> assigned_first_;  // unassigned proxies that come before the queue
  Demand demand_;
  double events_since_sum_ = 0;
};

}  // namespace beamshunt
