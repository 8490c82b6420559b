// When update messages to one proxy were decided, to count those within the message window: settings limit
// how many a proxy may be sent in it. It enforces nothing; controllers keep the limit.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "base/time.h"

namespace beamshunt::assigner {

using base::Ms;

class MessageHistory {
 public:
  // `now` never goes back. `window`: the message window of the settings in force.
  void add(Ms now, Ms window) {
    times_.push_back(now);
    while (now - times_.front() > std::max(kKept, window)) times_.pop_front();
  }
  // How many messages were decided within the `window` before `now`.
  [[nodiscard]] std::size_t count(Ms now, Ms window) const {
    return static_cast<std::size_t>(times_.end() -
                                    std::lower_bound(times_.begin(), times_.end(), now - window));
  }

 private:
  // Messages are remembered for a minute at least: new settings may bring a longer window, and what was sent
  // before them counts in it.
  static constexpr Ms kKept = 60000;
  std::deque<Ms> times_;  // ascending
};

}  // namespace beamshunt::assigner
