// Tests the decoding of the platform's configuration: which one is refused, and with which error.
#include "platform/configuration.h"

#include <gtest/gtest.h>

#include "nested_json.h"
#include "platform/core_harness.h"

namespace beamshunt::platform::test {
namespace {

using beamshunt::test::nested_arrays;
using beamshunt::test::nested_objects;

// Returns the configuration with one field of the given object replaced by JSON text.
std::string configuration_with(const json::json_pointer& field, const std::string& text) {
  json changed = configuration();
  changed[field] = "@";
  std::string bytes = changed.dump();
  return bytes.replace(bytes.find("\"@\""), 3, text);
}

// Guards against a stack overflow while values of the wrong type were quoted and settings converted.
TEST(Configuration, DeeplyNestedValueIsRefusedWithItsField) {
  struct Case {
    const char* field;
    const char* named;
  };
  for (auto [field, named] :
       {Case{"/name", "name"}, Case{"/limits/sockets", "limits.sockets"}, Case{"/settings", "settings"},
        Case{"/settings/azs", "settings"}, Case{"/settings/family_info/agents", "settings"}}) {
    for (const std::string& nested : {nested_arrays(), nested_objects()}) {
      try {
        static_cast<void>(parse_configuration(configuration_with(json::json_pointer(field), nested)));
        ADD_FAILURE() << field << " was accepted";
      } catch (const ConfigurationError& error) {
        EXPECT_EQ(error.detail.field, named) << error.what();
      }
    }
  }
}

// The list comes from discovery, which may have published an invalid value. It must not prevent a start.
TEST(Configuration, DeeplyNestedValueInTheCachedListLeavesItsOtherValues) {
  Configuration parsed =
      parse_configuration(configuration_with(json::json_pointer("/known/targets/0/model"), nested_arrays()));
  json list = json::parse(parsed.cached_list);
  EXPECT_EQ(list["targets"].size(), 4u);
  EXPECT_EQ(list["targets"][0]["uid"], "s-a");
}

}  // namespace
}  // namespace beamshunt::platform::test
