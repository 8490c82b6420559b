// Update scheduling: what is published now.
//
// Questions: which group's tables are updated in this reply, with which entries? May another proxy be
// assigned?
// Inputs: desired and published weights and limits, lines queued in the channel, messages in the window,
// times of the last updates (ms).
// Rules:
//  - entries that must go or at least halve (draining, removed, ejected, warming endpoints) and entries in
//    their place are priority updates and go first; all else is ordinary and goes at most once a period;
//  - priority updates, assignments and ordinary updates each may fill their part of the queue; a write stops
//    where it is full and goes on later;
//  - groups whose last ordinary update is longest ago are written first, for both kinds;
//  - while a removal waits for lines in the channel, no proxy is assigned; while proxies wait, entries in
//    place of removed ones wait, unless under half of a table is left.
// Reasons: rules 3 (drains) and 4 (warm-up) can't wait for the ordinary pace; rule 5 limits the queue and the
// messages. Where many proxies register as endpoints drain, assignments that fill the channel as it empties
// would keep out the removals for all of them.
// It never computes a weight or a limit.
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
  double room = 0;                 // lines that may be added to each member's message
  std::vector<ClassLimit> limits;  // desired, by class; a priority update needs none
  bool proxies_wait = false;       // some are registered and not assigned yet
};

class UpdateScheduler {
 public:
  // Both must outlive it.
  UpdateScheduler(const Settings& settings, ChannelBudget& budget) : settings_(settings), budget_(budget) {}

  // Begins a publication; the groups in the order in which they have to be written, for both kinds. Pointers
  // stay valid until a group is added.
  [[nodiscard]] std::vector<ProxyGroupMap::value_type*> begin_publication(ProxyGroupMap& groups);

  // Lines that an update of the kind may add to each member's message now; nothing: the group has to wait. A
  // priority update may be due without room (0), to find out whether a removal waits.
  [[nodiscard]] std::optional<double> room(const ProxyGroup& group, UpdateKind kind, Time now);

  // Writes what differs between desired and published, as far as there is room.
  void write(const ProxyGroupKey& key, ProxyGroup& group, const UpdateRequest& request,
             const FleetView& fleet, std::vector<Action>& actions);

  // Whether proxies may be assigned now: there is room, and no removal waits for some.
  [[nodiscard]] bool may_assign(Time now) const;

  // Gives the group the tables that its classes need.
  void create_tables(ProxyGroup& group);
  // Assigns the group's tables to the proxy.
  void assign(ProxyId proxy, const ProxyGroup& group, std::vector<Action>& actions);

 private:
  void write_limits(ProxyGroup& group, const UpdateRequest& request, std::vector<Action>& update) const;
  // True if any entry was removed.
  bool remove_entries(Locality own, Table& table, const UpdateRequest& request, const FleetView& fleet,
                      std::vector<Action>& update);
  static void set_entries(Table& table, const UpdateRequest& request, bool removed,
                          std::vector<Action>& update);

  const Settings& settings_;
  ChannelBudget& budget_;
  bool removal_waits_for_lines_ = false;  // an entry had to go in the last publication and found no room
  int next_table_ = 0;
};

}  // namespace beamshunt
