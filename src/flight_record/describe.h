// Actions as text for people, as `beamshunt replay` prints them where a decision differs.
#pragma once

#include <string>

#include "policy/actions.h"

namespace beamshunt::flight_record {

// The action's name and its fields, on one line. The names are those that `beamshunt replay` has always
// printed.
std::string describe(const Action& action);

}  // namespace beamshunt::flight_record
