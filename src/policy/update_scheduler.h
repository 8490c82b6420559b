// Update scheduling: selects the updates that are published in a batch.
//
// Questions: Which tables are updated in this batch, and with which entries? May another proxy be assigned?
// Inputs: desired and published weights and limits, lines queued in the channel, messages sent within the
// window, and the times of the last updates (ms).
// Rules:
//  - Entries that must be removed or must decrease to half or less (of draining, removed, ejected or warming
//    endpoints) and the entries that replace them are priority updates and are written first. All other
//    updates are ordinary and are sent at most once in a period.
//  - Priority updates, assignments and ordinary updates may each fill a fixed fraction of the usable queue,
//    which is what the channel sends in the time that the grace period leaves for queueing.
//  - Priority updates are written in the order of their deadlines: the group whose oldest unwritten change is
//    oldest comes first. While it waits for lines, the others wait too and gather further changes. A waiting
//    update is tried again as soon as the channel may have room.
//  - Ordinary updates are written in the order of the last ordinary update, oldest first. A write stops when
//    its fraction is full and continues later.
//  - While a removal waits for lines in the channel, no proxy is assigned. While proxies wait for assignment,
//    replacement entries wait too, unless less than half of a table remains.
// Reasons: Drains (rule 3) and warm-up (rule 4) cannot wait for ordinary updates. Rule 5 limits the queue and
// the messages. Each message costs lines of its own, so many small messages to one group would take the lines
// that the removals of other groups need before their deadlines. When many proxies register while endpoints
// drain, assignments that fill the channel as fast as it empties would block the removals for all proxies.
// Never: The scheduler never computes a weight or a limit.
#pragma once

#include <optional>
#include <vector>

#include "policy/actions.h"
#include "policy/channel_budget.h"
#include "policy/fleet_state.h"
#include "policy/load_balancer.h"
#include "policy/settings.h"

namespace beamshunt {

enum class UpdateKind { priority, ordinary };

struct UpdateRequest {
  UpdateKind kind = UpdateKind::ordinary;
  double available_lines = 0;      // maximum number of lines to add to each member's message
  std::vector<ClassLimit> limits;  // desired limits by class; unused in a priority update
  // True: entries in the place of removed ones wait while half of a table is left. Unused in an ordinary
  // update.
  bool defers_replacements = false;
};

class UpdateScheduler {
 public:
  // Both parameters must outlive this object.
  UpdateScheduler(const Settings& settings, ChannelBudget& budget) : settings_(settings), budget_(budget) {}

  // Writes the priority updates of a publication, in the order of their deadlines.
  void write_priority_updates(ProxyGroupMap& groups, bool has_unassigned_proxies, const FleetView& fleet,
                              std::vector<Action>& actions);

  // Returns the groups in the order in which ordinary updates have to be written. The pointers are valid
  // while the groups stay in `groups`.
  [[nodiscard]] static std::vector<ProxyGroupMap::value_type*> ordinary_update_order(ProxyGroupMap& groups);

  // Returns the number of lines that an ordinary update may add to each member's message now, or nothing if
  // the group has to wait.
  [[nodiscard]] std::optional<double> available_ordinary_lines(const ProxyGroup& group, Time now);

  // Appends the differences between desired and published state to `actions`, up to the available lines, and
  // records them as published.
  void write_update(const ProxyGroupKey& key, ProxyGroup& group, const UpdateRequest& request,
                    const FleetView& fleet, std::vector<Action>& actions);

  // Returns the time at which a priority update that waits since the last publication may be written, or
  // nothing if none waits.
  [[nodiscard]] std::optional<Time> next_priority_attempt() const { return next_priority_attempt_; }

  // Returns the number of queued lines up to which priority updates may be written.
  [[nodiscard]] double max_priority_lines() const;
  // Returns the time for which a priority change waits for others while the queue fills up.
  [[nodiscard]] Duration gather_time() const;

  // Returns whether the last publication had no lines left for a priority update.
  [[nodiscard]] bool priority_update_deferred() const { return priority_update_deferred_; }
  // Returns whether the queue has room for assignments.
  [[nodiscard]] bool has_room_for_assignments(Time now) const;

  // Creates the tables that the classes of the settings require and the group does not have yet.
  void create_tables(ProxyGroup& group);
  // Assigns the group's tables to the proxy.
  void assign_tables(ProxyId proxy, const ProxyGroup& group, std::vector<Action>& actions);

 private:
  using GroupEntry = ProxyGroupMap::value_type;

  // Returns whether the message limits allow another priority update of the group.
  [[nodiscard]] bool may_send_priority_message(const ProxyGroup& group, Time now);
  // Returns the entries that each member's message may hold if all members' messages fill `lines`.
  [[nodiscard]] double lines_per_member(const ProxyGroup& group, double lines) const;
  // Returns whether so many lines are queued that only what a rule requires is urgent.
  [[nodiscard]] bool is_busy(Time now) const;
  // Returns the lines that may be queued so that a removal behind them arrives within the grace period.
  [[nodiscard]] double usable_queue_lines() const;
  // Plans another publication for when the channel has sent `lines`.
  void retry_after_lines(double lines, Time now);
  void write_limits(ProxyGroup& group, const UpdateRequest& request, std::vector<Action>& update) const;
  // Returns whether any entry was removed.
  bool remove_entries(Locality own, Table& table, const UpdateRequest& request, const FleetView& fleet,
                      std::vector<Action>& update);
  enum class EntryChanges { all, additions, urgent_decreases };
  void set_entries(Table& table, const UpdateRequest& request, EntryChanges changes, const FleetView& fleet,
                   std::vector<Action>& update) const;
  // Returns the number of changes of the group that a priority update has to write: removals, urgent
  // decreases and first entries of empty tables.
  [[nodiscard]] double count_priority_changes(const GroupEntry& entry, const FleetView& fleet) const;
  [[nodiscard]] bool is_urgent_decrease(const Endpoint& endpoint, double published, double desired,
                                        const FleetView& fleet) const;

  const Settings& settings_;
  ChannelBudget& budget_;
  bool priority_update_deferred_ = false;      // the last publication had no lines left for a priority update
  std::optional<Time> next_priority_attempt_;  // empty: no priority update waits
  int next_table_ = 0;
};

}  // namespace beamshunt
