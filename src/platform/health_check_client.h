// Runs the health checks that the controller requests, with at most one check in flight per endpoint. The
// controller decides when to check and how to interpret the result; the shell sends the requests.
#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "base/time.h"
#include "platform/configuration.h"
#include "platform/effects.h"
#include "platform/endpoint_catalog.h"
#include "platform/endpoint_view_log.h"

namespace beamshunt::platform {

// The health checks of one assigner.
class HealthCheckClient {
 public:
  // All arguments must outlive the client. `view_log` is null if endpoints are not logged.
  HealthCheckClient(const Configuration& configuration, const EndpointCatalog& catalog, Outputs& outputs,
                    EndpointViewLog* view_log)
      : configuration_(configuration), catalog_(catalog), outputs_(outputs), view_log_(view_log) {}

  // Discards the checks of the previous controller: their results will be ignored.
  void start_controller() { in_flight_.clear(); }

  // Checks the endpoint unless a check of it is in flight. If the endpoint's address is not known, the check
  // fails at once with connect_failed.
  void start(EndpointId endpoint);

  // Handles the result of StartHealthCheck. `duration` is in ms. `body` is the body of the response and
  // contains the load report if one was requested.
  void on_result(EndpointId endpoint, HealthCheckId id, AttemptOutcome outcome, Ms duration,
                 std::string_view body);

 private:
  const Configuration& configuration_;
  const EndpointCatalog& catalog_;
  Outputs& outputs_;
  EndpointViewLog* view_log_;
  std::map<EndpointId, HealthCheckId> in_flight_;  // checks requested by the present controller
  std::uint64_t last_id_ = 0;
};

}  // namespace beamshunt::platform
