// One connection of a peer: its handshake, the bytes and messages it may send, and its time-outs. It decides
// when a limit is passed; what follows from that is the core's.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "platform/message.h"

namespace beamshunt::platform {

class Session {
 public:
  // Who the peer is. A peer registers once, by its first message; health check requests may come before it.
  enum class Role { handshake_pending, collector, proxy };

  // `now`: ms of the monotonic clock, here and below.
  explicit Session(Ms now);

  // ---- Handshake ----
  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] bool is_registered() const { return role_ != Role::handshake_pending; }
  void register_collector();
  void register_proxy(const ProxyRegistration& registration);
  // Of a proxy. By its own last word; after a change of controllers it holds tables that one of them sent.
  [[nodiscard]] const ProxyRegistration& registration() const { return registration_; }
  void mark_tables_assigned() { registration_.only_static_tables = false; }

  // ---- Bytes ----
  void receive(std::string_view bytes, Ms now);
  // The next message that is complete and not blank; nothing if there is none. Throws ProtocolError of scope
  // `connection` for bytes that can't become a message.
  [[nodiscard]] std::optional<std::string> next_message();
  [[nodiscard]] std::size_t unfinished_bytes() const { return reader_.unfinished(); }
  [[nodiscard]] Ms last_received() const { return last_received_; }

  // ---- Limits and time-outs ----
  void count_valid_message() { malformed_in_a_row_ = 0; }
  // Whether so many messages in a row were malformed that the connection is of no further use.
  [[nodiscard]] bool count_malformed_message();
  // The peer has not registered in time.
  [[nodiscard]] bool handshake_timed_out(Ms now) const;
  // A message was begun and has not ended in time.
  [[nodiscard]] bool message_timed_out(Ms now) const;
  // Nothing was received for so long that a live proxy would have reported its demand.
  [[nodiscard]] bool is_idle(Ms now) const;

  // ---- Messages sent to a proxy, which the settings limit within a window ----
  void count_sent_message(Ms now) { sent_messages_.push_back(now); }
  // Messages within the last `window` ms.
  [[nodiscard]] std::size_t sent_messages_within(Ms window, Ms now);

 private:
  Role role_ = Role::handshake_pending;
  LineReader reader_;
  Ms opened_at_ = 0;
  Ms last_received_ = 0;
  Ms unfinished_since_ = 0;  // when the unfinished message began
  ProxyRegistration registration_;
  int malformed_in_a_row_ = 0;
  std::deque<Ms> sent_messages_;  // when; older ones than the window are forgotten
};

}  // namespace beamshunt::platform
