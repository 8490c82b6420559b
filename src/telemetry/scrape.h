// Samples as they are kept and sent: a scrape is the value of every series at one instant. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace beamshunt::telemetry {

// Name and value of each label, sorted by name; the metric's name is the value of kName.
using Labels = std::vector<std::pair<std::string, std::string>>;
inline const char* const kName = "__name__";

struct Point {
  Labels labels;
  double value = 0;
};

struct Scrape {
  std::int64_t at_ms = 0;  // since 1970
  std::vector<Point> points;
};

// The instant of the next scrape, in ms since 1970: the wall clock's, but always after the last one. The wall
// clock may step back, and a receiver refuses a sample that is not newer than the last one of its series.
std::int64_t next_stamp(std::int64_t last_ms, double wall_ms);

// The label's value; empty if there is none.
const std::string& label_of(const Labels& labels, const std::string& name);

// `name{a="b"}`, for people and as a key.
std::string to_string(const Labels& labels);

// The NaN that says, by Prometheus' specification, that a series has ended.
double stale_marker();
// Whether `value` is that NaN, bit for bit: other NaNs are values.
bool is_stale_marker(double value);

}  // namespace beamshunt::telemetry
