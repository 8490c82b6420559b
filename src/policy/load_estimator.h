// Load estimates: rates, latencies, utilization and relative capacity of endpoints, from reports.
//
// Questions: how loaded is an endpoint, and the fleet? What is an endpoint's real capacity? Which figures are
// stale?
// Inputs: endpoint reports (attempts, latency in ms, interval in ms) and load reports (utilization, 0 to 1).
// Rules:
//  - rates are smoothed by the time that a report covers, latencies by the number of attempts;
//  - slowdown = latency over baseline, divided by the successful part of attempts;
//  - an endpoint without a report for several report intervals is stale and has no say in averages;
//  - relative capacity = successful rate over utilization, compared with the fleet's mean.
// Reasons: BFAIR compares slowdowns (Retro, NSDI 2015, section 5.1). Failed attempts count as waiting, lest
// an endpoint that rejects work or answers errors quickly look fast and idle. Listed sizes are rough. Many
// endpoints and proxies share one intake of reports, so that an endpoint is reported every few seconds.
// It never changes a weight, a limit or the state of an endpoint.
#pragma once

#include <map>
#include <optional>

#include "policy/fleet_state.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace beamshunt {

// Means over the endpoints with current reports, by load.
struct FleetAverages {
  double fail_share = 0;  // failed part of attempts
  double slowdown = 0;    // latency over baseline
  double threshold = 0;   // slowdown at which an endpoint is overloaded
  double headroom = 0;    // unused part of capacity
};

class LoadEstimator {
 public:
  // `settings` must outlive it.
  explicit LoadEstimator(const Settings& settings);

  void apply(const EndpointReport& report, Endpoint& endpoint, Time now);
  // Takes the utilization, if the report holds one.
  static void apply_load_report(const LoadReport& report, Endpoint& endpoint);

  // Sums each endpoint's rates over its paths, drops stale figures, counts periods of overload.
  void close_period(EndpointMap& endpoints, Time now) const;
  // Corrects listed capacities by utilization. Uses the fleet's failures as of the last publication.
  void learn_relative_capacity(EndpointMap& endpoints, const SlowStart& slow_start, Time now);

  // Whether the endpoint is available and its figures are known and not stale. A stale endpoint counts as
  // average, by having no say: its last figures may be long out of date.
  [[nodiscard]] bool is_current(const Endpoint& endpoint, Time now) const;
  // Failed part of attempts; 0 where too few were made to say.
  [[nodiscard]] static double fail_share(const Endpoint& endpoint);
  // Latency over baseline, failed attempts counted as waiting; 1 while there is no baseline.
  [[nodiscard]] static double slowdown(const Endpoint& endpoint);
  // The paper's T, by the latency objective and the endpoint's own baseline.
  [[nodiscard]] double threshold(const Endpoint& endpoint) const;
  // Unused part of capacity: by load reports, else by how far its queueing is from the threshold's.
  [[nodiscard]] double headroom(const Endpoint& endpoint) const;
  // Nothing if no endpoint is current or none has load.
  [[nodiscard]] std::optional<FleetAverages> averages(const EndpointMap& endpoints, Time now) const;

  // The usual time between two reports of one endpoint.
  [[nodiscard]] Duration report_interval() const;
  // Successful attempts a second of a fully utilized endpoint, per unit of listed capacity; 0 while unknown.
  [[nodiscard]] double rate_per_capacity() const { return rate_per_capacity_; }
  // Relative capacity by listed capacity.
  [[nodiscard]] const std::map<double, double>& capacity_by_size() const { return capacity_by_size_; }

 private:
  struct CapacitySample {  // sums over endpoints
    double full_rate = 0;  // successful attempts a second at full utilization
    double listed_capacity = 0;
  };
  [[nodiscard]] bool tells_capacity(const Endpoint& endpoint, const SlowStart& slow_start, Time now) const;
  // A sample's rate per listed capacity over the fleet's.
  [[nodiscard]] static double over_mean(double full_rate, double listed_capacity,
                                        const CapacitySample& fleet);

  const Settings& settings_;
  Duration tightest_objective_ = Duration::max();
  double mean_interval_ = 0;  // ms between two reports of one endpoint, smoothed; 0: none yet
  double rate_per_capacity_ = 0;
  std::map<double, double> capacity_by_size_;
};

}  // namespace beamshunt
