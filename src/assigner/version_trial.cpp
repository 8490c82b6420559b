#include "assigner/version_trial.h"

#include <fmt/format.h>

namespace beamshunt::assigner {
namespace {

// Samples in a row that show a fault. One alone may fall on a pause of the process or of the network, and a
// version that goes back is not tried again.
constexpr int kMinSamplesInARow = 2;

}  // namespace

VersionTrial::VersionTrial(Limits limits, std::optional<double> service_before, const RuleUsage& usage_before,
                           Ms now)
    : limits_(limits),
      service_before_(service_before),
      usage_before_(usage_before),
      started_(now),
      service_(limits.min_requests) {}

VersionTrial::State VersionTrial::evaluate(const telemetry::AssignerMetrics& figures, Ms now) {
  service_.add(figures);
  check_service();
  check_rules(figures.rule_usage);
  if (!evidence_.empty()) return State::failed;
  return now - started_ >= limits_.duration ? State::passed : State::running;
}

void VersionTrial::check_service() {
  std::optional<double> service = service_.value();
  bool low = service_before_ && service && *service < *service_before_ - limits_.max_service_drop;
  samples_low_ = low ? samples_low_ + 1 : 0;
  if (samples_low_ < kMinSamplesInARow) return;
  evidence_.push_back({"watch", "",
                       fmt::format("the part served in time fell from {:.3f} to {:.3f} over {:.0f} requests",
                                   *service_before_, *service, service_.requests()),
                       ""});
}

void VersionTrial::check_rules(const RuleUsage& usage) {
  for (std::size_t k = 0; k < usage.size(); ++k) {
    bool over = usage[k] >= 1 && usage_before_[k] < 1;
    samples_over_[k] = over ? samples_over_[k] + 1 : 0;
    if (samples_over_[k] < kMinSamplesInARow) continue;
    evidence_.push_back({fmt::format("rule {}", k + 1), "",
                         fmt::format("came to {:.2f} of its limit, from {:.2f}", usage[k], usage_before_[k]),
                         ""});
  }
}

}  // namespace beamshunt::assigner
