// The core's state for people and for the validation of new settings: the status page and the fleet snapshot.
// Pure reading; nothing is decided by it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "assigner/core_metrics.h"
#include "assigner/core_view.h"

namespace beamshunt::assigner {

// What is known of the fleet at an instant: what a change of the settings is judged against.
struct FleetSnapshot {
  struct Endpoint {
    std::uint32_t id = 0, locality = 0, cell = 0;
    double capacity = 1;
    bool available = true;
    Ms uptime = 1e12;  // since its start; long, if that is unknown
    double attempt_rate = 0,
           utilization = -1;  // attempts a second; utilization by its last report, below 0: unknown
    net::Address address{};
  };
  struct RegisteredProxy {
    std::uint32_t id = 0, locality = 0;
    double expected_rate = 0;            // requests a second, as it announced
    std::size_t messages_in_window = 0;  // update messages within the message window
    net::Address address{};
  };
  std::vector<Endpoint> endpoints;        // listed
  std::vector<RegisteredProxy> proxies;   // registered
  std::vector<double> arrivals_by_class;  // requests by class since the start
  std::size_t streams = 0;
};

FleetSnapshot fleet_snapshot(const CoreView& core, const CoreMetrics& metrics, Ms now);
std::string status_json(const CoreView& core, Ms now);

}  // namespace beamshunt::assigner
