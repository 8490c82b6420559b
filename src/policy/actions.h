// The actions that Controller::handle returns for its host to carry out.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "policy/types.h"

namespace beamshunt {

// Subscribes to changes of the endpoint list, starting at the last known version.
struct Subscribe {
  bool active = true;  // false: ends the subscription
};
// Requests the complete endpoint list once.
struct FetchEndpoints {};
struct SetTimer {
  Time deadline{};
  std::uint64_t token = 0;  // value returned in the TimerFired event
};
struct SendHealthCheck {
  EndpointId endpoint{};
};
struct SendPeerMessage {
  std::uint32_t peer = 0;
  bool to_all_peers = false;
  std::vector<std::uint8_t> payload;
};
struct SetWeight {
  TableId table{};
  EndpointId endpoint{};
  double weight = 0;  // weight relative to the other entries of the table; 0 removes the entry
};
struct ClearTable {
  TableId table{};
};
// Makes the proxy use this table for these classes.
struct AssignTable {
  ClassMask classes = 0;
  ProxyId proxy{};
  TableId table{};
};
// Forbids all proxies to use the endpoint, regardless of the weights in their tables.
struct ExcludeEndpoint {
  EndpointId endpoint{};
  bool excluded = true;  // false: ends the exclusion
};
// Removes the endpoint from the tables that the proxy holds from earlier streams. Valid until the proxy gets
// its first table of this controller.
struct RemoveHeldEndpoint {
  ProxyId proxy{};
  EndpointId endpoint{};
};
struct SetAdmissionLimit {
  TableId table{};
  bool all_tables = false;
  ClassMask classes = 0;
  double limit = 0;  // limit at each proxy in the unit of Settings::admission_limit_kind
  RetryMode retry_mode = RetryMode::never;
};
// Ends the updates of one batch. Each proxy that received an update of the batch acknowledges this request.
struct AckRequest {
  std::uint32_t sequence_number = 0;
  bool all_proxies = false;  // true: proxies without an update in the batch acknowledge too
};
// A message for the host's log. Flight records store the text, and replay compares it.
struct LogMessage {
  std::string text;
};
struct InvariantViolated {
  std::string text;
};

// The order of the alternatives is part of the flight record format.
using Action = std::variant<Subscribe, FetchEndpoints, SetTimer, SendHealthCheck, SendPeerMessage, SetWeight,
                            ClearTable, AssignTable, ExcludeEndpoint, SetAdmissionLimit, AckRequest,
                            LogMessage, InvariantViolated, RemoveHeldEndpoint>;

}  // namespace beamshunt
