// Writes the flight record: every event given to a controller and every action it answered with, so that
// whoever has the file can run the controller through the same moments again (replay.h). These functions only
// make bytes; the caller appends them to the file in the order of the calls.
//
// A file is a sequence of sealed records (base/file.h): the start of controller 0, then batches and further
// starts. A controller of a higher number replaces the one before it when settings change; until it has, both
// are given events. A process that starts anew appends another start of controller 0.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/controller.h"

namespace beamshunt::flight_record {

// A controller begins with these settings. `controller`: 0 at the start of a process, then 1, 2, ...
std::string encode_controller_start(const Settings& settings, std::uint32_t controller = 0);

// At `now` the controller was given `events`, in this order, and answered with `actions`.
std::string encode_batch(Time now, const std::vector<Event>& events, const std::vector<Action>& actions,
                         std::uint32_t controller = 0);

// At `now` another configuration version became active, whether or not it needs a new controller. `hash`: of
// the version's content.
std::string encode_config_change(Time now, std::uint64_t version, std::uint64_t hash);

}  // namespace beamshunt::flight_record
