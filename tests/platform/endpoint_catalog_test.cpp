// Tests how list objects of discovery change the catalog, and how invalid values in them are handled.
#include "platform/endpoint_catalog.h"

#include <gtest/gtest.h>

#include "nested_json.h"
#include "platform/core_harness.h"

namespace beamshunt::platform::test {
namespace {

const settings::Names kNames{{"north", "south"}, {"look", "buy"}};

struct EndpointCatalogTest : ::testing::Test {
  EndpointCatalog catalog;
  EndpointCatalog::Change apply(const json& object, Ms now = 1000, double wall_now = 5e11) {
    return catalog.apply(object.dump(), kNames, now, wall_now);
  }
  EndpointState state(const char* uid) const {
    for (const ListedEndpoint& e : catalog.listed())
      if (e.id == catalog.find(uid)) return e.state;
    return EndpointState::removed;
  }
};

TEST_F(EndpointCatalogTest, IdsDependOnlyOnUidsAndMapBackToThem) {
  apply(four_endpoints());
  EndpointCatalog other;
  other.apply(endpoint_list(9, true,
                            {endpoint_entry("s-d", "south"), endpoint_entry("s-x", "north"),
                             endpoint_entry("s-a", "north")})
                  .dump(),
              kNames, 0, 0);
  for (const char* uid : {"s-a", "s-d"}) {
    EXPECT_EQ(catalog.find(uid), other.find(uid));
    EXPECT_EQ(*catalog.uid(*catalog.find(uid)), uid);
  }
  EXPECT_FALSE(catalog.find("s-x"));
}

TEST_F(EndpointCatalogTest, IncrementalListChangesSomeEntriesAndCompleteListRemovesUnlisted) {
  apply(four_endpoints());
  auto change = apply(endpoint_list(6, false, {endpoint_entry("s-b", "north", "terminating")}));
  EXPECT_EQ(change.list.kind, EndpointListKind::incremental);
  EXPECT_EQ(change.list.entries.size(), 1u);
  EXPECT_EQ(state("s-b"), EndpointState::draining);
  EXPECT_EQ(state("s-a"), EndpointState::available);
  apply(endpoint_list(7, true, {endpoint_entry("s-a", "north")}));
  EXPECT_EQ(catalog.listed().size(), 1u);
  EXPECT_EQ(state("s-c"), EndpointState::removed);
  EXPECT_EQ(catalog.version(), 7u);
  EXPECT_TRUE(catalog.uid(*catalog.find("s-c"))) << "updates that remove its weight still name it";
}

// Entries contain invalid values. A drain in the same entry or in another one is binding, so it must be
// applied; the version is requested again.
TEST_F(EndpointCatalogTest, InvalidValueAffectsNeitherOtherEntriesNorADrainInTheSameEntry) {
  apply(four_endpoints());
  json draining = endpoint_entry("s-a", "nowhere", "terminating");
  draining["capacity_hint"] = -4, draining["endpoint"] = 7, draining["boot_ms"] = "x",
  draining["pod_group"] = 1.5;
  json without_uid = endpoint_entry("", "north");
  auto change = apply(
      endpoint_list(6, false,
                    {draining, without_uid, 3, endpoint_entry("s-n", "nowhere"),
                     endpoint_entry("s-b", "north", "odd"), endpoint_entry("s-c", "south", "terminating")}));
  EXPECT_EQ(state("s-a"), EndpointState::draining);
  EXPECT_EQ(state("s-b"), EndpointState::available) << "the previous state is kept";
  EXPECT_EQ(state("s-c"), EndpointState::draining);
  EXPECT_FALSE(catalog.find("s-n")) << "locality and state have no defaults";
  EXPECT_EQ(change.errors.size(), 9u);
  EXPECT_EQ(catalog.version(), 5u) << "a revision applied in part is requested again";
  EXPECT_TRUE(catalog.address(*catalog.find("s-a"))) << "the previous address is kept";
}

// A capacity that no other can be compared with would make quotients of capacities infinite.
TEST_F(EndpointCatalogTest, CapacityOutOfRangeIsInvalidAndThePreviousOneStays) {
  json entry = endpoint_entry("s-a", "north");
  entry["capacity_hint"] = 3.0;
  apply(endpoint_list(5, true, {entry}));
  for (double capacity : {0.0, 1e-310, 1e-12, 1e9, 1e300}) {
    entry["capacity_hint"] = capacity;
    EXPECT_EQ(apply(endpoint_list(6, false, {entry})).errors.size(), 1u) << capacity;
    EXPECT_EQ(catalog.listed()[0].capacity, 3.0) << capacity;
  }
}

// A value with 400,000 levels is one invalid value like any other: it costs neither the process nor a drain.
TEST_F(EndpointCatalogTest, DeeplyNestedValueAffectsNoOtherEntry) {
  apply(four_endpoints());
  json draining = endpoint_entry("s-a", "north", "terminating");
  draining["capacity_hint"] = "@";
  std::string bytes =
      endpoint_list(6, false, {draining, endpoint_entry("s-b", "north", "terminating")}).dump();
  bytes.replace(bytes.find("\"@\""), 3, beamshunt::test::nested_arrays());
  auto change = catalog.apply(bytes, kNames, 0, 0);
  EXPECT_EQ(state("s-a"), EndpointState::draining);
  EXPECT_EQ(state("s-b"), EndpointState::draining);
  ASSERT_EQ(change.errors.size(), 1u);
  EXPECT_EQ(change.errors[0].field, "capacity_hint");
}

// Discovery restarts from an older state. Its changes are still valid.
TEST_F(EndpointCatalogTest, LowerRevisionIsApplied) {
  apply(four_endpoints());
  apply(endpoint_list(2, false, {endpoint_entry("s-b", "north", "terminating")}));
  EXPECT_EQ(state("s-b"), EndpointState::draining);
  EXPECT_EQ(catalog.version(), 2u);
}

// An older watch, or a source that lags behind, delivers an outdated revision. New information in it is
// applied, but no draining or removed endpoint becomes available through it.
TEST_F(EndpointCatalogTest, OutdatedRevisionRevertsNoDrainAndNoStart) {
  apply(four_endpoints());
  json restarted = endpoint_entry("s-c", "south");
  restarted["boot_ms"] = 5e11 - 100;
  apply(endpoint_list(9, false,
                      {endpoint_entry("s-a", "north", "terminating"),
                       endpoint_entry("s-b", "north", "terminated"), restarted}));
  for (bool complete :
       {false, true}) {  // an older watch's changes, or a complete list from a source that lags
    json outdated_list = four_endpoints();
    outdated_list["all"] = complete, outdated_list["rev"] = complete ? 6 : 8;
    outdated_list["targets"].push_back(endpoint_entry("s-n", "north"));
    auto change = apply(outdated_list);
    EXPECT_TRUE(change.outdated);
    EXPECT_EQ(change.list.kind, EndpointListKind::incremental)
        << "it lacks the endpoints that were added since";
    EXPECT_EQ(state("s-a"), EndpointState::draining);
    EXPECT_EQ(state("s-b"), EndpointState::removed);
    EXPECT_EQ(state("s-n"), EndpointState::available);
    for (const ListedEndpoint& e : catalog.listed())
      EXPECT_EQ(e.start_time_known, e.id == catalog.find("s-c"));
    for (const ListedEndpoint& e : change.list.entries) EXPECT_EQ(e.id, catalog.find("s-n"));
  }
  EXPECT_EQ(catalog.version(), 6u) << "later changes are requested again from this revision on";
  apply(endpoint_list(10, false, {endpoint_entry("s-a", "north")}));
  EXPECT_EQ(state("s-a"), EndpointState::available) << "a newer revision may revert a drain";
}

// One revision is partly malformed, and valid ones follow. The lost part may contain a drain, so the version
// must stay below that revision until the list is requested again.
TEST_F(EndpointCatalogTest, MalformedRevisionIsRequestedAgainEvenIfLaterOnesAreValid) {
  apply(four_endpoints());
  apply(endpoint_list(6, false, {endpoint_entry("s-a", "north", "odd")}));
  apply(endpoint_list(7, false, {endpoint_entry("s-b", "north", "terminating")}));
  EXPECT_EQ(catalog.version(), 5u) << "revision 6 may have contained a drain";
  catalog.on_resubscribe();
  apply(endpoint_list(
      7, false,
      {endpoint_entry("s-a", "north", "terminating"), endpoint_entry("s-b", "north", "terminating")}));
  EXPECT_EQ(catalog.version(), 7u);
}

// New settings name other localities. Endpoints outside them are no longer listed, and the remaining ones get
// the new locality numbers.
TEST_F(EndpointCatalogTest, NewLocalitiesRemoveEndpointsOutsideThem) {
  apply(four_endpoints());
  catalog.update_localities({{"west", "south"}, {"look"}});
  ASSERT_EQ(catalog.listed().size(), 2u);
  for (const ListedEndpoint& e : catalog.listed()) EXPECT_EQ(e.locality, Locality{1});
  EXPECT_EQ(catalog.version(), 0u);
}

// The wall clock is adjusted while endpoints run. If an endpoint's start time were computed anew from each
// object, it would shift and look like a restart, which would trigger a slow start.
TEST_F(EndpointCatalogTest, StartTimeDoesNotChangeWithTheWallClock) {
  json entry = endpoint_entry("s-a", "north");
  entry["boot_ms"] = 5e11 - 400;
  auto first = apply(endpoint_list(1, true, {entry})).list.entries[0];
  EXPECT_TRUE(first.start_time_known);
  EXPECT_EQ(first.start_time, Time(Duration(600)));
  EXPECT_EQ(apply(endpoint_list(2, false, {entry}), 2000, 5e11 + 9000).list.entries[0].start_time,
            first.start_time);
  entry["boot_ms"] = 5e11 + 1500;
  EXPECT_EQ(apply(endpoint_list(3, false, {entry}), 2000, 5e11 + 1000).list.entries[0].start_time,
            Time(Duration(2500)));
}

// All endpoints are replaced every minute for hours. Memory must not grow, but updates still name an endpoint
// for some time after its removal.
TEST_F(EndpointCatalogTest, RemovedEndpointsAreDroppedAfterARetentionTime) {
  Ms now = 1000;
  std::string previous_uid;
  for (int k = 0; k < 500; ++k) {
    std::vector<json> present;
    for (int i = 0; i < 20; ++i) {
      present.push_back(endpoint_entry("s-" + std::to_string(k) + "-" + std::to_string(i), "north"));
      if (k > 0)
        present.push_back(
            endpoint_entry("s-" + std::to_string(k - 1) + "-" + std::to_string(i), "north", "terminated"));
    }
    apply(endpoint_list(static_cast<std::uint64_t>(k) + 1, false, present), now += 60000);
    EXPECT_TRUE(previous_uid.empty() || catalog.uid(*catalog.find(previous_uid)))
        << "an update may still have to remove its weight";
    previous_uid = "s-" + std::to_string(k) + "-0";
  }
  EXPECT_LE(catalog.size(), 20u * 7);
  EXPECT_FALSE(catalog.find("s-1-0"));
  EXPECT_EQ(catalog.listed().size(), 20u);
}

// Discovery returns bytes that are not a list object. They are rejected as a whole.
TEST_F(EndpointCatalogTest, InvalidListObjectChangesNothing) {
  apply(four_endpoints());
  for (const char* invalid : {"", "[]", "{", R"({"rev":1,"all":true})", R"({"rev":1,"targets":[]})",
                              R"({"rev":-1,"all":true,"targets":[]})", R"({"rev":1,"all":1,"targets":[]})"})
    EXPECT_THROW(catalog.apply(invalid, kNames, 0, 0), EndpointListError) << invalid;
  EXPECT_EQ(catalog.listed().size(), 4u);
}

}  // namespace
}  // namespace beamshunt::platform::test
