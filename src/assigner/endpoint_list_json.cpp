#include "assigner/endpoint_list_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <set>
#include <utility>

#include "base/json.h"
#include "policy/report_validation.h"

namespace beamshunt::assigner {
namespace {

using base::json_excerpt;
using nlohmann::json;

// In ms since 1970; lies in the year 33658. A larger start time has a wrong unit or is damaged.
constexpr double kMaxStartWallMs = 1e15;

const json& required_field(const json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end()) throw EndpointListError(name, "", std::string(name) + " is missing");
  return *found;
}

double number_field(const json& object, const char* name, double min, double max) {
  const json& value = required_field(object, name);
  double number = value.is_number() ? value.get<double>() : NAN;
  bool in_range = number >= min && number <= max;  // false for NaN, which stands for any non-numeric value
  if (!in_range)
    throw EndpointListError(
        name, json_excerpt(value),
        fmt::format("{} is {}, not a number from {} to {}", name, json_excerpt(value), min, max));
  return number;
}

std::uint64_t unsigned_field(const json& object, const char* name, std::uint64_t max) {
  const json& value = required_field(object, name);
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max)
    throw EndpointListError(
        name, json_excerpt(value),
        fmt::format("{} is {}, not an integer from 0 to {}", name, json_excerpt(value), max));
  return value.get<std::uint64_t>();
}

const std::string& string_field(const json& object, const char* name) {
  const json& value = required_field(object, name);
  if (!value.is_string())
    throw EndpointListError(name, json_excerpt(value),
                            fmt::format("{} is {}, not a string", name, json_excerpt(value)));
  return value.get_ref<const std::string&>();
}

[[noreturn]] void reject_text(const char* name, const std::string& value, const char* reason) {
  throw EndpointListError(name, json_excerpt(value), std::string(name) + " \"" + value + "\" is " + reason);
}

std::uint32_t locality_index(const json& entry, const std::vector<std::string>& localities) {
  const std::string& name = string_field(entry, "locality");
  auto found = std::find(localities.begin(), localities.end(), name);
  if (found == localities.end()) reject_text("locality", name, "unknown");
  return static_cast<std::uint32_t>(found - localities.begin());
}

EndpointState endpoint_state(const json& entry) {
  const std::string& name = string_field(entry, "state");
  if (name == "in_service") return EndpointState::available;
  if (name == "terminating") return EndpointState::draining;
  if (name == "terminated") return EndpointState::removed;
  reject_text("state", name, "unknown");
}

net::Address endpoint_address(const json& entry) {
  const std::string& text = string_field(entry, "address");
  auto address = net::parse_address(text);
  if (!address || address->port == 0) reject_text("address", text, "not an IPv4 address and port");
  return *address;
}

EndpointListEntry parse_entry(const json& json_entry, const std::vector<std::string>& localities) {
  if (!json_entry.is_object()) throw EndpointListError("", "", "entry is not an object");
  EndpointListEntry entry;
  entry.id = static_cast<std::uint32_t>(unsigned_field(json_entry, "id", UINT32_MAX));
  entry.locality = locality_index(json_entry, localities);
  entry.cell = static_cast<std::uint32_t>(unsigned_field(json_entry, "cell", UINT32_MAX));
  entry.capacity = number_field(json_entry, "size", kMinListedCapacity, kMaxListedCapacity);
  entry.state = endpoint_state(json_entry);
  entry.start_wall_ms = number_field(json_entry, "started_ms", 0, kMaxStartWallMs);
  entry.address = endpoint_address(json_entry);
  return entry;
}

bool is_complete(const json& list) {
  const std::string& kind = string_field(list, "kind");
  if (kind != "total" && kind != "changes") reject_text("kind", kind, "unknown");
  return kind == "total";
}

}  // namespace

EndpointListError::EndpointListError(std::string field, std::string value, const std::string& message)
    : std::runtime_error(message), field_(std::move(field)), value_(std::move(value)) {}

EndpointListError EndpointListError::in_entry(std::size_t index) const {
  std::string entry = fmt::format("entries[{}]", index);
  return {field_.empty() ? entry : entry + "." + field_, value_, entry + ": " + what()};
}

EndpointListUpdate parse_endpoint_list(std::string_view line, const std::vector<std::string>& localities) {
  const json message = base::parse_json(line).value;
  if (message.is_discarded() || !message.is_object()) throw EndpointListError("", "", "not a JSON object");
  EndpointListUpdate update;
  update.complete = is_complete(message);
  update.version = unsigned_field(message, "version", UINT64_MAX);
  const json& entries = required_field(message, "entries");
  if (!entries.is_array()) throw EndpointListError("entries", "", "entries is not an array");
  std::set<std::uint32_t> ids;
  for (std::size_t index = 0; index < entries.size(); ++index) {
    try {
      update.entries.push_back(parse_entry(entries[index], localities));
      std::uint32_t id = update.entries.back().id;
      if (!ids.insert(id).second) throw EndpointListError("id", std::to_string(id), "id is given twice");
    } catch (const EndpointListError& error) {
      throw error.in_entry(index);
    }
  }
  return update;
}

}  // namespace beamshunt::assigner
