// What an assigner starts with: the last good configuration version on disk, else its files alone. Reads the
// disk and changes nothing there.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "assigner/assigner_settings.h"
#include "configstream/store.h"
#include "configstream/wire.h"

namespace beamshunt::assigner {

struct StartupConfiguration {
  AssignerSettings settings;
  configstream::Version version;  // number 0: the files alone
  // The version that was on trial when the process ended: taken for the cause, `version` runs in its place.
  std::optional<configstream::Version> abandoned;
  std::vector<std::string> notes;  // what on disk could not be used, and why
};

// Throws config::ConfigError with all reasons if nothing can be run, std::runtime_error if the versions on
// disk are damaged.
StartupConfiguration load_startup_configuration(const std::vector<config::Source>& files);

// The folder of the configuration versions inside the state folder.
std::string configuration_folder(const std::string& state_folder);

// Reasons as text, one a line.
std::string to_text(const std::vector<configstream::Reason>& reasons);

}  // namespace beamshunt::assigner
