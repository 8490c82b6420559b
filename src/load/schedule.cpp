#include "load/schedule.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <random>

namespace beamshunt::load {
namespace {

constexpr double kBurstPart = 0.1;  // of a period

double most(const Rate& r) {
  switch (r.shape) {
    case Shape::burst:
    case Shape::wave:
      return r.mean * std::max(1.0, r.times);
    case Shape::ramp:
      return r.mean * 2;
    case Shape::constant:
      break;
  }
  return r.mean;
}

}  // namespace

std::optional<Shape> shape_named(std::string_view name) {
  if (name == "constant") return Shape::constant;
  if (name == "burst") return Shape::burst;
  if (name == "ramp") return Shape::ramp;
  if (name == "wave") return Shape::wave;
  return std::nullopt;
}

double rate_at(const Rate& r, Ms at) {
  double part = std::fmod(at, r.period) / r.period;
  switch (r.shape) {
    case Shape::burst: {
      double rest = std::max(0.0, (1 - kBurstPart * r.times) / (1 - kBurstPart));
      return r.mean * (part < kBurstPart ? r.times : rest);
    }
    case Shape::ramp:
      return r.mean * 2 * std::clamp(at / r.length, 0.0, 1.0);
    case Shape::wave:
      return r.mean * std::max(0.0, 1 + (r.times - 1) * std::sin(2 * std::numbers::pi * part));
    case Shape::constant:
      break;
  }
  return r.mean;
}

std::optional<Ms> Schedule::next() {
  double top = most(rate_);
  if (top <= 0) return std::nullopt;
  std::exponential_distribution<double> gap(top / 1000);
  std::uniform_real_distribution<double> chance(0, top);
  do {
    at_ += gap(random_);
    if (at_ >= rate_.length) return std::nullopt;
  } while (chance(random_) >= rate_at(rate_, at_));
  return at_;
}

}  // namespace beamshunt::load
