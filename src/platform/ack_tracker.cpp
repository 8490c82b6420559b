#include "platform/ack_tracker.h"

#include <algorithm>

namespace beamshunt::platform {
namespace {

constexpr std::uint64_t kNoController = 0;  // controller numbers start at 1
// Allowance in ms for the proxy and the network, added to the channel's maximum delay before an ack is
// overdue.
constexpr Ms kAckTolerance = 1000;
// Time in ms after which an ack is overdue if no later message was acknowledged. The channel itself may delay
// messages for this long.
constexpr Ms kMaxAckWait = 20000;
// Time in ms for which a delivery is kept: well above the longest delay that is compared with it.
constexpr Ms kDeliveryRetention = 60000;
// Maximum number of released nonces kept per stream: a stream never has more acks in flight.
constexpr std::size_t kMaxReleasedNonces = 256;

}  // namespace

void AckTracker::start_controller() {
  ++controller_;
  external_lines_ = 0;
}

void AckTracker::carry_over(ConnectionId connection) {
  auto stream = streams_.find(connection);
  if (stream == streams_.end()) return;
  for (const Nonce& nonce : stream->second.unacknowledged) external_lines_ += nonce.lines;
}

void AckTracker::add(ConnectionId connection, ProxyId proxy, const Nonce& nonce) {
  Stream& stream = streams_[connection];
  stream.proxy = proxy;
  stream.unacknowledged.push_back(nonce);
}

void AckTracker::add_update(ConnectionId connection, ProxyId proxy, std::uint32_t nonce,
                            std::uint32_t sequence_number, double lines, Ms now) {
  add(connection, proxy, {nonce, sequence_number, ++last_position_, now, controller_, lines});
}

void AckTracker::add_liveness_check(ConnectionId connection, ProxyId proxy, std::uint32_t nonce, double lines,
                                    Ms now) {
  add(connection, proxy, {nonce, 0, ++last_position_, now, kNoController, lines});
  external_lines_ += lines;
  outputs_.events.emplace_back(SharedChannelUsage{external_lines_, {{proxy, 1}}});
}

AckTracker::AckResult AckTracker::acknowledge(ConnectionId connection, std::uint32_t nonce, Ms now) {
  auto found = streams_.find(connection);
  if (found == streams_.end()) return AckResult::unknown;
  Stream& stream = found->second;
  auto acknowledged = std::find_if(stream.unacknowledged.begin(), stream.unacknowledged.end(),
                                   [&](const Nonce& sent) { return sent.value == nonce; });
  if (acknowledged == stream.unacknowledged.end()) {
    const bool was_released =
        std::find(stream.released.begin(), stream.released.end(), nonce) != stream.released.end();
    return was_released ? AckResult::late : AckResult::unknown;
  }
  if (deliveries_.empty() || acknowledged->position > deliveries_.back().position)
    deliveries_.push_back({acknowledged->position, now});
  release(stream, static_cast<std::size_t>(acknowledged - stream.unacknowledged.begin()) + 1, now);
  return AckResult::acknowledged;
}

void AckTracker::release(Stream& stream, std::size_t count, Ms now) {
  for (; count > 0; --count) {
    const Nonce nonce = stream.unacknowledged.front();
    stream.unacknowledged.pop_front();
    stream.released.push_back(nonce.value);
    if (stream.released.size() > kMaxReleasedNonces) stream.released.pop_front();
    if (nonce.controller == controller_) {
      outputs_.events.emplace_back(
          UpdateAcknowledged{stream.proxy, Duration(now - nonce.sent_at), nonce.sequence_number});
    } else {
      external_lines_ -= nonce.lines;
      outputs_.events.emplace_back(SharedChannelUsage{external_lines_, {}});
    }
  }
}

bool AckTracker::has_unacknowledged(ConnectionId connection) const {
  auto stream = streams_.find(connection);
  return stream != streams_.end() && !stream->second.unacknowledged.empty();
}

std::optional<Ms> AckTracker::overdue_sent_at(ConnectionId connection, Ms max_update_delay, Ms now) const {
  if (!has_unacknowledged(connection)) return std::nullopt;
  const Nonce& oldest = streams_.at(connection).unacknowledged.front();
  if (!is_overdue(oldest, max_update_delay, now)) return std::nullopt;
  return oldest.sent_at;
}

bool AckTracker::is_overdue(const Nonce& nonce, Ms max_update_delay, Ms now) const {
  auto later = std::upper_bound(
      deliveries_.begin(), deliveries_.end(), nonce.position,
      [](std::uint64_t position, const Delivery& delivery) { return position < delivery.position; });
  if (later == deliveries_.end()) return now > nonce.sent_at + kMaxAckWait;
  return now > later->acknowledged_at + max_update_delay + kAckTolerance;
}

void AckTracker::release_oldest(ConnectionId connection, Ms now) {
  if (has_unacknowledged(connection)) release(streams_.at(connection), 1, now);
}

void AckTracker::remove(ConnectionId connection) {
  auto stream = streams_.find(connection);
  if (stream == streams_.end()) return;
  const double before = external_lines_;
  for (const Nonce& nonce : stream->second.unacknowledged)
    if (nonce.controller != controller_) external_lines_ -= nonce.lines;
  streams_.erase(stream);
  if (external_lines_ != before) outputs_.events.emplace_back(SharedChannelUsage{external_lines_, {}});
}

void AckTracker::discard_old_deliveries(Ms now) {
  while (deliveries_.size() > 1 && deliveries_.front().acknowledged_at < now - kDeliveryRetention)
    deliveries_.pop_front();
}

}  // namespace beamshunt::platform
