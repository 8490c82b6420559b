// Settings that come from a control service: which fields each type of resource may give, how a change of
// each takes effect, and what a version makes of the settings of the files. Pure.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "assigner/core.h"
#include "assigner/site.h"
#include "config_stream/wire.h"

namespace beamshunt::assigner {

enum class TakesEffect {
  in_place,      // from the next turn on
  fresh_module,  // a fresh instance of the module takes the place of the one that runs
  file_only,     // what the process stands on: only its files give it, at its start
};
// Of a field of #Assigner by its path, such as "site.channel.delay". Every field of the schema has an answer;
// std::logic_error for a path that is none.
TakesEffect takes_effect(std::string_view path);

// The types of resources, and what each may give.
struct ResourceType {
  const char* name;
  std::vector<std::string_view> gives;   // paths; what is below them, too
  std::vector<std::string_view> except;  // of these
};
const std::vector<ResourceType>& resource_types();
constexpr const char* kAlertsType = "alerts";  // holds rules in Prometheus' format, not settings

// The settings of the files with the version's in their place. Reasons instead where a resource can't be
// read, gives what its type may not, or the whole is not sound.
struct Composed {
  std::optional<Site> site;
  std::vector<config_stream::Reason> reasons;
};
Composed compose(const std::vector<config::Source>& files, const config_stream::Resources& resources);

// What can't be changed while this fleet is joined, whoever asks for it: positions that proxies and lists go
// by.
std::vector<config_stream::Reason> unapplicable(const Site& now, const Site& next, const Fleet& fleet);

// Judges a version before it is taken. Called off the loop, on a thread of its own. No reasons: it passes.
struct Candidate {
  const Site& now;
  const Site& next;
  const Fleet& fleet;
  const config_stream::Resources& resources;
  const std::vector<std::string>& changed;  // paths that differ in text from what runs
};
using Gate = std::function<std::vector<config_stream::Reason>(const Candidate& candidate)>;

}  // namespace beamshunt::assigner
