// What can be said of a figure that chance moves from seed to seed.
#pragma once

#include <string>
#include <vector>

namespace beamshunt::experiment {

struct Estimate {
  double mean = 0;
  double half = 0;  // of the interval that holds the true mean in 95 of 100 cases; infinite for a single seed
  std::size_t seeds = 0;
};
Estimate estimate(const std::vector<double>& values);

// Whether two means differ by more than chance makes them, by Welch's test at 95%.
enum class Difference { none, less, more };
Difference compare(const std::vector<double>& values, const std::vector<double>& to);

}  // namespace beamshunt::experiment
