#include "policy/update_scheduler.h"

#include <algorithm>
#include <cmath>
#include <iterator>

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
// Fractions of the queue (Settings::max_queued_lines) that each kind of update may fill, so that there is
// always room for the more urgent kinds.
constexpr double kPriorityQueueFraction = 0.7;
constexpr double kAssignmentQueueFraction = 0.6;
constexpr double kOrdinaryQueueFraction = 0.4;
// Fractions of the messages to a proxy allowed within the window that each kind of update may use.
constexpr double kPriorityMessageFraction = 0.7;
constexpr double kOrdinaryMessageFraction = 0.6;
// Minimum time between ordinary updates of a group; weights and rates change once per second.
constexpr Duration kMinOrdinaryInterval{1000};
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

ClassMask classes_of(const Settings& settings, bool local_only) {
  ClassMask mask = 0;
  for (std::size_t c = 0; c < settings.classes.size(); ++c) {
    if (settings.classes[c].local_only == local_only) mask |= ClassMask{1} << c;
  }
  return mask;
}

}  // namespace

std::vector<ProxyGroupMap::value_type*> UpdateScheduler::begin_publication(ProxyGroupMap& groups) {
  removal_deferred_ = false;
  std::vector<ProxyGroupMap::value_type*> order;
  order.reserve(groups.size());
  for (auto& entry : groups) order.push_back(&entry);
  // In a fixed order, the first groups could fill the channel each period and the last groups would never be
  // written.
  std::ranges::stable_sort(order, {}, [](const auto* entry) { return entry->second.last_ordinary_update; });
  return order;
}

std::optional<double> UpdateScheduler::available_lines(const ProxyGroup& group, UpdateKind kind, Time now) {
  if (group.members.empty()) return std::nullopt;
  bool priority = kind == UpdateKind::priority;
  double allowed =
      settings_.max_messages_per_window > 0 ? settings_.max_messages_per_window : kUnlimitedMessages;
  Duration even_spacing = settings_.message_window / allowed;
  Duration ordinary_interval =
      std::max({kMinOrdinaryInterval, settings_.report_period, even_spacing / kOrdinaryMessageFraction});

  Duration elapsed =
      now - std::max(group.last_ordinary_update, priority ? group.last_priority_update : kDistantPast);
  double messages = budget_.max_messages_in_window(group.members, now);
  double message_fraction = priority ? kPriorityMessageFraction : kOrdinaryMessageFraction;
  bool due = messages <= allowed * message_fraction && (priority || elapsed >= ordinary_interval);
  // Beyond the fraction for priority updates, even spacing makes the remaining allowed messages last for the
  // window.
  due |= priority && messages <= allowed && elapsed >= even_spacing;
  if (!due) return std::nullopt;

  double queue_fraction = priority ? kPriorityQueueFraction : kOrdinaryQueueFraction;
  double free_lines = queue_fraction * settings_.max_queued_lines - budget_.queued_lines(now);
  double lines = free_lines / static_cast<double>(group.members.size()) - settings_.message_overhead_lines -
                 kAckRequestLines;
  if (lines >= 1) return lines;
  return priority ? std::optional<double>(0) : std::nullopt;
}

void UpdateScheduler::write_update(const ProxyGroupKey& key, ProxyGroup& group, const UpdateRequest& request,
                                   const FleetView& fleet, std::vector<Action>& actions) {
  bool priority = request.kind == UpdateKind::priority;
  std::vector<Action> update;
  if (!priority) write_limits(group, request, update);
  for (auto& [local_only, table] : group.tables) {
    bool removed = remove_entries(key.locality, table, request, fleet, update);
    set_entries(table, request, removed, update);
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
    if (is_full(update, request)) {
      removal_deferred_ |= priority;
      return false;
    }
    update.emplace_back(SetWeight{table.id, entry.first, 0});
    return true;
  };
  return std::erase_if(table.published, remove) > 0;
}

void UpdateScheduler::set_entries(Table& table, const UpdateRequest& request, bool removed,
                                  std::vector<Action>& update) {
  for (const auto& [id, weight] : table.desired) {
    if (is_full(update, request)) return;
    auto found = table.published.find(id);
    bool is_missing = found == table.published.end();
    double published = is_missing ? 0 : found->second;
    // However small its weight is, a missing entry is written: a table of small weights must not stay empty.
    bool due = is_missing ? weight > 0 : has_changed(published, weight);
    if (!due) continue;
    if (request.kind == UpdateKind::priority) {
      bool has_half_of_entries = 2 * table.published.size() >= table.desired.size();
      bool may_replace = removed && !(request.has_unassigned_proxies && has_half_of_entries);
      bool decreases = published > 0 && weight <= published * kPriorityDecreaseFraction;
      bool replaces = published <= 0 && may_replace;
      if (!decreases && !replaces) continue;
    }
    table.published[id] = weight;
    update.emplace_back(SetWeight{table.id, id, weight});
  }
}

bool UpdateScheduler::can_assign_proxies(Time now) const {
  if (removal_deferred_) return false;
  return budget_.queued_lines(now) <= kAssignmentQueueFraction * settings_.max_queued_lines;
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
