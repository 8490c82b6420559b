// The network layer on loopback: half-close, reset, peers that never read, want of descriptors.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <optional>

#include "net/connection.h"

namespace beamshunt::net {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

class NetTest : public ::testing::Test {
 protected:
  // Turns the loop until `done`, for a few seconds at most.
  template <typename Done>
  bool until(Done done) {
    bool expired = false;
    auto limit = reactor.call_at(reactor.now() + 10000, [&] { expired = true, reactor.stop(); });
    std::function<void()> look = [&] {
      if (done()) return reactor.stop();
      reactor.call_at(reactor.now() + 1, look);
    };
    look();
    if (!done()) reactor.run();
    reactor.cancel_timer(limit);
    return !expired;
  }
  struct End {
    std::shared_ptr<Connection> connection;
    std::string came;
    bool connected = false, ended = false;
    std::optional<CloseReason> closed;
  };
  void attach(End& end, std::shared_ptr<Connection> c) {
    end.connection = std::move(c);
    end.connection->start({[&end] { end.connected = true; }, [&end](std::string_view b) { end.came += b; },
                           [&end] { end.ended = true; }, [&end](CloseReason r) { end.closed = r; }});
  }

  Reactor reactor;
  End near, far;
};

TEST_F(NetTest, BytesComeInOrderBothWaysAndHalfCloseLeavesTheOtherWayOpen) {
  Listener listener(reactor, {kLoopback, 0}, [&](auto c) { attach(far, c); });
  attach(near, Connection::dial(reactor, listener.address(), {0x7f000002, 0}));
  std::string much(3000000, 'x');
  for (std::size_t k = 0; k < much.size(); ++k) much[k] = static_cast<char>(k * 7 % 251);
  ASSERT_TRUE(near.connection->send(much));
  near.connection->shutdown_write();
  ASSERT_TRUE(until([&] { return far.ended; }));
  EXPECT_EQ(far.came, much);
  EXPECT_EQ(far.connection->peer().ip, 0x7f000002u);
  EXPECT_TRUE(far.connection->send(std::string("answer")));
  far.connection->shutdown_write();
  ASSERT_TRUE(until([&] { return near.closed.has_value(); }));
  EXPECT_EQ(near.came, "answer");
  EXPECT_EQ(*near.closed, CloseReason::end_of_stream);
}

TEST_F(NetTest, ResetAndRefusalAreTold) {
  std::optional<Address> address;
  {
    Listener listener(reactor, {kLoopback, 0}, [&](auto c) { attach(far, c); });
    address = listener.address();
    attach(near, Connection::dial(reactor, *address, {}));
    ASSERT_TRUE(until([&] { return far.connection && near.connected; }));
    far.connection->reset();
    ASSERT_TRUE(until([&] { return near.closed.has_value(); }));
    EXPECT_EQ(*near.closed, CloseReason::reset);
  }
  End refused;
  attach(refused, Connection::dial(reactor, *address, {}));
  ASSERT_TRUE(until([&] { return refused.closed.has_value(); }));
  EXPECT_EQ(*refused.closed, CloseReason::refused);
  EXPECT_FALSE(refused.connected);
}

TEST_F(NetTest, APeerThatNeverReadsCostsOnlyItself) {
  End other_far, other_near;
  int accepted = 0;
  Listener listener(reactor, {kLoopback, 0}, [&](auto c) { attach(accepted++ == 0 ? far : other_far, c); },
                    {.max_unsent_bytes = 1 << 20});
  attach(near, Connection::dial(reactor, listener.address(), {}));
  ASSERT_TRUE(until([&] { return far.connection && near.connected; }));
  attach(other_near, Connection::dial(reactor, listener.address(), {}));
  ASSERT_TRUE(until([&] { return other_far.connection && other_near.connected; }));
  near.connection->set_reading_paused(true);
  auto block = std::make_shared<const std::string>(std::string(65536, 'x'));
  bool taken = true;
  for (int k = 0; k < 1000 && taken; ++k) taken = far.connection->send(block);
  EXPECT_FALSE(taken);
  EXPECT_LE(far.connection->unsent_bytes(), (1u << 20) + block->size());
  other_far.connection->send(std::string("still served"));
  ASSERT_TRUE(until([&] { return other_near.came == "still served" && far.closed; }));
  EXPECT_EQ(*far.closed, CloseReason::peer_does_not_read);
}

TEST_F(NetTest, APausedConnectionResumesWithNothingLost) {
  Listener listener(reactor, {kLoopback, 0}, [&](auto c) { attach(far, c); });
  attach(near, Connection::dial(reactor, listener.address(), {}));
  ASSERT_TRUE(until([&] { return far.connection != nullptr; }));
  far.connection->set_reading_paused(true);
  near.connection->send(std::string(500000, 'y'));
  bool waited = false;
  reactor.call_at(reactor.now() + 50, [&] { waited = true; });
  ASSERT_TRUE(until([&] { return waited; }));
  EXPECT_LT(far.came.size(), 500000u);
  far.connection->set_reading_paused(false);
  ASSERT_TRUE(until([&] { return far.came.size() == 500000; }));
}

TEST_F(NetTest, CloseAfterSendingDeliversTheLastWords) {
  Listener listener(reactor, {kLoopback, 0}, [&](auto c) {
    attach(far, c);
    far.connection->send(std::string(200000, 'z'));
    far.connection->close_after_flush();
  });
  attach(near, Connection::dial(reactor, listener.address(), {}));
  ASSERT_TRUE(until([&] { return near.ended; }));
  EXPECT_EQ(near.came.size(), 200000u);
}

TEST_F(NetTest, WantOfDescriptorsTurnsNewcomersAwayAndHealsByItself) {
  Listener listener(reactor, {kLoopback, 0}, [&](auto c) { attach(far, c); });
  rlimit old{};
  getrlimit(RLIMIT_NOFILE, &old);
  attach(near, Connection::dial(reactor, listener.address(), {}));
  int highest = ::open("/dev/null", O_RDONLY);
  ::close(highest);
  rlimit tight = old;
  tight.rlim_cur = static_cast<rlim_t>(highest);
  setrlimit(RLIMIT_NOFILE, &tight);
  ASSERT_TRUE(until([&] { return near.ended || near.closed; }));
  setrlimit(RLIMIT_NOFILE, &old);
  EXPECT_EQ(listener.rejected_connections(), 1u);
  EXPECT_EQ(far.connection, nullptr);
  End again;
  attach(again, Connection::dial(reactor, listener.address(), {}));
  ASSERT_TRUE(until([&] { return far.connection != nullptr; }));
}

TEST_F(NetTest, TimersFireInOrderAndCancelledOnesDoNot) {
  std::string order;
  Ms now = reactor.now();
  reactor.call_at(now + 3, [&] { order += 'c'; });
  reactor.call_at(now + 1, [&] { order += 'a'; });
  reactor.call_at(now + 1, [&] { order += 'b'; });
  auto never = reactor.call_at(now + 2, [&] { order += 'x'; });
  reactor.cancel_timer(never);
  ASSERT_TRUE(until([&] { return order.size() == 3; }));
  EXPECT_EQ(order, "abc");
}

TEST(PrefixMap, LongestPrefixWinsAndConflictsAreRefused) {
  PrefixMap map;
  EXPECT_FALSE(map.add("127.0.0.0/8", 1));
  EXPECT_FALSE(map.add("127.10.0.0/16", 2));
  EXPECT_FALSE(map.add("127.10.5.7/32", 3));
  EXPECT_FALSE(map.add("127.10.0.0/16", 2));  // the same again says nothing new
  EXPECT_EQ(map.find(0x7f000001), 1u);
  EXPECT_EQ(map.find(0x7f0a0001), 2u);
  EXPECT_EQ(map.find(0x7f0a0507), 3u);
  EXPECT_EQ(map.find(0x7f0affff), 2u);
  EXPECT_EQ(map.find(0x7f0b0000), 1u);
  EXPECT_FALSE(map.find(0x80000000));
  EXPECT_NE(map.add("127.10.0.0/16", 4).value_or("").find("twice"), std::string::npos);
  EXPECT_NE(map.add("127.10.0.1/16", 4).value_or("").find("127.10.0.0/16 would do"), std::string::npos);
  EXPECT_TRUE(map.add("127.10.0.0/33", 4));
  EXPECT_TRUE(map.add("rubbish", 4));
  EXPECT_FALSE(map.add("0.0.0.0/0", 9));
  EXPECT_EQ(map.find(0xffffffff), 9u);
}

TEST(Address, TextBothWays) {
  EXPECT_EQ(to_string(*parse_address("127.1.2.3:80")), "127.1.2.3:80");
  for (const char* bad :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", "a:1", "::1:80"})
    EXPECT_FALSE(parse_address(bad)) << bad;
}

}  // namespace
}  // namespace beamshunt::net
