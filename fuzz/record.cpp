// Flight records: complete, truncated or damaged.
#include "flight_record/replay.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  try {
    beamshunt::flight_record::replay({reinterpret_cast<const char*>(data), size});
  } catch (const beamshunt::flight_record::FlightRecordError&) {
  }
  return 0;
}
