// Arbitrary bytes as the platform's messages in pieces, discovery's objects, load reports and configurations.
#include "platform/configuration.h"
#include "platform/endpoint_catalog.h"
#include "platform/message.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace beamshunt;
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const settings::Names names{{"north", "south"}, {"look", "buy"}};
  constexpr std::size_t kMostLine = 4096;
  platform::LineReader reader(kMostLine);
  try {
    for (std::size_t from = 0, piece = 1; from < size; from += piece, piece = piece * 2 % 61 + 1) {
      reader.append(bytes.substr(from, piece));
      while (auto line = reader.next()) {
        if (line->size() > kMostLine) __builtin_trap();
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
    for (const ListedEndpoint& e : catalog.apply(bytes, names, 0, 0).list.entries)
      if (!catalog.uid(e.id)) __builtin_trap();
  } catch (const platform::EndpointListError&) {
  }
  try {
    static_cast<void>(platform::parse_configuration(bytes));
  } catch (const platform::ConfigurationError&) {
  }
  return 0;
}
