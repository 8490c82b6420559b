// The settings language: a small part of CUE. Text to a syntax tree; nothing is looked up or checked here.
// docs/config.md describes it for its users.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace beamshunt::config {

struct Position {
  std::shared_ptr<const std::string> file;
  std::size_t line = 0, column = 0;  // from 1
};
std::string to_string(const Position& position);  // "site.cue:3:14"

enum class Unit { none, duration, rate, size };  // of a number: ms, per second, bytes

struct Node;
using NodePtr = std::shared_ptr<const Node>;

struct FieldNode {
  Position at;
  std::string name;  // definitions begin with "#", hidden fields with "_"
  bool optional = false;
  NodePtr value;
};

struct Node {
  enum class Kind { boolean, number, string, name, bound, structure, list, all_of, one_of };
  Kind kind{};
  Position at;
  std::string text;    // string: its content; name: a type or a dotted path; bound: its operator
  double number = 0;   // number, in the unit's base; boolean: 0 or 1
  bool whole = false;  // number: written without a fraction
  Unit unit = Unit::none;
  std::vector<NodePtr> parts;     // of list, all_of, one_of; bound: its limit
  std::vector<bool> defaults;     // one_of: which alternatives are marked '*'
  NodePtr rest;                   // list: what further items must be; null: there are none
  std::vector<FieldNode> fields;  // of a structure
};

// Text that can't be read, or settings that can't be right: "file:line:column: path: reason".
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The file's fields as one structure. Throws ConfigError.
NodePtr parse(std::string_view text, const std::string& file);

}  // namespace beamshunt::config
