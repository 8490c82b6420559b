// What staff must see before tills slow down, and its way into series. Names and units follow Prometheus'
// conventions; docs/metrics.md lists every series.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "telemetry/scrape.h"

namespace beamshunt::telemetry {

// One look at an assigner. Counts only grow; all else is as of now.
struct Figures {
  struct Service {  // of one locality's proxies and one class, as they report it
    std::string locality, request_class;
    std::uint64_t came = 0, unanswered = 0, in_time = 0;
    double worth = 1;  // of one request
  };
  struct Level {
    std::string request_class;
    double lowest = 0;       // of the levels in force: requests a second at a proxy, or a share
    std::uint64_t cuts = 0;  // orders that lowered a level
  };
  double backlog_lines = 0, backlog_most = 1, backlog_age_s = 0;  // decided and not confirmed
  std::vector<double> messages;                                   // to each joined proxy within the span
  double messages_allowed = 0;                                    // 0: no limit
  std::vector<Service> service;
  std::vector<Level> levels;
  std::uint64_t ejections = 0;
  double list_age_s = 0, list_entries = 0;
  double report_wait_s = 0;  // the longest that a report has waited for its turn
  std::uint64_t reports = 0, events = 0, actions = 0, orders = 0, refused_streams = 0, broken_streams = 0,
                dropped_messages = 0;
  double streams = 0, proxies = 0;
  // How near each of the five rules is to its limit by what the assigner knows: 1 is the limit itself.
  std::array<double, 5> rules{};
  double loop_lag_s = 0;  // the longest turn of the loop since the last look
  // Streamed settings: the number of the version in force, and what versions were answered.
  double config_version = 0, config_streaming = 0;
  std::uint64_t config_acked = 0, config_nacked = 0, config_superseded = 0, config_reverted = 0;
  // The pipeline's own health.
  double wal_bytes = 0, wal_lag_s = 0;
  std::uint64_t samples_sent = 0, samples_dropped_old = 0, samples_refused = 0, samples_lost = 0,
                send_failures = 0;
};

// Keeps the registry; series are bounded by classes and localities, never by proxies or endpoints.
class Exporter {
 public:
  // External labels go to every series, such as {"instance", "0"}.
  explicit Exporter(Labels external);
  ~Exporter();
  Scrape scrape(const Figures& figures, std::int64_t at_ms);
  // Every series of the last scrape once more, with the mark that says it has ended.
  Scrape stale(std::int64_t at_ms) const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

double stale_marker();  // the NaN that Prometheus' specification gives that meaning
bool is_stale_marker(double value);

}  // namespace beamshunt::telemetry
