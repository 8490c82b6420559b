// The state of one connection opened by a peer: its handshake, limits on bytes and messages, and timeouts. A
// session detects that a limit is exceeded; the core decides how to react.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "platform/message.h"

namespace beamshunt::platform {

// One peer's session, from the opening of the connection to its end.
class Session {
 public:
  // The kind of the peer. A peer registers once, with its first message other than a health check request.
  enum class Role { handshake_pending, collector, proxy };

  // Here and below, `now` is in ms of the monotonic clock.
  explicit Session(Ms now);

  // ---- Handshake ----
  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] bool is_registered() const { return role_ != Role::handshake_pending; }
  // Register the peer. From then on the size limit of registered peers applies to its messages.
  void register_collector();
  void register_proxy(const ProxyRegistration& registration);
  // Returns the registration of a proxy as received, except that mark_tables_assigned() may have changed
  // `only_static_tables`.
  [[nodiscard]] const ProxyRegistration& registration() const { return registration_; }
  // Records that the proxy may have tables from an assigner, for the registration with a new controller.
  void mark_tables_assigned() { registration_.only_static_tables = false; }

  // ---- Bytes ----
  // Appends bytes that were received at `now`.
  void receive(std::string_view bytes, Ms now);
  // Returns the next complete message, skipping blank lines, or nothing if there is none. Throws
  // ProtocolError of scope `connection` if the received bytes cannot become a message.
  [[nodiscard]] std::optional<std::string> next_message();
  // Returns the size of the incomplete message in bytes.
  [[nodiscard]] std::size_t unfinished_bytes() const { return reader_.unfinished_bytes(); }
  // Returns when bytes were last received, or when the connection was opened.
  [[nodiscard]] Ms last_received() const { return last_received_; }

  // ---- Limits and timeouts ----
  // Resets the count of consecutive malformed messages.
  void count_valid_message() { consecutive_malformed_ = 0; }
  // Counts a malformed message. Returns true if the limit of consecutive malformed messages is reached and
  // the connection must be closed.
  [[nodiscard]] bool count_malformed_message();
  // Returns true if the peer has not registered in time.
  [[nodiscard]] bool handshake_timed_out(Ms now) const;
  // Returns true if a message has been incomplete for too long.
  [[nodiscard]] bool message_timed_out(Ms now) const;
  // Returns true if nothing was received for so long that a healthy proxy with requests would have reported
  // its demand.
  [[nodiscard]] bool is_idle(Ms now) const;

  // ---- Messages sent to a proxy; the settings limit their number within a time window ----
  void count_sent_message(Ms now) { sent_messages_.push_back(now); }
  // Returns the number of messages sent within the last `window` ms, and drops older ones from the count.
  [[nodiscard]] std::size_t sent_messages_within(Ms window, Ms now);

 private:
  Role role_ = Role::handshake_pending;
  LineReader reader_;
  Ms opened_at_ = 0;
  Ms last_received_ = 0;
  Ms unfinished_since_ = 0;  // when the first byte of the incomplete message was received
  ProxyRegistration registration_;
  int consecutive_malformed_ = 0;
  std::deque<Ms> sent_messages_;  // sending times, without those before the window
};

}  // namespace beamshunt::platform
