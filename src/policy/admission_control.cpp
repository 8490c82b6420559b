#include "policy/admission_control.h"

#include <algorithm>
#include <limits>

#include "policy/max_min_fairness.h"
#include "policy/outlier_detector.h"

namespace beamshunt {
namespace {

// Part of the bottleneck's demand that a cut takes away (the paper's alpha).
constexpr double kAlpha = 0.1;
// Growth of a rate that is not cut, each step (the paper's beta).
constexpr double kBeta = 0.05;
// Further growth where all of the fleet's headroom is free: recovery should not take longer than the
// overload.
constexpr double kGrowthByHeadroom = 0.3;
// A rate grows only while it is under this multiple of its class's throughput; beyond, it binds nobody.
constexpr double kMaxRateOverThroughput = 2;
// Report periods in a row above the threshold before a cut: a shorter pause is not overload.
constexpr int kPeriodsBeforeCut = 3;
// Headroom (part of capacity) from which on the fleet needs better weights, not cuts.
constexpr double kMinHeadroom = 0.15;
// Least successful part of attempts that a cut reckons with: an endpoint that fails fast fails often.
constexpr double kMinSuccessShareInCut = 0.5;
// The rate of a class that was never cut.
constexpr double kNoLimit = std::numeric_limits<double>::infinity();

}  // namespace

double unlimited(AdmissionLimitKind kind) { return kind == AdmissionLimitKind::rate ? kUnlimitedRate : 1; }

AdmissionControl::AdmissionControl(const Settings& settings)
    : settings_(settings), rates_(settings.classes.size(), kNoLimit) {}

std::optional<AdmissionControl::Bottleneck> AdmissionControl::find_bottleneck(const EndpointMap& endpoints,
                                                                              const Demand& demand,
                                                                              const LoadEstimator& estimator,
                                                                              Time now) const {
  const Endpoint* slowest = nullptr;
  double most_overload = 0;  // slowdown over threshold
  for (const auto& [id, endpoint] : endpoints) {
    if (!estimator.is_current(endpoint, now) || is_ejected(endpoint, endpoint.listed.locality)) continue;
    double overload = LoadEstimator::slowdown(endpoint) / estimator.threshold(endpoint);
    if (slowest != nullptr && !(overload > most_overload)) continue;
    slowest = &endpoint;
    most_overload = overload;
  }
  if (slowest == nullptr) return std::nullopt;
  return Bottleneck{.endpoint = slowest, .demand = demand_at(*slowest, demand)};
}

// The endpoint's load, split into classes by what the localities that send there admit.
std::vector<double> AdmissionControl::demand_at(const Endpoint& endpoint, const Demand& demand) const {
  std::vector<double> by_class(settings_.classes.size(), 0);
  double attempts = endpoint.all_paths().attempts();
  if (attempts <= 0) return by_class;
  for (const auto& [locality, path] : endpoint.paths) {
    double admitted = demand.of_locality(index_of(locality));
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
          .value_or(FleetAverages{.fail_share = 0, .slowdown = 1, .threshold = 1, .headroom = 0});

  // Capacity is what succeeded: attempts that fail there are demand, not proof of capacity.
  double success_share = std::max(kMinSuccessShareInCut, 1 - averages.fail_share);
  double capacity = 0;
  for (double rate : bottleneck->demand) capacity += (1 - kAlpha) * rate * success_share;
  std::vector<double> fair = max_min_shares(capacity, bottleneck->demand);

  // Endpoints far slower than the rest are drained by their weights. Cuts wait until the fleet is full and
  // slow as a whole.
  bool fleet_overloaded = averages.headroom < kMinHeadroom && averages.slowdown > averages.threshold;
  int overloaded_periods = bottleneck->endpoint->periods_over_threshold;
  bool cut = overloaded_periods >= kPeriodsBeforeCut && fleet_overloaded && now >= next_cut_;
  if (cut) {
    // A cut shows only in attempts that start after it, which end a latency later: the next one waits so
    // long.
    Duration reports = std::max(settings_.report_period * kPeriodsBeforeCut, estimator.report_interval());
    next_cut_ = now + (settings_.max_update_delay + reports + Duration(bottleneck->endpoint->latency));
  }
  for (std::size_t c = 0; c < rates_.size(); ++c) {
    double throughput = demand.of_class(c);
    double& rate = rates_[c];
    if (cut && fair[c] < bottleneck->demand[c]) {
      rate = std::min(rate, throughput) * fair[c] / bottleneck->demand[c];
      continue;
    }
    bool held = fleet_overloaded && overloaded_periods > 0;
    if (rate >= kNoLimit || held) continue;
    if (rate < kMaxRateOverThroughput * throughput) {
      rate *= 1 + kBeta + kGrowthByHeadroom * averages.headroom;
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
  double open = unlimited(settings_.admission_limit_kind);
  if (settings_.admission_limit_kind == AdmissionLimitKind::none) return open;
  bool local_only = settings_.classes[request_class].local_only;
  return std::min({open, class_limit(group, request_class, demand, proxies),
                   warm_up_limit(key.locality, group, local_only, fleet)});
}

// Max-min within the group, so that a small proxy's unused part serves the large ones.
double AdmissionControl::class_limit(const ProxyGroup& group, std::size_t request_class, const Demand& demand,
                                     const ProxyMap& proxies) const {
  double rate = rates_[request_class];
  double throughput = demand.of_class(request_class);
  if (rate == kNoLimit || throughput <= 0 || group.members.empty()) return kUnlimitedRate;
  if (settings_.admission_limit_kind == AdmissionLimitKind::share) return rate / throughput;
  double group_rate = rate * group.admitted[request_class] / throughput;
  std::vector<double> arrivals;
  arrivals.reserve(group.members.size());
  for (ProxyId id : group.members) arrivals.push_back(proxies.at(id).arrivals[request_class]);
  double largest = 0;
  double left_over = group_rate;
  for (double share : max_min_shares(group_rate, arrivals)) {
    largest = std::max(largest, share);
    left_over -= share;
  }
  return largest + left_over;
}

// The warm-up guarantee (rule 4) where weights can't help: while all endpoints that a table may use are
// warming up (a local-only class after its locality was lost), its proxies admit the guaranteed part of their
// capacity. Endpoints come back one by one, so what is back is compared with all that are known, those
// removed in the last minute included. Without a class's own expected rate the proxy's is split equally over
// the classes.
double AdmissionControl::warm_up_limit(Locality own, const ProxyGroup& group, bool local_only,
                                       const FleetView& fleet) {
  auto [share, is_new] = warm_shares_.try_emplace({own, local_only}, 1);
  if (is_new) {
    double warmest = 0;
    double guaranteed = 0;
    double listed = 0;
    for (const auto& [id, endpoint] : fleet.endpoints) {
      if (local_only && endpoint.listed.locality != own) continue;
      double factor = endpoint.available() ? fleet.slow_start.factor(endpoint, fleet.now) : 0;
      warmest = std::max(warmest, factor);
      guaranteed += factor * endpoint.listed.capacity;
      listed += endpoint.listed.capacity;
    }
    if (guaranteed > 0 && warmest < 1) share->second = guaranteed / listed;
  }
  auto members = static_cast<double>(group.members.size());
  if (share->second >= 1 || members == 0) return kUnlimitedRate;
  if (settings_.admission_limit_kind == AdmissionLimitKind::share) return share->second;
  double usual_rate = group.expected_rate / members / static_cast<double>(settings_.classes.size());
  return share->second * usual_rate;
}

}  // namespace beamshunt
