// Arbitrary bytes as fragmented platform messages, objects of the discovery service, load reports and
// configurations.
#include "platform/configuration.h"
#include "platform/endpoint_catalog.h"
#include "platform/message.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace beamshunt;
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const settings::Names names{{"north", "south"}, {"look", "buy"}};
  constexpr std::size_t kMaxLineBytes = 4096;
  platform::LineReader reader(kMaxLineBytes);
  try {
    for (std::size_t offset = 0, fragment_bytes = 1; offset < size;
         offset += fragment_bytes, fragment_bytes = fragment_bytes * 2 % 61 + 1) {
      reader.append(bytes.substr(offset, fragment_bytes));
      while (auto line = reader.next()) {
        if (line->size() > kMaxLineBytes) __builtin_trap();
        try {
          platform::parse_message(*line, names, 40);
        } catch (const platform::ProtocolError&) {
        }
      }
    }
  } catch (const platform::ProtocolError&) {
  }
  static_cast<void>(platform::parse_load_report(bytes));
  try {
    platform::EndpointCatalog catalog;
    for (const ListedEndpoint& endpoint : catalog.apply(bytes, names, 0, 0).list.entries)
      if (!catalog.uid(endpoint.id)) __builtin_trap();
  } catch (const platform::EndpointListError&) {
  }
  try {
    static_cast<void>(platform::parse_configuration(bytes));
  } catch (const platform::ConfigurationError&) {
  }
  return 0;
}
