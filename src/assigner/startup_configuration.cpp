#include "assigner/startup_configuration.h"

#include <fmt/format.h>

#include <memory>
#include <utility>

#include "assigner/streamed_configuration.h"

namespace beamshunt::assigner {
namespace {

using config_stream::Version;

// Either the settings of the files alone or why they can't be run.
struct FileSettings {
  std::optional<AssignerSettings> settings;
  std::string error;
};

FileSettings load_files(const std::vector<config::Source>& files) {
  try {
    return {load_assigner_settings(files), ""};
  } catch (const config::ConfigError& error) {
    return {std::nullopt, error.what()};
  }
}

// Where versions may be. Files that are not complete by themselves may be so with a version; where the state
// is they must say themselves. Nothing: these files name no control service.
std::optional<std::string> state_folder_of(const FileSettings& alone,
                                           const std::vector<config::Source>& files) {
  if (!alone.settings) return config::given_text(files, "state");
  if (!alone.settings->control) return std::nullopt;
  return alone.settings->state_folder;
}

// Fills `out` from the first usable version: the one to start, else the last that passed its trial. False if
// there is none; why is in the notes.
bool load_version(const std::string& state_folder, const std::vector<config::Source>& files,
                  StartupConfiguration& out) {
  std::unique_ptr<config_stream::Disk> disk = config_stream::open_folder(configuration_folder(state_folder));
  config_stream::VersionHistory history = config_stream::VersionStore::read_history(*disk);
  const auto [first, abandoned] = history.version_to_start();
  for (const Version* version : {first, history.last_good()}) {
    if (!version) continue;
    bool tried_already = version != first && first && version->hash == first->hash;
    if (tried_already) continue;
    ComposedSettings composed = compose(files, version->resources);
    if (composed.settings) {
      out.settings = std::move(*composed.settings);
      out.version = *version;
      if (abandoned) out.abandoned = *abandoned;
      return true;
    }
    out.notes.push_back(fmt::format("version {} on disk: {}", version->number, to_text(composed.reasons)));
  }
  return false;
}

}  // namespace

std::string configuration_folder(const std::string& state_folder) { return state_folder + "/config"; }

std::string to_text(const std::vector<config_stream::Reason>& reasons) {
  std::string out;
  for (const config_stream::Reason& reason : reasons) {
    if (!out.empty()) out += "\n";
    out += config_stream::to_string(reason);
  }
  return out;
}

StartupConfiguration load_startup_configuration(const std::vector<config::Source>& files) {
  StartupConfiguration out;
  FileSettings alone = load_files(files);
  std::optional<std::string> state_folder = state_folder_of(alone, files);
  if (state_folder && load_version(*state_folder, files, out)) return out;
  if (!alone.settings) {
    for (const std::string& note : out.notes) alone.error += "\n" + note;
    throw config::ConfigError(alone.error);
  }
  out.settings = std::move(*alone.settings);
  return out;
}

}  // namespace beamshunt::assigner
