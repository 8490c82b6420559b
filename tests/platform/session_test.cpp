// Tests the time and size limits of one connection.
#include "platform/session.h"

#include <gtest/gtest.h>

namespace beamshunt::platform {
namespace {

TEST(Session, ReturnsMessagesWithoutBlankLines) {
  Session session(0);
  session.receive("{}\n\n \r\n{\"a\":1}\n{", 0);
  EXPECT_EQ(session.next_message(), "{}");
  EXPECT_EQ(session.next_message(), "{\"a\":1}");
  EXPECT_FALSE(session.next_message());
  EXPECT_EQ(session.unfinished_bytes(), 1u);
}

// An unknown peer connects and sends nothing, or never completes its message.
TEST(Session, HandshakeTimesOutAfterOneSecondUnlessThePeerRegisters) {
  Session unregistered(100);
  EXPECT_FALSE(unregistered.handshake_timed_out(1099));
  EXPECT_TRUE(unregistered.handshake_timed_out(1100));
  Session collector(100);
  collector.register_collector();
  EXPECT_FALSE(collector.handshake_timed_out(5000));
}

// A peer sends a message byte by byte. The timeout starts at the message's first byte, not at its latest one.
TEST(Session, MessageTimesOutThreeSecondsAfterItsFirstByte) {
  Session session(0);
  session.receive("{}\n{", 1000);
  while (session.next_message()) {
  }
  session.receive(" ", 3900);
  EXPECT_FALSE(session.next_message());
  EXPECT_FALSE(session.message_timed_out(3999));
  EXPECT_TRUE(session.message_timed_out(4000));
  session.receive("}\n", 4000);
  EXPECT_TRUE(session.next_message());
  EXPECT_FALSE(session.message_timed_out(9000)) << "no message is incomplete";
}

TEST(Session, OnlyRegisteredPeersMaySendLongMessages) {
  const std::string message = "{" + std::string(5000, ' ') + "}\n";
  Session unregistered(0);
  unregistered.receive(message, 0);
  EXPECT_THROW(static_cast<void>(unregistered.next_message()), ProtocolError);
  Session registered(0);
  registered.register_proxy({});
  registered.receive(message, 0);
  EXPECT_TRUE(registered.next_message());
}

TEST(Session, FourConsecutiveMalformedMessagesAreTooMany) {
  Session session(0);
  for (int k = 0; k < 3; ++k) EXPECT_FALSE(session.count_malformed_message());
  session.count_valid_message();
  for (int k = 0; k < 3; ++k) EXPECT_FALSE(session.count_malformed_message());
  EXPECT_TRUE(session.count_malformed_message());
}

TEST(Session, SentMessagesBeforeTheWindowAreNotCounted) {
  Session session(0);
  for (Ms now : {0, 100, 200}) session.count_sent_message(now);
  EXPECT_EQ(session.sent_messages_within(1000, 1000), 3u);
  EXPECT_EQ(session.sent_messages_within(1000, 1150), 1u);
}

}  // namespace
}  // namespace beamshunt::platform
