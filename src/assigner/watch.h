// What a version of the settings does once it runs: for a time it is held against what was before it. Pure.
#pragma once

#include <array>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"
#include "config_stream/wire.h"
#include "telemetry/exporter.h"

namespace beamshunt::assigner {

using base::Ms;

// The part of the worth asked for that was answered in time, over the last requests.
class ServedPart {
 public:
  explicit ServedPart(double least_requests) : least_(least_requests) {}
  void note(const telemetry::AssignerMetrics& figures);  // of the same core, in order of time
  // Over the shortest stretch of looks that has enough requests; nothing while there are too few.
  std::optional<double> value() const;
  double requests() const;  // that value() is made of

 private:
  struct Sum {
    double requests = 0, worth = 0, served = 0;
  };
  const Sum* begin() const;
  double least_;
  std::deque<Sum> sums_;  // since the start, at each look
};

class Watch {
 public:
  struct Limits {
    Ms time = 0;
    double service_drop = 0, least_requests = 0;
  };
  enum class State { watching, passed, broken };

  // `before`: served then, if it is known; `margins`: how near each rule was to its limit.
  Watch(Limits limits, std::optional<double> before, const std::array<double, 5>& margins, Ms now)
      : limits_(limits), before_(before), margins_(margins), begun_(now), served_(limits.least_requests) {}
  State look(const telemetry::AssignerMetrics& figures, Ms now);
  const std::vector<config_stream::Reason>& evidence() const { return evidence_; }

 private:
  Limits limits_;
  std::optional<double> before_;
  std::array<double, 5> margins_;
  Ms begun_;
  ServedPart served_;
  std::array<int, 5> over_{};  // looks in a row with a rule over its limit
  int low_ = 0;                // looks in a row with the service down
  std::vector<config_stream::Reason> evidence_;
};

}  // namespace beamshunt::assigner
