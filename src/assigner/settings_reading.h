// Helpers of the functions that turn a checked settings tree into typed settings. Internal to this package.
#pragma once

#include <initializer_list>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "assigner/settings_error.h"
#include "config/value.h"
#include "net/address.h"
#include "policy/controller.h"

namespace beamshunt::assigner {

// Throws SettingsError for the value at `tree`.
[[noreturn]] inline void reject_setting(const config::Tree& tree, const std::string& path,
                                        const std::string& expected) {
  throw SettingsError(tree.from, path, tree.text, expected);
}

// The enumerator that stands for the word at `name`. The schema allows only words that are in `choices`; a
// missing one is a slip of the program: std::logic_error.
template <typename Enum>
Enum choice_of(const config::Tree& tree, std::string_view name,
               std::initializer_list<std::pair<const char*, Enum>> choices) {
  for (const auto& [word, value] : choices)
    if (tree.string(name) == word) return value;
  throw std::logic_error("the schema knows a choice that the program does not");
}

// The schema has checked that the text is an address.
inline net::Address address_of(const config::Tree& tree) { return *net::parse_address(tree.text); }

// Durations are in ms, as the tree has them.
inline Duration duration_of(const config::Tree& tree, std::string_view name) {
  return Duration(tree.real(name));
}

}  // namespace beamshunt::assigner
