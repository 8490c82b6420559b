// JSON text that is nested more deeply than a function that calls itself for each level can follow.
#pragma once

#include <cstddef>
#include <string>

namespace beamshunt::test {

constexpr std::size_t kNestedLevels = 400000;

inline std::string nested_arrays(std::size_t levels = kNestedLevels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

inline std::string nested_objects(std::size_t levels = kNestedLevels) {
  std::string text;
  for (std::size_t level = 0; level < levels; ++level) text += "{\"a\":";
  return text + "1" + std::string(levels, '}');
}

}  // namespace beamshunt::test
