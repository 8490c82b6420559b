// Runs the decisions of a batch and of a period in order. Each decision is implemented in its own module,
// which states its inputs and reason. This file stores the state and makes no decisions. docs/design.md
// specifies the order.
#include "policy/controller.h"

#include <iterator>
#include <optional>
#include <utility>

#include "policy/admission_control.h"
#include "policy/channel_budget.h"
#include "policy/endpoint_registry.h"
#include "policy/fleet_state.h"
#include "policy/held_table_cleaner.h"
#include "policy/load_balancer.h"
#include "policy/load_estimator.h"
#include "policy/locality_spillover.h"
#include "policy/outlier_detector.h"
#include "policy/proxy_registry.h"
#include "policy/report_validation.h"
#include "policy/retry_policy.h"
#include "policy/shard_assignment.h"
#include "policy/slow_start.h"
#include "policy/subsetter.h"
#include "policy/update_scheduler.h"

namespace beamshunt {
namespace {

// Interval of the BFAIR and weight steps, as in the paper.
constexpr Duration kStepInterval{1000};
// Fraction of the time allowed without endpoints after which a proxy gets its tables before others are told
// of removals.
constexpr double kOverdueFraction = 0.25;
// Time between two attempts to tell waiting proxies of removals.
constexpr Duration kHeldTableInterval{50};
// Lines for the first update of a new group, which is written in full because a proxy must not get incomplete
// tables.
constexpr double kUnlimitedLines = 1e6;

}  // namespace

struct Controller::State {
  State(Settings s, HostCapabilities c) : settings(std::move(s)), capabilities(c) {}

  std::vector<Action> handle(Time time, const std::vector<Event>& events);

  // Apply the immediate effects of one event.
  void apply(const EndpointList& event);
  void apply(const EndpointReport& event);
  void apply(const HealthCheckResult& event);
  void apply(const DemandReport& event);
  void apply(const ProxyRegistered& event);
  void apply(const ProxyDisconnected& event);
  void apply(const UpdateAcknowledged& event) { budget.acknowledge(event.proxy, event.sequence_number); }
  void apply(const SharedChannelUsage& event) { budget.apply(event, now); }
  void apply(const ShardAssigned& event) { shards.apply(event); }
  void apply(const ShardOwnerReported& event) { shards.apply(event); }
  void apply(const TimerFired& /*event*/) {}         // ends a wait; due decisions depend on the time only
  void apply(const PeerMessage& /*event*/) {}        // no decision uses peer messages
  void apply(const ShardDemandReport& /*event*/) {}  // no decision uses the load of shards

  void run_period();
  void run_step();
  void publish();
  void clean_held_tables();
  void assign_proxies();
  // Assigns tables to proxies that may have been without endpoints for long (rule 1), before further
  // removals.
  void assign_overdue_proxies();
  [[nodiscard]] bool may_assign_proxy() const;
  void assign_next_proxy();
  void assign(ProxyId id, Proxy& proxy);

  // Returns the retry modes by class. They are computed at most once in a batch.
  const std::vector<RetryMode>& retry_modes();
  std::vector<ClassLimit> desired_limits(const ProxyGroupKey& key, const ProxyGroup& group);
  // Returns the weights of the locality, computed at most once in a period and again after a change of demand
  // or of the endpoint list.
  const LocalityWeights& locality_weights(Locality own, bool local_only);
  void set_desired_weights(const ProxyGroupKey& key, ProxyGroup& group);

  [[nodiscard]] FleetView fleet() const { return {endpoint_registry.endpoints(), slow_start, now}; }
  template <typename Kind>
  void add_actions(std::vector<Kind> more) {
    actions.insert(actions.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
  }

  const Settings settings;  // referenced by the modules
  const HostCapabilities capabilities;
  ProxyGroupMap groups;
  EndpointRegistry endpoint_registry{settings};
  ProxyRegistry proxy_registry{settings};
  LoadEstimator estimator{settings};
  SlowStart slow_start{settings};
  AdmissionControl admission{settings};
  OutlierDetector outliers{settings};
  LocalitySpillover spillover{settings};
  Subsetter subsetter{settings};
  ChannelBudget budget{settings};
  UpdateScheduler scheduler{settings, budget};
  HeldTableCleaner held_tables{budget};
  ShardAssignment shards{settings};

  Time now{};
  Time next_period = kDistantPast;
  Time next_step = kDistantPast;
  bool endpoint_list_changed = false;  // true: not yet published since a change
  std::optional<std::vector<RetryMode>> batch_retry_modes;
  std::vector<Action> actions;  // actions of the current batch
};

std::vector<Action> Controller::State::handle(Time time, const std::vector<Event>& events) {
  now = time;
  batch_retry_modes.reset();
  admission.begin_batch();
  for (const Event& event : events) std::visit([&](const auto& e) { apply(e); }, event);
  if (endpoint_registry.renew_subscription_if_due(now)) actions.emplace_back(Subscribe{true});

  bool period_due = now >= next_period;
  bool demand_outdated = proxy_registry.demand_is_stale_after(events.size());
  if (period_due || demand_outdated) proxy_registry.sum_demand(groups);
  if (period_due || demand_outdated || endpoint_list_changed) subsetter.clear_locality_weights();
  if (period_due) run_period();

  if (settings.shard_count > 0) {
    add_actions(shards.assign_owners(endpoint_registry.endpoints(), slow_start, now));
    return std::exchange(actions, {});
  }
  // A changed endpoint list is published without waiting for the next period. If it changes in the batch of a
  // period, the flag stays set and the next batch publishes again, because lines for the priority updates may
  // be available then.
  std::optional<Time> attempt = scheduler.next_priority_attempt();
  bool due = period_due || endpoint_list_changed || (attempt && now >= *attempt);
  if (!period_due) endpoint_list_changed = false;
  if (due) publish();
  assign_overdue_proxies();
  clean_held_tables();
  assign_proxies();
  if (auto sequence_number = budget.finish_messages(now))
    actions.emplace_back(AckRequest{*sequence_number, false});
  return std::exchange(actions, {});
}

void Controller::State::apply(const EndpointList& event) {
  if (!endpoint_registry.apply(event, estimator.relative_capacities(), now)) return;
  endpoint_list_changed = true;
  if (capabilities.remove_held_endpoints) held_tables.endpoints_changed(proxy_registry.unassigned());
}

void Controller::State::apply(const EndpointReport& event) {
  if (!is_valid(event)) return;
  auto found = endpoint_registry.endpoints().find(event.endpoint);
  if (found != endpoint_registry.endpoints().end()) estimator.apply(event, found->second, now);
}

void Controller::State::apply(const HealthCheckResult& event) {
  auto found = endpoint_registry.endpoints().find(event.endpoint);
  if (found == endpoint_registry.endpoints().end()) return;
  LoadEstimator::apply_load_report(event.load, found->second);
  OutlierDetector::apply(event, found->second);
}

void Controller::State::apply(const DemandReport& event) {
  if (is_valid(event)) proxy_registry.apply(event);
}

void Controller::State::apply(const ProxyRegistered& event) {
  Proxy proxy = proxy_registry.make_proxy(event);
  proxy.registered_at = now;
  apply(ProxyDisconnected{event.proxy});  // a new stream replaces the previous one
  proxy_registry.add(event.proxy, std::move(proxy));
  if (capabilities.remove_held_endpoints) held_tables.add_proxy(event.proxy);
}

void Controller::State::apply(const ProxyDisconnected& event) {
  Proxy* proxy = proxy_registry.find(event.proxy);
  if (proxy == nullptr) return;
  budget.remove_proxy(event.proxy, now);
  if (proxy->assigned) {
    ProxyGroup& group = groups[proxy->group];
    group.members.erase(event.proxy);
    subsetter.add_expected_rate(proxy->group, group, -proxy->expected_rate);
  }
  proxy_registry.remove(event.proxy);
}

void Controller::State::run_period() {
  endpoint_registry.end_period(groups, now);
  estimator.end_period(endpoint_registry.endpoints(), now);
  for (std::size_t locality = 0; locality < settings.localities.size(); ++locality) {
    add_actions(outliers.evaluate(Locality(locality), endpoint_registry.endpoints(),
                                  estimator.report_interval(), now));
  }
  if (now >= next_step) run_step();
  next_period = now + settings.report_period;
  actions.emplace_back(SetTimer{next_period, 0});
}

void Controller::State::run_step() {
  EndpointMap& endpoints = endpoint_registry.endpoints();
  admission.step(endpoints, proxy_registry.demand(), estimator, now);
  estimator.learn_relative_capacity(endpoints, slow_start, now);
  adjust_weights(endpoints, estimator, now);
  spillover.step(estimator, fleet());
  add_actions(outliers.due_health_checks(endpoints));
  next_step = now + kStepInterval;
}

void Controller::State::publish() {
  const EndpointMap& endpoints = endpoint_registry.endpoints();
  std::optional<FleetAverages> averages = estimator.averages(endpoints, now);
  double failure_ratio =
      averages ? averages->failure_ratio : 1;  // 1 without reports: no evidence that attempts succeed
  slow_start.update_overload(failure_ratio, estimator.rate_per_capacity(), endpoints, proxy_registry.demand(),
                             now);

  for (auto& [key, group] : groups) set_desired_weights(key, group);
  subsetter.balance_shared_endpoints(groups, fleet());

  scheduler.write_priority_updates(groups, proxy_registry.any_unassigned(), fleet(), actions);
  for (auto* entry : UpdateScheduler::ordinary_update_order(groups)) {
    auto& [key, group] = *entry;
    std::optional<double> available_lines = scheduler.available_ordinary_lines(group, now);
    if (!available_lines) continue;
    UpdateRequest request{.kind = UpdateKind::ordinary,
                          .available_lines = *available_lines,
                          .limits = desired_limits(key, group)};
    scheduler.write_update(key, group, request, fleet(), actions);
  }
  std::optional<Time> attempt = scheduler.next_priority_attempt();
  if (attempt && *attempt < next_period) actions.emplace_back(SetTimer{*attempt, 0});
}

void Controller::State::clean_held_tables() {
  held_tables.write(proxy_registry, endpoint_registry.endpoints(), scheduler.max_priority_lines(),
                    scheduler.gather_time(), now, actions);
  if (held_tables.any_waiting()) actions.emplace_back(SetTimer{now + kHeldTableInterval, 0});
}

void Controller::State::assign_proxies() {
  // After a start without an endpoint list, assigning empty tables would replace the tables that proxies have
  // and leave them without endpoints (rule 1).
  if (endpoint_registry.endpoints().empty()) return;
  // Assigning many proxies that register together would exceed the queue limit of the channel (rule 5). A
  // proxy that cannot be assigned yet waits and keeps its present tables.
  while (proxy_registry.any_unassigned() && may_assign_proxy()) assign_next_proxy();
}

void Controller::State::assign_overdue_proxies() {
  auto is_overdue = [&] {
    std::optional<Time> put_first_at = proxy_registry.next_put_first_at();
    return put_first_at && now - *put_first_at >= settings.max_time_without_endpoints * kOverdueFraction;
  };
  while (is_overdue() && budget.queued_lines(now) < scheduler.max_priority_lines()) assign_next_proxy();
}

bool Controller::State::may_assign_proxy() const {
  if (!scheduler.has_room_for_assignments(now) || scheduler.priority_update_deferred()) return false;
  return proxy_registry.next_put_first_at() || !held_tables.lacks_lines();
}

void Controller::State::assign_next_proxy() {
  ProxyId id = proxy_registry.pop_unassigned();
  Proxy* proxy = proxy_registry.find(id);
  if (proxy != nullptr && !proxy->assigned) assign(id, *proxy);
}

// Assigns tables once for each stream of a proxy, after all other updates of the batch. The state of the
// proxy is unknown, so complete tables are assigned.
void Controller::State::assign(ProxyId id, Proxy& proxy) {
  ProxyGroup& group = subsetter.assign_subset(proxy, groups, endpoint_registry.endpoints());
  scheduler.create_tables(group);
  proxy.assigned = true;
  group.members.insert(id);
  subsetter.add_expected_rate(proxy.group, group, proxy.expected_rate);
  proxy_registry.add_admitted_rates(proxy, group);
  if (group.members.size() == 1) {
    set_desired_weights(proxy.group, group);
    UpdateRequest request{.kind = UpdateKind::ordinary,
                          .available_lines = kUnlimitedLines,
                          .limits = desired_limits(proxy.group, group)};
    scheduler.write_update(proxy.group, group, request, fleet(), actions);
  }
  scheduler.assign_tables(id, group, actions);
}

const std::vector<RetryMode>& Controller::State::retry_modes() {
  if (batch_retry_modes) return *batch_retry_modes;
  RetryInputs inputs{.averages = estimator.averages(endpoint_registry.endpoints(), now),
                     .mean_utilization = spillover.mean_utilization(),
                     .any_class_limited = admission.limits_any_class()};
  std::vector<RetryMode>& modes = batch_retry_modes.emplace();
  for (const RequestClass& request_class : settings.classes) {
    modes.push_back(retry_mode(request_class, settings, inputs));
  }
  return modes;
}

std::vector<ClassLimit> Controller::State::desired_limits(const ProxyGroupKey& key, const ProxyGroup& group) {
  std::vector<ClassLimit> limits;
  for (std::size_t c = 0; c < settings.classes.size(); ++c) {
    double limit = admission.limit(key, group, c, proxy_registry.demand(), proxy_registry.proxies(), fleet());
    limits.push_back({.limit = limit, .retry_mode = retry_modes()[c]});
  }
  return limits;
}

const LocalityWeights& Controller::State::locality_weights(Locality own, bool local_only) {
  if (const LocalityWeights* stored = subsetter.find_locality_weights(own, local_only)) return *stored;
  EndpointWeights weights = spillover.weights(own, local_only, proxy_registry.demand(), fleet());
  return subsetter.store_locality_weights(own, local_only, std::move(weights), endpoint_registry.endpoints());
}

void Controller::State::set_desired_weights(const ProxyGroupKey& key, ProxyGroup& group) {
  for (auto& [local_only, table] : group.tables) {
    table.desired = Subsetter::table_weights(key, group, locality_weights(key.locality, local_only));
  }
}

Controller::Controller(Settings settings, HostCapabilities capabilities)
    : state_(std::make_unique<State>(std::move(settings), capabilities)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;
std::vector<Action> Controller::handle(Time now, const std::vector<Event>& events) {
  return state_->handle(now, events);
}

}  // namespace beamshunt
