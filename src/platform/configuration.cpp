#include "platform/configuration.h"

#include <tuple>

#include "base/file.h"
#include "base/json.h"
#include "base/parse.h"

namespace beamshunt::platform {
namespace {

using base::json_excerpt;
using nlohmann::json;

constexpr double kMaxDescriptorLimit = 1 << 20;  // above the descriptor limit of any process
constexpr int kSeedBase = 16;                    // the configuration gives the seed in hexadecimal

// Throws ConfigurationError with the message "field <name> <problem>".
[[noreturn]] void fail_field(const std::string& name, const std::string& problem, std::string value,
                             std::string expected) {
  throw ConfigurationError("field " + name + " " + problem,
                           {"", name, std::move(value), std::move(expected)});
}

const json& required_field(const json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end()) fail_field(name, "is missing", "", "the field");
  return *found;
}

std::string string_field(const json& object, const char* name) {
  const json& value = required_field(object, name);
  if (!value.is_string()) fail_field(name, "is not a string", json_excerpt(value), "a string");
  return value.get<std::string>();
}

net::Address address_field(const json& object, const char* name) {
  std::string value = string_field(object, name);
  auto parsed = net::parse_address(value);
  if (!parsed) fail_field(name, "is not a valid address: '" + value + "'", value, "<IPv4 address>:<port>");
  return *parsed;
}

std::uint64_t seed_field(const json& object) {
  std::string value = string_field(object, "seed");
  auto parsed = base::parse_number<std::uint64_t>(value, kSeedBase);
  if (!parsed)
    fail_field("seed", "is not a hexadecimal number: '" + value + "'", value, "a hexadecimal number");
  return *parsed;
}

std::size_t descriptor_limit_field(const json& object) {
  const json& limits = required_field(object, "limits");
  const json& count = limits.is_object() ? required_field(limits, "sockets") : limits;
  if (!count.is_number_integer() || count.get<double>() < 1 || count.get<double>() > kMaxDescriptorLimit)
    fail_field("limits.sockets", "is not a valid number of descriptors", json_excerpt(count),
               "an integer from 1 to " + std::to_string(static_cast<int>(kMaxDescriptorLimit)));
  return count.get<std::size_t>();
}

std::string setting_text(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Converts the nested settings object to the simulator's flat path=value form, which settings::parse()
// accepts: an array of plain values becomes one value joined by commas; the elements of an array of objects
// are addressed by index, with the array's length under ".count".
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
  const base::ParsedJson parsed = base::parse_json(bytes);
  const json& object = parsed.value;
  if (!object.is_object())
    throw ConfigurationError("the configuration is not a JSON object", {.expected = "a JSON object"});
  Configuration configuration;
  configuration.name = string_field(object, "name");
  configuration.listen = address_field(object, "listen");
  configuration.discovery = address_field(object, "discovery");
  configuration.seed = seed_field(object);
  configuration.descriptor_limit = descriptor_limit_field(object);
  if (auto cached = object.find("known"); cached != object.end() && cached->is_object())
    configuration.cached_list = cached->dump();
  const json& settings_object = required_field(object, "settings");
  if (!settings_object.is_object())
    fail_field("settings", "is not an object", json_excerpt(settings_object), "an object");
  if (parsed.truncated_members.contains("settings"))
    fail_field("settings", "is nested too deeply", json_excerpt(settings_object),
               "at most " + std::to_string(base::kMaxJsonDepth) + " levels in the configuration");
  flatten(settings_object, "", configuration.values);
  try {
    std::tie(configuration.settings, configuration.names) =
        settings::parse(configuration.seed, configuration.values);
  } catch (const settings::InputError& error) {  // what() names the setting by its path
    throw ConfigurationError(error.what(), {.field = "settings"});
  }
  return configuration;
}

Configuration read_configuration(const std::string& file) {
  auto bytes = base::read_file(file);
  if (!bytes)
    throw ConfigurationError("configuration " + file + ": the file does not exist",
                             {.file = file, .expected = "an existing file"});
  try {
    return parse_configuration(*bytes);
  } catch (const ConfigurationError& error) {
    ConfigurationError::Detail detail = error.detail;
    detail.file = file;
    throw ConfigurationError("configuration " + file + ": " + error.what(), std::move(detail));
  }
}

}  // namespace beamshunt::platform
