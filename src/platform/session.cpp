#include "platform/session.h"

namespace beamshunt::platform {
namespace {

// Maximum size in bytes of a message before the registration. All valid ones are short, and hundreds of
// unknown peers may connect.
constexpr std::size_t kMaxHandshakeMessageBytes = 4096;
// Maximum size in bytes of a message after the registration, as defined by the protocol.
constexpr std::size_t kMaxMessageBytes = 1048576;
// Time limit in ms from connecting to registering: proxies need the descriptors that unknown peers occupy.
constexpr Ms kHandshakeTimeout = 1000;
// Time limit in ms from a message's first byte to its last: an incomplete message occupies memory.
constexpr Ms kMessageTimeout = 3000;
// Time in ms without a byte after which a session is idle: a proxy with requests reports its demand far more
// often.
constexpr Ms kIdleTimeout = 10000;
// Consecutive malformed messages after which the connection is closed: the peer uses another protocol, or its
// state is permanently corrupt.
constexpr int kMaxConsecutiveMalformed = 4;

}  // namespace

Session::Session(Ms now) : reader_(kMaxHandshakeMessageBytes), opened_at_(now), last_received_(now) {}

void Session::register_collector() {
  role_ = Role::collector;
  reader_.set_max_line_bytes(kMaxMessageBytes);
}

void Session::register_proxy(const ProxyRegistration& registration) {
  role_ = Role::proxy;
  registration_ = registration;
  reader_.set_max_line_bytes(kMaxMessageBytes);
}

void Session::receive(std::string_view bytes, Ms now) {
  if (reader_.unfinished_bytes() == 0) unfinished_since_ = now;
  last_received_ = now;
  reader_.append(bytes);
}

std::optional<std::string> Session::next_message() {
  while (std::optional<std::string> line = reader_.next()) {
    // The bytes after a complete line were received together with its end, so the next message starts then.
    unfinished_since_ = last_received_;
    if (line->find_first_not_of(" \t\r") != std::string::npos) return line;
  }
  return std::nullopt;
}

bool Session::count_malformed_message() {
  ++consecutive_malformed_;
  return consecutive_malformed_ >= kMaxConsecutiveMalformed;
}

bool Session::handshake_timed_out(Ms now) const {
  return !is_registered() && now >= opened_at_ + kHandshakeTimeout;
}

bool Session::message_timed_out(Ms now) const {
  return unfinished_bytes() > 0 && now >= unfinished_since_ + kMessageTimeout;
}

bool Session::is_idle(Ms now) const { return now >= last_received_ + kIdleTimeout; }

std::size_t Session::sent_messages_within(Ms window, Ms now) {
  while (!sent_messages_.empty() && now - sent_messages_.front() > window) sent_messages_.pop_front();
  return sent_messages_.size();
}

}  // namespace beamshunt::platform
