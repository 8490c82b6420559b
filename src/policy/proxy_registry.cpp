#include "policy/proxy_registry.h"

#include <algorithm>
#include <utility>

#include "policy/report_validation.h"
#include "policy/smoothing.h"
#include "policy/subsetter.h"

namespace beamshunt {
namespace {

// Weight of the arrivals in one report: two reports contribute three quarters of an estimate.
constexpr double kArrivalSmoothing = 0.5;
// Proxies that may be summed for each event. The demand changes while many proxies register, but a sum over
// all proxies for each registration would take quadratic time.
constexpr double kMaxSummedProxiesPerEvent = 64;
// Requests per second of a proxy with an unknown rate if no other rate is known.
constexpr double kDefaultRate = 1;

}  // namespace

Proxy ProxyRegistry::make_proxy(const ProxyRegistered& event) const {
  Proxy proxy;
  proxy.expected_rate = event.expected_rate;
  if (!is_known_rate(event.expected_rate)) {
    double sum = 0;
    for (const auto& [id, other] : proxies_) sum += other.expected_rate;
    proxy.expected_rate = sum > 0 ? sum / static_cast<double>(proxies_.size()) : kDefaultRate;
  }
  proxy.group = {.locality = event.locality, .rate_band = rate_band(proxy.expected_rate)};
  proxy.arrivals.assign(settings_.classes.size(), -1);
  return proxy;
}

void ProxyRegistry::add(ProxyId id, Proxy proxy) {
  proxies_[id] = std::move(proxy);
  unassigned_.push_back(id);
}

Proxy* ProxyRegistry::find(ProxyId id) {
  auto found = proxies_.find(id);
  return found == proxies_.end() ? nullptr : &found->second;
}

void ProxyRegistry::apply(const DemandReport& report) {
  Proxy* proxy = find(report.proxy);
  if (proxy == nullptr || report.interval.count() <= 0) return;
  double& arrivals = proxy->arrivals[index_of(report.request_class)];
  smooth(arrivals, report.arrivals / (report.interval / Duration(1000)), kArrivalSmoothing, arrivals < 0);
}

std::optional<Time> ProxyRegistry::next_put_first_at() const {
  if (assigned_first_.empty()) return std::nullopt;
  return assigned_first_.front().at;
}

ProxyId ProxyRegistry::pop_unassigned() {
  if (!assigned_first_.empty()) {
    ProxyId first = assigned_first_.front().proxy;
    assigned_first_.pop_front();
    return first;
  }
  ProxyId id = unassigned_.front();
  unassigned_.pop_front();
  return id;
}

double ProxyRegistry::admitted_rate(const Proxy& proxy, const ProxyGroup* group,
                                    std::size_t request_class) const {
  double arrivals = proxy.arrivals[request_class];
  if (arrivals < 0) arrivals = proxy.expected_rate / static_cast<double>(proxy.arrivals.size());
  if (settings_.admission_limit_kind != AdmissionLimitKind::rate) return arrivals;
  if (group == nullptr || group->published_limits.empty()) return arrivals;
  double limit = group->published_limits[request_class].limit;
  return limit < 0 ? arrivals : std::min(arrivals, limit);
}

void ProxyRegistry::add_admitted_rates(const Proxy& proxy, ProxyGroup& group) const {
  group.admitted.resize(settings_.classes.size());
  for (std::size_t c = 0; c < settings_.classes.size(); ++c) {
    group.admitted[c] += admitted_rate(proxy, &group, c);
  }
}

bool ProxyRegistry::demand_is_stale_after(std::size_t events) {
  events_since_sum_ += static_cast<double>(events);
  return any_unassigned() &&
         events_since_sum_ * kMaxSummedProxiesPerEvent >= static_cast<double>(proxies_.size());
}

void ProxyRegistry::sum_demand(ProxyGroupMap& groups) {
  demand_ = Demand(settings_);
  for (auto& [key, group] : groups) group.admitted.assign(settings_.classes.size(), 0);
  for (const auto& [id, proxy] : proxies_) {
    auto found = groups.find(proxy.group);
    ProxyGroup* group = found == groups.end() ? nullptr : &found->second;
    for (std::size_t c = 0; c < settings_.classes.size(); ++c) {
      double rate = admitted_rate(proxy, group, c);
      demand_.add(proxy.group.locality, c, rate);
      if (proxy.assigned) group->admitted[c] += rate;
    }
  }
  events_since_sum_ = 0;
}

}  // namespace beamshunt
