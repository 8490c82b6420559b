// The gate that every version of streamed settings passes before it is taken: what can be shown by reasoning,
// then a rehearsal, within a budget of real time. Called off the loop.
#pragma once

#include "assigner/configuration_validator.h"

namespace beamshunt::gate {

// For assigner::serve(): alerts resources, proofs, and the shadow as `control` of the present site sets it.
std::vector<config_stream::Reason> judge(const assigner::CandidateConfiguration& candidate);

}  // namespace beamshunt::gate
