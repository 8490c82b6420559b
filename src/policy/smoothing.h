// Exponential smoothing, used by all estimates.
#pragma once

namespace beamshunt {

// Moves `average` towards `sample` by the fraction `weight` (0 to 1). If `first` is true, `sample` replaces
// `average`.
inline void smooth(double& average, double sample, double weight, bool first = false) {
  average = first ? sample : average + weight * (sample - average);
}

}  // namespace beamshunt
