// Reports on their way to the module: summed by locality and endpoint, by proxy and class, and given out at
// a bounded pace, the longest waiting first. What waits is bounded by the pairs there are.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <utility>
#include <variant>
#include <vector>

#include "base/time.h"
#include "channel/frames.h"
#include "policy/controller.h"

namespace beamshunt::assigner {

using base::Ms;

class Intake {
 public:
  explicit Intake(double lines_per_s) : lines_per_s_(lines_per_s) {}

  void pace(double lines_per_s) { lines_per_s_ = lines_per_s; }
  void heard(Locality from, const channel::EndpointReportEntry& line, Ms begun, Ms ended);
  void used(ProxyId proxy, const channel::DemandReportEntry& line, Ms begun, Ms ended);
  void forget(ProxyId proxy);  // it left: what it reported of its own requests has no owner any more
  // What may go to the module now: the pace times the time since the last call, a second's worth at most.
  std::vector<Event> release(Ms now);
  std::size_t waiting() const { return order_.size(); }
  Ms oldest(Ms now) const {  // how long the longest waiting has waited
    return order_.empty() ? 0 : std::max(0.0, now - sums_.at(order_.front()).first);
  }

 private:
  using PathKey = std::pair<Locality, EndpointId>;
  using UseKey = std::pair<ProxyId, ClassId>;
  using Key = std::variant<PathKey, UseKey>;
  struct Sum {
    Ms begun = 0, ended = 0, first = 0;         // first: when the first of it came
    double tries = 0, failed = 0, latency = 0;  // of uses: came, unanswered
    LoadReport load;
  };
  Sum& sum(const Key& key, Ms begun, Ms ended);

  double lines_per_s_, allowance_ = 0;
  Ms released_ = -1;
  std::map<Key, Sum> sums_;
  std::deque<Key> order_;  // by first report; one that was forgotten is skipped
};

}  // namespace beamshunt::assigner
