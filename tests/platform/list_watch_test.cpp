// Which watch counts: every order of what two of them tell, fail and close.
#include "platform/list_watch.h"

#include <gtest/gtest.h>

#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace beamshunt::platform {
namespace {

// Opens a watch; `closed` receives those that are over by it.
ListWatch::Id open(ListWatch& list, std::vector<ListWatch::Id>& closed) {
  ListWatch::Opened opened = list.open();
  closed.insert(closed.end(), opened.superseded.begin(), opened.superseded.end());
  return opened.id;
}

TEST(ListWatch, HandsOutObjectsWholeWhateverThePieces) {
  ListWatch list(1);
  std::vector<ListWatch::Id> closed;
  auto n = open(list, closed);
  const std::string bytes = "{\"rev\":1}\n\n \r\n{\"rev\":2}\n{\"rev";
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    ListWatch one(1);
    auto number = open(one, closed);
    std::vector<std::string> objects;
    for (std::size_t from = 0; from < bytes.size(); from += size)
      for (auto& o : one.receive(number, std::string_view(bytes).substr(from, size))) objects.push_back(o);
    EXPECT_EQ(objects, (std::vector<std::string>{"{\"rev\":1}", "{\"rev\":2}"})) << size;
  }
  EXPECT_TRUE(list.receive(n + 1, "{}\n").empty()) << "no such watch";
}

TEST(ListWatch, TheFormerOneIsOverOnlyOnceTheNewOneTells) {
  ListWatch list(1);
  std::vector<ListWatch::Id> closed;
  auto first = open(list, closed);
  list.mark_serving(first);
  auto second = open(list, closed);
  EXPECT_TRUE(closed.empty());
  EXPECT_EQ(list.receive(first, "{}\n").size(), 1u);
  EXPECT_EQ(list.mark_serving(second), std::vector{first});
  EXPECT_TRUE(list.receive(first, "{}\n").empty());
  EXPECT_EQ(list.end(first, 0), ListWatch::EndEffect::none);
}

TEST(ListWatch, NoMoreThanTwoAreOpenHoweverOftenItMoves) {
  ListWatch list(1);
  std::vector<ListWatch::Id> closed;
  list.mark_serving(open(list, closed));
  for (int k = 0; k < 50; ++k) open(list, closed);
  EXPECT_EQ(closed.size(), 49u);
  EXPECT_EQ(list.open_count(), 2u);
}

TEST(ListWatch, TheListIsLostWithTheLastWatchAlone) {
  using EndEffect = ListWatch::EndEffect;
  std::vector<ListWatch::Id> closed;
  ListWatch list(1);
  auto first = open(list, closed);
  list.mark_serving(first);
  auto second = open(list, closed);
  EXPECT_EQ(list.end(second, 0), EndEffect::newest_lost);
  EXPECT_EQ(list.end(second, 0), EndEffect::none) << "twice";
  EXPECT_EQ(list.end(first, 0), EndEffect::all_lost);
  auto third = open(list, closed);
  list.mark_serving(third);
  auto fourth = open(list, closed);
  EXPECT_EQ(list.end(third, 0), EndEffect::none) << "the fourth is on its way";
  EXPECT_EQ(list.end(fourth, 0), EndEffect::all_lost);
}

TEST(ListWatch, RetriesAreSpreadAndBoundedAndBeginAnewOnceItTells) {
  std::set<Ms> first;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    ListWatch list(seed);
    std::vector<ListWatch::Id> closed;
    for (int k = 0; k < 12; ++k) {
      list.end(open(list, closed), 1000);
      EXPECT_GE(list.retry_at(), 1125);
      EXPECT_LE(list.retry_at(), 3000);
      if (k == 0) first.insert(list.retry_at());
    }
    EXPECT_GE(list.retry_at(), 2000);
    list.mark_serving(open(list, closed));
    list.end(open(list, closed), 1000);
    EXPECT_LE(list.retry_at(), 1250);
  }
  EXPECT_EQ(first.size(), 20u) << "assigners that lose one discovery do not come back together";
}

TEST(ListWatch, AnObjectWithoutEndIsNotHeldForever) {
  ListWatch list(1);
  std::vector<ListWatch::Id> closed;
  auto n = open(list, closed);
  std::string block(1 << 20, 'x');
  EXPECT_THROW(for (int k = 0; k < 6; ++k) list.receive(n, block), WatchError);
}

}  // namespace
}  // namespace beamshunt::platform
