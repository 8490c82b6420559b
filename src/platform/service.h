// The shell of the platform's assigner: transfers bytes between the core and the network, and handles the
// core's timers and the process's signals. It makes no decisions.
#pragma once

#include <string>

namespace beamshunt::platform {

// Runs the assigner with the configuration in `file` until SIGTERM or SIGINT; SIGHUP reloads the file.
// `log_endpoints` logs the state of each endpoint once a second. Throws ConfigurationError if the
// configuration is missing or invalid, and std::system_error if the process cannot listen on the configured
// address.
void serve(const std::string& file, bool log_endpoints);

}  // namespace beamshunt::platform
