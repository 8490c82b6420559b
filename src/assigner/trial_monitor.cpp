#include "assigner/trial_monitor.h"

namespace beamshunt::assigner {

std::optional<TrialMonitor::Outcome> TrialMonitor::sample(const telemetry::AssignerMetrics& figures, Ms now) {
  service_.add(figures);
  if (!trial_) {
    usage_ = figures.rule_usage;
    return std::nullopt;
  }
  VersionTrial::State state = trial_->evaluate(figures, now);
  if (state == VersionTrial::State::running) return std::nullopt;
  Outcome outcome{state == VersionTrial::State::passed, trial_->evidence()};
  trial_.reset();
  return outcome;
}

}  // namespace beamshunt::assigner
