// Slow start: what a starting or readmitted endpoint gets.
//
// Question: which part of its capacity may an endpoint that is warming up be sent?
// Inputs: its listed start time and its readmission, Settings::initial_capacity (part) and warm_up_time (ms);
// the fleet's failed part of attempts, capacity and load (requests a second) as of the last publication.
// Rule: the slow-start factor grows linearly from the initial capacity to 1 over the warm-up time; over half
// of it after readmission. Under overload the factor falls with the fleet's capacity over its load, and
// nothing is sent to a warming endpoint while failures are common.
// Reason: rule 4 (a warming endpoint may get only a multiple of its capacity). A fleet's overload would come
// to a warming endpoint too, and reports of a sudden load are seconds late.
// It never ejects or readmits an endpoint.
#pragma once

#include "policy/demand.h"
#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace beamshunt {

class SlowStart {
 public:
  // `settings` must outlive it.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  // The part of its capacity that the endpoint is guaranteed to have at `now`; 1: warmed up.
  [[nodiscard]] double factor(const Endpoint& endpoint, Time now) const;

  // The same, less where the fleet is overloaded; a warmed-up endpoint keeps 1.
  [[nodiscard]] double factor_under_overload(const Endpoint& endpoint, Time now) const;

  // True while endpoints that are warming up get nothing, as long as there are others.
  [[nodiscard]] bool holds_back() const;

  // Takes the fleet's state at a publication. `fail_share`: part of attempts, 1 if none were reported.
  // `rate_per_capacity`: successful attempts a second of a full endpoint, per unit of capacity.
  void update_overload(double fail_share, double rate_per_capacity, const EndpointMap& endpoints,
                       const Demand& demand, Time now);

  // The failed part of attempts at the last publication.
  [[nodiscard]] double fleet_fail_share() const { return fleet_fail_share_; }

 private:
  [[nodiscard]] double capacity_over_load(double rate_per_capacity, const EndpointMap& endpoints,
                                          const Demand& demand, Time now) const;

  const Settings& settings_;
  double fleet_fail_share_ = 1;  // a controller that just started knows of no calm fleet yet
  double overload_factor_ = 1;   // the fleet's capacity over its load, at most 1
};

}  // namespace beamshunt
