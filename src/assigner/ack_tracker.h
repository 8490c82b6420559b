// Tracks the update messages to one proxy that the proxy has not acknowledged: the lines that they occupy in
// the update channel's queue, and when the acknowledgement of the oldest is due. It sends nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"

namespace beamshunt::assigner {

using base::Ms;

struct UnacknowledgedMessage {
  std::uint64_t sequence = 0;  // sequence number within the stream
  Ms decided_at = 0;
  Ms send_at = 0;                             // time at which the paced channel sends the message
  double lines = 0;                           // lines that the message occupies in the channel's queue
  std::uint32_t controller = 0;               // number of the controller that decided the message
  std::vector<std::uint32_t> ack_requests;    // sequence numbers whose acknowledgement the controller awaits
  bool removes_unavailable_endpoint = false;  // whether it removes a draining or removed endpoint's weight
};

class AckTracker {
 public:
  // Adds a message. Messages must be added in ascending order of their sequence numbers.
  void add(UnacknowledgedMessage message);
  // Stops tracking all messages up to and including `sequence` and returns them, oldest first.
  std::vector<UnacknowledgedMessage> acknowledge(std::uint64_t sequence);

  [[nodiscard]] bool empty() const { return messages_.empty(); }
  // Returns the oldest unacknowledged message. The tracker must not be empty.
  [[nodiscard]] const UnacknowledgedMessage& oldest() const { return messages_.front(); }
  [[nodiscard]] const std::deque<UnacknowledgedMessage>& messages() const { return messages_; }
  // Returns the time by which the oldest message must be acknowledged: `timeout` after the channel sends it.
  // Returns nullopt if no message is tracked.
  [[nodiscard]] std::optional<Ms> deadline(Ms timeout) const;

 private:
  std::deque<UnacknowledgedMessage> messages_;  // in ascending order of sequence numbers
};

}  // namespace beamshunt::assigner
