// Outlier detection: ejection and readmission of endpoints, and the health checks to send.
//
// Questions: When is an endpoint ejected for the proxies of a locality, and when is it readmitted? Which
// endpoints need a health check?
// Inputs: attempts by path (decaying counts, and failures since the last success), consecutive health check
// results, the time between reports (ms), and listed capacities.
// Rules:
//  - An endpoint is ejected if attempts fail and none succeeded for two periods. The evidence is either
//    enough failures by the decaying count, or a series of failures whose false-positive probability at the
//    failure ratio of the other endpoints is below 0.001.
//  - An endpoint is also ejected in its own locality if its health checks fail while other endpoints there
//    answer theirs, and an expected report is missing.
//  - No endpoint is ejected while the other endpoints fail too (a common cause), or if less than 40% of the
//    listed capacity would remain.
//  - An endpoint is readmitted after 3 s, doubled for each earlier ejection since the endpoint's start (at
//    most 24 s). Where health checks are allowed, it also needs two consecutive successful health checks. A
//    new start time in the endpoint list ends an ejection at once.
// Reason: A hung endpoint returns no responses, so its latency does not show the fault, and load balancing
// alone would keep it in use.
// Never: Outlier detection never ejects an endpoint because of its latency and never changes weights.
#pragma once

#include <vector>

#include "policy/actions.h"
#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace beamshunt {

// Returns whether proxies of locality `from` must not use the endpoint, because it is ejected on their path
// or in its own locality.
[[nodiscard]] bool is_ejected(const Endpoint& endpoint, Locality from);

class OutlierDetector {
 public:
  // `settings` must outlive this object.
  explicit OutlierDetector(const Settings& settings) : settings_(settings) {}

  // Counts consecutive successful or failed health checks.
  static void apply(const HealthCheckResult& result, Endpoint& endpoint);

  // Ejects and readmits endpoints for the proxies of locality `from`, based on the attempts of these proxies.
  // `report_interval` is the typical time between two reports of one endpoint. Returns a log message for each
  // ejection.
  [[nodiscard]] std::vector<LogMessage> evaluate(Locality from, EndpointMap& endpoints,
                                                 Duration report_interval, Time now) const;

  // Returns a health check for each ejected endpoint, and for each available endpoint whose load reports come
  // only with health checks.
  [[nodiscard]] std::vector<SendHealthCheck> due_health_checks(const EndpointMap& endpoints) const;

 private:
  // Sums over all endpoints as seen by the proxies of one locality.
  struct LocalityView {
    double failed = 0;                    // failed attempts on paths that are not ejected
    double attempts = 0;                  // attempts on paths that are not ejected
    double ejectable_capacity = 0;        // listed capacity that may still be ejected
    bool health_checks_answered = false;  // true: an endpoint of the locality answered one
  };
  enum class Evidence { none, failing_attempts, failing_health_checks };

  [[nodiscard]] static LocalityView view_from(Locality from, const EndpointMap& endpoints);
  [[nodiscard]] Evidence find_evidence(Locality from, const Endpoint& endpoint, const Path& path,
                                       const LocalityView& view, double other_endpoints_failure_ratio,
                                       Duration report_interval, Time now) const;
  void readmit_if_due(Locality from, Endpoint& endpoint, Path& path, Time now) const;
  static void eject(Endpoint& endpoint, Path& path, Time now);

  const Settings& settings_;
};

}  // namespace beamshunt
