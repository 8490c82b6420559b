#include "assigner/report_intake.h"

#include <algorithm>

namespace beamshunt::assigner {

ReportIntake::Aggregate& ReportIntake::find_or_add(const Key& key, Ms begin, Ms end) {
  auto [found, is_new] =
      aggregates_.try_emplace(key, Aggregate{.begin = begin, .end = end, .first_added_at = end});
  if (is_new) release_order_.push_back(key);
  found->second.begin = std::min(found->second.begin, begin);
  found->second.end = std::max(found->second.end, end);
  return found->second;
}

void ReportIntake::add_endpoint_report(Locality proxy_locality,
                                       const native_protocol::EndpointReportEntry& entry, Ms begin, Ms end) {
  Aggregate& aggregate = find_or_add(EndpointKey{proxy_locality, EndpointId(entry.endpoint)}, begin, end);
  double successful = entry.attempts - entry.failed;
  double successful_before = aggregate.total - aggregate.failed;
  if (successful > 0)
    aggregate.mean_latency =
        (aggregate.mean_latency * successful_before + entry.mean_latency_ms * successful) /
        (successful_before + successful);
  aggregate.total += entry.attempts;
  aggregate.failed += entry.failed;
  if (!entry.load.empty()) aggregate.load = LoadReport(entry.load.begin(), entry.load.end());
}

void ReportIntake::add_demand_report(ProxyId proxy, const native_protocol::DemandReportEntry& entry, Ms begin,
                                     Ms end) {
  Aggregate& aggregate = find_or_add(DemandKey{proxy, ClassId(entry.request_class)}, begin, end);
  aggregate.total += entry.arrivals;
  aggregate.failed += entry.failed;
}

void ReportIntake::remove_proxy(ProxyId proxy) {
  auto belongs_to_proxy = [&](const Key& key) {
    const auto* demand = std::get_if<DemandKey>(&key);
    return demand && demand->first == proxy;
  };
  std::erase_if(aggregates_, [&](const auto& item) { return belongs_to_proxy(item.first); });
  std::erase_if(release_order_, belongs_to_proxy);
}

std::vector<Event> ReportIntake::release(Ms now) {
  if (last_release_at_ >= 0) tokens_ += entries_per_second_ * std::max(0.0, now - last_release_at_) / 1000;
  tokens_ = std::min(tokens_, std::max(entries_per_second_, 1.0));
  last_release_at_ = now;
  std::vector<Event> events;
  for (; !release_order_.empty() && tokens_ >= 1; --tokens_) {
    auto item = aggregates_.extract(release_order_.front());
    release_order_.pop_front();
    const Aggregate& aggregate = item.mapped();
    Duration interval(aggregate.end - aggregate.begin);
    if (const auto* endpoint = std::get_if<EndpointKey>(&item.key()))
      events.emplace_back(EndpointReport{endpoint->first, endpoint->second, aggregate.total, aggregate.failed,
                                         Duration(aggregate.mean_latency), interval, aggregate.load});
    else if (const auto* demand = std::get_if<DemandKey>(&item.key()))
      events.emplace_back(
          DemandReport{demand->first, demand->second, aggregate.total, aggregate.failed, interval});
  }
  return events;
}

Ms ReportIntake::oldest_wait(Ms now) const {
  if (release_order_.empty()) return 0;
  return std::max(0.0, now - aggregates_.at(release_order_.front()).first_added_at);
}

}  // namespace beamshunt::assigner
