#include "assigner/core_metrics.h"

#include <algorithm>
#include <cmath>

#include "base/enums.h"

namespace beamshunt::assigner {
namespace {

using base::to_underlying;

// In which a rate of attempts fades: long against a report period, short against what people watch.
constexpr Ms kRateFade = 1000;
// An endpoint with less utilization than this tells too little of its speed.
constexpr double kMinUtilization = 0.05;
constexpr double kNoRateLimit = 1e6;  // requests a second: what "no limit" shows as
constexpr double kNoShareLimit = 1;

// The part of a warm endpoint's load that this one may be sent while it warms up: 1 once it is warm.
double slow_start_factor(const CoreView& core, std::uint32_t endpoint, Ms now) {
  const Settings& p = core.site.policy;
  auto start = core.endpoints.start_time(endpoint);
  if (!start) return 1.0;
  return std::min(1.0,
                  p.initial_capacity + (1 - p.initial_capacity) * (now - *start) / p.warm_up_time.count());
}

}  // namespace

void CoreMetrics::add_report(Locality from, const native_protocol::LoadReportMessage& report,
                             const EndpointCatalog& endpoints, Ms now) {
  for (const native_protocol::DemandReportEntry& entry : report.demand) {
    ServiceTotals& totals = service_[{to_underlying(from), entry.request_class}];
    totals.arrivals += entry.arrivals;
    totals.failed += entry.failed;
    totals.within_objective += entry.within_objective;
  }
  for (const native_protocol::EndpointReportEntry& entry : report.endpoints) {
    if (!endpoints.find(entry.endpoint)) continue;
    // Attempts fade out over a second: a rate whatever the proxies' report periods and number.
    EndpointActivity& activity = activity_[entry.endpoint];
    double keep = std::exp(-std::max(0.0, now - activity.updated_at) / kRateFade);
    activity.attempt_rate = activity.attempt_rate * keep + entry.attempts / (kRateFade / 1000);
    activity.updated_at = now;
    for (const auto& [name, value] : entry.load)
      if (name == "utilization") activity.utilization = value;
  }
}

void CoreMetrics::endpoint_changed(std::uint32_t endpoint, bool available, Ms now) {
  if (available) closed_since_.erase(endpoint);
  else closed_since_.try_emplace(endpoint, now);
}

void CoreMetrics::controller_logged(const LogMessage& message) {
  if (message.text.starts_with("eject ")) ++ejections_;
}

void CoreMetrics::limit_set(const assignments::AssignmentTables& tables, const SetAdmissionLimit& action) {
  const std::map<ClassId, assignments::AdmissionLimit>* limits = &tables.limits_for_all_tables();
  if (!action.all_tables) {
    auto table = tables.tables().find(action.table);
    if (table == tables.tables().end()) return;
    limits = &table->second.limits;
  }
  for (const auto& [request_class, limit] : *limits) {
    bool concerned = action.classes == 0 || ((action.classes >> to_underlying(request_class)) & 1) != 0;
    if (concerned && action.limit < limit.limit) ++limit_cuts_[to_underlying(request_class)];
  }
}

bool CoreMetrics::removes_closed_endpoint(const native_protocol::Update& update) const {
  const auto* weight = std::get_if<native_protocol::WeightUpdate>(&update);
  return weight && weight->weight <= 0 && closed_since_.contains(weight->endpoint);
}

const EndpointActivity* CoreMetrics::activity(std::uint32_t endpoint) const {
  auto found = activity_.find(endpoint);
  return found == activity_.end() ? nullptr : &found->second;
}

std::vector<double> CoreMetrics::arrivals_by_class(std::size_t class_count) const {
  std::vector<double> arrivals(class_count, 0);
  for (const auto& [locality_and_class, totals] : service_)
    if (locality_and_class.second < class_count)
      arrivals[locality_and_class.second] += static_cast<double>(totals.arrivals);
  return arrivals;
}

// The fullest endpoint that warms up: its attempts against what it may be sent, by what the warm ones do at
// their load.
double CoreMetrics::slow_start_use(const CoreView& core, Ms now) const {
  double warm_rate = 0;
  double warm_busy_size = 0;
  for (const auto& [id, activity] : activity_) {
    if (activity.utilization <= kMinUtilization || slow_start_factor(core, id, now) < 1) continue;
    warm_rate += activity.attempt_rate;
    warm_busy_size += activity.utilization * core.endpoints.find(id)->capacity;
  }
  if (warm_rate <= 0) return 0;
  double most = 0;
  for (const auto& [id, activity] : activity_) {
    double factor = slow_start_factor(core, id, now);
    double fresh = std::exp(-(now - activity.updated_at) / kRateFade);
    if (factor >= 1) continue;
    double allowed = core.site.policy.overload_multiple * factor * core.endpoints.find(id)->capacity *
                     warm_rate / warm_busy_size;
    most = std::max(most, activity.attempt_rate * fresh / allowed);
  }
  return most;
}

// The oldest update that takes a closed endpoint out and is not acknowledged, or the oldest weight of one
// that still stands.
double CoreMetrics::drain_use(const CoreView& core, Ms now) const {
  Ms oldest = 0;
  for (const auto& [stream, session] : core.sessions.all())
    for (const UnacknowledgedMessage& message : session.acks.messages())
      if (message.removes_endpoint) oldest = std::max(oldest, now - message.decided_at);
  for (const auto& [endpoint, since] : closed_since_)
    for (const auto& [number, running] : core.controllers)
      for (const auto& [id, table] : running.tables.tables())
        if (!table.proxies.empty() && table.weights.contains(EndpointId{endpoint}))
          oldest = std::max(oldest, now - since);
  return oldest / core.site.policy.drain_grace_period.count();
}

// How long a registered proxy has been served by a table without weights, as far as updates say.
Ms CoreMetrics::longest_without_endpoints(const CoreView& core, Ms now) {
  std::set<ProxyId> lacking;
  for (const auto& [number, running] : core.controllers)
    for (const auto& [id, table] : running.tables.tables())
      if (table.weights.empty())
        for (const auto& [proxy, classes] : table.proxies) lacking.insert(proxy);
  Ms longest = 0;
  for (const auto& [proxy, stream] : core.sessions.proxies()) {
    if (!lacking.contains(proxy)) {
      without_endpoints_since_.erase(proxy);
      continue;
    }
    Ms since = without_endpoints_since_.try_emplace(proxy, now).first->second;
    longest = std::max(longest, now - since);
  }
  return longest;
}

void CoreMetrics::add_channel(const CoreView& core, Ms now, telemetry::AssignerMetrics& figures) {
  const Settings& p = core.site.policy;
  figures.queued_lines = core.sessions.unacknowledged_lines();
  figures.max_queued_lines = p.max_queued_lines;
  figures.max_messages_per_window = p.max_messages_per_window;
  for (const auto& [proxy, stream] : core.sessions.proxies()) {
    const Session& session = core.sessions.session_of(stream);
    if (!session.acks.empty())
      figures.oldest_unacknowledged_s =
          std::max(figures.oldest_unacknowledged_s, (now - session.acks.oldest().decided_at) / 1000);
    figures.messages_in_window.push_back(
        static_cast<double>(session.messages.count(now, p.message_window.count())));
  }
}

void CoreMetrics::add_service(const AssignerSettings& site, telemetry::AssignerMetrics& figures) const {
  const Settings& p = site.policy;
  for (std::uint32_t locality = 0; locality < p.localities.size(); ++locality) {
    for (std::uint32_t c = 0; c < p.classes.size(); ++c) {
      telemetry::AssignerMetrics::ServiceCounts service{
          p.localities[locality], site.class_names[c], 0, 0, 0, p.classes[c].priority_weight};
      if (auto totals = service_.find({locality, c}); totals != service_.end()) {
        service.arrivals = totals->second.arrivals;
        service.failed = totals->second.failed;
        service.in_time = totals->second.within_objective;
      }
      figures.service.push_back(std::move(service));
    }
  }
}

bool CoreMetrics::add_limits(const CoreView& core, telemetry::AssignerMetrics& figures) const {
  const Settings& p = core.site.policy;
  bool unsafe_retries = false;
  for (std::uint32_t c = 0; c < p.classes.size(); ++c) {
    auto cuts = limit_cuts_.find(c);
    telemetry::AssignerMetrics::AdmissionLimits level{
        core.site.class_names[c],
        p.admission_limit_kind == AdmissionLimitKind::rate ? kNoRateLimit : kNoShareLimit,
        cuts == limit_cuts_.end() ? 0 : cuts->second};
    for (const auto& [number, running] : core.controllers) {
      for (const auto& [id, table] : running.tables.tables()) {
        auto limit = table.limits.find(ClassId{c});
        if (limit == table.limits.end()) continue;
        level.lowest = std::min(level.lowest, limit->second.limit);
        unsafe_retries |= p.classes[c].semantics != Semantics::idempotent &&
                          limit->second.retry_mode > RetryMode::if_not_processed;
      }
    }
    figures.admission_limits.push_back(std::move(level));
  }
  return unsafe_retries;
}

telemetry::AssignerMetrics CoreMetrics::collect(const CoreView& core, Ms now) {
  const Settings& p = core.site.policy;
  telemetry::AssignerMetrics f;
  add_channel(core, now, f);
  add_service(core.site, f);
  bool unsafe_retries = add_limits(core, f);
  f.ejections = ejections_;
  f.endpoint_list_age_s = std::max(0.0, now - core.list_received_at) / 1000;
  f.listed_endpoints = static_cast<double>(core.endpoints.entries().size());
  f.longest_report_wait_s = core.reports.oldest_wait(now) / 1000;
  f.reports = core.counters.reports;
  f.events = core.counters.events;
  f.actions = core.counters.actions;
  f.updates = core.counters.messages;
  f.rejected_streams = core.counters.refused_streams;
  f.broken_streams = core.counters.broken_streams;
  f.dropped_updates = core.counters.dropped_messages;
  f.streams = static_cast<double>(core.sessions.size());
  f.proxies = static_cast<double>(core.sessions.proxies().size());
  double most_messages = 0;
  for (double messages : f.messages_in_window) most_messages = std::max(most_messages, messages);
  double messages_use = p.max_messages_per_window > 0 ? most_messages / p.max_messages_per_window : 0;
  f.rule_usage = {longest_without_endpoints(core, now) / p.max_time_without_endpoints.count(),
                  unsafe_retries ? 1.0 : 0.0, drain_use(core, now), slow_start_use(core, now),
                  std::max(f.queued_lines / p.max_queued_lines, messages_use)};
  return f;
}

}  // namespace beamshunt::assigner
