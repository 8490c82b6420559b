// The flight record: whole, torn or damaged.
#include <stdexcept>

#include "flight_record/flight_record.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  try {
    beamshunt::flight_record::replay({reinterpret_cast<const char*>(data), size});
  } catch (const std::runtime_error&) {
  }
  return 0;
}
