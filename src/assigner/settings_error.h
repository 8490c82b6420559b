// Settings that the schema allows and that still can't be right, such as a locality that is named twice.
#pragma once

#include <string>

#include "config/value.h"

namespace beamshunt::assigner {

// A setting that is rejected. what() is "file:line:column: path: reason", as config::ConfigError has it, so
// that whoever prints the one prints the other.
class SettingsError : public config::ConfigError {
 public:
  // `path` such as "site.classes[0].name"; `value` as given, empty for a structure or a list; `expected` says
  // what would be right or what is wrong with the value.
  SettingsError(config::Position at, std::string path, std::string value, std::string expected)
      : config::ConfigError(config::to_string(at) + ": " + path + ": " + expected),
        at_(std::move(at)),
        path_(std::move(path)),
        value_(std::move(value)),
        expected_(std::move(expected)) {}

  [[nodiscard]] const config::Position& at() const { return at_; }
  [[nodiscard]] const std::string& path() const { return path_; }
  [[nodiscard]] const std::string& value() const { return value_; }
  [[nodiscard]] const std::string& expected() const { return expected_; }

 private:
  config::Position at_;
  std::string path_, value_, expected_;
};

}  // namespace beamshunt::assigner
