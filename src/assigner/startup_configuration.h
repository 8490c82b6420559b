// What an assigner starts with: the last good configuration version on disk, else its files alone. Reads the
// disk and changes nothing there.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "assigner/assigner_settings.h"
#include "config_stream/version_store.h"
#include "config_stream/wire.h"

namespace beamshunt::assigner {

struct StartupConfiguration {
  AssignerSettings settings;
  config_stream::Version version;  // number 0: the files alone
  // The version that was on trial when the process ended: taken for the cause, `version` runs in its place.
  std::optional<config_stream::Version> abandoned;
  std::vector<std::string> notes;  // what on disk could not be used, and why
};

// Throws config::ConfigError with all reasons if nothing can be run, std::runtime_error if the versions on
// disk are damaged.
StartupConfiguration load_startup_configuration(const std::vector<config::Source>& files);

// The folder of the configuration versions inside the state folder.
std::string configuration_folder(const std::string& state_folder);

// Reasons as text, one a line.
std::string to_text(const std::vector<config_stream::Reason>& reasons);

}  // namespace beamshunt::assigner
