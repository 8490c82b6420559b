// Tests which watches stay open and when the list is lost, for watches that deliver, fail and close in any
// order.
#include "platform/watch_set.h"

#include <gtest/gtest.h>

#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace beamshunt::platform {
namespace {

// Opens a watch and appends the superseded watches to `closed`.
WatchSet::Id open(WatchSet& watches, std::vector<WatchSet::Id>& closed) {
  WatchSet::Opened opened = watches.open();
  closed.insert(closed.end(), opened.superseded.begin(), opened.superseded.end());
  return opened.id;
}

TEST(WatchSet, ReturnsCompleteObjectsForChunksOfAnySize) {
  WatchSet watches(1);
  std::vector<WatchSet::Id> closed;
  auto opened = open(watches, closed);
  const std::string bytes = "{\"rev\":1}\n\n \r\n{\"rev\":2}\n{\"rev";
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    WatchSet chunked(1);
    auto watch = open(chunked, closed);
    std::vector<std::string> objects;
    for (std::size_t from = 0; from < bytes.size(); from += size)
      for (auto& object : chunked.receive(watch, std::string_view(bytes).substr(from, size)))
        objects.push_back(object);
    EXPECT_EQ(objects, (std::vector<std::string>{"{\"rev\":1}", "{\"rev\":2}"})) << size;
  }
  EXPECT_TRUE(watches.receive(opened + 1, "{}\n").empty()) << "a watch that was never opened";
}

// Discovery has moved, and the new watch has delivered nothing yet. Until it does, the older watch is the
// only source of drains.
TEST(WatchSet, OlderWatchEndsOnlyWhenTheNewOneIsActive) {
  WatchSet watches(1);
  std::vector<WatchSet::Id> closed;
  auto first = open(watches, closed);
  watches.mark_active(first);
  auto second = open(watches, closed);
  EXPECT_TRUE(closed.empty());
  EXPECT_EQ(watches.receive(first, "{}\n").size(), 1u);
  EXPECT_EQ(watches.mark_active(second), std::vector{first});
  EXPECT_TRUE(watches.receive(first, "{}\n").empty());
  EXPECT_EQ(watches.end(first, 0), WatchSet::EndResult::none);
}

// Discovery moves repeatedly. Each watch uses a descriptor, so only the active and the newest watch stay
// open.
TEST(WatchSet, AtMostTwoWatchesAreOpenAfterRepeatedMoves) {
  WatchSet watches(1);
  std::vector<WatchSet::Id> closed;
  watches.mark_active(open(watches, closed));
  for (int k = 0; k < 50; ++k) open(watches, closed);
  EXPECT_EQ(closed.size(), 49u);
  EXPECT_EQ(watches.open_count(), 2u);
}

// Watches end in every order. The list is lost only when no watch is open; while a newer watch is open, the
// end of an older one has no effect.
TEST(WatchSet, ListIsLostOnlyWithTheLastWatch) {
  using EndResult = WatchSet::EndResult;
  std::vector<WatchSet::Id> closed;
  WatchSet watches(1);
  auto first = open(watches, closed);
  watches.mark_active(first);
  auto second = open(watches, closed);
  EXPECT_EQ(watches.end(second, 0), EndResult::newest_lost);
  EXPECT_EQ(watches.end(second, 0), EndResult::none) << "the second end of one watch";
  EXPECT_EQ(watches.end(first, 0), EndResult::all_lost);
  auto third = open(watches, closed);
  watches.mark_active(third);
  auto fourth = open(watches, closed);
  EXPECT_EQ(watches.end(third, 0), EndResult::none) << "the fourth watch is open";
  EXPECT_EQ(watches.end(fourth, 0), EndResult::all_lost);
}

// Discovery fails, and all assigners lose their watches at once. If they all reconnected at the same time,
// they would overload discovery.
TEST(WatchSet, RetryDelaysHaveJitterAndAMaximumAndResetOnceAWatchIsActive) {
  std::set<Ms> first;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    WatchSet watches(seed);
    std::vector<WatchSet::Id> closed;
    for (int k = 0; k < 12; ++k) {
      watches.end(open(watches, closed), 1000);
      EXPECT_GE(watches.retry_at(), 1125);
      EXPECT_LE(watches.retry_at(), 3000);
      if (k == 0) first.insert(watches.retry_at());
    }
    EXPECT_GE(watches.retry_at(), 2000);
    watches.mark_active(open(watches, closed));
    watches.end(open(watches, closed), 1000);
    EXPECT_LE(watches.retry_at(), 1250);
  }
  EXPECT_EQ(first.size(), 20u) << "each seed yields a different delay";
}

// A faulty source sends bytes without a line end. They must not exhaust the memory.
TEST(WatchSet, ObjectWithoutLineEndIsRejected) {
  WatchSet watches(1);
  std::vector<WatchSet::Id> closed;
  auto watch = open(watches, closed);
  std::string block(1 << 20, 'x');
  EXPECT_THROW(for (int k = 0; k < 6; ++k) watches.receive(watch, block), WatchError);
}

}  // namespace
}  // namespace beamshunt::platform
