#include "simulator_adapter/session.h"

#include <algorithm>
#include <istream>
#include <limits>
#include <ostream>
#include <utility>

namespace beamshunt::simulator_adapter {

bool Session::next_line() {
  if (!std::getline(in_, line_)) return false;
  ++line_number_;
  return true;
}

void Session::run() {
  while (next_line()) handle_batch();
}

void Session::mark_active(const std::string& name) {
  if (std::find(active_.begin(), active_.end(), name) == active_.end()) active_.push_back(name);
}

Session::Instance& Session::find_instance(std::string_view name) {
  auto found = instances_.find(name);
  if (found == instances_.end()) throw WireError("instance", "is unknown", name);
  return found->second;
}

// A batch consists of MARK with the time, event lines and FLUSH. The reply to it ends with NEXT.
void Session::handle_batch() {
  LineReader mark(line_);
  if (mark.name() != "MARK")
    throw WireError("a batch must begin with MARK, not '" + std::string(mark.name()) + "'");
  Time now = clock_time(mark.number("time"));
  mark.expect_end();

  active_.clear();
  while (true) {
    if (!next_line()) throw WireError("the input ends within a batch");
    if (line_ == "FLUSH") break;
    handle_event_line();
  }

  std::string reply;
  for (const std::string& name : active_) {
    auto found = instances_.find(name);
    if (found == instances_.end()) continue;  // detached later in this batch
    Instance& instance = found->second;
    for (const Action& action : instance.controller.handle(now, instance.pending))
      append_action(reply, name, action);
    instance.pending.clear();
  }
  reply += "NEXT\n";
  out_ << reply << std::flush;
}

void Session::read_endpoint_rows(LineReader& line) {
  std::uint64_t slot = line.integer("slot", kListSlots - 1);
  std::uint64_t count = line.integer("items", std::numeric_limits<std::uint32_t>::max());
  line.expect_end();
  EndpointRows rows;
  for (std::uint64_t i = 0; i < count; ++i) {
    if (!next_line()) throw WireError("the input ends within a SHEET");
    if (line_.rfind("ROW ", 0) != 0)
      throw WireError("SHEET of " + std::to_string(count) + " rows has only " + std::to_string(i) +
                      " ROW lines");
    rows.push_back(line_);
  }
  endpoint_rows_[slot] = std::move(rows);
}

void Session::start_instance(const std::string& name, LineReader& line) {
  std::uint64_t seed = line.integer("nonce64", std::numeric_limits<std::uint64_t>::max());
  auto [settings, names] = settings::parse(seed, settings::parse_pairs(line.rest()));
  instances_.erase(name);
  instances_.emplace(
      name,
      Instance{std::move(names), Controller(std::move(settings), {.remove_held_endpoints = false}), {}});
  mark_active(name);
}

void Session::read_endpoint_list(Instance& instance, LineReader& line) {
  EndpointList list;
  bool has_slot = !line.absent("slot");
  std::uint64_t slot = has_slot ? line.integer("slot", kListSlots - 1) : 0;
  if (!line.absent("serial")) line.integer("serial", std::numeric_limits<std::uint64_t>::max());
  list.kind = parse_list_kind(line.text("form"));
  line.expect_end();
  if (list.kind != EndpointListKind::lost) {
    if (!has_slot || !endpoint_rows_[slot]) throw WireError("ENDPOINTS refers to a SHEET that was not sent");
    for (const std::string& row : *endpoint_rows_[slot])
      list.entries.push_back(parse_endpoint_row(instance.names, row));
  }
  instance.pending.emplace_back(std::move(list));
}

void Session::handle_event_line() {
  LineReader line(line_);
  if (line.name() == "SHEET") return read_endpoint_rows(line);
  if (line.name() == "ROW") throw WireError("ROW without a SHEET");
  std::string name(line.text("i"));
  if (line.name() == "INIT") return start_instance(name, line);
  Instance& instance = find_instance(name);
  if (line.name() == "DETACH") {
    line.expect_end();
    instances_.erase(name);
    return;
  }
  mark_active(name);
  if (line.name() == "ENDPOINTS") return read_endpoint_list(instance, line);
  std::optional<Event> event = parse_event(instance.names, line);
  if (!event) throw WireError("message", "is unknown", line.name());
  instance.pending.push_back(std::move(*event));
}

}  // namespace beamshunt::simulator_adapter
