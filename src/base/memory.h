// Memory use of this process.
#pragma once

#include <sys/resource.h>

#include <cstddef>

namespace beamshunt::base {

// Returns the largest resident set size of this process since it started, in bytes.
inline std::size_t peak_resident_bytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<std::size_t>(usage.ru_maxrss) * 1024;
}

}  // namespace beamshunt::base
