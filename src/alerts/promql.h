// The part of PromQL that the shipped alert rules use, over series held in memory. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "telemetry/scrape.h"

namespace beamshunt::alerts {

using telemetry::Labels;

class QueryError : public std::runtime_error {  // "column 7: expected ..."
 public:
  using std::runtime_error::runtime_error;
};

// Series by labels; samples in order of time.
class Store {
 public:
  // False if the sample is older than the series' last, or has its time and another value: out of order.
  bool add(const Labels& labels, std::int64_t at_ms, double value);
  const std::map<Labels, std::vector<std::pair<std::int64_t, double>>>& series() const { return series_; }

 private:
  std::map<Labels, std::vector<std::pair<std::int64_t, double>>> series_;
};

struct Element {
  Labels labels;
  double value = 0;
};
using Vector = std::vector<Element>;

struct Matcher {
  std::string name, op, value;  // op: = != =~ !~
};
struct Selector {
  std::string metric;
  std::vector<Matcher> matchers;
};

// "1h30m" in ms; nothing if it is no duration.
std::optional<std::int64_t> parse_duration(std::string_view text);

struct Expr;
class Query {
 public:
  // Numbers, selectors with ranges, rate, increase, max_over_time, absent, sum/min/max/avg/count/quantile by
  // and without, + - * /, comparisons (with bool), and/or/unless, on and ignoring. Throws QueryError.
  explicit Query(const std::string& text);
  Vector evaluate(const Store& store, std::int64_t at_ms) const;
  std::vector<Selector> selectors() const;
  std::set<std::string> grouping_labels() const;  // that aggregations and matchings name

 private:
  std::shared_ptr<const Expr> root_;
};

}  // namespace beamshunt::alerts
