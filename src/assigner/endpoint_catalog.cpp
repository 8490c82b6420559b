#include "assigner/endpoint_catalog.h"

#include <algorithm>
#include <utility>

namespace beamshunt::assigner {

std::vector<std::uint32_t> EndpointCatalog::apply(const EndpointListUpdate& update) {
  std::vector<std::uint32_t> concerned;
  version_ = update.version;
  if (update.complete)
    for (auto& [id, record] : records_)
      if (std::exchange(record.listed, false)) concerned.push_back(id);
  for (const EndpointListEntry& entry : update.entries) {
    Record& record = records_[entry.id];
    record.entry = entry;
    record.listed = entry.state != EndpointState::removed;
    concerned.push_back(entry.id);
  }
  return concerned;
}

std::vector<ListedEndpoint> EndpointCatalog::to_listed(const std::vector<EndpointListEntry>& entries, Ms now,
                                                       double wall_now) {
  std::vector<ListedEndpoint> out;
  for (const EndpointListEntry& entry : entries) {
    ListedEndpoint endpoint{.id = EndpointId(entry.id),
                            .locality = Locality(entry.locality),
                            .cell = entry.cell,
                            .capacity = entry.capacity,
                            .state = entry.state,
                            .start_time = {},
                            .start_time_known = entry.start_wall_ms > 0};
    if (endpoint.start_time_known) {
      Record& record = records_[entry.id];
      if (record.start_known_as != entry.start_wall_ms) {
        record.start_known_as = entry.start_wall_ms;
        // A start in the future comes from a clock that is ahead: taken as a start at this instant.
        record.start = now - std::max(0.0, wall_now - entry.start_wall_ms);
      }
      endpoint.start_time = Time(Duration(record.start));
    }
    out.push_back(endpoint);
  }
  return out;
}

std::vector<EndpointListEntry> EndpointCatalog::entries() const {
  std::vector<EndpointListEntry> out;
  for (const auto& [id, record] : records_)
    if (record.listed) out.push_back(record.entry);
  return out;
}

bool EndpointCatalog::is_available(std::uint32_t id) const {
  auto found = records_.find(id);
  if (found == records_.end()) return false;
  const Record& record = found->second;
  return record.listed && record.entry.state == EndpointState::available;
}

std::optional<Ms> EndpointCatalog::start_time(std::uint32_t id) const {
  auto found = records_.find(id);
  if (found == records_.end() || found->second.start_known_as <= 0) return std::nullopt;
  return found->second.start;
}

const EndpointListEntry* EndpointCatalog::find(std::uint32_t id) const {
  auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second.entry;
}

}  // namespace beamshunt::assigner
