#include "experiment/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <set>

#include "experiment/statistics.h"

namespace beamshunt::experiment {
namespace {

using emulator::Policy;

// Which lines a plot has: by policy, or by a sweep's values.
using LineKey = std::pair<Policy, double>;  // the value is 0 where lines are told apart by policy alone

std::size_t figure_at(const std::string& name) {
  auto& all = figure_names();
  auto found = std::find_if(all.begin(), all.end(), [&](auto& f) { return f.name == name; });
  if (found == all.end()) throw std::runtime_error("\"" + name + "\" is no figure");
  return static_cast<std::size_t>(found - all.begin());
}
std::size_t sweep_at(const Results& r, const std::string& name) {
  for (std::size_t k = 0; k < r.sweeps.size(); ++k)
    if (r.sweeps[k].name == name) return k;
  throw std::runtime_error("\"" + name + "\" is no sweep of " + r.name);
}
std::string with_unit(const std::string& name, const std::string& unit) {
  return unit.empty() || unit == name ? name : name + " (" + unit + ")";
}
std::string sweep_label(const Results& r, const std::string& name) {
  return with_unit(name, r.sweeps[sweep_at(r, name)].unit);
}

class Keys {
 public:
  Keys(const Results& r, const PlotWanted& plot) : by_(plot.by) {
    if (by_ != "policy") at_ = sweep_at(r, by_);
    for (const Row& row : r.rows) policies_.insert(row.run.policy);
  }
  LineKey of(const Row& row) const { return {row.run.policy, by_ == "policy" ? 0 : row.values[at_]}; }
  std::string name(const LineKey& key) const {
    if (by_ == "policy") return emulator::policy_name(key.first);
    std::string value = fmt::format("{} {}", by_, key.second);
    return policies_.size() > 1 ? value + ", " + emulator::policy_name(key.first) : value;
  }

 private:
  std::string by_;
  std::size_t at_ = 0;
  std::set<Policy> policies_;
};

using Points = std::map<LineKey, std::map<double, std::vector<double>>>;  // by line and x, of all seeds

// Means with the band that chance gives them; one seed has none.
void add_lines(LineChart& chart, const Keys& keys, const Points& found) {
  for (auto& [key, points] : found) {
    Line line{keys.name(key), {}, {}, {}, {}};
    for (auto& [at, values] : points) {
      Estimate e = estimate(values);
      double half = std::isfinite(e.half) ? e.half : 0;
      line.x.push_back(at), line.y.push_back(e.mean);
      line.low.push_back(e.mean - half), line.high.push_back(e.mean + half);
    }
    chart.lines.push_back(std::move(line));
  }
}

LineChart line_chart(const Results& r, const PlotWanted& plot) {
  Keys keys(r, plot);
  std::size_t x = sweep_at(r, plot.x), y = figure_at(plot.y);
  Points found;
  for (const Row& row : r.rows) found[keys.of(row)][row.values[x]].push_back(row.figures[y]);
  LineChart chart{plot.title,
                  {sweep_label(r, plot.x), plot.log_x},
                  {with_unit(plot.y, figure_names()[y].unit), plot.log_y},
                  {}};
  add_lines(chart, keys, found);
  return chart;
}

LineChart time_chart(const Results& r, const PlotWanted& plot) {
  Keys keys(r, plot);
  std::size_t which = 0;
  while (which < emulator::kSeries && emulator::series_name(emulator::Series(which)).name != plot.y) ++which;
  if (which == emulator::kSeries) throw std::runtime_error("\"" + plot.y + "\" is no series");
  Points found;
  for (const Row& row : r.rows)
    for (const emulator::Sample& s : row.samples) found[keys.of(row)][s.at / 1000].push_back(s.values[which]);
  if (found.empty()) throw std::runtime_error("the results hold no samples by time");
  LineChart chart{plot.title,
                  {"time (s)", false},
                  {with_unit(plot.y, emulator::series_name(emulator::Series(which)).unit), plot.log_y},
                  {}};
  add_lines(chart, keys, found);
  return chart;
}

HeatMap heat_map(const Results& r, const PlotWanted& plot) {
  std::size_t x = sweep_at(r, plot.x), up = sweep_at(r, plot.by), y = figure_at(plot.y);
  std::map<std::pair<double, double>, std::vector<double>> found;
  std::set<double> xs, ys;
  Policy first = r.rows.empty() ? Policy::module : r.rows.front().run.policy;
  for (const Row& row : r.rows) {
    if (row.run.policy != first) continue;
    xs.insert(row.values[x]), ys.insert(row.values[up]);
    found[{row.values[up], row.values[x]}].push_back(row.figures[y]);
  }
  HeatMap chart{fmt::format("{}, {}", plot.title, emulator::policy_name(first)),
                {sweep_label(r, plot.x), false},
                {sweep_label(r, plot.by), false},
                figure_names()[y].unit,
                {xs.begin(), xs.end()},
                {ys.begin(), ys.end()},
                {}};
  for (double row : chart.ys) {
    chart.values.emplace_back();
    for (double column : chart.xs) {
      auto at = found.find({row, column});
      chart.values.back().push_back(at == found.end() ? std::numeric_limits<double>::quiet_NaN()
                                                      : estimate(at->second).mean);
    }
  }
  return chart;
}

Bars bars(const Results& r, const PlotWanted& plot) {
  constexpr int kBins = 24;
  Keys keys(r, plot);
  std::size_t y = figure_at(plot.y);
  std::map<LineKey, std::vector<double>> found;
  double low = std::numeric_limits<double>::infinity(), high = -low;
  for (const Row& row : r.rows) {
    double v = row.figures[y];
    found[keys.of(row)].push_back(v);
    low = std::min(low, v), high = std::max(high, v);
  }
  if (found.empty()) throw std::runtime_error("there are no runs");
  if (high <= low) high = low + 1;
  Bars chart{plot.title, {with_unit(plot.y, figure_names()[y].unit), false}, {}, {}};
  for (int k = 0; k <= kBins; ++k) chart.edges.push_back(low + (high - low) * k / kBins);
  for (auto& [key, values] : found) {
    std::vector<double> counts(kBins, 0);
    for (double v : values)
      ++counts[static_cast<std::size_t>(std::min<double>(kBins - 1, (v - low) / (high - low) * kBins))];
    chart.counts.emplace_back(keys.name(key), std::move(counts));
  }
  return chart;
}

std::string escaped(const std::string& text) {
  std::string out;
  for (char c : text) {
    if (c == '<') out += "&lt;";
    else if (c == '>') out += "&gt;";
    else if (c == '&') out += "&amp;";
    else if (c == '"') out += "&quot;";
    else out += c;
  }
  return out;
}

std::string cell(const Estimate& e) {
  if (!std::isfinite(e.half)) return fmt::format("{:.4g} (one seed)", e.mean);
  return fmt::format("{:.4g} &plusmn; {:.2g}", e.mean, e.half);
}

// One figure at every point: a row a point, a column a policy, each held against the first one's.
std::string table(const Results& r, std::size_t figure) {
  const FigureName& f = figure_names()[figure];
  std::map<std::vector<double>, std::map<Policy, std::vector<double>>> found;
  std::set<Policy> policies;
  for (const Row& row : r.rows) {
    found[row.values][row.run.policy].push_back(row.figures[figure]);
    policies.insert(row.run.policy);
  }
  std::string out = fmt::format("<h3>{}</h3>\n<table><tr>", with_unit(f.name, f.unit));
  for (auto& s : r.sweeps) out += "<th>" + escaped(with_unit(s.name, s.unit)) + "</th>";
  for (Policy p : policies) out += fmt::format("<th>{}</th>", emulator::policy_name(p));
  out += "</tr>\n";
  for (auto& [values, by_policy] : found) {
    out += "<tr>";
    for (double v : values) out += fmt::format("<td>{}</td>", v);
    const std::vector<double>& first = by_policy.begin()->second;
    for (Policy p : policies) {
      auto at = by_policy.find(p);
      if (at == by_policy.end()) {
        out += "<td></td>";
        continue;
      }
      out += "<td>" + cell(estimate(at->second));
      if (at != by_policy.begin()) {
        Difference d = compare(at->second, first);
        bool better = (d == Difference::less) == f.less_is_better;
        out += d == Difference::none ? "<br><i>inside noise</i>"
               : better              ? "<br><b class=better>better</b>"
                                     : "<br><b class=worse>worse</b>";
      }
      out += "</td>";
    }
    out += "</tr>\n";
  }
  return out + "</table>\n";
}

}  // namespace

std::string picture(const Results& results, const PlotWanted& plot, Picture as) {
  switch (plot.kind) {
    case PlotWanted::Kind::heat:
      return draw(heat_map(results, plot), as);
    case PlotWanted::Kind::histogram:
      return draw(bars(results, plot), as);
    case PlotWanted::Kind::time:
      return draw(time_chart(results, plot), as);
    case PlotWanted::Kind::lines:
      break;
  }
  return draw(line_chart(results, plot), as);
}

std::string page(const Results& results) {
  std::string out = fmt::format(
      "<!doctype html>\n<html lang=en><head><meta charset=utf-8><title>{0}</title><style>\n"
      "body{{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em;color:#222}}\n"
      "table{{border-collapse:collapse;margin:1em 0}}td,th{{border:1px solid #ccc;padding:.25em .6em;"
      "text-align:right}}\nsvg{{max-width:100%;height:auto}}pre{{background:#f4f4f4;padding:1em;overflow:"
      "auto}}\n"
      ".better{{color:#0a6}}.worse{{color:#b40}}\n</style></head><body>\n<h1>{0}</h1>\n",
      escaped(results.name));
  out += fmt::format(
      "<p>{} runs in simulated time. Means over seeds with the interval that holds the true mean in 95 of "
      "100 "
      "cases; policies are held against the first column, by Welch's test.</p>\n",
      results.rows.size());
  std::set<std::size_t> figures;
  for (const PlotWanted& plot : plots_of(results.experiment, results.name)) {
    std::string svg = picture(results, plot, Picture::svg);
    out += "<figure>" + svg.substr(std::min(svg.size(), svg.find("<svg"))) + "</figure>\n";
    if (is_figure(plot.y)) figures.insert(figure_at(plot.y));
  }
  for (std::size_t f : figures) out += table(results, f);
  out += "<h2>The experiment</h2>\n<pre>" + escaped(results.experiment) + "</pre>\n</body></html>\n";
  return out;
}

}  // namespace beamshunt::experiment
