// Settings: arbitrary text is accepted or rejected with an error that names the location.
#include "config/value.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace beamshunt::config;
  static const Source kSchema{
      "schema", "#S: {a: int & >0 | *1, b?: duration, c: [...{d: string | *\"x\"}], e: rate | *1/s}"};
  try {
    load(kSchema, "#S", {{"fuzz", std::string(reinterpret_cast<const char*>(data), size)}});
  } catch (const ConfigError& error) {
    if (std::string_view(error.what()).find(':') == std::string_view::npos) __builtin_trap();
  }
  return 0;
}
