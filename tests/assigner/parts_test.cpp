// The parts of an assigner by themselves: settings, the list's book, the intake of reports.
#include <gtest/gtest.h>

#include "assigner/list_feed.h"
#include "assigner/report_intake.h"
#include "assigner/rig.h"

namespace beamshunt::assigner::test {
namespace {

std::string refused(const std::string& more) {
  try {
    load_site({{"site.cue", kSite}, {"more.cue", more}});
  } catch (const config::ConfigError& error) {
    return error.what();
  }
  return "taken";
}

TEST(SiteSettings, DefaultsBoundsAndMeaning) {
  Site site = load_site({{"site.cue", kSite}});
  EXPECT_EQ(site.policy.classes.size(), 2u);
  EXPECT_TRUE(site.policy.classes[1].local_only);
  EXPECT_EQ(site.policy.max_messages_per_window, 30);
  EXPECT_EQ(site.policy.subscription_lifetime, Duration(10000));
  EXPECT_EQ(site.locality_of.find(0x7f140101), 1u);
  EXPECT_EQ(refused("site: reports: period: 250ms"), "taken");
}

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
      load_site({{"site.cue", text}});
    } catch (const config::ConfigError& error) {
      return std::string(error.what());
    }
    return std::string("taken");
  };
  EXPECT_NE(load(kSite, "home: \"north\"", "home: \"west\"").find("home: \"west\" is no locality"),
            std::string::npos);
  EXPECT_NE(load(kSite, "127.20.0.0/16", "127.10.0.0/16").find("is given twice"), std::string::npos);
  EXPECT_NE(load(kSite, "\"write\"", "\"read\"").find("site.classes[1].name: \"read\" is given twice"),
            std::string::npos);
  EXPECT_NE(load(kSite, "deadline: 2s", "deadline: 1ms").find("deadline: is under the slo"),
            std::string::npos);
  EXPECT_NE(load(kSite, "semantics: \"retryable\"", "semantics: \"dedup\"").find("needs a window above 0"),
            std::string::npos);
  EXPECT_NE(load(kSite, "instance: 7", "instance: 0").find("an instance is given twice"), std::string::npos);
}

TEST(EndpointBook, AStartKeepsItsInstantWhateverTheClocksDo) {
  EndpointBook book;
  ListEntry e{.id = 5, .started_wall_ms = 900000, .address = {1, 1}};
  Time first = book.listed({e}, 5000, 1000000)[0].start_time;
  EXPECT_EQ(first, Time(Duration(5000 - 100000)));
  EXPECT_EQ(book.listed({e}, 6000, 1500000)[0].start_time, first);  // the wall clock stepped: no restart
  e.started_wall_ms = 1600000;
  EXPECT_EQ(book.listed({e}, 7000, 1500000)[0].start_time,
            Time(Duration(7000)));  // from the future: just now
}

TEST(EndpointBook, BytesKeepTheListAndDamageIsNoticed) {
  EndpointBook book;
  book.apply(
      {true, 9, {{.id = 5, .locality = 1, .size = 2, .address = {7, 8}}, {.id = 6, .address = {7, 9}}}});
  std::string bytes = book.to_bytes();
  EXPECT_EQ(EndpointBook::from_bytes(bytes).all(), book.all());
  EXPECT_EQ(EndpointBook::from_bytes(bytes).version(), 9u);
  for (std::size_t k = 0; k < bytes.size(); ++k) {
    std::string bad = bytes;
    bad[k] = static_cast<char>(bad[k] ^ 1);
    EXPECT_THROW(EndpointBook::from_bytes(bad), std::runtime_error) << k;
    EXPECT_THROW(EndpointBook::from_bytes(bytes.substr(0, k)), std::runtime_error) << k;
  }
}

TEST(EndpointBook, ATotalListEndsWhatItDoesNotName) {
  EndpointBook book;
  book.apply({true, 1, {{.id = 5, .address = {7, 8}}, {.id = 6, .address = {7, 9}}}});
  book.apply({true, 2, {{.id = 6, .address = {7, 9}}}});
  EXPECT_EQ(book.all().size(), 1u);
  EXPECT_TRUE(book.find(5));  // still known by address: a drain may have to name it
}

TEST(ReportIntake, SumsByPairAndGivesTheLongestWaitingFirstAtItsPace) {
  ReportIntake intake(10);
  intake.release(0);
  for (int report = 0; report < 3; ++report)
    for (std::uint32_t e = 1; e <= 8; ++e)
      intake.add_endpoint_report(Locality{0}, {e, 10, 2, 20.0 + report, {{"utilization", 0.1 * report}}},
                                 report * 100.0, report * 100.0 + 100);
  intake.add_demand_report(ProxyId{1}, {0, 5, 1}, 0, 100);
  EXPECT_EQ(intake.waiting(), 9u);
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
  EXPECT_EQ(intake.waiting(), 0u);
}

TEST(ReportIntake, AnIdlePaceIsNotSavedUpForMoreThanASecond) {
  ReportIntake intake(10);
  intake.release(0);
  intake.release(60000);
  for (std::uint32_t e = 1; e <= 100; ++e) intake.add_endpoint_report(Locality{0}, {e, 1, 0, 20, {}}, 0, 100);
  EXPECT_EQ(intake.release(60000).size(), 10u);
  intake.add_demand_report(ProxyId{1}, {0, 5, 1}, 0, 100);
  intake.forget_proxy(ProxyId{1});
  EXPECT_EQ(intake.waiting(), 90u);
}

}  // namespace
}  // namespace beamshunt::assigner::test
