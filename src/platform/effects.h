// What the platform's core has its shell do, and what its parts have for the controller. The core performs no
// I/O: its parts append to one Outputs, the shell executes the effects in their order.
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
#include "platform/list_watch.h"
#include "policy/controller.h"

namespace beamshunt::platform {

// Of one connection that a peer opened; never used twice.
enum class ConnectionId : std::uint64_t {};
// Of one health check; never used twice.
enum class HealthCheckId : std::uint64_t {};

struct SendBytes {
  ConnectionId connection{};
  std::shared_ptr<const std::string> bytes;
};
struct CloseConnection {
  ConnectionId connection{};
  bool immediately = false;  // false: after what was sent before, so that the peer learns the reason
};
// GET /api/targets?watch=1&from=VERSION. Its bytes and its end are reported by the watch's id.
struct OpenWatch {
  ListWatch::Id watch = 0;
  net::Address discovery{};
  std::uint64_t from_version = 0;
};
struct CloseWatch {
  ListWatch::Id watch = 0;
};
// GET /api/targets, once.
struct FetchEndpointList {
  net::Address discovery{};
};
// GET of the endpoint's health page. The result is reported by the check's id and endpoint.
struct StartHealthCheck {
  HealthCheckId id{};
  EndpointId endpoint{};
  net::Address address{};
  bool wants_load_report = false;  // the page that carries the load report
};
struct LogLine {
  log::Level level = log::Level::info;
  std::string event;
  log::Fields fields;
};
using Effect = std::variant<SendBytes, CloseConnection, OpenWatch, CloseWatch, FetchEndpointList,
                            StartHealthCheck, LogLine>;

// What the core's parts put out, in its order.
struct Outputs {
  std::vector<Effect> effects;  // for the shell
  std::vector<Event> events;    // for the controller, at its next call

  void send(ConnectionId connection, std::string bytes) {
    effects.emplace_back(SendBytes{connection, std::make_shared<const std::string>(std::move(bytes))});
  }
  void log(log::Level level, std::string event, log::Fields fields) {
    effects.emplace_back(LogLine{level, std::move(event), std::move(fields)});
  }
};

}  // namespace beamshunt::platform
