// The platform's assigner on sockets: moves bytes between the core and the world, and decides nothing.
#pragma once

#include <string>

namespace beamshunt::platform {

// Runs until SIGTERM or SIGINT by the configuration in `file`, which SIGHUP has read again. Throws
// std::exception if it can't start: no configuration that is sound, or an address in use.
void serve(const std::string& file, bool verbose);

}  // namespace beamshunt::platform
