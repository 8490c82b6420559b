// The discovery service's JSON: one line is one endpoint list or one change of it. Pure; holds no state.
// A list with one impossible value is rejected as a whole, for its other values can't be trusted either.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "assigner/endpoint_catalog.h"

namespace beamshunt::assigner {

// An endpoint list that can't be used. what() names the field, the value and what is wrong with it.
class EndpointListError : public std::runtime_error {
 public:
  // `field` is a path such as "entries[3].size"; empty where the line as a whole is no list. `value` is the
  // value as JSON, empty where there is none. `text` is what() without the entry's index.
  EndpointListError(std::string field, std::string value, const std::string& text);

  [[nodiscard]] const std::string& field() const { return field_; }
  [[nodiscard]] const std::string& value() const { return value_; }

  // The same error, inside the entry with this index.
  [[nodiscard]] EndpointListError in_entry(std::size_t index) const;

 private:
  std::string field_, value_;
};

// `localities` are the configured names, in order; an entry of any other locality is rejected.
// Throws EndpointListError.
[[nodiscard]] EndpointListUpdate parse_endpoint_list(std::string_view line,
                                                     const std::vector<std::string>& localities);

}  // namespace beamshunt::assigner
