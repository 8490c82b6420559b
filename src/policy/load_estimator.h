// Load estimation: rates, latencies, utilization and relative capacity of endpoints, derived from reports.
//
// Questions: How loaded is an endpoint, and how loaded is the fleet? What is the real capacity of an
// endpoint? Which estimates are stale?
// Inputs: endpoint reports (attempts, latency in ms, interval in ms) and load reports (utilization, 0 to 1).
// Rules:
//  - Rates are smoothed by the time that a report covers, latencies by the number of attempts.
//  - The slowdown is latency / baseline latency / ratio of successful attempts.
//  - An endpoint without a report for several report intervals is stale and is left out of averages.
//  - The relative capacity is the rate of successful attempts over utilization, relative to the mean of the
//    fleet.
// Reasons: BFAIR compares slowdowns (Retro, NSDI 2015, section 5.1). Failed attempts count as waiting time,
// because an endpoint that rejects work or returns errors quickly would otherwise look fast and idle. Listed
// capacities are rough values. Many endpoints and proxies share one limited input of reports, so an endpoint
// is reported only every few seconds.
// Never: The load estimator never changes a weight, a limit or the state of an endpoint.
#pragma once

#include <map>
#include <optional>

#include "policy/fleet_state.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace beamshunt {

// Means over the endpoints with current load data, weighted by attempt rate.
struct FleetAverages {
  double failure_ratio = 0;  // ratio of failed attempts
  double slowdown = 0;       // ratio of latency to baseline latency
  double threshold = 0;      // slowdown at which an endpoint is overloaded
  double headroom = 0;       // unused fraction of capacity
};

class LoadEstimator {
 public:
  // `settings` must outlive this object.
  explicit LoadEstimator(const Settings& settings);

  // Updates the estimates of the endpoint from a report of its attempts.
  void apply(const EndpointReport& report, Endpoint& endpoint, Time now);
  // Updates the utilization of the endpoint if the report contains one.
  static void apply_load_report(const LoadReport& report, Endpoint& endpoint);

  // Sums the rates of each endpoint over its paths, clears stale estimates and counts periods of overload.
  void end_period(EndpointMap& endpoints, Time now) const;
  // Learns relative capacities from utilization. Uses the fleet's failure ratio of the last publication.
  void learn_relative_capacity(EndpointMap& endpoints, const SlowStart& slow_start, Time now);

  // Returns whether the endpoint is available and has estimates that are not stale. A stale endpoint is left
  // out of averages, which treats it as average, because its last estimates may be far out of date.
  [[nodiscard]] bool has_current_load(const Endpoint& endpoint, Time now) const;
  // Returns the ratio of failed attempts; 0 while there are too few attempts for an estimate.
  [[nodiscard]] static double failure_ratio(const Endpoint& endpoint);
  // Returns latency / baseline latency / ratio of successful attempts, so that failed attempts count as
  // waiting time; 1 while there is no baseline.
  [[nodiscard]] static double slowdown(const Endpoint& endpoint);
  // Returns the slowdown above which the endpoint is overloaded (T in the paper), derived from the shortest
  // latency objective and the endpoint's baseline latency.
  [[nodiscard]] double threshold(const Endpoint& endpoint) const;
  // Returns the unused fraction of the endpoint's capacity (0 to 1), derived from load reports if there are
  // any, else from the distance of the slowdown to the threshold.
  [[nodiscard]] double headroom(const Endpoint& endpoint) const;
  // Returns the averages of the fleet; nothing if no endpoint has both current load data and a load.
  [[nodiscard]] std::optional<FleetAverages> averages(const EndpointMap& endpoints, Time now) const;

  // Returns the typical time between two reports of one endpoint.
  [[nodiscard]] Duration report_interval() const;
  // Returns the successful attempts per second of a fully utilized endpoint, for each unit of listed
  // capacity; 0 while unknown.
  [[nodiscard]] double rate_per_capacity() const { return rate_per_capacity_; }
  // Returns the relative capacity that endpoints of equal listed capacity share; the key is the listed
  // capacity.
  [[nodiscard]] const std::map<double, double>& relative_capacities() const { return relative_capacities_; }

 private:
  // Sums over several endpoints.
  struct CapacitySample {
    double full_utilization_rate = 0;  // successful attempts per second at full utilization
    double listed_capacity = 0;
  };
  [[nodiscard]] bool has_capacity_sample(const Endpoint& endpoint, const SlowStart& slow_start,
                                         Time now) const;
  // Returns the rate for each unit of listed capacity, relative to that of the fleet, within the bounds of a
  // relative capacity.
  [[nodiscard]] static double relative_to_fleet(double full_utilization_rate, double listed_capacity,
                                                const CapacitySample& fleet);

  const Settings& settings_;
  Duration min_latency_objective_ = Duration::max();
  double mean_report_interval_ms_ = 0;  // time between two reports of one endpoint, smoothed; 0: unknown
  double rate_per_capacity_ = 0;
  std::map<double, double> relative_capacities_;
};

}  // namespace beamshunt
