// The flight record: the same decisions, the first other one, torn tails, damage.
#include <gtest/gtest.h>

#include "flight_record/replay.h"
#include "flight_record/writer.h"
#include "policy/controller_harness.h"

namespace beamshunt::flight_record {
namespace {

// A controller that is given a short life, and its record.
struct Flight {
  Settings settings = test::two_locality_settings();
  Controller controller{settings};
  std::string file = encode_controller_start(settings);
  std::vector<std::size_t> ends{file.size()};
  double now = 1000;

  std::vector<Action> step(std::vector<Event> events) {
    now += 500;
    Time at{Duration(now)};
    auto actions = controller.handle(at, events);
    file += encode_batch(at, events, actions);
    ends.push_back(file.size());
    return actions;
  }
  Flight() {
    step({EndpointList{EndpointListKind::cached, {test::make_endpoint(1, 0), test::make_endpoint(2, 1)}}});
    step({ProxyRegistered{ProxyId{3}, Locality{0}, 5, true}, PeerMessage{1, {1, 2, 3}}, TimerFired{0},
          HealthCheckResult{EndpointId{1}, AttemptOutcome::timed_out, Duration(5), {{"utilization", 0.5}}},
          UpdateAcknowledged{ProxyId{3}, Duration(9), 1}, ShardAssigned{TableId{1}, true},
          ShardOwnerReported{TableId{1}, EndpointId{2}, 1},
          ShardDemandReport{TableId{1}, ClassId{0}, 1, 0, Duration(500)}});
    step({EndpointReport{
              Locality{0}, EndpointId{1}, 10, 1, Duration(20), Duration(500), {{"utilization", 0.4}}},
          DemandReport{ProxyId{3}, ClassId{0}, 9, 0, Duration(500)}});
    step({EndpointList{EndpointListKind::incremental, {test::make_endpoint(4, 0)}},
          ProxyDisconnected{ProxyId{3}}});
  }
};

// An engineer replays the record of a night. The same events must give the same decisions, in a first run and
// in the run after a restart, which appends to the same file.
TEST(Record, TheModuleDecidesTheSameAgain) {
  Flight f;
  ReplayResult r = replay(f.file);
  EXPECT_TRUE(r.same()) << r.difference;
  EXPECT_EQ(r.runs, 1u);
  EXPECT_EQ(r.batches, 4u);
  EXPECT_GT(r.actions, 5u);
  ReplayResult twice = replay(f.file + f.file);  // a restart appends another opening
  EXPECT_EQ(twice.runs, 2u);
  EXPECT_TRUE(twice.same());
}

// A later version decides otherwise in one batch. The engineer is told which record, which action, and both
// decisions.
TEST(Record, TheFirstOtherActionIsNamed) {
  Flight f;
  Time at{Duration(f.now + 500)};
  auto actions = f.controller.handle(at, {TimerFired{0}});
  actions.emplace_back(LogMessage{"something that was never decided"});
  ReplayResult r = replay(f.file + encode_batch(at, {TimerFired{0}}, actions));
  EXPECT_FALSE(r.same());
  EXPECT_NE(r.difference.find("recorded remark something that was never decided, now nothing"),
            std::string::npos);
  EXPECT_NE(r.difference.find("record at " + std::to_string(f.file.size())), std::string::npos);
}

// The process is killed while it appends a record. The part that was written is no decision: the replay ends
// before it and says how many bytes it left out.
TEST(Record, ATornTailIsLeftOutWhereverItIsTorn) {
  Flight f;
  for (std::size_t cut = f.ends[0]; cut < f.file.size(); ++cut) {
    ReplayResult r = replay(std::string_view(f.file).substr(0, cut));
    EXPECT_TRUE(r.same());
    bool whole = std::count(f.ends.begin(), f.ends.end(), cut) > 0;
    EXPECT_EQ(r.torn_bytes == 0, whole) << cut;
  }
}

// A disk returns a changed byte in the middle of the file. That is not the torn tail of a kill: whole records
// follow, and a replay that stopped there would pass over them in silence. It is refused.
TEST(Record, DamageInTheMiddleIsNoTail) {
  Flight f;
  std::string bad = f.file;
  bad[f.ends[1] + 20] = static_cast<char>(bad[f.ends[1] + 20] ^ 4);
  EXPECT_THROW(replay(bad), std::runtime_error);
  try {
    replay(bad);
  } catch (const FlightRecordError& error) {
    EXPECT_EQ(error.record_offset, f.ends[1]);
  }
}

}  // namespace
}  // namespace beamshunt::flight_record
