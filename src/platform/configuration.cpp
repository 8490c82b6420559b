#include "platform/configuration.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/parse.h"

namespace beamshunt::platform {
namespace {

using nlohmann::json;

constexpr double kMostSockets = 1 << 20;

const json& field(const json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end()) throw std::runtime_error(std::string("field ") + name + " is missing");
  return *found;
}
std::string text(const json& object, const char* name) {
  const json& value = field(object, name);
  if (!value.is_string()) throw std::runtime_error(std::string("field ") + name + " is no text");
  return value.get<std::string>();
}
net::Address address(const json& object, const char* name) {
  std::string given = text(object, name);
  auto at = net::parse_address(given);
  if (!at) throw std::runtime_error(std::string("field ") + name + " is no address: '" + given + "'");
  return *at;
}
std::string plain(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// The simulator's form of the same object: lists of plain values joined by commas, lists of objects by number
// with their length under .count.
void flatten(const json& value, const std::string& path, settings::Values& out) {
  std::string before = path.empty() ? path : path + ".";
  if (value.is_object()) {
    for (auto& [name, inner] : value.items()) flatten(inner, before + name, out);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    out[before + "count"] = std::to_string(value.size());
    for (std::size_t k = 0; k < value.size(); ++k) flatten(value[k], before + std::to_string(k), out);
  } else if (value.is_array()) {
    std::string& joined = out[path];
    for (const json& inner : value) joined += (joined.empty() ? "" : ",") + plain(inner);
  } else if (!value.is_null()) {
    out[path] = plain(value);
  }
}

}  // namespace

Configuration parse_configuration(std::string_view bytes) {
  json object = json::parse(bytes, nullptr, false);
  if (!object.is_object()) throw std::runtime_error("the configuration is no JSON object");
  Configuration c;
  c.name = text(object, "name");
  c.listen = address(object, "listen");
  c.discovery = address(object, "discovery");
  std::string seed = text(object, "seed");
  auto number = base::parse_number<std::uint64_t>(seed, 16);
  if (!number) throw std::runtime_error("field seed is no hexadecimal number: '" + seed + "'");
  c.seed = *number;
  const json& limits = field(object, "limits");
  const json& sockets = limits.is_object() ? field(limits, "sockets") : limits;
  if (!sockets.is_number_integer() || sockets.get<double>() < 1 || sockets.get<double>() > kMostSockets)
    throw std::runtime_error("field limits.sockets is no number of descriptors");
  c.sockets = sockets.get<std::size_t>();
  if (auto known = object.find("known"); known != object.end() && known->is_object()) c.known = known->dump();
  const json& settings = field(object, "settings");
  if (!settings.is_object()) throw std::runtime_error("field settings is no object");
  flatten(settings, "", c.values);
  std::tie(c.settings, c.names) = settings::parse(c.seed, c.values);
  return c;
}

}  // namespace beamshunt::platform
