// Named numbers as a JSON object, which is how servers tell their load.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace beamshunt::http {

// The finite numbers of the object; what else it holds is skipped, and what is no object holds none.
std::map<std::string, double> parse_named_numbers(std::string_view json);

}  // namespace beamshunt::http
