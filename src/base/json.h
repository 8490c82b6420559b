// Parsing of JSON text that a peer, a file or the discovery service provides.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace beamshunt::base {

// Levels of arrays and objects that parse_json() keeps; the documents in use have fewer than ten.
constexpr std::size_t kMaxJsonDepth = 32;

// The result of parse_json().
struct ParsedJson {
  nlohmann::json value;  // discarded (is_discarded()) if the text is not valid JSON
  // Names of the members of the outermost object in which a deeper array or object was replaced.
  std::set<std::string> truncated_members;
};

// Parses JSON text. Arrays and objects below kMaxJsonDepth levels are replaced by null: copying, comparing
// and serializing a value take stack space for each level, and a text of 1 MiB can have 500,000 levels.
[[nodiscard]] ParsedJson parse_json(std::string_view text);

// Returns the start of the value's JSON text, for error details. The value must be a result of parse_json().
[[nodiscard]] std::string json_excerpt(const nlohmann::json& value);

}  // namespace beamshunt::base
