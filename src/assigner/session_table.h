// All open sessions: by stream, by registered proxy, by connected peer, and by when each must be checked. It
// keeps the indexes whole and decides nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "assigner/effects.h"
#include "assigner/session.h"

namespace beamshunt::assigner {

class SessionTable {
 public:
  using Sessions = std::map<StreamId, Session>;
  using Iterator = Sessions::iterator;  // valid until its session is erased

  // A new session, its handshake pending. It has no check scheduled yet.
  Iterator open(StreamId stream, Ms now);
  void erase(Iterator session);
  [[nodiscard]] Iterator find(StreamId stream) { return sessions_.find(stream); }
  [[nodiscard]] Iterator begin() { return sessions_.begin(); }
  [[nodiscard]] Iterator end() { return sessions_.end(); }
  [[nodiscard]] const Sessions& all() const { return sessions_; }  // in ascending order of streams
  [[nodiscard]] std::size_t size() const { return sessions_.size(); }

  // ---- Registered proxies and dialled peers. A later session of the same id takes the index entry. ----
  void register_proxy(Iterator session, std::uint32_t proxy);
  void register_dialled_peer(Iterator session, std::uint32_t instance);
  [[nodiscard]] Iterator find_proxy(ProxyId proxy);  // end(): not registered
  [[nodiscard]] const Session& session_of(StreamId stream) const { return sessions_.at(stream); }
  [[nodiscard]] const std::map<ProxyId, StreamId>& proxies() const { return proxies_; }
  // Notes to a peer go over the stream that this side dialled.
  [[nodiscard]] const std::map<std::uint32_t, StreamId>& dialled_peers() const { return peers_; }

  // ---- Checks by the clock ----
  void schedule_check(Iterator session, const SessionTimeouts& timeouts);
  [[nodiscard]] Iterator due(Ms now);  // a session whose check is due, the longest due first; end(): none
  [[nodiscard]] std::optional<Ms> next_due() const;

  // Lines of all messages that are not acknowledged.
  [[nodiscard]] double unacknowledged_lines() const;

 private:
  Sessions sessions_;
  std::map<ProxyId, StreamId> proxies_;
  std::map<std::uint32_t, StreamId> peers_;   // by instance
  std::set<std::pair<Ms, StreamId>> checks_;  // by when they are due
};

}  // namespace beamshunt::assigner
