// Codec of the simulator's line protocol: parses event lines and formats action lines. The names that the
// protocol uses are mapped to the terms of this code here and nowhere else.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/controller.h"
#include "settings/settings.h"

namespace beamshunt::simulator_adapter {

// Thrown for malformed input. what() gives the field, the problem and the field's value. The line number is
// Session::line_number().
using WireError = settings::InputError;
using settings::Names;

// Reads the space-separated fields of a line from left to right. Unless stated otherwise, each method
// consumes one field and throws WireError if the field is missing, empty or malformed. The parameter `field`
// is the field's name in the protocol, for error messages.
class LineReader {
 public:
  // Reads the first field, the name of the message. `line` must outlive the reader.
  explicit LineReader(std::string_view line);
  [[nodiscard]] std::string_view name() const { return name_; }

  std::string_view text(const char* field);
  // Consumes the rest of the line, which may be empty.
  std::string_view rest();
  // Returns true and consumes the field if it is "-". Otherwise returns false and consumes nothing.
  bool absent(const char* field);
  // Reads a finite number.
  double number(const char* field);
  // Reads a finite number of 0 or more.
  double non_negative(const char* field);
  // Reads an integer from 0 to `max`.
  std::uint64_t integer(const char* field, std::uint64_t max);
  // Reads 0 or 1.
  bool flag(const char* field);
  // Reads a byte string in hex digits; "-" stands for an empty one.
  std::vector<std::uint8_t> bytes(const char* field);
  // Reads comma-separated name:value pairs; "-" stands for none, and a pair with the value "-" is left out.
  LoadReport load_report(const char* field);
  // Throws WireError if the line has further fields.
  void expect_end() const;

 private:
  std::string_view name_;
  std::string_view rest_;
  bool has_more_ = false;
};

// The unparsed lines of an endpoint list. Each instance parses them again, because the settings of an
// instance determine the numbers of its localities.
using EndpointRows = std::vector<std::string>;

// Parses one row of an endpoint list. Throws WireError.
ListedEndpoint parse_endpoint_row(const Names& names, std::string_view line);
// Parses the form of an ENDPOINTS message. Throws WireError.
EndpointListKind parse_list_kind(std::string_view word);
// Parses the fields that follow the instance's name in an event line. Returns nullopt if the message is
// unknown, which includes INIT, DETACH, SHEET, ROW and ENDPOINTS: Session handles them. Throws WireError.
std::optional<Event> parse_event(const Names& names, LineReader& line);

// Appends an action to `out` as one line. `instance` is the simulator's name of the controller.
void append_action(std::string& out, std::string_view instance, const Action& action);

// Converts a time of the simulator's clock.
Time clock_time(double milliseconds);

}  // namespace beamshunt::simulator_adapter
