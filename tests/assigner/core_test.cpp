// Tests of the assigner's core in simulated time: streams, endpoint lists, updates, and invalid input.
#include "assigner/core.h"

#include <gtest/gtest.h>

#include "assigner/core_harness.h"
#include "flight_record/replay.h"
#include "seeded_random.h"

namespace beamshunt::assigner::test {
namespace {

TEST(Core, ProxyIsAssignedTablesWithListedEndpointsAfterItRegisters) {
  CoreHarness harness;
  harness.run_once();
  ASSERT_TRUE(
      std::holds_alternative<OpenEndpointWatch>(harness.other_effects.at(harness.other_effects.size() - 1)) ||
      harness.other_effects.size() > 1);
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4, 1, 3}));
  StreamId proxy_stream = harness.register_proxy(0);
  ASSERT_EQ(harness.received<native_protocol::Welcome>(proxy_stream).size(), 1u);
  EXPECT_EQ(harness.received<native_protocol::Welcome>(proxy_stream)[0].epoch, 1u);
  harness.advance_responsive({proxy_stream}, 500);
  auto tables = harness.weight_tables(proxy_stream);
  ASSERT_EQ(tables.size(), 2u);
  for (auto& [table, weights] : tables)
    for (std::uint32_t local : {2u, 4u}) EXPECT_TRUE(weights.contains(local)) << table;
  auto messages = harness.received<native_protocol::UpdateMessage>(proxy_stream);
  for (std::size_t k = 0; k < messages.size(); ++k) EXPECT_EQ(messages[k].sequence, k + 1);
  EXPECT_EQ(harness.core.unacknowledged_lines(), 0);
  auto* weight = std::get_if<native_protocol::WeightUpdate>(&messages[0].updates[1]);
  ASSERT_TRUE(weight);
  EXPECT_EQ(weight->ip >> 24, 127u);
  EXPECT_EQ(weight->port, 8000);
}

// A terminating endpoint stops when its grace period is over. Requests of a proxy that still has the endpoint
// in a table would fail from then on: each proxy must have removed it before, and none may be left without
// endpoints.
TEST(Core, DrainReachesEveryProxyWithinTheGracePeriod) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4, 6}));
  std::vector<StreamId> proxy_streams{harness.register_proxy(0), harness.register_proxy(1),
                                      harness.register_proxy(2)};
  harness.advance_responsive(proxy_streams, 1500);
  for (StreamId proxy_stream : proxy_streams)
    for (auto& [table, weights] : harness.weight_tables(proxy_stream)) ASSERT_TRUE(weights.contains(4));
  harness.deliver_endpoint_list(endpoint_list_json("changes", 2, {4}, "terminating"));
  harness.advance_responsive(proxy_streams, 900);
  for (StreamId proxy_stream : proxy_streams)
    for (auto& [table, weights] : harness.weight_tables(proxy_stream)) {
      EXPECT_FALSE(weights.contains(4));
      EXPECT_FALSE(weights.empty());
    }
}

// Any client that can reach the port may connect: a port scanner, a web client, an older proxy, or a proxy
// with another site's settings. Each is refused with a reason that names the fault, and a valid proxy's
// stream is not affected.
TEST(Core, InvalidStreamsAreRefusedWithAReasonWithoutAffectingOthers) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4}));
  StreamId valid = harness.register_proxy(0);
  StreamId silent = harness.open_stream("127.10.1.9:1");
  StreamId not_a_frame = harness.open_stream("127.10.1.10:1");
  harness.send_bytes(not_a_frame, "GET / HTTP/1.1\r\n\r\n");
  StreamId oversized_frame = harness.open_stream("127.10.1.11:1");
  harness.send_bytes(oversized_frame, std::string("\x00\xff\xff\xff\x01", 5));
  StreamId old_version = harness.open_stream("127.10.1.12:1");
  harness.send_frame(old_version, native_protocol::Hello{.version = 9});
  StreamId unknown_address = harness.open_stream("127.99.1.1:1");
  harness.send_frame(unknown_address, native_protocol::Hello{.proxy = 5, .locality = "north"});
  StreamId wrong_locality = harness.open_stream("127.10.1.13:1");
  harness.send_frame(wrong_locality, native_protocol::Hello{.proxy = 6, .locality = "south"});
  StreamId missing_hello = harness.open_stream("127.10.1.14:1");
  harness.send_frame(missing_hello, native_protocol::Acknowledgement{1});
  harness.advance_responsive({valid}, 1000);
  EXPECT_NE(harness.refusal_reason(silent).find("no hello in time"), std::string::npos);
  EXPECT_NE(harness.refusal_reason(not_a_frame).find("at byte 0: a frame of"), std::string::npos);
  EXPECT_NE(
      harness.refusal_reason(oversized_frame).find("at byte 0: a frame of 16777215 bytes, 1024 are allowed"),
      std::string::npos);
  EXPECT_NE(harness.refusal_reason(old_version).find("protocol version 9, this side speaks 1"),
            std::string::npos);
  EXPECT_NE(harness.refusal_reason(unknown_address).find("in no locality"), std::string::npos);
  EXPECT_NE(
      harness.refusal_reason(wrong_locality).find("says it is in \"south\", its address is in \"north\""),
      std::string::npos);
  EXPECT_NE(harness.refusal_reason(missing_hello).find("applied frame is out of place"), std::string::npos);
  for (StreamId id :
       {silent, not_a_frame, oversized_frame, old_version, unknown_address, wrong_locality, missing_hello})
    EXPECT_TRUE(harness.is_closed(id));
  EXPECT_FALSE(harness.is_closed(valid));
  EXPECT_EQ(harness.core.proxy_count(), 1u);
}

// A proxy acknowledges a message that was never sent, or reports on a class that does not exist. The states
// of the two sides differ, and only a new stream synchronizes them again.
TEST(Core, StreamIsRefusedWhenItAcknowledgesUnsentMessagesOrReportsUnknownClasses) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId proxy_stream = harness.register_proxy(0);
  harness.send_frame(proxy_stream, native_protocol::Acknowledgement{99});
  EXPECT_TRUE(harness.is_closed(proxy_stream));
  StreamId reporting_stream = harness.register_proxy(1);
  harness.send_frame(reporting_stream, native_protocol::LoadReportMessage{1, 250, {}, {{9, 1, 0}}});
  EXPECT_NE(harness.refusal_reason(reporting_stream).find("a report on class 9, there are 2"),
            std::string::npos);
}

// A proxy's machine loses power, so its stream is never closed. Without a timeout, the stream would stay open
// and the proxy registered forever: pings are sent, and the stream is ended after three heartbeats without a
// byte.
TEST(Core, HalfOpenStreamIsClosedAfterThreeSilentHeartbeats) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId proxy_stream = harness.register_proxy(0);
  harness.advance(550);
  EXPECT_FALSE(harness.is_closed(proxy_stream));
  EXPECT_GE(harness.received<native_protocol::Ping>(proxy_stream).size(), 1u);
  harness.advance(200);
  EXPECT_TRUE(harness.is_closed(proxy_stream));
  EXPECT_EQ(harness.core.proxy_count(), 0u);
}

// A proxy sends pings but applies no updates. Its unacknowledged messages would occupy the channel's queue
// forever and block other proxies' updates: its stream is ended once the oldest acknowledgement is overdue.
TEST(Core, ProxyIsRefusedWhenItRespondsButAppliesNoUpdates) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId stalled = harness.register_proxy(0), valid = harness.register_proxy(1);
  for (int k = 0; k < 220 && !harness.is_closed(stalled); ++k) {
    harness.send_frame(stalled, native_protocol::Ping{1});
    harness.advance_responsive({valid}, 50);
  }
  EXPECT_TRUE(harness.is_closed(stalled));
  EXPECT_NE(harness.refusal_reason(stalled).find("message 1 is not confirmed"), std::string::npos);
  EXPECT_FALSE(harness.is_closed(valid));
}

// An unidentified client announces long frames on many streams and sends them slowly. Before the handshake,
// the assigner must buffer no more bytes for a stream than a hello needs.
TEST(Core, FrameSizeIsLimitedToThatOfAHelloBeforeTheHandshake) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId stream = harness.open_stream("127.10.1.1:1");
  harness.send_bytes(stream, std::string("\x00\x00\x08\x00\x01", 5));
  EXPECT_NE(harness.refusal_reason(stream).find("a frame of 2048 bytes, 1024 are allowed"),
            std::string::npos);
  // A report may follow the hello immediately and exceed the limit for a hello.
  StreamId proxy_stream = harness.open_stream("127.10.1.2:1");
  native_protocol::LoadReportMessage report{.sequence = 1, .interval_ms = 250};
  for (std::uint32_t endpoint = 0; endpoint < 200; ++endpoint)
    report.endpoints.push_back({endpoint, 1, 0, 20, {}});
  harness.send_bytes(proxy_stream, native_protocol::encode(native_protocol::Hello{
                                       .proxy = 1, .incarnation = 1, .attempt = 1, .locality = "north"}) +
                                       native_protocol::encode(report));
  EXPECT_FALSE(harness.is_closed(proxy_stream));
  EXPECT_EQ(harness.core.counters().reports, 1u);
}

// A proxy dials again after a short network failure, before the assigner detects that the former stream is
// dead. The newer stream of the same run replaces the older one.
TEST(Core, NewerStreamOfTheSameRunReplacesTheOlderOne) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId first = harness.register_proxy(0, 77, 1);
  StreamId second = harness.register_proxy(0, 77, 2);
  EXPECT_TRUE(harness.is_closed(first));
  EXPECT_NE(harness.refusal_reason(first).find("newer stream"), std::string::npos);
  harness.advance_responsive({second}, 500);
  EXPECT_FALSE(harness.is_closed(second));
  EXPECT_FALSE(harness.weight_tables(second).empty());
  EXPECT_EQ(harness.core.proxy_count(), 1u);
}

// A second proxy is started with an id that is in use. If it replaced the first one, the first would dial
// again and replace the second, and so on forever. The second proxy is refused while the first one responds.
TEST(Core, SecondProxyWithTheSameIdIsRefusedWhileTheFirstResponds) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId first = harness.register_proxy(0, 77, 1);
  StreamId duplicate = harness.register_proxy(0, 88, 1);
  EXPECT_TRUE(harness.is_closed(duplicate));
  EXPECT_FALSE(harness.is_closed(first));
  EXPECT_EQ(harness.received<native_protocol::Refuse>(duplicate).at(0).code,
            native_protocol::RefuseCode::id_in_use);
  // The first proxy falls silent, as after a loss of power: its successor may register.
  harness.advance(650);
  StreamId successor = harness.register_proxy(0, 99, 1);
  harness.advance_responsive({successor}, 300);
  EXPECT_FALSE(harness.is_closed(successor));
}

// A proxy disconnects while a message to it is queued in the channel. The message is dropped and counted; the
// times of all other messages stay unchanged.
TEST(Core, MessagesAreSentAtTheChannelsRateAndDroppedWhenTheirStreamEnds) {
  CoreHarness harness;
  std::vector<std::uint32_t> ids;
  for (std::uint32_t id = 2; id < 400; id += 2) ids.push_back(id);
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, ids));
  StreamId first = harness.register_proxy(0);
  // The message has some hundred lines, so it is not sent immediately at 2000 lines per second.
  EXPECT_TRUE(harness.received<native_protocol::UpdateMessage>(first).empty());
  harness.advance(20);
  EXPECT_TRUE(harness.received<native_protocol::UpdateMessage>(first).empty());
  harness.advance(400);
  ASSERT_EQ(harness.received<native_protocol::UpdateMessage>(first).size(), 1u);
  auto message = harness.received<native_protocol::UpdateMessage>(first)[0];
  EXPECT_EQ(message.lines, static_cast<double>(message.updates.size()) + 3);
  StreamId second = harness.register_proxy(1);
  harness.core.stream_closed(second, "reset", harness.now);
  harness.advance(400);
  EXPECT_EQ(harness.core.counters().dropped_messages, 1u);
}

// The discovery service sends a list with one invalid value. Its other values can't be trusted either: the
// list is rejected as a whole, the log names the invalid value, and proxies keep the endpoints of the last
// valid list.
TEST(Core, InvalidEndpointListIsRejectedAsAWholeAndTheLastValidOneIsKept) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4}));
  StreamId proxy_stream = harness.register_proxy(0);
  harness.advance_responsive({proxy_stream}, 300);
  for (const std::string& invalid_list :
       {std::string("rubbish"), std::string("{}"), endpoint_list_json("total", 2, {2, 2}),
        endpoint_list_json("odd", 2, {2}), endpoint_list_json("total", 2, {2}, "asleep"),
        std::string(R"({"kind":"total","version":2,"entries":[{"id":-4}]})"),
        std::string(R"({"kind":"total","version":2,"entries":[{"id":6,"locality":"west"}]})"),
        std::string(
            R"({"kind":"total","version":2,"entries":[{"id":6,"locality":"north","cell":0,"size":-1}]})")})
    harness.deliver_endpoint_list(invalid_list);
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "not a JSON object"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "kind is missing"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "entries[1]: id is given twice"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "state \"asleep\" is unknown"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "id is -4"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "locality \"west\" is unknown"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "size is -1"));
  harness.advance_responsive({proxy_stream}, 2000);
  for (auto& [table, weights] : harness.weight_tables(proxy_stream)) EXPECT_EQ(weights.size(), 2u);
}

// The assigner restarts while discovery is down. Proxies that register get the endpoints of the cached list
// from the earlier run.
TEST(Core, CachedListIsUsedAfterARestartWhileDiscoveryIsDown) {
  std::string saved;
  {
    CoreHarness harness;
    harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4}));
    for (Effect& effect : harness.other_effects)
      if (std::get_if<SaveEndpointList>(&effect)) saved = harness.core.encoded_endpoint_list();
  }
  ASSERT_FALSE(saved.empty());
  CoreHarness restarted(decode_cached_list(saved), 2);
  StreamId proxy_stream = restarted.register_proxy(0);
  restarted.core.endpoint_list_lost("refused");
  restarted.advance_responsive({proxy_stream}, 500);
  ASSERT_FALSE(restarted.weight_tables(proxy_stream).empty());
  for (auto& [table, weights] : restarted.weight_tables(proxy_stream)) EXPECT_EQ(weights.size(), 2u);
  EXPECT_EQ(restarted.received<native_protocol::Welcome>(proxy_stream)[0].epoch, 2u);
}

// A client sends a PeerHello with an instance that is not in the settings, or with a configured instance from
// another address. Its notes would reach the controllers, so it is refused.
TEST(Core, PeersAreDialledAndUnknownPeersAreRefused) {
  CoreHarness harness;
  harness.run_once();
  bool dialled = false;
  for (Effect& effect : harness.other_effects)
    if (auto* dial = std::get_if<DialPeer>(&effect)) dialled |= dial->instance == 7;
  EXPECT_TRUE(dialled);
  StreamId known = harness.open_stream("127.20.0.1:1"), unknown = harness.open_stream("127.20.0.2:1");
  StreamId elsewhere = harness.open_stream("127.20.0.3:1");
  harness.send_frame(elsewhere, native_protocol::PeerHello{.instance = 7});
  EXPECT_TRUE(harness.is_closed(elsewhere));
  harness.send_frame(known, native_protocol::PeerHello{.instance = 7});
  harness.send_frame(unknown, native_protocol::PeerHello{.instance = 8});
  harness.send_frame(known, native_protocol::PeerNote{"hello"});
  EXPECT_FALSE(harness.is_closed(known));
  EXPECT_TRUE(harness.is_closed(unknown));
}

// More clients connect than the settings permit, as after a faulty deployment. Streams beyond the limit are
// refused, and the existing ones stay open.
TEST(Core, StreamsBeyondTheLimitAreRefused) {
  CoreHarness harness;
  std::vector<StreamId> streams;
  for (int k = 0; k < 52; ++k) streams.push_back(harness.open_stream("127.10.1.1:1"));
  EXPECT_FALSE(harness.is_closed(streams[49]));
  EXPECT_TRUE(harness.is_closed(streams[50]));
  EXPECT_TRUE(harness.is_closed(streams[51]));
}

// The assigner is stopped. Each proxy receives a Refuse frame, so that it dials another assigner without
// waiting for a timeout.
TEST(Core, StopRefusesEveryStream) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId proxy_stream = harness.register_proxy(0);
  harness.core.stop(harness.now);
  harness.run_once();
  EXPECT_EQ(harness.received<native_protocol::Refuse>(proxy_stream).at(0).code,
            native_protocol::RefuseCode::stopping);
  EXPECT_TRUE(harness.is_closed(proxy_stream));
  StreamId late = harness.open_stream("127.10.1.2:1");
  EXPECT_TRUE(harness.is_closed(late));
}

// Injects seeded faults for simulated minutes: proxies register, fall silent, disconnect and send invalid
// bytes; endpoint lists arrive, drain endpoints and are lost. Throughout, updates must arrive in sequence and
// the queue must stay within its limit; after the faults end, all proxies must have endpoints.
TEST(Core, ServesAllProxiesAndKeepsItsLimitsThroughSeededFaults) {
  for (std::uint32_t seed = 1; seed <= 12; ++seed) {
    CoreHarness harness;
    beamshunt::test::SeededRandom draw(seed);
    harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4, 6, 8}));
    std::map<std::uint32_t, StreamId> streams;
    std::map<std::uint32_t, std::uint32_t> attempts;
    std::uint64_t version = 1;
    auto reconnect = [&](std::uint32_t proxy) {
      streams[proxy] = harness.register_proxy(proxy, 1, ++attempts[proxy]);
    };
    for (std::uint32_t proxy = 0; proxy < 6; ++proxy) reconnect(proxy);
    for (int step = 0; step < 600; ++step) {
      std::uint32_t proxy = draw(6);
      StreamId proxy_stream = streams[proxy];
      switch (draw(12)) {
        case 0:
          harness.core.stream_closed(proxy_stream, "reset", harness.now);
          harness.run_once();
          reconnect(proxy);
          break;
        case 1:
          reconnect(proxy);
          break;
        case 2:
          harness.send_bytes(proxy_stream, "rubbish");
          reconnect(proxy);
          break;
        case 3:
          harness.deliver_endpoint_list(endpoint_list_json("changes", ++version, {2 + 2 * draw(3)},
                                                           draw(2) ? "terminating" : "in_service"));
          break;
        case 4:
          harness.core.endpoint_list_lost("gone");
          harness.run_once();
          break;
        case 5:
          harness.deliver_endpoint_list(endpoint_list_json("total", ++version, {2, 4, 6, 8}));
          break;
        case 6:
          if (!harness.is_closed(proxy_stream))
            harness.send_frame(
                proxy_stream,
                native_protocol::LoadReportMessage{
                    std::uint64_t(step) + 1, 250, {{2, 10, draw(10), 30, {}}}, {{0, draw(50), 0}}});
          break;
        default: {
          std::vector<StreamId> proxy_streams;
          for (auto& [id, stream] : streams) proxy_streams.push_back(stream);
          harness.advance_responsive(proxy_streams, 40 + draw(200));
        }
      }
      for (auto& [id, stream] : streams)
        if (harness.is_closed(stream)) reconnect(id);
      ASSERT_LE(harness.core.unacknowledged_lines(), harness.settings.policy.max_queued_lines)
          << "seed " << seed;
    }
    harness.deliver_endpoint_list(endpoint_list_json("total", ++version, {2, 4, 6, 8}));
    std::vector<StreamId> proxy_streams;
    for (auto& [id, stream] : streams) proxy_streams.push_back(stream);
    harness.advance_responsive(proxy_streams, 3000);
    for (StreamId stream : proxy_streams) {
      ASSERT_FALSE(harness.is_closed(stream)) << "seed " << seed;
      std::uint64_t next = 1;
      for (auto& message : harness.received<native_protocol::UpdateMessage>(stream))
        ASSERT_EQ(message.sequence, next++) << "seed " << seed;
      auto tables = harness.weight_tables(stream);
      ASSERT_EQ(tables.size(), 2u) << "seed " << seed;
      for (auto& [table, weights] : tables) EXPECT_FALSE(weights.empty()) << "seed " << seed;
    }
    // A replay of the flight record must reproduce every decision. It would report a single changed action.
    flight_record::ReplayResult replay = flight_record::replay(harness.flight_record_bytes);
    EXPECT_TRUE(replay.same()) << replay.difference;
    EXPECT_GT(replay.batches, 600u);
  }
}

}  // namespace
}  // namespace beamshunt::assigner::test
