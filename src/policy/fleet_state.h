// The records of the fleet: endpoints, proxies, proxy groups and weight tables. The records are plain data
// and make no decisions. The comment before a group of fields names the only module that writes them; all
// other modules only read them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "policy/events.h"
#include "policy/types.h"

namespace beamshunt {

// Stands for "never" in the time of a past event; earlier than every reported time.
constexpr Time kDistantPast = Time::min();

// Converts an id that is an index, such as Locality or ClassId, to an index into a vector.
template <typename Id>
[[nodiscard]] std::size_t index_of(Id id) {
  return static_cast<std::size_t>(id);
}

// The path from the proxies of one locality to one endpoint, with the attempts on it. Health is tracked by
// path because a network partition between localities makes endpoints fail for the proxies of one side only,
// while a failed endpoint fails for its own locality too.
struct Path {
  // Written by load_estimator.
  double succeeded = 0;  // attempts, decaying with the time that reports cover
  double failed = 0;     // attempts, decaying with the time that reports cover
  // Attempts without decay, for paths with so few attempts that the decayed counts stay near 0.
  double failed_since_success = 0;
  double attempt_rate = 0;           // attempts per second, smoothed
  Time last_report = kDistantPast;   // time of the last report
  Time last_success = kDistantPast;  // time of the last report with a successful attempt
  // Written by outlier_detector.
  bool ejected = false;
  Time ejected_until{};
  int ejection_count = 0;
  [[nodiscard]] double attempts() const { return succeeded + failed; }
};

struct Endpoint {
  // Written by endpoint_registry.
  ListedEndpoint listed;
  Time last_listed{};                // end of the last period in which the endpoint was not removed
  std::uint64_t removal_number = 0;  // numbers the drains and removals of all endpoints; 0: always available

  // Written by load_estimator. Latencies are in ms and 0 while unknown.
  double latency = 0;                 // smoothed
  double long_term_latency = 0;       // smoothed over more attempts than `latency`
  double baseline_latency = 0;        // lowest value of the long-term latency
  double successes = 0;               // successful attempts with a known latency
  double attempt_rate = 0;            // attempts per second from all localities, smoothed
  double success_rate = 0;            // successful attempts per second, smoothed
  double utilization = -1;            // 0 to 1 according to load reports, smoothed; negative: unknown
  int periods_since_load_report = 0;  // age of `utilization`
  double relative_capacity = 1;       // ratio of real capacity to listed capacity
  // Factor of relative_capacity that is specific to this endpoint and not common to endpoints of equal listed
  // capacity.
  double endpoint_capacity_factor = 1;
  int periods_over_threshold = 0;  // consecutive periods with a slowdown above the threshold
  Time last_report = kDistantPast;

  // Written by load_balancer. load_estimator also increments successes_since_adjustment.
  double weight_adjustment = 1;
  double successes_since_adjustment = 0;

  // Written by outlier_detector.
  Time readmitted_at = kDistantPast;
  int health_check_streak = 0;  // consecutive successes; negative: consecutive failures

  std::map<Locality, Path> paths;  // key: locality of the proxies

  [[nodiscard]] bool available() const { return listed.state == EndpointState::available; }
  // Returns the attempts summed over all paths. The other fields of the result keep their default values.
  [[nodiscard]] Path path_totals() const {
    Path all;
    for (const auto& [locality, path] : paths) {
      all.succeeded += path.succeeded;
      all.failed += path.failed;
    }
    return all;
  }
  // Returns the record of this endpoint after a restart under the same id: it keeps what was learned about
  // the speed of the endpoint and nothing about its health.
  [[nodiscard]] Endpoint after_restart() const {
    Endpoint fresh;
    fresh.baseline_latency = baseline_latency;
    fresh.relative_capacity = relative_capacity;
    fresh.endpoint_capacity_factor = endpoint_capacity_factor;
    return fresh;
  }
};
using EndpointMap = std::map<EndpointId, Endpoint>;

// Identifies the proxies that share tables: the proxies of one locality, rate band and subset.
struct ProxyGroupKey {
  Locality locality{};
  int rate_band = 0;
  int subset = 0;  // index of the subset within the rate band
  auto operator<=>(const ProxyGroupKey&) const = default;
};

struct Proxy {
  ProxyGroupKey group;
  bool assigned = false;         // true: the tables of its group are assigned to the proxy
  double expected_rate = 0;      // requests per second, as stated at registration
  std::vector<double> arrivals;  // requests per second by class, smoothed; negative: not reported yet
  Time registered_at{};
  Time removals_sent_at = kDistantPast;   // time of the last removals from the tables that it holds
  std::uint64_t last_removal_number = 0;  // highest Endpoint::removal_number that it was told of
};
using ProxyMap = std::map<ProxyId, Proxy>;

// The entries of a table. Weights are relative to each other.
using EndpointWeights = std::map<EndpointId, double>;

struct Table {
  TableId id{};
  EndpointWeights desired;
  EndpointWeights published;
};

// The admission limit of a class, in the unit of Settings::admission_limit_kind, and its retry mode.
struct ClassLimit {
  double limit = -1;  // negative: not published yet
  RetryMode retry_mode = RetryMode::never;
};

struct ProxyGroup {
  int subset_count = 1;                      // subsets of the rate band, summed over all subsetting rounds
  double expected_rate = 0;                  // requests per second of all members
  std::set<ProxyId> members;                 // proxies to which the group's tables are assigned
  std::vector<double> admitted;              // requests per second by class of all members
  std::map<bool, Table> tables;              // key: RequestClass::local_only
  std::vector<ClassLimit> published_limits;  // by class; empty before the first update
  Time last_ordinary_update = kDistantPast;
  Time last_priority_update = kDistantPast;
  // Time of the first publication that found the oldest priority change that is not written yet.
  std::optional<Time> priority_change_since;
};
using ProxyGroupMap = std::map<ProxyGroupKey, ProxyGroup>;

}  // namespace beamshunt
