// The running controllers and the handover between them. New policy settings start a new controller, which
// takes proxies over one by one at the pace of the update channel. The former controller keeps updating a
// proxy until the new one has assigned that proxy its first table, so that no proxy is ever left without
// endpoints and no drain is delayed. This module tracks which controller owns each proxy, how much of the
// shared channel the other controllers use, and which controllers are replaced. It sends nothing.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "assigner/session_table.h"
#include "assignments/assignment_tables.h"
#include "policy/controller.h"

namespace beamshunt::assigner {

// A controller with its pending events, its timers, and the tables that it has decided.
struct RunningController {
  explicit RunningController(const Settings& settings)
      : controller(settings), tables(settings.classes.size()) {}

  // Converts expired timers to events; then removes and returns all pending events.
  std::vector<Event> collect_events(Ms now);

  Controller controller;
  assignments::AssignmentTables tables;
  std::vector<Event> pending;               // events for the next batch
  std::multimap<Ms, std::uint64_t> timers;  // timer tokens by deadline
  // Messages that other controllers sent to each proxy since the last SharedChannelUsage.
  std::map<ProxyId, int> other_messages;
  double other_lines = 0;  // other controllers' unacknowledged lines as of the last SharedChannelUsage
};

class Handover {
 public:
  using Controllers = std::map<std::uint32_t, RunningController>;  // by number; the newest is last

  // Starts controller 0.
  explicit Handover(const Settings& settings);

  [[nodiscard]] Controllers& controllers() { return controllers_; }
  [[nodiscard]] const Controllers& controllers() const { return controllers_; }
  [[nodiscard]] RunningController& newest() { return controllers_.rbegin()->second; }
  [[nodiscard]] std::uint32_t newest_number() const { return controllers_.rbegin()->first; }
  // Returns whether a former controller is still running.
  [[nodiscard]] bool in_progress() const { return controllers_.size() > 1; }
  // Returns whether a former controller is running or has unacknowledged messages in the channel.
  [[nodiscard]] bool shares_channel() const { return shares_channel_ || in_progress(); }

  // Starts a controller that takes over from all earlier ones. Returns its number.
  std::uint32_t start_controller(const Settings& settings);
  // Adds the event to the pending events of every controller.
  void deliver(const Event& event);

  // ---- Ownership. Exactly one controller updates a registered proxy. ----
  // Makes the newest controller the owner of a newly registered proxy.
  void register_proxy(ProxyId proxy);
  // Removes a disconnected proxy.
  void remove_proxy(ProxyId proxy);
  [[nodiscard]] bool owns(std::uint32_t controller, ProxyId proxy) const;
  // Makes `controller` the owner of a proxy that it assigns its first table. A former owner receives
  // ProxyDisconnected. Does nothing if the proxy is not registered or already owned by this or a newer
  // controller.
  void transfer_proxy(std::uint32_t controller, ProxyId proxy);
  // Removes all controllers but the newest that own no proxy. Returns their numbers.
  std::vector<std::uint32_t> retire_replaced_controllers();

  // ---- The shared channel ----
  // Records that `controller` sent a message to `proxy`.
  void count_message(std::uint32_t controller, ProxyId proxy);
  // Sends SharedChannelUsage to each controller whose view is out of date. Several controllers that send
  // through one channel must know each other's usage; otherwise they would together exceed the limits on
  // queued lines and on messages to a proxy.
  void deliver_shared_channel_usage(const SessionTable::Sessions& sessions);

 private:
  Controllers controllers_;
  std::map<ProxyId, std::uint32_t> owners_;  // controller numbers of registered proxies
  bool shares_channel_ = false;
};

}  // namespace beamshunt::assigner
