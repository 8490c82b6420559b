// Admission control: the BFAIR step (cut the classes above their fair share at the slowest endpoint) and the
// limits that proxies get.
//
// Question: how many requests of each class may the fleet admit, and each proxy of a group?
// Inputs: demand (requests a second), slowdown, threshold and headroom of endpoints, the failed part of
// attempts, the slow-start factor.
// Rules:
//  - once a second the bottleneck is the endpoint with the highest slowdown over its threshold. While it and
//    the fleet as a whole are overloaded, classes above their max-min fair share of (1 - alpha) x success
//    share of the bottleneck's demand are cut by share over demand: only after three report periods over the
//    threshold, and not before the effect of the last cut can show in reports. All other limited classes
//    grow, and become unlimited at twice their throughput;
//  - a class's rate is split over proxy groups by throughput, and within a group max-min to a limit a proxy;
//  - while all endpoints that a table may use are warming up (a local-only class after its locality was
//    lost), its proxies get no more than is guaranteed.
// Reasons: Retro (Mace and others, NSDI 2015, section 5.1, Algorithm 1). A fleet with headroom needs better
// weights, not cuts: cutting whole classes for one slow endpoint would refuse work that the others can do.
// The warm-up guarantee (rule 4) where weights can't help: limits are the last resort.
// It never chooses endpoints and never changes weights.
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

// Requests a second at a proxy: a limit that binds nobody.
constexpr double kUnlimitedRate = 1e6;

// The limit that admits everything, in the unit of the kind.
[[nodiscard]] double unlimited(AdmissionLimitKind kind);

class AdmissionControl {
 public:
  // `settings` must outlive it.
  explicit AdmissionControl(const Settings& settings);

  // The BFAIR step, once a second: changes the classes' rates.
  void step(const EndpointMap& endpoints, const Demand& demand, const LoadEstimator& estimator, Time now);

  [[nodiscard]] bool limits_any_class() const;

  // Forgets what was derived from endpoints for an earlier reply.
  void begin_reply() { warm_shares_.clear(); }

  // The limit for each proxy of the group, in the unit of Settings::admission_limit_kind.
  [[nodiscard]] double limit(const ProxyGroupKey& key, const ProxyGroup& group, std::size_t request_class,
                             const Demand& demand, const ProxyMap& proxies, const FleetView& fleet);

 private:
  struct Bottleneck {
    const Endpoint* endpoint = nullptr;
    std::vector<double> demand;  // requests a second there, by class
  };
  [[nodiscard]] std::optional<Bottleneck> find_bottleneck(const EndpointMap& endpoints, const Demand& demand,
                                                          const LoadEstimator& estimator, Time now) const;
  [[nodiscard]] std::vector<double> demand_at(const Endpoint& endpoint, const Demand& demand) const;
  [[nodiscard]] double class_limit(const ProxyGroup& group, std::size_t request_class, const Demand& demand,
                                   const ProxyMap& proxies) const;
  [[nodiscard]] double warm_up_limit(Locality own, const ProxyGroup& group, bool local_only,
                                     const FleetView& fleet);

  const Settings& settings_;
  std::vector<double> rates_;  // by class, requests a second of the fleet; infinite: not limited
  Time next_cut_ = kLongAgo;
  // By locality and local-only: the guaranteed part of listed capacity while all is warming up, else 1. Made
  // once a reply.
  std::map<std::pair<Locality, bool>, double> warm_shares_;
};

}  // namespace beamshunt
