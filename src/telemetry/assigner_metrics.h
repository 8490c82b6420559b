// What an engineer has to see before users notice a fault: an assigner's state and counts at one instant. The
// exporter turns them into series (exporter.h); docs/metrics.md lists every series with its name, which is
// not the field's.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace beamshunt::telemetry {

// Counts only grow while the process runs; all else is as of now. Times are in seconds.
struct AssignerMetrics {
  // What the proxies of one locality report of one class.
  struct ServiceCounts {
    std::string locality;
    std::string request_class;
    std::uint64_t arrivals = 0;  // retries and rejected requests included
    std::uint64_t failed = 0;    // admitted and without a good answer
    std::uint64_t in_time = 0;   // answered within the class's latency objective
    double priority_weight = 1;  // of one request
  };
  // The admission limits of one class in all tables.
  struct AdmissionLimits {
    std::string request_class;
    double lowest = 0;             // requests a second at a proxy, or a share
    std::uint64_t reductions = 0;  // updates that lowered a limit
  };

  // ---- The update channel ----
  double queued_lines = 0;  // decided and not acknowledged
  double max_queued_lines = 1;
  double oldest_unacknowledged_s = 0;      // the age of that update
  std::vector<double> messages_in_window;  // to each registered proxy
  double max_messages_per_window = 0;      // to one proxy; 0: no limit

  // ---- Service and decisions ----
  std::vector<ServiceCounts> service;
  std::vector<AdmissionLimits> admission_limits;
  std::uint64_t ejections = 0;
  std::uint64_t reports = 0;
  std::uint64_t events = 0;          // given to the controller
  std::uint64_t actions = 0;         // of the controller
  std::uint64_t updates = 0;         // messages sent to proxies
  double longest_report_wait_s = 0;  // that a report waits for its turn

  // ---- The endpoint list ----
  double endpoint_list_age_s = 0;  // since discovery was last heard
  double listed_endpoints = 0;

  // ---- Streams ----
  double streams = 0;
  double proxies = 0;  // registered
  std::uint64_t rejected_streams = 0;
  std::uint64_t broken_streams = 0;
  std::uint64_t dropped_updates = 0;  // their stream ended before they were sent

  // How near each of the five rules is to its limit, by what the assigner knows; 1 is the limit itself.
  std::array<double, 5> rule_usage{};
  double longest_turn_s = 0;  // of the event loop since the last scrape

  // ---- Streamed configuration ----
  double config_version = 0;    // number of the active version; 0: the files alone
  double config_streaming = 0;  // 1 while a service is connected
  std::uint64_t config_acked = 0;
  std::uint64_t config_nacked = 0;
  std::uint64_t config_superseded = 0;
  std::uint64_t config_reverted = 0;

  // ---- Remote write itself ----
  double buffer_bytes = 0;
  double send_lag_s = 0;  // the age of the oldest scrape that the receiver has not taken
  std::uint64_t samples_sent = 0;
  std::uint64_t samples_dropped = 0;   // the oldest, for want of room or for age
  std::uint64_t samples_rejected = 0;  // by the receiver, for good
  std::uint64_t samples_lost = 0;      // not written to disk, or damaged there
  std::uint64_t send_failures = 0;     // requests that the receiver did not take
};

}  // namespace beamshunt::telemetry
