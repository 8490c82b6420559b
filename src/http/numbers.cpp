#include "http/numbers.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace beamshunt::http {

std::map<std::string, double> parse_named_numbers(std::string_view json) {
  std::map<std::string, double> numbers;
  auto document = nlohmann::json::parse(json, nullptr, false);
  if (!document.is_object()) return numbers;
  for (auto& [name, value] : document.items())
    if (value.is_number() && std::isfinite(value.get<double>())) numbers[name] = value.get<double>();
  return numbers;
}

}  // namespace beamshunt::http
