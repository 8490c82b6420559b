// Samples the assigner's figures: between trials to know how things stood before, during one to judge the
// version on trial. Pure; configuration_manager acts on the outcome.
#pragma once

#include <optional>
#include <vector>

#include "assigner/version_trial.h"

namespace beamshunt::assigner {

class TrialMonitor {
 public:
  struct Outcome {
    bool passed = false;
    std::vector<config_stream::Reason> evidence;  // of a trial that failed
  };

  explicit TrialMonitor(VersionTrial::Limits limits) : limits_(limits), service_(limits.min_requests) {}

  // A trial of the version that has just been applied, against what was sampled before.
  void begin(Ms now) { trial_.emplace(limits_, service_.value(), usage_, now); }
  // A trial that the process begins with: how things stood before is not known.
  void begin_without_baseline(Ms now) { trial_.emplace(limits_, std::nullopt, usage_, now); }
  void cancel() { trial_.reset(); }
  [[nodiscard]] bool is_running() const { return trial_.has_value(); }

  // Takes a sample; an outcome ends the trial. `now` is monotonic.
  std::optional<Outcome> sample(const telemetry::AssignerMetrics& figures, Ms now);

 private:
  VersionTrial::Limits limits_;
  ServiceLevelWindow service_;
  RuleUsage usage_{};  // outside of a trial, as last sampled
  std::optional<VersionTrial> trial_;
};

}  // namespace beamshunt::assigner
