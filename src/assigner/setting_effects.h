// How a change of each setting takes effect, and which settings each type of streamed resource may give.
// Tables only. A setting that is added to the schema needs a row here; a test goes through the whole schema.
#pragma once

#include <string_view>
#include <vector>

namespace beamshunt::assigner {

enum class TakesEffect {
  in_place,      // from the core's next run on
  fresh_module,  // a new controller takes over from the one that runs, proxy by proxy
  file_only,     // what the process stands on: only its files give it, at its start
};

// Of a field of #Assigner by its path, such as "site.channel.delay". Throws std::logic_error for a path that
// is no field.
[[nodiscard]] TakesEffect takes_effect(std::string_view path);

// A type of streamed resource.
struct ResourceType {
  const char* name;
  std::vector<std::string_view> gives;   // paths, each with all below it
  std::vector<std::string_view> except;  // of these

  [[nodiscard]] bool may_give(std::string_view path) const;
};
const std::vector<ResourceType>& resource_types();
// Null if there is no such type.
const ResourceType* find_resource_type(std::string_view name);

// The type that holds alert rules in Prometheus' format, not settings.
constexpr const char* kAlertsType = "alerts";

}  // namespace beamshunt::assigner
