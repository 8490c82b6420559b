// The assigner on sockets: moves bytes between the core and the world, and decides nothing.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "assigner/core.h"
#include "assigner/streamed.h"
#include "log/log.h"
#include "net/reactor.h"

namespace beamshunt::assigner {

// Held for as long as the descriptor is; nothing if another process has the folder.
std::optional<net::Fd> lock_state(const std::string& folder);

// Runs until SIGTERM or SIGINT, from the last good version of the settings or from the files. Throws
// std::exception if it can't start: no settings that are sound, a port in use, a state folder that another
// process holds or that can't be written. `gate` judges streamed versions; `interceptor` is for audits.
void serve(const std::vector<config::Source>& files, Gate gate = nullptr,
           const std::function<MessageInterceptor(const Site&)>& interceptor = nullptr);

}  // namespace beamshunt::assigner
