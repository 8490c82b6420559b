// Discovery's objects: what they change, and what an unusable value in one leaves untouched.
#include "platform/directory.h"

#include <gtest/gtest.h>

#include "platform/rig.h"

namespace beamshunt::platform::test {
namespace {

const settings::Names kNames{{"north", "south"}, {"look", "buy"}};

struct DirectoryTest : ::testing::Test {
  Directory directory;
  Directory::Change apply(const json& object, Ms now = 1000, double wall = 5e11) {
    return directory.apply(object.dump(), kNames, now, wall);
  }
  EndpointState state(const char* uid) {
    for (const ListedEndpoint& e : directory.listed())
      if (e.id == directory.find(uid)) return e.state;
    return EndpointState::removed;
  }
};

TEST_F(DirectoryTest, IdsComeFromNamesAloneAndLeadBack) {
  apply(four());
  Directory other;
  other.apply(list(9, true, {target("s-d", "south"), target("s-x", "north"), target("s-a", "north")}).dump(),
              kNames, 0, 0);
  for (const char* uid : {"s-a", "s-d"}) {
    EXPECT_EQ(directory.find(uid), other.find(uid));
    EXPECT_EQ(*directory.uid(*directory.find(uid)), uid);
  }
  EXPECT_FALSE(directory.find("s-x"));
}

TEST_F(DirectoryTest, ChangesNameSomeAWholeListNamesAll) {
  apply(four());
  auto change = apply(list(6, false, {target("s-b", "north", "terminating")}));
  EXPECT_EQ(change.list.kind, EndpointListKind::incremental);
  EXPECT_EQ(change.list.entries.size(), 1u);
  EXPECT_EQ(state("s-b"), EndpointState::draining);
  EXPECT_EQ(state("s-a"), EndpointState::available);
  apply(list(7, true, {target("s-a", "north")}));
  EXPECT_EQ(directory.listed().size(), 1u);
  EXPECT_EQ(state("s-c"), EndpointState::removed);
  EXPECT_EQ(directory.version(), 7u);
  EXPECT_TRUE(directory.uid(*directory.find("s-c"))) << "orders that remove its lines still name it";
}

TEST_F(DirectoryTest, AnUnusableValueStopsNeitherTheOtherEntriesNorTheDrainBesideIt) {
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
  EXPECT_FALSE(directory.find("s-n")) << "neither its place nor its state can be guessed";
  EXPECT_EQ(change.errors.size(), 9u);
  EXPECT_EQ(directory.version(), 5u) << "a version taken in part is asked for again";
  EXPECT_TRUE(directory.address(*directory.find("s-a"))) << "the address known before";
}

TEST_F(DirectoryTest, ARevisionThatGoesBackIsFollowed) {
  apply(four());
  apply(list(2, false, {target("s-b", "north", "terminating")}));
  EXPECT_EQ(state("s-b"), EndpointState::draining);
  EXPECT_EQ(directory.version(), 2u);
}

TEST_F(DirectoryTest, AnOlderRevisionTakesBackNoDrainAndNoStart) {
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
    for (const ListedEndpoint& e : directory.listed())
      EXPECT_EQ(e.start_time_known, e.id == directory.find("s-c"));
    for (const ListedEndpoint& e : change.list.entries) EXPECT_EQ(e.id, directory.find("s-n"));
  }
  EXPECT_EQ(directory.version(), 6u) << "from there on it tells again what came since";
  apply(list(10, false, {target("s-a", "north")}));
  EXPECT_EQ(state("s-a"), EndpointState::available) << "a newer one may take a drain back";
}

TEST_F(DirectoryTest, WhatWasSpoiltIsAskedForAgainHoweverSoundWhatFollows) {
  apply(four());
  apply(list(6, false, {target("s-a", "north", "odd")}));
  apply(list(7, false, {target("s-b", "north", "terminating")}));
  EXPECT_EQ(directory.version(), 5u) << "the sixth may have told of a drain";
  directory.on_resubscribe();
  apply(list(7, false, {target("s-a", "north", "terminating"), target("s-b", "north", "terminating")}));
  EXPECT_EQ(directory.version(), 7u);
}

TEST_F(DirectoryTest, OtherLocalitiesLeaveOutWhoIsInNoneOfThem) {
  apply(four());
  directory.rename({{"west", "south"}, {"look"}});
  ASSERT_EQ(directory.listed().size(), 2u);
  for (const ListedEndpoint& e : directory.listed()) EXPECT_EQ(e.locality, Locality{1});
  EXPECT_EQ(directory.version(), 0u);
}

TEST_F(DirectoryTest, AStartIsOneInstantWhateverTheWallClockDoesLater) {
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

TEST_F(DirectoryTest, WhatIsLongGoneIsForgottenAndWhatIsJustGoneStillHasItsName) {
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
    EXPECT_TRUE(last.empty() || directory.uid(*directory.find(last))) << "its line may have to go yet";
    last = "s-" + std::to_string(k) + "-0";
  }
  EXPECT_LE(directory.size(), 20u * 7);
  EXPECT_FALSE(directory.find("s-1-0"));
  EXPECT_EQ(directory.listed().size(), 20u);
}

TEST_F(DirectoryTest, WhatIsNoListChangesNothing) {
  apply(four());
  for (const char* bad : {"", "[]", "{", R"({"rev":1,"all":true})", R"({"rev":1,"targets":[]})",
                          R"({"rev":-1,"all":true,"targets":[]})", R"({"rev":1,"all":1,"targets":[]})"})
    EXPECT_THROW(directory.apply(bad, kNames, 0, 0), EndpointListError) << bad;
  EXPECT_EQ(directory.listed().size(), 4u);
}

}  // namespace
}  // namespace beamshunt::platform::test
