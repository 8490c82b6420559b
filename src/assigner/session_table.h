// All open sessions, indexed by stream, by registered proxy, by dialled peer, and by the time of their next
// timeout check.
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

  // Adds a session with a pending handshake. No check is scheduled for it until schedule_check() is called.
  Iterator open(StreamId stream, Ms now);
  void erase(Iterator session);
  [[nodiscard]] Iterator find(StreamId stream) { return sessions_.find(stream); }
  [[nodiscard]] Iterator begin() { return sessions_.begin(); }
  [[nodiscard]] Iterator end() { return sessions_.end(); }
  [[nodiscard]] const Sessions& all() const { return sessions_; }  // in ascending order of stream ids
  [[nodiscard]] std::size_t size() const { return sessions_.size(); }

  // ---- Registered proxies and dialled peers. A newer session of an id replaces the older one's entry. ----
  void register_proxy(Iterator session, std::uint32_t proxy);
  void register_dialled_peer(Iterator session, std::uint32_t instance);
  // Returns the session of a registered proxy, or end().
  [[nodiscard]] Iterator find_proxy(ProxyId proxy);
  // Returns the session of an open stream. Throws std::out_of_range if there is none.
  [[nodiscard]] const Session& session_of(StreamId stream) const { return sessions_.at(stream); }
  [[nodiscard]] const std::map<ProxyId, StreamId>& proxies() const { return proxies_; }
  // Returns the streams that this assigner dialled to its peers, by instance. Peer notes are sent on them.
  [[nodiscard]] const std::map<std::uint32_t, StreamId>& dialled_peers() const { return dialled_peers_; }

  // ---- Timeout checks ----
  // Schedules the session's next check, in place of the one scheduled before.
  void schedule_check(Iterator session, const SessionTimeouts& timeouts);
  // Returns the session with the earliest check that is due by `now`, or end().
  [[nodiscard]] Iterator find_due(Ms now);
  [[nodiscard]] std::optional<Ms> next_due() const;

  // Returns the total lines of all unacknowledged messages.
  [[nodiscard]] double unacknowledged_lines() const;

 private:
  Sessions sessions_;
  std::map<ProxyId, StreamId> proxies_;
  std::map<std::uint32_t, StreamId> dialled_peers_;  // by instance
  std::set<std::pair<Ms, StreamId>> checks_;         // scheduled checks by time
};

}  // namespace beamshunt::assigner
