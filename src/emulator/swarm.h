// Many days drawn by seed, each with troubles of its own, played in simulated time and judged by the five
// rules; a day that fails is made smaller until nothing can be left out, and given back as a day file.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "day/day.h"
#include "emulator/emulator.h"

namespace beamshunt::emulator {

struct SwarmOptions {
  std::size_t days = 100;
  std::uint64_t seed = 1;
  std::size_t threads = 1;
  std::size_t most_troubles = 5;  // of a day
  std::string sabotage;           // for the proof that the swarm finds what it looks for
  std::function<void(std::size_t done)> progress = [](std::size_t) {};
};

struct Failure {
  std::uint64_t seed = 0;          // of the day
  std::string what;                // the first break: rule, time, proxy, server
  std::size_t troubles_first = 0;  // before it was made smaller
  std::string day_file;            // to be played with this seed; unifies with the swarm's own files
};

struct SwarmResult {
  std::size_t days = 0;
  double service = 0, worst = 1;  // mean, least
  std::uint64_t events = 0;
  std::uint64_t fingerprint = 0;  // of all days in their order: equal whatever the number of threads
  std::vector<Failure> failures;  // in the order of the days
};

// Days on the stage that the files give. Where it has troubles of its own it is a template: these are
// played on every seed, and none are drawn. A day fails by a rule, a refused stream, or less service than
// it expects. Throws config::ConfigError.
SwarmResult swarm(const std::vector<config::Source>& files, const SwarmOptions& options);

}  // namespace beamshunt::emulator
