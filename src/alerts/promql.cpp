#include "alerts/promql.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <optional>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/limit_depth.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "base/pattern.h"
#include "telemetry/exporter.h"

namespace beamshunt::alerts {

namespace pegtl = tao::pegtl;

struct Expr {
  enum class Kind { number, selector, call, aggregate, binary };
  Kind kind{};
  double number = 0;
  Selector selector;
  std::int64_t range_ms = 0;  // of a selector; 0: instant
  std::string name;           // of a function, an aggregation or an operator
  std::vector<std::shared_ptr<const Expr>> parts;
  bool without = false, grouped = false, as_bool = false, on = false, matched = false;
  std::set<std::string> labels;  // of by, without, on, ignoring
};

namespace grammar {
using namespace pegtl;  // NOLINT: the grammar reads as one

struct ws : star<space> {};
struct name : seq<sor<alpha, one<'_', ':'>>, star<sor<alnum, one<'_', ':'>>>> {};
struct label : seq<sor<alpha, one<'_'>>, star<sor<alnum, one<'_'>>>> {};
struct number : seq<opt<one<'-'>>, plus<digit>, opt<one<'.'>, plus<digit>>,
                    opt<one<'e', 'E'>, opt<one<'+', '-'>>, plus<digit>>> {};
struct text : star<not_one<'"', '\n'>> {};
struct string_ : if_must<one<'"'>, text, one<'"'>> {};
struct match_op : sor<TAO_PEGTL_STRING("=~"), TAO_PEGTL_STRING("!~"), TAO_PEGTL_STRING("!="), one<'='>> {};
struct matcher : seq<label, ws, must<match_op>, ws, must<string_>> {};
struct matchers : if_must<one<'{'>, ws, opt<list<matcher, one<','>, space>>, ws, one<'}'>> {};
struct unit : sor<TAO_PEGTL_STRING("ms"), one<'s', 'm', 'h', 'd'>> {};
struct duration : plus<plus<digit>, unit> {};
struct range : if_must<one<'['>, ws, duration, ws, one<']'>> {};
struct selector : seq<name, ws, opt<matchers>, ws, opt<range>> {};
struct expr;
struct label_list : if_must<one<'('>, ws, opt<list<label, one<','>, space>>, ws, one<')'>> {};
template <typename... Words>
struct keyword : seq<sor<Words...>, not_at<sor<alnum, one<'_'>>>> {};
struct group_word : keyword<TAO_PEGTL_STRING("by"), TAO_PEGTL_STRING("without")> {};
struct grouping : seq<group_word, ws, must<label_list>> {};
struct arguments : if_must<one<'('>, ws, list<expr, one<','>, space>, ws, one<')'>> {};
struct aggregator
    : keyword<TAO_PEGTL_STRING("sum"), TAO_PEGTL_STRING("min"), TAO_PEGTL_STRING("max"),
              TAO_PEGTL_STRING("avg"), TAO_PEGTL_STRING("count"), TAO_PEGTL_STRING("quantile")> {};
struct aggregate
    : seq<aggregator, ws, sor<seq<grouping, ws, must<arguments>>, seq<arguments, ws, opt<grouping>>>> {};
struct function : keyword<TAO_PEGTL_STRING("rate"), TAO_PEGTL_STRING("increase"),
                          TAO_PEGTL_STRING("max_over_time"), TAO_PEGTL_STRING("absent")> {};
struct call : seq<function, ws, must<arguments>> {};
struct group : if_must<one<'('>, ws, expr, ws, one<')'>> {};
struct primary : sor<group, aggregate, call, number, selector> {};
struct bool_word : keyword<TAO_PEGTL_STRING("bool")> {};
struct match_word : keyword<TAO_PEGTL_STRING("on"), TAO_PEGTL_STRING("ignoring")> {};
struct matching : seq<match_word, ws, must<label_list>> {};
template <typename Op, typename Side>
struct chain : seq<Side, star<ws, Op, ws, opt<bool_word>, ws, opt<matching>, ws, must<Side>>> {};
struct product_op : one<'*', '/'> {};
struct product : chain<product_op, primary> {};
struct sum_op : one<'+', '-'> {};
struct sum : chain<sum_op, product> {};
struct compare_op : sor<TAO_PEGTL_STRING(">="), TAO_PEGTL_STRING("<="), TAO_PEGTL_STRING("=="),
                        TAO_PEGTL_STRING("!="), one<'>', '<'>> {};
struct compare : chain<compare_op, sum> {};
struct and_op : keyword<TAO_PEGTL_STRING("and"), TAO_PEGTL_STRING("unless")> {};
struct conjunction : chain<and_op, compare> {};
struct or_op : keyword<TAO_PEGTL_STRING("or")> {};
struct disjunction : chain<or_op, conjunction> {};
struct expr : seq<disjunction> {};
struct query : seq<ws, must<expr>, ws, must<eof>> {};

template <typename Rule>
struct action : nothing<Rule> {};
template <>
struct action<expr> : limit_depth<100> {};  // a text must not be able to use up the parser's stack

template <typename Rule>
using keep = parse_tree::selector<
    Rule,
    parse_tree::store_content::on<name, label, number, text, match_op, duration, group_word, aggregator,
                                  function, bool_word, match_word, product_op, sum_op, compare_op, and_op,
                                  or_op>,
    parse_tree::remove_content::on<matcher, selector, grouping, aggregate, call, matching, product, sum,
                                   compare, conjunction, disjunction>>;

}  // namespace grammar

namespace {

using ExprPtr = std::shared_ptr<const Expr>;
using Tree = pegtl::parse_tree::node;
constexpr std::int64_t kLookbackMs =
    std::int64_t{5} * 60 * 1000;  // how old a sample may be and still be the present one
using telemetry::kName;
using telemetry::label_of;

void read_labels(const Tree& tree, std::size_t first, Expr& out) {
  for (std::size_t k = first; k < tree.children.size(); ++k) out.labels.insert(tree.children[k]->string());
}

// Builds the expression of a query from its parse tree. Each operator is a level of the expression, which is
// evaluated level by level, so their number is bounded.
class ExprBuilder {
 public:
  ExprPtr build(const Tree& tree) {
    auto out = std::make_shared<Expr>();
    if (tree.is_type<grammar::number>()) {
      out->kind = Expr::Kind::number;
      std::string text = tree.string();
      std::from_chars(text.data(), text.data() + text.size(), out->number);
      return out;
    }
    if (tree.is_type<grammar::selector>()) {
      out->kind = Expr::Kind::selector;
      for (auto& part : tree.children) {
        if (part->is_type<grammar::name>()) out->selector.metric = part->string();
        else if (part->is_type<grammar::duration>()) out->range_ms = *parse_duration(part->string_view());
        else
          out->selector.matchers.push_back(
              {part->children[0]->string(), part->children[1]->string(), part->children[2]->string()});
      }
      return out;
    }
    if (tree.is_type<grammar::call>()) {
      out->kind = Expr::Kind::call;
      out->name = tree.children[0]->string();
      for (std::size_t k = 1; k < tree.children.size(); ++k) out->parts.push_back(build(*tree.children[k]));
      bool ranged = out->name != "absent";
      bool fits = out->parts.size() == 1 && out->parts[0]->kind == Expr::Kind::selector &&
                  (out->parts[0]->range_ms > 0) == ranged;
      if (!fits)
        throw QueryError(fmt::format("column {}: {} takes one selector {} a range", tree.begin().column,
                                     out->name, ranged ? "with" : "without"));
      return out;
    }
    if (tree.is_type<grammar::aggregate>()) {
      out->kind = Expr::Kind::aggregate;
      for (auto& part : tree.children) {
        if (part->is_type<grammar::aggregator>()) {
          out->name = part->string();
        } else if (part->is_type<grammar::grouping>()) {
          out->grouped = true;
          out->without = part->children[0]->string_view() == "without";
          read_labels(*part, 1, *out);
        } else {
          out->parts.push_back(build(*part));
        }
      }
      if (out->parts.size() != (out->name == "quantile" ? 2u : 1u))
        throw QueryError(
            fmt::format("column {}: {} has too few or too many arguments", tree.begin().column, out->name));
      return out;
    }
    // A chain of one level's operators, left to right.
    ExprPtr left = build(*tree.children[0]);
    for (std::size_t k = 1; k < tree.children.size();) {
      if (++operators_ > kMaxOperators)
        throw QueryError(fmt::format("column {}: more than {} operators", tree.children[k]->begin().column,
                                     kMaxOperators));
      auto next = std::make_shared<Expr>();
      next->kind = Expr::Kind::binary;
      next->name = tree.children[k++]->string();
      if (tree.children[k]->is_type<grammar::bool_word>()) next->as_bool = true, ++k;
      if (tree.children[k]->is_type<grammar::matching>()) {
        next->matched = true;
        next->on = tree.children[k]->children[0]->string_view() == "on";
        read_labels(*tree.children[k], 1, *next);
        ++k;
      }
      next->parts = {left, build(*tree.children[k++])};
      left = next;
    }
    return left;
  }

 private:
  static constexpr std::size_t kMaxOperators = 500;

  std::size_t operators_ = 0;
};

bool matches(const Selector& s, const Labels& labels) {
  if (label_of(labels, kName) != s.metric) return false;
  return std::all_of(s.matchers.begin(), s.matchers.end(), [&](const Matcher& m) {
    const std::string& value = label_of(labels, m.name);
    if (m.op == "=") return value == m.value;
    if (m.op == "!=") return value != m.value;
    try {
      return base::is_match(value, m.value) == (m.op == "=~");
    } catch (const base::PatternError& error) {
      throw QueryError(m.name + ": " + error.what());
    }
  });
}

Labels kept(const Labels& labels, const std::function<bool(const std::string&)>& keep) {
  Labels out;
  for (auto& label : labels)
    if (label.first != kName && keep(label.first)) out.push_back(label);
  return out;
}

class Evaluation {
 public:
  Evaluation(const Store& store, std::int64_t at) : store_(store), at_(at) {}

  // A number is a vector of one element that `scalar` marks.
  struct Result {
    Vector vector;
    bool scalar = false;
  };

  Result run(const Expr& e) const {
    switch (e.kind) {
      case Expr::Kind::number:
        return {{{{}, e.number}}, true};
      case Expr::Kind::selector:
        return {instant(e.selector), false};
      case Expr::Kind::call:
        return {call(e), false};
      case Expr::Kind::aggregate:
        return {aggregate(e), false};
      case Expr::Kind::binary:
        return binary(e);
    }
    return {};
  }

 private:
  Vector instant(const Selector& s) const {
    Vector out;
    for (auto& [labels, samples] : store_.series()) {
      if (!matches(s, labels)) continue;
      auto after = std::upper_bound(samples.begin(), samples.end(), at_,
                                    [](std::int64_t t, auto& sample) { return t < sample.first; });
      if (after == samples.begin()) continue;
      auto& [t, value] = *std::prev(after);
      if (at_ - t < kLookbackMs && !telemetry::is_stale_marker(value)) out.push_back({labels, value});
    }
    return out;
  }

  Vector call(const Expr& e) const {
    const Expr& of = *e.parts[0];
    if (e.name == "absent") {
      if (!instant(of.selector).empty()) return {};
      Labels labels;
      for (const Matcher& m : of.selector.matchers)
        if (m.op == "=") labels.emplace_back(m.name, m.value);
      std::sort(labels.begin(), labels.end());
      return {{labels, 1}};
    }
    Vector out;
    for (auto& [labels, samples] : store_.series()) {
      if (!matches(of.selector, labels)) continue;
      if (e.name == "max_over_time") {
        std::optional<double> most;
        for (auto& [t, value] : samples)
          if (t > at_ - of.range_ms && t <= at_ && !telemetry::is_stale_marker(value))
            most = std::max(most.value_or(value), value);
        if (most) out.push_back({kept(labels, [](auto&) { return true; }), *most});
        continue;
      }
      if (auto grown = increase(samples, of.range_ms))
        out.push_back({kept(labels, [](auto&) { return true; }),
                       e.name == "rate" ? *grown / (static_cast<double>(of.range_ms) / 1000) : *grown});
    }
    return out;
  }

  // As Prometheus has it: resets added up, then extrapolated to the window's ends, but by no more than half a
  // sample's distance where the series seems to begin or end within it.
  std::optional<double> increase(const std::vector<std::pair<std::int64_t, double>>& samples,
                                 std::int64_t range) const {
    std::vector<std::pair<std::int64_t, double>> in;
    for (auto& s : samples)
      if (s.first > at_ - range && s.first <= at_ && !telemetry::is_stale_marker(s.second)) in.push_back(s);
    if (in.size() < 2) return std::nullopt;
    double grown = in.back().second - in.front().second;
    for (std::size_t k = 1; k < in.size(); ++k)
      if (in[k].second < in[k - 1].second) grown += in[k - 1].second;
    auto seconds = [](std::int64_t ms) { return static_cast<double>(ms) / 1000; };
    double sampled = seconds(in.back().first - in.front().first);
    double to_start = seconds(in.front().first - (at_ - range)), to_end = seconds(at_ - in.back().first);
    double apart = sampled / static_cast<double>(in.size() - 1), most = apart * 1.1;
    if (grown > 0 && in.front().second >= 0)  // a counter was not below 0 before it began
      to_start = std::min(to_start, sampled * (in.front().second / grown));
    double over = sampled + (to_start < most ? to_start : apart / 2) + (to_end < most ? to_end : apart / 2);
    return grown * over / sampled;
  }

  Vector aggregate(const Expr& e) const {
    Result of = run(*e.parts.back());
    double q = e.name == "quantile" ? run(*e.parts[0]).vector.at(0).value : 0;
    std::map<Labels, std::vector<double>> groups;
    for (const Element& x : of.vector)
      groups[kept(x.labels, [&](auto& name) { return e.grouped && e.labels.contains(name) != e.without; })]
          .push_back(x.value);
    Vector out;
    for (auto& [labels, values] : groups) out.push_back({labels, over(e.name, values, q)});
    return out;
  }
  static double over(const std::string& how, std::vector<double> values, double q) {
    std::sort(values.begin(), values.end());
    double sum = 0, n = static_cast<double>(values.size());
    for (double v : values) sum += v;
    if (how == "sum") return sum;
    if (how == "min") return values.front();
    if (how == "max") return values.back();
    if (how == "avg") return sum / n;
    if (how == "count") return n;
    double rank = std::clamp(q, 0.0, 1.0) * (n - 1);
    auto low = static_cast<std::size_t>(std::floor(rank)), high = std::min(low + 1, values.size() - 1);
    return values[low] + (values[high] - values[low]) * (rank - std::floor(rank));
  }

  Result binary(const Expr& e) const {
    Result a = run(*e.parts[0]), b = run(*e.parts[1]);
    auto key = [&](const Labels& labels) {
      return kept(labels, [&](auto& name) { return !e.matched || e.labels.contains(name) == e.on; });
    };
    Result out;
    if (e.name == "and" || e.name == "unless" || e.name == "or") {
      std::set<Labels> left, right;
      for (auto& x : a.vector) left.insert(key(x.labels));
      for (auto& x : b.vector) right.insert(key(x.labels));
      for (auto& x : a.vector)
        if (e.name == "or" || right.contains(key(x.labels)) == (e.name == "and")) out.vector.push_back(x);
      for (auto& x : b.vector)
        if (e.name == "or" && !left.contains(key(x.labels))) out.vector.push_back(x);
      return out;
    }
    out.scalar = a.scalar && b.scalar;
    auto put = [&](const Element& shown, double x, double y) {
      auto value = apply(e, x, y, shown.value);
      if (!value) return;
      bool filter = is_comparison(e.name) && !e.as_bool;
      out.vector.push_back({filter ? shown.labels : kept(shown.labels, [](auto&) { return true; }), *value});
    };
    if (b.scalar) {
      for (auto& x : a.vector) put(x, x.value, b.vector[0].value);
    } else if (a.scalar) {
      for (auto& y : b.vector) put(y, a.vector[0].value, y.value);
    } else {
      std::map<Labels, const Element*> right;
      for (auto& y : b.vector)
        if (!right.emplace(key(y.labels), &y).second)
          throw QueryError("many series match one on the right side");
      for (auto& x : a.vector)
        if (auto y = right.find(key(x.labels)); y != right.end()) put(x, x.value, y->second->value);
    }
    return out;
  }
  static bool is_comparison(const std::string& op) {
    return std::string_view("><=!").find(op[0]) != std::string_view::npos;
  }
  static std::optional<double> apply(const Expr& e, double x, double y, double shown) {
    if (e.name == "+") return x + y;
    if (e.name == "-") return x - y;
    if (e.name == "*") return x * y;
    if (e.name == "/") return x / y;
    bool holds = e.name == ">"    ? x > y
                 : e.name == "<"  ? x < y
                 : e.name == ">=" ? x >= y
                 : e.name == "<=" ? x <= y
                 : e.name == "==" ? x == y
                                  : x != y;
    if (e.as_bool) return holds ? 1 : 0;
    return holds ? std::optional(shown) : std::nullopt;
  }

  const Store& store_;
  std::int64_t at_;
};

void walk(const Expr& e, const std::function<void(const Expr&)>& see) {
  see(e);
  for (auto& part : e.parts) walk(*part, see);
}

}  // namespace

std::optional<std::int64_t> parse_duration(std::string_view left) {
  std::int64_t sum = 0;
  if (left.empty()) return std::nullopt;
  while (!left.empty()) {
    std::int64_t n = 0;
    auto [end, error] = std::from_chars(left.data(), left.data() + left.size(), n);
    if (error != std::errc{}) return std::nullopt;
    left.remove_prefix(static_cast<std::size_t>(end - left.data()));
    struct Unit {
      std::string_view name;
      std::int64_t ms;
    };
    constexpr Unit kUnits[] = {{"ms", 1}, {"s", 1000}, {"m", 60000}, {"h", 3600000}, {"d", 86400000}};
    auto unit = std::find_if(std::begin(kUnits), std::end(kUnits),
                             [&](const Unit& u) { return left.substr(0, u.name.size()) == u.name; });
    if (unit == std::end(kUnits)) return std::nullopt;
    sum += n * unit->ms;
    left.remove_prefix(unit->name.size());
  }
  return sum;
}

bool Store::add(const Labels& labels, std::int64_t at, double value) {
  auto& samples = series_[labels];
  if (!samples.empty()) {
    auto& [last, had] = samples.back();
    if (at < last) return false;
    if (at == last)
      return had == value || (std::isnan(had) && std::isnan(value));  // the same again says nothing new
  }
  samples.emplace_back(at, value);
  return true;
}

Query::Query(const std::string& text) {
  pegtl::memory_input input(text, "query");
  try {
    auto tree = pegtl::parse_tree::parse<grammar::query, grammar::keep, grammar::action>(input);
    if (!tree) throw QueryError("column 1: no expression");
    root_ = ExprBuilder().build(*tree->children.at(0));
  } catch (const pegtl::parse_error& error) {
    throw QueryError(
        fmt::format("column {}: not in the part of PromQL that is read here", error.positions()[0].column));
  }
}

Vector Query::evaluate(const Store& store, std::int64_t at) const {
  return Evaluation(store, at).run(*root_).vector;
}

std::vector<Selector> Query::selectors() const {
  std::vector<Selector> out;
  walk(*root_, [&](const Expr& e) {
    if (e.kind == Expr::Kind::selector) out.push_back(e.selector);
  });
  return out;
}

std::set<std::string> Query::grouping_labels() const {
  std::set<std::string> out;
  walk(*root_, [&](const Expr& e) { out.insert(e.labels.begin(), e.labels.end()); });
  return out;
}

}  // namespace beamshunt::alerts
