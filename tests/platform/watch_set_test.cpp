// Which watch counts: every order of what two of them tell, fail and close.
#include "platform/watch_set.h"

#include <gtest/gtest.h>

#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace beamshunt::platform {
namespace {

// Opens a watch; `closed` receives those that are over by it.
WatchSet::Id open(WatchSet& list, std::vector<WatchSet::Id>& closed) {
  WatchSet::Opened opened = list.open();
  closed.insert(closed.end(), opened.superseded.begin(), opened.superseded.end());
  return opened.id;
}

TEST(WatchSet, HandsOutCompleteObjectsWhateverThePieces) {
  WatchSet list(1);
  std::vector<WatchSet::Id> closed;
  auto n = open(list, closed);
  const std::string bytes = "{\"rev\":1}\n\n \r\n{\"rev\":2}\n{\"rev";
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    WatchSet one(1);
    auto number = open(one, closed);
    std::vector<std::string> objects;
    for (std::size_t from = 0; from < bytes.size(); from += size)
      for (auto& o : one.receive(number, std::string_view(bytes).substr(from, size))) objects.push_back(o);
    EXPECT_EQ(objects, (std::vector<std::string>{"{\"rev\":1}", "{\"rev\":2}"})) << size;
  }
  EXPECT_TRUE(list.receive(n + 1, "{}\n").empty()) << "no such watch";
}

// Discovery has moved and the new watch has brought nothing yet. Until it does, the former one is the only
// source of drains.
TEST(WatchSet, AFormerWatchIsOverOnlyOnceTheNewOneServes) {
  WatchSet list(1);
  std::vector<WatchSet::Id> closed;
  auto first = open(list, closed);
  list.mark_active(first);
  auto second = open(list, closed);
  EXPECT_TRUE(closed.empty());
  EXPECT_EQ(list.receive(first, "{}\n").size(), 1u);
  EXPECT_EQ(list.mark_active(second), std::vector{first});
  EXPECT_TRUE(list.receive(first, "{}\n").empty());
  EXPECT_EQ(list.end(first, 0), WatchSet::EndResult::none);
}

// Discovery moves again and again. Each watch holds a descriptor, so no more than the serving one and the
// newest stay open.
TEST(WatchSet, NoMoreThanTwoAreOpenHoweverOftenItMoves) {
  WatchSet list(1);
  std::vector<WatchSet::Id> closed;
  list.mark_active(open(list, closed));
  for (int k = 0; k < 50; ++k) open(list, closed);
  EXPECT_EQ(closed.size(), 49u);
  EXPECT_EQ(list.open_count(), 2u);
}

// Watches end in every order. The list is lost only when none is left; with a newer one on its way, the end
// of a former one means nothing.
TEST(WatchSet, TheListIsLostWithTheLastWatchAlone) {
  using EndResult = WatchSet::EndResult;
  std::vector<WatchSet::Id> closed;
  WatchSet list(1);
  auto first = open(list, closed);
  list.mark_active(first);
  auto second = open(list, closed);
  EXPECT_EQ(list.end(second, 0), EndResult::newest_lost);
  EXPECT_EQ(list.end(second, 0), EndResult::none) << "twice";
  EXPECT_EQ(list.end(first, 0), EndResult::all_lost);
  auto third = open(list, closed);
  list.mark_active(third);
  auto fourth = open(list, closed);
  EXPECT_EQ(list.end(third, 0), EndResult::none) << "the fourth is on its way";
  EXPECT_EQ(list.end(fourth, 0), EndResult::all_lost);
}

// Discovery goes down and all assigners lose their watches at once. Coming back together, they would
// overload it.
TEST(WatchSet, RetriesAreSpreadAndBoundedAndBeginAnewOnceAWatchServes) {
  std::set<Ms> first;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    WatchSet list(seed);
    std::vector<WatchSet::Id> closed;
    for (int k = 0; k < 12; ++k) {
      list.end(open(list, closed), 1000);
      EXPECT_GE(list.retry_at(), 1125);
      EXPECT_LE(list.retry_at(), 3000);
      if (k == 0) first.insert(list.retry_at());
    }
    EXPECT_GE(list.retry_at(), 2000);
    list.mark_active(open(list, closed));
    list.end(open(list, closed), 1000);
    EXPECT_LE(list.retry_at(), 1250);
  }
  EXPECT_EQ(first.size(), 20u) << "assigners that lose one discovery do not come back together";
}

// A broken source sends bytes without a line end. They must not fill the memory.
TEST(WatchSet, AnObjectWithoutEndIsNotHeldForever) {
  WatchSet list(1);
  std::vector<WatchSet::Id> closed;
  auto n = open(list, closed);
  std::string block(1 << 20, 'x');
  EXPECT_THROW(for (int k = 0; k < 6; ++k) list.receive(n, block), WatchError);
}

}  // namespace
}  // namespace beamshunt::platform
