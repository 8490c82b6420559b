// The adapter's event loop: reads batches of events, has each instance's controller handle its own, and
// writes the actions. It decides nothing.
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

class Session {
 public:
  // Both streams must outlive the session.
  Session(std::istream& in, std::ostream& out) : in_(in), out_(out) {}
  // Runs until the input ends between two batches. Throws WireError on malformed input, at line_number().
  void run();
  [[nodiscard]] std::uint64_t line_number() const { return line_number_; }

 private:
  struct Instance {
    Names names;
    Controller controller;
    std::vector<Event> pending;  // this batch's events so far
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
  static constexpr std::size_t kListSlots = 16;  // by the wire: lists that instances may share
  std::array<std::optional<EndpointRows>, kListSlots> endpoint_rows_;
  std::map<std::string, Instance, std::less<>> instances_;
  std::vector<std::string> active_;  // instances with an event in this batch, in the order of their first
};

}  // namespace beamshunt::simulator_adapter
