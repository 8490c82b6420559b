// From a controller's updates to the native protocol's: gathers what one batch of decisions says to each
// proxy, so that it becomes one message. It keeps no tables and sends nothing.
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

// A table's number on the wire. Each controller's tables have a range of numbers of their own, so that a new
// controller's tables never meet its predecessor's at a proxy.
std::uint32_t wire_table_id(std::uint32_t controller, TableId table);

// The update as the protocol has it. A weight above 0 carries the endpoint's address from the list.
native_protocol::Update to_channel_update(std::uint32_t controller, const assignments::Update& update,
                                          const EndpointCatalog& endpoints);

class UpdateWriter {
 public:
  using Messages = std::map<ProxyId, std::vector<native_protocol::Update>>;

  void write(ProxyId proxy, const native_protocol::Update& update) { messages_[proxy].push_back(update); }
  // To the proxies that are written to anyway, and, with `all_proxies`, to each registered one.
  void request_acks(std::uint32_t sequence_number, bool all_proxies, const SessionTable& sessions);
  void discard(ProxyId proxy) { messages_.erase(proxy); }
  // What was written since the last call, by proxy.
  Messages take() { return std::exchange(messages_, {}); }

 private:
  Messages messages_;
};

}  // namespace beamshunt::assigner
