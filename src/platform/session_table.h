// All open sessions: maps registered proxies and collectors to connections, and selects the connection to
// evict when descriptors run short. The caller closes connections; the table does not.
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

// Returns how many health checks may run concurrently in a process with this many descriptors. Each check
// uses one descriptor.
[[nodiscard]] std::size_t max_concurrent_health_checks(std::size_t descriptor_limit);

// The open sessions of one assigner.
class SessionTable {
 public:
  using Sessions = std::map<ConnectionId, Session>;

  // `descriptor_limit` is the maximum number of open descriptors of the process. Some of them are reserved
  // for discovery, health checks and files.
  explicit SessionTable(std::size_t descriptor_limit) : descriptor_limit_(descriptor_limit) {}
  void set_descriptor_limit(std::size_t descriptor_limit) { descriptor_limit_ = descriptor_limit; }

  // Adds an unregistered session for a connection that was opened at `now` (ms).
  void add(ConnectionId id, Ms now);
  // Returns the session of a connection, or null if it has ended. The pointer is valid until the session is
  // removed.
  [[nodiscard]] Session* find(ConnectionId id);
  // Removes the session and its registration.
  void remove(ConnectionId id);

  // Returns the oldest unregistered session, which has had the most time to register, or nothing while there
  // are enough descriptors or if all sessions are registered.
  [[nodiscard]] std::optional<ConnectionId> eviction_candidate();

  // Register an open session as that of a proxy or a collector. Throw ProtocolError of scope `connection` if
  // no descriptors are left for another registered peer; the session is then unchanged.
  void register_proxy(ConnectionId id, const ProxyRegistration& registration);
  void register_collector(ConnectionId id, Locality locality);

  // Returns the connection of a proxy, or nothing if the proxy is not registered.
  [[nodiscard]] std::optional<ConnectionId> connection_of(ProxyId proxy) const;
  // Returns the oldest collector of the locality if it must be closed before another one may register, else
  // nothing. Assigners send nothing to collectors, so the loss of a collector's machine is never detected on
  // the connection; the limit removes such sessions.
  [[nodiscard]] std::optional<ConnectionId> surplus_collector(Locality locality);

  // Returns all open sessions by connection.
  [[nodiscard]] Sessions& sessions() { return sessions_; }
  [[nodiscard]] const Sessions& sessions() const { return sessions_; }
  // Returns the connections of registered proxies, in ascending order of proxy ids.
  [[nodiscard]] const std::map<ProxyId, ConnectionId>& proxies() const { return proxies_; }

 private:
  [[nodiscard]] std::size_t max_sessions() const;
  void require_descriptor() const;

  std::size_t descriptor_limit_;
  Sessions sessions_;
  std::size_t registered_ = 0;
  std::map<ProxyId, ConnectionId> proxies_;
  std::map<Locality, std::deque<ConnectionId>> collectors_;  // by registration time; may have ended
  std::deque<ConnectionId> handshakes_;  // by connection time; may be registered or have ended
};

}  // namespace beamshunt::platform
