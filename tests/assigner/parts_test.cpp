// The parts of an assigner by themselves: settings, the endpoint catalog and its codecs, the intake of
// reports.
#include <gtest/gtest.h>

#include <tuple>

#include "assigner/cached_list_codec.h"
#include "assigner/core_harness.h"
#include "assigner/endpoint_list_json.h"
#include "assigner/report_intake.h"
#include "nested_json.h"

namespace beamshunt::assigner::test {
namespace {

std::string refused(const std::string& more) {
  try {
    load_assigner_settings({{"site.cue", kSiteConfiguration}, {"more.cue", more}});
  } catch (const config::ConfigError& error) {
    return error.what();
  }
  return "taken";
}

TEST(SiteSettings, DefaultsBoundsAndMeaning) {
  AssignerSettings site = load_assigner_settings({{"site.cue", kSiteConfiguration}});
  EXPECT_EQ(site.policy.classes.size(), 2u);
  EXPECT_TRUE(site.policy.classes[1].local_only);
  EXPECT_EQ(site.policy.max_messages_per_window, 30);
  EXPECT_EQ(site.policy.subscription_lifetime, Duration(10000));
  EXPECT_EQ(site.locality_of.find(0x7f140101), 1u);
  EXPECT_EQ(refused("site: reports: period: 250ms"), "taken");
}

// Someone types a value that can't be right. The assigner must not start with it, and the message must lead
// to the line, the column and the setting.
TEST(SiteSettings, WhatCannotBeIsRefusedWithItsPlace) {
  EXPECT_NE(refused("site: channel: messages: -1").find("more.cue:1:26: site.channel.messages"),
            std::string::npos);
  EXPECT_NE(refused("site: guarantees: start_capacity: 1.5").find("start_capacity: expected a number >0 <=1"),
            std::string::npos);
  EXPECT_NE(refused("sit: {}").find("sit: unknown field; is site meant?"), std::string::npos);
  EXPECT_NE(refused("site: channel: delay_most: 1s\nsite: channel: delay: 2s").find("conflicts"),
            std::string::npos);
  auto load = [](std::string text, const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
    try {
      load_assigner_settings({{"site.cue", text}});
    } catch (const config::ConfigError& error) {
      return std::string(error.what());
    }
    return std::string("taken");
  };
  EXPECT_NE(
      load(kSiteConfiguration, "home: \"north\"", "home: \"west\"").find("home: \"west\" is no locality"),
      std::string::npos);
  EXPECT_NE(load(kSiteConfiguration, "127.20.0.0/16", "127.10.0.0/16").find("is given twice"),
            std::string::npos);
  EXPECT_NE(
      load(kSiteConfiguration, "\"write\"", "\"read\"").find("site.classes[1].name: \"read\" is given twice"),
      std::string::npos);
  EXPECT_NE(load(kSiteConfiguration, "deadline: 2s", "deadline: 1ms").find("deadline: is under the slo"),
            std::string::npos);
  EXPECT_NE(load(kSiteConfiguration, "semantics: \"retryable\"", "semantics: \"dedup\"")
                .find("needs a window above 0"),
            std::string::npos);
  EXPECT_NE(load(kSiteConfiguration, "instance: 7", "instance: 0").find("an instance is given twice"),
            std::string::npos);
}

// The wall clock steps while an endpoint runs. Computed anew, its start would move, and the policy would take
// that for a restart and send it less.
TEST(EndpointCatalog, AStartKeepsItsInstantWhateverTheClocksDo) {
  EndpointCatalog catalog;
  EndpointListEntry entry{.id = 5, .start_wall_ms = 900000, .address = {1, 1}};
  Time first = catalog.to_listed({entry}, 5000, 1000000)[0].start_time;
  EXPECT_EQ(first, Time(Duration(5000 - 100000)));
  EXPECT_EQ(catalog.to_listed({entry}, 6000, 1500000)[0].start_time,
            first);  // the wall clock stepped: no restart
  entry.start_wall_ms = 1600000;
  EXPECT_EQ(catalog.to_listed({entry}, 7000, 1500000)[0].start_time,
            Time(Duration(7000)));  // from the future: just now
}

// The cached list is half written or damaged on disk. The assigner must notice and not start from endpoints
// that are not there.
TEST(EndpointCatalog, BytesKeepTheListAndDamageIsNoticed) {
  EndpointCatalog catalog;
  catalog.apply(
      {true, 9, {{.id = 5, .locality = 1, .capacity = 2, .address = {7, 8}}, {.id = 6, .address = {7, 9}}}});
  std::string bytes = encode_cached_list(catalog);
  EXPECT_EQ(decode_cached_list(bytes).entries(), catalog.entries());
  EXPECT_EQ(decode_cached_list(bytes).version(), 9u);
  for (std::size_t k = 0; k < bytes.size(); ++k) {
    std::string bad = bytes;
    bad[k] = static_cast<char>(bad[k] ^ 1);
    EXPECT_THROW(std::ignore = decode_cached_list(bad), CachedListError) << k;
    EXPECT_THROW(std::ignore = decode_cached_list(bytes.substr(0, k)), CachedListError) << k;
  }
}

// An endpoint is missing from a complete list. It gets no more requests, but a drain may still have to name
// its address.
TEST(EndpointCatalog, ATotalListEndsWhatItDoesNotName) {
  EndpointCatalog catalog;
  catalog.apply({true, 1, {{.id = 5, .address = {7, 8}}, {.id = 6, .address = {7, 9}}}});
  catalog.apply({true, 2, {{.id = 6, .address = {7, 9}}}});
  EXPECT_EQ(catalog.entries().size(), 1u);
  EXPECT_TRUE(catalog.find(5));  // still known by address: a drain may have to name it
}

// Who handles a bad setting, list or file by program needs its parts, not only the text of the message.
TEST(TypedErrors, NameTheFieldTheValueAndWhatWasExpected) {
  std::string text = kSiteConfiguration;
  text.replace(text.find("home: \"north\""), 13, "home: \"west\"");
  try {
    load_assigner_settings({{"site.cue", text}});
    FAIL() << "taken";
  } catch (const SettingsError& error) {
    EXPECT_EQ(error.path(), "home");
    EXPECT_EQ(error.value(), "west");
    EXPECT_EQ(error.expected(), "\"west\" is no locality");
    EXPECT_EQ(*error.at().file, "site.cue");
  }
  try {
    std::ignore = parse_endpoint_list(
        R"({"kind":"total","version":1,"entries":[{"id":1,"locality":"north","cell":0,"size":0}]})",
        {"north"});
    FAIL() << "taken";
  } catch (const EndpointListError& error) {
    EXPECT_EQ(error.field(), "entries[0].size");
    EXPECT_EQ(error.value(), "0");
    EXPECT_STREQ(error.what(), "entries[0]: size is 0, not a number from 1e-09 to 1000000000");
  }
  EndpointCatalog catalog;
  std::string bytes = encode_cached_list(catalog);
  bytes.pop_back();
  try {
    std::ignore = decode_cached_list(bytes);
    FAIL() << "taken";
  } catch (const CachedListError& error) {
    EXPECT_STREQ(error.what(), "torn or damaged");
  }
}

// Guards against a stack overflow while a value of the wrong type was quoted.
TEST(EndpointListJson, DeeplyNestedValueIsRefusedWithItsFieldAndAShortExcerpt) {
  try {
    std::ignore = parse_endpoint_list(
        R"({"kind":"total","version":1,"entries":[{"id":1,"locality":"north","cell":0,"size":)" +
            beamshunt::test::nested_arrays() + "}]}",
        {"north"});
    FAIL() << "taken";
  } catch (const EndpointListError& error) {
    EXPECT_EQ(error.field(), "entries[0].size");
    EXPECT_LE(error.value().size(), 256u);
  }
}

TEST(ReportIntake, SumsByPairAndGivesTheLongestWaitingFirstAtItsPace) {
  ReportIntake intake(10);
  intake.release(0);
  for (int report = 0; report < 3; ++report)
    for (std::uint32_t e = 1; e <= 8; ++e)
      intake.add_endpoint_report(Locality{0}, {e, 10, 2, 20.0 + report, {{"utilization", 0.1 * report}}},
                                 report * 100.0, report * 100.0 + 100);
  intake.add_demand_report(ProxyId{1}, {0, 5, 1}, 0, 100);
  EXPECT_EQ(intake.pending_entries(), 9u);
  auto first = intake.release(500);
  ASSERT_EQ(first.size(), 5u);
  auto& heard = std::get<EndpointReport>(first[0]);
  EXPECT_EQ(heard.endpoint, EndpointId{1});
  EXPECT_EQ(heard.attempts, 30);
  EXPECT_EQ(heard.failed, 6);
  EXPECT_DOUBLE_EQ(heard.mean_latency.count(), 21);
  EXPECT_EQ(heard.interval, Duration(300));
  EXPECT_DOUBLE_EQ(heard.load.at("utilization"), 0.2);
  auto second = intake.release(1000);
  ASSERT_EQ(second.size(), 4u);
  EXPECT_EQ(std::get<DemandReport>(second[3]).arrivals, 5);
  EXPECT_EQ(intake.pending_entries(), 0u);
}

// No reports come for a minute, then many at once. The policy is given a second's worth, not a minute's.
TEST(ReportIntake, AnIdlePaceIsNotSavedUpForMoreThanASecond) {
  ReportIntake intake(10);
  intake.release(0);
  intake.release(60000);
  for (std::uint32_t e = 1; e <= 100; ++e) intake.add_endpoint_report(Locality{0}, {e, 1, 0, 20, {}}, 0, 100);
  EXPECT_EQ(intake.release(60000).size(), 10u);
  intake.add_demand_report(ProxyId{1}, {0, 5, 1}, 0, 100);
  intake.remove_proxy(ProxyId{1});
  EXPECT_EQ(intake.pending_entries(), 90u);
}

}  // namespace
}  // namespace beamshunt::assigner::test
