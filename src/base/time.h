// Time outside the policy package, in milliseconds as a double. Points in time are readings of the monotonic
// clock unless stated otherwise; all processes of a machine share the origin of that clock.
#pragma once

#include <chrono>

namespace beamshunt::base {

using Ms = double;

constexpr Ms kNever = 1e300;  // later than any point in time; for a deadline that is not set

// Returns the current reading of the monotonic clock.
inline Ms monotonic_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
// Returns the time since 1970 by the machine's wall clock, which may step.
inline Ms wall_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace beamshunt::base
