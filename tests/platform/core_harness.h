// Runs the platform's core in simulated time and sorts its output by connection.
#pragma once

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "platform/core.h"

namespace beamshunt::platform::test {

using nlohmann::json;

inline json settings() {
  return {{"azs", {"north", "south"}},
          {"locality", "north"},
          {"balancers", 2},
          {"discovery", "on_request"},
          {"classes",
           {{{"name", "look"}, {"slo", 1000.0}, {"deadline", 3000.0}, {"semantics", "retryable"}},
            {{"name", "buy"}, {"slo", 1500.0}, {"deadline", 5000.0}, {"semantics", "fragile"}}}},
          {"limits", {{"may_probe", true}, {"conn_idle", 15000.0}}},
          {"report", {{"how", "probe"}}},
          {"family_info",
           {{"key_ranges", 0},
            {"level_kind", "rate"},
            {"default_retry", 0},
            {"try_factor", 1.2},
            {"egress_per_s", 2000.0},
            {"envelope", 3.0},
            {"most_waiting", 3600.0},
            {"pushes_allowed", 30},
            {"messages_over", 10000.0},
            {"agents", 40},
            {"push_delay", 200.0},
            {"late_most", 500.0},
            {"period", 500.0},
            {"empty_for", 5000.0},
            {"home_only", {false, true}}}},
          {"guarantees",
           {{"must_ask_in", 10000.0},
            {"drain_grace", 2000.0},
            {"warm_up", 8000.0},
            {"fall", 3000.0},
            {"start_capacity", 0.3},
            {"tip_multiple", 4.0}}}};
}

// Returns one entry of discovery's list.
inline json endpoint_entry(const std::string& uid, const std::string& az,
                           const std::string& state = "in_service") {
  return {{"uid", uid},     {"endpoint", "127.0.9.1:80"}, {"az", az},    {"model", "m"}, {"pod_group", 1},
          {"state", state}, {"capacity_hint", 1.0},       {"boot_ms", 0}};
}
// Returns a list object of discovery. `complete`: the entries are the whole list; false: only changes.
inline json endpoint_list(std::uint64_t revision, bool complete, const std::vector<json>& entries) {
  return {{"rev", revision}, {"all", complete}, {"targets", entries}};
}
// Returns the complete list of four endpoints, two in each locality, with revision 5.
inline json four_endpoints() {
  return endpoint_list(5, true,
                       {endpoint_entry("s-a", "north"), endpoint_entry("s-b", "north"),
                        endpoint_entry("s-c", "south"), endpoint_entry("s-d", "south")});
}

inline json configuration(std::size_t descriptor_limit = 256) {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"discovery", "127.0.0.1:1"},
          {"seed", "8c1f"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 48}, {"sockets", descriptor_limit}}},
          {"known", four_endpoints()},
          {"settings", settings()}};
}

class CoreHarness {
 public:
  explicit CoreHarness(const json& config = configuration())
      : core(parse_configuration(config.dump()), now, now) {
    run_once();
  }

  ConnectionId open_connection() {
    ConnectionId id{++last_connection_};
    core.on_connection_opened(id, now);
    while (auto oldest = core.eviction_candidate()) core.evict(*oldest);
    return id;
  }
  WatchSet::Id newest_watch() const { return effects_of<OpenWatch>().back().watch; }
  // Delivers a list object on the newest watch, or on the given one.
  void publish(const json& object) { publish(newest_watch(), object); }
  void publish(WatchSet::Id watch, const json& object) {
    core.on_watch_bytes(watch, object.dump() + "\n", now, now);
  }
  // Delivers bytes or a message of the peer to the core.
  void send_bytes(ConnectionId id, const std::string& bytes) { core.on_bytes(id, bytes, now); }
  void send_message(ConnectionId id, const json& message) { send_bytes(id, message.dump() + "\n"); }
  // Opens a connection and registers it as a proxy.
  ConnectionId register_proxy(int number, const std::string& locality = "north") {
    ConnectionId id = open_connection();
    proxy_numbers[id] = number;
    send_message(id, {{"t", "hello"}, {"node", number}, {"locality", locality}, {"w", 20.0}, {"cold", true}});
    return id;
  }
  // Opens a connection and registers it as a collector.
  ConnectionId register_collector(const std::string& locality = "north") {
    ConnectionId id = open_connection();
    send_message(id, {{"t", "agent"}, {"locality", locality}});
    return id;
  }
  // Runs the core until nothing is due at the present time.
  void run_once() {
    do {
      core.run_once(now);
      for (Effect& effect : core.take_effects()) {
        if (auto* send = std::get_if<SendBytes>(&effect)) sent[send->connection] += *send->bytes;
        else if (auto* close = std::get_if<CloseConnection>(&effect)) closed.insert(close->connection);
        else if (auto* line = std::get_if<LogLine>(&effect)) log_lines.push_back(*line);
        else other_effects.push_back(effect);
      }
    } while (core.next_due() <= now);
  }
  // Advances the time by `span` ms. The `responsive` proxies acknowledge the updates that they receive.
  void run_for(Ms span, const std::vector<ConnectionId>& responsive = {}) {
    for (Ms until = now + span; now < until; now += 50) {
      run_once();
      for (ConnectionId id : responsive) acknowledge(id);
    }
    run_once();
  }
  // Acknowledges all nonces that the proxy received and has not acknowledged.
  void acknowledge(ConnectionId id) {
    for (const json& message : messages(id))
      if (message.contains("stamp") && acknowledged_[id].insert(message["stamp"].get<int>()).second)
        send_message(
            id, {{"t", "ack"}, {"node", proxy_number(id)}, {"nonce", message["stamp"]}, {"latency", 100.0}});
  }
  int proxy_number(ConnectionId id) { return proxy_numbers[id]; }
  // Returns all messages that were sent on the connection.
  std::vector<json> messages(ConnectionId id) const {
    std::vector<json> result;
    auto found = sent.find(id);
    std::string_view rest = found == sent.end() ? std::string_view{} : found->second;
    for (std::size_t end; (end = rest.find('\n')) != std::string_view::npos; rest.remove_prefix(end + 1))
      result.push_back(json::parse(rest.substr(0, end)));
    return result;
  }
  // Returns the weights that a proxy has after all messages sent to it, by class and uid.
  std::map<std::string, std::map<std::string, double>> tables(ConnectionId id) const {
    std::map<std::string, std::map<std::string, double>> result;
    for (const json& message : messages(id)) {
      if (message["t"] != "push") continue;
      for (const std::string& name : message.value("for", std::vector<std::string>{"look", "buy"})) {
        if (message.value("replace", false)) result[name].clear();
        for (const json& row : message.value("rows", json::array()))
          if (row[1] > 0) result[name][row[0]] = row[1];
          else result[name].erase(row[0]);
      }
    }
    return result;
  }
  bool is_closed(ConnectionId id) const { return closed.contains(id); }
  // Returns the reason of the first error message on the connection; empty if there is none.
  std::string error_reason(ConnectionId id) const {
    for (const json& message : messages(id))
      if (message["t"] == "error") return message["reason"];
    return {};
  }
  template <typename T>
  std::vector<T> effects_of() const {
    std::vector<T> result;
    for (const Effect& effect : other_effects)
      if (auto* found = std::get_if<T>(&effect)) result.push_back(*found);
    return result;
  }
  std::size_t count_logged(const std::string& event) const {
    std::size_t count = 0;
    for (const LogLine& line : log_lines) count += line.event == event;
    return count;
  }

  Ms now = 100000;
  Core core;
  std::map<ConnectionId, std::string> sent;
  std::map<ConnectionId, int> proxy_numbers;
  std::set<ConnectionId> closed;
  std::vector<Effect> other_effects;  // effects other than sending, closing and logging
  std::vector<LogLine> log_lines;

 private:
  std::uint64_t last_connection_ = 0;
  std::map<ConnectionId, std::set<int>> acknowledged_;
};

}  // namespace beamshunt::platform::test
