#include "platform/endpoint_catalog.h"

#include <xxhash.h>

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace beamshunt::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxUidBytes = 256;   // bytes: uids go into every update message
constexpr double kMaxRevision = 9e15;       // beyond it a double holds no exact whole number
constexpr double kMaxCell = 4e9;            // a cell's number has 32 bits
constexpr double kMaxCapacity = 1e6;        // relative capacity; a larger hint is no hint
constexpr double kMaxWallMs = 1e14;         // ms since 1970; later is no time in this machine's life
constexpr std::size_t kMaxErrors = 100;     // reported of one object: each becomes a log line
constexpr Ms kForgetRemovedAfter = 300000;  // ms; the controller forgets a removed endpoint after a minute

std::optional<double> number(const json& entry, const char* name, double max) {
  auto found = entry.find(name);
  if (found == entry.end() || !found->is_number()) return std::nullopt;
  auto value = found->get<double>();
  if (!std::isfinite(value) || value < 0 || value > max) return std::nullopt;
  return value;
}

std::optional<std::string> text(const json& entry, const char* name) {
  auto found = entry.find(name);
  if (found == entry.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

std::optional<EndpointState> state(const json& entry) {
  auto word = text(entry, "state");
  if (word == "in_service") return EndpointState::available;
  if (word == "terminating") return EndpointState::draining;
  if (word == "terminated") return EndpointState::removed;
  return std::nullopt;
}

std::optional<Locality> locality(const std::string& zone, const settings::Names& names) {
  try {
    return settings::find_locality(names, zone);
  } catch (const settings::InputError&) {
    return std::nullopt;
  }
}

std::optional<std::string> valid_uid(const json& entry) {
  auto uid = entry.is_object() ? text(entry, "uid") : std::nullopt;
  if (!uid || uid->empty() || uid->size() > kMaxUidBytes) return std::nullopt;
  return uid;
}

// A list object whose fields, but for those of the entries, are valid.
struct ListObject {
  json object;
  const json* targets = nullptr;  // in object
  bool complete = false;
  double revision = 0;
};

ListObject parse_list(std::string_view bytes) {
  ListObject list{.object = json::parse(bytes, nullptr, false)};
  if (!list.object.is_object()) throw EndpointListError("the list is no JSON object", "", "a JSON object");
  const json& object = list.object;
  auto targets = object.find("targets");
  if (targets == object.end() || !targets->is_array())
    throw EndpointListError("field targets is no array", "targets", "an array");
  auto complete = object.find("all");
  if (complete == object.end() || !complete->is_boolean())
    throw EndpointListError("field all is neither true nor false", "all", "true or false");
  auto revision = number(object, "rev", kMaxRevision);
  if (!revision) throw EndpointListError("field rev is no version", "rev", "a number of 0 or more");
  list.targets = &*targets;
  list.complete = complete->get<bool>();
  list.revision = *revision;
  return list;
}

void add_error(EndpointCatalog::Change& change, const std::string& uid, const char* field) {
  if (change.errors.size() < kMaxErrors) change.errors.push_back({uid, field});
}

}  // namespace

struct EndpointCatalog::WireEntry {
  const json& object;
  std::string uid;
  std::string zone;
  std::optional<Locality> locality;
  std::optional<EndpointState> state;
};

std::string ListEntryError::message() const {
  return (uid.empty() ? "an entry" : uid) + ": field " + field + " is unusable";
}

// Derived from the uid, so that an id is the same at all assigners and after each start, whatever came first:
// subsets are drawn in an order made of ids. Where two uids have the same hash, the later one takes the next
// free number.
EndpointId EndpointCatalog::assign_id(const std::string& uid) {
  if (auto known = ids_.find(uid); known != ids_.end()) return known->second;
  EndpointId id{static_cast<std::uint32_t>(XXH64(uid.data(), uid.size(), 0))};
  while (entries_.contains(id)) id = EndpointId{static_cast<std::uint32_t>(id) + 1};
  ids_[uid] = id;
  return id;
}

EndpointCatalog::Change EndpointCatalog::apply(std::string_view bytes, const settings::Names& names, Ms now,
                                               double wall_now) {
  const ListObject list = parse_list(bytes);
  Change change;
  change.outdated = list.revision < static_cast<double>(version_);
  // A complete list of an outdated revision lacks what was added since: nobody is removed for it.
  change.list.kind =
      list.complete && !change.outdated ? EndpointListKind::complete : EndpointListKind::incremental;
  for (const json& object : *list.targets) {
    auto uid = valid_uid(object);
    if (!uid) {
      add_error(change, "", "uid");
      continue;
    }
    std::string zone = text(object, "az").value_or("");
    auto locality_of_zone = locality(zone, names);
    apply_entry({object, std::move(*uid), std::move(zone), locality_of_zone, state(object)}, now, wall_now,
                change);
  }
  // A revision that was applied in part is requested again, however valid the next ones are: what was lost of
  // the malformed entry may be a drain.
  is_complete_ = change.errors.empty() && (is_complete_ || list.complete);
  if (is_complete_) version_ = static_cast<std::uint64_t>(list.revision);
  if (change.list.kind == EndpointListKind::complete) remove_unlisted(change, now);
  forget_removed(now);
  return change;
}

// Whether an outdated entry of a known endpoint would take back a drain, a removal or a start.
bool EndpointCatalog::goes_back(const WireEntry& wire, EndpointId id) const {
  const Entry& entry = entries_.at(id);
  const bool started_later = number(wire.object, "boot_ms", kMaxWallMs).value_or(0) > entry.start_wall_ms;
  return !started_later && (!wire.state || *wire.state <= entry.listed.state);
}

void EndpointCatalog::apply_entry(const WireEntry& wire, Ms now, double wall_now, Change& change) {
  auto known = find(wire.uid);
  if (!wire.locality) add_error(change, wire.uid, "az");
  if (!wire.state) add_error(change, wire.uid, "state");
  // These two can't be guessed of a new endpoint; of a known one, the former values hold.
  if (!known && (!wire.locality || !wire.state)) return;
  if (change.outdated && known && goes_back(wire, *known)) return;

  const EndpointId id = assign_id(wire.uid);
  Entry& entry = entries_[id];
  entry.uid = wire.uid;
  entry.listed.id = id;
  if (wire.locality) {
    entry.listed.locality = *wire.locality;
    entry.zone = wire.zone;
  }
  if (wire.state) entry.listed.state = *wire.state;
  entry.present = entry.listed.state != EndpointState::removed;
  if (!entry.present) entry.removed_at = now;

  auto cell = number(wire.object, "pod_group", kMaxCell);
  if (cell && *cell == std::floor(*cell)) entry.listed.cell = static_cast<std::uint32_t>(*cell);
  else add_error(change, wire.uid, "pod_group");

  auto capacity = number(wire.object, "capacity_hint", kMaxCapacity);
  if (capacity && *capacity > 0) entry.listed.capacity = *capacity;
  else add_error(change, wire.uid, "capacity_hint");

  auto address = net::parse_address(text(wire.object, "endpoint").value_or(""));
  if (address) entry.address = *address;
  else add_error(change, wire.uid, "endpoint");

  auto start = number(wire.object, "boot_ms", kMaxWallMs);
  if (!start) {
    add_error(change, wire.uid, "boot_ms");
  } else if (*start != entry.start_wall_ms) {
    entry.start_wall_ms = *start;
    entry.listed.start_time_known = *start > 0;
    entry.listed.start_time = Time(Duration(*start - wall_now + now));
  }
  change.list.entries.push_back(entry.listed);
}

void EndpointCatalog::remove_unlisted(const Change& change, Ms now) {
  std::set<EndpointId> named;
  for (const ListedEndpoint& listed : change.list.entries) named.insert(listed.id);
  for (auto& [id, entry] : entries_) {
    if (named.contains(id) || !entry.present) continue;
    entry.present = false;
    entry.listed.state = EndpointState::removed;
    entry.removed_at = now;
  }
}

// An update may name an endpoint for some time after its removal, to remove its weight. Not for good: fleets
// replace all endpoints in time, and the directory would grow without bound.
void EndpointCatalog::forget_removed(Ms now) {
  std::erase_if(entries_, [&](const auto& id_and_entry) {
    const Entry& entry = id_and_entry.second;
    if (entry.present || now - entry.removed_at < kForgetRemovedAfter) return false;
    ids_.erase(entry.uid);
    return true;
  });
}

void EndpointCatalog::rename(const settings::Names& names) {
  for (auto& [id, entry] : entries_) {
    if (auto renamed = locality(entry.zone, names)) {
      entry.listed.locality = *renamed;
    } else {
      entry.present = false;
      entry.listed.state = EndpointState::removed;
      entry.listed.locality = Locality{};
    }
  }
  version_ = 0;
}

std::vector<ListedEndpoint> EndpointCatalog::listed() const {
  std::vector<ListedEndpoint> endpoints;
  for (const auto& [id, entry] : entries_)
    if (entry.present) endpoints.push_back(entry.listed);
  return endpoints;
}

std::optional<EndpointId> EndpointCatalog::find(std::string_view uid) const {
  auto found = ids_.find(uid);
  if (found == ids_.end()) return std::nullopt;
  return found->second;
}

const std::string* EndpointCatalog::uid(EndpointId id) const {
  auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.uid;
}

std::optional<net::Address> EndpointCatalog::address(EndpointId id) const {
  auto found = entries_.find(id);
  return found == entries_.end() ? std::nullopt : found->second.address;
}

}  // namespace beamshunt::platform
