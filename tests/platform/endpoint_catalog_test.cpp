// Discovery's objects: what they change, and what an unusable value in one leaves untouched.
#include "platform/endpoint_catalog.h"

#include <gtest/gtest.h>

#include "platform/rig.h"

namespace beamshunt::platform::test {
namespace {

const settings::Names kNames{{"north", "south"}, {"look", "buy"}};

struct EndpointCatalogTest : ::testing::Test {
  EndpointCatalog catalog;
  EndpointCatalog::Change apply(const json& object, Ms now = 1000, double wall = 5e11) {
    return catalog.apply(object.dump(), kNames, now, wall);
  }
  EndpointState state(const char* uid) const {
    for (const ListedEndpoint& e : catalog.listed())
      if (e.id == catalog.find(uid)) return e.state;
    return EndpointState::removed;
  }
};

TEST_F(EndpointCatalogTest, IdsComeFromNamesAloneAndLeadBack) {
  apply(four());
  EndpointCatalog other;
  other.apply(list(9, true, {target("s-d", "south"), target("s-x", "north"), target("s-a", "north")}).dump(),
              kNames, 0, 0);
  for (const char* uid : {"s-a", "s-d"}) {
    EXPECT_EQ(catalog.find(uid), other.find(uid));
    EXPECT_EQ(*catalog.uid(*catalog.find(uid)), uid);
  }
  EXPECT_FALSE(catalog.find("s-x"));
}

TEST_F(EndpointCatalogTest, ChangesNameSomeAWholeListNamesAll) {
  apply(four());
  auto change = apply(list(6, false, {target("s-b", "north", "terminating")}));
  EXPECT_EQ(change.list.kind, EndpointListKind::incremental);
  EXPECT_EQ(change.list.entries.size(), 1u);
  EXPECT_EQ(state("s-b"), EndpointState::draining);
  EXPECT_EQ(state("s-a"), EndpointState::available);
  apply(list(7, true, {target("s-a", "north")}));
  EXPECT_EQ(catalog.listed().size(), 1u);
  EXPECT_EQ(state("s-c"), EndpointState::removed);
  EXPECT_EQ(catalog.version(), 7u);
  EXPECT_TRUE(catalog.uid(*catalog.find("s-c"))) << "orders that remove its lines still name it";
}

// Entries come with values that can't be used. A drain in the same entry or in the next counts as told, so
// it must be applied; the version is requested again.
TEST_F(EndpointCatalogTest, AnUnusableValueStopsNeitherTheOtherEntriesNorTheDrainBesideIt) {
  apply(four());
  json drains = target("s-a", "nowhere", "terminating");
  drains["capacity_hint"] = -4, drains["endpoint"] = 7, drains["boot_ms"] = "x", drains["pod_group"] = 1.5;
  json nameless = target("", "north");
  auto change = apply(list(6, false,
                           {drains, nameless, 3, target("s-n", "nowhere"), target("s-b", "north", "odd"),
                            target("s-c", "south", "terminating")}));
  EXPECT_EQ(state("s-a"), EndpointState::draining);
  EXPECT_EQ(state("s-b"), EndpointState::available) << "what was said before holds";
  EXPECT_EQ(state("s-c"), EndpointState::draining);
  EXPECT_FALSE(catalog.find("s-n")) << "neither its place nor its state can be guessed";
  EXPECT_EQ(change.errors.size(), 9u);
  EXPECT_EQ(catalog.version(), 5u) << "a version taken in part is asked for again";
  EXPECT_TRUE(catalog.address(*catalog.find("s-a"))) << "the address known before";
}

// Discovery restarts from an older state. Its changes still hold.
TEST_F(EndpointCatalogTest, ARevisionThatGoesBackIsApplied) {
  apply(four());
  apply(list(2, false, {target("s-b", "north", "terminating")}));
  EXPECT_EQ(state("s-b"), EndpointState::draining);
  EXPECT_EQ(catalog.version(), 2u);
}

// A former watch, or a source that lags behind, brings an older revision late. What is new in it is
// applied, but no endpoint that drains or is removed becomes available by it.
TEST_F(EndpointCatalogTest, AnOlderRevisionTakesBackNoDrainAndNoStart) {
  apply(four());
  json restarted = target("s-c", "south");
  restarted["boot_ms"] = 5e11 - 100;
  apply(list(9, false,
             {target("s-a", "north", "terminating"), target("s-b", "north", "terminated"), restarted}));
  for (bool all : {false, true}) {  // a former watch's answer, or a whole list from a source that lags
    json older = four();
    older["all"] = all, older["rev"] = all ? 6 : 8;
    older["targets"].push_back(target("s-n", "north"));
    auto change = apply(older);
    EXPECT_TRUE(change.outdated);
    EXPECT_EQ(change.list.kind, EndpointListKind::incremental) << "it does not know who came since";
    EXPECT_EQ(state("s-a"), EndpointState::draining);
    EXPECT_EQ(state("s-b"), EndpointState::removed);
    EXPECT_EQ(state("s-n"), EndpointState::available);
    for (const ListedEndpoint& e : catalog.listed())
      EXPECT_EQ(e.start_time_known, e.id == catalog.find("s-c"));
    for (const ListedEndpoint& e : change.list.entries) EXPECT_EQ(e.id, catalog.find("s-n"));
  }
  EXPECT_EQ(catalog.version(), 6u) << "from there on it tells again what came since";
  apply(list(10, false, {target("s-a", "north")}));
  EXPECT_EQ(state("s-a"), EndpointState::available) << "a newer one may take a drain back";
}

// One revision was malformed in part and valid ones follow. What was lost may be a drain, so the version
// must stay before it until the list was requested again.
TEST_F(EndpointCatalogTest, AMalformedRevisionIsRequestedAgainHoweverValidTheNextOnesAre) {
  apply(four());
  apply(list(6, false, {target("s-a", "north", "odd")}));
  apply(list(7, false, {target("s-b", "north", "terminating")}));
  EXPECT_EQ(catalog.version(), 5u) << "the sixth may have told of a drain";
  catalog.on_resubscribe();
  apply(list(7, false, {target("s-a", "north", "terminating"), target("s-b", "north", "terminating")}));
  EXPECT_EQ(catalog.version(), 7u);
}

// New settings name other localities. Endpoints in none of them are not listed any more, and the others get
// their new numbers.
TEST_F(EndpointCatalogTest, OtherLocalitiesLeaveOutWhoIsInNoneOfThem) {
  apply(four());
  catalog.rename({{"west", "south"}, {"look"}});
  ASSERT_EQ(catalog.listed().size(), 2u);
  for (const ListedEndpoint& e : catalog.listed()) EXPECT_EQ(e.locality, Locality{1});
  EXPECT_EQ(catalog.version(), 0u);
}

// The wall clock is set while endpoints run. Computed anew from each object, an endpoint's start would move
// and look like a restart, which means a slow start.
TEST_F(EndpointCatalogTest, AStartIsOneInstantWhateverTheWallClockDoesLater) {
  json started = target("s-a", "north");
  started["boot_ms"] = 5e11 - 400;
  auto first = apply(list(1, true, {started})).list.entries[0];
  EXPECT_TRUE(first.start_time_known);
  EXPECT_EQ(first.start_time, Time(Duration(600)));
  EXPECT_EQ(apply(list(2, false, {started}), 2000, 5e11 + 9000).list.entries[0].start_time, first.start_time);
  started["boot_ms"] = 5e11 + 1500;
  EXPECT_EQ(apply(list(3, false, {started}), 2000, 5e11 + 1000).list.entries[0].start_time,
            Time(Duration(2500)));
}

// All endpoints are replaced every minute for hours. Memory must not grow, but updates still name an
// endpoint for some time after its removal.
TEST_F(EndpointCatalogTest, RemovedEndpointsAreForgottenInTimeAndNotAtOnce) {
  Ms now = 1000;
  std::string last;
  for (int k = 0; k < 500; ++k) {  // all are replaced every minute, for hours
    std::vector<json> present;
    for (int i = 0; i < 20; ++i) {
      present.push_back(target("s-" + std::to_string(k) + "-" + std::to_string(i), "north"));
      if (k > 0)
        present.push_back(
            target("s-" + std::to_string(k - 1) + "-" + std::to_string(i), "north", "terminated"));
    }
    apply(list(static_cast<std::uint64_t>(k) + 1, false, present), now += 60000);
    EXPECT_TRUE(last.empty() || catalog.uid(*catalog.find(last))) << "its line may have to go yet";
    last = "s-" + std::to_string(k) + "-0";
  }
  EXPECT_LE(catalog.size(), 20u * 7);
  EXPECT_FALSE(catalog.find("s-1-0"));
  EXPECT_EQ(catalog.listed().size(), 20u);
}

// Discovery answers with bytes that are no list. They are rejected as a whole.
TEST_F(EndpointCatalogTest, WhatIsNoListChangesNothing) {
  apply(four());
  for (const char* bad : {"", "[]", "{", R"({"rev":1,"all":true})", R"({"rev":1,"targets":[]})",
                          R"({"rev":-1,"all":true,"targets":[]})", R"({"rev":1,"all":1,"targets":[]})"})
    EXPECT_THROW(catalog.apply(bad, kNames, 0, 0), EndpointListError) << bad;
  EXPECT_EQ(catalog.listed().size(), 4u);
}

}  // namespace
}  // namespace beamshunt::platform::test
