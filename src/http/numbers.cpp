#include "http/numbers.h"

#include <cmath>

#include "base/json.h"

namespace beamshunt::http {

std::map<std::string, double> parse_named_numbers(std::string_view json) {
  std::map<std::string, double> numbers;
  const nlohmann::json document = base::parse_json(json).value;
  if (!document.is_object()) return numbers;
  for (const auto& [name, value] : document.items())
    if (value.is_number() && std::isfinite(value.get<double>())) numbers[name] = value.get<double>();
  return numbers;
}

}  // namespace beamshunt::http
