// Breaks a rule on purpose, between the module and the wire, so that the audit can show that it sees it.
#pragma once

#include <string_view>

#include "assigner/core.h"

namespace beamshunt::audit {

// drain: lines are never taken away. twice: everything is tried again after any failure. cold: what has just
// started gets all the weight. queue: every message carries thousands of lines. empty: lines that were given
// are taken away again. Throws std::invalid_argument for another name.
assigner::MessageInterceptor sabotage(std::string_view name, const assigner::AssignerSettings& site);

}  // namespace beamshunt::audit
