// A small stage for the module's tests: endpoints, proxies and what they report, with no network behind them.
#pragma once

#include <set>

#include "policy/controller.h"

namespace beamshunt::test {

using std::vector;

inline Settings two_locality_settings() {
  Settings s;
  s.seed = 7;
  s.localities = {"east", "west"};
  s.classes = {{.latency_objective = Duration(1000),
                .deadline = Duration(4000),
                .priority_weight = 1,
                .semantics = Semantics::idempotent},
               {.latency_objective = Duration(1500),
                .deadline = Duration(5000),
                .priority_weight = 3,
                .semantics = Semantics::not_idempotent}};
  s.admission_limit_kind = AdmissionLimitKind::rate;
  s.channel_lines_per_second = 2000;
  s.message_overhead_lines = 3;
  s.max_queued_lines = 4000;
  s.proxy_count = 6;
  s.connection_idle_timeout = Duration(15000);
  s.message_window = Duration(10000);
  s.update_delay = Duration(200);
  s.max_update_delay = Duration(500);
  s.report_period = Duration(500);
  s.subscription_lifetime = Duration(10000);
  s.max_time_without_endpoints = Duration(5000);
  s.drain_grace_period = Duration(2000);
  s.warm_up_time = Duration(16000);
  s.overload_window = Duration(3000);
  s.initial_capacity = 0.25;
  s.overload_multiple = 4;
  s.health_checks_allowed = true;
  return s;
}

inline ListedEndpoint make_endpoint(unsigned id, unsigned zone, double size = 2) {
  return {.id = EndpointId(id), .locality = Locality(zone), .capacity = size};
}

// Drives one Controller by its timers and keeps what the orders so far amount to.
class ControllerHarness {
 public:
  explicit ControllerHarness(const Settings& s, double origin = 50000)
      : settings(s), controller(s), now(Duration(origin)) {}

  vector<Action> send(const vector<Event>& events) {
    vector<Action> actions = controller.handle(now, events);
    for (const Action& a : actions) note(a);
    last = actions;
    return actions;
  }

  void start(const vector<ListedEndpoint>& entries) {
    listed = entries;
    send({EndpointList{EndpointListKind::cached, entries}});
  }
  void join(unsigned proxy, unsigned zone, double rate) {
    zones[proxy] = zone;
    send({ProxyRegistered{ProxyId(proxy), Locality(zone), rate, true}});
  }
  // Steps one period: the clock, what `heard` says of every endpoint, the usual usage, and the due timer.
  template <typename Heard>
  void period(Heard heard, double came_a = 20, double came_b = 10) {
    now += settings.report_period;
    vector<Event> events;
    for (const ListedEndpoint& e : listed)
      for (EndpointReport h : heard(e)) events.emplace_back(h);
    for (auto [proxy, zone] : zones) {
      events.emplace_back(DemandReport{ProxyId(proxy), ClassId(0), came_a, 0, settings.report_period});
      events.emplace_back(DemandReport{ProxyId(proxy), ClassId(1), came_b, 0, settings.report_period});
    }
    for (auto [proxy, serial] : unconfirmed)
      events.emplace_back(UpdateAcknowledged{ProxyId(proxy), settings.update_delay, serial});
    unconfirmed.clear();
    events.emplace_back(TimerFired{});
    send(events);
  }
  template <typename Heard>
  void run(int periods, Heard heard, double came_a = 20, double came_b = 10) {
    for (int i = 0; i < periods; ++i) period(heard, came_a, came_b);
  }
  // What the first proxies of a zone would use for a class.
  const std::map<EndpointId, double>& lines(unsigned proxy, unsigned cls) {
    return tables[bound.at({proxy, cls})];
  }
  double line(unsigned proxy, unsigned cls, unsigned endpoint_id) {
    auto& table = lines(proxy, cls);
    auto it = table.find(EndpointId(endpoint_id));
    return it == table.end() ? 0 : it->second;
  }
  SetAdmissionLimit level(unsigned proxy, unsigned cls) { return level_of(bound.at({proxy, cls}), cls); }
  SetAdmissionLimit level_of(TableId table, unsigned cls) { return levels.at({table, cls}); }

  template <typename Kind>
  static vector<Kind> only(const vector<Action>& actions) {
    vector<Kind> out;
    for (const Action& a : actions)
      if (auto* k = std::get_if<Kind>(&a)) out.push_back(*k);
    return out;
  }

  Settings settings;
  Controller controller;
  Time now{};
  vector<ListedEndpoint> listed;
  std::map<unsigned, unsigned> zones;  // of joined proxies
  std::map<TableId, std::map<EndpointId, double>> tables;
  std::map<std::pair<TableId, unsigned>, SetAdmissionLimit> levels;
  std::map<std::pair<unsigned, unsigned>, TableId> bound;  // by proxy and class
  std::map<unsigned, int> messages;                        // by proxy
  vector<std::pair<unsigned, std::uint32_t>> unconfirmed;
  vector<Action> last;

 private:
  void note(const Action& action) {
    if (auto* l = std::get_if<SetWeight>(&action)) {
      if (l->weight > 0) tables[l->table][l->endpoint] = l->weight;
      else tables[l->table].erase(l->endpoint);
      touched_.insert(l->table);
    } else if (auto* a = std::get_if<SetAdmissionLimit>(&action)) {
      for (unsigned c = 0; c < settings.classes.size(); ++c)
        if (a->classes == 0 || (a->classes >> c & 1) != 0) levels[{a->table, c}] = *a;
      touched_.insert(a->table);
    } else if (auto* b = std::get_if<AssignTable>(&action)) {
      for (unsigned c = 0; c < settings.classes.size(); ++c)
        if (b->classes == 0 || (b->classes >> c & 1) != 0)
          bound[{static_cast<unsigned>(b->proxy), c}] = b->table;
      touched_.insert(b->table);
    } else if (auto* m = std::get_if<AckRequest>(&action)) {
      std::set<unsigned> reached;
      for (auto& [key, table] : bound)
        if (touched_.contains(table)) reached.insert(key.first);
      for (unsigned p : reached) ++messages[p], unconfirmed.emplace_back(p, m->sequence_number);
      touched_.clear();
    }
  }
  std::set<TableId> touched_;
};

inline EndpointReport heard(const ListedEndpoint& e, double tries, double failed, double latency) {
  return {.source_locality = e.locality,
          .endpoint = e.id,
          .attempts = tries,
          .failed = failed,
          .mean_latency = Duration(failed < tries ? latency : 0),
          .interval = Duration(500)};
}

}  // namespace beamshunt::test
