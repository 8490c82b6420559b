// The events that the host of a controller passes to Controller::handle.
#pragma once

#include <cstdint>
#include <map>
#include <variant>
#include <vector>

#include "policy/types.h"

namespace beamshunt {

struct ListedEndpoint {
  EndpointId id{};
  Locality locality{};
  std::uint32_t cell = 0;  // number of the failure domain within the locality
  double capacity = 1;     // configured capacity relative to other endpoints; a rough value
  EndpointState state = EndpointState::available;
  Time start_time{};
  bool start_time_known = false;  // false: the endpoint started long ago
};

struct EndpointList {
  EndpointListKind kind = EndpointListKind::complete;
  std::vector<ListedEndpoint> entries;
};

struct TimerFired {
  std::uint64_t token = 0;  // token of the SetTimer action
};

struct HealthCheckResult {
  EndpointId endpoint{};
  AttemptOutcome outcome = AttemptOutcome::success;
  Duration duration{};
  LoadReport load;  // empty if the check did not request a load report
};

struct PeerMessage {
  std::uint32_t sender = 0;  // instance number of the sending controller
  std::vector<std::uint8_t> payload;
};

// A proxy opened a stream. The new stream replaces any earlier stream of this proxy.
struct ProxyRegistered {
  ProxyId proxy{};
  Locality locality{};
  double expected_rate = 0;         // requests per second; 0: unknown
  bool only_static_tables = false;  // true: none of its tables was assigned by a controller
};

struct ProxyDisconnected {
  ProxyId proxy{};
};

// A proxy applied all updates up to the AckRequest with this sequence number.
struct UpdateAcknowledged {
  ProxyId proxy{};
  Duration delay{};  // time between sending and applying the update
  std::uint32_t sequence_number = 0;
};

// Counts the attempts that the proxies of one locality made at one endpoint and that ended in the interval.
struct EndpointReport {
  Locality source_locality{};
  EndpointId endpoint{};
  double attempts = 0;
  double failed = 0;
  Duration mean_latency{};  // mean over the successful attempts
  Duration interval{};      // time covered by the report
  LoadReport load;
};

// Counts the requests of one class that arrived at a proxy, including rejected and retried requests.
struct DemandReport {
  ProxyId proxy{};
  ClassId request_class{};
  double arrivals = 0;
  double failed = 0;    // requests that were admitted but not answered
  Duration interval{};  // time covered by the report
};

// Counts the requests of one class that arrived for a shard.
struct ShardDemandReport {
  TableId shard{};
  ClassId request_class{};
  double arrivals = 0;
  double failed = 0;
  Duration interval{};
};

// Responsibility for a shard was given to this controller or withdrawn from it.
struct ShardAssigned {
  TableId shard{};
  bool assigned = false;  // false: withdrawn
};

// An endpoint already serves a shard that was assigned to this controller.
struct ShardOwnerReported {
  TableId shard{};
  EndpointId endpoint{};
  double weight = 0;
};

// Another controller sends updates through the same channel during a handover: either the predecessor or the
// successor of this controller.
struct SharedChannelUsage {
  double queued_lines = 0;  // lines of the other controller's unacknowledged messages
  // Messages sent to each proxy since the previous event of this kind; in the first event, messages sent
  // within Settings::message_window.
  std::map<ProxyId, int> messages_sent;
};

// The order of the alternatives is part of the flight record format.
using Event = std::variant<EndpointList, TimerFired, HealthCheckResult, PeerMessage, ProxyRegistered,
                           ProxyDisconnected, UpdateAcknowledged, EndpointReport, DemandReport,
                           ShardDemandReport, ShardAssigned, ShardOwnerReported, SharedChannelUsage>;

}  // namespace beamshunt
