// What a streamed configuration version makes of the settings of the files. Pure: the stream itself is
// config_stream's, and when a version is applied is configuration_manager's.
#pragma once

#include <optional>
#include <vector>

#include "assigner/assigner_settings.h"
#include "assigner/setting_effects.h"
#include "config_stream/wire.h"

namespace beamshunt::assigner {

// Either settings or the reasons why there are none.
struct ComposedSettings {
  std::optional<AssignerSettings> settings;
  std::vector<config_stream::Reason> reasons;
};

// The settings of the files with the version's resources in their place. Rejected with the rule "form" where
// a resource can't be read or gives what its type may not, with "bounds" where the whole breaks the schema.
ComposedSettings compose(const std::vector<config::Source>& files, const config_stream::Resources& resources);

}  // namespace beamshunt::assigner
