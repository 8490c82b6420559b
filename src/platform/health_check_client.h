// The controller's health checks of endpoints: at most one in flight for each endpoint. When to check, and
// what a result means, is the controller's; the shell carries the requests.
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

class HealthCheckClient {
 public:
  // All must outlive this. `view_log`: null if endpoints are not logged.
  HealthCheckClient(const Configuration& configuration, const EndpointCatalog& catalog, Outputs& outputs,
                    EndpointViewLog* view_log)
      : configuration_(configuration), catalog_(catalog), outputs_(outputs), view_log_(view_log) {}

  // A controller starts: checks of the former one are void, their results are ignored.
  void start_controller() { in_flight_.clear(); }

  // Checks the endpoint, unless a check of it is in flight. Where no address is known the result is
  // connect_failed at once.
  void start(EndpointId endpoint);

  // The shell's result of StartHealthCheck. `duration`: ms; `body`: of the answer, holds the load report if
  // one was requested.
  void on_result(EndpointId endpoint, HealthCheckId id, AttemptOutcome outcome, Ms duration,
                 std::string_view body);

 private:
  const Configuration& configuration_;
  const EndpointCatalog& catalog_;
  Outputs& outputs_;
  EndpointViewLog* view_log_;
  std::map<EndpointId, HealthCheckId> in_flight_;  // of the present controller
  std::uint64_t last_id_ = 0;
};

}  // namespace beamshunt::platform
