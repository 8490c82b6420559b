// Detects steps of the wall clock by comparing it with the monotonic clock. When a machine is suspended and
// resumed, its wall clock jumps forward; in 2026 it once jumped by 46 s during a run of a scenario.
// Timestamps around a step are that far apart although no process was late.
#pragma once

#include <cmath>
#include <optional>
#include <vector>

#include "base/time.h"

namespace beamshunt::base {

// Records the steps of the wall clock between consecutive samples of both clocks.
class ClockStepDetector {
 public:
  // A change of the wall clock that the monotonic clock did not show.
  struct Step {
    Ms from = 0, to = 0;  // wall times of the two samples that enclose the step
    Ms offset = 0;        // size of the step: positive if forward, negative if back
  };

  // Adds a sample: the wall clock read at `wall`, between two readings of the monotonic clock, `before` and
  // `after`. A sample is ignored if the process was delayed between the readings, because the wall clock
  // can't be compared with the monotonic one then.
  void sample(Ms before, Ms wall, Ms after) {
    if (after - before > kMaxReadingGap) return;
    if (last_) {
      Ms offset = (wall - last_->wall) - (after - last_->monotonic);
      if (std::abs(offset) > kMinStep) steps_.push_back({last_->wall, wall, offset});
    }
    last_ = {wall, after};
  }
  // Reads both clocks and adds the sample.
  void sample() {
    Ms before = monotonic_ms(), wall = wall_ms();
    sample(before, wall, monotonic_ms());
  }
  const std::vector<Step>& steps() const { return steps_; }

  // Returns the total size of the forward steps between two wall-clock timestamps, `from` read before a step
  // and `to` after it. Steps back do not count.
  Ms forward_offset(Ms from, Ms to) const {
    Ms sum = 0;
    for (const Step& s : steps_)
      if (s.offset > 0 && from <= s.to - s.offset && to >= s.from + s.offset) sum += s.offset;
    return sum;
  }

 private:
  static constexpr Ms kMaxReadingGap = 1;  // a sample's wall time may be inaccurate by this much
  static constexpr Ms kMinStep = 20;       // slewing changes a clock by less within 30 s between samples
  struct Sample {
    Ms wall = 0, monotonic = 0;
  };
  std::optional<Sample> last_;
  std::vector<Step> steps_;
};

}  // namespace beamshunt::base
