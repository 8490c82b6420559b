#include "config/value.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <optional>
#include <set>

#include "base/pattern.h"
#include "net/address.h"

namespace beamshunt::config {
namespace {

std::string joined(const std::string& path, const std::string& name) {
  return path.empty() ? name : path + "." + name;
}

enum class Type { any, string, cidr, address, number, integer, boolean, duration, rate, size };
struct TypeName {
  const char* name;
  Type type;
  const char* example;
};
constexpr TypeName kTypes[] = {{"any", Type::any, "a value"},
                               {"string", Type::string, "a string"},
                               {"cidr", Type::cidr, "a prefix such as \"127.10.0.0/16\""},
                               {"address", Type::address, "an address such as \"127.0.0.1:7000\""},
                               {"number", Type::number, "a number"},
                               {"int", Type::integer, "a whole number"},
                               {"bool", Type::boolean, "true or false"},
                               {"duration", Type::duration, "a duration such as 500ms"},
                               {"rate", Type::rate, "a rate such as 250/s"},
                               {"size", Type::size, "a size such as 64KiB"}};
const char* example_of(Type type) {
  for (auto& t : kTypes)
    if (t.type == type) return t.example;
  return "a value";
}

struct Value;
using ValuePtr = std::shared_ptr<const Value>;

struct Bound {
  std::string op;
  Node limit;
};

struct Member {
  ValuePtr value;
  bool optional = false;
  Position at;
};

struct Value {
  enum class Kind { scalar, structure, list, one_of };
  Kind kind = Kind::scalar;
  Position at;
  // scalar
  Type type = Type::any;
  std::vector<Bound> bounds;
  std::shared_ptr<const Node> literal;  // concrete once given
  // structure
  std::vector<std::pair<std::string, Member>> members;
  bool closed = false;
  // list
  std::vector<ValuePtr> items;
  ValuePtr rest;
  // one_of
  std::vector<std::pair<ValuePtr, bool>> alternatives;

  const Member* find(const std::string& name) const {
    for (auto& [key, member] : members)
      if (key == name) return &member;
    return nullptr;
  }
};

std::string text_of(const Node& literal) {
  if (literal.kind == Node::Kind::boolean) return literal.number != 0 ? "true" : "false";
  if (literal.kind == Node::Kind::string) {
    std::string out = "\"";
    for (char c : literal.text) {
      if (c == '"' || c == '\\') out += '\\';
      if (c == '\n') out += "\\n";
      else if (c == '\t') out += "\\t";
      else out += c;
    }
    return out + "\"";
  }
  double x = literal.number;
  switch (literal.unit) {
    case Unit::duration:
      if (x >= 1000 && std::fmod(x, 1000) == 0) return fmt::format("{}s", x / 1000);
      return fmt::format("{}ms", x);
    case Unit::rate:
      return fmt::format("{}/s", x);
    case Unit::size:
      if (x >= 1048576 && std::fmod(x, 1048576) == 0) return fmt::format("{}MiB", x / 1048576);
      if (x >= 1024 && std::fmod(x, 1024) == 0) return fmt::format("{}KiB", x / 1024);
      return fmt::format("{}B", x);
    default:
      return fmt::format("{}", x);
  }
}

bool has_type(const Node& literal, Type type) {
  bool plain = literal.kind == Node::Kind::number && literal.unit == Unit::none;
  switch (type) {
    case Type::any:
      return true;
    case Type::string:
    case Type::cidr:
    case Type::address:
      return literal.kind == Node::Kind::string;
    case Type::number:
      return plain;
    case Type::integer:
      return plain && literal.whole;
    case Type::boolean:
      return literal.kind == Node::Kind::boolean;
    case Type::duration:
      return literal.kind == Node::Kind::number && literal.unit == Unit::duration;
    case Type::rate:
      return literal.kind == Node::Kind::number && literal.unit == Unit::rate;
    case Type::size:
      return literal.kind == Node::Kind::number && (literal.unit == Unit::size || (plain && literal.whole));
  }
  return false;
}

bool same(const Node& a, const Node& b) {
  return a.kind == b.kind && a.unit == b.unit && a.number == b.number && a.text == b.text;
}

// Nothing if the literal keeps the bound, else why not.
std::optional<std::string> breaks(const Node& literal, const Bound& bound) {
  const Node& limit = bound.limit;
  std::string wanted = bound.op + text_of(limit);
  if (literal.kind != limit.kind || (literal.kind == Node::Kind::number && literal.unit != limit.unit &&
                                     limit.number != 0 && literal.number != 0))
    return text_of(literal) + " can't be compared with " + wanted;
  bool kept = true;
  if (bound.op == "=~") {
    try {
      kept = base::contains_match(literal.text, limit.text);
    } catch (const base::PatternError& error) {
      return error.what();
    }
  } else if (bound.op == "!=") kept = literal.number != limit.number || literal.text != limit.text;
  else {
    int order = literal.kind == Node::Kind::string
                    ? literal.text.compare(limit.text)
                    : (literal.number > limit.number) - (literal.number < limit.number);
    if (bound.op == ">") kept = order > 0;
    if (bound.op == ">=") kept = order >= 0;
    if (bound.op == "<") kept = order < 0;
    if (bound.op == "<=") kept = order <= 0;
  }
  if (kept) return std::nullopt;
  return text_of(literal) + " is not " + wanted;
}

std::optional<std::string> malformed(const Node& literal, Type type) {
  if (type == Type::address && !net::parse_address(literal.text))
    return text_of(literal) + " is not " + example_of(type);
  if (type == Type::cidr)
    if (auto reason = net::PrefixMap().add(literal.text, 0)) return reason;
  return std::nullopt;
}

std::string describe(const Value& v) {
  switch (v.kind) {
    case Value::Kind::structure:
      return "a structure {...}";
    case Value::Kind::list:
      return "a list [...]";
    case Value::Kind::one_of: {
      std::string out;
      bool all_given = std::all_of(v.alternatives.begin(), v.alternatives.end(),
                                   [](auto& a) { return a.first->literal != nullptr; });
      for (auto& [alternative, is_default] : v.alternatives)
        if (all_given || !alternative->literal) out += (out.empty() ? "" : " or ") + describe(*alternative);
      return out;
    }
    case Value::Kind::scalar:
      break;
  }
  if (v.literal) return text_of(*v.literal);
  std::string out = example_of(v.type);
  for (auto& b : v.bounds) out += " " + b.op + text_of(b.limit);
  return out;
}

class Unifier {
 public:
  struct Fault {
    Position at;
    std::string path, reason;
  };
  std::vector<Fault> faults;

  // `a` is what the schema or an earlier file says, `b` what comes on top. Null once a fault was noted.
  ValuePtr unify(const ValuePtr& a, const ValuePtr& b, const std::string& path) {
    if (!a || !b) return nullptr;
    if (a->kind == Value::Kind::one_of || b->kind == Value::Kind::one_of) return unify_one_of(a, b, path);
    auto free = [](const Value& v) {
      return v.kind == Value::Kind::scalar && v.type == Type::any && v.bounds.empty() && !v.literal;
    };
    if (free(*a)) return b;
    if (free(*b)) return a;
    if (a->kind != b->kind) {
      const Value& given = b->literal || b->kind != Value::Kind::scalar ? *b : *a;
      const Value& wanted = &given == b.get() ? *a : *b;
      return fault(given.at, path, "expected " + describe(wanted) + ", not " + describe(given));
    }
    if (a->kind == Value::Kind::structure) return unify_structures(*a, *b, path);
    if (a->kind == Value::Kind::list) return unify_lists(*a, *b, path);
    return unify_scalars(*a, *b, path);
  }

  ValuePtr fault(const Position& at, const std::string& path, const std::string& reason) {
    faults.push_back({at, path, reason});
    return nullptr;
  }

 private:
  static std::optional<Type> meet(Type a, Type b) {
    if (a == b || b == Type::any) return a;
    if (a == Type::any) return b;
    auto either = [&](Type x, Type y) { return (a == x && b == y) || (a == y && b == x); };
    if (either(Type::integer, Type::number)) return Type::integer;
    if (either(Type::string, Type::cidr)) return Type::cidr;
    if (either(Type::string, Type::address)) return Type::address;
    return std::nullopt;
  }

  ValuePtr unify_scalars(const Value& a, const Value& b, const std::string& path) {
    auto out = std::make_shared<Value>(a);
    auto type = meet(a.type, b.type);
    if (!type) return fault(b.at, path, "expected " + describe(a) + ", not " + describe(b));
    out->type = *type;
    out->bounds.insert(out->bounds.end(), b.bounds.begin(), b.bounds.end());
    const Value& given = b.literal ? b : a;
    if (a.literal && b.literal && !same(*a.literal, *b.literal))
      return fault(b.at, path,
                   text_of(*b.literal) + " conflicts with " + text_of(*a.literal) + " at " + to_string(a.at));
    out->literal = given.literal;
    if (!out->literal) return out;
    out->at = given.at;
    if (!has_type(*out->literal, *type))
      return fault(out->at, path,
                   "expected " + std::string(example_of(*type)) + ", not " + text_of(*out->literal));
    if (auto reason = malformed(*out->literal, *type)) return fault(out->at, path, *reason);
    for (auto& bound : out->bounds)
      if (auto reason = breaks(*out->literal, bound)) return fault(out->at, path, *reason);
    return out;
  }

  ValuePtr unify_structures(const Value& a, const Value& b, const std::string& path) {
    auto out = std::make_shared<Value>(a);
    out->closed |= b.closed;
    bool sound = true;
    auto foreign = [&](const Value& closed, const Value& other) {
      if (!closed.closed) return;
      for (auto& [name, member] : other.members)
        if (!closed.find(name)) {
          fault(member.at, joined(path, name), "unknown field" + nearest(closed, name));
          sound = false;
        }
    };
    foreign(a, b), foreign(b, a);
    for (auto& given : b.members) {
      const std::string& name = given.first;
      const Member& member = given.second;
      auto held =
          std::find_if(out->members.begin(), out->members.end(), [&](auto& m) { return m.first == name; });
      if (held == out->members.end()) {
        out->members.emplace_back(name, member);
        continue;
      }
      held->second.value = unify(held->second.value, member.value, joined(path, name));
      held->second.optional &= member.optional;
      sound &= held->second.value != nullptr;
    }
    return sound ? out : nullptr;
  }

  static std::string nearest(const Value& closed, const std::string& name) {
    std::string best;
    std::size_t least = 3;
    for (auto& [other, member] : closed.members) {
      std::vector<std::size_t> row(name.size() + 1);
      for (std::size_t k = 0; k < row.size(); ++k) row[k] = k;
      for (std::size_t i = 1; i <= other.size(); ++i) {
        std::size_t corner = std::exchange(row[0], i);
        for (std::size_t k = 1; k <= name.size(); ++k) {
          std::size_t change = corner + (other[i - 1] != name[k - 1]);
          corner = row[k];
          row[k] = std::min({row[k] + 1, row[k - 1] + 1, change});
        }
      }
      if (row[name.size()] < least) least = row[name.size()], best = other;
    }
    return best.empty() ? "" : "; is " + best + " meant?";
  }

  ValuePtr unify_lists(const Value& a, const Value& b, const std::string& path) {
    auto out = std::make_shared<Value>();
    out->kind = Value::Kind::list;
    out->at = b.items.empty() ? a.at : b.at;
    std::size_t length = std::max(a.items.size(), b.items.size());
    bool sound = true;
    for (std::size_t k = 0; k < length; ++k) {
      auto side = [&](const Value& v) { return k < v.items.size() ? v.items[k] : v.rest; };
      ValuePtr x = side(a), y = side(b);
      std::string at = path + "[" + std::to_string(k) + "]";
      if (!x || !y)
        return fault((k < b.items.size() ? b.items[k] : a.items[k])->at, at,
                     "one item too many: the list has " + std::to_string(k));
      out->items.push_back(unify(x, y, at));
      sound &= out->items.back() != nullptr;
    }
    if (a.rest && b.rest) out->rest = unify(a.rest, b.rest, path + "[...]"), sound &= out->rest != nullptr;
    return sound ? out : nullptr;
  }

  ValuePtr unify_one_of(const ValuePtr& a, const ValuePtr& b, const std::string& path) {
    auto spread = [](const ValuePtr& v) {
      return v->kind == Value::Kind::one_of ? v->alternatives : std::vector{std::pair{v, false}};
    };
    auto out = std::make_shared<Value>();
    out->kind = Value::Kind::one_of;
    out->at = b->kind == Value::Kind::one_of ? a->at : b->at;
    std::vector<Fault> nearest_faults;
    for (auto& [x, x_default] : spread(a))
      for (auto& [y, y_default] : spread(b)) {
        Unifier attempt;
        if (ValuePtr both = attempt.unify(x, y, path)) {
          out->alternatives.emplace_back(both, x_default || y_default);
          continue;
        }
        // The alternative that got furthest is the one that was meant: its faults lie deepest.
        auto depth = [](const std::vector<Fault>& f) { return f.empty() ? 0 : f.front().path.size() + 1; };
        if (depth(attempt.faults) > depth(nearest_faults)) nearest_faults = attempt.faults;
      }
    if (out->alternatives.size() == 1) return out->alternatives[0].first;
    if (!out->alternatives.empty()) return out;
    if (!nearest_faults.empty() && nearest_faults.front().path.size() > path.size()) {
      faults.insert(faults.end(), nearest_faults.begin(), nearest_faults.end());
      return nullptr;
    }
    const Value& given = b->literal || a->kind == Value::Kind::one_of ? *b : *a;
    return fault(given.at, path,
                 "expected " + describe(&given == b.get() ? *a : *b) + ", not " + describe(given));
  }
};

class Evaluator {
 public:
  explicit Evaluator(Unifier& unifier) : unifier_(unifier) {}

  // Definitions and plain fields of these files can be named by any of them.
  void declare(const NodePtr& file) {
    for (auto& field : file->fields) names_[field.name].push_back(field.value);
  }

  // In a definition every structure is closed: it takes no other fields than it names. Throws ConfigError if
  // the value is reached through too many names.
  ValuePtr value(const Node& node, bool closed, const std::string& path) {
    if (depth_ == kMaxDepth)
      throw ConfigError(to_string(node.at) + ": " + path + ": reached through too many names");
    ++depth_;
    ValuePtr result = evaluate(node, closed, path);
    --depth_;
    return result;
  }

  ValuePtr structure(const Node& node, bool closed, const std::string& path) {
    auto out = std::make_shared<Value>();
    out->kind = Value::Kind::structure;
    out->at = node.at;
    out->closed = closed;
    for (auto& field : node.fields) {
      if (field.name[0] == '#' || field.name[0] == '_') continue;  // to be named, not settings themselves
      std::string at = joined(path, field.name);
      ValuePtr given = value(*field.value, closed, at);
      auto held = std::find_if(out->members.begin(), out->members.end(),
                               [&](auto& m) { return m.first == field.name; });
      if (held == out->members.end()) {
        out->members.emplace_back(field.name, Member{given, field.optional, field.at});
      } else {
        held->second.value = unifier_.unify(held->second.value, given, at);
        held->second.optional &= field.optional;
      }
    }
    return out;
  }

 private:
  // Each level of the files' nesting and each name on the way takes one; bounds the stack.
  static constexpr std::size_t kMaxDepth = 500;

  ValuePtr evaluate(const Node& node, bool closed, const std::string& path) {
    auto out = std::make_shared<Value>();
    out->at = node.at;
    switch (node.kind) {
      case Node::Kind::boolean:
      case Node::Kind::number:
      case Node::Kind::string:
        out->literal = std::make_shared<Node>(node);
        return out;
      case Node::Kind::bound:
        out->bounds.push_back({node.text, *node.parts[0]});
        return out;
      case Node::Kind::name:
        return named(node, closed, path);
      case Node::Kind::structure:
        return structure(node, closed, path);
      case Node::Kind::list:
        out->kind = Value::Kind::list;
        for (auto& part : node.parts) {
          out->items.push_back(value(*part, closed, path));
          if (!out->items.back()) return nullptr;  // the fault is noted
        }
        if (node.rest) {
          out->rest = value(*node.rest, closed, path);
          if (!out->rest) return nullptr;
        }
        return out;
      case Node::Kind::all_of: {
        ValuePtr all = value(*node.parts[0], closed, path);
        for (std::size_t k = 1; k < node.parts.size(); ++k)
          all = unifier_.unify(all, value(*node.parts[k], closed, path), path);
        return all;
      }
      case Node::Kind::one_of:
        out->kind = Value::Kind::one_of;
        for (std::size_t k = 0; k < node.parts.size(); ++k)
          if (ValuePtr part = value(*node.parts[k], closed, path))
            out->alternatives.emplace_back(part, node.defaults[k]);
        return out;
    }
    return out;
  }

  ValuePtr named(const Node& node, bool closed, const std::string& path) {
    for (auto& t : kTypes)
      if (node.text == t.name) {
        auto out = std::make_shared<Value>();
        out->at = node.at;
        out->type = t.type;
        return out;
      }
    std::string first = node.text.substr(0, node.text.find('.'));
    auto found = names_.find(first);
    if (found == names_.end())
      return unifier_.fault(node.at, path, "'" + node.text + "' is neither a type nor defined here");
    if (!open_.insert(node.text).second)
      return unifier_.fault(node.at, path, "'" + node.text + "' refers to itself");
    ValuePtr all;
    for (auto& part : found->second) {
      ValuePtr given = value(*part, closed || first[0] == '#', path);
      all = all ? unifier_.unify(all, given, path) : given;
    }
    open_.erase(node.text);
    for (std::size_t dot = node.text.find('.'); all && dot != std::string::npos;) {
      std::size_t next = node.text.find('.', dot + 1);
      const Member* member = all->find(node.text.substr(dot + 1, next - dot - 1));
      if (!member) return unifier_.fault(node.at, path, "'" + node.text + "' names no field");
      all = member->value;
      dot = next;
    }
    return all;
  }

  Unifier& unifier_;
  std::map<std::string, std::vector<NodePtr>> names_;
  std::set<std::string> open_;  // names being looked up: a second look would not end
  std::size_t depth_ = 0;       // calls of value() that have not returned
};

// Values to a concrete tree: defaults chosen, what is missing noted. Nothing where something is missing.
std::optional<Tree> concrete(const Value& v, const std::string& path, Unifier& unifier) {
  Tree out;
  out.from = v.at;
  switch (v.kind) {
    case Value::Kind::one_of: {
      const Value* chosen = nullptr;
      std::size_t defaults = 0;
      for (auto& [alternative, is_default] : v.alternatives)
        if (is_default) chosen = alternative.get(), ++defaults;
      if (defaults == 1) return concrete(*chosen, path, unifier);
      unifier.fault(v.at, path, "missing: expected " + describe(v));
      return std::nullopt;
    }
    case Value::Kind::list:
      out.kind = Tree::Kind::list;
      for (std::size_t k = 0; k < v.items.size(); ++k)
        if (auto item = concrete(*v.items[k], path + "[" + std::to_string(k) + "]", unifier))
          out.items.push_back(std::move(*item));
      return out;
    case Value::Kind::structure:
      out.kind = Tree::Kind::structure;
      for (auto& [name, member] : v.members) {
        if (member.optional) continue;  // no file gave it: what a file gives is not optional
        if (auto field = concrete(*member.value, joined(path, name), unifier))
          out.fields.emplace_back(name, std::move(*field));
      }
      return out;
    case Value::Kind::scalar:
      break;
  }
  if (!v.literal) {
    unifier.fault(v.at, path, "missing: expected " + describe(v));
    return std::nullopt;
  }
  const Node& literal = *v.literal;
  out.kind = literal.kind == Node::Kind::boolean  ? Tree::Kind::boolean
             : literal.kind == Node::Kind::number ? Tree::Kind::number
                                                  : Tree::Kind::string;
  out.truth = literal.number != 0;
  out.number = literal.number;
  out.unit = literal.unit;
  out.text = literal.text;
  return out;
}

void print_to(std::string& out, const Tree& tree, std::string indent, bool origins) {
  auto origin = [&](const Tree& t) { return origins ? "  // " + to_string(t.from) : std::string(); };
  switch (tree.kind) {
    case Tree::Kind::structure:
      out += "{\n";
      for (auto& [name, field] : tree.fields) {
        out += indent;
        out += "  ";
        out += name;
        out += ": ";
        print_to(out, field, indent + "  ", origins);
      }
      out += indent + "}\n";
      return;
    case Tree::Kind::list:
      out += "[\n";
      for (auto& item : tree.items) {
        out += indent + "  ";
        print_to(out, item, indent + "  ", origins);
        out.insert(out.rfind('\n'), origins && item.kind < Tree::Kind::structure ? "" : ",");
      }
      out += indent + "]\n";
      return;
    default:
      break;
  }
  Node literal;
  literal.kind = tree.kind == Tree::Kind::boolean  ? Node::Kind::boolean
                 : tree.kind == Tree::Kind::number ? Node::Kind::number
                                                   : Node::Kind::string;
  literal.number = tree.kind == Tree::Kind::boolean ? tree.truth : tree.number;
  literal.unit = tree.unit;
  literal.text = tree.text;
  out += text_of(literal) + origin(tree) + "\n";
}

}  // namespace

const Tree* Tree::find(std::string_view name) const {
  for (auto& [key, field] : fields)
    if (key == name) return &field;
  return nullptr;
}
const Tree& Tree::at(std::string_view name) const {
  if (const Tree* field = find(name)) return *field;
  throw std::logic_error("the schema has no required field " + std::string(name));
}
bool Tree::flag(std::string_view name) const { return at(name).truth; }
double Tree::real(std::string_view name) const { return at(name).number; }
long long Tree::whole(std::string_view name) const { return std::llround(at(name).number); }
const std::string& Tree::string(std::string_view name) const { return at(name).text; }

namespace {

void add_paths(const Node& node, const std::string& path, const Position& at,
               std::vector<std::pair<std::string, Position>>& out) {
  if (node.kind != Node::Kind::structure || (node.fields.empty() && !path.empty()))
    return static_cast<void>(out.emplace_back(path, at));
  for (const FieldNode& f : node.fields) add_paths(*f.value, joined(path, f.name), f.at, out);
}
void add_paths(const Tree& tree, const std::string& path, std::vector<std::string>& out) {
  if (tree.kind != Tree::Kind::structure) return out.push_back(path);
  for (auto& [name, field] : tree.fields) add_paths(field, joined(path, name), out);
}

// `below` without the fields that `above` gives, which may give one in several pieces. Definitions stay: they
// give nothing by themselves.
NodePtr without(const NodePtr& below, const Node& above) {
  auto out = std::make_shared<Node>(*below);
  for (const FieldNode& over : above.fields) {
    if (over.name.starts_with("#")) continue;
    std::vector<FieldNode> kept;
    for (FieldNode& f : out->fields) {
      bool both = over.value->kind == Node::Kind::structure && f.value->kind == Node::Kind::structure;
      if (f.name == over.name && !both) continue;
      if (f.name == over.name) f.value = without(f.value, *over.value);
      kept.push_back(std::move(f));
    }
    out->fields = std::move(kept);
  }
  return out;
}

}  // namespace

std::vector<std::pair<std::string, Position>> given_paths(const Source& source) {
  std::vector<std::pair<std::string, Position>> out;
  NodePtr all = parse(source.text, source.name);
  add_paths(*all, "", all->at, out);
  return out;
}

std::optional<std::string> given_text(const std::vector<Source>& sources, std::string_view name) {
  for (const Source& source : sources) {
    NodePtr all = parse(source.text, source.name);
    for (const FieldNode& f : all->fields)
      if (f.name == name && f.value->kind == Node::Kind::string) return f.value->text;
  }
  return std::nullopt;
}

std::vector<std::string> paths(const Tree& tree) {
  std::vector<std::string> out;
  add_paths(tree, "", out);
  return out;
}

Tree load(const Source& schema, std::string_view root, const std::vector<Source>& sources,
          const std::vector<Source>& over) {
  Unifier unifier;
  Evaluator schema_names(unifier), file_names(unifier);
  NodePtr rules = parse(schema.text, schema.name);
  schema_names.declare(rules), file_names.declare(rules);
  std::vector<NodePtr> files;
  for (auto& source : sources) files.push_back(parse(source.text, source.name));
  std::vector<NodePtr> above;
  for (auto& source : over) above.push_back(parse(source.text, source.name));
  for (NodePtr& file : files)
    for (auto& top : above) file = without(file, *top);
  files.insert(files.end(), above.begin(), above.end());
  for (auto& file : files) file_names.declare(file);

  Node start;
  start.kind = Node::Kind::name;
  start.text = root;
  start.at = rules->at;
  ValuePtr all = schema_names.value(start, true, "");
  for (auto& file : files) {
    ValuePtr next = all ? unifier.unify(all, file_names.structure(*file, false, ""), "") : nullptr;
    if (next) all = next;  // else go on with what is sound, to find the faults of the other files
  }
  std::optional<Tree> tree;
  if (all && unifier.faults.empty()) tree = concrete(*all, "", unifier);
  if (unifier.faults.empty() && tree) return std::move(*tree);
  std::string text;
  for (auto& f : unifier.faults)
    text += (text.empty() ? "" : "\n") + to_string(f.at) + ": " + (f.path.empty() ? "" : f.path + ": ") +
            f.reason;
  throw ConfigError(text);
}

std::vector<std::pair<std::string, std::string>> values(const Tree& tree) {
  std::vector<std::pair<std::string, std::string>> out;
  std::function<void(const Tree&, const std::string&)> add = [&](const Tree& t, const std::string& path) {
    if (t.kind == Tree::Kind::structure) {
      for (auto& [name, field] : t.fields) add(field, joined(path, name));
    } else if (t.kind == Tree::Kind::list) {
      for (std::size_t k = 0; k < t.items.size(); ++k) add(t.items[k], path + "[" + std::to_string(k) + "]");
    } else {
      std::string text;
      print_to(text, t, "", false);
      text.pop_back();  // its end of line
      out.emplace_back(path, std::move(text));
    }
  };
  add(tree, "");
  return out;
}

std::string print(const Tree& tree, bool origins) {
  std::string out;
  for (auto& [name, field] : tree.fields) {
    out += name + ": ";
    print_to(out, field, "", origins);
  }
  return out;
}

}  // namespace beamshunt::config
