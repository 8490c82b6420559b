// Seeded draws for tests: the same in every run and on every machine.
#pragma once

#include <cstddef>
#include <cstdint>

namespace beamshunt::test {

class SeededRandom {
 public:
  explicit SeededRandom(std::uint32_t seed) : state_(seed) {}
  std::uint32_t operator()(std::size_t below) {
    state_ = state_ * 1664525 + 1013904223;
    return static_cast<std::uint32_t>((state_ >> 8) % below);
  }

 private:
  std::uint32_t state_;
};

}  // namespace beamshunt::test
