#include "assigner/intake.h"

#include <algorithm>

namespace beamshunt::assigner {

Intake::Sum& Intake::sum(const Key& key, Ms begun, Ms ended) {
  auto [found, fresh] = sums_.try_emplace(key, Sum{begun, ended, ended, 0, 0, 0, {}});
  if (fresh) order_.push_back(key);
  found->second.begun = std::min(found->second.begun, begun);
  found->second.ended = std::max(found->second.ended, ended);
  return found->second;
}

void Intake::heard(Locality from, const channel::EndpointReportEntry& line, Ms begun, Ms ended) {
  Sum& s = sum(PathKey{from, EndpointId(line.endpoint)}, begun, ended);
  double good = line.attempts - line.failed, before = s.tries - s.failed;
  if (good > 0) s.latency = (s.latency * before + line.mean_latency_ms * good) / (before + good);
  s.tries += line.attempts, s.failed += line.failed;
  if (!line.load.empty()) s.load = LoadReport(line.load.begin(), line.load.end());
}

void Intake::used(ProxyId proxy, const channel::DemandReportEntry& line, Ms begun, Ms ended) {
  Sum& s = sum(UseKey{proxy, ClassId(line.request_class)}, begun, ended);
  s.tries += line.arrivals, s.failed += line.failed;
}

void Intake::forget(ProxyId proxy) {
  auto its = [&](const Key& key) {
    auto* use = std::get_if<UseKey>(&key);
    return use && use->first == proxy;
  };
  std::erase_if(sums_, [&](auto& item) { return its(item.first); });
  std::erase_if(order_, its);
}

std::vector<Event> Intake::release(Ms now) {
  if (released_ >= 0) allowance_ += lines_per_s_ * std::max(0.0, now - released_) / 1000;
  allowance_ = std::min(allowance_, std::max(lines_per_s_, 1.0));
  released_ = now;
  std::vector<Event> out;
  for (; !order_.empty() && allowance_ >= 1; order_.pop_front(), --allowance_) {
    auto item = sums_.extract(order_.front());
    const Sum& s = item.mapped();
    Duration span(s.ended - s.begun);
    if (auto* path = std::get_if<PathKey>(&item.key()))
      out.push_back(
          EndpointReport{path->first, path->second, s.tries, s.failed, Duration(s.latency), span, s.load});
    else if (auto* use = std::get_if<UseKey>(&item.key()))
      out.push_back(DemandReport{use->first, use->second, s.tries, s.failed, span});
  }
  return out;
}

}  // namespace beamshunt::assigner
