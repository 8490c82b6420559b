#include "config/syntax.h"

#include <charconv>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/limit_depth.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

namespace beamshunt::config {

namespace pegtl = tao::pegtl;

std::string to_string(const Position& p) {
  return *p.file + ":" + std::to_string(p.line) + ":" + std::to_string(p.column);
}

namespace grammar {
using namespace pegtl;  // NOLINT: the grammar reads as one

struct comment : seq<two<'/'>, until<at<eolf>>> {};
struct blank_ : one<' ', '\t', '\r'> {};
struct ws : star<sor<blank_, one<'\n'>, comment>> {};
struct more_ws : star<sor<blank_, one<'\n', ','>, comment>> {};
// Between two fields: a comma or the end of a line.
struct separator : seq<star<blank_>, opt<comment>, sor<one<'\n', ','>, at<one<'}'>>, eof>, more_ws> {};
struct item_separator : seq<ws, sor<one<','>, at<one<']'>>>, ws> {};

template <typename>  // told apart by the tag: only the one with `void` becomes a part of the tree
struct label_of : seq<opt<one<'#'>>, sor<alpha, one<'_'>>, star<sor<alnum, one<'_'>>>> {};
using label = label_of<void>;
struct optional_mark : one<'?'> {};
struct colon : one<':'> {};
struct label_ahead : at<label_of<int>, ws, opt<one<'?'>>, ws, colon> {};

struct escape : seq<one<'\\'>, must<one<'"', '\\', 'n', 't'>>> {};
struct string_text : star<sor<escape, not_one<'"', '\\', '\n'>>> {};
struct string_end : one<'"'> {};
struct string_literal : if_must<one<'"'>, string_text, string_end> {};

struct unit : sor<TAO_PEGTL_STRING("KiB"), TAO_PEGTL_STRING("MiB"), TAO_PEGTL_STRING("GiB"),
                  TAO_PEGTL_STRING("/s"), TAO_PEGTL_STRING("/min"), TAO_PEGTL_STRING("us"),
                  TAO_PEGTL_STRING("ms"), one<'s'>, TAO_PEGTL_STRING("min"), one<'h'>, one<'B'>> {};
struct digits : plus<digit> {};
struct figure
    : seq<opt<one<'-'>>, digits, opt<one<'.'>, digits>, opt<one<'e', 'E'>, opt<one<'+', '-'>>, digits>> {};
struct number_end : not_at<sor<alnum, one<'_'>>> {};
struct number : seq<figure, opt<unit>, must<number_end>> {};

struct word : seq<sor<alpha, one<'_'>>, star<sor<alnum, one<'_'>>>> {};
struct name : seq<opt<one<'#'>>, list<word, one<'.'>>> {};
struct truth
    : seq<sor<TAO_PEGTL_STRING("true"), TAO_PEGTL_STRING("false")>, not_at<sor<alnum, one<'_', '.'>>>> {};

struct value;
struct operator_ : sor<TAO_PEGTL_STRING(">="), TAO_PEGTL_STRING("<="), TAO_PEGTL_STRING("!="),
                       TAO_PEGTL_STRING("=~"), one<'>', '<'>> {};
struct limit : sor<string_literal, number> {};
struct bound : seq<operator_, ws, must<limit>> {};
struct field;
struct fields : seq<more_ws, star<field, must<separator>>> {};
struct structure_end : one<'}'> {};
struct structure : if_must<one<'{'>, fields, structure_end> {};
struct rest_value : seq<value> {};
struct rest : seq<TAO_PEGTL_STRING("..."), ws, opt<rest_value>> {};
struct item : seq<value> {};
struct list_end : one<']'> {};
struct items : star<sor<rest, item>, must<item_separator>> {};
struct list_ : if_must<one<'['>, ws, items, list_end> {};
struct closing : one<')'> {};
struct group : if_must<one<'('>, ws, value, ws, closing> {};
struct primary : sor<structure, list_, group, bound, string_literal, number, truth, name> {};
struct all_of : seq<primary, star<ws, one<'&'>, ws, must<primary>>> {};
struct default_mark : one<'*'> {};
struct alternative : seq<opt<default_mark, ws>, all_of> {};
struct one_of : seq<alternative, star<ws, one<'|'>, ws, must<alternative>>> {};
struct value : seq<one_of> {};
struct shorthand : seq<label_ahead, field> {};  // a: b: 1 stands for a: {b: 1}
struct field_value : sor<shorthand, value> {};
struct field : seq<label, ws, opt<optional_mark>, ws, must<colon>, ws, must<field_value>> {};
struct file_end : eof {};
struct file : seq<fields, must<file_end>> {};

// The parser calls itself for what is nested: a text must not be able to use up its stack.
constexpr std::size_t kMostNested = 100;
template <typename Rule>
struct action : nothing<Rule> {};
template <>
struct action<value> : limit_depth<kMostNested> {};
template <>
struct action<field> : limit_depth<kMostNested> {};

template <typename Rule>
constexpr const char* expected = nullptr;
template <>
constexpr const char* expected<one<'"', '\\', 'n', 't'>> = R"(one of \" \\ \n \t behind a backslash)";
template <>
constexpr const char* expected<string_text> = "the text of a string";
template <>
constexpr const char* expected<string_end> = "'\"' to end the string on its line";
template <>
constexpr const char* expected<number_end> = "a unit (us ms s min h, /s /min, B KiB MiB GiB) or an end";
template <>
constexpr const char* expected<limit> = "a number or a string as the limit";
template <>
constexpr const char* expected<separator> = "a comma or the end of the line";
template <>
constexpr const char* expected<fields> = "fields";
template <>
constexpr const char* expected<structure_end> = "a field or '}'";
template <>
constexpr const char* expected<item_separator> = "',' or ']'";
template <>
constexpr const char* expected<items> = "values";
template <>
constexpr const char* expected<list_end> = "a value or ']'";
template <>
constexpr const char* expected<closing> = "')'";
template <>
constexpr const char* expected<primary> = "a value";
template <>
constexpr const char* expected<alternative> = "a value";
template <>
constexpr const char* expected<value> = "a value";
template <>
constexpr const char* expected<ws> = "a value";
template <>
constexpr const char* expected<colon> = "':' behind the field's name";
template <>
constexpr const char* expected<field_value> = "a value";
template <>
constexpr const char* expected<file_end> = "a field";

struct messages {
  template <typename Rule>
  static constexpr auto message = expected<Rule>;
  template <typename Rule>
  static constexpr bool raise_on_failure = false;  // only where the grammar says must<>
};
template <typename Rule>
using control = must_if<messages>::control<Rule>;

template <typename Rule>
using selector =
    parse_tree::selector<Rule,
                         parse_tree::store_content::on<label, optional_mark, string_text, figure, unit, name,
                                                       truth, operator_, default_mark>,
                         parse_tree::remove_content::on<field, structure, list_, rest, bound, number, all_of,
                                                        alternative, one_of, file, string_literal>>;

}  // namespace grammar

namespace {

using Tree = pegtl::parse_tree::node;

class Builder {
 public:
  explicit Builder(const std::string& file) : file_(std::make_shared<const std::string>(file)) {}

  NodePtr structure(const Tree& tree) const {
    auto node = make(Node::Kind::structure, tree);
    for (auto& child : tree.children) node->fields.push_back(field(*child));
    return node;
  }

 private:
  std::shared_ptr<Node> make(Node::Kind kind, const Tree& tree) const {
    auto node = std::make_shared<Node>();
    node->kind = kind;
    node->at = {file_, tree.begin().line, tree.begin().column};
    return node;
  }

  FieldNode field(const Tree& tree) const {
    FieldNode out{
        {file_, tree.begin().line, tree.begin().column}, tree.children[0]->string(), false, nullptr};
    out.optional = tree.children[1]->is_type<grammar::optional_mark>();
    const Tree& given = *tree.children.back();
    if (given.is_type<grammar::field>()) {
      auto inner = make(Node::Kind::structure, given);
      inner->fields.push_back(field(given));
      out.value = inner;
    } else {
      out.value = value(given);
    }
    return out;
  }

  NodePtr value(const Tree& tree) const {
    if (tree.is_type<grammar::one_of>()) {
      if (tree.children.size() == 1 && tree.children[0]->children.size() == 1)
        return value(*tree.children[0]->children[0]);
      auto node = make(Node::Kind::one_of, tree);
      for (auto& alternative : tree.children) {
        node->defaults.push_back(alternative->children[0]->is_type<grammar::default_mark>());
        node->parts.push_back(value(*alternative->children.back()));
      }
      return node;
    }
    if (tree.is_type<grammar::all_of>()) {
      if (tree.children.size() == 1) return value(*tree.children[0]);
      auto node = make(Node::Kind::all_of, tree);
      for (auto& part : tree.children) node->parts.push_back(value(*part));
      return node;
    }
    if (tree.is_type<grammar::structure>()) return structure(tree);
    if (tree.is_type<grammar::list_>()) {
      auto node = make(Node::Kind::list, tree);
      for (auto& part : tree.children) {
        if (!part->is_type<grammar::rest>()) {
          node->parts.push_back(value(*part));
        } else if (part->children.empty()) {
          auto anything = make(Node::Kind::name, *part);
          anything->text = "any";
          node->rest = anything;
        } else {
          node->rest = value(*part->children[0]);
        }
      }
      return node;
    }
    if (tree.is_type<grammar::bound>()) {
      auto node = make(Node::Kind::bound, tree);
      node->text = tree.children[0]->string();
      node->parts.push_back(value(*tree.children[1]));
      return node;
    }
    if (tree.is_type<grammar::string_literal>()) {
      auto node = make(Node::Kind::string, tree);
      node->text = unescaped(tree.children[0]->string_view());
      return node;
    }
    if (tree.is_type<grammar::number>()) return number(tree);
    auto node = make(tree.is_type<grammar::truth>() ? Node::Kind::boolean : Node::Kind::name, tree);
    node->text = tree.string();
    node->number = node->text == "true";
    return node;
  }

  static std::string unescaped(std::string_view text) {
    std::string out;
    for (std::size_t k = 0; k < text.size(); ++k) {
      char c = text[k];
      if (c == '\\') c = text[++k], c = c == 'n' ? '\n' : c == 't' ? '\t' : c;
      out += c;
    }
    return out;
  }

  NodePtr number(const Tree& tree) const {
    auto node = make(Node::Kind::number, tree);
    std::string_view figure = tree.children[0]->string_view();
    std::from_chars(figure.data(), figure.data() + figure.size(), node->number);
    node->whole = figure.find_first_of(".eE") == std::string_view::npos;
    if (tree.children.size() < 2) return node;
    struct UnitOf {
      std::string_view name;
      Unit unit;
      double base;
    };
    constexpr UnitOf kUnits[] = {
        {"us", Unit::duration, 0.001},  {"ms", Unit::duration, 1},      {"s", Unit::duration, 1000},
        {"min", Unit::duration, 60e3},  {"h", Unit::duration, 3600e3},  {"/s", Unit::rate, 1},
        {"/min", Unit::rate, 1.0 / 60}, {"B", Unit::size, 1},           {"KiB", Unit::size, 1024},
        {"MiB", Unit::size, 1048576},   {"GiB", Unit::size, 1073741824}};
    for (const UnitOf& u : kUnits)
      if (u.name == tree.children[1]->string_view()) node->unit = u.unit, node->number *= u.base;
    return node;
  }

  std::shared_ptr<const std::string> file_;
};

}  // namespace

NodePtr parse(std::string_view text, const std::string& file) {
  pegtl::memory_input input(text.data(), text.data() + text.size(), file);
  try {
    auto tree =
        pegtl::parse_tree::parse<grammar::file, grammar::selector, grammar::action, grammar::control>(input);
    return Builder(file).structure(*tree->children[0]);
  } catch (const pegtl::parse_error& error) {
    auto& at = error.positions().front();
    bool nested = error.message().starts_with("maximum");  // the one message that is not of this grammar
    throw ConfigError(file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " +
                      (nested ? "nested too deeply" : "expected " + std::string(error.message())));
  }
}

}  // namespace beamshunt::config
