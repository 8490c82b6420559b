#include "policy/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "policy/failure_thresholds.h"

namespace beamshunt {
namespace {

// False-positive probability below which a run of failures is evidence.
constexpr double kFalsePositiveProbability = 0.001;
// Report periods without a success that make failures the sign of a dead endpoint.
constexpr int kPeriodsWithoutSuccess = 2;
// Part of the listed capacity that has to stay: beyond it, ejections would do more harm than the endpoints.
constexpr double kMinCapacityLeft = 0.4;
// First ejection; each relapse doubles it, so that an endpoint that keeps failing is tried ever more rarely.
constexpr Duration kFirstEjection{3000};
// Doublings, at most: a repaired endpoint is back within half a minute.
constexpr int kEjectionDoublings = 3;
// Health checks in a row that count: one may be lost or late by chance.
constexpr int kHealthChecksInARow = 2;

// The log texts are kept in flight records and compared at replay: they stay byte for byte.
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
  int& run = endpoint.health_check_run;
  run = result.outcome == AttemptOutcome::success ? std::max(run, 0) + 1 : std::min(run, 0) - 1;
}

OutlierDetector::LocalityView OutlierDetector::view_from(Locality from, const EndpointMap& endpoints) {
  LocalityView view;
  for (const auto& [id, endpoint] : endpoints) {
    if (!endpoint.available()) continue;
    // 60% of the available capacity may be ejected, less what already is.
    double counted = is_ejected(endpoint, from) ? -kMinCapacityLeft : 1 - kMinCapacityLeft;
    view.ejectable_capacity += endpoint.listed.capacity * counted;
    view.health_checks_answered |= endpoint.listed.locality == from && endpoint.health_check_run > 0;
    auto path = endpoint.paths.find(from);
    if (path == endpoint.paths.end() || path->second.ejected) continue;
    view.failed += path->second.failed;
    view.attempts += path->second.attempts();
  }
  return view;
}

std::vector<LogMessage> OutlierDetector::judge(Locality from, EndpointMap& endpoints,
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
    double others = view.attempts - path.attempts();
    double others_fail_share = others > 0 ? (view.failed - path.failed) / others : 0;
    Evidence found = evidence(from, endpoint, path, view, others_fail_share, report_interval, now);
    if (found == Evidence::none) continue;
    if (others_fail_share > kCommonFailShare) continue;
    if (endpoint.listed.capacity > view.ejectable_capacity) continue;
    view.ejectable_capacity -= endpoint.listed.capacity;
    eject(endpoint, path, now);
    const char* reason = found == Evidence::health_checks_fail ? kHealthChecksFailText : kAttemptsFailText;
    messages.push_back(
        {"eject " + std::to_string(index_of(id)) + reason + settings_.localities[index_of(from)]});
  }
  return messages;
}

OutlierDetector::Evidence OutlierDetector::evidence(Locality from, const Endpoint& endpoint, const Path& path,
                                                    const LocalityView& view, double others_fail_share,
                                                    Duration report_interval, Time now) const {
  // Two periods and the usual interval, but two intervals at the least: a large fleet reports seldom.
  Duration report_due = std::max(kPeriodsWithoutSuccess * settings_.report_period + report_interval,
                                 kPeriodsWithoutSuccess * report_interval);
  // Health checks may expire at an endpoint that is only overloaded: they count where a report that was due
  // did not come. That others of the locality answer shows that the network between is not at fault.
  bool silent = view.health_checks_answered && endpoint.listed.locality == from &&
                endpoint.health_check_run <= -kHealthChecksInARow && path.last_report > kLongAgo &&
                now - path.last_success >= report_due;
  if (silent) return Evidence::health_checks_fail;
  Duration without_success = path.last_report - path.last_success;
  if (without_success < kPeriodsWithoutSuccess * settings_.report_period) return Evidence::none;
  if (path.failed >= kMinFailures) return Evidence::attempts_fail;
  // A few attempts a second fade before they are many: what counts is how many failed in a row, and how
  // unlikely that would be of an endpoint that fails like the others.
  bool unlikely = path.failed_since_success >= kMinFailures && without_success >= report_due &&
                  std::pow(others_fail_share, path.failed_since_success) < kFalsePositiveProbability;
  return unlikely ? Evidence::attempts_fail : Evidence::none;
}

void OutlierDetector::readmit_if_due(Locality from, Endpoint& endpoint, Path& path, Time now) const {
  if (now < path.ejected_until) return;
  if (settings_.health_checks_allowed && endpoint.health_check_run < kHealthChecksInARow) return;
  Path fresh;
  fresh.ejections = path.ejections;
  path = fresh;
  // An endpoint that its own locality had ejected may have restarted unseen: it starts slowly.
  if (from == endpoint.listed.locality) endpoint.readmitted_at = now;
}

void OutlierDetector::eject(Endpoint& endpoint, Path& path, Time now) {
  path.ejected = true;
  path.ejected_until = now + kFirstEjection * std::exp2(std::min(path.ejections, kEjectionDoublings));
  ++path.ejections;
  endpoint.health_check_run = std::min(endpoint.health_check_run, 0);
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
