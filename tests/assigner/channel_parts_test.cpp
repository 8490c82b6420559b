// The parts of the update channel by themselves: unacknowledged messages, pace, history, session time-outs.
#include <gtest/gtest.h>

#include "assigner/ack_tracker.h"
#include "assigner/message_history.h"
#include "assigner/session_table.h"
#include "assigner/update_channel.h"

namespace beamshunt::assigner::test {
namespace {

UnacknowledgedMessage message(std::uint64_t sequence, Ms leaves_at, double lines = 5) {
  return {.sequence = sequence, .leaves_at = leaves_at, .lines = lines, .ack_requests = {7}};
}

TEST(AckTracker, AnAcknowledgementCoversAllMessagesBeforeIt) {
  AckTracker acks;
  for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) acks.add(message(sequence, 10.0 * sequence));
  auto acknowledged = acks.acknowledge(3);
  ASSERT_EQ(acknowledged.size(), 3u);
  for (std::uint64_t k = 0; k < 3; ++k) EXPECT_EQ(acknowledged[k].sequence, k + 1);
  EXPECT_EQ(acknowledged[0].ack_requests, std::vector<std::uint32_t>{7});
  ASSERT_EQ(acks.messages().size(), 1u);
  EXPECT_EQ(acks.oldest().sequence, 4u);
}

// A proxy acknowledges the same message twice, as after a lost answer. What is newer must not be touched.
TEST(AckTracker, ARepeatedAcknowledgementChangesNothing) {
  AckTracker acks;
  acks.add(message(1, 10));
  acks.add(message(2, 20));
  EXPECT_EQ(acks.acknowledge(1).size(), 1u);
  EXPECT_TRUE(acks.acknowledge(1).empty());
  EXPECT_TRUE(acks.acknowledge(0).empty());
  EXPECT_EQ(acks.messages().size(), 1u);
}

TEST(AckTracker, TheDeadlineIsThatOfTheOldestFromItsLeaving) {
  AckTracker acks;
  EXPECT_FALSE(acks.deadline(100));
  acks.add(message(1, 50));
  acks.add(message(2, 80));
  EXPECT_EQ(acks.deadline(100), 150);
  acks.acknowledge(1);
  EXPECT_EQ(acks.deadline(100), 180);
  acks.acknowledge(2);
  EXPECT_FALSE(acks.deadline(100));
}

TEST(UpdateChannel, MessagesLeaveOneAfterTheOtherAtThePace) {
  UpdateChannel channel;
  EXPECT_FALSE(channel.next_due());
  EXPECT_EQ(channel.reserve(20, 1000, 500), 520);
  channel.enqueue({520, StreamId{1}, nullptr});
  EXPECT_EQ(channel.reserve(10, 1000, 505), 530);  // behind the first
  channel.enqueue({530, StreamId{2}, nullptr});
  EXPECT_EQ(channel.queued(), 2u);
  EXPECT_EQ(channel.next_due(), 520);
  EXPECT_FALSE(channel.take_due(519));
  EXPECT_EQ(channel.take_due(520)->stream, StreamId{1});
  EXPECT_FALSE(channel.take_due(520));
  EXPECT_EQ(channel.take_due(1000)->stream, StreamId{2});
  EXPECT_EQ(channel.queued(), 0u);
}

TEST(UpdateChannel, AnIdleTimeIsNotSavedUp) {
  UpdateChannel channel;
  channel.reserve(20, 1000, 500);
  EXPECT_EQ(channel.reserve(10, 1000, 9000), 9010);
  EXPECT_EQ(channel.free_at(), 9010);
}

TEST(MessageHistory, CountsWithinTheWindowAndKeepsEnoughForALongerOne) {
  MessageHistory history;
  for (int k = 0; k < 10; ++k) history.add(1000.0 * k, 2000);
  EXPECT_EQ(history.count(9000, 2000), 3u);  // at 7000, 8000 and 9000
  EXPECT_EQ(history.count(9000, 60000), 10u);
  history.add(61000, 2000);
  EXPECT_EQ(history.count(61000, 60000), 10u);  // that of time 0 is over a minute old
}

TEST(Session, IsCheckedWhenSomethingMayBeDue) {
  const SessionTimeouts timeouts{.handshake = 500, .heartbeat = 200, .ack = 1000};
  Session session;
  EXPECT_EQ(session.next_check(timeouts), 500);
  EXPECT_EQ(session.check(timeouts, 500), SessionCheck::handshake_timed_out);
  session.state = SessionState::proxy;
  session.last_received_at = 100;
  session.last_sent_at = 150;
  EXPECT_EQ(session.next_check(timeouts), 350);
  EXPECT_EQ(session.check(timeouts, 349), SessionCheck::nothing);
  EXPECT_EQ(session.check(timeouts, 350), SessionCheck::ping_due);
  EXPECT_EQ(session.check(timeouts, 700), SessionCheck::unresponsive);
}

// A proxy answers pings and applies nothing. Its messages would hold the channel's lines for ever, and with
// them every other proxy's updates: it is overdue by the oldest message, however alive it is.
TEST(Session, AnUnacknowledgedMessageIsOverdueWhileTheProxyLives) {
  const SessionTimeouts timeouts{.handshake = 500, .heartbeat = 200, .ack = 1000};
  Session session;
  session.state = SessionState::proxy;
  session.acks.add(message(1, 100));
  session.last_received_at = 1050;
  EXPECT_EQ(session.next_check(timeouts), 1100);
  EXPECT_EQ(session.check(timeouts, 1099), SessionCheck::nothing);
  EXPECT_EQ(session.check(timeouts, 1100), SessionCheck::ack_overdue);
}

// A peer dials in and is dialled at the same time: two streams of one instance. The end of the one that came
// in must not take the other one's place.
TEST(SessionTable, OnlyTheDialledStreamOfAPeerLeavesTheIndex) {
  SessionTable table;
  auto dialled = table.open(StreamId{1}, 0);
  table.register_dialled_peer(dialled, 7);
  auto accepted = table.open(StreamId{2}, 0);
  accepted->second.state = SessionState::peer;
  accepted->second.id = 7;
  table.erase(accepted);
  EXPECT_TRUE(table.dialled_peers().contains(7));
  table.erase(dialled);
  EXPECT_FALSE(table.dialled_peers().contains(7));
}

TEST(SessionTable, ChecksComeInTheOrderOfTheirTimes) {
  const SessionTimeouts timeouts{.handshake = 500, .heartbeat = 200, .ack = 1000};
  SessionTable table;
  EXPECT_FALSE(table.next_due());
  auto later = table.open(StreamId{1}, 300);
  auto sooner = table.open(StreamId{2}, 100);
  table.schedule_check(later, timeouts);
  table.schedule_check(sooner, timeouts);
  EXPECT_EQ(table.next_due(), 600);
  EXPECT_EQ(table.due(599), table.end());
  EXPECT_EQ(table.due(600), sooner);
  table.erase(sooner);
  EXPECT_EQ(table.next_due(), 800);
}

}  // namespace
}  // namespace beamshunt::assigner::test
