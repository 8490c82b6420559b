// Figures for the metrics and the fleet snapshot that the core's own state does not contain: service by
// class, attempts by endpoint, unavailable endpoints, and ejections. No decision depends on them.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "assigner/core_view.h"
#include "telemetry/exporter.h"

namespace beamshunt::assigner {

// An endpoint's load as reported by proxies.
struct EndpointActivity {
  double attempt_rate = 0;  // exponentially smoothed, in attempts per second
  double utilization = -1;  // last reported value; negative if never reported
  Ms updated_at = 0;
};

class CoreMetrics {
 public:
  // ---- Recording ----
  void add_load_report(Locality proxy_locality, const native_protocol::LoadReportMessage& report,
                       const EndpointCatalog& endpoints, Ms now);
  void endpoint_changed(std::uint32_t endpoint, bool available, Ms now);
  void proxy_removed(ProxyId proxy) { without_endpoints_since_.erase(proxy); }
  // Counts an ejection if the controller's log message reports one.
  void count_ejections(const LogMessage& message);
  // Counts the limits that `action` lowers. Must be called before `tables` apply the action.
  void count_limit_reductions(const assignments::AssignmentTables& tables, const SetAdmissionLimit& action);

  // ---- Queries ----
  // Returns whether the update removes the weight of an endpoint that is draining or removed.
  [[nodiscard]] bool removes_unavailable_endpoint(const native_protocol::Update& update) const;
  // Returns the endpoint's activity, or null if no report named the endpoint. The pointer stays valid while
  // this object exists.
  [[nodiscard]] const EndpointActivity* activity(std::uint32_t endpoint) const;
  // Returns the number of requests that arrived since the start, for each of `class_count` classes.
  [[nodiscard]] std::vector<double> arrivals_by_class(std::size_t class_count) const;

  telemetry::AssignerMetrics collect(const CoreView& core, Ms now);

 private:
  struct ServiceTotals {
    std::uint64_t arrivals = 0;
    std::uint64_t failed = 0;
    std::uint64_t within_objective = 0;
  };

  void add_channel(const CoreView& core, Ms now, telemetry::AssignerMetrics& metrics);
  // Returns the longest time for which a registered proxy has had a table without weights, as far as the
  // decided updates show.
  Ms longest_without_endpoints(const CoreView& core, Ms now);
  void add_service(const AssignerSettings& settings, telemetry::AssignerMetrics& metrics) const;
  // Returns whether a limit in force permits retries that are unsafe under the semantics of its class.
  bool add_admission_limits(const CoreView& core, telemetry::AssignerMetrics& metrics) const;
  // Returns the highest ratio of attempt rate to permitted rate among endpoints that are warming up. The
  // permitted rate is derived from the attempts of warm endpoints at their present utilization.
  [[nodiscard]] double slow_start_usage(const CoreView& core, Ms now) const;
  // Returns the age of the oldest pending drain, relative to the drain grace period. A drain is pending from
  // the endpoint's state change until no table in use contains its weight, and until each update that removes
  // the weight is acknowledged.
  [[nodiscard]] double drain_usage(const CoreView& core, Ms now) const;

  std::map<std::uint32_t, EndpointActivity> activity_;  // by endpoint
  std::map<std::uint32_t, Ms> unavailable_since_;       // draining and removed endpoints
  std::map<std::pair<std::uint32_t, std::uint32_t>, ServiceTotals> service_totals_;  // by locality and class
  std::map<std::uint32_t, std::uint64_t> limit_reductions_;                          // by class
  std::map<ProxyId, Ms> without_endpoints_since_;  // registered proxies assigned to a table without weights
  std::uint64_t ejections_ = 0;
};

}  // namespace beamshunt::assigner
