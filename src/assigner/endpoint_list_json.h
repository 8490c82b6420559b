// Parses the discovery service's JSON messages: each line is a complete endpoint list or an incremental
// update. A message with a single invalid value is rejected as a whole, because its other values can't be
// trusted either.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "assigner/endpoint_catalog.h"

namespace beamshunt::assigner {

// Thrown for an invalid endpoint list. what() names the field, its value and the fault.
class EndpointListError : public std::runtime_error {
 public:
  // `field` is a path such as "entries[3].size", or empty if the line as a whole is not a list. `value` is
  // the invalid value as JSON, or empty if there is none. `message` is the text of what().
  EndpointListError(std::string field, std::string value, const std::string& message);

  [[nodiscard]] const std::string& field() const { return field_; }
  [[nodiscard]] const std::string& value() const { return value_; }

  // Returns a copy of this error whose field and message are prefixed with the index of the entry at fault.
  [[nodiscard]] EndpointListError in_entry(std::size_t index) const;

 private:
  std::string field_, value_;
};

// Parses one line. `localities` are the configured names in order; a locality not among them is an error.
// Throws EndpointListError.
[[nodiscard]] EndpointListUpdate parse_endpoint_list(std::string_view line,
                                                     const std::vector<std::string>& localities);

}  // namespace beamshunt::assigner
