// Records when update messages to one proxy were decided, and counts those within the message window. The
// settings limit the number of messages to a proxy in this window; controllers enforce the limit.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "base/time.h"

namespace beamshunt::assigner {

using base::Ms;

class MessageHistory {
 public:
  // Records a message decided at `now`, which must never decrease. `window` is the message window of the
  // current settings.
  void add(Ms now, Ms window) {
    times_.push_back(now);
    while (now - times_.front() > std::max(kMinRetention, window)) times_.pop_front();
  }
  // Returns the number of messages decided within the `window` before `now`.
  [[nodiscard]] std::size_t count(Ms now, Ms window) const {
    return static_cast<std::size_t>(times_.end() -
                                    std::lower_bound(times_.begin(), times_.end(), now - window));
  }

 private:
  // New settings may bring a longer window, in which earlier messages count too: entries are kept for at
  // least a minute even if the present window is shorter.
  static constexpr Ms kMinRetention = 60000;
  std::deque<Ms> times_;  // in ascending order
};

}  // namespace beamshunt::assigner
