// Parsing of numbers.
#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace beamshunt::base {

// Parses a number that fills the whole text, without white space around it. `base` is the base of an integer
// (10 if not given) or the std::chars_format of a floating-point number. Returns nullopt if the text is
// empty, is not a number, has further characters or does not fit into T.
template <typename T, typename... Base>
std::optional<T> parse_number(std::string_view text, Base... base) {
  T out{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base...);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return out;
}

}  // namespace beamshunt::base
