// Samples as they are kept and sent: a scrape is every series' value at one instant.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace beamshunt::telemetry {

using Labels = std::vector<std::pair<std::string, std::string>>;  // sorted by name, "__name__" among them

// The instant of the next scrape: the wall clock's, but always after the last one, for time may step back
// and a series' samples may not.
std::int64_t next_stamp(std::int64_t last_ms, double wall_ms);

struct Point {
  Labels labels;
  double value = 0;
};

struct Scrape {
  std::int64_t at_ms = 0;  // since 1970
  std::vector<Point> points;
};

inline const char* const kName = "__name__";
// The label's value; empty if there is none.
const std::string& label_of(const Labels& labels, const std::string& name);

// "name{a="b"}", for people and as a key.
std::string to_string(const Labels& labels);

}  // namespace beamshunt::telemetry
