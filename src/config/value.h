// What settings mean: values that unify, as in CUE. A schema and any number of files become one tree of
// concrete values, each with the place that gave it; or a list of what is wrong, each with its place.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config/syntax.h"

namespace beamshunt::config {

struct Field;

// A concrete setting.
struct Tree {
  enum class Kind { boolean, number, string, structure, list };
  Kind kind{};
  Position from;  // of the text that gave the value; the schema's own place for a default
  bool truth = false;
  double number = 0;  // in the unit's base: ms, per second, bytes
  Unit unit = Unit::none;
  std::string text;
  std::vector<Field> fields;  // in the schema's order
  std::vector<Tree> items;

  const Tree* find(std::string_view name) const;
  // Typed access. The schema has checked types and presence; a slip of the program throws std::logic_error.
  const Tree& at(std::string_view name) const;
  bool flag(std::string_view name) const;
  double real(std::string_view name) const;
  long long whole(std::string_view name) const;
  const std::string& string(std::string_view name) const;
  bool has(std::string_view name) const { return find(name) != nullptr; }
};

struct Field {
  Field(std::string name, Tree value) : first(std::move(name)), second(std::move(value)) {}
  std::string first;
  Tree second;
};

struct Source {
  std::string name, text;
};

// The definition `root` (such as "#Assigner") of the schema, unified with the fields of all sources.
// Throws ConfigError: one line for each fault found, "file:line:column: path: reason".
// Sources in `over` take the place of what the others give: field by field in structures, lists as a whole.
// Among themselves they unify like the others.
Tree load(const Source& schema, std::string_view root, const std::vector<Source>& sources,
          const std::vector<Source>& over = {});

// The paths of all fields that the text gives, "site.channel.delay", each with its place; lists are one
// field. Throws ConfigError.
std::vector<std::pair<std::string, Position>> given_paths(const Source& source);
// The same of a tree.
std::vector<std::string> paths(const Tree& tree);
std::vector<std::pair<std::string, std::string>> values(const Tree& tree);  // with each value as text
// The text that a source gives a field at the top, if it is written out there.
std::optional<std::string> given_text(const std::vector<Source>& sources, std::string_view name);

// As text that load() takes again; with `origins`, each value's place behind it.
std::string print(const Tree& tree, bool origins);

}  // namespace beamshunt::config
