#include "assigner/update_channel.h"

#include <algorithm>
#include <utility>

namespace beamshunt::assigner {

Ms UpdateChannel::reserve(double lines, double lines_per_second, Ms now) {
  idle_at_ = std::max(idle_at_, now) + lines / lines_per_second * 1000;
  return idle_at_;
}

void UpdateChannel::enqueue(QueuedMessage message) { queue_.push_back(std::move(message)); }

std::optional<QueuedMessage> UpdateChannel::pop_due(Ms now) {
  if (queue_.empty() || queue_.front().send_at > now) return std::nullopt;
  QueuedMessage message = std::move(queue_.front());
  queue_.pop_front();
  return message;
}

std::optional<Ms> UpdateChannel::next_due() const {
  if (queue_.empty()) return std::nullopt;
  return queue_.front().send_at;
}

}  // namespace beamshunt::assigner
