// Regular expressions on text that a peer or a file provides. The standard library's matcher takes stack
// space for each byte of the pattern and of the text, so both are bounded.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

namespace beamshunt::base {

constexpr std::size_t kMaxPatternBytes = 1024;
constexpr std::size_t kMaxMatchedBytes = 1024;

// The pattern is no regular expression, or the pattern or the text is too long.
struct PatternError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Returns whether a part of the text matches the pattern. Throws PatternError.
[[nodiscard]] bool contains_match(const std::string& text, const std::string& pattern);

// Returns whether the whole text matches the pattern. Throws PatternError.
[[nodiscard]] bool is_match(const std::string& text, const std::string& pattern);

}  // namespace beamshunt::base
