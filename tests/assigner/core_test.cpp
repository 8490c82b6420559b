// The assigner's core in simulated time: what every stream, list and update comes to, and every bad input.
#include "assigner/core.h"

#include <gtest/gtest.h>

#include "assigner/core_harness.h"
#include "flight_record/replay.h"
#include "seeded_random.h"

namespace beamshunt::assigner::test {
namespace {

TEST(Core, AJoinedProxyIsBoundWithTheListsServersAndConfirms) {
  CoreHarness harness;
  harness.run_once();
  ASSERT_TRUE(
      std::holds_alternative<OpenEndpointWatch>(harness.other_effects.at(harness.other_effects.size() - 1)) ||
      harness.other_effects.size() > 1);
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4, 1, 3}));
  StreamId p = harness.register_proxy(0);
  ASSERT_EQ(harness.received<native_protocol::Welcome>(p).size(), 1u);
  EXPECT_EQ(harness.received<native_protocol::Welcome>(p)[0].epoch, 1u);
  harness.advance_responsive({p}, 500);
  auto tables = harness.weight_tables(p);
  ASSERT_EQ(tables.size(), 2u);
  for (auto& [number, lines] : tables)
    for (std::uint32_t local : {2u, 4u}) EXPECT_TRUE(lines.contains(local)) << number;
  auto orders = harness.received<native_protocol::UpdateMessage>(p);
  for (std::size_t k = 0; k < orders.size(); ++k) EXPECT_EQ(orders[k].sequence, k + 1);
  EXPECT_EQ(harness.core.unacknowledged_lines(), 0);
  auto* line = std::get_if<native_protocol::WeightUpdate>(&orders[0].updates[1]);
  ASSERT_TRUE(line);
  EXPECT_EQ(line->ip >> 24, 127u);
  EXPECT_EQ(line->port, 8000);
}

// An endpoint is told to terminate and leaves when its grace is over. A proxy that still has it in a table
// then sends requests to nobody: every proxy must be rid of it before, and none may be left without
// endpoints.
TEST(Core, ADrainReachesEveryProxyWithinItsGrace) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4, 6}));
  std::vector<StreamId> all{harness.register_proxy(0), harness.register_proxy(1), harness.register_proxy(2)};
  harness.advance_responsive(all, 1500);
  for (StreamId p : all)
    for (auto& [number, lines] : harness.weight_tables(p)) ASSERT_TRUE(lines.contains(4));
  harness.deliver_endpoint_list(endpoint_list_json("changes", 2, {4}, "terminating"));
  harness.advance_responsive(all, 900);
  for (StreamId p : all)
    for (auto& [number, lines] : harness.weight_tables(p)) {
      EXPECT_FALSE(lines.contains(4));
      EXPECT_FALSE(lines.empty());
    }
}

// Whatever can reach the port connects: a port scanner, a web client, an older proxy, a proxy with another
// site's settings. Each is refused with a reason that names what is wrong, and the proxy that does well
// notices nothing.
TEST(Core, StreamsThatSayNothingOrRubbishEndAloneWithOneReason) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4}));
  StreamId good = harness.register_proxy(0);
  StreamId silent = harness.open_stream("127.10.1.9:1");
  StreamId rubbish = harness.open_stream("127.10.1.10:1");
  harness.send_bytes(rubbish, "GET / HTTP/1.1\r\n\r\n");
  StreamId huge = harness.open_stream("127.10.1.11:1");
  harness.send_bytes(huge, std::string("\x00\xff\xff\xff\x01", 5));
  StreamId old = harness.open_stream("127.10.1.12:1");
  harness.send_frame(old, native_protocol::Hello{.version = 9});
  StreamId stranger = harness.open_stream("127.99.1.1:1");
  harness.send_frame(stranger, native_protocol::Hello{.proxy = 5, .locality = "north"});
  StreamId liar = harness.open_stream("127.10.1.13:1");
  harness.send_frame(liar, native_protocol::Hello{.proxy = 6, .locality = "south"});
  StreamId early = harness.open_stream("127.10.1.14:1");
  harness.send_frame(early, native_protocol::Acknowledgement{1});
  harness.advance_responsive({good}, 1000);
  EXPECT_NE(harness.refusal_reason(silent).find("no hello in time"), std::string::npos);
  EXPECT_NE(harness.refusal_reason(rubbish).find("at byte 0: a frame of"), std::string::npos);
  EXPECT_NE(harness.refusal_reason(huge).find("at byte 0: a frame of 16777215 bytes, 1024 are allowed"),
            std::string::npos);
  EXPECT_NE(harness.refusal_reason(old).find("protocol version 9, this side speaks 1"), std::string::npos);
  EXPECT_NE(harness.refusal_reason(stranger).find("in no locality"), std::string::npos);
  EXPECT_NE(harness.refusal_reason(liar).find("says it is in \"south\", its address is in \"north\""),
            std::string::npos);
  EXPECT_NE(harness.refusal_reason(early).find("applied frame is out of place"), std::string::npos);
  for (StreamId id : {silent, rubbish, huge, old, stranger, liar, early}) EXPECT_TRUE(harness.is_closed(id));
  EXPECT_FALSE(harness.is_closed(good));
  EXPECT_EQ(harness.core.proxy_count(), 1u);
}

// A proxy acknowledges a message that it was never sent, or reports on a class that does not exist: the two
// sides have lost count, and only a new stream brings them together again.
TEST(Core, AConfirmationOfWhatWasNeverSentEndsTheStream) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId p = harness.register_proxy(0);
  harness.send_frame(p, native_protocol::Acknowledgement{99});
  EXPECT_TRUE(harness.is_closed(p));
  StreamId q = harness.register_proxy(1);
  harness.send_frame(q, native_protocol::LoadReportMessage{1, 250, {}, {{9, 1, 0}}});
  EXPECT_NE(harness.refusal_reason(q).find("a report on class 9, there are 2"), std::string::npos);
}

// A proxy's machine loses power, and no packet says so. The stream would stay open for ever and the proxy
// count as registered: pings are sent, and without a byte for three heartbeats the stream is ended.
TEST(Core, AHalfOpenStreamIsFoundByItsSilence) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId p = harness.register_proxy(0);
  harness.advance(550);
  EXPECT_FALSE(harness.is_closed(p));
  EXPECT_GE(harness.received<native_protocol::Ping>(p).size(), 1u);
  harness.advance(200);
  EXPECT_TRUE(harness.is_closed(p));
  EXPECT_EQ(harness.core.proxy_count(), 0u);
}

// A proxy answers pings and applies no update. Its messages would hold the channel's lines for ever, and
// other proxies' updates with them: its stream is ended once the oldest acknowledgement is overdue.
TEST(Core, AProxyThatLivesAndDoesNotApplyIsCutOff) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId deaf = harness.register_proxy(0), good = harness.register_proxy(1);
  for (int k = 0; k < 220 && !harness.is_closed(deaf); ++k) {
    harness.send_frame(deaf, native_protocol::Ping{1});
    harness.advance_responsive({good}, 50);
  }
  EXPECT_TRUE(harness.is_closed(deaf));
  EXPECT_NE(harness.refusal_reason(deaf).find("message 1 is not confirmed"), std::string::npos);
  EXPECT_FALSE(harness.is_closed(good));
}

// A stranger announces a long frame and sends it slowly, on many streams: before the handshake each may make
// the assigner hold only what a hello needs.
TEST(Core, WhoHasNotSaidWhoHeIsGetsLittleMemory) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId s = harness.open_stream("127.10.1.1:1");
  harness.send_bytes(s, std::string("\x00\x00\x08\x00\x01", 5));
  EXPECT_NE(harness.refusal_reason(s).find("a frame of 2048 bytes, 1024 are allowed"), std::string::npos);
  // A report may follow the hello at once, and be longer than a hello may be.
  StreamId p = harness.open_stream("127.10.1.2:1");
  native_protocol::LoadReportMessage report{.sequence = 1, .interval_ms = 250};
  for (std::uint32_t e = 0; e < 200; ++e) report.endpoints.push_back({e, 1, 0, 20, {}});
  harness.send_bytes(p, native_protocol::encode(native_protocol::Hello{
                            .proxy = 1, .incarnation = 1, .attempt = 1, .locality = "north"}) +
                            native_protocol::encode(report));
  EXPECT_FALSE(harness.is_closed(p));
  EXPECT_EQ(harness.core.counters().reports, 1u);
}

// A proxy's network breaks for a moment, and it dials again before the assigner notices that the former
// stream is dead. The newer stream of the same run takes the place of the older one.
TEST(Core, TheSameRunDialsAgainAndReplacesItsOldStream) {
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

// A second proxy is started with an id that is in use. If it pushed the first one out, the first would dial
// again and push it out in turn, for ever. The second is refused while the first lives.
TEST(Core, ASecondProxyByTheSameNameIsRefusedWhileTheFirstLives) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId first = harness.register_proxy(0, 77, 1);
  StreamId thief = harness.register_proxy(0, 88, 1);
  EXPECT_TRUE(harness.is_closed(thief));
  EXPECT_FALSE(harness.is_closed(first));
  EXPECT_EQ(harness.received<native_protocol::Refuse>(thief).at(0).code,
            native_protocol::RefuseCode::id_in_use);
  // The first falls silent, as a machine that lost power does: its successor gets in.
  harness.advance(650);
  StreamId successor = harness.register_proxy(0, 99, 1);
  harness.advance_responsive({successor}, 300);
  EXPECT_FALSE(harness.is_closed(successor));
}

// A proxy disconnects while a message to it waits for its turn in the channel. The message is dropped and
// counted; the others keep their places.
TEST(Core, MessagesLeaveAtTheChannelsPaceAndAreDroppedWithTheirStream) {
  CoreHarness harness;
  std::vector<std::uint32_t> many;
  for (std::uint32_t id = 2; id < 400; id += 2) many.push_back(id);
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, many));
  StreamId a = harness.register_proxy(0);
  EXPECT_TRUE(harness.received<native_protocol::UpdateMessage>(a)
                  .empty());  // some hundred lines take their time at 2000/s
  harness.advance(20);
  EXPECT_TRUE(harness.received<native_protocol::UpdateMessage>(a).empty());
  harness.advance(400);
  ASSERT_EQ(harness.received<native_protocol::UpdateMessage>(a).size(), 1u);
  auto m = harness.received<native_protocol::UpdateMessage>(a)[0];
  EXPECT_EQ(m.lines, static_cast<double>(m.updates.size()) + 3);
  StreamId b = harness.register_proxy(1);
  harness.core.stream_closed(b, "reset", harness.now);
  harness.advance(400);
  EXPECT_EQ(harness.core.counters().dropped_messages, 1u);
}

// The discovery service sends a list with one impossible value. Its other values can't be trusted either: the
// list is rejected as a whole, the log says where it is wrong, and proxies keep the endpoints of the last
// good one.
TEST(Core, ABadListIsRefusedAsAWholeAndTheLastGoodOneStays) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4}));
  StreamId p = harness.register_proxy(0);
  harness.advance_responsive({p}, 300);
  for (const std::string& bad :
       {std::string("rubbish"), std::string("{}"), endpoint_list_json("total", 2, {2, 2}),
        endpoint_list_json("odd", 2, {2}), endpoint_list_json("total", 2, {2}, "asleep"),
        std::string(R"({"kind":"total","version":2,"entries":[{"id":-4}]})"),
        std::string(R"({"kind":"total","version":2,"entries":[{"id":6,"locality":"west"}]})"),
        std::string(
            R"({"kind":"total","version":2,"entries":[{"id":6,"locality":"north","cell":0,"size":-1}]})")})
    harness.deliver_endpoint_list(bad);
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "not a JSON object"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "kind is missing"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "entries[1]: id is given twice"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "state \"asleep\" is unknown"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "id is -4"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "locality \"west\" is unknown"));
  EXPECT_TRUE(harness.has_logged("endpoint_list_rejected", "size is -1"));
  harness.advance_responsive({p}, 2000);
  for (auto& [number, lines] : harness.weight_tables(p)) EXPECT_EQ(lines.size(), 2u);
}

// The assigner restarts while discovery is down. Proxies that register are served from the list that it held
// before.
TEST(Core, AfterARestartTheWarmCopyServesBeforeTheListDoes) {
  std::string saved;
  {
    CoreHarness harness;
    harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4}));
    for (Effect& e : harness.other_effects)
      if (std::get_if<SaveEndpointList>(&e)) saved = harness.core.encoded_endpoint_list();
  }
  ASSERT_FALSE(saved.empty());
  CoreHarness again(decode_cached_list(saved), 2);
  StreamId p = again.register_proxy(0);
  again.core.endpoint_list_lost("refused");
  again.advance_responsive({p}, 500);
  ASSERT_FALSE(again.weight_tables(p).empty());
  for (auto& [number, lines] : again.weight_tables(p)) EXPECT_EQ(lines.size(), 2u);
  EXPECT_EQ(again.received<native_protocol::Welcome>(p)[0].epoch, 2u);
}

// Somebody who is not in the settings says that he is a peer, or a peer's instance comes from another
// address: its notes would reach the controllers, so it is refused.
TEST(Core, PeersAreDialledAndOnlyKnownOnesAreLetIn) {
  CoreHarness harness;
  harness.run_once();
  bool dialled = false;
  for (Effect& e : harness.other_effects)
    if (auto* dial = std::get_if<DialPeer>(&e)) dialled |= dial->instance == 7;
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

// More clients connect than the settings allow, as after a broken deployment: those beyond the limit are
// refused, and those there stay.
TEST(Core, MoreStreamsThanAllowedAreTurnedAway) {
  CoreHarness harness;
  std::vector<StreamId> all;
  for (int k = 0; k < 52; ++k) all.push_back(harness.open_stream("127.10.1.1:1"));
  EXPECT_FALSE(harness.is_closed(all[49]));
  EXPECT_TRUE(harness.is_closed(all[50]));
  EXPECT_TRUE(harness.is_closed(all[51]));
}

// The assigner is stopped. Each proxy is told so, and dials another assigner without waiting for a time-out.
TEST(Core, StoppingTellsEveryStream) {
  CoreHarness harness;
  harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2}));
  StreamId p = harness.register_proxy(0);
  harness.core.stop(harness.now);
  harness.run_once();
  EXPECT_EQ(harness.received<native_protocol::Refuse>(p).at(0).code, native_protocol::RefuseCode::stopping);
  EXPECT_TRUE(harness.is_closed(p));
  StreamId late = harness.open_stream("127.10.1.2:1");
  EXPECT_TRUE(harness.is_closed(late));
}

// Seeded faults for simulated minutes: proxies register, fall silent, break off and send rubbish; lists come,
// drain endpoints and are lost. Whatever happens, updates come in sequence, the queue keeps its limit, and
// once it is calm all proxies are served.
TEST(Core, KeepsItsWordThroughSeededFaults) {
  for (std::uint32_t seed = 1; seed <= 12; ++seed) {
    CoreHarness harness;
    beamshunt::test::SeededRandom draw(seed);
    harness.deliver_endpoint_list(endpoint_list_json("total", 1, {2, 4, 6, 8}));
    std::map<std::uint32_t, StreamId> streams;
    std::map<std::uint32_t, std::uint32_t> attempts;
    std::uint64_t version = 1;
    auto rejoin = [&](std::uint32_t proxy) {
      streams[proxy] = harness.register_proxy(proxy, 1, ++attempts[proxy]);
    };
    for (std::uint32_t proxy = 0; proxy < 6; ++proxy) rejoin(proxy);
    for (int step = 0; step < 600; ++step) {
      std::uint32_t proxy = draw(6);
      StreamId s = streams[proxy];
      switch (draw(12)) {
        case 0:
          harness.core.stream_closed(s, "reset", harness.now), harness.run_once(), rejoin(proxy);
          break;
        case 1:
          rejoin(proxy);
          break;
        case 2:
          harness.send_bytes(s, "rubbish"), rejoin(proxy);
          break;
        case 3:
          harness.deliver_endpoint_list(endpoint_list_json("changes", ++version, {2 + 2 * draw(3)},
                                                           draw(2) ? "terminating" : "in_service"));
          break;
        case 4:
          harness.core.endpoint_list_lost("gone"), harness.run_once();
          break;
        case 5:
          harness.deliver_endpoint_list(endpoint_list_json("total", ++version, {2, 4, 6, 8}));
          break;
        case 6:
          if (!harness.is_closed(s))
            harness.send_frame(
                s, native_protocol::LoadReportMessage{
                       std::uint64_t(step) + 1, 250, {{2, 10, draw(10), 30, {}}}, {{0, draw(50), 0}}});
          break;
        default: {
          std::vector<StreamId> all;
          for (auto& [id, stream] : streams) all.push_back(stream);
          harness.advance_responsive(all, 40 + draw(200));
        }
      }
      for (auto& [id, stream] : streams)
        if (harness.is_closed(stream)) rejoin(id);
      ASSERT_LE(harness.core.unacknowledged_lines(), harness.settings.policy.max_queued_lines)
          << "seed " << seed;
    }
    harness.deliver_endpoint_list(endpoint_list_json("total", ++version, {2, 4, 6, 8}));
    std::vector<StreamId> all;
    for (auto& [id, stream] : streams) all.push_back(stream);
    harness.advance_responsive(all, 3000);
    for (StreamId stream : all) {
      ASSERT_FALSE(harness.is_closed(stream)) << "seed " << seed;
      std::uint64_t next = 1;
      for (auto& m : harness.received<native_protocol::UpdateMessage>(stream))
        ASSERT_EQ(m.sequence, next++) << "seed " << seed;
      auto tables = harness.weight_tables(stream);
      ASSERT_EQ(tables.size(), 2u) << "seed " << seed;
      for (auto& [number, lines] : tables) EXPECT_FALSE(lines.empty()) << "seed " << seed;
    }
    // The flight record of all this replays; with one action changed it does not.
    flight_record::ReplayResult replay = flight_record::replay(harness.flight_record_bytes);
    EXPECT_TRUE(replay.same()) << replay.difference;
    EXPECT_GT(replay.batches, 600u);
  }
}

}  // namespace
}  // namespace beamshunt::assigner::test
