#include "assigner/streamed.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace beamshunt::assigner {
namespace {

using config_stream::Reason;

bool within(std::string_view path, std::string_view prefix) {
  return path.starts_with(prefix) &&
         (path.size() == prefix.size() || path[prefix.size()] == '.' || path[prefix.size()] == '[');
}

struct EffectOf {
  std::string_view prefix;
  TakesEffect effect;
};
// The longest prefix that fits decides.
constexpr EffectOf kEffects[] = {
    {"instance", TakesEffect::file_only},
    {"seed", TakesEffect::file_only},
    {"home", TakesEffect::file_only},
    {"listen", TakesEffect::file_only},
    {"discovery", TakesEffect::file_only},
    {"peers", TakesEffect::file_only},
    {"state", TakesEffect::file_only},
    {"record", TakesEffect::file_only},
    {"log.file", TakesEffect::file_only},
    {"control", TakesEffect::file_only},
    {"log.level", TakesEffect::in_place},
    {"admit", TakesEffect::in_place},
    {"streams", TakesEffect::in_place},
    {"stop_within", TakesEffect::in_place},
    {"remote_write", TakesEffect::in_place},
    {"site", TakesEffect::fresh_module},
    {"site.localities", TakesEffect::fresh_module},  // names; prefixes alone: in place
    {"site.reports.lines_per_s", TakesEffect::in_place},
    {"site.list.quiet", TakesEffect::in_place},
    {"site.probes.timeout", TakesEffect::in_place},
};

}  // namespace

TakesEffect takes_effect(std::string_view path) {
  const EffectOf* best = nullptr;
  for (const EffectOf& e : kEffects)
    if (within(path, e.prefix) && (!best || e.prefix.size() > best->prefix.size())) best = &e;
  if (!best) throw std::logic_error("no word on how a change of " + std::string(path) + " takes effect");
  return best->effect;
}

const std::vector<ResourceType>& resource_types() {
  static const std::vector<ResourceType> kTypes{
      {"settings",
       {"site", "streams", "log.level", "stop_within"},
       {"site.localities", "site.classes", "site.channel", "site.guarantees"}},
      {"localities", {"site.localities", "admit"}, {}},
      {"classes", {"site.classes"}, {}},
      {"limits", {"site.channel", "site.guarantees", "site.reports", "site.proxies", "streams"}, {}},
      {"telemetry", {"remote_write"}, {}},
      {kAlertsType, {}, {}},
  };
  return kTypes;
}

Composed compose(const std::vector<config::Source>& files, const config_stream::Resources& resources) {
  Composed out;
  std::vector<config::Source> over;
  auto refuse = [&](const char* rule, std::string path, std::string reason) {
    out.reasons.push_back({rule, std::move(path), std::move(reason), ""});
  };
  for (auto& [key, resource] : resources) {
    std::string name = key.type + "/" + key.name + "@" + std::to_string(resource.version);
    auto type = std::find_if(resource_types().begin(), resource_types().end(),
                             [&](const ResourceType& t) { return t.name == key.type; });
    if (type == resource_types().end()) {
      refuse("form", name, "there is no type \"" + key.type + "\"");
      continue;
    }
    if (key.type == kAlertsType) continue;
    config::Source source{name, resource.body};
    try {
      for (auto& [path, at] : config::given_paths(source)) {
        auto holds = [&p = path](std::string_view prefix) { return within(p, prefix); };
        if (std::any_of(type->gives.begin(), type->gives.end(), holds) &&
            std::none_of(type->except.begin(), type->except.end(), holds))
          continue;
        bool fixed = false;
        try {
          fixed = takes_effect(path) == TakesEffect::file_only;
        } catch (const std::logic_error&) {  // no field at all: said below
        }
        refuse("form", path,
               fmt::format("{}: {}", config::to_string(at),
                           fixed ? "only the assigner's own file gives this"
                                 : "a resource of type \"" + key.type + "\" does not give this"));
      }
      over.push_back(std::move(source));
    } catch (const config::ConfigError& error) {
      refuse("form", name, error.what());
    }
  }
  if (!out.reasons.empty()) return out;
  try {
    out.site = to_site(config::load(schema(), "#Assigner", files, over));
  } catch (const config::ConfigError& error) {
    // One line a fault: "place: path: reason".
    std::string_view text = error.what();
    while (!text.empty()) {
      std::string_view line = text.substr(0, text.find('\n'));
      text.remove_prefix(std::min(text.size(), line.size() + 1));
      std::size_t place = line.find(": "), path = line.find(": ", place + 2);
      if (place == line.npos || path == line.npos) refuse("bounds", "", std::string(line));
      else
        refuse("bounds", std::string(line.substr(place + 2, path - place - 2)),
               fmt::format("{}: {}", line.substr(0, place), line.substr(path + 2)));
    }
  }
  return out;
}

std::vector<Reason> unapplicable(const Site& now, const Site& next, const Fleet& fleet) {
  std::vector<Reason> out;
  auto refuse = [&](std::string rule, std::string path, std::string reason, std::string would_do) {
    out.push_back({std::move(rule), std::move(path), std::move(reason), std::move(would_do)});
  };
  auto& had = now.policy.localities;
  auto& has = next.policy.localities;
  std::vector<std::size_t> servers(had.size()), proxies(had.size());
  for (auto& s : fleet.servers) ++servers[std::min<std::size_t>(s.locality, had.size() - 1)];
  for (auto& p : fleet.proxies) ++proxies[std::min<std::size_t>(p.locality, had.size() - 1)];
  for (std::size_t z = 0; z < had.size(); ++z) {
    if (z < has.size() && has[z] == had[z]) continue;
    bool moved = std::find(has.begin(), has.end(), had[z]) != has.end();
    if (servers[z] + proxies[z] == 0 && !moved && has.size() <= z) continue;
    refuse(
        "rule 1", "site.localities",
        fmt::format("locality \"{}\" {} while it has {} proxies and {} servers: lists and proxies go by its "
                    "position",
                    had[z], moved ? "changes its place" : "goes", proxies[z], servers[z]),
        fmt::format("\"{}\" at position {}", had[z], z));
    return out;  // the positions behind it say nothing new
  }
  if (fleet.proxies.empty()) return out;
  for (std::size_t c = 0; c < now.class_names.size(); ++c) {
    if (c < next.class_names.size() && next.class_names[c] == now.class_names[c]) continue;
    refuse("rule 1", "site.classes",
           fmt::format("class \"{}\" is no longer at position {}, by which {} joined proxies report it",
                       now.class_names[c], c, fleet.proxies.size()),
           fmt::format("\"{}\" at position {}; new classes behind the old ones", now.class_names[c], c));
    break;
  }
  if (now.policy.admission_limit_kind != next.policy.admission_limit_kind)
    refuse("rule 1", "site.levels", "joined proxies read levels as they were set up: a share is no rate",
           "the same kind until no proxy is joined");
  for (auto& p : fleet.proxies) {
    auto from = next.locality_of.find(p.from.ip);
    if (!from || *from != p.locality) {
      refuse("rule 1", "site.localities",
             fmt::format("proxy {} at {} is in \"{}\" and would be in {}", p.id, net::to_string(p.from),
                         had[std::min<std::size_t>(p.locality, had.size() - 1)],
                         from ? "\"" + has[*from] + "\"" : "none"),
             "prefixes that hold every joined proxy");
      break;
    }
    if (!next.admits_all && !next.admitted.find(p.from.ip)) {
      refuse("rule 1", "admit",
             fmt::format("proxy {} at {} is joined and could not come back", p.id, net::to_string(p.from)),
             "a prefix that holds every joined proxy");
      break;
    }
  }
  return out;
}

}  // namespace beamshunt::assigner
