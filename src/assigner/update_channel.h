// Paces update messages to proxies. All proxies share one channel, which sends one message after the other;
// each message takes as long as its lines need at the channel's rate.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "assigner/effects.h"

namespace beamshunt::assigner {

struct QueuedMessage {
  Ms send_at = 0;
  StreamId stream{};
  std::shared_ptr<const std::string> bytes;
};

class UpdateChannel {
 public:
  // Reserves the channel's next free interval for a message of `lines` at `lines_per_second`, which must be
  // above 0. Returns the time at which the message is sent.
  Ms reserve(double lines, double lines_per_second, Ms now);
  // Queues a message. Messages must be queued in the order of their reservations.
  void enqueue(QueuedMessage message);
  // Removes and returns the next message that is due by `now`; returns nullopt if none is due. Messages of
  // ended streams are returned too: their reserved time stays used, because controllers count it as used.
  std::optional<QueuedMessage> pop_due(Ms now);

  [[nodiscard]] std::optional<Ms> next_due() const;
  [[nodiscard]] std::size_t queued_messages() const { return queue_.size(); }
  // Returns the time by which all reserved messages are sent; it may lie in the past.
  [[nodiscard]] Ms idle_at() const { return idle_at_; }

 private:
  std::deque<QueuedMessage> queue_;  // in ascending order of send_at
  Ms idle_at_ = 0;
};

}  // namespace beamshunt::assigner
