// Once a second a log line on all endpoints as this assigner sees them: attempts, failures, latency, weight,
// health, utilization. To be compared with the traffic that the endpoints see. For the log alone: nothing is
// decided by it.
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

class EndpointViewLog {
 public:
  // `outputs` must outlive this.
  explicit EndpointViewLog(Outputs& outputs) : outputs_(outputs) {}

  void record_report(EndpointId endpoint, const EndpointReportMessage& report);
  void record_health_check(EndpointId endpoint, AttemptOutcome outcome, const LoadReport& load);

  // Writes the line if it is due at `now` (ms), and begins a new account.
  void write_if_due(const EndpointCatalog& catalog, const assignments::AssignmentTables& tables,
                    const settings::Names& names, Ms now);

 private:
  struct View {
    // Of the reports since the last line.
    double attempts = 0;
    double failed = 0;
    double total_latency = 0;  // ms, over the successful attempts
    // Last known.
    std::string health_check_outcome;  // empty: none yet
    double utilization = -1;           // by the load report; below 0: none yet
  };

  Outputs& outputs_;
  std::map<EndpointId, View> views_;
  Ms next_line_at_ = 0;
};

}  // namespace beamshunt::platform
