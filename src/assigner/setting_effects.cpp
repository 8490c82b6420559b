#include "assigner/setting_effects.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace beamshunt::assigner {
namespace {

bool is_within(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) return false;
  if (path.size() == prefix.size()) return true;
  char next = path[prefix.size()];
  return next == '.' || next == '[';
}

struct EffectRow {
  std::string_view prefix;
  TakesEffect effect;
};
// The longest prefix that fits decides.
constexpr EffectRow kEffects[] = {
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
    {"site.localities", TakesEffect::fresh_module},  // of their names; prefixes alone take effect in place
    {"site.reports.lines_per_s", TakesEffect::in_place},
    {"site.list.quiet", TakesEffect::in_place},
    {"site.probes.timeout", TakesEffect::in_place},
};

}  // namespace

TakesEffect takes_effect(std::string_view path) {
  const EffectRow* best = nullptr;
  for (const EffectRow& row : kEffects) {
    if (!is_within(path, row.prefix)) continue;
    if (!best || row.prefix.size() > best->prefix.size()) best = &row;
  }
  if (!best) throw std::logic_error("no word on how a change of " + std::string(path) + " takes effect");
  return best->effect;
}

bool ResourceType::may_give(std::string_view path) const {
  auto holds = [path](std::string_view prefix) { return is_within(path, prefix); };
  return std::any_of(gives.begin(), gives.end(), holds) && std::none_of(except.begin(), except.end(), holds);
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

const ResourceType* find_resource_type(std::string_view name) {
  const auto& types = resource_types();
  auto found =
      std::find_if(types.begin(), types.end(), [name](const auto& type) { return type.name == name; });
  return found == types.end() ? nullptr : &*found;
}

}  // namespace beamshunt::assigner
