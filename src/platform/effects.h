// The effects that the platform's core requests from its shell, and the events that the core's components
// collect for the controller. The core performs no I/O: its components append to one Outputs object, and the
// shell executes the effects in the order in which they were appended.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "log/log.h"
#include "net/address.h"
#include "platform/watch_set.h"
#include "policy/controller.h"

namespace beamshunt::platform {

// Identifies a connection that a peer opened. Ids are never reused.
enum class ConnectionId : std::uint64_t {};
// Identifies a health check. Ids are never reused.
enum class HealthCheckId : std::uint64_t {};

// Sends bytes to a peer.
struct SendBytes {
  ConnectionId connection{};
  std::shared_ptr<const std::string> bytes;
};
// Closes the connection to a peer.
struct CloseConnection {
  ConnectionId connection{};
  bool immediately =
      false;  // false: the bytes sent before are flushed first, so that the peer gets the reason
};
// Requests GET /api/targets?watch=1&from=VERSION. The shell reports received bytes and the end of the watch
// under the watch's id.
struct OpenWatch {
  WatchSet::Id watch = 0;
  net::Address discovery{};
  std::uint64_t from_version = 0;
};
// Cancels a watch. The shell does not report its end.
struct CloseWatch {
  WatchSet::Id watch = 0;
};
// Requests GET /api/targets once.
struct FetchEndpointList {
  net::Address discovery{};
};
// Requests the endpoint's health page. The shell reports the result under the check's id and endpoint.
struct StartHealthCheck {
  HealthCheckId id{};
  EndpointId endpoint{};
  net::Address address{};
  bool request_load_report = false;  // true: requests the page that contains the load report
};
// Writes a line to the log.
struct LogLine {
  log::Level level = log::Level::info;
  std::string event;
  log::Fields fields;
};
using Effect = std::variant<SendBytes, CloseConnection, OpenWatch, CloseWatch, FetchEndpointList,
                            StartHealthCheck, LogLine>;

// Collects the output of the core's components in the order in which it is produced.
struct Outputs {
  std::vector<Effect> effects;  // effects for the shell to execute
  std::vector<Event> events;    // events for the next call of the controller

  void send(ConnectionId connection, std::string bytes) {
    effects.emplace_back(SendBytes{connection, std::make_shared<const std::string>(std::move(bytes))});
  }
  void log(log::Level level, std::string event, log::Fields fields) {
    effects.emplace_back(LogLine{level, std::move(event), std::move(fields)});
  }
};

}  // namespace beamshunt::platform
