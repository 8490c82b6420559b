#include "platform/configuration.h"

#include <nlohmann/json.hpp>
#include <tuple>

#include "base/file.h"
#include "base/parse.h"

namespace beamshunt::platform {
namespace {

using nlohmann::json;

constexpr double kMaxSockets = 1 << 20;  // descriptors: more than any process may hold
constexpr int kSeedBase = 16;            // the seed is written in hexadecimal

// `problem` completes the sentence "field NAME ...".
[[noreturn]] void fail_field(const std::string& name, const std::string& problem, std::string value,
                             std::string expected) {
  throw ConfigurationError("field " + name + " " + problem,
                           {"", name, std::move(value), std::move(expected)});
}

std::string printable(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

const json& field(const json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end()) fail_field(name, "is missing", "", "the field");
  return *found;
}

std::string text(const json& object, const char* name) {
  const json& value = field(object, name);
  if (!value.is_string()) fail_field(name, "is no text", printable(value), "a text");
  return value.get<std::string>();
}

net::Address address(const json& object, const char* name) {
  std::string given = text(object, name);
  auto parsed = net::parse_address(given);
  if (!parsed) fail_field(name, "is no address: '" + given + "'", given, "IPv4 address:port");
  return *parsed;
}

std::uint64_t seed(const json& object) {
  std::string given = text(object, "seed");
  auto parsed = base::parse_number<std::uint64_t>(given, kSeedBase);
  if (!parsed) fail_field("seed", "is no hexadecimal number: '" + given + "'", given, "a hexadecimal number");
  return *parsed;
}

std::size_t sockets(const json& object) {
  const json& limits = field(object, "limits");
  const json& count = limits.is_object() ? field(limits, "sockets") : limits;
  if (!count.is_number_integer() || count.get<double>() < 1 || count.get<double>() > kMaxSockets)
    fail_field("limits.sockets", "is no number of descriptors", printable(count),
               "a whole number from 1 to " + std::to_string(static_cast<int>(kMaxSockets)));
  return count.get<std::size_t>();
}

std::string setting_text(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// The nested object in the form of the simulator's pairs, which the settings' reader takes: lists of plain
// values joined by commas, lists of objects by number with their length under .count.
void flatten(const json& value, const std::string& path, settings::Values& values) {
  std::string prefix = path.empty() ? path : path + ".";
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items()) flatten(inner, prefix + name, values);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    values[prefix + "count"] = std::to_string(value.size());
    for (std::size_t index = 0; index < value.size(); ++index)
      flatten(value[index], prefix + std::to_string(index), values);
  } else if (value.is_array()) {
    std::string& joined = values[path];
    for (const json& inner : value) {
      if (!joined.empty()) joined += ",";
      joined += setting_text(inner);
    }
  } else if (!value.is_null()) {
    values[path] = setting_text(value);
  }
}

}  // namespace

Configuration parse_configuration(std::string_view bytes) {
  json object = json::parse(bytes, nullptr, false);
  if (!object.is_object())
    throw ConfigurationError("the configuration is no JSON object", {.expected = "a JSON object"});
  Configuration configuration;
  configuration.name = text(object, "name");
  configuration.listen = address(object, "listen");
  configuration.discovery = address(object, "discovery");
  configuration.seed = seed(object);
  configuration.sockets = sockets(object);
  if (auto cached = object.find("known"); cached != object.end() && cached->is_object())
    configuration.cached_list = cached->dump();
  const json& settings_object = field(object, "settings");
  if (!settings_object.is_object())
    fail_field("settings", "is no object", printable(settings_object), "an object");
  flatten(settings_object, "", configuration.values);
  try {
    std::tie(configuration.settings, configuration.names) =
        settings::parse(configuration.seed, configuration.values);
  } catch (const settings::InputError& error) {  // names the setting by its path
    throw ConfigurationError(error.what(), {.field = "settings"});
  }
  return configuration;
}

Configuration read_configuration(const std::string& file) {
  auto bytes = base::read_file(file);
  if (!bytes)
    throw ConfigurationError("configuration " + file + ": there is no such file",
                             {.file = file, .expected = "a file"});
  try {
    return parse_configuration(*bytes);
  } catch (const ConfigurationError& error) {
    ConfigurationError::Detail detail = error.detail;
    detail.file = file;
    throw ConfigurationError("configuration " + file + ": " + error.what(), std::move(detail));
  }
}

}  // namespace beamshunt::platform
