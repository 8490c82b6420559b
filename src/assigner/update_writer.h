// Converts a controller's updates to those of the native protocol and collects them by proxy, so that each
// proxy gets the decisions of one batch in a single message. It keeps no tables and sends nothing.
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "assigner/endpoint_catalog.h"
#include "assigner/session_table.h"
#include "assignments/assignment_tables.h"
#include "native_protocol/frames.h"

namespace beamshunt::assigner {

// Returns a table's id on the wire. Each controller has its own range of ids, so that a proxy never confuses
// a new controller's tables with those of the controller before it.
std::uint32_t wire_table_id(std::uint32_t controller, TableId table);

// Converts an update of this controller to the native protocol. An update that sets a weight above 0 gets the
// locality, cell and address of its endpoint from `endpoints`.
native_protocol::Update to_protocol_update(std::uint32_t controller, const assignments::Update& update,
                                           const EndpointCatalog& endpoints);

class UpdateWriter {
 public:
  using UpdatesByProxy = std::map<ProxyId, std::vector<native_protocol::Update>>;

  void add(ProxyId proxy, const native_protocol::Update& update) { updates_[proxy].push_back(update); }
  // Ensures that the proxy receives a message in this batch.
  void add_message(ProxyId proxy) { updates_.try_emplace(proxy); }
  // Adds an acknowledgement request for each proxy that has pending updates and, if `all_proxies` is set, for
  // each registered proxy.
  void request_acks(std::uint32_t sequence_number, bool all_proxies, const SessionTable& sessions);
  // Drops the pending updates of a proxy.
  void discard(ProxyId proxy) { updates_.erase(proxy); }
  // Returns all pending updates and clears them.
  UpdatesByProxy take_updates() { return std::exchange(updates_, {}); }

 private:
  UpdatesByProxy updates_;
};

}  // namespace beamshunt::assigner
