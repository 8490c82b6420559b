// The state of one stream to the assigner: its remote side, the progress of its handshake, the times of its
// last traffic, and the update messages that are not acknowledged. A session computes which timeouts have
// expired; it sends nothing and closes nothing.
#pragma once

#include <cstdint>

#include "assigner/ack_tracker.h"
#include "assigner/message_history.h"
#include "base/time.h"
#include "native_protocol/frames.h"
#include "net/address.h"

namespace beamshunt::assigner {

using base::Ms;

enum class SessionState : std::uint8_t {
  handshake_pending,  // no Hello or PeerHello received yet
  proxy,              // registered proxy
  peer,               // peer assigner
};

struct SessionTimeouts {
  Ms handshake = 0;  // from the stream's opening to its first frame
  Ms heartbeat = 0;  // idle time after which a side sends a ping
  Ms ack = 0;        // from sending a message to its acknowledgement
};

// Result of checking a session against its timeouts.
enum class SessionCheck : std::uint8_t {
  none,
  handshake_timed_out,
  unresponsive,  // no byte received for kHeartbeatTimeoutPeriods heartbeats
  ack_overdue,   // the proxy responds but does not apply updates
  ping_due,
};

struct Session {
  SessionState state = SessionState::handshake_pending;
  net::Address address{};  // remote address
  native_protocol::FrameParser parser;
  Ms opened_at = 0;
  Ms last_received_at = 0;
  Ms last_sent_at = 0;
  std::uint32_t id = 0;  // proxy id, or instance number of a peer
  std::uint64_t incarnation = 0;
  std::uint32_t attempt = 0;
  double expected_rate = 0;           // requests per second announced by the proxy; 0: unknown
  std::uint64_t update_sequence = 0;  // sequence number of the last update message
  std::uint64_t report_sequence = 0;  // sequence number of the last load report
  AckTracker ack_tracker;
  MessageHistory message_history;
  Ms check_at = 0;  // time at which check() is due; set by SessionTable

  // Returns the earliest time at which check() may return a result other than `none`, provided that no bytes
  // are sent or received until then.
  [[nodiscard]] Ms next_check(const SessionTimeouts& timeouts) const;
  // Returns the expired timeout that has to be handled at `now`, or `none`.
  [[nodiscard]] SessionCheck check(const SessionTimeouts& timeouts, Ms now) const;
};

}  // namespace beamshunt::assigner
