#include "policy/slow_start.h"

#include <algorithm>

#include "policy/failure_thresholds.h"

namespace beamshunt {
namespace {

// Part of the warm-up time that a readmitted endpoint takes: it may have restarted unseen, or only been slow.
constexpr double kReadmissionDivisor = 2;
// Requests a second: keeps a quotient finite where there is no load.
constexpr double kMinLoad = 1e-9;

}  // namespace

double SlowStart::factor(const Endpoint& endpoint, Time now) const {
  double initial = settings_.initial_capacity;
  auto grown = [&](Time since, Duration over) {
    return std::clamp(initial + (1 - initial) * ((now - since) / over), 0.0, 1.0);
  };
  double since_readmission = grown(endpoint.readmitted_at, settings_.warm_up_time / kReadmissionDivisor);
  if (!endpoint.listed.start_time_known) return since_readmission;
  return std::min(since_readmission, grown(endpoint.listed.start_time, settings_.warm_up_time));
}

double SlowStart::factor_under_overload(const Endpoint& endpoint, Time now) const {
  double guaranteed = factor(endpoint, now);
  return guaranteed < 1 ? guaranteed * overload_factor_ : 1;
}

bool SlowStart::holds_back() const { return fleet_fail_share_ > kCommonFailShare; }

void SlowStart::update_overload(double fail_share, double rate_per_capacity, const EndpointMap& endpoints,
                                const Demand& demand, Time now) {
  fleet_fail_share_ = fail_share;
  overload_factor_ = capacity_over_load(rate_per_capacity, endpoints, demand, now);
}

// The endpoint list tells of lost capacity, and registrations of new load, before attempts fail.
double SlowStart::capacity_over_load(double rate_per_capacity, const EndpointMap& endpoints,
                                     const Demand& demand, Time now) const {
  double load = 0;
  double capacity = 0;
  for (const auto& [id, endpoint] : endpoints) {
    load += endpoint.attempt_rate;
    if (!endpoint.available()) continue;
    capacity +=
        rate_per_capacity * endpoint.listed.capacity * endpoint.relative_capacity * factor(endpoint, now);
  }
  if (capacity <= 0) return 1;
  return std::min(1.0, capacity / std::max({load, demand.total(), kMinLoad}));
}

}  // namespace beamshunt
