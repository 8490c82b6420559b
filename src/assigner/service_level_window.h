// The weighted part of recent requests that was answered in time: the measure by which a version on trial is
// compared with what ran before it. Pure; decides nothing.
#pragma once

#include <deque>
#include <optional>

#include "telemetry/exporter.h"

namespace beamshunt::assigner {

class ServiceLevelWindow {
 public:
  // `min_requests`: with fewer in the window a single slow answer would look like a fall.
  explicit ServiceLevelWindow(double min_requests) : min_requests_(min_requests) {}

  // Adds a sample. All samples come from one core, in order of time: its counters only grow.
  void add(const telemetry::AssignerMetrics& figures);
  // Priority weight answered in time over priority weight offered, 0 to 1, over the shortest window up to the
  // last sample that holds enough requests; nothing while there are too few.
  [[nodiscard]] std::optional<double> value() const;
  // Requests that value() is made of; 0 while it is nothing.
  [[nodiscard]] double requests() const;

 private:
  struct Totals {  // since the start of the core
    double requests = 0;
    double offered_weight = 0;
    double served_weight = 0;
  };
  [[nodiscard]] const Totals* window_begin() const;  // null: too few requests

  double min_requests_;
  std::deque<Totals> samples_;
};

}  // namespace beamshunt::assigner
