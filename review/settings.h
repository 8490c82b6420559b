// Settings like those of a small deployment: the figures of Chikushi Timetable Works in the brief.
#pragma once

#include "fleet.h"

namespace review {

inline FleetOptions small_fleet(std::vector<std::string> zones) {
  FleetOptions options;
  options.zones = std::move(zones);
  options.classes = {"day-plan", "lesson-edit", "cover-notice"};
  options.shares = {0.48, 0.40, 0.12};
  options.work_ms = {250, 250, 165};
  options.default_again = 1;
  options.rate = 20;
  return options;
}

inline json small_settings(const FleetOptions& options, int proxies) {
  return {{"azs", options.zones},
          {"locality", options.zones[0]},
          {"balancers", 1},
          {"discovery", "on_request"},
          {"classes",
           {{{"name", "day-plan"},
             {"slo", 1200.0},
             {"deadline", 4000.0},
             {"semantics", "retryable"},
             {"points", 2.0}},
            {{"name", "lesson-edit"},
             {"slo", 1200.0},
             {"deadline", 4000.0},
             {"semantics", "dedup"},
             {"points", 3.0},
             {"key_scope", "cell"},
             {"window", 4000.0}},
            {{"name", "cover-notice"},
             {"slo", 800.0},
             {"deadline", 2000.0},
             {"semantics", "fragile"},
             {"points", 3.0}}}},
          {"limits", {{"may_probe", true}, {"conn_idle", 15000.0}, {"connect_timeout", 250.0}}},
          {"report", {{"how", "answers"}, {"columns", {"utilization", "backlog"}}}},
          {"family_info",
           {{"key_ranges", 0},
            {"level_kind", "rate"},
            {"default_retry", 1},
            {"try_factor", 1.0},
            {"egress_per_s", 9000.0},
            {"envelope", 10.0},
            {"most_waiting", 9000.0},
            {"pushes_allowed", 12},
            {"messages_over", 10000.0},
            {"agents", proxies},
            {"push_delay", 275.0},
            {"late_most", 420.0},
            {"period", 500.0},
            {"empty_for", 5000.0},
            {"home_only", {false, false, false}}}},
          {"guarantees",
           {{"must_ask_in", 10000.0},
            {"drain_grace", 2000.0},
            {"warm_up", 16000.0},
            {"fall", 3000.0},
            {"start_capacity", 0.21},
            {"tip_multiple", 3.0}}}};
}

inline json small_configuration(const Discovery& discovery, const json& settings) {
  return {{"name", "n0"},
          {"listen", free_address("127.0.0.1")},
          {"discovery", discovery.address()},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", discovery.list()},
          {"settings", settings}};
}

inline bool trouble() {
  const char* set = std::getenv("TROUBLE");
  return !set || std::string(set) != "0";
}

}  // namespace review
