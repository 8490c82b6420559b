// Edge cases of max-min shares. controller_test.cpp contains the typical cases.
#include "policy/max_min_fairness.h"

#include <gtest/gtest.h>

namespace beamshunt::test {
namespace {

TEST(MaxMinFairness, TreatsNegativeValuesAsZero) {
  EXPECT_EQ(max_min_shares(-5, {2, 8}), (std::vector<double>{0, 0}));
  EXPECT_EQ(max_min_shares(6, {-1, 8}), (std::vector<double>{0, 6}));
}

TEST(MaxMinFairness, SplitsTheRemainderOfSmallDemandsEvenlyAmongLargerDemands) {
  EXPECT_EQ(max_min_shares(12, {20, 1, 3, 9}), (std::vector<double>{4, 1, 3, 4}));
}

}  // namespace
}  // namespace beamshunt::test
