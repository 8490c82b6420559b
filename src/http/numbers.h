// Parser for named numbers in a JSON object, the format in which servers report their load.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace beamshunt::http {

// Returns the members of the JSON object whose values are finite numbers, and skips all other members.
// Returns an empty map if `json` is malformed or not an object.
std::map<std::string, double> parse_named_numbers(std::string_view json);

}  // namespace beamshunt::http
