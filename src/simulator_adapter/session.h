// Event loop of the simulator adapter. It reads batches of events, passes the events of each instance to its
// controller and writes the controllers' actions. It makes no decisions itself.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "simulator_adapter/codec.h"

namespace beamshunt::simulator_adapter {

// A connection to the simulator, with the controller instances that it has started.
class Session {
 public:
  // Reads from `in` and writes to `out`; both streams must outlive the session.
  Session(std::istream& in, std::ostream& out) : in_(in), out_(out) {}
  // Handles batches until the input ends. Throws WireError if the input is malformed or ends within a batch.
  void run();
  // Returns the number of the line read last, counted from 1; 0 before the first line.
  [[nodiscard]] std::uint64_t line_number() const { return line_number_; }

 private:
  struct Instance {
    Names names;
    Controller controller;
    std::vector<Event> pending;  // events of the current batch, not yet handled
  };
  bool next_line();
  void handle_batch();
  void handle_event_line();
  void start_instance(const std::string& name, LineReader& line);
  void read_endpoint_rows(LineReader& line);
  void read_endpoint_list(Instance& instance, LineReader& line);
  Instance& find_instance(std::string_view name);
  void mark_active(const std::string& name);

  std::istream& in_;
  std::ostream& out_;
  std::string line_;
  std::uint64_t line_number_ = 0;
  static constexpr std::size_t kListSlots = 16;  // given by the protocol; instances may share a list
  std::array<std::optional<EndpointRows>, kListSlots> endpoint_rows_;
  std::map<std::string, Instance, std::less<>> instances_;
  std::vector<std::string> active_;  // instances with events in the current batch, ordered by first event
};

}  // namespace beamshunt::simulator_adapter
