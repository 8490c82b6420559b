#include "policy/update_scheduler.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <utility>

#include "policy/admission_control.h"

namespace beamshunt {
namespace {

// Relative change above which a weight or limit is published; smaller changes do not justify a line.
constexpr double kMinPublishedChange = 0.1;
// Lower bound for the reference value of a relative change, for values of 0.
constexpr double kMinValue = 1e-9;
// Fraction of its published weight to which an entry must decrease for a priority update, as after a restart
// of its endpoint.
constexpr double kPriorityDecreaseFraction = 0.5;
// Fractions of the usable queue that each kind of update may fill, so that there is always room for the more
// urgent kinds.
constexpr double kPriorityQueueFraction = 0.7;
constexpr double kAssignmentQueueFraction = 0.4;
constexpr double kOrdinaryQueueFraction = 0.4;
// Fractions of the messages to a proxy allowed within the window that each kind of update may use.
constexpr double kPriorityMessageFraction = 0.7;
constexpr double kOrdinaryMessageFraction = 0.6;
// Minimum time between ordinary updates of a group; weights and rates change once per second.
constexpr Duration kMinOrdinaryInterval{1000};
// Fraction of the usable queue above which the channel is busy. Only what a rule requires is urgent then.
constexpr double kBusyQueueFraction = 0.2;
// Fraction of the queueing time for which a priority change may wait for further changes of its group.
constexpr double kGatherFraction = 0.4;
// Minimum time between two attempts to write a waiting priority update, which bounds their cost.
constexpr Duration kMinAttemptInterval{50};
// Messages allowed within a window if the channel has no limit; higher than any possible count.
constexpr double kUnlimitedMessages = 1e6;
// Lines for the AckRequest at the end of a message, and for the entry that assigns a table.
constexpr double kAckRequestLines = 1;
constexpr double kAssignmentLines = 1;

bool has_changed(double from, double to) {
  return std::abs(to - from) > kMinPublishedChange * std::max(from, kMinValue);
}

bool is_full(const std::vector<Action>& update, const UpdateRequest& request) {
  return static_cast<double>(update.size()) >= request.available_lines;
}

double allowed_messages(const Settings& settings) {
  return settings.max_messages_per_window > 0 ? settings.max_messages_per_window : kUnlimitedMessages;
}

ClassMask classes_of(const Settings& settings, bool local_only) {
  ClassMask mask = 0;
  for (std::size_t c = 0; c < settings.classes.size(); ++c) {
    if (settings.classes[c].local_only == local_only) mask |= ClassMask{1} << c;
  }
  return mask;
}

}  // namespace

std::vector<ProxyGroupMap::value_type*> UpdateScheduler::ordinary_update_order(ProxyGroupMap& groups) {
  std::vector<GroupEntry*> order;
  order.reserve(groups.size());
  for (GroupEntry& entry : groups) order.push_back(&entry);
  // In a fixed order, the first groups could fill the channel each period and the last groups would never be
  // written.
  std::ranges::stable_sort(order, {}, [](const auto* entry) { return entry->second.last_ordinary_update; });
  return order;
}

void UpdateScheduler::write_priority_updates(ProxyGroupMap& groups, bool has_unassigned_proxies,
                                             const FleetView& fleet, std::vector<Action>& actions) {
  priority_update_deferred_ = false;
  next_priority_attempt_.reset();
  std::vector<std::pair<GroupEntry*, double>> changed;  // with the number of changes
  for (GroupEntry& entry : groups) {
    ProxyGroup& group = entry.second;
    double changes = group.members.empty() ? 0 : count_priority_changes(entry, fleet);
    if (changes <= 0) group.priority_change_since.reset();
    else if (!group.priority_change_since) group.priority_change_since = fleet.now;
    if (changes > 0) changed.emplace_back(&entry, changes);
  }
  // All changes have the same grace period, so the oldest change has the nearest deadline. An endpoint that
  // drains may be in the tables of many groups; of these, the group that was written longest ago comes first.
  std::ranges::stable_sort(changed, {}, [](const auto& item) {
    const ProxyGroup& group = item.first->second;
    return std::pair(*group.priority_change_since, group.last_priority_update);
  });
  for (auto& [entry, changes] : changed) {
    auto& [key, group] = *entry;
    if (!may_send_priority_message(group, fleet.now)) continue;
    Duration age = fleet.now - *group.priority_change_since;
    double fraction = age < gather_time() ? kOrdinaryQueueFraction : kPriorityQueueFraction;
    // A message has costs of its own, so a group waits until all its changes fit. If they never do, because
    // the group is large, they are written in parts.
    double max_lines = lines_per_member(group, max_priority_lines());
    double lines = lines_per_member(group, fraction * usable_queue_lines() - budget_.queued_lines(fleet.now));
    if (max_lines < 1)
      lines = lines_per_member(group, settings_.max_queued_lines - budget_.queued_lines(fleet.now));
    double needed_lines = std::max(1.0, std::min(changes, max_lines));
    if (lines < needed_lines) {
      priority_update_deferred_ = true;
      retry_after_lines((needed_lines - lines) * static_cast<double>(group.members.size()), fleet.now);
      return;
    }
    UpdateRequest request{.kind = UpdateKind::priority,
                          .available_lines = lines,
                          .defers_replacements = has_unassigned_proxies || is_busy(fleet.now)};
    write_update(key, group, request, fleet, actions);
    group.priority_change_since.reset();
    if (count_priority_changes(*entry, fleet) > 0) group.priority_change_since = fleet.now;
  }
}

double UpdateScheduler::count_priority_changes(const GroupEntry& entry, const FleetView& fleet) const {
  double changes = 0;
  for (const auto& [local_only, table] : entry.second.tables) {
    if (table.published.empty() && !table.desired.empty()) changes += 1;
    for (const auto& [id, published] : table.published) {
      auto desired = table.desired.find(id);
      bool is_removal = desired == table.desired.end() &&
                        !(effective_weight(fleet.endpoints.at(id), entry.first.locality, fleet) > 0);
      bool is_decrease = desired != table.desired.end() &&
                         is_urgent_decrease(fleet.endpoints.at(id), published, desired->second, fleet);
      if (is_removal || is_decrease) changes += 1;
    }
  }
  return changes;
}

// Decreases of warmed-up endpoints do not break a rule, so they wait while the channel is busy.
bool UpdateScheduler::is_urgent_decrease(const Endpoint& endpoint, double published, double desired,
                                         const FleetView& fleet) const {
  if (published <= 0 || desired > published * kPriorityDecreaseFraction) return false;
  return !is_busy(fleet.now) || fleet.slow_start.factor(endpoint, fleet.now) < 1;
}

bool UpdateScheduler::is_busy(Time now) const {
  return budget_.queued_lines(now) > kBusyQueueFraction * usable_queue_lines();
}

double UpdateScheduler::max_priority_lines() const { return kPriorityQueueFraction * usable_queue_lines(); }

Duration UpdateScheduler::gather_time() const {
  return (settings_.drain_grace_period - settings_.max_update_delay) * kGatherFraction;
}

double UpdateScheduler::usable_queue_lines() const {
  Duration queueing_time = settings_.drain_grace_period - settings_.max_update_delay;
  if (queueing_time <= Duration(0)) return settings_.max_queued_lines;
  return std::min(settings_.max_queued_lines,
                  settings_.channel_lines_per_second * (queueing_time / Duration(1000)));
}

double UpdateScheduler::lines_per_member(const ProxyGroup& group, double lines) const {
  return lines / static_cast<double>(group.members.size()) - settings_.message_overhead_lines -
         kAckRequestLines;
}

void UpdateScheduler::retry_after_lines(double lines, Time now) {
  Duration sending_time{1000 * lines / std::max(1.0, settings_.channel_lines_per_second)};
  next_priority_attempt_ = now + std::max(kMinAttemptInterval, sending_time);
}

bool UpdateScheduler::may_send_priority_message(const ProxyGroup& group, Time now) {
  double allowed = allowed_messages(settings_);
  double messages = budget_.max_messages_in_window(group.members, now);
  if (messages <= allowed * kPriorityMessageFraction) return true;
  // Even spacing makes the remaining allowed messages last for the window.
  Duration elapsed = now - std::max(group.last_ordinary_update, group.last_priority_update);
  return messages <= allowed && elapsed >= settings_.message_window / allowed;
}

std::optional<double> UpdateScheduler::available_ordinary_lines(const ProxyGroup& group, Time now) {
  if (priority_update_deferred_ || group.members.empty()) return std::nullopt;
  double allowed = allowed_messages(settings_);
  Duration even_spacing = settings_.message_window / allowed;
  Duration interval =
      std::max({kMinOrdinaryInterval, settings_.report_period, even_spacing / kOrdinaryMessageFraction});
  if (now - group.last_ordinary_update < interval) return std::nullopt;
  if (budget_.max_messages_in_window(group.members, now) > allowed * kOrdinaryMessageFraction)
    return std::nullopt;
  double free_lines = kOrdinaryQueueFraction * usable_queue_lines() - budget_.queued_lines(now);
  double lines = lines_per_member(group, free_lines);
  return lines >= 1 ? std::optional<double>(lines) : std::nullopt;
}

void UpdateScheduler::write_update(const ProxyGroupKey& key, ProxyGroup& group, const UpdateRequest& request,
                                   const FleetView& fleet, std::vector<Action>& actions) {
  bool priority = request.kind == UpdateKind::priority;
  std::vector<Action> update;
  if (!priority) write_limits(group, request, update);
  // Removals of all tables come first: replacements in one table must not take the lines of removals in
  // another. An empty table is filled at once, because its proxies have no endpoint (rule 1).
  std::map<bool, bool> may_replace;  // key: as in ProxyGroup::tables
  for (auto& [local_only, table] : group.tables) {
    bool removed = remove_entries(key.locality, table, request, fleet, update);
    bool has_half_of_entries = 2 * table.published.size() >= table.desired.size();
    may_replace[local_only] =
        table.published.empty() || (removed && !(request.defers_replacements && has_half_of_entries));
    if (table.published.empty()) set_entries(table, request, EntryChanges::all, fleet, update);
  }
  for (auto& [local_only, table] : group.tables) {
    if (priority) set_entries(table, request, EntryChanges::urgent_decreases, fleet, update);
  }
  for (auto& [local_only, table] : group.tables) {
    if (priority && !may_replace.at(local_only)) continue;
    set_entries(table, request, priority ? EntryChanges::additions : EntryChanges::all, fleet, update);
  }
  if (update.empty()) return;
  for (ProxyId id : group.members) budget_.add_lines(id, static_cast<double>(update.size()));
  (priority ? group.last_priority_update : group.last_ordinary_update) = fleet.now;
  actions.insert(actions.end(), std::make_move_iterator(update.begin()),
                 std::make_move_iterator(update.end()));
}

void UpdateScheduler::write_limits(ProxyGroup& group, const UpdateRequest& request,
                                   std::vector<Action>& update) const {
  group.published_limits.resize(settings_.classes.size());
  double max_limit = unlimited_limit(settings_.admission_limit_kind);
  for (std::size_t c = 0; c < settings_.classes.size(); ++c) {
    ClassLimit& published = group.published_limits[c];
    const ClassLimit& desired = request.limits[c];
    bool first = published.limit < 0;
    bool changed = published.retry_mode != desired.retry_mode || has_changed(published.limit, desired.limit);
    // Otherwise a limit slightly below the unlimited value could stay published permanently.
    bool lifts_limit = published.limit < max_limit && desired.limit >= max_limit;
    if (!first && !changed && !lifts_limit) continue;
    published = desired;
    TableId table = group.tables.at(settings_.classes[c].local_only).id;
    update.emplace_back(
        SetAdmissionLimit{table, false, ClassMask{1} << c, desired.limit, desired.retry_mode});
  }
}

bool UpdateScheduler::remove_entries(Locality own, Table& table, const UpdateRequest& request,
                                     const FleetView& fleet, std::vector<Action>& update) {
  bool priority = request.kind == UpdateKind::priority;
  auto remove = [&](const EndpointWeights::value_type& entry) {
    if (table.desired.contains(entry.first)) return false;
    if (priority && effective_weight(fleet.endpoints.at(entry.first), own, fleet) > 0) return false;
    if (is_full(update, request)) return false;
    update.emplace_back(SetWeight{table.id, entry.first, 0});
    return true;
  };
  return std::erase_if(table.published, remove) > 0;
}

void UpdateScheduler::set_entries(Table& table, const UpdateRequest& request, EntryChanges changes,
                                  const FleetView& fleet, std::vector<Action>& update) const {
  for (const auto& [id, weight] : table.desired) {
    if (is_full(update, request)) return;
    auto found = table.published.find(id);
    bool is_missing = found == table.published.end();
    double published = is_missing ? 0 : found->second;
    // However small its weight is, a missing entry is written: a table of small weights must not stay empty.
    bool due = is_missing ? weight > 0 : has_changed(published, weight);
    if (changes == EntryChanges::additions) due = due && published <= 0;
    if (changes == EntryChanges::urgent_decreases)
      due = due && is_urgent_decrease(fleet.endpoints.at(id), published, weight, fleet);
    if (!due) continue;
    table.published[id] = weight;
    update.emplace_back(SetWeight{table.id, id, weight});
  }
}

bool UpdateScheduler::has_room_for_assignments(Time now) const {
  return budget_.queued_lines(now) <= kAssignmentQueueFraction * usable_queue_lines();
}

void UpdateScheduler::create_tables(ProxyGroup& group) {
  for (bool local_only : {false, true}) {
    if (classes_of(settings_, local_only) == 0 || group.tables.contains(local_only)) continue;
    group.tables[local_only].id = TableId(next_table_++);
  }
}

void UpdateScheduler::assign_tables(ProxyId proxy, const ProxyGroup& group, std::vector<Action>& actions) {
  for (const auto& [local_only, table] : group.tables) {
    // The entries that the proxy already has are unknown, so all entries of the table count.
    auto entries = static_cast<double>(table.published.size() + settings_.classes.size());
    budget_.add_lines(proxy, kAssignmentLines + entries);
    actions.emplace_back(AssignTable{classes_of(settings_, local_only), proxy, table.id});
  }
}

}  // namespace beamshunt
