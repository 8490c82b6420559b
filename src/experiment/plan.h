// An experiment as a file gives it: a day, what of it is swept, under which policies, over how many
// seeds, and the plots wanted of it. docs/experiments.md describes the file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "day/day.h"
#include "emulator/host.h"

namespace beamshunt::experiment {

using base::Ms;

struct Sweep {
  std::string name, unit;
  std::vector<double> values;
  std::vector<std::string> set;  // settings, in which {name}, {name*k} and {name/k} stand for the value
};

struct PlotWanted {
  enum class Kind { lines, heat, histogram, time };
  std::string name, title;
  Kind kind{};
  std::string x, y, by;  // a sweep's name; a figure or a series; a sweep's name or "policy"
  bool log_x = false, log_y = false;
};

struct Plan {
  std::string name, about, text;  // text: the file itself
  std::vector<config::Source> stage;
  std::vector<emulator::Policy> policies;
  std::uint64_t first_seed = 1, seeds = 1;
  Ms sample = 0;
  std::vector<Sweep> sweeps;
  std::vector<PlotWanted> plots;
  std::uint64_t hash = 0;  // of the file and the days it names: results of another one don't mix with these

  std::size_t points() const;
  // The values of all sweeps at a point, in the sweeps' order; the last sweep's changes first.
  std::vector<double> values(std::size_t point) const;
  day::Day day(std::size_t point) const;  // throws config::ConfigError
};

struct Run {
  std::size_t point = 0;
  emulator::Policy policy{};
  std::uint64_t seed = 0;
  std::string key() const;  // of its own within the plan
};
std::vector<Run> runs_of(const Plan& plan);

// Days are looked for from the file's folder on. All points are checked: what a value makes impossible is
// said before anything runs. Throws config::ConfigError and std::runtime_error.
Plan read_plan(const std::string& file);
// The plots that an experiment's text asks for; `text` as kept in results.
std::vector<PlotWanted> plots_of(const std::string& text, const std::string& name);

}  // namespace beamshunt::experiment
