// Outlier detection: ejection, readmission, and the health checks to send.
//
// Questions: why is an endpoint ejected for a locality's proxies, and when does it return? Which endpoints
// need a health check?
// Inputs: attempts by path (fading counts, failures since the last success), health check results in a row,
// the time between reports (ms), listed capacities.
// Rules:
//  - ejected if attempts fail and none succeeded for two periods: enough failures by the fading count, or a
//    run of failures whose false-positive probability at the others' failure rate is below one in a thousand;
//  - ejected in its own locality, too, if health checks fail that others there answer and a due report is
//    missing;
//  - never while the others fail as well (a common cause), and never so that less than 40% of the listed
//    capacity is left;
//  - readmitted after 3 s, doubled for each earlier ejection since the endpoint's start (24 s at most), and,
//    where health checks are allowed, only after two successes in a row; a new start time in the endpoint
//    list lifts an ejection at once.
// Reason: a hung endpoint returns no answers, so no latency shows it, and load balancing alone would keep it.
// It never judges an endpoint by its latency and never changes weights.
#pragma once

#include <vector>

#include "policy/actions.h"
#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace beamshunt {

// Whether proxies of locality `from` may not use the endpoint: ejected on their path or in its own locality.
[[nodiscard]] bool is_ejected(const Endpoint& endpoint, Locality from);

class OutlierDetector {
 public:
  // `settings` must outlive it.
  explicit OutlierDetector(const Settings& settings) : settings_(settings) {}

  // Counts successes or failures in a row.
  static void apply(const HealthCheckResult& result, Endpoint& endpoint);

  // Judges all endpoints as the proxies of `from` see them; ejects and readmits. `report_interval`: the usual
  // time between two reports of one endpoint. Returns a log message for each ejection.
  [[nodiscard]] std::vector<LogMessage> judge(Locality from, EndpointMap& endpoints, Duration report_interval,
                                              Time now) const;

  // Each available endpoint where load reports come by no other way; else only the ejected ones.
  [[nodiscard]] std::vector<SendHealthCheck> due_health_checks(const EndpointMap& endpoints) const;

 private:
  struct LocalityView {                   // one locality's view of all endpoints
    double failed = 0;                    // attempts on the paths that are not ejected
    double attempts = 0;                  // the same
    double ejectable_capacity = 0;        // listed capacity that may still be ejected
    bool health_checks_answered = false;  // by an endpoint of the locality
  };
  enum class Evidence { none, attempts_fail, health_checks_fail };

  [[nodiscard]] static LocalityView view_from(Locality from, const EndpointMap& endpoints);
  [[nodiscard]] Evidence evidence(Locality from, const Endpoint& endpoint, const Path& path,
                                  const LocalityView& view, double others_fail_share,
                                  Duration report_interval, Time now) const;
  void readmit_if_due(Locality from, Endpoint& endpoint, Path& path, Time now) const;
  static void eject(Endpoint& endpoint, Path& path, Time now);

  const Settings& settings_;
};

}  // namespace beamshunt
