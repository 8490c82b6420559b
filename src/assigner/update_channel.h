// The pace at which update messages leave for proxies: one after the other, each for as long as its lines
// take at the channel's speed. The channel is one for all proxies. It decides nothing about what is sent.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "assigner/effects.h"

namespace beamshunt::assigner {

struct PacedMessage {
  Ms leaves_at = 0;
  StreamId stream{};
  std::shared_ptr<const std::string> bytes;
};

class UpdateChannel {
 public:
  // Takes the channel for a message of `lines` at `lines_per_second`, behind all before it. Returns when the
  // message leaves.
  Ms reserve(double lines, double lines_per_second, Ms now);
  // Messages are queued in the order of their reservations.
  void enqueue(PacedMessage message);
  // The next message that leaves by `now`. A message whose stream has ended comes too: it took its time in
  // the channel all the same, as controllers count it.
  std::optional<PacedMessage> take_due(Ms now);

  [[nodiscard]] std::optional<Ms> next_due() const;
  [[nodiscard]] std::size_t queued() const { return queue_.size(); }
  [[nodiscard]] Ms free_at() const { return free_at_; }  // all that was reserved has left by then

 private:
  std::deque<PacedMessage> queue_;  // by leaves_at
  Ms free_at_ = 0;
};

}  // namespace beamshunt::assigner
