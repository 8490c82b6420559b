#include "assigner/core_metrics.h"

#include <algorithm>
#include <cmath>

#include "base/enums.h"

namespace beamshunt::assigner {
namespace {

using base::to_underlying;

// Time constant of the exponential decay of attempt rates, in ms: long compared with a report period, short
// compared with the changes that operators watch for.
constexpr Ms kRateDecayTime = 1000;
// Endpoints at or below this utilization are left out of the estimate of warm endpoints' attempt rates,
// because an endpoint's rate at low utilization says too little about its speed.
constexpr double kMinUtilization = 0.05;
constexpr double kNoRateLimit = 1e6;  // requests per second exported for a class without a limit
constexpr double kNoShareLimit = 1;   // share of requests exported for a class without a limit

// Returns the share of a warm endpoint's load that `endpoint` may receive: below 1 while it is warming up.
double slow_start_factor(const CoreView& core, std::uint32_t endpoint, Ms now) {
  const Settings& policy = core.settings.policy;
  auto start = core.endpoints.start_time(endpoint);
  if (!start) return 1.0;
  return std::min(1.0, policy.initial_capacity +
                           (1 - policy.initial_capacity) * (now - *start) / policy.warm_up_time.count());
}

}  // namespace

void CoreMetrics::add_load_report(Locality proxy_locality, const native_protocol::LoadReportMessage& report,
                                  const EndpointCatalog& endpoints, Ms now) {
  for (const native_protocol::DemandReportEntry& entry : report.demand) {
    ServiceTotals& totals = service_totals_[{to_underlying(proxy_locality), entry.request_class}];
    totals.arrivals += entry.arrivals;
    totals.failed += entry.failed;
    totals.within_objective += entry.within_objective;
  }
  for (const native_protocol::EndpointReportEntry& entry : report.endpoints) {
    if (!endpoints.find(entry.endpoint)) continue;
    // The decay makes the rate independent of the number of proxies and of their report periods.
    EndpointActivity& activity = activity_[entry.endpoint];
    double decay = std::exp(-std::max(0.0, now - activity.updated_at) / kRateDecayTime);
    activity.attempt_rate = activity.attempt_rate * decay + entry.attempts / (kRateDecayTime / 1000);
    activity.updated_at = now;
    for (const auto& [name, value] : entry.load)
      if (name == "utilization") activity.utilization = value;
  }
}

void CoreMetrics::endpoint_changed(std::uint32_t endpoint, bool available, Ms now) {
  if (available) unavailable_since_.erase(endpoint);
  else unavailable_since_.try_emplace(endpoint, now);
}

void CoreMetrics::count_ejections(const LogMessage& message) {
  if (message.text.starts_with("eject ")) ++ejections_;
}

void CoreMetrics::count_limit_reductions(const assignments::AssignmentTables& tables,
                                         const SetAdmissionLimit& action) {
  const std::map<ClassId, assignments::AdmissionLimit>* limits = &tables.limits_for_all_tables();
  if (!action.all_tables) {
    auto table = tables.tables().find(action.table);
    if (table == tables.tables().end()) return;
    limits = &table->second.limits;
  }
  for (const auto& [request_class, limit] : *limits) {
    bool affected = action.classes == 0 || ((action.classes >> to_underlying(request_class)) & 1) != 0;
    if (affected && action.limit < limit.limit) ++limit_reductions_[to_underlying(request_class)];
  }
}

bool CoreMetrics::removes_unavailable_endpoint(const native_protocol::Update& update) const {
  const auto* weight = std::get_if<native_protocol::WeightUpdate>(&update);
  return weight && weight->weight <= 0 && unavailable_since_.contains(weight->endpoint);
}

const EndpointActivity* CoreMetrics::activity(std::uint32_t endpoint) const {
  auto found = activity_.find(endpoint);
  return found == activity_.end() ? nullptr : &found->second;
}

std::vector<double> CoreMetrics::arrivals_by_class(std::size_t class_count) const {
  std::vector<double> arrivals(class_count, 0);
  for (const auto& [locality_and_class, totals] : service_totals_)
    if (locality_and_class.second < class_count)
      arrivals[locality_and_class.second] += static_cast<double>(totals.arrivals);
  return arrivals;
}

double CoreMetrics::slow_start_usage(const CoreView& core, Ms now) const {
  double warm_rate = 0;
  double warm_used_capacity = 0;
  for (const auto& [id, activity] : activity_) {
    if (activity.utilization <= kMinUtilization || slow_start_factor(core, id, now) < 1) continue;
    warm_rate += activity.attempt_rate;
    warm_used_capacity += activity.utilization * core.endpoints.find(id)->capacity;
  }
  if (warm_rate <= 0) return 0;
  double max_usage = 0;
  for (const auto& [id, activity] : activity_) {
    double factor = slow_start_factor(core, id, now);
    double decay = std::exp(-(now - activity.updated_at) / kRateDecayTime);
    if (factor >= 1) continue;
    double allowed = core.settings.policy.overload_multiple * factor * core.endpoints.find(id)->capacity *
                     warm_rate / warm_used_capacity;
    max_usage = std::max(max_usage, activity.attempt_rate * decay / allowed);
  }
  return max_usage;
}

double CoreMetrics::drain_usage(const CoreView& core, Ms now) const {
  Ms oldest = 0;
  for (const auto& [stream, session] : core.sessions.all())
    for (const UnacknowledgedMessage& message : session.ack_tracker.messages())
      if (message.removes_unavailable_endpoint) oldest = std::max(oldest, now - message.decided_at);
  for (const auto& [endpoint, since] : unavailable_since_)
    for (const auto& [number, running] : core.controllers)
      for (const auto& [id, table] : running.tables.tables())
        if (!table.proxies.empty() && table.weights.contains(EndpointId{endpoint}))
          oldest = std::max(oldest, now - since);
  return oldest / core.settings.policy.drain_grace_period.count();
}

Ms CoreMetrics::longest_without_endpoints(const CoreView& core, Ms now) {
  std::set<ProxyId> proxies_without_endpoints;
  for (const auto& [number, running] : core.controllers)
    for (const auto& [id, table] : running.tables.tables())
      if (table.weights.empty())
        for (const auto& [proxy, classes] : table.proxies) proxies_without_endpoints.insert(proxy);
  Ms longest = 0;
  for (const auto& [proxy, stream] : core.sessions.proxies()) {
    if (!proxies_without_endpoints.contains(proxy)) {
      without_endpoints_since_.erase(proxy);
      continue;
    }
    Ms since = without_endpoints_since_.try_emplace(proxy, now).first->second;
    longest = std::max(longest, now - since);
  }
  return longest;
}

void CoreMetrics::add_channel(const CoreView& core, Ms now, telemetry::AssignerMetrics& metrics) {
  const Settings& policy = core.settings.policy;
  metrics.queued_lines = core.sessions.unacknowledged_lines();
  metrics.max_queued_lines = policy.max_queued_lines;
  metrics.max_messages_per_window = policy.max_messages_per_window;
  for (const auto& [proxy, stream] : core.sessions.proxies()) {
    const Session& session = core.sessions.session_of(stream);
    if (!session.ack_tracker.empty())
      metrics.oldest_unacknowledged_s =
          std::max(metrics.oldest_unacknowledged_s, (now - session.ack_tracker.oldest().decided_at) / 1000);
    metrics.messages_in_window.push_back(
        static_cast<double>(session.message_history.count(now, policy.message_window.count())));
  }
}

void CoreMetrics::add_service(const AssignerSettings& settings, telemetry::AssignerMetrics& metrics) const {
  const Settings& policy = settings.policy;
  for (std::uint32_t locality = 0; locality < policy.localities.size(); ++locality) {
    for (std::uint32_t class_index = 0; class_index < policy.classes.size(); ++class_index) {
      telemetry::AssignerMetrics::ServiceCounts service{policy.localities[locality],
                                                        settings.class_names[class_index],
                                                        0,
                                                        0,
                                                        0,
                                                        policy.classes[class_index].priority_weight};
      if (auto totals = service_totals_.find({locality, class_index}); totals != service_totals_.end()) {
        service.arrivals = totals->second.arrivals;
        service.failed = totals->second.failed;
        service.in_time = totals->second.within_objective;
      }
      metrics.service.push_back(std::move(service));
    }
  }
}

bool CoreMetrics::add_admission_limits(const CoreView& core, telemetry::AssignerMetrics& metrics) const {
  const Settings& policy = core.settings.policy;
  bool unsafe_retries = false;
  for (std::uint32_t class_index = 0; class_index < policy.classes.size(); ++class_index) {
    auto reductions = limit_reductions_.find(class_index);
    telemetry::AssignerMetrics::AdmissionLimits class_limits{
        core.settings.class_names[class_index],
        policy.admission_limit_kind == AdmissionLimitKind::rate ? kNoRateLimit : kNoShareLimit,
        reductions == limit_reductions_.end() ? 0 : reductions->second};
    for (const auto& [number, running] : core.controllers) {
      for (const auto& [id, table] : running.tables.tables()) {
        auto limit = table.limits.find(ClassId{class_index});
        if (limit == table.limits.end()) continue;
        class_limits.lowest = std::min(class_limits.lowest, limit->second.limit);
        unsafe_retries |= policy.classes[class_index].semantics != Semantics::idempotent &&
                          limit->second.retry_mode > RetryMode::if_not_processed;
      }
    }
    metrics.admission_limits.push_back(std::move(class_limits));
  }
  return unsafe_retries;
}

telemetry::AssignerMetrics CoreMetrics::collect(const CoreView& core, Ms now) {
  const Settings& policy = core.settings.policy;
  telemetry::AssignerMetrics metrics;
  add_channel(core, now, metrics);
  add_service(core.settings, metrics);
  bool unsafe_retries = add_admission_limits(core, metrics);
  metrics.ejections = ejections_;
  metrics.endpoint_list_age_s = std::max(0.0, now - core.last_watch_activity_at) / 1000;
  metrics.listed_endpoints = static_cast<double>(core.endpoints.entries().size());
  metrics.longest_report_wait_s = core.reports.oldest_wait(now) / 1000;
  metrics.reports = core.counters.reports;
  metrics.events = core.counters.events;
  metrics.actions = core.counters.actions;
  metrics.updates = core.counters.update_messages;
  metrics.rejected_streams = core.counters.refused_streams;
  metrics.broken_streams = core.counters.broken_streams;
  metrics.dropped_updates = core.counters.dropped_messages;
  metrics.streams = static_cast<double>(core.sessions.size());
  metrics.proxies = static_cast<double>(core.sessions.proxies().size());
  double max_messages = 0;
  for (double messages : metrics.messages_in_window) max_messages = std::max(max_messages, messages);
  double messages_usage =
      policy.max_messages_per_window > 0 ? max_messages / policy.max_messages_per_window : 0;
  metrics.rule_usage = {longest_without_endpoints(core, now) / policy.max_time_without_endpoints.count(),
                        unsafe_retries ? 1.0 : 0.0, drain_usage(core, now), slow_start_usage(core, now),
                        std::max(metrics.queued_lines / policy.max_queued_lines, messages_usage)};
  return metrics;
}

}  // namespace beamshunt::assigner
