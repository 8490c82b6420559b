// What the process takes of the machine.
#pragma once

#include <sys/resource.h>

#include <cstddef>

namespace beamshunt::base {

inline std::size_t peak_resident_bytes() {  // resident, since the process began
  rusage use{};
  getrusage(RUSAGE_SELF, &use);
  return static_cast<std::size_t>(use.ru_maxrss) * 1024;
}

}  // namespace beamshunt::base
