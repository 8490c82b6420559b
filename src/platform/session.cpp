#include "platform/session.h"

namespace beamshunt::platform {
namespace {

// Bytes of a message before the registration: all valid ones are short, and hundreds of strangers may
// connect.
constexpr std::size_t kMaxHandshakeMessageBytes = 4096;
// Bytes of any later message, by the protocol.
constexpr std::size_t kMaxMessageBytes = 1048576;
// ms from connecting to the registration: a stranger's descriptor is needed for proxies.
constexpr Ms kHandshakeTimeout = 1000;
// ms from a message's first byte to its last: longer, and it only holds memory.
constexpr Ms kMessageTimeout = 3000;
// ms without a byte: a proxy that serves requests has reported its demand many times in this span.
constexpr Ms kIdleTimeout = 10000;
// Malformed messages in a row: the peer speaks another protocol, or its state is broken for good.
constexpr int kMaxMalformedInARow = 4;

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
  if (reader_.unfinished() == 0) unfinished_since_ = now;
  last_received_ = now;
  reader_.append(bytes);
}

std::optional<std::string> Session::next_message() {
  while (std::optional<std::string> line = reader_.next()) {
    // What follows a complete line came with it, so the next message begins now.
    unfinished_since_ = last_received_;
    if (line->find_first_not_of(" \t\r") != std::string::npos) return line;
  }
  return std::nullopt;
}

bool Session::count_malformed_message() {
  ++malformed_in_a_row_;
  return malformed_in_a_row_ >= kMaxMalformedInARow;
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
