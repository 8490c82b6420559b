// When requests are due: an open-loop arrival process by seed, whatever becomes of the requests. Pure.
#pragma once

#include <optional>
#include <pcg_random.hpp>
#include <string_view>

#include "base/time.h"

namespace beamshunt::load {

using base::Ms;

enum class Shape { constant, burst, ramp, wave };
std::optional<Shape> shape_named(std::string_view name);

struct Rate {
  double mean = 0;  // requests a second
  Shape shape = Shape::constant;
  double times =
      3;  // burst: so many times the mean for a tenth of each period; wave: the crest over the mean
  Ms period = 10000;  // of bursts and waves
  Ms length = 10000;  // a ramp goes from nothing to twice the mean within it
};
// Requests a second at an instant since the start. The mean over a period (over the length, of a ramp) is
// `mean`.
double rate_at(const Rate& rate, Ms at);

// Poisson arrivals of a rate that changes, by thinning.
class Schedule {
 public:
  Schedule(const Rate& rate, std::uint64_t seed) : rate_(rate), random_(seed) {}
  // The next instant since the start; nothing after the length.
  std::optional<Ms> next();

 private:
  Rate rate_;
  pcg32 random_;
  Ms at_ = 0;
};

}  // namespace beamshunt::load
