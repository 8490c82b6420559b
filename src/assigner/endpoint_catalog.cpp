#include "assigner/endpoint_catalog.h"

#include <algorithm>
#include <utility>

namespace beamshunt::assigner {

std::vector<std::uint32_t> EndpointCatalog::apply(const EndpointListUpdate& update) {
  std::vector<std::uint32_t> affected_ids;
  version_ = update.version;
  if (update.complete)
    for (auto& [id, record] : records_)
      if (std::exchange(record.listed, false)) affected_ids.push_back(id);
  for (const EndpointListEntry& entry : update.entries) {
    Record& record = records_[entry.id];
    record.entry = entry;
    record.listed = entry.state != EndpointState::removed;
    affected_ids.push_back(entry.id);
  }
  return affected_ids;
}

std::vector<ListedEndpoint> EndpointCatalog::to_listed(const std::vector<EndpointListEntry>& entries, Ms now,
                                                       double wall_now) {
  std::vector<ListedEndpoint> endpoints;
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
      if (record.start_source_wall_ms != entry.start_wall_ms) {
        record.start_source_wall_ms = entry.start_wall_ms;
        // A start in the future means that the sender's clock is ahead: it counts as a start right now.
        record.start = now - std::max(0.0, wall_now - entry.start_wall_ms);
      }
      endpoint.start_time = Time(Duration(record.start));
    }
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

std::vector<EndpointListEntry> EndpointCatalog::entries() const {
  std::vector<EndpointListEntry> listed;
  for (const auto& [id, record] : records_)
    if (record.listed) listed.push_back(record.entry);
  return listed;
}

bool EndpointCatalog::is_available(std::uint32_t id) const {
  auto found = records_.find(id);
  if (found == records_.end()) return false;
  const Record& record = found->second;
  return record.listed && record.entry.state == EndpointState::available;
}

std::optional<Ms> EndpointCatalog::start_time(std::uint32_t id) const {
  auto found = records_.find(id);
  if (found == records_.end() || found->second.start_source_wall_ms <= 0) return std::nullopt;
  return found->second.start;
}

const EndpointListEntry* EndpointCatalog::find(std::uint32_t id) const {
  auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second.entry;
}

}  // namespace beamshunt::assigner
