// What can't be changed while a fleet is connected, whoever asks for it: localities and classes travel as
// positions, so proxies and endpoint lists would take one for another. Pure.
#pragma once

#include <vector>

#include "assigner/assigner_settings.h"
#include "assigner/core.h"
#include "config_stream/wire.h"

namespace beamshunt::assigner {

// Why `next` can't take the place of `now` with this fleet; empty: it can.
std::vector<config_stream::Reason> fleet_conflicts(const AssignerSettings& now, const AssignerSettings& next,
                                                   const FleetSnapshot& fleet);

}  // namespace beamshunt::assigner
