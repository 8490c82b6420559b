// The running controllers. Other policy settings start a new controller, which takes the proxies over one
// after the other, at the pace of the channel: until it has assigned a proxy its first table, the former
// controller goes on updating that proxy, so that none is ever without endpoints and no drain waits. This
// module keeps who owns which proxy, what each must know of the others' use of the channel, and which has
// been replaced. It sends nothing.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "assigner/session_table.h"
#include "assignments/assignment_tables.h"
#include "policy/controller.h"

namespace beamshunt::assigner {

// One controller and what it has decided for all proxies.
struct RunningController {
  explicit RunningController(const Settings& settings)
      : controller(settings), tables(settings.classes.size()) {}

  // Turns timers whose deadline is reached into events, then takes all events that wait.
  std::vector<Event> take_events(Ms now);

  Controller controller;
  assignments::AssignmentTables tables;
  std::vector<Event> pending;               // for its next batch
  std::multimap<Ms, std::uint64_t> timers;  // tokens by deadline
  std::map<ProxyId, int> others_messages;   // of other controllers, since the last SharedChannelUsage
  double others_lines = 0;                  // unacknowledged ones of others, by the last SharedChannelUsage
};

class Handover {
 public:
  using Controllers = std::map<std::uint32_t, RunningController>;  // by number, the newest last

  explicit Handover(const Settings& settings);  // controller 0 runs

  [[nodiscard]] Controllers& controllers() { return controllers_; }
  [[nodiscard]] const Controllers& controllers() const { return controllers_; }
  [[nodiscard]] RunningController& newest() { return controllers_.rbegin()->second; }
  [[nodiscard]] std::uint32_t newest_number() const { return controllers_.rbegin()->first; }
  // Whether a former controller still owns proxies.
  [[nodiscard]] bool in_progress() const { return controllers_.size() > 1; }
  // Whether messages of a former controller are still in the channel, or a former one runs.
  [[nodiscard]] bool shares_channel() const { return shares_channel_ || in_progress(); }

  // Starts a controller that takes over from all before it. Returns its number.
  std::uint32_t start_controller(const Settings& settings);
  void deliver(const Event& event);  // to every controller

  // ---- Ownership. Exactly one controller updates a registered proxy. ----
  void register_proxy(ProxyId proxy);  // with the newest controller
  void remove_proxy(ProxyId proxy);    // it has disconnected
  [[nodiscard]] bool owns(std::uint32_t controller, ProxyId proxy) const;
  // The controller assigns the proxy its first table: a former owner is told that the proxy has gone.
  void transfer_proxy(std::uint32_t controller, ProxyId proxy);
  // Forgets controllers that own no proxy any more, the newest excepted. Returns their numbers.
  std::vector<std::uint32_t> retire_replaced_controllers();

  // ---- The shared channel ----
  void count_message(std::uint32_t controller, ProxyId proxy);  // that this controller sent
  // While several controllers send through one channel, each must know what the others have in it, or
  // together they would pass the limits on queued lines and on messages to a proxy.
  void deliver_shared_channel_usage(const SessionTable::Sessions& sessions);

 private:
  Controllers controllers_;
  std::map<ProxyId, std::uint32_t> owners_;  // of registered proxies
  bool shares_channel_ = false;
};

}  // namespace beamshunt::assigner
