#include "assigner/service_level_window.h"

namespace beamshunt::assigner {
namespace {

// A minute of samples at one each 250 ms: traffic that needs longer to bring enough requests is not measured.
constexpr std::size_t kMaxSamples = 240;

}  // namespace

void ServiceLevelWindow::add(const telemetry::AssignerMetrics& figures) {
  Totals totals;
  for (const auto& service : figures.service) {
    // A request counts from its arrival: one answered too late or never is reported only when it ends.
    totals.requests += static_cast<double>(service.arrivals);
    totals.offered_weight += service.priority_weight * static_cast<double>(service.arrivals);
    totals.served_weight += service.priority_weight * static_cast<double>(service.in_time);
  }
  samples_.push_back(totals);
  if (samples_.size() > kMaxSamples) samples_.pop_front();
}

const ServiceLevelWindow::Totals* ServiceLevelWindow::window_begin() const {
  for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample)
    if (samples_.back().requests - sample->requests >= min_requests_) return &*sample;
  return nullptr;
}

std::optional<double> ServiceLevelWindow::value() const {
  const Totals* begin = window_begin();
  if (!begin) return std::nullopt;
  const Totals& end = samples_.back();
  if (end.offered_weight <= begin->offered_weight) return std::nullopt;
  return (end.served_weight - begin->served_weight) / (end.offered_weight - begin->offered_weight);
}

double ServiceLevelWindow::requests() const {
  const Totals* begin = window_begin();
  return begin ? samples_.back().requests - begin->requests : 0;
}

}  // namespace beamshunt::assigner
