#include "experiment/plan.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <regex>

#include "base/file.h"
#include "base/parse.h"
#include "base/pattern.h"
#include "experiment/results.h"

namespace beamshunt::experiment {
namespace {

using config::Tree;

constexpr std::size_t kMostRuns = 100000;

const config::Source& schema() {
  static const config::Source kSchema{"schema", R"cue(
#Sweep: {
  name: string & =~"^[a-z][a-z0-9_]*$"
  unit: string | *""
  values: [...number]            // at least one
  set: [...string]               // settings of the day, with {name}, {name*2} or {name/2} for the value
}
#Plot: {
  name: string & =~"^[a-z][a-z0-9-]*$"
  title: string
  kind: *"lines" | "heat" | "histogram" | "time"
  x: string | *""                // a sweep; of a histogram and over time there is none
  y: string                      // a figure; over time a series
  by: string | *"policy"         // what tells lines apart; of a heat map the sweep that goes up
  log_x: bool | *false
  log_y: bool | *false
}
#Experiment: {
  name: string & =~"^[a-z][a-z0-9-]*$"
  about: string | *""
  stage: [...string]             // day files, from this file's folder on
  policies: [...string]          // module, round-robin, static-weights, least-load, two-choice,
                                 // module-two-choice, module-least-load
  seeds: int & >=1 & <=1000 | *5
  first_seed: int & >=1 | *1
  sample: duration & >=0ms | *0ms // between samples by time; 0: none
  sweep: [...#Sweep]
  plots: [...#Plot]
}
)cue"};
  return kSchema;
}

[[noreturn]] void refuse(const Tree& at, const std::string& path, const std::string& reason) {
  throw config::ConfigError(config::to_string(at.from) + ": " + path + ": " + reason);
}

PlotWanted plot(const Tree& t) {
  const std::map<std::string, PlotWanted::Kind> kKinds{{"lines", PlotWanted::Kind::lines},
                                                       {"heat", PlotWanted::Kind::heat},
                                                       {"histogram", PlotWanted::Kind::histogram},
                                                       {"time", PlotWanted::Kind::time}};
  return {t.string("name"), t.string("title"), kKinds.at(t.string("kind")),
          t.string("x"),    t.string("y"),     t.string("by"),
          t.flag("log_x"),  t.flag("log_y")};
}

void check_plot(const Tree& t, const PlotWanted& p, const Plan& plan) {
  auto sweep = [&](const std::string& name) {
    return std::any_of(plan.sweeps.begin(), plan.sweeps.end(), [&](auto& s) { return s.name == name; });
  };
  bool over_time = p.kind == PlotWanted::Kind::time;
  if (over_time ? !is_series(p.y) : !is_figure(p.y))
    refuse(t.at("y"), "plots.y", fmt::format("\"{}\" is no {}", p.y, over_time ? "series" : "figure"));
  if (over_time && plan.sample <= 0) refuse(t, "plots", "a plot over time needs sample");
  if ((p.kind == PlotWanted::Kind::lines || p.kind == PlotWanted::Kind::heat) && !sweep(p.x))
    refuse(t.at("x"), "plots.x", "\"" + p.x + "\" is no sweep");
  if (p.kind == PlotWanted::Kind::heat ? !sweep(p.by) : p.by != "policy" && !sweep(p.by))
    refuse(t.at("by"), "plots.by", "\"" + p.by + "\" is no sweep");
}

// Settings with the sweep's value in the place of {name}, {name*k} and {name/k}.
std::string substituted(const std::string& text, const std::string& name, double value) {
  static const std::regex kPlace(R"(\{([a-z][a-z0-9_]*)(?:([*/])([0-9.]+))?\})");
  std::string out;
  std::size_t done = 0;
  for (std::sregex_iterator m(text.begin(), text.end(), kPlace), end; m != end; ++m) {
    if ((*m)[1] != name) continue;
    double k = (*m)[3].matched ? base::parse_number<double>((*m)[3].str()).value_or(1) : 1;
    double x = (*m)[2] == "/" ? value / k : value * k;
    out += text.substr(done, static_cast<std::size_t>(m->position()) - done) + fmt::format("{}", x);
    done = static_cast<std::size_t>(m->position() + m->length());
  }
  return out + text.substr(done);
}

}  // namespace

std::size_t Plan::points() const {
  std::size_t n = 1;
  for (const Sweep& s : sweeps) n *= s.values.size();
  return n;
}

std::vector<double> Plan::values(std::size_t point) const {
  std::vector<double> out(sweeps.size());
  for (std::size_t k = sweeps.size(); k-- > 0;) {
    out[k] = sweeps[k].values[point % sweeps[k].values.size()];
    point /= sweeps[k].values.size();
  }
  return out;
}

day::Day Plan::day(std::size_t point) const {
  std::vector<config::Source> over;
  std::vector<double> at = values(point);
  for (std::size_t k = 0; k < sweeps.size(); ++k) {
    std::string settings;
    for (std::string line : sweeps[k].set) {
      for (std::size_t other = 0; other < sweeps.size(); ++other)
        line = substituted(line, sweeps[other].name, at[other]);
      settings += line + "\n";
    }
    over.push_back({fmt::format("{} = {}", sweeps[k].name, at[k]), settings});
  }
  return day::load_day(stage, over);
}

std::string Run::key() const { return fmt::format("{}/{}/{}", point, emulator::policy_name(policy), seed); }

std::vector<Run> runs_of(const Plan& plan) {
  std::vector<Run> out;
  for (std::uint64_t k = 0; k < plan.seeds; ++k)  // whole rounds first: half an experiment is of some use
    for (std::size_t point = 0; point < plan.points(); ++point)
      for (emulator::Policy policy : plan.policies) out.push_back({point, policy, plan.first_seed + k});
  return out;
}

Plan read_plan(const std::string& file) {
  Plan plan;
  auto text = base::read_file(file);
  if (!text) throw std::runtime_error(file + ": there is no such file");
  plan.text = *text;
  Tree tree = config::load(schema(), "#Experiment", {{file, plan.text}});
  plan.name = tree.string("name"), plan.about = tree.string("about");
  plan.first_seed = static_cast<std::uint64_t>(tree.whole("first_seed"));
  plan.seeds = static_cast<std::uint64_t>(tree.whole("seeds"));
  plan.sample = tree.real("sample");
  std::string folder = file.substr(0, file.find_last_of('/') + 1), hashed = plan.text;
  for (const Tree& t : tree.at("stage").items) {
    auto day = base::read_file(folder + t.text);
    if (!day) refuse(t, "stage", "there is no file " + folder + t.text);
    plan.stage.push_back({folder + t.text, *day});
    hashed += *day;
  }
  if (plan.stage.empty()) refuse(tree.at("stage"), "stage", "a day is needed");
  plan.hash = XXH3_64bits(hashed.data(), hashed.size());
  for (const Tree& t : tree.at("policies").items) {
    auto policy = emulator::policy_named(t.text);
    if (!policy) refuse(t, "policies", "\"" + t.text + "\" is no policy");
    if (std::count(plan.policies.begin(), plan.policies.end(), *policy) > 0)
      refuse(t, "policies", "\"" + t.text + "\" stands there twice");
    plan.policies.push_back(*policy);
  }
  if (plan.policies.empty()) plan.policies = {emulator::Policy::module};
  for (const Tree& t : tree.at("sweep").items) {
    Sweep s{t.string("name"), t.string("unit"), {}, {}};
    for (const Tree& v : t.at("values").items) s.values.push_back(v.number);
    for (const Tree& v : t.at("set").items) {
      // The search for the places of the value is a regular expression too.
      if (v.text.size() > base::kMaxMatchedBytes)
        refuse(v, "sweep.set", fmt::format("longer than {} bytes", base::kMaxMatchedBytes));
      s.set.push_back(v.text);
    }
    if (s.values.empty()) refuse(t.at("values"), "sweep.values", "a value is needed");
    plan.sweeps.push_back(std::move(s));
  }
  for (const Tree& t : tree.at("plots").items) {
    plan.plots.push_back(plot(t));
    check_plot(t, plan.plots.back(), plan);
  }
  if (plan.points() * plan.policies.size() * plan.seeds > kMostRuns)
    refuse(tree.at("sweep"), "sweep", fmt::format("more than {} runs", kMostRuns));
  for (std::size_t point = 0; point < plan.points(); ++point) plan.day(point);
  return plan;
}

std::vector<PlotWanted> plots_of(const std::string& text, const std::string& name) {
  std::vector<PlotWanted> out;
  Tree tree = config::load(schema(), "#Experiment", {{name, text}});
  for (const Tree& t : tree.at("plots").items) out.push_back(plot(t));
  return out;
}

}  // namespace beamshunt::experiment
