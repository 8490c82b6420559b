// Load reports on their way to the controllers: summed by locality and endpoint, and by proxy and class, and
// released at a bounded rate, the longest waiting first, so that a burst of reports costs the controllers no
// more than its rate allows. What waits is bounded by the number of such pairs. It decides nothing else.
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
  // `entries_per_second`: summed entries that release() gives out at most.
  explicit ReportIntake(double entries_per_second) : entries_per_second_(entries_per_second) {}

  void set_rate(double entries_per_second) { entries_per_second_ = entries_per_second; }
  // Attempts from proxies of a locality at an endpoint within [begin, end].
  void add_endpoint_report(Locality from, const native_protocol::EndpointReportEntry& entry, Ms begin,
                           Ms end);
  void add_demand_report(ProxyId proxy, const native_protocol::DemandReportEntry& entry, Ms begin, Ms end);
  // The proxy has disconnected: what it reported of its own requests concerns nobody any more.
  void remove_proxy(ProxyId proxy);
  // EndpointReports and DemandReports that may go out now: the rate times the time since the last call, a
  // second's worth at most.
  std::vector<Event> release(Ms now);
  [[nodiscard]] std::size_t pending_entries() const { return order_.size(); }  // summed entries
  [[nodiscard]] Ms oldest_wait(Ms now) const;  // of the longest waiting; 0: none waits

 private:
  using EndpointKey = std::pair<Locality, EndpointId>;
  using DemandKey = std::pair<ProxyId, ClassId>;
  using Key = std::variant<EndpointKey, DemandKey>;
  struct Sum {
    Ms begin = 0;
    Ms end = 0;
    Ms first_added_at = 0;
    double total = 0;  // attempts or arrivals
    double failed = 0;
    double mean_latency = 0;  // of successful attempts
    LoadReport load;          // the newest
  };
  Sum& sum(const Key& key, Ms begin, Ms end);

  double entries_per_second_;
  double allowance_ = 0;  // entries that may be released
  Ms released_at_ = -1;   // below 0: never
  std::map<Key, Sum> sums_;
  std::deque<Key> order_;  // of sums_, by first_added_at
};

}  // namespace beamshunt::assigner
