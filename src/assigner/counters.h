// Event counts of the assigner's core since its start, for the status page and the metrics. No decision
// depends on them.
#pragma once

#include <cstdint>

namespace beamshunt::assigner {

struct Counters {
  std::uint64_t events = 0;             // events handled by controllers
  std::uint64_t actions = 0;            // actions decided by controllers
  std::uint64_t update_messages = 0;    // update messages queued for proxies
  std::uint64_t updates = 0;            // updates in those messages
  std::uint64_t reports = 0;            // load reports from proxies
  std::uint64_t report_entries = 0;     // entries in those reports
  std::uint64_t refused_streams = 0;    // streams that the assigner ended with a Refuse frame
  std::uint64_t broken_streams = 0;     // streams closed by the other side or by the network
  std::uint64_t dropped_messages = 0;   // update messages whose stream ended before they were sent
  std::uint64_t unknown_endpoints = 0;  // report entries on endpoints that were never listed
};

}  // namespace beamshunt::assigner
