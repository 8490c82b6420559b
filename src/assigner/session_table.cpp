#include "assigner/session_table.h"

namespace beamshunt::assigner {

SessionTable::Iterator SessionTable::open(StreamId stream, Ms now) {
  auto session = sessions_.try_emplace(stream).first;
  session->second.opened_at = now;
  session->second.last_received_at = now;
  session->second.last_sent_at = now;
  return session;
}

void SessionTable::erase(Iterator session) {
  const auto& [stream, erased_session] = *session;
  if (erased_session.state == SessionState::proxy) {
    proxies_.erase(ProxyId{erased_session.id});
  } else if (erased_session.state == SessionState::peer) {
    auto indexed =
        dialled_peers_.find(erased_session.id);  // the entry may belong to another stream of the peer
    if (indexed != dialled_peers_.end() && indexed->second == stream) dialled_peers_.erase(indexed);
  }
  checks_.erase({erased_session.check_at, stream});
  sessions_.erase(session);
}

void SessionTable::register_proxy(Iterator session, std::uint32_t proxy) {
  session->second.state = SessionState::proxy;
  session->second.id = proxy;
  proxies_[ProxyId{proxy}] = session->first;
}

void SessionTable::register_dialled_peer(Iterator session, std::uint32_t instance) {
  session->second.state = SessionState::peer;
  session->second.id = instance;
  dialled_peers_[instance] = session->first;
}

SessionTable::Iterator SessionTable::find_proxy(ProxyId proxy) {
  auto indexed = proxies_.find(proxy);
  return indexed == proxies_.end() ? sessions_.end() : sessions_.find(indexed->second);
}

void SessionTable::schedule_check(Iterator session, const SessionTimeouts& timeouts) {
  checks_.erase({session->second.check_at, session->first});
  session->second.check_at = session->second.next_check(timeouts);
  checks_.insert({session->second.check_at, session->first});
}

SessionTable::Iterator SessionTable::find_due(Ms now) {
  if (checks_.empty() || checks_.begin()->first > now) return sessions_.end();
  return sessions_.find(checks_.begin()->second);
}

std::optional<Ms> SessionTable::next_due() const {
  if (checks_.empty()) return std::nullopt;
  return checks_.begin()->first;
}

double SessionTable::unacknowledged_lines() const {
  double lines = 0;
  for (const auto& [stream, session] : sessions_)
    for (const UnacknowledgedMessage& message : session.ack_tracker.messages()) lines += message.lines;
  return lines;
}

}  // namespace beamshunt::assigner
