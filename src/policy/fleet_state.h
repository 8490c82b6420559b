// The fleet's records: endpoints, proxies, proxy groups and their tables. Plain data; no decision is made
// here. Each field names the module that writes it; all others only read it.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "policy/events.h"
#include "policy/types.h"

namespace beamshunt {

constexpr Time kLongAgo = Time::min();  // before anything that was reported or done

// The position that an id stands for in a vector.
template <typename Id>
[[nodiscard]] std::size_t index_of(Id id) {
  return static_cast<std::size_t>(id);
}

// What one locality's proxies met at one endpoint. Health is kept by path: a network cut between localities
// shows dead endpoints to one side only, while a dead endpoint fails for its own locality too.
struct Path {
  // Written by load_estimator.
  double succeeded = 0;             // attempts, fading with the time that reports cover
  double failed = 0;                // the same
  double failed_since_success = 0;  // attempts, not fading: where few are made, all would fade
  double attempt_rate = 0;          // attempts a second, smoothed
  Time last_report = kLongAgo;      // any report
  Time last_success = kLongAgo;     // a report with a successful attempt
  // Written by outlier_detector.
  bool ejected = false;
  Time ejected_until{};
  int ejections = 0;
  [[nodiscard]] double attempts() const { return succeeded + failed; }
};

struct Endpoint {
  // Written by endpoint_registry.
  ListedEndpoint listed;
  Time last_listed{};  // the last period in which it was not removed

  // Written by load_estimator. Latencies in ms, 0 while unknown.
  double latency = 0;              // smoothed
  double long_term_latency = 0;    // smoothed over more attempts
  double baseline_latency = 0;     // the lowest long-term latency
  double successes = 0;            // attempts with a known latency
  double attempt_rate = 0;         // attempts a second from all localities, smoothed
  double success_rate = 0;         // successful attempts a second, smoothed
  double utilization = -1;         // 0 to 1 by load reports, smoothed; below 0: unknown
  int utilization_age = 0;         // periods since the last load report
  double relative_capacity = 1;    // real capacity over listed capacity
  double own_capacity_factor = 1;  // the part of relative_capacity that its listed size does not explain
  int periods_over_threshold = 0;  // in a row, with a slowdown above its threshold
  Time last_report = kLongAgo;

  // Written by load_balancer; load_estimator counts the successes.
  double weight_adjustment = 1;
  double successes_since_adjustment = 0;

  // Written by outlier_detector.
  Time readmitted_at = kLongAgo;
  int health_check_run = 0;  // successes in a row; below 0: failures in a row

  std::map<Locality, Path> paths;  // by the proxies' locality

  [[nodiscard]] bool available() const { return listed.state == EndpointState::available; }
  // Attempts over all paths; the other fields stay empty.
  [[nodiscard]] Path all_paths() const {
    Path all;
    for (const auto& [locality, path] : paths) {
      all.succeeded += path.succeeded;
      all.failed += path.failed;
    }
    return all;
  }
  // The record after a restart under the same id: nothing known of its health stays, its speed does.
  [[nodiscard]] Endpoint restarted() const {
    Endpoint fresh;
    fresh.baseline_latency = baseline_latency;
    fresh.relative_capacity = relative_capacity;
    fresh.own_capacity_factor = own_capacity_factor;
    return fresh;
  }
};
using EndpointMap = std::map<EndpointId, Endpoint>;

// Proxies that share tables: those of one locality and rate band, and within the band of one subset.
struct ProxyGroupKey {
  Locality locality{};
  int rate_band = 0;
  int subset = 0;  // index
  auto operator<=>(const ProxyGroupKey&) const = default;
};

struct Proxy {
  ProxyGroupKey group;
  bool assigned = false;         // to the tables of its group
  double expected_rate = 0;      // requests a second, as announced
  std::vector<double> arrivals;  // requests a second by class, smoothed; below 0: not reported yet
};
using ProxyMap = std::map<ProxyId, Proxy>;

// Entries of a table: weights relative to each other.
using EndpointWeights = std::map<EndpointId, double>;

struct Table {
  TableId id{};
  EndpointWeights desired;
  EndpointWeights published;
};

// The admission limit and retry mode of a class, in the unit of Settings::admission_limit_kind.
struct ClassLimit {
  double limit = -1;  // below 0: not published yet
  RetryMode retry_mode = RetryMode::never;
};

struct ProxyGroup {
  int subset_count = 1;                      // subsets of the rate band, over all subsetting rounds
  double expected_rate = 0;                  // of its members together, requests a second
  std::set<ProxyId> members;                 // proxies assigned to its tables
  std::vector<double> admitted;              // requests a second by class, of its members together
  std::map<bool, Table> tables;              // by RequestClass::local_only
  std::vector<ClassLimit> published_limits;  // by class; empty before the first update
  Time last_ordinary_update = kLongAgo;
  Time last_priority_update = kLongAgo;
};
using ProxyGroupMap = std::map<ProxyGroupKey, ProxyGroup>;

}  // namespace beamshunt
