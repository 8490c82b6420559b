// A configuration version on trial: for a time after it is applied it is held against what ran before it. It
// fails if service falls, or if one of the five rules reaches its limit that did not before. Pure: it reads
// samples; configuration_manager applies the outcome.
#pragma once

#include <array>
#include <optional>
#include <vector>

#include "assigner/service_level_window.h"
#include "base/time.h"
#include "config_stream/wire.h"
#include "telemetry/exporter.h"

namespace beamshunt::assigner {

using base::Ms;

// Of each rule: its worst value over its limit, so that 1 and above is a violation.
using RuleUsage = std::array<double, 5>;

class VersionTrial {
 public:
  struct Limits {
    Ms duration = 0;
    double max_service_drop = 0;  // of the part served in time, 0 to 1
    double min_requests = 0;      // that a service level must be made of
  };
  enum class State { running, passed, failed };

  // `service_before`: the service level before the version was applied, if it was known. Without it only the
  // rules are looked at. `usage_before`: a rule that was at its limit already is not held against the
  // version.
  VersionTrial(Limits limits, std::optional<double> service_before, const RuleUsage& usage_before, Ms now);

  // Takes a sample and says how the trial stands. `now` is monotonic. Not called again once it has ended.
  State evaluate(const telemetry::AssignerMetrics& figures, Ms now);
  // Why the trial failed; empty unless it has.
  [[nodiscard]] const std::vector<config_stream::Reason>& evidence() const { return evidence_; }

 private:
  void check_service();
  void check_rules(const RuleUsage& usage);

  Limits limits_;
  std::optional<double> service_before_;
  RuleUsage usage_before_;
  Ms started_;
  ServiceLevelWindow service_;
  std::array<int, 5> samples_over_{};  // by rule: samples in a row at its limit
  int samples_low_ = 0;                // samples in a row with the service level down
  std::vector<config_stream::Reason> evidence_;
};

}  // namespace beamshunt::assigner
