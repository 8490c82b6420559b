// A core in simulated time, with proxies that speak frames: no sockets, no clocks, the same every time.
#pragma once

#include <fmt/format.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "assigner/core.h"

namespace beamshunt::assigner::test {

inline constexpr const char* kSite = R"(
home: "north"
listen: channel: "127.10.0.1:7000"
discovery: "127.10.0.1:7100"
state: "unused"
record: "unused"
streams: {heartbeat: 200ms, hello_within: 500ms, most: 50, most_frame: 64KiB}
peers: [{instance: 7, address: "127.20.0.1:7000"}]
site: {
  localities: [{name: "north", prefixes: ["127.10.0.0/16"]}, {name: "south", prefixes: ["127.20.0.0/16"]}]
  classes: [
    {name: "read", slo: 500ms, deadline: 2s, semantics: "retryable"},
    {name: "write", slo: 500ms, deadline: 2s, home_only: true},
  ]
  proxies: 6
  channel: {lines_per_s: 2000/s, most_waiting_lines: 2000, delay: 20ms, delay_most: 100ms}
  reports: {period: 250ms, lines_per_s: 100/s}
  guarantees: {empty_for: 2s, drain_grace: 1s, warm_up: 3s}
}
)";

inline std::string list_line(const std::string& kind, std::uint64_t version, std::vector<std::uint32_t> ids,
                             const std::string& state = "in_service") {
  std::string entries;
  for (std::uint32_t id : ids)
    entries += fmt::format(R"({}{{"id":{},"locality":"{}","cell":0,"size":2.0,"state":"{}","started_ms":0,)"
                           R"("address":"127.{}.2.{}:8000"}})",
                           entries.empty() ? "" : ",", id, id % 2 ? "south" : "north", state,
                           id % 2 ? 20 : 10, id % 250);
  return fmt::format(R"({{"kind":"{}","version":{},"entries":[{}]}})", kind, version, entries);
}

struct Rig {
  AssignerSettings site = load_assigner_settings({{"site.cue", kSite}});
  Ms now = 1000000;
  Core core;
  std::map<StreamId, std::vector<native_protocol::Frame>> inbox;
  std::map<StreamId, native_protocol::FrameParser> parsers;
  std::vector<StreamId> closed;
  std::vector<Effect> others;
  std::vector<LogLine> lines;
  std::string record;
  std::uint64_t next_stream = 1;

  explicit Rig(std::optional<EndpointCatalog> warm = std::nullopt, std::uint64_t epoch = 1)
      : core(site, epoch, std::move(warm), now, 5e11 + now) {}

  void turn() {
    core.run_once(now);
    for (Effect& e : core.take_effects()) {
      if (auto* send = std::get_if<SendBytes>(&e))
        parsers[send->stream].feed(*send->bytes, inbox[send->stream]);
      else if (auto* close = std::get_if<CloseStream>(&e)) closed.push_back(close->stream);
      else if (auto* line = std::get_if<LogLine>(&e)) lines.push_back(*line);
      else if (auto* part = std::get_if<AppendRecord>(&e)) record += part->bytes;
      else others.push_back(std::move(e));
    }
  }
  // Lets time pass as the core asks for it.
  void pass(Ms time) {
    for (Ms end = now + time; now < end;) {
      now = std::min(end, std::max(now + 0.5, core.next_due()));
      turn();
    }
  }
  StreamId open(const std::string& from) {
    StreamId id{next_stream++};
    core.stream_opened(id, *net::parse_address(from), now);
    turn();
    return id;
  }
  void say(StreamId id, const native_protocol::Frame& frame) { bytes(id, native_protocol::encode(frame)); }
  void bytes(StreamId id, std::string_view text) {
    core.stream_bytes(id, text, now);
    turn();
  }
  StreamId join(std::uint32_t proxy, std::uint64_t incarnation = 1, std::uint32_t attempt = 1,
                bool south = false) {
    StreamId id = open(fmt::format("127.{}.1.{}:40000", south ? 20 : 10, proxy + 1));
    say(id, native_protocol::Hello{.proxy = proxy,
                                   .incarnation = incarnation,
                                   .attempt = attempt,
                                   .locality = south ? "south" : "north",
                                   .expected_rate = 10,
                                   .only_static_tables = true});
    return id;
  }
  void list(const std::string& line) {
    core.endpoint_list_received(line, now, 5e11 + now);
    turn();
  }
  template <typename T>
  std::vector<T> got(StreamId id) {
    std::vector<T> out;
    for (auto& f : inbox[id])
      if (auto* frame = std::get_if<T>(&f)) out.push_back(*frame);
    return out;
  }
  bool is_closed(StreamId id) const { return std::count(closed.begin(), closed.end(), id) > 0; }
  std::string refusal(StreamId id) {
    auto all = got<native_protocol::Refuse>(id);
    return all.empty() ? "" : all.back().reason;
  }
  bool logged(const std::string& event, const std::string& part = "") const {
    for (const LogLine& l : lines) {
      if (l.event != event) continue;
      if (part.empty()) return true;
      for (auto& [name, value] : l.fields)
        if (value.find(part) != std::string::npos) return true;
    }
    return false;
  }
  // What a proxy holds by the orders that came: lines by class.
  std::map<std::uint32_t, std::map<std::uint32_t, double>> tables(StreamId id) {
    std::map<std::uint32_t, std::map<std::uint32_t, double>> out;
    for (auto& message : got<native_protocol::UpdateMessage>(id))
      for (auto& order : message.updates) {
        if (auto* line = std::get_if<native_protocol::WeightUpdate>(&order)) {
          if (line->weight > 0) out[line->table][line->endpoint] = line->weight;
          else out[line->table].erase(line->endpoint);
        }
        if (auto* bind = std::get_if<native_protocol::AssignTableUpdate>(&order)) out[bind->table].clear();
      }
    return out;
  }
  // Keeps a proxy's stream alive and its orders confirmed for a time.
  void live(std::vector<StreamId> streams, Ms time) {
    for (Ms end = now + time; now < end; pass(50))
      for (StreamId id : streams) {
        if (is_closed(id)) continue;
        auto orders = got<native_protocol::UpdateMessage>(id);
        if (!orders.empty()) say(id, native_protocol::Acknowledgement{orders.back().sequence});
        else say(id, native_protocol::Ping{1});
      }
  }
};

}  // namespace beamshunt::assigner::test
