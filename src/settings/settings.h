// Reads the settings that a controller starts with from path=value texts, whatever brought them: the
// simulator's
// first message or the platform's configuration. It builds without the program's libraries and performs
// no I/O.
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

// An input that can't be used: what() says which item it is, what is wrong with it and, if there is one,
// its value.
struct InputError : std::runtime_error {
  explicit InputError(const std::string& message) : std::runtime_error(message) {}
  // `subject`: the setting or field; `problem`: what is wrong, such as "is not a number"; `text`: its value.
  InputError(std::string_view subject, std::string_view problem, std::string_view text)
      : std::runtime_error(std::string(subject) + " " + std::string(problem) + ": '" + std::string(text) +
                           "'") {}
};

// Names of localities and request classes, by position, as the settings give them.
struct Names {
  std::vector<std::string> localities;
  std::vector<std::string> classes;
};
// The position of a name. Throws InputError for a name that is not among the settings.
Locality find_locality(const Names& names, std::string_view name);
ClassId find_request_class(const Names& names, std::string_view name);

// Texts by path, such as "classes.0.slo".
using Values = std::map<std::string, std::string>;

// Reads "path=value path=value". Throws InputError for a part that is not of this form.
Values parse_pairs(std::string_view text);

// Reads the settings. Unknown paths are skipped. Throws InputError naming a needed path that is missing
// or whose
// value can't be used. Durations are in milliseconds.
std::pair<Settings, Names> parse(std::uint64_t seed, const Values& values);

}  // namespace beamshunt::settings
