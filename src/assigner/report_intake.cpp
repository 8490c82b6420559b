#include "assigner/report_intake.h"

#include <algorithm>

namespace beamshunt::assigner {

ReportIntake::Sum& ReportIntake::sum(const Key& key, Ms begin, Ms end) {
  auto [found, is_new] = sums_.try_emplace(key, Sum{.begin = begin, .end = end, .first_added_at = end});
  if (is_new) order_.push_back(key);
  found->second.begin = std::min(found->second.begin, begin);
  found->second.end = std::max(found->second.end, end);
  return found->second;
}

void ReportIntake::add_endpoint_report(Locality from, const native_protocol::EndpointReportEntry& entry,
                                       Ms begin, Ms end) {
  Sum& s = sum(EndpointKey{from, EndpointId(entry.endpoint)}, begin, end);
  double successful = entry.attempts - entry.failed;
  double successful_before = s.total - s.failed;
  if (successful > 0)
    s.mean_latency = (s.mean_latency * successful_before + entry.mean_latency_ms * successful) /
                     (successful_before + successful);
  s.total += entry.attempts;
  s.failed += entry.failed;
  if (!entry.load.empty()) s.load = LoadReport(entry.load.begin(), entry.load.end());
}

void ReportIntake::add_demand_report(ProxyId proxy, const native_protocol::DemandReportEntry& entry, Ms begin,
                                     Ms end) {
  Sum& s = sum(DemandKey{proxy, ClassId(entry.request_class)}, begin, end);
  s.total += entry.arrivals;
  s.failed += entry.failed;
}

void ReportIntake::remove_proxy(ProxyId proxy) {
  auto is_of_proxy = [&](const Key& key) {
    const auto* demand = std::get_if<DemandKey>(&key);
    return demand && demand->first == proxy;
  };
  std::erase_if(sums_, [&](const auto& item) { return is_of_proxy(item.first); });
  std::erase_if(order_, is_of_proxy);
}

std::vector<Event> ReportIntake::release(Ms now) {
  if (released_at_ >= 0) allowance_ += entries_per_second_ * std::max(0.0, now - released_at_) / 1000;
  allowance_ = std::min(allowance_, std::max(entries_per_second_, 1.0));
  released_at_ = now;
  std::vector<Event> out;
  for (; !order_.empty() && allowance_ >= 1; --allowance_) {
    auto item = sums_.extract(order_.front());
    order_.pop_front();
    const Sum& s = item.mapped();
    Duration interval(s.end - s.begin);
    if (const auto* path = std::get_if<EndpointKey>(&item.key()))
      out.emplace_back(EndpointReport{path->first, path->second, s.total, s.failed, Duration(s.mean_latency),
                                      interval, s.load});
    else if (const auto* demand = std::get_if<DemandKey>(&item.key()))
      out.emplace_back(DemandReport{demand->first, demand->second, s.total, s.failed, interval});
  }
  return out;
}

Ms ReportIntake::oldest_wait(Ms now) const {
  if (order_.empty()) return 0;
  return std::max(0.0, now - sums_.at(order_.front()).first_added_at);
}

}  // namespace beamshunt::assigner
