// A core in simulated time, with proxies that speak frames: no sockets, no clocks, the same every time.
#pragma once

#include <fmt/format.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "assigner/core.h"

namespace beamshunt::assigner::test {

inline constexpr const char* kSiteConfiguration = R"(
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

inline std::string endpoint_list_json(const std::string& kind, std::uint64_t version,
                                      std::vector<std::uint32_t> ids,
                                      const std::string& state = "in_service") {
  std::string entries;
  for (std::uint32_t id : ids)
    entries += fmt::format(R"({}{{"id":{},"locality":"{}","cell":0,"size":2.0,"state":"{}","started_ms":0,)"
                           R"("address":"127.{}.2.{}:8000"}})",
                           entries.empty() ? "" : ",", id, id % 2 ? "south" : "north", state,
                           id % 2 ? 20 : 10, id % 250);
  return fmt::format(R"({{"kind":"{}","version":{},"entries":[{}]}})", kind, version, entries);
}

struct CoreHarness {
  AssignerSettings settings = load_assigner_settings({{"site.cue", kSiteConfiguration}});
  Ms now = 1000000;
  Core core;
  std::map<StreamId, std::vector<native_protocol::Frame>> received_frames;
  std::map<StreamId, native_protocol::FrameParser> parsers;
  std::vector<StreamId> closed_streams;
  std::vector<Effect> other_effects;
  std::vector<WriteLogEvent> log_events;
  std::string flight_record_bytes;
  std::uint64_t next_stream = 1;

  explicit CoreHarness(std::optional<EndpointCatalog> cached = std::nullopt, std::uint64_t epoch = 1)
      : core(settings, epoch, std::move(cached), now, 5e11 + now) {}

  void run_once() {
    core.run_once(now);
    for (Effect& e : core.take_effects()) {
      if (auto* send = std::get_if<SendBytes>(&e))
        parsers[send->stream].feed(*send->bytes, received_frames[send->stream]);
      else if (auto* close = std::get_if<CloseStream>(&e)) closed_streams.push_back(close->stream);
      else if (auto* event = std::get_if<WriteLogEvent>(&e)) log_events.push_back(*event);
      else if (auto* append = std::get_if<AppendFlightRecord>(&e)) flight_record_bytes += append->bytes;
      else other_effects.push_back(std::move(e));
    }
  }
  // Lets time pass as the core asks for it.
  void advance(Ms time) {
    for (Ms end = now + time; now < end;) {
      now = std::min(end, std::max(now + 0.5, core.next_due()));
      run_once();
    }
  }
  StreamId open_stream(const std::string& from) {
    StreamId id{next_stream++};
    core.stream_opened(id, *net::parse_address(from), now);
    run_once();
    return id;
  }
  void send_frame(StreamId id, const native_protocol::Frame& frame) {
    send_bytes(id, native_protocol::encode(frame));
  }
  void send_bytes(StreamId id, std::string_view text) {
    core.stream_bytes_received(id, text, now);
    run_once();
  }
  StreamId register_proxy(std::uint32_t proxy, std::uint64_t incarnation = 1, std::uint32_t attempt = 1,
                          bool south = false) {
    StreamId id = open_stream(fmt::format("127.{}.1.{}:40000", south ? 20 : 10, proxy + 1));
    send_frame(id, native_protocol::Hello{.proxy = proxy,
                                          .incarnation = incarnation,
                                          .attempt = attempt,
                                          .locality = south ? "south" : "north",
                                          .expected_rate = 10,
                                          .only_static_tables = true});
    return id;
  }
  void deliver_endpoint_list(const std::string& line) {
    core.endpoint_list_received(line, now, 5e11 + now);
    run_once();
  }
  template <typename T>
  std::vector<T> received(StreamId id) {
    std::vector<T> out;
    for (auto& f : received_frames[id])
      if (auto* frame = std::get_if<T>(&f)) out.push_back(*frame);
    return out;
  }
  bool is_closed(StreamId id) const {
    return std::count(closed_streams.begin(), closed_streams.end(), id) > 0;
  }
  std::string refusal_reason(StreamId id) {
    auto all = received<native_protocol::Refuse>(id);
    return all.empty() ? "" : all.back().reason;
  }
  bool has_logged(const std::string& event, const std::string& part = "") const {
    for (const WriteLogEvent& l : log_events) {
      if (l.event != event) continue;
      if (part.empty()) return true;
      for (auto& [name, value] : l.fields)
        if (value.find(part) != std::string::npos) return true;
    }
    return false;
  }
  // What a proxy holds by the orders that came: lines by class.
  std::map<std::uint32_t, std::map<std::uint32_t, double>> weight_tables(StreamId id) {
    std::map<std::uint32_t, std::map<std::uint32_t, double>> out;
    for (auto& message : received<native_protocol::UpdateMessage>(id))
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
  void advance_responsive(std::vector<StreamId> streams, Ms time) {
    for (Ms end = now + time; now < end; advance(50))
      for (StreamId id : streams) {
        if (is_closed(id)) continue;
        auto orders = received<native_protocol::UpdateMessage>(id);
        if (!orders.empty()) send_frame(id, native_protocol::Acknowledgement{orders.back().sequence});
        else send_frame(id, native_protocol::Ping{1});
      }
  }
};

}  // namespace beamshunt::assigner::test
