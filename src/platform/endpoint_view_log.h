// Logs once a second how this assigner sees all endpoints: attempts, failures, latency, weight, health and
// utilization. The log is meant for comparison with the traffic that the endpoints see; no decision depends
// on it.
#pragma once

#include <map>
#include <string>

#include "assignments/assignment_tables.h"
#include "base/time.h"
#include "platform/effects.h"
#include "platform/endpoint_catalog.h"
#include "platform/message.h"
#include "settings/settings.h"

namespace beamshunt::platform {

// The periodic `endpoint_view` log line and the statistics that it reports.
class EndpointViewLog {
 public:
  // `outputs` must outlive this object.
  explicit EndpointViewLog(Outputs& outputs) : outputs_(outputs) {}

  // Adds a report on an endpoint to its statistics.
  void record_report(EndpointId endpoint, const EndpointReportMessage& report);
  // Stores the outcome of a health check and the utilization from its load report.
  void record_health_check(EndpointId endpoint, AttemptOutcome outcome, const LoadReport& load);

  // Writes the log line if it is due at `now` (ms), and resets the statistics of the reports.
  void write_if_due(const EndpointCatalog& catalog, const assignments::AssignmentTables& tables,
                    const settings::Names& names, Ms now);

 private:
  struct Statistics {
    // Sums over the reports since the last log line.
    double attempts = 0;
    double failed = 0;
    double total_latency = 0;  // ms, over the successful attempts
    // Latest values.
    std::string health_check_outcome;  // empty: no health check yet
    double utilization = -1;           // as given by the load report; negative: not reported yet
  };

  Outputs& outputs_;
  std::map<EndpointId, Statistics> statistics_;
  Ms next_write_at_ = 0;
};

}  // namespace beamshunt::platform
