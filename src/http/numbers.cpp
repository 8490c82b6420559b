#include "http/numbers.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace beamshunt::http {

std::map<std::string, double> parse_named_numbers(std::string_view text) {
  std::map<std::string, double> out;
  auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return out;
  for (auto& [name, value] : json.items())
    if (value.is_number() && std::isfinite(value.get<double>())) out[name] = value.get<double>();
  return out;
}

}  // namespace beamshunt::http
