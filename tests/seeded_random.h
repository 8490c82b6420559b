// Pseudorandom numbers for tests.
#pragma once

#include <cstddef>
#include <cstdint>

namespace beamshunt::test {

// A linear congruential generator. The same seed gives the same numbers in every run and on every machine.
class SeededRandom {
 public:
  explicit SeededRandom(std::uint32_t seed) : state_(seed) {}
  // Returns the next number, from 0 to `limit` - 1. `limit` must not be 0.
  std::uint32_t operator()(std::size_t limit) {
    state_ = state_ * 1664525 + 1013904223;
    return static_cast<std::uint32_t>((state_ >> 8) % limit);
  }

 private:
  std::uint32_t state_;
};

}  // namespace beamshunt::test
