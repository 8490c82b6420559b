// Tests which sessions are evicted when descriptors run short, and the registrations of proxies and
// collectors.
#include "platform/session_table.h"

#include <gtest/gtest.h>

namespace beamshunt::platform {
namespace {

constexpr std::size_t kDescriptorLimit = 128;  // 32 are reserved, 16 are for health checks
constexpr std::uint64_t kMaxSessions = 80;

ProxyRegistration proxy(std::uint32_t id) { return {.proxy = ProxyId{id}}; }

TEST(SessionTable, NoSessionIsEvictedWhileThereAreEnoughDescriptors) {
  SessionTable table(kDescriptorLimit);
  for (std::uint64_t k = 1; k <= kMaxSessions; ++k) table.add(ConnectionId{k}, 0);
  EXPECT_FALSE(table.eviction_candidate());
}

// Hundreds of unknown peers connect and send nothing. The oldest is evicted first, because it has had the
// most time to register. A registered proxy stays, regardless of its age.
TEST(SessionTable, OldestUnregisteredSessionIsEvicted) {
  SessionTable table(kDescriptorLimit);
  for (std::uint64_t k = 1; k <= kMaxSessions + 1; ++k) table.add(ConnectionId{k}, 0);
  table.register_proxy(ConnectionId{1}, proxy(0));
  EXPECT_EQ(table.eviction_candidate(), ConnectionId{2});
  table.remove(ConnectionId{2});
  EXPECT_FALSE(table.eviction_candidate());
}

// More proxies register than there are descriptors. One more registration would use a descriptor that
// discovery needs, so it is rejected until another session ends.
TEST(SessionTable, RegistrationsAreLimitedByTheDescriptors) {
  SessionTable table(kDescriptorLimit);
  for (std::uint64_t k = 1; k <= kMaxSessions + 1; ++k) table.add(ConnectionId{k}, 0);
  for (std::uint64_t k = 1; k <= kMaxSessions; ++k)
    table.register_proxy(ConnectionId{k}, proxy(static_cast<std::uint32_t>(k)));
  const ConnectionId last{kMaxSessions + 1};
  EXPECT_THROW(table.register_proxy(last, proxy(500)), ProtocolError);
  EXPECT_THROW(table.register_collector(last, Locality{0}), ProtocolError);
  EXPECT_FALSE(table.find(last)->is_registered());
  EXPECT_FALSE(table.connection_of(ProxyId{500}));
  table.remove(ConnectionId{7});
  table.register_proxy(last, proxy(500));
  EXPECT_EQ(table.connection_of(ProxyId{500}), last);
  EXPECT_FALSE(table.connection_of(ProxyId{7}));
}

// A locality's collector reconnects repeatedly, and the ends of its broken connections are never detected.
TEST(SessionTable, OldestCollectorBeyondTheLimitIsSurplus) {
  SessionTable table(kDescriptorLimit);
  for (std::uint64_t k = 1; k <= 4; ++k) {
    table.add(ConnectionId{k}, 0);
    EXPECT_FALSE(table.surplus_collector(Locality{0}));
    table.register_collector(ConnectionId{k}, Locality{0});
  }
  EXPECT_EQ(table.surplus_collector(Locality{0}), ConnectionId{1});
  EXPECT_FALSE(table.surplus_collector(Locality{1}));
  table.remove(ConnectionId{1});
  EXPECT_FALSE(table.surplus_collector(Locality{0}));
}

}  // namespace
}  // namespace beamshunt::platform
