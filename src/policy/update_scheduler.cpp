#include "policy/update_scheduler.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "policy/admission_control.h"

namespace beamshunt {
namespace {

// A weight or limit is published once it moved by over this part: smaller changes are not worth a line.
constexpr double kPublishedChange = 0.1;
// Keeps the comparison meaningful for a value of 0.
constexpr double kMinValue = 1e-9;
// Part of its published weight to which an entry has to fall for a priority update: an endpoint restarted.
constexpr double kPriorityFall = 0.5;
// Parts of the queue (Settings::max_queued_lines) that each kind may fill: what is more pressing finds room
// left.
constexpr double kPriorityQueuePart = 0.7;
constexpr double kAssignmentQueuePart = 0.6;
constexpr double kOrdinaryQueuePart = 0.4;
// Parts of the messages allowed to a proxy in the window that each kind may use up.
constexpr double kPriorityMessagePart = 0.7;
constexpr double kOrdinaryMessagePart = 0.6;
// Least time between ordinary updates of a group: weights and rates change once a second.
constexpr Duration kMinInterval{1000};
// Messages in a window: a number that is never reached, where the channel has no limit.
constexpr double kUnlimitedMessages = 1e6;
// Lines of the AckRequest that ends a message, and of the entry that assigns a table.
constexpr double kAckRequestLines = 1;
constexpr double kAssignmentLines = 1;

bool has_moved(double from, double to) {
  return std::abs(to - from) > kPublishedChange * std::max(from, kMinValue);
}

bool is_full(const std::vector<Action>& update, const UpdateRequest& request) {
  return static_cast<double>(update.size()) >= request.room;
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
  removal_waits_for_lines_ = false;
  std::vector<ProxyGroupMap::value_type*> order;
  order.reserve(groups.size());
  for (auto& entry : groups) order.push_back(&entry);
  // Where the others fill the channel each period, the last would never have a turn.
  std::ranges::stable_sort(order, {}, [](const auto* entry) { return entry->second.last_ordinary_update; });
  return order;
}

std::optional<double> UpdateScheduler::room(const ProxyGroup& group, UpdateKind kind, Time now) {
  if (group.members.empty()) return std::nullopt;
  bool priority = kind == UpdateKind::priority;
  double allowed =
      settings_.max_messages_per_window > 0 ? settings_.max_messages_per_window : kUnlimitedMessages;
  Duration even_spacing = settings_.message_window / allowed;
  Duration ordinary_interval =
      std::max({kMinInterval, settings_.report_period, even_spacing / kOrdinaryMessagePart});

  Duration since =
      now - std::max(group.last_ordinary_update, priority ? group.last_priority_update : kLongAgo);
  double messages = budget_.most_messages(group.members, now);
  double message_part = priority ? kPriorityMessagePart : kOrdinaryMessagePart;
  bool due = messages <= allowed * message_part && (priority || since >= ordinary_interval);
  // Spaced evenly, the last of the allowance lasts for the window.
  due |= priority && messages <= allowed && since >= even_spacing;
  if (!due) return std::nullopt;

  double queue_part = priority ? kPriorityQueuePart : kOrdinaryQueuePart;
  double free_lines = queue_part * settings_.max_queued_lines - budget_.queued_lines(now);
  double lines = free_lines / static_cast<double>(group.members.size()) - settings_.message_overhead_lines -
                 kAckRequestLines;
  if (lines >= 1) return lines;
  return priority ? std::optional<double>(0) : std::nullopt;
}

void UpdateScheduler::write(const ProxyGroupKey& key, ProxyGroup& group, const UpdateRequest& request,
                            const FleetView& fleet, std::vector<Action>& actions) {
  bool priority = request.kind == UpdateKind::priority;
  std::vector<Action> update;
  if (!priority) write_limits(group, request, update);
  for (auto& [local_only, table] : group.tables) {
    bool removed = remove_entries(key.locality, table, request, fleet, update);
    set_entries(table, request, removed, update);
  }
  if (update.empty()) return;
  for (ProxyId id : group.members) budget_.add(id, static_cast<double>(update.size()));
  (priority ? group.last_priority_update : group.last_ordinary_update) = fleet.now;
  actions.insert(actions.end(), std::make_move_iterator(update.begin()),
                 std::make_move_iterator(update.end()));
}

void UpdateScheduler::write_limits(ProxyGroup& group, const UpdateRequest& request,
                                   std::vector<Action>& update) const {
  group.published_limits.resize(settings_.classes.size());
  double open = unlimited(settings_.admission_limit_kind);
  for (std::size_t c = 0; c < settings_.classes.size(); ++c) {
    ClassLimit& published = group.published_limits[c];
    const ClassLimit& desired = request.limits[c];
    bool first = published.limit < 0;
    bool changed = published.retry_mode != desired.retry_mode || has_moved(published.limit, desired.limit);
    // Else a limit would stay just under all for good.
    bool opens = published.limit < open && desired.limit >= open;
    if (!first && !changed && !opens) continue;
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
      removal_waits_for_lines_ |= priority;
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
    double published = found == table.published.end() ? 0 : found->second;
    if (!has_moved(published, weight)) continue;
    if (request.kind == UpdateKind::priority) {
      bool has_enough = 2 * table.published.size() >= table.desired.size();
      bool may_replace = removed && !(request.proxies_wait && has_enough);
      bool falls = published > 0 && weight <= published * kPriorityFall;
      bool replaces = published <= 0 && may_replace;
      if (!falls && !replaces) continue;
    }
    table.published[id] = weight;
    update.emplace_back(SetWeight{table.id, id, weight});
  }
}

bool UpdateScheduler::may_assign(Time now) const {
  if (removal_waits_for_lines_) return false;
  return budget_.queued_lines(now) <= kAssignmentQueuePart * settings_.max_queued_lines;
}

void UpdateScheduler::create_tables(ProxyGroup& group) {
  for (bool local_only : {false, true}) {
    if (classes_of(settings_, local_only) == 0 || group.tables.contains(local_only)) continue;
    group.tables[local_only].id = TableId(next_table_++);
  }
}

void UpdateScheduler::assign(ProxyId proxy, const ProxyGroup& group, std::vector<Action>& actions) {
  for (const auto& [local_only, table] : group.tables) {
    // What the proxy holds is unknown: the whole table counts.
    auto content = static_cast<double>(table.published.size() + settings_.classes.size());
    budget_.add(proxy, kAssignmentLines + content);
    actions.emplace_back(AssignTable{classes_of(settings_, local_only), proxy, table.id});
  }
}

}  // namespace beamshunt
