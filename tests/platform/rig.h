// The platform's core in simulated time, with what it sent sorted by connection.
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

inline json target(const std::string& uid, const std::string& az, const std::string& state = "in_service") {
  return {{"uid", uid},     {"endpoint", "127.0.9.1:80"}, {"az", az},    {"model", "m"}, {"pod_group", 1},
          {"state", state}, {"capacity_hint", 1.0},       {"boot_ms", 0}};
}
inline json list(std::uint64_t rev, bool all, const std::vector<json>& targets) {
  return {{"rev", rev}, {"all", all}, {"targets", targets}};
}
inline json four() {
  return list(
      5, true,
      {target("s-a", "north"), target("s-b", "north"), target("s-c", "south"), target("s-d", "south")});
}

inline json configuration(std::size_t sockets = 256) {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"discovery", "127.0.0.1:1"},
          {"seed", "8c1f"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 48}, {"sockets", sockets}}},
          {"known", four()},
          {"settings", settings()}};
}

class Rig {
 public:
  explicit Rig(const json& c = configuration()) : core(parse_configuration(c.dump()), now, now) {
    run_once();
  }

  ConnectionId open() {
    ConnectionId id{++last_};
    core.on_connection_opened(id, now);
    while (auto oldest = core.eviction_candidate()) core.evict(*oldest);
    return id;
  }
  // What discovery tells on a watch: the newest one, or that of a number.
  WatchSet::Id newest_watch() const { return got<OpenWatch>().back().watch; }
  void tell(const json& object) { tell(newest_watch(), object); }
  void tell(WatchSet::Id watch, const json& object) {
    core.on_watch_bytes(watch, object.dump() + "\n", now, now);
  }
  void bytes(ConnectionId id, const std::string& bytes) { core.on_bytes(id, bytes, now); }
  void say(ConnectionId id, const json& message) { bytes(id, message.dump() + "\n"); }
  ConnectionId join(int node, const std::string& locality = "north") {
    ConnectionId id = open();
    nodes[id] = node;
    say(id, {{"t", "hello"}, {"node", node}, {"locality", locality}, {"w", 20.0}, {"cold", true}});
    return id;
  }
  ConnectionId collector(const std::string& locality = "north") {
    ConnectionId id = open();
    say(id, {{"t", "agent"}, {"locality", locality}});
    return id;
  }
  void run_once() {
    do {
      core.run_once(now);
      for (Effect& effect : core.take_effects()) {
        if (auto* s = std::get_if<SendBytes>(&effect)) sent[s->connection] += *s->bytes;
        else if (auto* c = std::get_if<CloseConnection>(&effect)) closed.insert(c->connection);
        else if (auto* l = std::get_if<LogLine>(&effect)) logged.push_back(*l);
        else others.push_back(effect);
      }
    } while (core.next_due() <= now);
  }
  // Time passes; those `answering` say that they have applied what they were sent.
  void live(Ms span, const std::vector<ConnectionId>& answering = {}) {
    for (Ms until = now + span; now < until; now += 50) {
      run_once();
      for (ConnectionId id : answering) answer(id);
    }
    run_once();
  }
  void answer(ConnectionId id) {
    for (const json& m : messages(id))
      if (m.contains("stamp") && answered_[id].insert(m["stamp"].get<int>()).second)
        say(id, {{"t", "ack"}, {"node", node_of(id)}, {"nonce", m["stamp"]}, {"latency", 100.0}});
  }
  int node_of(ConnectionId id) { return nodes[id]; }
  std::vector<json> messages(ConnectionId id) const {
    std::vector<json> out;
    auto found = sent.find(id);
    std::string_view left = found == sent.end() ? std::string_view{} : found->second;
    for (std::size_t end; (end = left.find('\n')) != std::string_view::npos; left.remove_prefix(end + 1))
      out.push_back(json::parse(left.substr(0, end)));
    return out;
  }
  // The rows and levels that a proxy holds by what it was sent, by class.
  std::map<std::string, std::map<std::string, double>> tables(ConnectionId id) const {
    std::map<std::string, std::map<std::string, double>> out;
    for (const json& m : messages(id)) {
      if (m["t"] != "push") continue;
      for (const std::string& c : m.value("for", std::vector<std::string>{"look", "buy"})) {
        if (m.value("replace", false)) out[c].clear();
        for (const json& row : m.value("rows", json::array()))
          if (row[1] > 0) out[c][row[0]] = row[1];
          else out[c].erase(row[0]);
      }
    }
    return out;
  }
  bool is_closed(ConnectionId id) const { return closed.contains(id); }
  std::string error(ConnectionId id) const {
    for (const json& m : messages(id))
      if (m["t"] == "error") return m["reason"];
    return {};
  }
  template <typename T>
  std::vector<T> got() const {
    std::vector<T> out;
    for (const Effect& e : others)
      if (auto* x = std::get_if<T>(&e)) out.push_back(*x);
    return out;
  }
  std::size_t count_logged(const std::string& event) const {
    std::size_t n = 0;
    for (const LogLine& l : logged) n += l.event == event;
    return n;
  }

  Ms now = 100000;
  Core core;
  std::map<ConnectionId, std::string> sent;
  std::map<ConnectionId, int> nodes;
  std::set<ConnectionId> closed;
  std::vector<Effect> others;
  std::vector<LogLine> logged;

 private:
  std::uint64_t last_ = 0;
  std::map<ConnectionId, std::set<int>> answered_;
};

}  // namespace beamshunt::platform::test
