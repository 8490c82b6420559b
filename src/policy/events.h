// What a controller is told.
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
  std::uint32_t cell = 0;  // failure domain within the locality
  double capacity = 1;     // relative to other endpoints, as listed: rough
  EndpointState state = EndpointState::available;
  Time start_time{};
  bool start_time_known = false;  // false: started long ago
};

struct EndpointList {
  EndpointListKind kind = EndpointListKind::complete;
  std::vector<ListedEndpoint> entries;
};

struct TimerFired {
  std::uint64_t token = 0;  // of the SetTimer action
};

struct HealthCheckResult {
  EndpointId endpoint{};
  AttemptOutcome outcome = AttemptOutcome::success;
  Duration duration{};
  LoadReport load;  // empty where the check asked for none
};

struct PeerMessage {
  std::uint32_t sender = 0;  // instance number of another controller
  std::vector<std::uint8_t> payload;
};

struct ProxyRegistered {  // a new stream of the proxy; it replaces a former one
  ProxyId proxy{};
  Locality locality{};
  double expected_rate = 0;         // requests a second; 0: unknown
  bool only_static_tables = false;  // it holds no table that a controller assigned
};

struct ProxyDisconnected {
  ProxyId proxy{};
};

struct UpdateAcknowledged {  // the proxy applied all updates up to an AckRequest
  ProxyId proxy{};
  Duration delay{};  // from sending to applying
  std::uint32_t sequence_number = 0;
};

struct EndpointReport {  // attempts of one locality's proxies that ended at one endpoint
  Locality source_locality{};
  EndpointId endpoint{};
  double attempts = 0;
  double failed = 0;
  Duration mean_latency{};  // of the successful attempts
  Duration interval{};      // that the report covers
  LoadReport load;
};

struct DemandReport {  // requests of a class that reached a proxy, rejected and retried ones included
  ProxyId proxy{};
  ClassId request_class{};
  double arrivals = 0;
  double failed = 0;  // admitted and not answered
  Duration interval{};
};

struct ShardDemandReport {
  TableId shard{};
  ClassId request_class{};
  double arrivals = 0;
  double failed = 0;
  Duration interval{};
};

struct ShardAssigned {  // this controller owns the shard from now on, or no longer
  TableId shard{};
  bool assigned = false;
};

struct ShardOwnerReported {  // an endpoint serves an assigned shard already
  TableId shard{};
  EndpointId endpoint{};
  double weight = 0;
};

// Another controller sends updates through the same channel: the one that this replaces, or that replaces it.
struct SharedChannelUsage {
  double queued_lines = 0;               // of its messages that are not acknowledged
  std::map<ProxyId, int> messages_sent;  // since the last such event; at first, within the message window
};

// The order is part of the flight record's format.
using Event = std::variant<EndpointList, TimerFired, HealthCheckResult, PeerMessage, ProxyRegistered,
                           ProxyDisconnected, UpdateAcknowledged, EndpointReport, DemandReport,
                           ShardDemandReport, ShardAssigned, ShardOwnerReported, SharedChannelUsage>;

}  // namespace beamshunt
