// Unit tests of AckTracker, UpdateChannel, MessageHistory, Session and SessionTable.
#include <gtest/gtest.h>

#include "assigner/ack_tracker.h"
#include "assigner/message_history.h"
#include "assigner/session_table.h"
#include "assigner/update_channel.h"

namespace beamshunt::assigner::test {
namespace {

UnacknowledgedMessage message(std::uint64_t sequence, Ms send_at, double lines = 5) {
  return {.sequence = sequence, .send_at = send_at, .lines = lines, .ack_requests = {7}};
}

TEST(AckTracker, AcknowledgementCoversAllEarlierMessages) {
  AckTracker tracker;
  for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) tracker.add(message(sequence, 10.0 * sequence));
  auto acknowledged = tracker.acknowledge(3);
  ASSERT_EQ(acknowledged.size(), 3u);
  for (std::uint64_t index = 0; index < 3; ++index) EXPECT_EQ(acknowledged[index].sequence, index + 1);
  EXPECT_EQ(acknowledged[0].ack_requests, std::vector<std::uint32_t>{7});
  ASSERT_EQ(tracker.messages().size(), 1u);
  EXPECT_EQ(tracker.oldest().sequence, 4u);
}

// A proxy acknowledges a message twice, as after a lost reply. Newer messages must stay unacknowledged.
TEST(AckTracker, RepeatedAcknowledgementHasNoEffect) {
  AckTracker tracker;
  tracker.add(message(1, 10));
  tracker.add(message(2, 20));
  EXPECT_EQ(tracker.acknowledge(1).size(), 1u);
  EXPECT_TRUE(tracker.acknowledge(1).empty());
  EXPECT_TRUE(tracker.acknowledge(0).empty());
  EXPECT_EQ(tracker.messages().size(), 1u);
}

TEST(AckTracker, DeadlineIsTheTimeoutAfterTheOldestMessageIsSent) {
  AckTracker tracker;
  EXPECT_FALSE(tracker.deadline(100));
  tracker.add(message(1, 50));
  tracker.add(message(2, 80));
  EXPECT_EQ(tracker.deadline(100), 150);
  tracker.acknowledge(1);
  EXPECT_EQ(tracker.deadline(100), 180);
  tracker.acknowledge(2);
  EXPECT_FALSE(tracker.deadline(100));
}

TEST(UpdateChannel, MessagesAreSentOneAfterTheOtherAtTheChannelsRate) {
  UpdateChannel channel;
  EXPECT_FALSE(channel.next_due());
  EXPECT_EQ(channel.reserve(20, 1000, 500), 520);
  channel.enqueue({520, StreamId{1}, nullptr});
  EXPECT_EQ(channel.reserve(10, 1000, 505), 530);  // after the first message
  channel.enqueue({530, StreamId{2}, nullptr});
  EXPECT_EQ(channel.queued_messages(), 2u);
  EXPECT_EQ(channel.next_due(), 520);
  EXPECT_FALSE(channel.pop_due(519));
  EXPECT_EQ(channel.pop_due(520)->stream, StreamId{1});
  EXPECT_FALSE(channel.pop_due(520));
  EXPECT_EQ(channel.pop_due(1000)->stream, StreamId{2});
  EXPECT_EQ(channel.queued_messages(), 0u);
}

TEST(UpdateChannel, UnusedCapacityIsNotAccumulatedWhileIdle) {
  UpdateChannel channel;
  channel.reserve(20, 1000, 500);
  EXPECT_EQ(channel.reserve(10, 1000, 9000), 9010);
  EXPECT_EQ(channel.idle_at(), 9010);
}

TEST(MessageHistory, CountsMessagesWithinTheWindowAndRetainsThemForALongerOne) {
  MessageHistory history;
  for (int k = 0; k < 10; ++k) history.add(1000.0 * k, 2000);
  EXPECT_EQ(history.count(9000, 2000), 3u);  // at 7000, 8000 and 9000
  EXPECT_EQ(history.count(9000, 60000), 10u);
  history.add(61000, 2000);
  EXPECT_EQ(history.count(61000, 60000), 10u);  // the message of time 0 is more than a minute old
}

TEST(Session, ReportsEachTimeoutWhenItExpires) {
  const SessionTimeouts timeouts{.handshake = 500, .heartbeat = 200, .ack = 1000};
  Session session;
  EXPECT_EQ(session.next_check(timeouts), 500);
  EXPECT_EQ(session.check(timeouts, 500), SessionCheck::handshake_timed_out);
  session.state = SessionState::proxy;
  session.last_received_at = 100;
  session.last_sent_at = 150;
  EXPECT_EQ(session.next_check(timeouts), 350);
  EXPECT_EQ(session.check(timeouts, 349), SessionCheck::none);
  EXPECT_EQ(session.check(timeouts, 350), SessionCheck::ping_due);
  EXPECT_EQ(session.check(timeouts, 700), SessionCheck::unresponsive);
}

// A proxy answers pings but applies no updates. Its unacknowledged messages would occupy the channel's queue
// forever and block the updates of all other proxies: the oldest message is overdue even though the proxy
// responds.
TEST(Session, UnacknowledgedMessageIsOverdueWhileTheProxyResponds) {
  const SessionTimeouts timeouts{.handshake = 500, .heartbeat = 200, .ack = 1000};
  Session session;
  session.state = SessionState::proxy;
  session.ack_tracker.add(message(1, 100));
  session.last_received_at = 1050;
  EXPECT_EQ(session.next_check(timeouts), 1100);
  EXPECT_EQ(session.check(timeouts, 1099), SessionCheck::none);
  EXPECT_EQ(session.check(timeouts, 1100), SessionCheck::ack_overdue);
}

// A peer opens a stream while this assigner dials the peer, so that one instance has two streams. When the
// accepted stream ends, the dialled one must stay in the index.
TEST(SessionTable, PeerStaysIndexedUntilItsDialledStreamEnds) {
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

TEST(SessionTable, ReturnsTheEarliestDueCheckFirst) {
  const SessionTimeouts timeouts{.handshake = 500, .heartbeat = 200, .ack = 1000};
  SessionTable table;
  EXPECT_FALSE(table.next_due());
  auto later = table.open(StreamId{1}, 300);
  auto sooner = table.open(StreamId{2}, 100);
  table.schedule_check(later, timeouts);
  table.schedule_check(sooner, timeouts);
  EXPECT_EQ(table.next_due(), 600);
  EXPECT_EQ(table.find_due(599), table.end());
  EXPECT_EQ(table.find_due(600), sooner);
  table.erase(sooner);
  EXPECT_EQ(table.next_due(), 800);
}

}  // namespace
}  // namespace beamshunt::assigner::test
