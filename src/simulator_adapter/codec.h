// The simulator's wire format, line by line: event lines to events, actions to lines. It only translates: the
// wire's words are mapped to the code's terms here and nowhere else.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/controller.h"
#include "settings/settings.h"

namespace beamshunt::simulator_adapter {

// A line that can't be read: what() names the field, what is wrong and its value. The session adds the
// line's number.
using WireError = settings::InputError;
using settings::Names;

// Reads the space-separated fields of one line in order. Each reader takes one field and throws WireError
// naming it.
class LineReader {
 public:
  explicit LineReader(std::string_view line);
  [[nodiscard]] std::string_view name() const { return name_; }  // the first field: the kind of message

  std::string_view text(const char* field);
  std::string_view rest();           // all that is left of the line; may be empty
  bool absent(const char* field);    // true if the field is "-", which is then taken
  double number(const char* field);  // finite
  double non_negative(const char* field);
  std::uint64_t whole(const char* field, std::uint64_t max);
  bool flag(const char* field);                        // 0 or 1
  std::vector<std::uint8_t> bytes(const char* field);  // hex digits, or "-"
  LoadReport load(const char* field);                  // name:value pairs, or "-"
  void end() const;                                    // throws if fields are left over

 private:
  std::string_view name_;
  std::string_view rest_;
  bool has_more_ = false;
};

// The lines of an endpoint list as they came. They are read anew for each instance: localities are
// numbered by its settings.
using EndpointRows = std::vector<std::string>;

// Reads one row of an endpoint list.
ListedEndpoint parse_endpoint_row(const Names& names, std::string_view line);
EndpointListKind parse_list_kind(std::string_view word);
// Reads an event line behind its instance, of any kind but INIT, DETACH, SHEET and ENDPOINTS, which the
// session handles;
// nullopt: the kind of message is unknown.
std::optional<Event> parse_event(const Names& names, LineReader& line);

// Appends an action as one line. `instance`: the name that the simulator gave the controller.
void append_action(std::string& out, std::string_view instance, const Action& action);

Time clock_time(double milliseconds);

}  // namespace beamshunt::simulator_adapter
