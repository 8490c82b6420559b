#include "alerts/rules.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>

#include "telemetry/figures.h"

namespace beamshunt::alerts {
namespace {

using telemetry::kName;
using telemetry::label_of;

[[noreturn]] void fail(const std::string& file, const YAML::Node& at, const std::string& what) {
  throw std::runtime_error(fmt::format("{}:{}: {}", file, at.Mark().line + 1, what));
}

YAML::Node load(const std::string& file) {
  try {
    return YAML::LoadFile(file);
  } catch (const YAML::BadFile&) {
    throw std::runtime_error("cannot open " + file);
  } catch (const YAML::Exception& error) {
    throw std::runtime_error(fmt::format("{}:{}: {}", file, error.mark.line + 1, error.msg));
  }
}

std::int64_t duration(const std::string& file, const YAML::Node& node) {
  auto ms = parse_duration(node.as<std::string>());
  if (!ms) fail(file, node, "'" + node.as<std::string>() + "' is no duration such as 5m");
  return *ms;
}

void known_fields(const std::string& file, const YAML::Node& map, const std::set<std::string>& known) {
  for (auto field : map)
    if (!known.contains(field.first.as<std::string>()))
      fail(file, field.first, "unknown field '" + field.first.as<std::string>() + "'");
}

std::map<std::string, std::string> text_map(const YAML::Node& node) {
  std::map<std::string, std::string> out;
  for (auto field : node) out[field.first.as<std::string>()] = field.second.as<std::string>();
  return out;
}

std::string filled(std::string text, const Labels& labels, double value) {
  auto replace = [&](const std::string& what, const std::string& with) {
    for (std::size_t at; (at = text.find(what)) != std::string::npos;) text.replace(at, what.size(), with);
  };
  for (auto& [name, v] : labels) replace("{{ $labels." + name + " }}", v);
  replace("{{ $value }}", fmt::format("{:.4g}", value));
  return text;
}

// A series in a test file: name{a="b",c="d"}.
Labels read_series(const std::string& text) {
  auto selectors = Query(text).selectors();
  if (selectors.size() != 1) throw QueryError("column 1: not a series");
  Labels out{{kName, selectors[0].metric}};
  for (const Matcher& m : selectors[0].matchers) {
    if (m.op != "=") throw QueryError("column 1: a series has only '=' labels");
    out.emplace_back(m.name, m.value);
  }
  std::sort(out.begin(), out.end());
  return out;
}

// "1 2 _ stale 0+5x3": values by interval; nothing where there is none.
std::vector<std::optional<double>> read_values(const std::string& text) {
  std::vector<std::optional<double>> out;
  std::istringstream words(text);
  for (std::string word; words >> word;) {
    if (word == "_") {
      out.emplace_back(std::nullopt);
      continue;
    }
    if (word == "stale") {
      out.emplace_back(telemetry::stale_marker());
      continue;
    }
    std::size_t times = word.find('x');
    std::size_t step_at = word.find_first_of("+-", 1);
    if (step_at != std::string::npos && step_at > 0 && (word[step_at - 1] == 'e'))
      step_at = std::string::npos;
    double first = 0, step = 0;
    int count = 0;
    try {
      if (word[0] == '_') {  // _x3
        out.insert(out.end(), static_cast<std::size_t>(std::stoi(word.substr(2))), std::nullopt);
        continue;
      }
      first = std::stod(word.substr(0, std::min(times, step_at)));
      if (step_at != std::string::npos && step_at < times)
        step = std::stod(word.substr(step_at, times - step_at));
      if (times != std::string::npos) count = std::stoi(word.substr(times + 1));
    } catch (const std::exception&) {
      throw std::runtime_error("'" + word + "' is no value");
    }
    for (int k = 0; k <= count; ++k) out.emplace_back(first + k * step);
  }
  return out;
}

std::string text_of(const std::map<std::string, std::string>& labels) {
  std::string out;
  for (auto& [name, value] : labels) {
    if (!out.empty()) out += ", ";
    out += name;
    out += "=\"";
    out += value;
    out += '"';
  }
  return "{" + out + "}";
}

class UnitTest {
 public:
  UnitTest(const std::string& file, const YAML::Node& root) : file_(file), root_(root) {
    known_fields(file, root, {"rule_files", "evaluation_interval", "tests"});
    auto folder = std::filesystem::path(file).parent_path();
    for (auto name : root["rule_files"])
      for (Rule& rule : read_rules((folder / name.as<std::string>()).string()))
        rules_.push_back(std::move(rule));
    if (root["evaluation_interval"]) every_ = duration(file, root["evaluation_interval"]);
  }

  std::vector<std::string> run(std::size_t& checks) {
    for (auto test : root_["tests"]) run_one(test, checks);
    return std::move(failures_);
  }

 private:
  void run_one(const YAML::Node& test, std::size_t& checks) {
    known_fields(file_, test, {"name", "interval", "input_series", "alert_rule_test", "promql_expr_test"});
    std::int64_t interval = duration(file_, test["interval"]), last = 0;
    Store store;
    for (auto series : test["input_series"]) {
      Labels labels = read_series(series["series"].as<std::string>());
      std::int64_t at = 0;
      for (auto& value : read_values(series["values"].as<std::string>())) {
        if (value) store.add(labels, at, *value);
        at += interval;
      }
    }
    for (auto check : test["alert_rule_test"]) last = std::max(last, duration(file_, check["eval_time"]));
    std::map<std::int64_t, std::vector<Alert>> states;
    Evaluator evaluator(rules_);
    for (std::int64_t at = 0; at <= last; at += every_) {
      evaluator.look(store, at);
      states[at] = evaluator.active();
    }
    for (auto check : test["alert_rule_test"]) ++checks, check_alert(check, states);
    for (auto check : test["promql_expr_test"]) ++checks, check_expression(check, store);
  }

  void check_alert(const YAML::Node& check, const std::map<std::int64_t, std::vector<Alert>>& states) {
    auto name = check["alertname"].as<std::string>();
    std::set<std::string> wanted, got;
    auto known = std::find_if(rules_.begin(), rules_.end(), [&](auto& r) { return r.alert == name; });
    if (known == rules_.end()) return failed(check, name + " is no alert of the rule files");
    for (auto alert : check["exp_alerts"]) {
      auto labels = text_map(alert["exp_labels"]);
      for (auto& [key, value] : known->labels) labels.emplace(key, value);
      std::string text = text_of(labels);
      if (alert["exp_annotations"]) text += " " + text_of(text_map(alert["exp_annotations"]));
      wanted.insert(text);
    }
    bool with_annotations = check["exp_alerts"].size() > 0 && check["exp_alerts"][0]["exp_annotations"];
    auto state = std::prev(states.upper_bound(duration(file_, check["eval_time"])));
    for (const Alert& a : state->second)
      if (a.name == name && a.firing)
        got.insert(text_of(a.labels) + (with_annotations ? " " + text_of(a.annotations) : ""));
    if (wanted == got) return;
    auto list = [](const std::set<std::string>& all) {
      return all.empty() ? "none" : fmt::format("{}", fmt::join(all, "; "));
    };
    failed(check, fmt::format("{} at {}: expected {}, got {}", name, check["eval_time"].as<std::string>(),
                              list(wanted), list(got)));
  }

  void check_expression(const YAML::Node& check, const Store& store) {
    auto text = check["expr"].as<std::string>();
    std::map<Labels, double> wanted, got;
    for (auto sample : check["exp_samples"]) {
      Labels labels;
      auto series = sample["labels"].as<std::string>();
      if (!series.empty() && series != "{}") {
        labels = read_series(series[0] == '{' ? "x" + series : series);
        if (series[0] == '{') std::erase_if(labels, [](auto& l) { return l.first == kName; });
      }
      wanted[labels] = sample["value"].as<double>();
    }
    for (const Element& e : Query(text).evaluate(store, duration(file_, check["eval_time"])))
      got[e.labels] = e.value;
    bool same = wanted.size() == got.size();
    for (auto& [labels, value] : wanted) {
      auto found = got.find(labels);
      same = same && found != got.end() &&
             std::abs(found->second - value) <= 1e-9 * std::max(1.0, std::abs(value));
    }
    if (same) return;
    std::string text_got;
    for (auto& [labels, value] : got) text_got += fmt::format(" {} {}", telemetry::to_string(labels), value);
    failed(check, text + ": got" + (text_got.empty() ? " nothing" : text_got));
  }

  void failed(const YAML::Node& at, const std::string& what) {
    failures_.push_back(fmt::format("{}:{}: {}", file_, at.Mark().line + 1, what));
  }

  std::string file_;
  YAML::Node root_;
  std::vector<Rule> rules_;
  std::int64_t every_ = 60000;
  std::vector<std::string> failures_;
};

}  // namespace

static std::vector<Rule> rules_of(const YAML::Node& root, const std::string& file) {
  std::vector<Rule> out;
  try {
    known_fields(file, root, {"groups"});
    for (auto group : root["groups"]) {
      known_fields(file, group, {"name", "interval", "rules"});
      for (auto r : group["rules"]) {
        known_fields(file, r, {"alert", "expr", "for", "labels", "annotations"});
        if (!r["alert"] || !r["expr"]) fail(file, r, "a rule has an alert and an expr");
        auto text = r["expr"].as<std::string>();
        try {
          out.push_back({r["alert"].as<std::string>(), text, Query(text),
                         r["for"] ? duration(file, r["for"]) : 0, text_map(r["labels"]),
                         text_map(r["annotations"]), fmt::format("{}:{}", file, r.Mark().line + 1)});
        } catch (const QueryError& error) {
          fail(file, r["expr"], r["alert"].as<std::string>() + ": expr, " + error.what());
        }
      }
    }
  } catch (const YAML::Exception& error) {
    throw std::runtime_error(fmt::format("{}:{}: {}", file, error.mark.line + 1, error.msg));
  }
  return out;
}

std::vector<Rule> read_rules(const std::string& file) { return rules_of(load(file), file); }

std::vector<Rule> parse_rules(const std::string& text, const std::string& name) {
  try {
    return rules_of(YAML::Load(text), name);
  } catch (const YAML::Exception& error) {
    throw std::runtime_error(fmt::format("{}:{}: {}", name, error.mark.line + 1, error.msg));
  }
}

std::vector<Rule> read_rules(const std::vector<std::string>& files) {
  std::vector<Rule> out;
  for (const std::string& file : files)
    for (Rule& rule : read_rules(file)) out.push_back(std::move(rule));
  return out;
}

telemetry::Scrape all_exported() {
  telemetry::Exporter exporter(telemetry::Labels{{"instance", "0"}});
  telemetry::Figures figures;
  figures.service.push_back({"north", "read"});
  figures.levels.push_back({"read"});
  return exporter.scrape(figures, 1);
}

std::vector<std::string> check_rules(const std::vector<Rule>& rules, const telemetry::Scrape& exported) {
  std::map<std::string, std::set<std::string>> known;  // metric to its labels
  std::set<std::string> all_labels;
  for (const telemetry::Point& p : exported.points) {
    const std::string& metric = label_of(p.labels, kName);
    for (auto& [name, value] : p.labels) known[metric].insert(name), all_labels.insert(name);
  }
  std::vector<std::string> out;
  std::set<std::string> names;
  for (const Rule& rule : rules) {
    auto wrong = [&](const std::string& what) { out.push_back(rule.from + ": " + rule.alert + ": " + what); };
    if (!names.insert(rule.alert).second) wrong("the name is given twice");
    if (!rule.annotations.contains("runbook_url")) wrong("no runbook_url");
    if (!rule.labels.contains("severity")) wrong("no severity");
    for (const Selector& s : rule.query.selectors()) {
      auto metric = known.find(s.metric);
      if (metric == known.end()) {
        wrong("the program exports no metric " + s.metric);
        continue;
      }
      for (const Matcher& m : s.matchers)
        if (!metric->second.contains(m.name)) wrong(s.metric + " has no label " + m.name);
    }
    for (const std::string& label : rule.query.grouping_labels())
      if (!all_labels.contains(label)) wrong("no metric has a label " + label);
  }
  return out;
}

std::vector<Alert> Evaluator::look(const Store& store, std::int64_t at) {
  std::vector<Alert> begun;
  std::set<std::pair<std::size_t, Labels>> seen;
  for (std::size_t k = 0; k < rules_.size(); ++k) {
    const Rule& rule = rules_[k];
    for (const Element& e : rule.query.evaluate(store, at)) {
      std::pair key{k, e.labels};
      seen.insert(key);
      auto [found, fresh] = active_.try_emplace(key);
      Alert& a = found->second;
      if (fresh) {
        a.name = rule.alert, a.active_since_ms = at;
        for (auto& [name, value] : e.labels)
          if (name != kName) a.labels[name] = value;
        for (auto& [name, value] : rule.labels) a.labels[name] = filled(value, e.labels, e.value);
      }
      a.value = e.value;
      for (auto& [name, value] : rule.annotations) a.annotations[name] = filled(value, e.labels, e.value);
      if (!a.firing && at - a.active_since_ms >= rule.for_ms) {
        a.firing = true;
        begun.push_back(a);
      }
    }
  }
  std::erase_if(active_, [&](auto& item) { return !seen.contains(item.first); });
  return begun;
}

std::vector<Alert> Evaluator::active() const {
  std::vector<Alert> out;
  out.reserve(active_.size());
  for (auto& [key, alert] : active_) out.push_back(alert);
  return out;
}

std::vector<std::string> test_rules(const std::string& file, std::size_t& checks) {
  try {
    return UnitTest(file, load(file)).run(checks);
  } catch (const YAML::Exception& error) {
    throw std::runtime_error(fmt::format("{}:{}: {}", file, error.mark.line + 1, error.msg));
  } catch (const QueryError& error) {
    throw std::runtime_error(file + ": " + error.what());
  }
}

}  // namespace beamshunt::alerts
