// All open sessions: who is registered as which proxy or collector, and who makes room where descriptors run
// short. It closes nothing itself: it names the connection that has to go.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "base/time.h"
#include "platform/effects.h"
#include "platform/message.h"
#include "platform/session.h"

namespace beamshunt::platform {

// Health checks that may run at a time, of a process that may hold so many descriptors. Each holds one.
[[nodiscard]] std::size_t max_concurrent_health_checks(std::size_t sockets);

class SessionTable {
 public:
  using Sessions = std::map<ConnectionId, Session>;

  // `sockets`: descriptors that the process may hold. Some are reserved for discovery, health checks and
  // files.
  explicit SessionTable(std::size_t sockets) : sockets_(sockets) {}
  void set_sockets(std::size_t sockets) { sockets_ = sockets; }

  void add(ConnectionId id, Ms now);
  // Null if the connection is over. Valid until its session is removed.
  [[nodiscard]] Session* find(ConnectionId id);
  // Drops the session and its registration.
  void remove(ConnectionId id);

  // The session that has to make room for others: the oldest that has not registered, for it had its time.
  // Nothing while there are descriptors enough, or where all are registered.
  [[nodiscard]] std::optional<ConnectionId> eviction_candidate();

  // Registers the session, which must be open. Throws ProtocolError of scope `connection` where no
  // descriptors are left for more who register; the session is as it was then.
  void register_proxy(ConnectionId id, const ProxyRegistration& registration);
  void register_collector(ConnectionId id, Locality locality);

  // The connection of a registered proxy.
  [[nodiscard]] std::optional<ConnectionId> connection_of(ProxyId proxy) const;
  // The oldest collector of the locality, if one has to go before another registers. Nothing is ever sent to
  // a collector, so the session of one that vanished never ends by itself: newer ones push it out.
  [[nodiscard]] std::optional<ConnectionId> surplus_collector(Locality locality);

  [[nodiscard]] Sessions& sessions() { return sessions_; }
  [[nodiscard]] const Sessions& sessions() const { return sessions_; }
  // Registered proxies, in ascending order of their ids.
  [[nodiscard]] const std::map<ProxyId, ConnectionId>& proxies() const { return proxies_; }

 private:
  [[nodiscard]] std::size_t max_sessions() const;
  void require_descriptor() const;

  std::size_t sockets_;
  Sessions sessions_;
  std::size_t registered_ = 0;
  std::map<ProxyId, ConnectionId> proxies_;
  std::map<Locality, std::deque<ConnectionId>> collectors_;  // in the order of registration; some are over
  std::deque<ConnectionId> handshakes_;  // in the order of connecting; some are registered or over
};

}  // namespace beamshunt::platform
