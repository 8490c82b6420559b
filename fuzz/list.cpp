// Endpoint lists from the discovery service, and their cached copy on disk.
#include <stdexcept>
#include <tuple>

#include "assigner/cached_list_codec.h"
#include "assigner/endpoint_list_json.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace beamshunt::assigner;
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  try {
    EndpointCatalog catalog;
    catalog.apply(parse_endpoint_list(bytes, {"north", "south"}));
    if (decode_cached_list(encode_cached_list(catalog)).entries() != catalog.entries()) __builtin_trap();
  } catch (const std::runtime_error&) {
  }
  try {
    std::ignore = decode_cached_list(bytes);
  } catch (const std::runtime_error&) {
  }
  return 0;
}
