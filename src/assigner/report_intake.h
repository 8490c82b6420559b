// Aggregates load reports on their way to the controllers: endpoint reports by locality and endpoint, demand
// reports by proxy and class. A token bucket limits the rate at which aggregates are released, oldest first,
// so that a burst of reports does not overload the controllers. Memory is bounded by the number of distinct
// keys.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "native_protocol/frames.h"
#include "policy/controller.h"

namespace beamshunt::assigner {

using base::Ms;

class ReportIntake {
 public:
  // `entries_per_second` is the maximum rate at which release() returns aggregates.
  explicit ReportIntake(double entries_per_second) : entries_per_second_(entries_per_second) {}

  void set_rate(double entries_per_second) { entries_per_second_ = entries_per_second; }
  // Adds the attempts that proxies of `proxy_locality` made at an endpoint within [begin, end].
  void add_endpoint_report(Locality proxy_locality, const native_protocol::EndpointReportEntry& entry,
                           Ms begin, Ms end);
  // Adds the requests of one class that arrived at `proxy` within [begin, end].
  void add_demand_report(ProxyId proxy, const native_protocol::DemandReportEntry& entry, Ms begin, Ms end);
  // Discards the pending demand reports of a disconnected proxy.
  void remove_proxy(ProxyId proxy);
  // Removes and returns the oldest aggregates as EndpointReport and DemandReport events, as many as the rate
  // allows. Unused capacity accumulates for one second at most.
  std::vector<Event> release(Ms now);
  [[nodiscard]] std::size_t pending_entries() const { return release_order_.size(); }
  // Returns how long the oldest pending aggregate has waited; 0 if none is pending.
  [[nodiscard]] Ms oldest_wait(Ms now) const;

 private:
  using EndpointKey = std::pair<Locality, EndpointId>;
  using DemandKey = std::pair<ProxyId, ClassId>;
  using Key = std::variant<EndpointKey, DemandKey>;
  struct Aggregate {
    Ms begin = 0;
    Ms end = 0;
    Ms first_added_at = 0;
    double total = 0;  // attempts of an endpoint key, arrivals of a demand key
    double failed = 0;
    double mean_latency = 0;  // mean over successful attempts, in ms
    LoadReport load;          // most recent load report that was not empty
  };
  // Returns the key's aggregate, extended to cover [begin, end]; creates an empty one if necessary.
  Aggregate& find_or_add(const Key& key, Ms begin, Ms end);

  double entries_per_second_;
  double tokens_ = 0;        // aggregates that may be released
  Ms last_release_at_ = -1;  // negative before the first call of release()
  std::map<Key, Aggregate> aggregates_;
  std::deque<Key> release_order_;  // keys of aggregates_, by first_added_at
};

}  // namespace beamshunt::assigner
