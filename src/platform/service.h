// The platform's assigner on sockets: moves bytes between the core and the network, runs its timers and
// signals, and decides nothing.
#pragma once

#include <string>

namespace beamshunt::platform {

// Serves until SIGTERM or SIGINT by the configuration in `file`, which is read again at SIGHUP.
// `log_endpoints`: logs each second what is known of each endpoint. Throws ConfigurationError for a
// configuration that can't be used, and std::system_error where the address can't be listened on.
void serve(const std::string& file, bool log_endpoints);

}  // namespace beamshunt::platform
