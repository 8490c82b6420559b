// PromQL's part that the rules use, and the rules themselves.
#include <gtest/gtest.h>

#include <cmath>

#include "alerts/rules.h"
#include "telemetry/exporter.h"

namespace beamshunt::alerts {
namespace {

Labels series(const std::string& name, Labels more = {}) {
  more.emplace_back("__name__", name);
  std::sort(more.begin(), more.end());
  return more;
}

Store stage() {
  Store s;
  for (std::int64_t t = 0; t <= 600; t += 10) {
    s.add(series("up", {{"job", "a"}}), t * 1000, 1);
    s.add(series("reqs", {{"job", "a"}, {"zone", "x"}}), t * 1000, static_cast<double>(t * 2));
    s.add(series("reqs", {{"job", "a"}, {"zone", "y"}}), t * 1000, static_cast<double>(t * 3));
    s.add(series("reqs", {{"job", "b"}, {"zone", "x"}}), t * 1000,
          static_cast<double>(t < 300 ? t * 1 : (t - 300)));
  }
  return s;
}

std::map<std::string, double> run(const std::string& query, std::int64_t at = 600000) {
  std::map<std::string, double> out;
  for (const Element& e : Query(query).evaluate(stage(), at)) out[telemetry::to_string(e.labels)] = e.value;
  return out;
}
using M = std::map<std::string, double>;

TEST(PromQl, SelectsAndCompares) {
  EXPECT_EQ(run("up"), (M{{"up{job=\"a\"}", 1}}));
  EXPECT_EQ(run("reqs{job=\"a\",zone!=\"y\"}").size(), 1u);
  EXPECT_EQ(run("reqs{zone=~\"x|z\"}").size(), 2u);
  EXPECT_EQ(run("reqs{zone!~\"x.*\"}").size(), 1u);
  EXPECT_EQ(run("reqs > 1500").size(), 1u);
  EXPECT_EQ(run("reqs > bool 1500 and up{job=\"none\"}").size(), 0u);
  EXPECT_EQ(run("up", 901000).size(), 0u);  // five minutes later it is no present value any more
}

TEST(PromQl, RatesCountResetsAndReachTheWindowsEnds) {
  EXPECT_NEAR(run("rate(reqs{zone=\"y\"}[1m])").begin()->second, 3, 1e-9);
  EXPECT_NEAR(run("increase(reqs{job=\"b\"}[10m])").begin()->second, 590, 12);
  EXPECT_EQ(run("rate(reqs{zone=\"y\"}[5s])").size(), 0u);
  EXPECT_EQ(run("max_over_time(reqs{zone=\"y\"}[1m])").begin()->second,
            run("reqs{zone=\"y\"}").begin()->second);
}

TEST(PromQl, Aggregates) {
  EXPECT_EQ(run("sum by (job) (reqs)"), (M{{"{job=\"a\"}", 3000}, {"{job=\"b\"}", 300}}));
  EXPECT_EQ(run("sum(reqs) by (job)"), run("sum by (job) (reqs)"));
  EXPECT_EQ(run("max without (zone) (reqs)"), (M{{"{job=\"a\"}", 1800}, {"{job=\"b\"}", 300}}));
  EXPECT_EQ(run("quantile(0.5, reqs)"), (M{{"", 1200}}));
  EXPECT_EQ(run("count(reqs)"), (M{{"", 3}}));
}

TEST(PromQl, CombinesVectors) {
  EXPECT_EQ(run("sum by (job) (reqs) / on(job) up"), (M{{"{job=\"a\"}", 3000}}));
  EXPECT_EQ(run("1 - up * 0.25 + 2 * 3").begin()->second, 6.75);
  EXPECT_EQ(run("reqs unless on(job) up").size(), 1u);
  EXPECT_EQ(run("up or reqs{job=\"b\"}").size(), 2u);
  EXPECT_EQ(run("absent(nothing{a=\"b\"})"), (M{{"{a=\"b\"}", 1}}));
  EXPECT_EQ(run("absent(up)").size(), 0u);
  EXPECT_EQ(run("2 * (3 + 4)"), (M{{"", 14}}));
}

TEST(PromQl, WhatIsNotReadIsSaidWithItsColumn) {
  for (const char* bad : {"", "up >", "rate(up)", "sum(", "up{a=b}", "up[5]", "histogram_quantile(0.9, up)",
                          "up offset 5m", "quantile(up)", "up)"}) {
    try {
      Query q(bad);
      ADD_FAILURE() << bad;
    } catch (const QueryError& error) {
      EXPECT_NE(std::string(error.what()).find("column"), std::string::npos) << bad;
    }
  }
}

TEST(PromQl, WhatIsNestedWithoutEndIsRefused) { EXPECT_THROW(Query(std::string(100000, '(')), QueryError); }

// Guards against a stack overflow: a chain of operators is an expression with a level for each.
TEST(PromQl, AChainOfManyOperatorsIsRefusedAndOneOfSomeIsNot) {
  std::string sum = "1";
  for (int k = 0; k < 400; ++k) sum += " + 1";
  EXPECT_EQ(run(sum), (M{{"", 401}}));
  for (int k = 0; k < 200000; ++k) sum += " + 1";
  EXPECT_THROW(Query{sum}, QueryError);
}

TEST(PromQl, AMatcherThatIsNoPatternOrTooLongIsRefused) {
  for (const std::string& pattern : {std::string("["), std::string(500000, '(')})
    EXPECT_THROW(run("up{job=~\"" + pattern + "\"}"), QueryError);
}

TEST(Rules, TheShippedOnesAreSoundAndPassTheirTests) {
  auto rules = read_rules("alerts/beamshunt.yml");
  EXPECT_GE(rules.size(), 13u);
  telemetry::Exporter exporter(telemetry::Labels{{"instance", "0"}});
  telemetry::AssignerMetrics f;
  f.service.push_back({"north", "read", 10, 1, 8, 1});
  f.admission_limits.push_back({"read", 5, 0});
  for (auto& line : check_rules(rules, exporter.scrape(f, 1))) ADD_FAILURE() << line;
  std::size_t checks = 0;
  for (auto& line : test_rules("alerts/beamshunt_test.yml", checks)) ADD_FAILURE() << line;
  EXPECT_GE(checks, 35u);
}

TEST(Rules, WhatTheProgramDoesNotExportIsRefused) {
  std::vector<Rule> rules;
  rules.push_back(
      {"A", "", Query("beamshunt_upp > 0"), 0, {{"severity", "page"}}, {{"runbook_url", "x"}}, "f:1"});
  rules.push_back({"A", "", Query("sum by (jobb) (beamshunt_up{nope=\"1\"})"), 0, {}, {}, "f:2"});
  telemetry::Exporter exporter(telemetry::Labels{{"instance", "0"}});
  auto wrong = check_rules(rules, exporter.scrape({}, 1));
  std::string all;
  for (auto& line : wrong) all += line + "\n";
  for (const char* part : {"no metric beamshunt_upp", "given twice", "no runbook_url", "no severity",
                           "beamshunt_up has no label nope", "no metric has a label jobb"})
    EXPECT_NE(all.find(part), std::string::npos) << part << "\n" << all;
}

TEST(Rules, AnAlertWaitsForItsTimeAndEndsWithItsCause) {
  Store s;
  Evaluator e({{"Hot",
                "",
                Query("t > 5"),
                30000,
                {{"severity", "page"}},
                {{"summary", "{{ $labels.z }} is {{ $value }}"}},
                ""}});
  auto look = [&](std::int64_t seconds, double value) {
    s.add(series("t", {{"z", "north"}}), seconds * 1000, value);
    return e.look(s, seconds * 1000);
  };
  EXPECT_TRUE(look(0, 9).empty());
  EXPECT_TRUE(look(20, 9).empty());
  EXPECT_TRUE(look(25, 1).empty());
  EXPECT_TRUE(e.active().empty());
  EXPECT_TRUE(look(30, 9).empty());
  auto fired = look(60, 9);
  ASSERT_EQ(fired.size(), 1u);
  EXPECT_EQ(fired[0].annotations.at("summary"), "north is 9");
  EXPECT_EQ(fired[0].labels.at("severity"), "page");
  EXPECT_TRUE(look(70, 9).empty());  // fires once
}

}  // namespace
}  // namespace beamshunt::alerts
