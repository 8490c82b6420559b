#include "policy/admission_control.h"

#include <algorithm>
#include <limits>

#include "policy/max_min_fairness.h"
#include "policy/outlier_detector.h"

namespace beamshunt {
namespace {

// Fraction of the bottleneck's demand that a cut removes (alpha in the paper).
constexpr double kCutFraction = 0.1;
// Growth in one step of a rate that is not cut, as a fraction of the rate (beta in the paper).
constexpr double kGrowthFraction = 0.05;
// Additional growth per step for a headroom of 1, so that recovery takes no longer than the overload.
constexpr double kHeadroomGrowth = 0.3;
// Ratio of rate to throughput of a class at which the rate limits no proxy any more and the class becomes
// unlimited.
constexpr double kMaxRateOverThroughput = 2;
// Consecutive report periods above the threshold before a cut; a shorter pause is not an overload.
constexpr int kPeriodsBeforeCut = 3;
// Headroom (fraction of capacity) at which the fleet needs better weights and no cuts.
constexpr double kMinHeadroom = 0.15;
// Lower bound for the ratio of successful attempts in a cut, because an endpoint that fails fast has many
// failures.
constexpr double kMinSuccessRatioInCut = 0.5;
// Rate of a class that is not limited.
constexpr double kNoLimit = std::numeric_limits<double>::infinity();

}  // namespace

double unlimited_limit(AdmissionLimitKind kind) {
  return kind == AdmissionLimitKind::rate ? kUnlimitedRate : 1;
}

AdmissionControl::AdmissionControl(const Settings& settings)
    : settings_(settings), rates_(settings.classes.size(), kNoLimit) {}

std::optional<AdmissionControl::Bottleneck> AdmissionControl::find_bottleneck(const EndpointMap& endpoints,
                                                                              const Demand& demand,
                                                                              const LoadEstimator& estimator,
                                                                              Time now) const {
  const Endpoint* slowest = nullptr;
  double max_overload = 0;  // ratio of slowdown to threshold
  for (const auto& [id, endpoint] : endpoints) {
    if (!estimator.has_current_load(endpoint, now) || is_ejected(endpoint, endpoint.listed.locality))
      continue;
    double overload = LoadEstimator::slowdown(endpoint) / estimator.threshold(endpoint);
    if (slowest != nullptr && !(overload > max_overload)) continue;
    slowest = &endpoint;
    max_overload = overload;
  }
  if (slowest == nullptr) return std::nullopt;
  return Bottleneck{.endpoint = slowest, .demand = demand_at(*slowest, demand)};
}

// Splits the endpoint's load into classes in proportion to the admitted demand of the localities that send to
// it.
std::vector<double> AdmissionControl::demand_at(const Endpoint& endpoint, const Demand& demand) const {
  std::vector<double> by_class(settings_.classes.size(), 0);
  double attempts = endpoint.path_totals().attempts();
  if (attempts <= 0) return by_class;
  for (const auto& [locality, path] : endpoint.paths) {
    double admitted = demand.locality_rate(index_of(locality));
    if (admitted <= 0) continue;
    for (std::size_t c = 0; c < by_class.size(); ++c) {
      by_class[c] += endpoint.attempt_rate * path.attempts() / attempts * demand.at(locality, c) / admitted;
    }
  }
  return by_class;
}

void AdmissionControl::step(const EndpointMap& endpoints, const Demand& demand,
                            const LoadEstimator& estimator, Time now) {
  std::optional<Bottleneck> bottleneck = find_bottleneck(endpoints, demand, estimator, now);
  if (!bottleneck) return;
  FleetAverages averages =
      estimator.averages(endpoints, now)
          .value_or(FleetAverages{.failure_ratio = 0, .slowdown = 1, .threshold = 1, .headroom = 0});

  // Only successful attempts prove capacity; failed attempts are demand.
  double success_ratio = std::max(kMinSuccessRatioInCut, 1 - averages.failure_ratio);
  double capacity = 0;
  for (double rate : bottleneck->demand) capacity += (1 - kCutFraction) * rate * success_ratio;
  std::vector<double> fair_shares = max_min_shares(capacity, bottleneck->demand);

  // The load balancer takes load away from endpoints that are much slower than the others. Cuts start only
  // when the fleet as a whole has no headroom and is slow.
  bool fleet_overloaded = averages.headroom < kMinHeadroom && averages.slowdown > averages.threshold;
  int overloaded_periods = bottleneck->endpoint->periods_over_threshold;
  bool cut = overloaded_periods >= kPeriodsBeforeCut && fleet_overloaded && now >= next_cut_;
  if (cut) {
    // A cut affects only attempts that start after it and end one latency later, so the next cut waits for at
    // least that long.
    Duration reports = std::max(settings_.report_period * kPeriodsBeforeCut, estimator.report_interval());
    next_cut_ = now + (settings_.max_update_delay + reports + Duration(bottleneck->endpoint->latency));
  }
  for (std::size_t c = 0; c < rates_.size(); ++c) {
    double throughput = demand.class_rate(c);
    double& rate = rates_[c];
    if (cut && fair_shares[c] < bottleneck->demand[c]) {
      rate = std::min(rate, throughput) * fair_shares[c] / bottleneck->demand[c];
      continue;
    }
    bool growth_paused = fleet_overloaded && overloaded_periods > 0;
    if (rate >= kNoLimit || growth_paused) continue;
    if (rate < kMaxRateOverThroughput * throughput) {
      rate *= 1 + kGrowthFraction + kHeadroomGrowth * averages.headroom;
    } else {
      rate = kNoLimit;
    }
  }
}

bool AdmissionControl::limits_any_class() const {
  return std::ranges::any_of(rates_, [](double rate) { return rate < kNoLimit; });
}

double AdmissionControl::limit(const ProxyGroupKey& key, const ProxyGroup& group, std::size_t request_class,
                               const Demand& demand, const ProxyMap& proxies, const FleetView& fleet) {
  double max_limit = unlimited_limit(settings_.admission_limit_kind);
  if (settings_.admission_limit_kind == AdmissionLimitKind::none) return max_limit;
  bool local_only = settings_.classes[request_class].local_only;
  return std::min({max_limit, class_limit(group, request_class, demand, proxies),
                   warm_up_limit(key.locality, group, local_only, proxies, fleet)});
}

// Splits the rate by max-min fairness within the group, so that large proxies can use what small proxies
// leave unused.
double AdmissionControl::class_limit(const ProxyGroup& group, std::size_t request_class, const Demand& demand,
                                     const ProxyMap& proxies) const {
  double rate = rates_[request_class];
  double throughput = demand.class_rate(request_class);
  if (rate == kNoLimit || throughput <= 0 || group.members.empty()) return kUnlimitedRate;
  if (settings_.admission_limit_kind == AdmissionLimitKind::share) return rate / throughput;
  double group_rate = rate * group.admitted[request_class] / throughput;
  std::vector<double> arrivals;
  arrivals.reserve(group.members.size());
  for (ProxyId id : group.members) arrivals.push_back(proxies.at(id).arrivals[request_class]);
  double max_share = 0;
  double unused_rate = group_rate;
  for (double share : max_min_shares(group_rate, arrivals)) {
    max_share = std::max(max_share, share);
    unused_rate -= share;
  }
  return max_share + unused_rate;
}

// Keeps the warm-up guarantee (rule 4) where weights cannot: while all endpoints that a table may use are
// warming up (as for a local-only class after the loss of its locality), its proxies admit only the
// guaranteed fraction of the capacity. There is no expected rate for a class, so the expected rate of a proxy
// is split equally over the classes.
double AdmissionControl::warm_up_limit(Locality own, const ProxyGroup& group, bool local_only,
                                       const ProxyMap& proxies, const FleetView& fleet) {
  auto [fraction, is_new] = warm_up_fractions_.try_emplace({own, local_only}, 1);
  if (is_new) fraction->second = warm_up_fraction(own, local_only, proxies, fleet);
  auto members = static_cast<double>(group.members.size());
  if (fraction->second >= 1 || members == 0) return kUnlimitedRate;
  if (settings_.admission_limit_kind == AdmissionLimitKind::share) return fraction->second;
  double expected_class_rate = group.expected_rate / members / static_cast<double>(settings_.classes.size());
  return fraction->second * expected_class_rate;
}

// Endpoints return one by one, so the guaranteed capacity is compared with the capacity of all known
// endpoints, including those removed within the last minute. A new controller does not know what was removed
// before it started: the first endpoint that returns would count as the whole locality. So the capacity of a
// locality counts at least with what its proxies need at the fleet's mean load for each unit of capacity.
double AdmissionControl::warm_up_fraction(Locality own, bool local_only, const ProxyMap& proxies,
                                          const FleetView& fleet) const {
  double max_factor = 0;
  double guaranteed = 0;
  double usable_listed = 0;
  double fleet_listed = 0;
  for (const auto& [id, endpoint] : fleet.endpoints) {
    fleet_listed += endpoint.listed.capacity;
    if (local_only && endpoint.listed.locality != own) continue;
    double factor = endpoint.available() ? fleet.slow_start.factor(endpoint, fleet.now) : 0;
    max_factor = std::max(max_factor, factor);
    guaranteed += factor * endpoint.listed.capacity;
    usable_listed += endpoint.listed.capacity;
  }
  if (guaranteed <= 0 || max_factor >= 1) return 1;
  double needed = local_only ? fleet_listed * expected_share(own, proxies) : usable_listed;
  return guaranteed / std::max(usable_listed, needed);
}

double AdmissionControl::expected_share(Locality locality, const ProxyMap& proxies) const {
  double local_rate = 0;
  double registered_rate = 0;
  for (const auto& [id, proxy] : proxies) {
    registered_rate += proxy.expected_rate;
    if (proxy.group.locality == locality) local_rate += proxy.expected_rate;
  }
  if (registered_rate <= 0) return 0;
  if (!settings_.local_proxies_only) return local_rate / registered_rate;
  // The proxies of other localities are registered elsewhere. Each counts with the mean rate.
  double mean_rate = registered_rate / static_cast<double>(proxies.size());
  return local_rate / std::max(registered_rate, settings_.proxy_count * mean_rate);
}

}  // namespace beamshunt
