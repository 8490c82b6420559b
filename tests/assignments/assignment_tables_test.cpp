// AssignmentTables: the updates that a controller's actions cause for each proxy.
#include "assignments/assignment_tables.h"

#include <gtest/gtest.h>

namespace beamshunt::assignments {
namespace {

struct AssignmentTablesTest : ::testing::Test {
  AssignmentTables tables{2};
  std::map<ProxyId, std::vector<Update>> written;
  AssignmentTables::WriteUpdate write = [this](ProxyId proxy, const Update& update) {
    written[proxy].push_back(update);
  };
  ProxyId first_proxy{1}, second_proxy{2};
  TableId table{7}, other_table{8};
  EndpointId a{10}, b{11};
  void SetUp() override {
    tables.register_proxy(first_proxy), tables.register_proxy(second_proxy);
    tables.apply(SetWeight{table, a, 1.5}, write);
    tables.apply(SetAdmissionLimit{table, false, 2, 30, RetryMode::if_not_processed}, write);
    tables.apply(ExcludeEndpoint{b, true}, write);
    written.clear();
  }
};

TEST_F(AssignmentTablesTest, AssigningATableSendsItsStateAndMovesTheClassesToIt) {
  tables.apply(AssignTable{0, first_proxy, table}, write);
  ASSERT_EQ(written[first_proxy].size(), 4u);
  EXPECT_EQ(std::get<TableAssigned>(written[first_proxy][0]).classes, 3u);
  EXPECT_EQ(std::get<WeightChanged>(written[first_proxy][1]).weight, 1.5);
  EXPECT_EQ(std::get<LimitChanged>(written[first_proxy][2]).limit,
            (AdmissionLimit{30, RetryMode::if_not_processed}));
  EXPECT_TRUE(std::get<EndpointExcluded>(written[first_proxy][3]).excluded);
  EXPECT_TRUE(written[second_proxy].empty());
  tables.apply(AssignTable{2, first_proxy, other_table}, write);
  EXPECT_EQ(tables.classes_using(first_proxy, table), 1u);
  EXPECT_EQ(tables.classes_using(first_proxy, other_table), 2u);
  tables.apply(AssignTable{1, first_proxy, other_table}, write);
  EXPECT_EQ(tables.classes_using(first_proxy, table), 0u);
  EXPECT_EQ(tables.tables_of(first_proxy).size(), 1u);
}

TEST_F(AssignmentTablesTest, TableChangesReachOnlyTheProxiesThatUseTheTable) {
  tables.apply(AssignTable{0, first_proxy, table}, write);
  written.clear();
  tables.apply(SetWeight{table, b, 2}, write);
  tables.apply(ClearTable{table}, write);
  tables.apply(SetWeight{other_table, b, 2}, write);
  EXPECT_EQ(written[first_proxy].size(), 2u);
  EXPECT_TRUE(written[second_proxy].empty());
  EXPECT_TRUE(tables.tables().at(table).weights.empty());
  EXPECT_TRUE(tables.tables().at(table).limits.empty());
}

TEST_F(AssignmentTablesTest, ARemovedProxyGetsNoUpdatesAndCannotBeAssignedATable) {
  tables.apply(AssignTable{0, first_proxy, table}, write);
  tables.remove_proxy(first_proxy);
  written.clear();
  tables.apply(SetWeight{table, b, 2}, write);
  tables.apply(AssignTable{0, first_proxy, table}, write);
  tables.apply(ExcludeEndpoint{b, false}, write);
  EXPECT_TRUE(written[first_proxy].empty());
  EXPECT_EQ(written[second_proxy].size(), 1u);
  EXPECT_TRUE(tables.tables().at(table).proxies.empty());
}

TEST_F(AssignmentTablesTest, TheLowerOfTableLimitAndGlobalLimitAppliesWithTheTablesRetryMode) {
  tables.apply(SetAdmissionLimit{{}, true, 0, 20, RetryMode::twice}, write);
  EXPECT_EQ(tables.effective_limit(table, ClassId{1}), (AdmissionLimit{20, RetryMode::if_not_processed}));
  EXPECT_EQ(tables.effective_limit(table, ClassId{0}), (AdmissionLimit{20, RetryMode::twice}));
  tables.apply(SetAdmissionLimit{{}, true, 0, 90, RetryMode::twice}, write);
  EXPECT_EQ(tables.effective_limit(table, ClassId{1}), (AdmissionLimit{30, RetryMode::if_not_processed}));
  EXPECT_EQ(written[first_proxy].size(), 2u);
}

}  // namespace
}  // namespace beamshunt::assignments
