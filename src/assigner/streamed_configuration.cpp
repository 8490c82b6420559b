#include "assigner/streamed_configuration.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <string>
#include <string_view>

namespace beamshunt::assigner {
namespace {

using config_stream::Reason;

bool is_file_only(std::string_view path) {
  try {
    return takes_effect(path) == TakesEffect::file_only;
  } catch (const std::logic_error&) {
    return false;  // no field at all: rejected because no type gives it
  }
}

// Appends a reason for each field of the resource that its type does not give. Throws config::ConfigError if
// the text can't be read.
void check_fields(const ResourceType& type, const config::Source& source, std::vector<Reason>& reasons) {
  for (const auto& [path, at] : config::given_paths(source)) {
    if (type.may_give(path)) continue;
    std::string why = is_file_only(path)
                          ? "only the assigner's own file gives this"
                          : "a resource of type \"" + std::string(type.name) + "\" does not give this";
    reasons.push_back({"form", path, fmt::format("{}: {}", config::to_string(at), why), ""});
  }
}

// The resources that hold settings, as sources named "type/name@version".
std::vector<config::Source> sources_of(const config_stream::Resources& resources,
                                       std::vector<Reason>& reasons) {
  std::vector<config::Source> out;
  for (const auto& [key, resource] : resources) {
    std::string name = key.type + "/" + key.name + "@" + std::to_string(resource.version);
    const ResourceType* type = find_resource_type(key.type);
    if (!type) {
      reasons.push_back({"form", name, "there is no type \"" + key.type + "\"", ""});
      continue;
    }
    if (key.type == kAlertsType) continue;
    config::Source source{name, resource.body};
    try {
      check_fields(*type, source, reasons);
      out.push_back(std::move(source));
    } catch (const config::ConfigError& error) {
      reasons.push_back({"form", name, error.what(), ""});
    }
  }
  return out;
}

// `line`: "place: path: reason".
Reason reason_of_line(std::string_view line) {
  std::size_t place = line.find(": ");
  std::size_t path = line.find(": ", place + 2);
  if (place == std::string_view::npos || path == std::string_view::npos)
    return {"bounds", "", std::string(line), ""};
  return {"bounds", std::string(line.substr(place + 2, path - place - 2)),
          fmt::format("{}: {}", line.substr(0, place), line.substr(path + 2)), ""};
}

// A ConfigError has a line for each fault.
std::vector<Reason> reasons_of(const config::ConfigError& error) {
  std::vector<Reason> out;
  std::string_view text = error.what();
  while (!text.empty()) {
    std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    out.push_back(reason_of_line(line));
  }
  return out;
}

}  // namespace

ComposedSettings compose(const std::vector<config::Source>& files,
                         const config_stream::Resources& resources) {
  ComposedSettings out;
  std::vector<config::Source> over = sources_of(resources, out.reasons);
  if (!out.reasons.empty()) return out;
  try {
    out.settings = to_assigner_settings(config::load(settings_schema(), "#Assigner", files, over));
  } catch (const config::ConfigError& error) {
    out.reasons = reasons_of(error);
  }
  return out;
}

}  // namespace beamshunt::assigner
