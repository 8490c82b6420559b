// Tests of connections, listeners, timers, address parsing and prefix maps on the loopback interface. They
// include half-closed and reset connections, peers that do not read, and exhausted file descriptors.
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
  // Runs the loop until `done` returns true, for at most 10 s. Returns false if the time limit is reached.
  template <typename Done>
  bool run_until(Done done) {
    bool expired = false;
    auto timeout = reactor.call_at(reactor.now() + 10000, [&] { expired = true, reactor.stop(); });
    std::function<void()> poll = [&] {
      if (done()) return reactor.stop();
      reactor.call_at(reactor.now() + 1, poll);
    };
    poll();
    if (!done()) reactor.run();
    reactor.cancel_timer(timeout);
    return !expired;
  }
  // One end of a connection and the events that it has reported.
  struct End {
    std::shared_ptr<Connection> connection;
    std::string received;
    bool connected = false, peer_shut_down = false;
    std::optional<CloseReason> close_reason;
  };
  void attach(End& end, std::shared_ptr<Connection> connection) {
    end.connection = std::move(connection);
    end.connection->start(
        {[&end] { end.connected = true; }, [&end](std::string_view bytes) { end.received += bytes; },
         [&end] { end.peer_shut_down = true; }, [&end](CloseReason reason) { end.close_reason = reason; }});
  }

  Reactor reactor;
  End client, server;
};

TEST_F(NetTest, DeliversBytesInOrderAndKeepsTheOtherDirectionOpenAfterHalfClose) {
  Listener listener(reactor, {kLoopback, 0}, [&](auto connection) { attach(server, connection); });
  attach(client, Connection::dial(reactor, listener.address(), {0x7f000002, 0}));
  std::string payload(3000000, 'x');
  for (std::size_t k = 0; k < payload.size(); ++k) payload[k] = static_cast<char>(k * 7 % 251);
  ASSERT_TRUE(client.connection->send(payload));
  client.connection->shutdown_write();
  ASSERT_TRUE(run_until([&] { return server.peer_shut_down; }));
  EXPECT_EQ(server.received, payload);
  EXPECT_EQ(server.connection->peer().ip, 0x7f000002u);
  EXPECT_TRUE(server.connection->send(std::string("answer")));
  server.connection->shutdown_write();
  ASSERT_TRUE(run_until([&] { return client.close_reason.has_value(); }));
  EXPECT_EQ(client.received, "answer");
  EXPECT_EQ(*client.close_reason, CloseReason::end_of_stream);
}

TEST_F(NetTest, ReportsResetAndRefusedConnections) {
  std::optional<Address> address;
  {
    Listener listener(reactor, {kLoopback, 0}, [&](auto connection) { attach(server, connection); });
    address = listener.address();
    attach(client, Connection::dial(reactor, *address, {}));
    ASSERT_TRUE(run_until([&] { return server.connection && client.connected; }));
    server.connection->reset();
    ASSERT_TRUE(run_until([&] { return client.close_reason.has_value(); }));
    EXPECT_EQ(*client.close_reason, CloseReason::reset);
  }
  End refused;
  attach(refused, Connection::dial(reactor, *address, {}));
  ASSERT_TRUE(run_until([&] { return refused.close_reason.has_value(); }));
  EXPECT_EQ(*refused.close_reason, CloseReason::refused);
  EXPECT_FALSE(refused.connected);
}

TEST_F(NetTest, ClosesOnlyTheConnectionWhosePeerDoesNotRead) {
  End other_server, other_client;
  int accepted = 0;
  Listener listener(reactor, {kLoopback, 0},
                    [&](auto connection) { attach(accepted++ == 0 ? server : other_server, connection); },
                    {.max_unsent_bytes = 1 << 20});
  attach(client, Connection::dial(reactor, listener.address(), {}));
  ASSERT_TRUE(run_until([&] { return server.connection && client.connected; }));
  attach(other_client, Connection::dial(reactor, listener.address(), {}));
  ASSERT_TRUE(run_until([&] { return other_server.connection && other_client.connected; }));
  client.connection->set_reading_paused(true);
  auto block = std::make_shared<const std::string>(std::string(65536, 'x'));
  bool accepted_for_sending = true;
  for (int k = 0; k < 1000 && accepted_for_sending; ++k)
    accepted_for_sending = server.connection->send(block);
  EXPECT_FALSE(accepted_for_sending);
  EXPECT_LE(server.connection->unsent_bytes(), (1u << 20) + block->size());
  other_server.connection->send(std::string("still served"));
  ASSERT_TRUE(run_until([&] { return other_client.received == "still served" && server.close_reason; }));
  EXPECT_EQ(*server.close_reason, CloseReason::peer_does_not_read);
}

TEST_F(NetTest, ResumesPausedReadingWithoutLosingBytes) {
  Listener listener(reactor, {kLoopback, 0}, [&](auto connection) { attach(server, connection); });
  attach(client, Connection::dial(reactor, listener.address(), {}));
  ASSERT_TRUE(run_until([&] { return server.connection != nullptr; }));
  server.connection->set_reading_paused(true);
  client.connection->send(std::string(500000, 'y'));
  bool delay_elapsed = false;
  reactor.call_at(reactor.now() + 50, [&] { delay_elapsed = true; });
  ASSERT_TRUE(run_until([&] { return delay_elapsed; }));
  EXPECT_LT(server.received.size(), 500000u);
  server.connection->set_reading_paused(false);
  ASSERT_TRUE(run_until([&] { return server.received.size() == 500000; }));
}

TEST_F(NetTest, CloseAfterFlushDeliversQueuedBytes) {
  Listener listener(reactor, {kLoopback, 0}, [&](auto connection) {
    attach(server, connection);
    server.connection->send(std::string(200000, 'z'));
    server.connection->close_after_flush();
  });
  attach(client, Connection::dial(reactor, listener.address(), {}));
  ASSERT_TRUE(run_until([&] { return client.peer_shut_down; }));
  EXPECT_EQ(client.received.size(), 200000u);
}

TEST_F(NetTest, RejectsConnectionsWithoutFreeDescriptorsAndRecovers) {
  Listener listener(reactor, {kLoopback, 0}, [&](auto connection) { attach(server, connection); });
  rlimit original{};
  getrlimit(RLIMIT_NOFILE, &original);
  attach(client, Connection::dial(reactor, listener.address(), {}));
  int first_free_descriptor = ::open("/dev/null", O_RDONLY);
  ::close(first_free_descriptor);
  rlimit lowered = original;
  lowered.rlim_cur = static_cast<rlim_t>(first_free_descriptor);
  setrlimit(RLIMIT_NOFILE, &lowered);
  ASSERT_TRUE(run_until([&] { return client.peer_shut_down || client.close_reason; }));
  setrlimit(RLIMIT_NOFILE, &original);
  EXPECT_EQ(listener.rejected_connections(), 1u);
  EXPECT_EQ(server.connection, nullptr);
  End second_client;
  attach(second_client, Connection::dial(reactor, listener.address(), {}));
  ASSERT_TRUE(run_until([&] { return server.connection != nullptr; }));
}

TEST_F(NetTest, TimersFireInOrderUnlessCancelled) {
  std::string order;
  Ms now = reactor.now();
  reactor.call_at(now + 3, [&] { order += 'c'; });
  reactor.call_at(now + 1, [&] { order += 'a'; });
  reactor.call_at(now + 1, [&] { order += 'b'; });
  auto cancelled = reactor.call_at(now + 2, [&] { order += 'x'; });
  reactor.cancel_timer(cancelled);
  ASSERT_TRUE(run_until([&] { return order.size() == 3; }));
  EXPECT_EQ(order, "abc");
}

TEST(PrefixMap, LongestPrefixMatchesAndConflictsAreRejected) {
  PrefixMap map;
  EXPECT_FALSE(map.add("127.0.0.0/8", 1));
  EXPECT_FALSE(map.add("127.10.0.0/16", 2));
  EXPECT_FALSE(map.add("127.10.5.7/32", 3));
  EXPECT_FALSE(map.add("127.10.0.0/16", 2));  // a repeated mapping is no conflict
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

TEST(Address, ParsesAndFormatsText) {
  EXPECT_EQ(to_string(*parse_address("127.1.2.3:80")), "127.1.2.3:80");
  for (const char* invalid :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", "a:1", "::1:80"})
    EXPECT_FALSE(parse_address(invalid)) << invalid;
}

}  // namespace
}  // namespace beamshunt::net
