// What the assigner's core has counted since its start, for the status page and the metrics. Nothing is
// decided by these.
#pragma once

#include <cstdint>

namespace beamshunt::assigner {

struct Counters {
  std::uint64_t events = 0;  // that controllers handled
  std::uint64_t actions = 0;
  std::uint64_t messages = 0;  // update messages to proxies
  std::uint64_t lines = 0;     // updates in them
  std::uint64_t reports = 0;   // load reports from proxies
  std::uint64_t report_lines = 0;
  std::uint64_t refused_streams = 0;
  std::uint64_t broken_streams = 0;     // closed by the other side or the network
  std::uint64_t dropped_messages = 0;   // whose stream ended before they left
  std::uint64_t unknown_endpoints = 0;  // report entries on an endpoint that was never listed
};

}  // namespace beamshunt::assigner
