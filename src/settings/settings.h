// Parses the settings of a controller from path=value pairs, which come from the simulator's first message or
// from the platform's configuration. This package needs no third-party library and performs no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/controller.h"

namespace beamshunt::settings {

// Thrown for input that can't be used. what() gives the setting or field, the problem and, if there is one,
// the value.
struct InputError : std::runtime_error {
  explicit InputError(const std::string& message) : std::runtime_error(message) {}
  // `subject` is the setting or field, `problem` a predicate such as "is not a number", and `text` the value.
  InputError(std::string_view subject, std::string_view problem, std::string_view text)
      : std::runtime_error(std::string(subject) + " " + std::string(problem) + ": '" + std::string(text) +
                           "'") {}
};

// The names of the localities and request classes in the settings. The index of a name is the numeric value
// of its Locality or ClassId.
struct Names {
  std::vector<std::string> localities;
  std::vector<std::string> classes;
};
// Returns the locality or request class with the given name. Throws InputError if the settings have no such
// name.
Locality find_locality(const Names& names, std::string_view name);
ClassId find_request_class(const Names& names, std::string_view name);

// Setting values by path, such as "classes.0.slo".
using Values = std::map<std::string, std::string>;

// Parses space-separated path=value pairs. If a path repeats, its last value counts. Throws InputError for a
// part that is not of this form.
Values parse_pairs(std::string_view text);

// Parses the settings. Durations are in milliseconds, and unknown paths are ignored. Throws InputError, with
// the path, if a required path is missing or a value can't be used.
std::pair<Settings, Names> parse(std::uint64_t seed, const Values& values);

}  // namespace beamshunt::settings
