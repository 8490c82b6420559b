// Update scheduling: selects the updates that are published in a batch.
//
// Questions: Which tables are updated in this batch, and with which entries? May another proxy be assigned?
// Inputs: desired and published weights and limits, lines queued in the channel, messages sent within the
// window, and the times of the last updates (ms).
// Rules:
//  - Entries that must be removed or must decrease to half or less (of draining, removed, ejected or warming
//    endpoints) and the entries that replace them are priority updates and are written first. All other
//    updates are ordinary and are sent at most once in a period.
//  - Priority updates, assignments and ordinary updates may each fill a fixed fraction of the queue. A write
//    stops when its fraction is full and continues later.
//  - For both kinds, groups are written in the order of their last ordinary update, oldest first.
//  - While a removal waits for lines in the channel, no proxy is assigned. While proxies wait for assignment,
//    replacement entries wait too, unless less than half of a table remains.
// Reasons: Drains (rule 3) and warm-up (rule 4) cannot wait for ordinary updates. Rule 5 limits the queue and
// the messages. When many proxies register while endpoints drain, assignments that fill the channel as fast
// as it empties would block the removals for all proxies.
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
  double available_lines = 0;           // maximum number of lines to add to each member's message
  std::vector<ClassLimit> limits;       // desired limits by class; unused in a priority update
  bool has_unassigned_proxies = false;  // true: registered proxies wait for assignment
};

class UpdateScheduler {
 public:
  // Both parameters must outlive this object.
  UpdateScheduler(const Settings& settings, ChannelBudget& budget) : settings_(settings), budget_(budget) {}

  // Begins a publication. Returns the groups in the order in which updates of both kinds have to be written.
  // The pointers are valid while the groups stay in `groups`.
  [[nodiscard]] std::vector<ProxyGroupMap::value_type*> begin_publication(ProxyGroupMap& groups);

  // Returns the number of lines that an update of this kind may add to each member's message now, or nothing
  // if the group has to wait. For a priority update the result may be 0: write_update() then only detects
  // whether a removal waits.
  [[nodiscard]] std::optional<double> available_lines(const ProxyGroup& group, UpdateKind kind, Time now);

  // Appends the differences between desired and published state to `actions`, up to the available lines, and
  // records them as published.
  void write_update(const ProxyGroupKey& key, ProxyGroup& group, const UpdateRequest& request,
                    const FleetView& fleet, std::vector<Action>& actions);

  // Returns whether proxies may be assigned now: the queue has room for assignments, and no removal waits for
  // lines.
  [[nodiscard]] bool can_assign_proxies(Time now) const;

  // Creates the tables that the classes of the settings require and the group does not have yet.
  void create_tables(ProxyGroup& group);
  // Assigns the group's tables to the proxy.
  void assign_tables(ProxyId proxy, const ProxyGroup& group, std::vector<Action>& actions);

 private:
  void write_limits(ProxyGroup& group, const UpdateRequest& request, std::vector<Action>& update) const;
  // Returns whether any entry was removed.
  bool remove_entries(Locality own, Table& table, const UpdateRequest& request, const FleetView& fleet,
                      std::vector<Action>& update);
  static void set_entries(Table& table, const UpdateRequest& request, bool removed,
                          std::vector<Action>& update);

  const Settings& settings_;
  ChannelBudget& budget_;
  bool removal_deferred_ = false;  // the last publication had no lines left for a removal
  int next_table_ = 0;
};

}  // namespace beamshunt
