// The endpoints that the discovery service has listed: the latest entry of each endpoint, and whether it is
// still listed.
//
// The catalog opens no socket and reads no clock. Endpoint lists are parsed in endpoint_list_json; the bytes
// of the cached copy are encoded in cached_list_codec.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "net/address.h"
#include "policy/controller.h"

namespace beamshunt::assigner {

using base::Ms;

// An endpoint as the discovery service describes it.
struct EndpointListEntry {
  std::uint32_t id = 0;
  std::uint32_t locality = 0;  // index into the configured localities
  std::uint32_t cell = 0;
  double capacity = 1;  // relative to other endpoints; greater than 0
  EndpointState state = EndpointState::available;
  double start_wall_ms = 0;  // start time in ms since 1970; 0: unknown, long ago
  net::Address address{};
  bool operator==(const EndpointListEntry&) const = default;
};

// A message of the discovery service.
struct EndpointListUpdate {
  bool complete = true;  // true: `entries` are all endpoints; false: only the changed ones
  std::uint64_t version = 0;
  std::vector<EndpointListEntry> entries;
};

class EndpointCatalog {
 public:
  // Applies an update. Endpoints missing from a complete update are no longer listed, but find() still
  // returns them, because a drain may need their addresses. Returns the ids of all endpoints in the update
  // and of those that were listed before and are missing from a complete update.
  std::vector<std::uint32_t> apply(const EndpointListUpdate& update);

  // Converts `entries` to the form used in the policy's events. `now` is monotonic time; `wall_now` is ms
  // since 1970. Each start time is converted to monotonic time only once, because a conversion after a step
  // of either clock would give another result, which the policy would treat as a restart with a new warm-up.
  std::vector<ListedEndpoint> to_listed(const std::vector<EndpointListEntry>& entries, Ms now,
                                        double wall_now);

  // Returns the listed endpoints in ascending order of their ids.
  [[nodiscard]] std::vector<EndpointListEntry> entries() const;
  // Returns the latest entry of an endpoint that was ever listed, or null. The pointer's target may change in
  // the next apply().
  [[nodiscard]] const EndpointListEntry* find(std::uint32_t id) const;
  // Returns whether the endpoint is listed and in the state `available`.
  [[nodiscard]] bool is_available(std::uint32_t id) const;
  // Returns the endpoint's start in monotonic time, or nullopt if it is unknown.
  [[nodiscard]] std::optional<Ms> start_time(std::uint32_t id) const;
  // Returns the version of the last applied update; 0 before the first one.
  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  struct Record {
    EndpointListEntry entry;
    bool listed = true;
    double start_source_wall_ms = 0;  // wall time from which `start` was computed; 0: not computed
    Ms start = 0;                     // monotonic
  };
  std::uint64_t version_ = 0;
  std::map<std::uint32_t, Record> records_;  // by endpoint id
};

}  // namespace beamshunt::assigner
