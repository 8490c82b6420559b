// The interface of the decision module: it turns events into actions. Its types describe endpoints, proxies
// and tables and are independent of any wire format. docs/design.md describes how the decisions work
// together.
#pragma once

#include <memory>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace beamshunt {

// What the protocol between the host and its proxies allows.
struct HostCapabilities {
  bool remove_held_endpoints = true;  // false: the host cannot carry out RemoveHeldEndpoint
};

// Makes the decisions of one controller. Equal settings and equal sequences of events give equal actions.
// Instances share no state.
class Controller {
 public:
  explicit Controller(Settings settings, HostCapabilities capabilities = {});
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  // Applies a batch of events that arrived no later than `now`, makes the decisions that are due, and returns
  // the resulting actions in the order in which the host has to carry them out. `now` must not decrease
  // between calls.
  std::vector<Action> handle(Time now, const std::vector<Event>& events);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace beamshunt
