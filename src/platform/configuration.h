// The configuration that the platform provides for an assigner: a JSON file that is read at the start and
// again on SIGHUP. Only this module decodes it.
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

// The configuration is missing or invalid. what() names the invalid field, the problem and, if known, the
// file.
struct ConfigurationError : std::runtime_error {
  // A member is empty if it is not known or does not apply.
  struct Detail {
    std::string file;
    std::string field;
    std::string value;     // value as written in the file
    std::string expected;  // description of a valid value
  };
  ConfigurationError(const std::string& what, Detail error_detail)
      : std::runtime_error(what), detail(std::move(error_detail)) {}
  Detail detail;
};

// A decoded and validated configuration.
struct Configuration {
  std::string name;     // name of this assigner; stays the same across restarts
  net::Address listen;  // address to which proxies and collectors connect
  net::Address discovery;
  std::uint64_t seed = 0;            // seed for random numbers; differs at each start
  std::size_t descriptor_limit = 0;  // maximum number of open file descriptors of this process
  // The endpoint list that this assigner last received from discovery, as a JSON object; empty if there is
  // none. The platform stores the list and passes it in (field `known`), because this process stores nothing.
  std::string cached_list;
  settings::Values values;  // settings by path, undecoded
  Settings settings;        // decoded settings
  settings::Names names;    // names of localities and request classes
};

// Decodes the JSON text of a configuration. Throws ConfigurationError if it is invalid.
[[nodiscard]] Configuration parse_configuration(std::string_view bytes);

// Reads and decodes the file. Throws ConfigurationError if the file does not exist or is invalid.
[[nodiscard]] Configuration read_configuration(const std::string& file);

}  // namespace beamshunt::platform
