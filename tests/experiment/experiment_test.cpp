#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

#include "base/file.h"
#include "experiment/report.h"
#include "experiment/runner.h"
#include "experiment/statistics.h"

namespace beamshunt::experiment {
namespace {

class Experiment : public ::testing::Test {
 protected:
  void SetUp() override {
    char name[] = "/tmp/experiment-XXXXXX";
    folder = mkdtemp(name);
    std::filesystem::copy("days/stage.cue", folder + "/stage.cue");
  }
  void TearDown() override { std::filesystem::remove_all(folder); }
  std::string write(const std::string& text) {
    std::string path = folder + "/try.cue";
    std::ofstream(path) << text;
    return path;
  }
  std::string journal() const { return folder + "/try.runs"; }
  static constexpr const char* kTry = R"(
name: "try"
stage: ["stage.cue"]
policies: ["module", "round-robin", "least-load"]
seeds: 2
sample: 500ms
sweep: [{
  name: "rate"
  unit: "requests/s"
  values: [60, 150]
  set: ["name: \"try\"", "length: 2s", "traffic: rate: {rate*2}/s"]
}]
plots: [
  {name: "service", title: "Service", x: "rate", y: "service"},
  {name: "spread", title: "Spread", kind: "histogram", y: "took_99"},
  {name: "time", title: "By time", kind: "time", y: "asked"},
]
)";
  std::string folder;
};

std::string refusal(const std::string& file) {
  try {
    read_plan(file);
  } catch (const std::exception& error) {
    return error.what();
  }
  return "";
}

TEST_F(Experiment, SweepsSettingsUnderPoliciesOverSeeds) {
  Plan plan = read_plan(write(kTry));
  EXPECT_EQ(plan.points(), 2u);
  EXPECT_EQ(runs_of(plan).size(), 12u);
  EXPECT_EQ(plan.day(1).rate, 300);
  Results one = run(plan, {journal(), 1}), four = run(plan, {folder + "/four.runs", 4});
  ASSERT_EQ(one.rows.size(), 12u);
  for (std::size_t k = 0; k < one.rows.size(); ++k) {
    EXPECT_EQ(one.rows[k].run.key(), four.rows[k].run.key());
    for (std::size_t f = 0; f < figure_names().size(); ++f)
      if (std::string name = figure_names()[f].name; name != "deciding" && name != "longest_turn") {
        EXPECT_EQ(one.rows[k].figures[f], four.rows[k].figures[f]) << name << " of " << one.rows[k].run.key();
      }
    EXPECT_EQ(one.rows[k].samples.size(), 4u);
    EXPECT_GT(one.rows[k].figures[0], 0.5) << "service of " << one.rows[k].run.key();
  }
  EXPECT_GT(one.rows.back().figures[5], 2 * one.rows.front().figures[5])
      << "more is asked at the higher rate";
}

TEST_F(Experiment, GoesOnAfterAKillAndCutsATornRun) {
  Plan plan = read_plan(write(kTry));
  Results whole = run(plan, {journal(), 1});
  std::string held = *base::read_file(journal());
  for (std::size_t keep : {held.size() / 3, held.size() / 2, held.size() - 1, std::size_t{5}}) {
    std::ofstream(journal(), std::ios::trunc) << held.substr(0, keep);
    std::size_t played = 0;
    Results again = run(plan, {journal(), 1, [&](std::size_t, std::size_t) { ++played; }});
    ASSERT_EQ(again.rows.size(), whole.rows.size());
    EXPECT_GT(played, 1u);
    if (keep > 1000) {
      EXPECT_LT(played, whole.rows.size() + 1) << "what was finished is not played again";
    }
    for (std::size_t k = 0; k < whole.rows.size(); ++k)
      EXPECT_EQ(again.rows[k].figures[0], whole.rows[k].figures[0]);
  }
  // Runs of another experiment are not taken for this one's; damage before the end is no torn tail.
  Plan other = read_plan(write(std::string(kTry) + "about: \"changed\"\n"));
  EXPECT_THROW(run(other, {journal(), 1}), std::runtime_error);
  held[held.size() / 2] = '\x01';
  std::ofstream(journal(), std::ios::trunc) << held;
  EXPECT_THROW(run(plan, {journal(), 1}), std::runtime_error);
}

TEST_F(Experiment, ResultsComeBackFromTheColumnarFileAndBecomePictures) {
  Plan plan = read_plan(write(kTry));
  Results r = run(plan, {journal(), 2});
  std::string path = folder + "/try.h5";
  write_results(path, r);
  Results back = read_results(path);
  EXPECT_EQ(back.name, r.name);
  EXPECT_EQ(back.experiment, r.experiment);
  ASSERT_EQ(back.rows.size(), r.rows.size());
  for (std::size_t k = 0; k < r.rows.size(); ++k) {
    EXPECT_EQ(back.rows[k].run.key(), r.rows[k].run.key());
    EXPECT_EQ(back.rows[k].values, r.rows[k].values);
    EXPECT_EQ(back.rows[k].figures, r.rows[k].figures);
    ASSERT_EQ(back.rows[k].samples.size(), r.rows[k].samples.size());
    for (std::size_t n = 0; n < r.rows[k].samples.size(); ++n)
      EXPECT_EQ(back.rows[k].samples[n].values, r.rows[k].samples[n].values);
  }
  for (const PlotWanted& plot : plots_of(back.experiment, back.name)) {
    EXPECT_NE(picture(back, plot, Picture::svg).find("<svg"), std::string::npos) << plot.name;
    EXPECT_EQ(picture(back, plot, Picture::png).substr(1, 3), "PNG") << plot.name;
  }
  std::string html = page(back);
  EXPECT_NE(html.find("inside noise"), std::string::npos);
  EXPECT_EQ(html.find("src="), std::string::npos) << "one page, nothing beside it";
  // No results file, and a torn one.
  EXPECT_THROW(read_results(folder + "/none.h5"), std::runtime_error);
  std::filesystem::resize_file(path, std::filesystem::file_size(path) / 2);
  EXPECT_THROW(read_results(path), std::runtime_error);
}

TEST_F(Experiment, BadFilesAreRefusedByLineAndReason) {
  auto with = [&](const std::string& from, const std::string& to) {
    std::string text = kTry;
    text.replace(text.find(from), from.size(), to);
    return refusal(write(text));
  };
  EXPECT_NE(with("round-robin", "robin").find("try.cue:4:22: policies: \"robin\" is no policy"),
            std::string::npos);
  EXPECT_NE(with("round-robin", "module").find("stands there twice"), std::string::npos);
  EXPECT_NE(with("[\"stage.cue\"]", "[\"none.cue\"]").find("there is no file"), std::string::npos);
  EXPECT_NE(with("[60, 150]", "[]").find("a value is needed"), std::string::npos);
  EXPECT_NE(with("y: \"service\"", "y: \"servce\"").find("is no figure"), std::string::npos);
  EXPECT_NE(with("x: \"rate\"", "x: \"rat\"").find("is no sweep"), std::string::npos);
  EXPECT_NE(with("sample: 500ms", "sample: 0ms").find("needs sample"), std::string::npos);
  EXPECT_NE(with("{rate*2}/s", "{rate*2}s").find("rate = 60"), std::string::npos) << "the point is named";
  EXPECT_NE(with("{rate*2}/s", "{rat}/s").find("rate = 60"), std::string::npos);
  EXPECT_NE(with("{rate*2}/s", "{" + std::string(500000, 'r')).find("longer than 1024 bytes"),
            std::string::npos);
  EXPECT_NE(with("seeds: 2", "seedz: 2").find("unknown field"), std::string::npos);
}

TEST(Statistics, IntervalsHoldTheMeanAsOftenAsTheySay) {
  std::mt19937 random(5);
  std::normal_distribution<double> draw(10, 3);
  int held = 0, differs = 0;
  constexpr int kTimes = 4000;
  for (int k = 0; k < kTimes; ++k) {
    std::vector<double> a, b;
    for (int n = 0; n < 6; ++n) a.push_back(draw(random)), b.push_back(draw(random));
    Estimate e = estimate(a);
    held += std::abs(e.mean - 10) <= e.half;
    differs += compare(a, b) != Difference::none;
  }
  EXPECT_NEAR(held / double(kTimes), 0.95, 0.012);
  EXPECT_NEAR(differs / double(kTimes), 0.05, 0.015) << "equal ones are told apart by chance alone";
  EXPECT_EQ(compare({1, 1.1, 0.9}, {5, 5.1, 4.9}), Difference::less);
  EXPECT_EQ(compare({5}, {1}), Difference::none) << "one seed proves nothing";
  EXPECT_TRUE(std::isinf(estimate({3}).half));
}

TEST(Chart, TicksAreRoundAndWithin) {
  EXPECT_EQ(ticks(0, 1, false), (std::vector<double>{0, 0.2, 0.4, 0.6000000000000001, 0.8, 1}));
  EXPECT_EQ(ticks(1, 100, true), (std::vector<double>{1, 2, 5, 10, 20, 50, 100}));
  for (double high : {0.003, 7.0, 1e6})
    for (double t : ticks(0, high, false)) EXPECT_LE(t, high * 1.001);
}

}  // namespace
}  // namespace beamshunt::experiment
