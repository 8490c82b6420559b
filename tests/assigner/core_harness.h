// A test harness that runs a core in simulated time and exchanges frames with it in place of proxies and
// peers. It uses no sockets and no clocks, so that every run is the same.
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

// Returns a discovery message of `kind` "total" or "changes" that contains the endpoints `ids` in `state`.
// Endpoints with even ids are in "north", those with odd ids in "south".
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
  std::vector<Effect> other_effects;  // effects that no other member records
  std::vector<WriteLogEvent> log_events;
  std::string flight_record_bytes;
  std::uint64_t next_stream = 1;

  explicit CoreHarness(std::optional<EndpointCatalog> cached = std::nullopt, std::uint64_t epoch = 1)
      : core(settings, epoch, std::move(cached), now, 5e11 + now) {}

  // Runs the core at the present time and records its effects.
  void run_once() {
    core.run_once(now);
    for (Effect& effect : core.take_effects()) {
      if (auto* send = std::get_if<SendBytes>(&effect))
        parsers[send->stream].feed(*send->bytes, received_frames[send->stream]);
      else if (auto* close = std::get_if<CloseStream>(&effect)) closed_streams.push_back(close->stream);
      else if (auto* event = std::get_if<WriteLogEvent>(&effect)) log_events.push_back(*event);
      else if (auto* append = std::get_if<AppendFlightRecord>(&effect)) flight_record_bytes += append->bytes;
      else other_effects.push_back(std::move(effect));
    }
  }
  // Advances time, and runs the core whenever it is due and at the end.
  void advance(Ms time) {
    for (Ms end = now + time; now < end;) {
      now = std::min(end, std::max(now + 0.5, core.next_due()));
      run_once();
    }
  }
  // Opens a stream from the address and port `from`.
  StreamId open_stream(const std::string& from) {
    StreamId id{next_stream++};
    core.stream_opened(id, *net::parse_address(from), now);
    run_once();
    return id;
  }
  void send_frame(StreamId id, const native_protocol::Frame& frame) {
    send_bytes(id, native_protocol::encode(frame));
  }
  void send_bytes(StreamId id, std::string_view bytes) {
    core.stream_bytes_received(id, bytes, now);
    run_once();
  }
  // Opens a stream and sends the Hello of a proxy in "north", or in "south" if `south` is set.
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
  void deliver_endpoint_list(const std::string& json) {
    core.endpoint_list_received(json, now, 5e11 + now);
    run_once();
  }
  // Returns the frames of type T that the core sent on the stream, in order.
  template <typename T>
  std::vector<T> received(StreamId id) {
    std::vector<T> frames;
    for (auto& candidate : received_frames[id])
      if (auto* frame = std::get_if<T>(&candidate)) frames.push_back(*frame);
    return frames;
  }
  bool is_closed(StreamId id) const {
    return std::count(closed_streams.begin(), closed_streams.end(), id) > 0;
  }
  // Returns the reason of the last Refuse frame on the stream, or an empty string.
  std::string refusal_reason(StreamId id) {
    auto refusals = received<native_protocol::Refuse>(id);
    return refusals.empty() ? "" : refusals.back().reason;
  }
  // Returns whether an event with this name was logged, with `part` contained in one of its fields.
  bool has_logged(const std::string& event, const std::string& part = "") const {
    for (const WriteLogEvent& log_event : log_events) {
      if (log_event.event != event) continue;
      if (part.empty()) return true;
      for (auto& [name, value] : log_event.fields)
        if (value.find(part) != std::string::npos) return true;
    }
    return false;
  }
  // Returns the weights by table and endpoint that a proxy has after applying all received updates.
  std::map<std::uint32_t, std::map<std::uint32_t, double>> weight_tables(StreamId id) {
    std::map<std::uint32_t, std::map<std::uint32_t, double>> tables;
    for (auto& message : received<native_protocol::UpdateMessage>(id))
      for (auto& update : message.updates) {
        if (auto* weight = std::get_if<native_protocol::WeightUpdate>(&update)) {
          if (weight->weight > 0) tables[weight->table][weight->endpoint] = weight->weight;
          else tables[weight->table].erase(weight->endpoint);
        }
        if (auto* assignment = std::get_if<native_protocol::AssignTableUpdate>(&update))
          tables[assignment->table].clear();
      }
    return tables;
  }
  // Advances time while the proxies on `streams` respond: every 50 ms, each acknowledges its updates or sends
  // a ping.
  void advance_responsive(std::vector<StreamId> streams, Ms time) {
    for (Ms end = now + time; now < end; advance(50))
      for (StreamId id : streams) {
        if (is_closed(id)) continue;
        auto messages = received<native_protocol::UpdateMessage>(id);
        if (!messages.empty()) send_frame(id, native_protocol::Acknowledgement{messages.back().sequence});
        else send_frame(id, native_protocol::Ping{1});
      }
  }
};

}  // namespace beamshunt::assigner::test
