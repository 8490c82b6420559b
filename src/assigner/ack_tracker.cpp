#include "assigner/ack_tracker.h"

#include <utility>

namespace beamshunt::assigner {

void AckTracker::add(UnacknowledgedMessage message) { messages_.push_back(std::move(message)); }

std::vector<UnacknowledgedMessage> AckTracker::acknowledge(std::uint64_t sequence) {
  std::vector<UnacknowledgedMessage> acknowledged;
  while (!messages_.empty() && messages_.front().sequence <= sequence) {
    acknowledged.push_back(std::move(messages_.front()));
    messages_.pop_front();
  }
  return acknowledged;
}

std::optional<Ms> AckTracker::deadline(Ms timeout) const {
  if (messages_.empty()) return std::nullopt;
  return messages_.front().send_at + timeout;
}

}  // namespace beamshunt::assigner
