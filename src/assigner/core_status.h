// Read-only summaries of the core's state: the status page for operators, and the fleet snapshot against
// which new settings are validated. No decision depends on them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "assigner/core_metrics.h"
#include "assigner/core_view.h"

namespace beamshunt::assigner {

// The listed endpoints and registered proxies at one instant. Changes to the settings are validated against
// this snapshot.
struct FleetSnapshot {
  struct Endpoint {
    std::uint32_t id = 0, locality = 0, cell = 0;
    double capacity = 1;  // relative to other endpoints
    bool available = true;
    Ms uptime = 1e12;                           // a long time if the start is unknown
    double attempt_rate = 0, utilization = -1;  // attempts per second; last reported value, negative: unknown
    net::Address address{};
  };
  struct RegisteredProxy {
    std::uint32_t id = 0, locality = 0;
    double expected_rate = 0;            // requests per second announced by the proxy; 0: unknown
    std::size_t messages_in_window = 0;  // update messages within the message window
    net::Address address{};
  };
  std::vector<Endpoint> endpoints;
  std::vector<RegisteredProxy> proxies;
  std::vector<double> arrivals_by_class;  // requests since the assigner's start
  std::size_t streams = 0;                // number of open streams
};

FleetSnapshot fleet_snapshot(const CoreView& core, const CoreMetrics& metrics, Ms now);
// Returns the status page as a JSON object.
std::string status_json(const CoreView& core, Ms now);

}  // namespace beamshunt::assigner
