// A test harness for the decision module. It simulates endpoints, proxies and their reports without a
// network.
#pragma once

#include <set>

#include "policy/controller.h"

namespace beamshunt::test {

using std::vector;

inline Settings two_locality_settings() {
  Settings settings;
  settings.seed = 7;
  settings.localities = {"east", "west"};
  settings.classes = {{.latency_objective = Duration(1000),
                       .deadline = Duration(4000),
                       .priority_weight = 1,
                       .semantics = Semantics::idempotent},
                      {.latency_objective = Duration(1500),
                       .deadline = Duration(5000),
                       .priority_weight = 3,
                       .semantics = Semantics::not_idempotent}};
  settings.admission_limit_kind = AdmissionLimitKind::rate;
  settings.channel_lines_per_second = 2000;
  settings.message_overhead_lines = 3;
  settings.max_queued_lines = 4000;
  settings.proxy_count = 6;
  settings.connection_idle_timeout = Duration(15000);
  settings.message_window = Duration(10000);
  settings.update_delay = Duration(200);
  settings.max_update_delay = Duration(500);
  settings.report_period = Duration(500);
  settings.subscription_lifetime = Duration(10000);
  settings.max_time_without_endpoints = Duration(5000);
  settings.drain_grace_period = Duration(2000);
  settings.warm_up_time = Duration(16000);
  settings.overload_window = Duration(3000);
  settings.initial_capacity = 0.25;
  settings.overload_multiple = 4;
  settings.health_checks_allowed = true;
  return settings;
}

inline ListedEndpoint make_endpoint(unsigned id, unsigned locality, double capacity = 2) {
  return {.id = EndpointId(id), .locality = Locality(locality), .capacity = capacity};
}

// Passes events to one Controller and records the state that results from its actions.
class ControllerHarness {
 public:
  explicit ControllerHarness(const Settings& initial_settings, double start_time_ms = 50000)
      : settings(initial_settings), controller(initial_settings), now(Duration(start_time_ms)) {}

  vector<Action> handle(const vector<Event>& events) {
    vector<Action> actions = controller.handle(now, events);
    for (const Action& action : actions) record(action);
    last_actions = actions;
    return actions;
  }

  void start(const vector<ListedEndpoint>& entries) {
    listed_endpoints = entries;
    handle({EndpointList{EndpointListKind::cached, entries}});
  }
  void register_proxy(unsigned proxy, unsigned locality, double rate) {
    proxy_localities[proxy] = locality;
    handle({ProxyRegistered{ProxyId(proxy), Locality(locality), rate, true}});
  }
  // Advances the clock by one report period and passes the events of that period to the controller: the
  // reports that `make_reports` returns for each listed endpoint, the demand of each proxy, acknowledgements
  // and the timer. The arrivals are requests in one period at each proxy.
  template <typename MakeReports>
  void run_period(MakeReports make_reports, double class_0_arrivals = 20, double class_1_arrivals = 10) {
    now += settings.report_period;
    vector<Event> events;
    for (const ListedEndpoint& endpoint : listed_endpoints)
      for (EndpointReport report : make_reports(endpoint)) events.emplace_back(report);
    for (auto [proxy, locality] : proxy_localities) {
      events.emplace_back(
          DemandReport{ProxyId(proxy), ClassId(0), class_0_arrivals, 0, settings.report_period});
      events.emplace_back(
          DemandReport{ProxyId(proxy), ClassId(1), class_1_arrivals, 0, settings.report_period});
    }
    for (auto [proxy, sequence_number] : unacknowledged)
      events.emplace_back(UpdateAcknowledged{ProxyId(proxy), settings.update_delay, sequence_number});
    unacknowledged.clear();
    events.emplace_back(TimerFired{});
    handle(events);
  }
  template <typename MakeReports>
  void run_periods(int periods, MakeReports make_reports, double class_0_arrivals = 20,
                   double class_1_arrivals = 10) {
    for (int i = 0; i < periods; ++i) run_period(make_reports, class_0_arrivals, class_1_arrivals);
  }
  // Returns the weights of the table that the proxy uses for the class.
  const std::map<EndpointId, double>& table_weights(unsigned proxy, unsigned request_class) {
    return tables[assigned_tables.at({proxy, request_class})];
  }
  // Returns 0 if the endpoint is not in the table.
  double weight(unsigned proxy, unsigned request_class, unsigned endpoint_id) {
    auto& table = table_weights(proxy, request_class);
    auto found = table.find(EndpointId(endpoint_id));
    return found == table.end() ? 0 : found->second;
  }
  SetAdmissionLimit admission_limit(unsigned proxy, unsigned request_class) {
    return table_admission_limit(assigned_tables.at({proxy, request_class}), request_class);
  }
  SetAdmissionLimit table_admission_limit(TableId table, unsigned request_class) {
    return admission_limits.at({table, request_class});
  }

  // Returns the actions of type `Kind` in their order.
  template <typename Kind>
  static vector<Kind> filter(const vector<Action>& actions) {
    vector<Kind> matching;
    for (const Action& action : actions)
      if (auto* match = std::get_if<Kind>(&action)) matching.push_back(*match);
    return matching;
  }

  Settings settings;
  Controller controller;
  Time now{};
  vector<ListedEndpoint> listed_endpoints;
  std::map<unsigned, unsigned> proxy_localities;  // key: registered proxy
  std::map<TableId, std::map<EndpointId, double>> tables;
  std::map<std::pair<TableId, unsigned>, SetAdmissionLimit> admission_limits;
  std::map<std::pair<unsigned, unsigned>, TableId> assigned_tables;  // key: proxy, class
  std::map<unsigned, int> message_counts;                            // key: proxy
  vector<std::pair<unsigned, std::uint32_t>> unacknowledged;
  vector<Action> last_actions;

 private:
  void record(const Action& action) {
    if (auto* set_weight = std::get_if<SetWeight>(&action)) {
      if (set_weight->weight > 0) tables[set_weight->table][set_weight->endpoint] = set_weight->weight;
      else tables[set_weight->table].erase(set_weight->endpoint);
      updated_tables_.insert(set_weight->table);
    } else if (auto* limit = std::get_if<SetAdmissionLimit>(&action)) {
      for (unsigned c = 0; c < settings.classes.size(); ++c)
        if (limit->classes == 0 || (limit->classes >> c & 1) != 0)
          admission_limits[{limit->table, c}] = *limit;
      updated_tables_.insert(limit->table);
    } else if (auto* assignment = std::get_if<AssignTable>(&action)) {
      for (unsigned c = 0; c < settings.classes.size(); ++c)
        if (assignment->classes == 0 || (assignment->classes >> c & 1) != 0)
          assigned_tables[{static_cast<unsigned>(assignment->proxy), c}] = assignment->table;
      updated_tables_.insert(assignment->table);
    } else if (auto* request = std::get_if<AckRequest>(&action)) {
      std::set<unsigned> updated_proxies;
      for (auto& [key, table] : assigned_tables)
        if (updated_tables_.contains(table)) updated_proxies.insert(key.first);
      for (unsigned proxy : updated_proxies)
        ++message_counts[proxy], unacknowledged.emplace_back(proxy, request->sequence_number);
      updated_tables_.clear();
    }
  }
  std::set<TableId> updated_tables_;
};

// Returns a report over 500 ms from the proxies of the endpoint's own locality. `latency` is in ms.
inline EndpointReport make_report(const ListedEndpoint& endpoint, double attempts, double failed,
                                  double latency) {
  return {.source_locality = endpoint.locality,
          .endpoint = endpoint.id,
          .attempts = attempts,
          .failed = failed,
          .mean_latency = Duration(failed < attempts ? latency : 0),
          .interval = Duration(500)};
}

}  // namespace beamshunt::test
