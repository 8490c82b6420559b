// The configuration that the platform gives an assigner: one JSON file, read at the start and again at
// SIGHUP. It is decoded here and nowhere else.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "net/address.h"
#include "settings/settings.h"

namespace beamshunt::platform {

// A configuration that can't be used. what() names the field and what is wrong, and the file where it is
// known.
struct ConfigurationError : std::runtime_error {
  // Each is empty where it is not known.
  struct Detail {
    std::string file;
    std::string field;
    std::string value;  // as given
    std::string expected;
  };
  ConfigurationError(const std::string& what, Detail error_detail)
      : std::runtime_error(what), detail(std::move(error_detail)) {}
  Detail detail;
};

struct Configuration {
  std::string name;     // of this assigner, the same after a restart
  net::Address listen;  // where proxies and collectors connect
  net::Address discovery;
  std::uint64_t seed = 0;   // for random numbers, new with each start
  std::size_t sockets = 0;  // descriptors that this process may hold
  // Discovery's object as this assigner last had it, given by the platform (`known`); empty: none. This
  // process stores nothing itself.
  std::string cached_list;
  settings::Values values;  // the settings by path, as given
  Settings settings;        // the same, decoded
  settings::Names names;    // of localities and classes
};

// Throws ConfigurationError.
[[nodiscard]] Configuration parse_configuration(std::string_view bytes);

// Reads and parses the file. Throws ConfigurationError, also where there is no such file.
[[nodiscard]] Configuration read_configuration(const std::string& file);

}  // namespace beamshunt::platform
