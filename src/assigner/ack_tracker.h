// The update messages to one proxy that it has not acknowledged: what they hold of the update channel, and
// since when the oldest is due. It decides nothing and sends nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"

namespace beamshunt::assigner {

using base::Ms;

struct UnacknowledgedMessage {
  std::uint64_t sequence = 0;  // within the stream
  Ms decided_at = 0;
  Ms leaves_at = 0;                         // the channel, at its pace
  double lines = 0;                         // that it holds of the channel's queue
  std::uint32_t controller = 0;             // that decided it
  std::vector<std::uint32_t> ack_requests;  // sequence numbers that this controller waits for
  bool removes_endpoint = false;            // it takes weight from an endpoint that is draining or removed
};

class AckTracker {
 public:
  // Messages are added in the order of their sequence.
  void add(UnacknowledgedMessage message);
  // The messages up to and including `sequence`, oldest first. They are tracked no longer.
  std::vector<UnacknowledgedMessage> acknowledge(std::uint64_t sequence);

  [[nodiscard]] bool empty() const { return messages_.empty(); }
  [[nodiscard]] const UnacknowledgedMessage& oldest() const { return messages_.front(); }  // not if empty()
  [[nodiscard]] const std::deque<UnacknowledgedMessage>& messages() const { return messages_; }
  // By when the oldest message must be acknowledged, `timeout` after it left; nothing if there is none.
  [[nodiscard]] std::optional<Ms> deadline(Ms timeout) const;

 private:
  std::deque<UnacknowledgedMessage> messages_;  // by sequence
};

}  // namespace beamshunt::assigner
