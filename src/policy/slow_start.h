// Slow start: limits the load of endpoints that started or were readmitted recently.
//
// Question: Which fraction of its capacity may be sent to an endpoint that is warming up?
// Inputs: the listed start time and the readmission time of the endpoint; Settings::initial_capacity
// (fraction) and warm_up_time (ms); the fleet's ratio of failed attempts, its capacity and its load (requests
// per second) at the last publication.
// Rules: The slow-start factor grows linearly from the initial capacity to 1 over the warm-up time, or over
// half of that time after a readmission. Under overload, the factor is reduced by the ratio of the fleet's
// capacity to its load. While failures are common, warming endpoints get no traffic.
// Reasons: Rule 4 limits the load of a warming endpoint to a multiple of its capacity. An overload of the
// fleet would reach a warming endpoint too, and reports of a sudden load arrive seconds late.
// Never: Slow start never ejects or readmits an endpoint.
#pragma once

#include "policy/demand.h"
#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace beamshunt {

class SlowStart {
 public:
  // `settings` must outlive this object.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  // Returns the fraction of its capacity that the endpoint is guaranteed to have at `now`; 1 if it is warmed
  // up.
  [[nodiscard]] double factor(const Endpoint& endpoint, Time now) const;

  // Returns factor(), reduced for a warming endpoint while the fleet is overloaded; 1 if the endpoint is
  // warmed up.
  [[nodiscard]] double factor_under_overload(const Endpoint& endpoint, Time now) const;

  // Returns whether warming endpoints get no traffic while other endpoints can serve it.
  [[nodiscard]] bool withholds_traffic() const;

  // Updates the state of the fleet at a publication. `failure_ratio` is the ratio of failed attempts, 1 if no
  // attempts were reported. `rate_per_capacity` is the rate of successful attempts per second of a fully
  // utilized endpoint for each unit of capacity.
  void update_overload(double failure_ratio, double rate_per_capacity, const EndpointMap& endpoints,
                       const Demand& demand, Time now);

  // Returns the ratio of failed attempts at the last publication.
  [[nodiscard]] double fleet_failure_ratio() const { return fleet_failure_ratio_; }

 private:
  [[nodiscard]] double capacity_to_load_ratio(double rate_per_capacity, const EndpointMap& endpoints,
                                              const Demand& demand, Time now) const;

  const Settings& settings_;
  double fleet_failure_ratio_ = 1;  // 1: a new controller has no evidence yet that attempts succeed
  double overload_factor_ = 1;      // ratio of the fleet's capacity to its load, at most 1
};

}  // namespace beamshunt
