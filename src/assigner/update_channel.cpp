#include "assigner/update_channel.h"

#include <algorithm>
#include <utility>

namespace beamshunt::assigner {

Ms UpdateChannel::reserve(double lines, double lines_per_second, Ms now) {
  free_at_ = std::max(free_at_, now) + lines / lines_per_second * 1000;
  return free_at_;
}

void UpdateChannel::enqueue(PacedMessage message) { queue_.push_back(std::move(message)); }

std::optional<PacedMessage> UpdateChannel::take_due(Ms now) {
  if (queue_.empty() || queue_.front().leaves_at > now) return std::nullopt;
  PacedMessage message = std::move(queue_.front());
  queue_.pop_front();
  return message;
}

std::optional<Ms> UpdateChannel::next_due() const {
  if (queue_.empty()) return std::nullopt;
  return queue_.front().leaves_at;
}

}  // namespace beamshunt::assigner
