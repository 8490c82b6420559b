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
struct Fleet {
  struct Server {
    std::uint32_t id = 0, locality = 0, cell = 0;
    double size = 1;
    bool open = true;            // available
    Ms up_for = 1e12;            // since its start; long, if that is unknown
    double rate = 0, busy = -1;  // attempts a second; utilization by its last report, below 0: unknown
    net::Address address{};
  };
  struct JoinedProxy {
    std::uint32_t id = 0, locality = 0;
    double usual = 0;       // requests a second, as it announced
    std::size_t spent = 0;  // update messages within the message window
    net::Address from{};
  };
  std::vector<Server> servers;       // listed
  std::vector<JoinedProxy> proxies;  // registered
  std::vector<double> came;          // requests by class since the start
  std::size_t streams = 0;
};

Fleet fleet_snapshot(const CoreView& core, const CoreMetrics& metrics, Ms now);
std::string status_json(const CoreView& core, Ms now);

}  // namespace beamshunt::assigner
