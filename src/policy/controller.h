// The decision module's entry: events in, actions out. It speaks of endpoints, proxies and tables, never of a
// wire. How its decisions fit together: docs/design.md.
#pragma once

#include <memory>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace beamshunt {

// One controller. The same settings and events give the same actions; instances share nothing.
class Controller {
 public:
  explicit Controller(Settings settings);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  // Handles a batch of events that came by `now`, and decides what is due. Times may not go back
  // between calls.
  std::vector<Action> handle(Time now, const std::vector<Event>& events);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace beamshunt
