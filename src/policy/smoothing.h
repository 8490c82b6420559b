// Exponential smoothing, as all estimates use it.
#pragma once

namespace beamshunt {

// Moves `average` towards `sample` by the part `weight` (0 to 1); the first sample replaces it.
inline void smooth(double& average, double sample, double weight, bool first = false) {
  average = first ? sample : average + weight * (sample - average);
}

}  // namespace beamshunt
