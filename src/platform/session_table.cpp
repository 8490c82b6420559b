#include "platform/session_table.h"

#include <algorithm>

namespace beamshunt::platform {
namespace {

// Descriptors reserved for the event loop, the listener, discovery and files.
constexpr std::size_t kReservedDescriptors = 32;
// Lower bound for the number of concurrent health checks: checks of endpoints that hang must not block those
// of the others.
constexpr std::size_t kMinHealthChecks = 16;
// Upper bound for the number of concurrent health checks: more checks would only cause bursts on a single
// core.
constexpr std::size_t kMaxHealthChecks = 64;
// Ratio of all descriptors to those that health checks may use: most descriptors are needed for proxies.
constexpr std::size_t kDescriptorsPerHealthCheck = 16;
// Maximum number of collectors per locality: one, plus sessions of broken connections that were not detected.
constexpr std::size_t kMaxCollectorsPerLocality = 4;

}  // namespace

std::size_t max_concurrent_health_checks(std::size_t descriptor_limit) {
  return std::clamp(descriptor_limit / kDescriptorsPerHealthCheck, kMinHealthChecks, kMaxHealthChecks);
}

std::size_t SessionTable::max_sessions() const {
  const std::size_t reserved = kReservedDescriptors + max_concurrent_health_checks(descriptor_limit_);
  return descriptor_limit_ > 2 * reserved ? descriptor_limit_ - reserved : reserved;
}

void SessionTable::add(ConnectionId id, Ms now) {
  sessions_.try_emplace(id, now);
  handshakes_.push_back(id);
}

Session* SessionTable::find(ConnectionId id) {
  auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : &found->second;
}

void SessionTable::remove(ConnectionId id) {
  auto found = sessions_.find(id);
  if (found == sessions_.end()) return;
  const Session& session = found->second;
  if (session.is_registered()) --registered_;
  if (session.role() == Session::Role::proxy) proxies_.erase(session.registration().proxy);
  sessions_.erase(found);
}

std::optional<ConnectionId> SessionTable::eviction_candidate() {
  while (!handshakes_.empty()) {
    const Session* session = find(handshakes_.front());
    if (session != nullptr && !session->is_registered()) break;
    handshakes_.pop_front();
  }
  if (sessions_.size() <= max_sessions() || handshakes_.empty()) return std::nullopt;
  return handshakes_.front();
}

// Throws if no descriptor is left for another registered peer. One more registration would use a descriptor
// that discovery and the health checks need, and thus affect all proxies.
void SessionTable::require_descriptor() const {
  if (registered_ >= max_sessions())
    throw ProtocolError(ProtocolError::Scope::connection, "there are descriptors for no more who join",
                        {.expected = "at most " + std::to_string(max_sessions()) + " registered peers"});
}

void SessionTable::register_proxy(ConnectionId id, const ProxyRegistration& registration) {
  require_descriptor();
  sessions_.at(id).register_proxy(registration);
  ++registered_;
  proxies_[registration.proxy] = id;
}

void SessionTable::register_collector(ConnectionId id, Locality locality) {
  require_descriptor();
  sessions_.at(id).register_collector();
  ++registered_;
  collectors_[locality].push_back(id);
}

std::optional<ConnectionId> SessionTable::connection_of(ProxyId proxy) const {
  auto found = proxies_.find(proxy);
  if (found == proxies_.end()) return std::nullopt;
  return found->second;
}

std::optional<ConnectionId> SessionTable::surplus_collector(Locality locality) {
  auto& collectors = collectors_[locality];
  std::erase_if(collectors, [this](ConnectionId id) { return !sessions_.contains(id); });
  if (collectors.size() < kMaxCollectorsPerLocality) return std::nullopt;
  return collectors.front();
}

}  // namespace beamshunt::platform
