// What can be shown of a version of the settings by reasoning alone: that with this fleet it would break one
// of the five rules. Pure. Each reason names the rule, the field, the figures and a value that would do.
#pragma once

#include <vector>

#include "assigner/assigner_settings.h"
#include "assigner/core.h"
#include "config_stream/wire.h"

namespace beamshunt::gate {

using assigner::AssignerSettings;
using assigner::FleetSnapshot;
using config_stream::Reason;

// Faults that `now` has as well, in the same figures, are not the change's and left out.
std::vector<Reason> prove(const AssignerSettings& now, const AssignerSettings& next,
                          const FleetSnapshot& fleet);

}  // namespace beamshunt::gate
