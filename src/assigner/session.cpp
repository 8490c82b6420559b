#include "assigner/session.h"

#include <algorithm>

namespace beamshunt::assigner {

using native_protocol::kHeartbeatTimeoutPeriods;

Ms Session::next_check(const SessionTimeouts& timeouts) const {
  if (state == SessionState::handshake_pending) return opened_at + timeouts.handshake;
  Ms due = std::min(last_received_at + kHeartbeatTimeoutPeriods * timeouts.heartbeat,
                    std::max(last_sent_at, last_received_at) + timeouts.heartbeat);
  if (auto deadline = ack_tracker.deadline(timeouts.ack)) due = std::min(due, *deadline);
  return due;
}

SessionCheck Session::check(const SessionTimeouts& timeouts, Ms now) const {
  if (state == SessionState::handshake_pending) {
    if (now >= opened_at + timeouts.handshake) return SessionCheck::handshake_timed_out;
  } else if (now >= last_received_at + kHeartbeatTimeoutPeriods * timeouts.heartbeat) {
    return SessionCheck::unresponsive;
  }
  // A proxy that responds but applies no updates must not stay connected: the lines of its unacknowledged
  // messages would fill the channel's queue and delay the updates of all other proxies.
  if (auto deadline = ack_tracker.deadline(timeouts.ack); deadline && now >= *deadline)
    return SessionCheck::ack_overdue;
  if (now >= std::max(last_sent_at, last_received_at) + timeouts.heartbeat) return SessionCheck::ping_due;
  return SessionCheck::none;
}

}  // namespace beamshunt::assigner
