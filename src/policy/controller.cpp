// The order of the decisions in a batch and a period. Each decision, with its inputs and reason, stands in
// its own module; this file keeps the state and decides nothing itself. The order follows docs/design.md.
#include "policy/controller.h"

#include <iterator>
#include <optional>
#include <utility>

#include "policy/admission_control.h"
#include "policy/channel_budget.h"
#include "policy/endpoint_registry.h"
#include "policy/fleet_state.h"
#include "policy/load_balancer.h"
#include "policy/load_estimator.h"
#include "policy/locality_spillover.h"
#include "policy/outlier_detector.h"
#include "policy/proxy_registry.h"
#include "policy/retry_policy.h"
#include "policy/shard_assignment.h"
#include "policy/slow_start.h"
#include "policy/subsetter.h"
#include "policy/update_scheduler.h"

namespace beamshunt {
namespace {

// The BFAIR and weight steps run once a second, as in the paper.
constexpr Duration kStepInterval{1000};
// Lines: a new group's first update is written whole, since a proxy must not get a part of its tables.
constexpr double kUnlimitedRoom = 1e6;

}  // namespace

struct Controller::State {
  explicit State(Settings s) : settings(std::move(s)) {}

  std::vector<Action> handle(Time time, const std::vector<Event>& events);

  // What each event changes at once.
  void apply(const EndpointList& event);
  void apply(const EndpointReport& event);
  void apply(const HealthCheckResult& event);
  void apply(const DemandReport& event) { proxies.apply(event); }
  void apply(const ProxyRegistered& event);
  void apply(const ProxyDisconnected& event);
  void apply(const UpdateAcknowledged& event) { budget.acknowledge(event.proxy, event.sequence_number); }
  void apply(const SharedChannelUsage& event) { budget.apply(event, now); }
  void apply(const ShardAssigned& event) { shards.apply(event); }
  void apply(const ShardOwnerReported& event) { shards.apply(event); }
  void apply(const TimerFired& /*event*/) {}         // it only wakes: what is due goes by the time
  void apply(const PeerMessage& /*event*/) {}        // peers have no say yet
  void apply(const ShardDemandReport& /*event*/) {}  // nor has the load of shards

  void run_period();
  void run_step();
  void publish();
  void assign_proxies();
  void assign(ProxyId id, Proxy& proxy);

  // Made once a reply, when first needed.
  const std::vector<RetryMode>& retry_modes();
  std::vector<ClassLimit> desired_limits(const ProxyGroupKey& key, const ProxyGroup& group);
  // Made once a period, and when demand or the endpoint list changed.
  const LocalityWeights& locality_weights(Locality own, bool local_only);
  void set_desired_weights(const ProxyGroupKey& key, ProxyGroup& group);

  [[nodiscard]] FleetView fleet() const { return {registry.endpoints(), slow_start, now}; }
  template <typename Kind>
  void add_actions(std::vector<Kind> more) {
    actions.insert(actions.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
  }

  const Settings settings;  // the modules refer to it
  ProxyGroupMap groups;
  EndpointRegistry registry{settings};
  ProxyRegistry proxies{settings};
  LoadEstimator estimator{settings};
  SlowStart slow_start{settings};
  AdmissionControl admission{settings};
  OutlierDetector outliers{settings};
  LocalitySpillover spillover{settings};
  Subsetter subsetter{settings};
  ChannelBudget budget{settings};
  UpdateScheduler scheduler{settings, budget};
  ShardAssignment shards{settings};

  Time now{};
  Time next_period = kLongAgo;
  Time next_step = kLongAgo;
  bool list_changed = false;  // since the last publication between two periods
  std::optional<std::vector<RetryMode>> reply_retry_modes;
  std::vector<Action> actions;  // of this reply
};

std::vector<Action> Controller::State::handle(Time time, const std::vector<Event>& events) {
  now = time;
  reply_retry_modes.reset();
  admission.begin_reply();
  for (const Event& event : events) std::visit([&](const auto& e) { apply(e); }, event);
  if (registry.take_due_subscription(now)) actions.emplace_back(Subscribe{true});

  bool period_due = now >= next_period;
  bool demand_outdated = proxies.demand_is_outdated(events.size());
  if (period_due || demand_outdated) proxies.sum_demand(groups);
  if (period_due || demand_outdated || list_changed) subsetter.clear();
  if (period_due) run_period();

  if (settings.shard_count > 0) {
    add_actions(shards.assign_owners(registry.endpoints(), slow_start, now));
    return std::exchange(actions, {});
  }
  // A changed list does not wait for the next period. One that changed in a period's own reply stays marked,
  // and is published again in the next reply: its priority updates may find room then.
  bool due = period_due || list_changed;
  if (!period_due) list_changed = false;
  if (due) publish();
  assign_proxies();
  if (auto sequence_number = budget.close(now)) actions.emplace_back(AckRequest{*sequence_number, false});
  return std::exchange(actions, {});
}

void Controller::State::apply(const EndpointList& event) {
  list_changed |= registry.apply(event, estimator.capacity_by_size(), now);
}

void Controller::State::apply(const EndpointReport& event) {
  auto found = registry.endpoints().find(event.endpoint);
  if (found != registry.endpoints().end()) estimator.apply(event, found->second, now);
}

void Controller::State::apply(const HealthCheckResult& event) {
  auto found = registry.endpoints().find(event.endpoint);
  if (found == registry.endpoints().end()) return;
  LoadEstimator::apply_load_report(event.load, found->second);
  OutlierDetector::apply(event, found->second);
}

void Controller::State::apply(const ProxyRegistered& event) {
  Proxy proxy = proxies.make_proxy(event);
  apply(ProxyDisconnected{event.proxy});  // a new stream replaces a former one
  proxies.add(event.proxy, std::move(proxy));
}

void Controller::State::apply(const ProxyDisconnected& event) {
  Proxy* proxy = proxies.find(event.proxy);
  if (proxy == nullptr) return;
  budget.forget(event.proxy, now);
  if (proxy->assigned) {
    ProxyGroup& group = groups[proxy->group];
    group.members.erase(event.proxy);
    subsetter.add_expected_rate(proxy->group, group, -proxy->expected_rate);
  }
  proxies.remove(event.proxy);
}

void Controller::State::run_period() {
  registry.close_period(groups, now);
  estimator.close_period(registry.endpoints(), now);
  for (std::size_t z = 0; z < settings.localities.size(); ++z) {
    add_actions(outliers.judge(Locality(z), registry.endpoints(), estimator.report_interval(), now));
  }
  if (now >= next_step) run_step();
  next_period = now + settings.report_period;
  actions.emplace_back(SetTimer{next_period, 0});
}

void Controller::State::run_step() {
  EndpointMap& endpoints = registry.endpoints();
  admission.step(endpoints, proxies.demand(), estimator, now);
  estimator.learn_relative_capacity(endpoints, slow_start, now);
  adjust_weights(endpoints, estimator, now);
  spillover.step(estimator, fleet());
  add_actions(outliers.due_health_checks(endpoints));
  next_step = now + kStepInterval;
}

void Controller::State::publish() {
  const EndpointMap& endpoints = registry.endpoints();
  std::optional<FleetAverages> averages = estimator.averages(endpoints, now);
  double fail_share = averages ? averages->fail_share : 1;  // nothing reported: no calm fleet is known
  slow_start.update_overload(fail_share, estimator.rate_per_capacity(), endpoints, proxies.demand(), now);

  for (auto& [key, group] : groups) set_desired_weights(key, group);
  subsetter.balance_shared_endpoints(groups, fleet());

  auto order = scheduler.begin_publication(groups);
  for (UpdateKind kind : {UpdateKind::priority, UpdateKind::ordinary}) {
    for (auto* entry : order) {
      auto& [key, group] = *entry;
      std::optional<double> room = scheduler.room(group, kind, now);
      if (!room) continue;
      UpdateRequest request{.kind = kind, .room = *room, .proxies_wait = proxies.any_unassigned()};
      if (kind == UpdateKind::ordinary) request.limits = desired_limits(key, group);
      scheduler.write(key, group, request, fleet(), actions);
    }
  }
}

void Controller::State::assign_proxies() {
  // Started without a list, an empty table would take away what the proxies hold (rule 1).
  if (registry.endpoints().empty()) return;
  // Many that register at once would overfill the channel (rule 5): who finds no room waits with what it
  // holds.
  while (proxies.any_unassigned() && scheduler.may_assign(now)) {
    ProxyId id = proxies.take_unassigned();
    Proxy* proxy = proxies.find(id);
    if (proxy != nullptr && !proxy->assigned) assign(id, *proxy);
  }
}

// Once a stream, after all else of the batch: what the proxy holds is unknown, whole tables settle it.
void Controller::State::assign(ProxyId id, Proxy& proxy) {
  ProxyGroup& group = subsetter.join(proxy, groups, registry.endpoints());
  scheduler.create_tables(group);
  proxy.assigned = true;
  group.members.insert(id);
  subsetter.add_expected_rate(proxy.group, group, proxy.expected_rate);
  proxies.add_admitted(proxy, group);
  if (group.members.size() == 1) {
    set_desired_weights(proxy.group, group);
    UpdateRequest request{.kind = UpdateKind::ordinary,
                          .room = kUnlimitedRoom,
                          .limits = desired_limits(proxy.group, group),
                          .proxies_wait = proxies.any_unassigned()};
    scheduler.write(proxy.group, group, request, fleet(), actions);
  }
  scheduler.assign(id, group, actions);
}

const std::vector<RetryMode>& Controller::State::retry_modes() {
  if (reply_retry_modes) return *reply_retry_modes;
  RetryInputs inputs{.averages = estimator.averages(registry.endpoints(), now),
                     .mean_utilization = spillover.mean_utilization(),
                     .any_class_limited = admission.limits_any_class()};
  std::vector<RetryMode>& modes = reply_retry_modes.emplace();
  for (const RequestClass& request_class : settings.classes) {
    modes.push_back(retry_mode(request_class, settings, inputs));
  }
  return modes;
}

std::vector<ClassLimit> Controller::State::desired_limits(const ProxyGroupKey& key, const ProxyGroup& group) {
  std::vector<ClassLimit> limits;
  for (std::size_t c = 0; c < settings.classes.size(); ++c) {
    double limit = admission.limit(key, group, c, proxies.demand(), proxies.proxies(), fleet());
    limits.push_back({.limit = limit, .retry_mode = retry_modes()[c]});
  }
  return limits;
}

const LocalityWeights& Controller::State::locality_weights(Locality own, bool local_only) {
  if (const LocalityWeights* stored = subsetter.find(own, local_only)) return *stored;
  EndpointWeights weights = spillover.weights(own, local_only, proxies.demand(), fleet());
  return subsetter.store(own, local_only, std::move(weights), registry.endpoints());
}

void Controller::State::set_desired_weights(const ProxyGroupKey& key, ProxyGroup& group) {
  for (auto& [local_only, table] : group.tables) {
    table.desired = Subsetter::table_weights(key, group, locality_weights(key.locality, local_only));
  }
}

Controller::Controller(Settings settings) : state_(std::make_unique<State>(std::move(settings))) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;
std::vector<Action> Controller::handle(Time now, const std::vector<Event>& events) {
  return state_->handle(now, events);
}

}  // namespace beamshunt
