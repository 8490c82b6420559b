// Admission control: cuts the request classes that exceed their fair share at the most overloaded endpoint
// (the BFAIR step) and computes the admission limits of the proxies.
//
// Question: How many requests of each class may the fleet admit, and how many may each proxy of a group
// admit?
// Inputs: demand in requests per second; slowdown, threshold and headroom of the endpoints; the ratio of
// failed attempts; the slow-start factor.
// Rules:
//  - Once per second, the endpoint with the highest ratio of slowdown to threshold is the bottleneck. A cut
//    happens only while the bottleneck and the fleet as a whole are overloaded, only after the bottleneck was
//    over its threshold for three report periods, and not before the reports can show the effect of the
//    previous cut. A cut reduces the rate of each class that exceeds its max-min fair share of (1 -
//    kCutFraction) x success ratio of the bottleneck's demand, by the factor fair share / demand. The rates
//    of all other limited classes grow; a class becomes unlimited when its rate reaches twice its throughput.
//  - The rate of a class is split over proxy groups by their throughput. Within a group, it is split by
//    max-min fairness into one limit for each proxy.
//  - While all endpoints that a table may use are warming up (as for a local-only class after the loss of its
//    locality), the limits admit only the guaranteed fraction of the capacity that the demand needs. That
//    capacity is the listed capacity, or more if the fleet's mean load for each unit of capacity says so.
// Reasons: The step follows Retro (Mace and others, NSDI 2015, section 5.1, Algorithm 1). A fleet with
// headroom needs better weights and no cuts: a cut of whole classes because of one slow endpoint would reject
// work that other endpoints can do. The limit during warm-up keeps the warm-up guarantee (rule 4) where
// weights cannot; a limit is the last resort.
// Never: Admission control never selects endpoints and never changes weights.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "policy/demand.h"
#include "policy/fleet_state.h"
#include "policy/load_balancer.h"
#include "policy/load_estimator.h"
#include "policy/settings.h"

namespace beamshunt {

// Limit in requests per second that is higher than the rate of any proxy.
constexpr double kUnlimitedRate = 1e6;

// Returns the limit that admits all requests, in the unit of `kind`.
[[nodiscard]] double unlimited_limit(AdmissionLimitKind kind);

class AdmissionControl {
 public:
  // `settings` must outlive this object.
  explicit AdmissionControl(const Settings& settings);

  // Performs the BFAIR step, which changes the rates of the classes. Must be called once per second.
  void step(const EndpointMap& endpoints, const Demand& demand, const LoadEstimator& estimator, Time now);

  [[nodiscard]] bool limits_any_class() const;

  // Clears the cache of values that were derived from the endpoints in an earlier batch.
  void begin_batch() { warm_up_fractions_.clear(); }

  // Returns the admission limit for each proxy of the group, in the unit of Settings::admission_limit_kind.
  [[nodiscard]] double limit(const ProxyGroupKey& key, const ProxyGroup& group, std::size_t request_class,
                             const Demand& demand, const ProxyMap& proxies, const FleetView& fleet);

 private:
  struct Bottleneck {
    const Endpoint* endpoint = nullptr;
    std::vector<double> demand;  // requests per second at the endpoint, indexed by class
  };
  [[nodiscard]] std::optional<Bottleneck> find_bottleneck(const EndpointMap& endpoints, const Demand& demand,
                                                          const LoadEstimator& estimator, Time now) const;
  [[nodiscard]] std::vector<double> demand_at(const Endpoint& endpoint, const Demand& demand) const;
  [[nodiscard]] double class_limit(const ProxyGroup& group, std::size_t request_class, const Demand& demand,
                                   const ProxyMap& proxies) const;
  [[nodiscard]] double warm_up_limit(Locality own, const ProxyGroup& group, bool local_only,
                                     const ProxyMap& proxies, const FleetView& fleet);
  // Returns the guaranteed fraction of the needed capacity while all endpoints are warming up, else 1.
  [[nodiscard]] double warm_up_fraction(Locality own, bool local_only, const ProxyMap& proxies,
                                        const FleetView& fleet) const;
  // Returns the fraction of the fleet's expected rate that the proxies of the locality announced.
  [[nodiscard]] double expected_share(Locality locality, const ProxyMap& proxies) const;

  const Settings& settings_;
  std::vector<double> rates_;  // requests per second of the fleet, by class; infinite: not limited
  Time next_cut_ = kDistantPast;
  // Results of warm_up_fraction(). The key is the locality and whether the class is local-only. Each value is
  // computed at most once in a batch.
  std::map<std::pair<Locality, bool>, double> warm_up_fractions_;
};

}  // namespace beamshunt
