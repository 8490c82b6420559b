// One stream to the assigner: who is at its other side, how far its handshake is, when it last spoke, and
// what it has not acknowledged. It tells what is due by the clock; it sends nothing and closes nothing.
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
  handshake_pending,  // it has not said who it is
  proxy,              // registered
  peer,               // another assigner
};

struct SessionTimeouts {
  Ms handshake = 0;  // from opening to the first frame
  Ms heartbeat = 0;  // a side that sent nothing for so long sends a ping
  Ms ack = 0;        // from a message's leaving the channel to its acknowledgement
};

// What the clock asks of a session.
enum class SessionCheck : std::uint8_t {
  nothing,
  handshake_timed_out,
  unresponsive,  // no byte for kHeartbeatTimeoutPeriods heartbeats
  ack_overdue,   // it is alive, but does not apply updates
  ping_due,
};

struct Session {
  SessionState state = SessionState::handshake_pending;
  net::Address address{};  // of the other side
  native_protocol::FrameParser parser;
  Ms opened_at = 0;
  Ms last_received_at = 0;
  Ms last_sent_at = 0;
  std::uint32_t id = 0;  // of the proxy, or the peer's instance
  std::uint64_t incarnation = 0;
  std::uint32_t attempt = 0;
  double expected_rate = 0;           // requests a second, as the proxy announced
  std::uint64_t update_sequence = 0;  // of the last update message
  std::uint64_t report_sequence = 0;  // of the last load report
  AckTracker acks;
  MessageHistory messages;
  Ms check_at = 0;  // SessionTable's: when check() is due

  // When check() may first return anything but `nothing`, if no byte moves until then.
  [[nodiscard]] Ms next_check(const SessionTimeouts& timeouts) const;
  [[nodiscard]] SessionCheck check(const SessionTimeouts& timeouts, Ms now) const;
};

}  // namespace beamshunt::assigner
