#include "assigner/endpoint_list_json.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace beamshunt::assigner {
namespace {

using nlohmann::json;

// ms since 1970, in the year 33658: a larger start is a wrong unit or damage, not a date.
constexpr double kMaxStartWallMs = 1e15;
// Relative capacities outside these can't be weighed against others without losing all precision.
constexpr double kMinCapacity = 1e-9;
constexpr double kMaxCapacity = 1e9;

const json& field(const json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end()) throw EndpointListError(name, "", std::string(name) + " is missing");
  return *found;
}

double number(const json& object, const char* name, double least, double most) {
  const json& value = field(object, name);
  double x = value.is_number() ? value.get<double>() : NAN;
  bool in_range = x >= least && x <= most;  // false of NaN, as which anything but a number is read
  if (!in_range)
    throw EndpointListError(
        name, value.dump(),
        fmt::format("{} is {}, not a number from {} to {}", name, value.dump(), least, most));
  return x;
}

std::uint64_t whole_number(const json& object, const char* name, std::uint64_t most) {
  const json& value = field(object, name);
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > most)
    throw EndpointListError(name, value.dump(),
                            fmt::format("{} is {}, not a whole number up to {}", name, value.dump(), most));
  return value.get<std::uint64_t>();
}

const std::string& text(const json& object, const char* name) {
  const json& value = field(object, name);
  if (!value.is_string())
    throw EndpointListError(name, value.dump(), fmt::format("{} is {}, not a string", name, value.dump()));
  return value.get_ref<const std::string&>();
}

[[noreturn]] void reject_text(const char* name, const std::string& value, const char* why) {
  throw EndpointListError(name, json(value).dump(-1, ' ', false, json::error_handler_t::replace),
                          std::string(name) + " \"" + value + "\" is " + why);
}

std::uint32_t locality_index(const json& entry, const std::vector<std::string>& localities) {
  const std::string& name = text(entry, "locality");
  auto found = std::find(localities.begin(), localities.end(), name);
  if (found == localities.end()) reject_text("locality", name, "unknown");
  return static_cast<std::uint32_t>(found - localities.begin());
}

EndpointState endpoint_state(const json& entry) {
  const std::string& name = text(entry, "state");
  if (name == "in_service") return EndpointState::available;
  if (name == "terminating") return EndpointState::draining;
  if (name == "terminated") return EndpointState::removed;
  reject_text("state", name, "unknown");
}

net::Address endpoint_address(const json& entry) {
  const std::string& given = text(entry, "address");
  auto address = net::parse_address(given);
  if (!address || address->port == 0) reject_text("address", given, "none");
  return *address;
}

EndpointListEntry parse_entry(const json& given, const std::vector<std::string>& localities) {
  if (!given.is_object()) throw EndpointListError("", "", "an entry is not an object");
  EndpointListEntry entry;
  entry.id = static_cast<std::uint32_t>(whole_number(given, "id", UINT32_MAX));
  entry.locality = locality_index(given, localities);
  entry.cell = static_cast<std::uint32_t>(whole_number(given, "cell", UINT32_MAX));
  entry.capacity = number(given, "size", kMinCapacity, kMaxCapacity);
  entry.state = endpoint_state(given);
  entry.start_wall_ms = number(given, "started_ms", 0, kMaxStartWallMs);
  entry.address = endpoint_address(given);
  return entry;
}

bool is_complete(const json& list) {
  const std::string& kind = text(list, "kind");
  if (kind != "total" && kind != "changes") reject_text("kind", kind, "unknown");
  return kind == "total";
}

}  // namespace

EndpointListError::EndpointListError(std::string field, std::string value, const std::string& text)
    : std::runtime_error(text), field_(std::move(field)), value_(std::move(value)) {}

EndpointListError EndpointListError::in_entry(std::size_t index) const {
  std::string entry = fmt::format("entries[{}]", index);
  return {field_.empty() ? entry : entry + "." + field_, value_, entry + ": " + what()};
}

EndpointListUpdate parse_endpoint_list(std::string_view line, const std::vector<std::string>& localities) {
  json given = json::parse(line, nullptr, false);
  if (given.is_discarded() || !given.is_object()) throw EndpointListError("", "", "not a JSON object");
  EndpointListUpdate update;
  update.complete = is_complete(given);
  update.version = whole_number(given, "version", UINT64_MAX);
  const json& entries = field(given, "entries");
  if (!entries.is_array()) throw EndpointListError("entries", "", "entries is not a list");
  std::set<std::uint32_t> ids;
  for (std::size_t k = 0; k < entries.size(); ++k) {
    try {
      update.entries.push_back(parse_entry(entries[k], localities));
      std::uint32_t id = update.entries.back().id;
      if (!ids.insert(id).second) throw EndpointListError("id", std::to_string(id), "id is given twice");
    } catch (const EndpointListError& error) {
      throw error.in_entry(k);
    }
  }
  return update;
}

}  // namespace beamshunt::assigner
