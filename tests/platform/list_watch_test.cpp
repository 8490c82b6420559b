// Which watch counts: every order of what two of them tell, fail and close.
#include "platform/list_watch.h"

#include <gtest/gtest.h>

#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace beamshunt::platform {
namespace {

TEST(ListWatch, HandsOutObjectsWholeWhateverThePieces) {
  ListWatch list(1);
  std::vector<ListWatch::Number> closed;
  auto n = list.open(closed);
  const std::string bytes = "{\"rev\":1}\n\n \r\n{\"rev\":2}\n{\"rev";
  for (std::size_t size = 1; size <= bytes.size(); ++size) {
    ListWatch one(1);
    auto number = one.open(closed);
    std::vector<std::string> objects;
    for (std::size_t from = 0; from < bytes.size(); from += size)
      for (auto& o : one.bytes(number, std::string_view(bytes).substr(from, size))) objects.push_back(o);
    EXPECT_EQ(objects, (std::vector<std::string>{"{\"rev\":1}", "{\"rev\":2}"})) << size;
  }
  EXPECT_TRUE(list.bytes(n + 1, "{}\n").empty()) << "no such watch";
}

TEST(ListWatch, TheFormerOneIsOverOnlyOnceTheNewOneTells) {
  ListWatch list(1);
  std::vector<ListWatch::Number> closed;
  auto first = list.open(closed);
  list.tells(first);
  auto second = list.open(closed);
  EXPECT_TRUE(closed.empty());
  EXPECT_EQ(list.bytes(first, "{}\n").size(), 1u);
  EXPECT_EQ(list.tells(second), std::vector{first});
  EXPECT_TRUE(list.bytes(first, "{}\n").empty());
  EXPECT_EQ(list.ended(first, 0), ListWatch::Loss::none);
}

TEST(ListWatch, NoMoreThanTwoAreOpenHoweverOftenItMoves) {
  ListWatch list(1);
  std::vector<ListWatch::Number> closed;
  list.tells(list.open(closed));
  for (int k = 0; k < 50; ++k) list.open(closed);
  EXPECT_EQ(closed.size(), 49u);
  EXPECT_EQ(list.open_watches(), 2u);
}

TEST(ListWatch, TheListIsLostWithTheLastWatchAlone) {
  using Loss = ListWatch::Loss;
  std::vector<ListWatch::Number> closed;
  ListWatch list(1);
  auto first = list.open(closed);
  list.tells(first);
  auto second = list.open(closed);
  EXPECT_EQ(list.ended(second, 0), Loss::newest);
  EXPECT_EQ(list.ended(second, 0), Loss::none) << "twice";
  EXPECT_EQ(list.ended(first, 0), Loss::list_lost);
  auto third = list.open(closed);
  list.tells(third);
  auto fourth = list.open(closed);
  EXPECT_EQ(list.ended(third, 0), Loss::none) << "the fourth is on its way";
  EXPECT_EQ(list.ended(fourth, 0), Loss::list_lost);
}

TEST(ListWatch, RetriesAreSpreadAndBoundedAndBeginAnewOnceItTells) {
  std::set<Ms> first;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    ListWatch list(seed);
    std::vector<ListWatch::Number> closed;
    for (int k = 0; k < 12; ++k) {
      list.ended(list.open(closed), 1000);
      EXPECT_GE(list.retry_at(), 1125);
      EXPECT_LE(list.retry_at(), 3000);
      if (k == 0) first.insert(list.retry_at());
    }
    EXPECT_GE(list.retry_at(), 2000);
    list.tells(list.open(closed));
    list.ended(list.open(closed), 1000);
    EXPECT_LE(list.retry_at(), 1250);
  }
  EXPECT_EQ(first.size(), 20u) << "assigners that lose one discovery do not come back together";
}

TEST(ListWatch, AnObjectWithoutEndIsNotHeldForever) {
  ListWatch list(1);
  std::vector<ListWatch::Number> closed;
  auto n = list.open(closed);
  std::string block(1 << 20, 'x');
  EXPECT_THROW(for (int k = 0; k < 6; ++k) list.bytes(n, block), std::runtime_error);
}

}  // namespace
}  // namespace beamshunt::platform
