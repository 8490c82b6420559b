#include "policy/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "policy/failure_thresholds.h"

namespace beamshunt {
namespace {

// False-positive probability below which a series of failures is evidence.
constexpr double kFalsePositiveProbability = 0.001;
// Report periods without a success after which failures indicate a failed endpoint.
constexpr int kPeriodsWithoutSuccess = 2;
// Fraction of the listed capacity that must remain; further ejections would do more harm than the failing
// endpoints.
constexpr double kMinRemainingCapacity = 0.4;
// Time of the first ejection. Each further ejection doubles it, so that an endpoint that keeps failing is
// tried less often.
constexpr Duration kBaseEjectionTime{3000};
// Maximum number of doublings, so that a repaired endpoint is readmitted within half a minute.
constexpr int kMaxEjectionDoublings = 3;
// Consecutive health checks that are evidence; a single check may be lost or late by chance.
constexpr int kRequiredHealthCheckStreak = 2;

// Flight records store the log texts and replay compares them, so the texts must not change.
constexpr const char* kAttemptsFailText = ", tries fail, seen from ";
constexpr const char* kHealthChecksFailText = ", no probe answered, seen from ";

}  // namespace

bool is_ejected(const Endpoint& endpoint, Locality from) {
  auto own = endpoint.paths.find(endpoint.listed.locality);
  if (own != endpoint.paths.end() && own->second.ejected) return true;
  auto path = endpoint.paths.find(from);
  return path != endpoint.paths.end() && path->second.ejected;
}

void OutlierDetector::apply(const HealthCheckResult& result, Endpoint& endpoint) {
  int& streak = endpoint.health_check_streak;
  streak = result.outcome == AttemptOutcome::success ? std::max(streak, 0) + 1 : std::min(streak, 0) - 1;
}

OutlierDetector::LocalityView OutlierDetector::view_from(Locality from, const EndpointMap& endpoints) {
  LocalityView view;
  for (const auto& [id, endpoint] : endpoints) {
    if (!endpoint.available()) continue;
    // Up to 60% of the available capacity may be ejected, including the endpoints that are already ejected.
    double ejectable_fraction =
        is_ejected(endpoint, from) ? -kMinRemainingCapacity : 1 - kMinRemainingCapacity;
    view.ejectable_capacity += endpoint.listed.capacity * ejectable_fraction;
    view.health_checks_answered |= endpoint.listed.locality == from && endpoint.health_check_streak > 0;
    auto path = endpoint.paths.find(from);
    if (path == endpoint.paths.end() || path->second.ejected) continue;
    view.failed += path->second.failed;
    view.attempts += path->second.attempts();
  }
  return view;
}

std::vector<LogMessage> OutlierDetector::evaluate(Locality from, EndpointMap& endpoints,
                                                  Duration report_interval, Time now) const {
  std::vector<LogMessage> messages;
  LocalityView view = view_from(from, endpoints);
  for (auto& [id, endpoint] : endpoints) {
    if (!endpoint.available()) continue;
    Path& path = endpoint.paths[from];
    if (path.ejected) {
      readmit_if_due(from, endpoint, path, now);
      continue;
    }
    double other_attempts = view.attempts - path.attempts();
    double other_endpoints_failure_ratio =
        other_attempts > 0 ? (view.failed - path.failed) / other_attempts : 0;
    Evidence evidence =
        find_evidence(from, endpoint, path, view, other_endpoints_failure_ratio, report_interval, now);
    if (evidence == Evidence::none) continue;
    if (other_endpoints_failure_ratio > kCommonFailureRatio) continue;
    if (endpoint.listed.capacity > view.ejectable_capacity) continue;
    view.ejectable_capacity -= endpoint.listed.capacity;
    eject(endpoint, path, now);
    const char* reason =
        evidence == Evidence::failing_health_checks ? kHealthChecksFailText : kAttemptsFailText;
    messages.push_back(
        {"eject " + std::to_string(index_of(id)) + reason + settings_.localities[index_of(from)]});
  }
  return messages;
}

OutlierDetector::Evidence OutlierDetector::find_evidence(Locality from, const Endpoint& endpoint,
                                                         const Path& path, const LocalityView& view,
                                                         double other_endpoints_failure_ratio,
                                                         Duration report_interval, Time now) const {
  // A report is due after two periods plus the typical report interval, and after at least two intervals,
  // because reports are rare in a large fleet.
  Duration report_deadline = std::max(kPeriodsWithoutSuccess * settings_.report_period + report_interval,
                                      kPeriodsWithoutSuccess * report_interval);
  // Health checks may time out at an endpoint that is only overloaded, so they count only if an expected
  // report is missing too. The answers of other endpoints in the locality show that the network is not at
  // fault.
  bool unresponsive = view.health_checks_answered && endpoint.listed.locality == from &&
                      endpoint.health_check_streak <= -kRequiredHealthCheckStreak &&
                      path.last_report > kDistantPast && now - path.last_success >= report_deadline;
  if (unresponsive) return Evidence::failing_health_checks;
  Duration time_without_success = path.last_report - path.last_success;
  if (time_without_success < kPeriodsWithoutSuccess * settings_.report_period) return Evidence::none;
  if (path.failed >= kMinFailures) return Evidence::failing_attempts;
  // At a few attempts per second, the counts decay before they reach the minimum. In that case the evidence
  // is the number of consecutive failures and its probability at the failure ratio of the other endpoints.
  bool improbable =
      path.failed_since_success >= kMinFailures && time_without_success >= report_deadline &&
      std::pow(other_endpoints_failure_ratio, path.failed_since_success) < kFalsePositiveProbability;
  return improbable ? Evidence::failing_attempts : Evidence::none;
}

void OutlierDetector::readmit_if_due(Locality from, Endpoint& endpoint, Path& path, Time now) const {
  if (now < path.ejected_until) return;
  if (settings_.health_checks_allowed && endpoint.health_check_streak < kRequiredHealthCheckStreak) return;
  Path readmitted;
  readmitted.ejection_count = path.ejection_count;
  path = readmitted;
  // An endpoint that was ejected in its own locality may have restarted without notice, so slow start applies
  // to it.
  if (from == endpoint.listed.locality) endpoint.readmitted_at = now;
}

void OutlierDetector::eject(Endpoint& endpoint, Path& path, Time now) {
  path.ejected = true;
  path.ejected_until =
      now + kBaseEjectionTime * std::exp2(std::min(path.ejection_count, kMaxEjectionDoublings));
  ++path.ejection_count;
  endpoint.health_check_streak = std::min(endpoint.health_check_streak, 0);
}

std::vector<SendHealthCheck> OutlierDetector::due_health_checks(const EndpointMap& endpoints) const {
  std::vector<SendHealthCheck> checks;
  if (!settings_.health_checks_allowed) return checks;
  for (const auto& [id, endpoint] : endpoints) {
    if (!endpoint.available()) continue;
    bool load_unknown = settings_.local_proxies_only && endpoint.utilization < 0;
    bool needed = settings_.load_reports_by_health_check || load_unknown;
    for (const auto& [locality, path] : endpoint.paths) needed |= path.ejected;
    if (needed) checks.push_back({id});
  }
  return checks;
}

}  // namespace beamshunt
