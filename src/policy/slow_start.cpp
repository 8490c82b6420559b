#include "policy/slow_start.h"

#include <algorithm>

#include "policy/failure_thresholds.h"

namespace beamshunt {
namespace {

// Ratio of the warm-up time after a start to that after a readmission; a readmitted endpoint may have
// restarted without notice, or may only have been slow.
constexpr double kReadmissionWarmUpDivisor = 2;
// Lower bound for the load in requests per second, which keeps the quotient finite.
constexpr double kMinLoad = 1e-9;

}  // namespace

double SlowStart::factor(const Endpoint& endpoint, Time now) const {
  double initial = settings_.initial_capacity;
  auto linear_ramp = [&](Time since, Duration duration) {
    if (now - since >= duration) return 1.0;  // also without a warm-up time, where the quotient is undefined
    return std::clamp(initial + (1 - initial) * ((now - since) / duration), 0.0, 1.0);
  };
  double since_readmission =
      linear_ramp(endpoint.readmitted_at, settings_.warm_up_time / kReadmissionWarmUpDivisor);
  if (!endpoint.listed.start_time_known) return since_readmission;
  return std::min(since_readmission, linear_ramp(endpoint.listed.start_time, settings_.warm_up_time));
}

double SlowStart::factor_under_overload(const Endpoint& endpoint, Time now) const {
  double guaranteed = factor(endpoint, now);
  return guaranteed < 1 ? guaranteed * overload_factor_ : 1;
}

bool SlowStart::withholds_traffic() const { return fleet_failure_ratio_ > kCommonFailureRatio; }

void SlowStart::update_overload(double failure_ratio, double rate_per_capacity, const EndpointMap& endpoints,
                                const Demand& demand, Time now) {
  fleet_failure_ratio_ = failure_ratio;
  overload_factor_ = capacity_to_load_ratio(rate_per_capacity, endpoints, demand, now);
}

// Capacity from the endpoint list and demand from registrations show an overload before attempts fail.
double SlowStart::capacity_to_load_ratio(double rate_per_capacity, const EndpointMap& endpoints,
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
