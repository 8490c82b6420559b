// Alert rules in Prometheus' own file format: read, checked against what the program exports, evaluated, and
// tested by unit-test files as promtool's users know them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "alerts/promql.h"

namespace beamshunt::alerts {

struct Rule {
  std::string alert, expression;
  Query query;
  std::int64_t for_ms = 0;
  std::map<std::string, std::string> labels, annotations;
  std::string from;  // "file:line"
};

// Throws std::runtime_error: "file:line: what is wrong".
std::vector<Rule> read_rules(const std::string& file);
std::vector<Rule> read_rules(const std::vector<std::string>& files);
std::vector<Rule> parse_rules(const std::string& text, const std::string& name);
// One sample of every series that the program exports, with every kind of label there is.
telemetry::Scrape all_exported();

// What is wrong with rules as a whole: a metric or label that the program never exports, a name given twice,
// a runbook link that is missing. One line each.
std::vector<std::string> check_rules(const std::vector<Rule>& rules, const telemetry::Scrape& exported);

struct Alert {
  std::string name;
  std::map<std::string, std::string> labels, annotations;  // templates filled in
  std::int64_t active_since_ms = 0;
  bool firing = false;
  double value = 0;
};

// The state of all alerts over time. Pure.
class Evaluator {
 public:
  explicit Evaluator(std::vector<Rule> rules) : rules_(std::move(rules)) {}
  // Call in order of time. Returns the alerts that began to fire at this look.
  std::vector<Alert> look(const Store& store, std::int64_t at_ms);
  std::vector<Alert> active() const;

 private:
  std::vector<Rule> rules_;
  std::map<std::pair<std::size_t, Labels>, Alert> active_;
};

// Runs a unit-test file; the failures, one line each. Throws std::runtime_error if it can't be read.
std::vector<std::string> test_rules(const std::string& file, std::size_t& checks);

}  // namespace beamshunt::alerts
