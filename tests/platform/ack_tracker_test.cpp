// Tests which nonces an ack releases, when a nonce is overdue, and which lines are reported after a handover.
#include "platform/ack_tracker.h"

#include <gtest/gtest.h>

namespace beamshunt::platform {
namespace {

constexpr ConnectionId kFirst{1};
constexpr ConnectionId kSecond{2};
constexpr ProxyId kFirstProxy{10};
constexpr ProxyId kSecondProxy{20};
constexpr Ms kMaxUpdateDelay = 500;

struct AckTrackerTest : ::testing::Test {
  AckTrackerTest() { acks.start_controller(); }

  std::uint32_t send(ConnectionId connection, ProxyId proxy, Ms now, double lines = 4) {
    std::uint32_t nonce = acks.next_nonce();
    acks.add_update(connection, proxy, nonce, ++sequence_number, lines, now);
    return nonce;
  }
  template <typename T>
  std::vector<T> events() const {
    std::vector<T> found;
    for (const Event& event : outputs.events)
      if (const auto* one = std::get_if<T>(&event)) found.push_back(*one);
    return found;
  }

  Outputs outputs;
  AckTracker acks{outputs};
  std::uint32_t sequence_number = 0;
};

TEST_F(AckTrackerTest, AckReleasesAllNoncesUpToItsOwn) {
  send(kFirst, kFirstProxy, 0);
  std::uint32_t second = send(kFirst, kFirstProxy, 10);
  send(kFirst, kFirstProxy, 20);
  EXPECT_EQ(acks.acknowledge(kFirst, second, 110), AckTracker::AckResult::acknowledged);
  auto released = events<UpdateAcknowledged>();
  ASSERT_EQ(released.size(), 2u);
  EXPECT_EQ(released[0].sequence_number, 1u);
  EXPECT_EQ(released[0].delay, Duration(110));
  EXPECT_EQ(released[1].sequence_number, 2u);
  EXPECT_EQ(released[1].delay, Duration(100));
  EXPECT_TRUE(acks.has_unacknowledged(kFirst));
}

// The channel is slow, and a nonce is released before its ack arrives. The ack is late, which is not an error
// of the proxy. An ack of a nonce that was never sent on the stream is an error.
TEST_F(AckTrackerTest, LateAckIsDistinguishedFromAnUnknownNonce) {
  std::uint32_t nonce = send(kFirst, kFirstProxy, 0);
  acks.release_oldest(kFirst, 100);
  EXPECT_EQ(acks.acknowledge(kFirst, nonce, 200), AckTracker::AckResult::late);
  EXPECT_EQ(acks.acknowledge(kFirst, nonce + 1, 200), AckTracker::AckResult::unknown);
  EXPECT_EQ(acks.acknowledge(kSecond, nonce, 200), AckTracker::AckResult::unknown);
}

// A proxy's machine vanishes and its connection stays open and silent. Only the acks of other proxies reveal
// this: a later message was acknowledged, and the maximum delay has passed since.
TEST_F(AckTrackerTest, NonceIsOverdueAfterTheAckOfALaterNonce) {
  send(kFirst, kFirstProxy, 0);
  std::uint32_t later = send(kSecond, kSecondProxy, 10);
  EXPECT_FALSE(acks.overdue_sent_at(kFirst, kMaxUpdateDelay, 5000)) << "the channel may be slow";
  acks.acknowledge(kSecond, later, 5000);
  EXPECT_FALSE(acks.overdue_sent_at(kFirst, kMaxUpdateDelay, 6500));
  EXPECT_EQ(acks.overdue_sent_at(kFirst, kMaxUpdateDelay, 6501), 0);
}

// Only earlier messages were acknowledged, so there is no evidence that this one has left the channel.
TEST_F(AckTrackerTest, AckOfAnEarlierNonceMakesNoNonceOverdueBeforeTheMaximumWait) {
  std::uint32_t earlier = send(kSecond, kSecondProxy, 0);
  send(kFirst, kFirstProxy, 10);
  acks.acknowledge(kSecond, earlier, 20);
  EXPECT_FALSE(acks.overdue_sent_at(kFirst, kMaxUpdateDelay, 20010));
  EXPECT_TRUE(acks.overdue_sent_at(kFirst, kMaxUpdateDelay, 20011));
}

// New settings replace the controller while messages of the previous one are in the channel. Their lines
// count until they are acknowledged or their stream ends; their sequence numbers have no meaning for the new
// controller.
TEST_F(AckTrackerTest, LinesOfAPreviousControllerAreReportedUntilTheyAreReleased) {
  std::uint32_t previous_nonce = send(kFirst, kFirstProxy, 0, 4);
  send(kSecond, kSecondProxy, 0, 5);
  acks.start_controller();
  acks.carry_over(kFirst);
  acks.carry_over(kSecond);
  EXPECT_EQ(acks.external_lines(), 9);
  acks.acknowledge(kFirst, previous_nonce, 100);
  EXPECT_TRUE(events<UpdateAcknowledged>().empty());
  ASSERT_EQ(events<SharedChannelUsage>().size(), 1u);
  EXPECT_EQ(events<SharedChannelUsage>()[0].queued_lines, 5);
  acks.remove(kSecond);
  ASSERT_EQ(events<SharedChannelUsage>().size(), 2u);
  EXPECT_EQ(events<SharedChannelUsage>()[1].queued_lines, 0);
}

TEST_F(AckTrackerTest, LivenessCheckIsReportedAsUsageByAnotherSender) {
  std::uint32_t nonce = acks.next_nonce();
  acks.add_liveness_check(kFirst, kFirstProxy, nonce, 4, 0);
  ASSERT_EQ(events<SharedChannelUsage>().size(), 1u);
  EXPECT_EQ(events<SharedChannelUsage>()[0].queued_lines, 4);
  EXPECT_EQ(events<SharedChannelUsage>()[0].messages_sent, (std::map<ProxyId, int>{{kFirstProxy, 1}}));
  EXPECT_EQ(acks.acknowledge(kFirst, nonce, 50), AckTracker::AckResult::acknowledged);
  EXPECT_EQ(events<SharedChannelUsage>()[1].queued_lines, 0);
  EXPECT_TRUE(events<UpdateAcknowledged>().empty());
}

// Lines of the present controller are never reported to it as usage by another sender, even if the stream
// ends while they are in flight.
TEST_F(AckTrackerTest, EndOfAStreamReportsNoLinesOfThePresentController) {
  send(kFirst, kFirstProxy, 0);
  acks.remove(kFirst);
  EXPECT_TRUE(outputs.events.empty());
  EXPECT_FALSE(acks.has_unacknowledged(kFirst));
}

}  // namespace
}  // namespace beamshunt::platform
