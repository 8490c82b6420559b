#include "platform/endpoint_catalog.h"

#include <xxhash.h>

#include <cmath>
#include <set>
#include <utility>

#include "base/json.h"

namespace beamshunt::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxUidBytes = 256;        // bytes; uids are part of every update message
constexpr double kMaxRevision = 9e15;            // a double represents all integers up to this value exactly
constexpr double kMaxCell = 4e9;                 // cell numbers have 32 bits
constexpr double kMinCapacity = 1e-6;            // relative capacity; smaller values are implausible
constexpr double kMaxCapacity = 1e6;             // relative capacity; larger values are implausible
constexpr double kMaxWallMs = 1e14;              // ms since 1970; later times are implausible
constexpr std::size_t kMaxReportedErrors = 100;  // errors reported per list object; each becomes a log line
constexpr Ms kRemovedRetention = 300000;  // ms; the controller drops a removed endpoint after one minute

std::optional<double> number_field(const json& entry, const char* name, double max) {
  auto found = entry.find(name);
  if (found == entry.end() || !found->is_number()) return std::nullopt;
  auto value = found->get<double>();
  if (!std::isfinite(value) || value < 0 || value > max) return std::nullopt;
  return value;
}

std::optional<std::string> string_field(const json& entry, const char* name) {
  auto found = entry.find(name);
  if (found == entry.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

std::optional<EndpointState> parse_state(const json& entry) {
  auto value = string_field(entry, "state");
  if (value == "in_service") return EndpointState::available;
  if (value == "terminating") return EndpointState::draining;
  if (value == "terminated") return EndpointState::removed;
  return std::nullopt;
}

std::optional<Locality> find_locality(const std::string& zone, const settings::Names& names) {
  try {
    return settings::find_locality(names, zone);
  } catch (const settings::InputError&) {
    return std::nullopt;
  }
}

std::optional<std::string> valid_uid(const json& entry) {
  auto uid = entry.is_object() ? string_field(entry, "uid") : std::nullopt;
  if (!uid || uid->empty() || uid->size() > kMaxUidBytes) return std::nullopt;
  return uid;
}

// A list object whose top-level fields are valid. Its entries have not been checked.
struct ListObject {
  json object;
  const json* targets = nullptr;  // array of entries; points into `object`
  bool complete = false;
  double revision = 0;
};

ListObject parse_list(std::string_view bytes) {
  ListObject list{.object = base::parse_json(bytes).value};
  if (!list.object.is_object()) throw EndpointListError("the list is not a JSON object", "", "a JSON object");
  const json& object = list.object;
  auto targets = object.find("targets");
  if (targets == object.end() || !targets->is_array())
    throw EndpointListError("field targets is missing or not an array", "targets", "an array");
  auto complete = object.find("all");
  if (complete == object.end() || !complete->is_boolean())
    throw EndpointListError("field all is missing or not a boolean", "all", "true or false");
  auto revision = number_field(object, "rev", kMaxRevision);
  if (!revision)
    throw EndpointListError("field rev is missing or not a valid revision", "rev", "a number of at least 0");
  list.targets = &*targets;
  list.complete = complete->get<bool>();
  list.revision = *revision;
  return list;
}

void add_error(EndpointCatalog::Change& change, const std::string& uid, const char* field) {
  if (change.errors.size() < kMaxReportedErrors) change.errors.push_back({uid, field});
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
  return (uid.empty() ? "an entry" : uid) + ": field " + field + " is missing or invalid";
}

// Derives the id from the uid, so that an endpoint has the same id on all assigners and after each restart,
// independent of the order in which endpoints are listed: the selection of subsets depends on the order of
// ids. If two uids have the same hash, the one added later gets the next free number.
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
  // An outdated complete list lacks the endpoints that were added since, so it removes no endpoints.
  change.list.kind =
      list.complete && !change.outdated ? EndpointListKind::complete : EndpointListKind::incremental;
  for (const json& object : *list.targets) {
    auto uid = valid_uid(object);
    if (!uid) {
      add_error(change, "", "uid");
      continue;
    }
    std::string zone = string_field(object, "az").value_or("");
    auto locality = find_locality(zone, names);
    apply_entry({object, std::move(*uid), std::move(zone), locality, parse_state(object)}, now, wall_now,
                change);
  }
  // A revision that was applied only in part is requested again, even if later revisions are valid, because
  // the malformed entry may have contained a drain.
  is_complete_ = change.errors.empty() && (is_complete_ || list.complete);
  if (is_complete_) version_ = static_cast<std::uint64_t>(list.revision);
  if (change.list.kind == EndpointListKind::complete) remove_unlisted(change, now);
  discard_removed(now);
  return change;
}

// Returns true if an outdated entry of a known endpoint would revert a drain, a removal or a start.
bool EndpointCatalog::would_revert(const WireEntry& wire, EndpointId id) const {
  const Entry& entry = entries_.at(id);
  const bool started_later =
      number_field(wire.object, "boot_ms", kMaxWallMs).value_or(0) > entry.start_wall_ms;
  return !started_later && (!wire.state || *wire.state <= entry.listed.state);
}

void EndpointCatalog::apply_entry(const WireEntry& wire, Ms now, double wall_now, Change& change) {
  auto known = find(wire.uid);
  if (!wire.locality) add_error(change, wire.uid, "az");
  if (!wire.state) add_error(change, wire.uid, "state");
  // Locality and state have no default for a new endpoint. A known endpoint keeps its previous values.
  if (!known && (!wire.locality || !wire.state)) return;
  if (change.outdated && known && would_revert(wire, *known)) return;

  const EndpointId id = assign_id(wire.uid);
  Entry& entry = entries_[id];
  entry.uid = wire.uid;
  entry.listed.id = id;
  if (wire.locality) {
    entry.listed.locality = *wire.locality;
    entry.zone = wire.zone;
  }
  if (wire.state) entry.listed.state = *wire.state;
  entry.is_listed = entry.listed.state != EndpointState::removed;
  if (!entry.is_listed) entry.removed_at = now;

  auto cell = number_field(wire.object, "pod_group", kMaxCell);
  if (cell && *cell == std::floor(*cell)) entry.listed.cell = static_cast<std::uint32_t>(*cell);
  else add_error(change, wire.uid, "pod_group");

  auto capacity = number_field(wire.object, "capacity_hint", kMaxCapacity);
  if (capacity && *capacity >= kMinCapacity) entry.listed.capacity = *capacity;
  else add_error(change, wire.uid, "capacity_hint");

  auto address = net::parse_address(string_field(wire.object, "endpoint").value_or(""));
  if (address) entry.address = *address;
  else add_error(change, wire.uid, "endpoint");

  auto start = number_field(wire.object, "boot_ms", kMaxWallMs);
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
  std::set<EndpointId> listed_ids;
  for (const ListedEndpoint& listed : change.list.entries) listed_ids.insert(listed.id);
  for (auto& [id, entry] : entries_) {
    if (listed_ids.contains(id) || !entry.is_listed) continue;
    entry.is_listed = false;
    entry.listed.state = EndpointState::removed;
    entry.removed_at = now;
  }
}

// Updates may refer to an endpoint for some time after its removal, in order to remove its weight. Later the
// entry is dropped: fleets replace all endpoints over time, and the catalog would grow without bound.
void EndpointCatalog::discard_removed(Ms now) {
  std::erase_if(entries_, [&](const auto& id_and_entry) {
    const Entry& entry = id_and_entry.second;
    if (entry.is_listed || now - entry.removed_at < kRemovedRetention) return false;
    ids_.erase(entry.uid);
    return true;
  });
}

void EndpointCatalog::update_localities(const settings::Names& names) {
  for (auto& [id, entry] : entries_) {
    if (auto renamed = find_locality(entry.zone, names)) {
      entry.listed.locality = *renamed;
    } else {
      entry.is_listed = false;
      entry.listed.state = EndpointState::removed;
      entry.listed.locality = Locality{};
    }
  }
  version_ = 0;
}

std::vector<ListedEndpoint> EndpointCatalog::listed() const {
  std::vector<ListedEndpoint> endpoints;
  for (const auto& [id, entry] : entries_)
    if (entry.is_listed) endpoints.push_back(entry.listed);
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
