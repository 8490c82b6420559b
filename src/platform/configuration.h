// What an assigner of the platform is told at its start, and again when it is told to look: one JSON file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/address.h"
#include "settings/settings.h"

namespace beamshunt::platform {

struct Configuration {
  std::string name;
  net::Address listen, discovery;
  std::uint64_t seed = 0;
  std::size_t sockets = 0;  // descriptors that this process may hold
  std::string known;        // discovery's object, as this assigner last had it; empty: none
  settings::Values values;  // the settings by path
  Settings settings;
  settings::Names names;
};

// Throws std::runtime_error naming the field and what is wrong.
Configuration parse_configuration(std::string_view json);

}  // namespace beamshunt::platform
