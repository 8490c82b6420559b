// The assigner on sockets: a shell that moves bytes between the core and the world, and decides nothing.
#pragma once

#include <functional>
#include <vector>

#include "assigner/assigner_settings.h"
#include "assigner/configuration_validator.h"
#include "assigner/core.h"

namespace beamshunt::assigner {

// Runs until SIGTERM or SIGINT, from the last good configuration version or from the files. `validator`
// checks streamed versions; null: their form alone. `between` is for audits. Throws std::exception if it
// can't start: no settings that are sound, a port in use, a state folder that another process holds or that
// can't be written.
void serve(const std::vector<config::Source>& files, ConfigurationValidator validator = nullptr,
           const std::function<MessageInterceptor(const AssignerSettings&)>& between = nullptr);

}  // namespace beamshunt::assigner
