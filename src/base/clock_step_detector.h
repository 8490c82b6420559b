// Steps of the wall clock, seen beside the monotonic one. A machine that is set aside and taken up again
// finds its wall clock moved on, in 2026 once by 46 s amid a day: stamps lie that far apart though nobody was
// late.
#pragma once

#include <cmath>
#include <optional>
#include <vector>

#include "base/time.h"

namespace beamshunt::base {

class ClockStepDetector {
 public:
  struct Step {
    Ms from = 0, to = 0;  // wall times of the looks between which it lies
    Ms offset = 0;        // forward; back is below 0
  };

  // A reading of the wall clock between two of the monotonic one. One that was held up between them tells
  // nothing.
  void sample(Ms before, Ms wall, Ms after) {
    if (after - before > kHeldUp) return;
    if (last_) {
      Ms offset = (wall - last_->wall) - (after - last_->monotonic);
      if (std::abs(offset) > kLeast) steps_.push_back({last_->wall, wall, offset});
    }
    last_ = {wall, after};
  }
  void sample() {
    Ms before = monotonic_ms(), wall = wall_ms();
    sample(before, wall, monotonic_ms());
  }
  const std::vector<Step>& steps() const { return steps_; }

  // How far the clock stepped forward between two stamps: the first was taken before a step, the second after
  // it.
  Ms forward_offset(Ms from, Ms to) const {
    Ms sum = 0;
    for (const Step& s : steps_)
      if (s.offset > 0 && from <= s.to - s.offset && to >= s.from + s.offset) sum += s.offset;
    return sum;
  }

 private:
  static constexpr Ms kHeldUp = 1;  // ms: what a reading may be off by
  static constexpr Ms kLeast = 20;  // ms between looks: a clock that is only slewed is off by less in 30 s
  struct Look {
    Ms wall = 0, monotonic = 0;
  };
  std::optional<Look> last_;
  std::vector<Step> steps_;
};

}  // namespace beamshunt::base
