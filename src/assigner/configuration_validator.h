// The check that a configuration version passes before it is accepted: what it is given and what it answers.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "assigner/assigner_settings.h"
#include "assigner/core.h"
#include "config_stream/wire.h"

namespace beamshunt::assigner {

// A version that is sound in form, and what it would change. Refers to its parts: valid during the call.
struct CandidateConfiguration {
  const AssignerSettings& now;
  const AssignerSettings& next;
  const FleetSnapshot& fleet;
  const config_stream::Resources& resources;
  const std::vector<std::string>& changed;  // paths that differ in text from what runs
};

// No reasons: it passes. Called on a thread of its own, so that it may take as long as its budget allows. An
// exception is a rejection: a validator that fails lets nothing in.
using ConfigurationValidator =
    std::function<std::vector<config_stream::Reason>(const CandidateConfiguration& candidate)>;

}  // namespace beamshunt::assigner
