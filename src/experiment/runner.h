// Runs what of an experiment has not run yet, on all cores, and keeps each run as it ends.
#pragma once

#include <functional>
#include <string>

#include "experiment/results.h"

namespace beamshunt::experiment {

struct RunOptions {
  std::string journal;
  std::size_t threads = 1;
  std::function<void(std::size_t done, std::size_t all)> progress = [](std::size_t, std::size_t) {};
};
// Figures of real time (deciding, longest_turn) are disturbed by what else the machine does, other runs
// included; all others are the same on any number of threads. Throws what the emulator and the journal throw.
Results run(const Plan& plan, const RunOptions& options);

}  // namespace beamshunt::experiment
