// The endpoints that the discovery service has listed: the latest entry of each, and whether it is still
// listed.
//
// Holds state only: parsing is in endpoint_list_json, the cached copy's bytes are in cached_list_codec. It
// opens no socket, reads no clock and decides nothing.
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

// One endpoint as the discovery service describes it.
struct EndpointListEntry {
  std::uint32_t id = 0;
  std::uint32_t locality = 0;  // index into the configured localities
  std::uint32_t cell = 0;
  double capacity = 1;  // relative to other endpoints; above 0
  EndpointState state = EndpointState::available;
  double start_wall_ms = 0;  // ms since 1970; 0: started long ago, the instant is not known
  net::Address address{};
  bool operator==(const EndpointListEntry&) const = default;
};

// One message of the discovery service.
struct EndpointListUpdate {
  bool complete = true;  // names every endpoint there is; otherwise only those that changed
  std::uint64_t version = 0;
  std::vector<EndpointListEntry> entries;
};

class EndpointCatalog {
 public:
  // Applies an update. Endpoints that a complete update leaves out are no longer listed, but find() still
  // knows their address: a drain may have to name them. Returns the ids of the endpoints it concerns, whether
  // the update names them or leaves them out.
  std::vector<std::uint32_t> apply(const EndpointListUpdate& update);

  // `entries` as the policy's events give them. `now` is monotonic, `wall_now` ms since 1970. A start given
  // in wall time is converted to a monotonic instant once and kept: if a step of either clock moved it, the
  // policy would take the endpoint for restarted and warm it up again.
  std::vector<ListedEndpoint> to_listed(const std::vector<EndpointListEntry>& entries, Ms now,
                                        double wall_now);

  // Listed endpoints in order of their ids.
  [[nodiscard]] std::vector<EndpointListEntry> entries() const;
  // The latest entry of an endpoint that was ever listed; null if it never was. Valid until the next apply().
  [[nodiscard]] const EndpointListEntry* find(std::uint32_t id) const;
  // Whether the endpoint is listed and takes requests.
  [[nodiscard]] bool is_available(std::uint32_t id) const;
  // The monotonic instant of the endpoint's start; nothing if it started long ago or never said.
  [[nodiscard]] std::optional<Ms> start_time(std::uint32_t id) const;
  // The version of the last update applied; 0 before the first.
  [[nodiscard]] std::uint64_t version() const { return version_; }

 private:
  struct Record {
    EndpointListEntry entry;
    bool listed = true;
    double start_known_as = 0;  // the wall time from which `start` was computed; 0: not computed
    Ms start = 0;
  };
  std::uint64_t version_ = 0;
  std::map<std::uint32_t, Record> records_;  // by endpoint id
};

}  // namespace beamshunt::assigner
