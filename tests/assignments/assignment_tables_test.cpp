// What a module's orders come to for each proxy.
#include "assignments/assignment_tables.h"

#include <gtest/gtest.h>

namespace beamshunt::assignments {
namespace {

struct AssignmentTablesTest : ::testing::Test {
  AssignmentTables tables{2};
  std::map<ProxyId, std::vector<Update>> written;
  AssignmentTables::WriteUpdate write = [this](ProxyId p, const Update& o) { written[p].push_back(o); };
  ProxyId one{1}, two{2};
  TableId shared{7}, home{8};
  EndpointId a{10}, b{11};
  void SetUp() override {
    tables.register_proxy(one), tables.register_proxy(two);
    tables.apply(SetWeight{shared, a, 1.5}, write);
    tables.apply(SetAdmissionLimit{shared, false, 2, 30, RetryMode::if_not_processed}, write);
    tables.apply(ExcludeEndpoint{b, true}, write);
    written.clear();
  }
};

TEST_F(AssignmentTablesTest, ABindTellsLinesLevelsAndWithdrawalsAndMovesTheClassesThere) {
  tables.apply(AssignTable{0, one, shared}, write);
  ASSERT_EQ(written[one].size(), 4u);
  EXPECT_EQ(std::get<TableAssigned>(written[one][0]).classes, 3u);
  EXPECT_EQ(std::get<WeightChanged>(written[one][1]).weight, 1.5);
  EXPECT_EQ(std::get<LimitChanged>(written[one][2]).limit, (AdmissionLimit{30, RetryMode::if_not_processed}));
  EXPECT_TRUE(std::get<EndpointExcluded>(written[one][3]).excluded);
  EXPECT_TRUE(written[two].empty());
  tables.apply(AssignTable{2, one, home}, write);
  EXPECT_EQ(tables.classes_using(one, shared), 1u);
  EXPECT_EQ(tables.classes_using(one, home), 2u);
  tables.apply(AssignTable{1, one, home}, write);
  EXPECT_EQ(tables.classes_using(one, shared), 0u);
  EXPECT_EQ(tables.tables_of(one).size(), 1u);
}

TEST_F(AssignmentTablesTest, ChangesReachTheUsersOfATableAndNobodyElse) {
  tables.apply(AssignTable{0, one, shared}, write);
  written.clear();
  tables.apply(SetWeight{shared, b, 2}, write);
  tables.apply(ClearTable{shared}, write);
  tables.apply(SetWeight{home, b, 2}, write);
  EXPECT_EQ(written[one].size(), 2u);
  EXPECT_TRUE(written[two].empty());
  EXPECT_TRUE(tables.tables().at(shared).weights.empty());
  EXPECT_TRUE(tables.tables().at(shared).limits.empty());
}

TEST_F(AssignmentTablesTest, WhoHasLeftIsWrittenNothingAndABindOfItHasNoEffect) {
  tables.apply(AssignTable{0, one, shared}, write);
  tables.remove_proxy(one);
  written.clear();
  tables.apply(SetWeight{shared, b, 2}, write);
  tables.apply(AssignTable{0, one, shared}, write);
  tables.apply(ExcludeEndpoint{b, false}, write);
  EXPECT_TRUE(written[one].empty());
  EXPECT_EQ(written[two].size(), 1u);
  EXPECT_TRUE(tables.tables().at(shared).proxies.empty());
}

TEST_F(AssignmentTablesTest, OfATablesLevelAndThatOfAllTheLowerHoldsWithTheTablesOwnRetryMode) {
  tables.apply(SetAdmissionLimit{{}, true, 0, 20, RetryMode::twice}, write);
  EXPECT_EQ(tables.effective_limit(shared, ClassId{1}), (AdmissionLimit{20, RetryMode::if_not_processed}));
  EXPECT_EQ(tables.effective_limit(shared, ClassId{0}), (AdmissionLimit{20, RetryMode::twice}));
  tables.apply(SetAdmissionLimit{{}, true, 0, 90, RetryMode::twice}, write);
  EXPECT_EQ(tables.effective_limit(shared, ClassId{1}), (AdmissionLimit{30, RetryMode::if_not_processed}));
  EXPECT_EQ(written[one].size(), 2u);
}

}  // namespace
}  // namespace beamshunt::assignments
