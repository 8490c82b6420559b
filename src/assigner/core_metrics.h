// What the metrics and the fleet snapshot need beside the core's own state: service by class, attempts by
// endpoint, draining endpoints, ejections. Nothing is decided by any of it.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "assigner/core_view.h"
#include "telemetry/exporter.h"

namespace beamshunt::assigner {

// Of an endpoint, by the proxies' reports.
struct EndpointActivity {
  double attempt_rate = 0;  // a second, smoothed
  double utilization = -1;  // by its last report; below 0: never reported
  Ms updated_at = 0;
};

class CoreMetrics {
 public:
  // ---- What happened ----
  void add_report(Locality from, const native_protocol::LoadReportMessage& report,
                  const EndpointCatalog& endpoints, Ms now);
  void endpoint_changed(std::uint32_t endpoint, bool available, Ms now);
  void proxy_removed(ProxyId proxy) { without_endpoints_since_.erase(proxy); }
  void controller_logged(const LogMessage& message);
  // Called before the tables take the new limit: counts the limits that it lowers.
  void limit_set(const assignments::AssignmentTables& tables, const SetAdmissionLimit& action);

  // Whether the update takes weight from an endpoint that is draining or removed.
  [[nodiscard]] bool removes_closed_endpoint(const native_protocol::Update& update) const;
  [[nodiscard]] const EndpointActivity* activity(std::uint32_t endpoint) const;  // null: none reported
  // Requests that arrived since the start, by class.
  [[nodiscard]] std::vector<double> arrivals_by_class(std::size_t class_count) const;

  telemetry::AssignerMetrics collect(const CoreView& core, Ms now);

 private:
  struct ServiceTotals {
    std::uint64_t arrivals = 0;
    std::uint64_t failed = 0;
    std::uint64_t within_objective = 0;
  };

  void add_channel(const CoreView& core, Ms now, telemetry::AssignerMetrics& figures);
  Ms longest_without_endpoints(const CoreView& core, Ms now);
  void add_service(const AssignerSettings& site, telemetry::AssignerMetrics& figures) const;
  // Returns whether a limit in force allows retries that its class's semantics don't.
  bool add_limits(const CoreView& core, telemetry::AssignerMetrics& figures) const;
  [[nodiscard]] double slow_start_use(const CoreView& core, Ms now) const;
  [[nodiscard]] double drain_use(const CoreView& core, Ms now) const;

  std::map<std::uint32_t, EndpointActivity> activity_;  // by endpoint
  std::map<std::uint32_t, Ms> closed_since_;            // endpoints that drain or are removed
  std::map<std::pair<std::uint32_t, std::uint32_t>, ServiceTotals> service_;  // by locality and class
  std::map<std::uint32_t, std::uint64_t> limit_cuts_;                         // by class
  std::map<ProxyId, Ms> without_endpoints_since_;  // registered proxies that a table without weights serves
  std::uint64_t ejections_ = 0;
};

}  // namespace beamshunt::assigner
