#include "assigner/core_status.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "assigner/update_writer.h"
#include "base/enums.h"

namespace beamshunt::assigner {
namespace {

using base::to_underlying;

nlohmann::json counters_json(const Counters& counters) {
  return {{"events", counters.events},
          {"actions", counters.actions},
          {"messages", counters.update_messages},
          {"lines", counters.updates},
          {"refused_streams", counters.refused_streams},
          {"broken_streams", counters.broken_streams},
          {"dropped_messages", counters.dropped_messages},
          {"unknown_endpoints", counters.unknown_endpoints}};
}

nlohmann::json table_json(const assignments::WeightTable& table,
                          const std::vector<std::string>& class_names) {
  nlohmann::json weights = nlohmann::json::object();
  for (const auto& [endpoint, weight] : table.weights)
    weights[std::to_string(to_underlying(endpoint))] = weight;
  nlohmann::json limits = nlohmann::json::object();
  for (const auto& [request_class, limit] : table.limits)
    limits[class_names[to_underlying(request_class)]] = {{"level", limit.limit},
                                                         {"retry", static_cast<int>(limit.retry_mode)}};
  return {{"users", table.proxies.size()}, {"lines", weights}, {"levels", limits}};
}

}  // namespace

FleetSnapshot fleet_snapshot(const CoreView& core, const CoreMetrics& metrics, Ms now) {
  FleetSnapshot snapshot;
  for (const EndpointListEntry& entry : core.endpoints.entries()) {
    FleetSnapshot::Endpoint endpoint{entry.id, entry.locality, entry.cell, entry.capacity,
                                     entry.state == EndpointState::available};
    endpoint.address = entry.address;
    if (auto start = core.endpoints.start_time(entry.id)) endpoint.uptime = now - *start;
    if (const EndpointActivity* activity = metrics.activity(entry.id)) {
      endpoint.attempt_rate = activity->attempt_rate;
      endpoint.utilization = activity->utilization;
    }
    snapshot.endpoints.push_back(endpoint);
  }
  for (const auto& [proxy, stream] : core.sessions.proxies()) {
    const Session& session = core.sessions.session_of(stream);
    snapshot.proxies.push_back(
        {to_underlying(proxy), core.settings.locality_of.find(session.address.ip).value_or(0),
         session.expected_rate,
         session.message_history.count(now, core.settings.policy.message_window.count()), session.address});
  }
  snapshot.arrivals_by_class = metrics.arrivals_by_class(core.settings.policy.classes.size());
  snapshot.streams = core.sessions.size();
  return snapshot;
}

std::string status_json(const CoreView& core, Ms now) {
  nlohmann::json status;
  status["instance"] = core.settings.instance;
  status["epoch"] = core.epoch;
  status["streams"] = core.sessions.size();
  status["proxies"] = core.sessions.proxies().size();
  status["list"] = {{"version", core.endpoints.version()},
                    {"entries", core.endpoints.entries().size()},
                    {"watching", core.endpoint_watch_open}};
  status["channel"] = {{"unconfirmed_lines", core.sessions.unacknowledged_lines()},
                       {"unsent_messages", core.channel.queued_messages()},
                       {"free_in_ms", std::max(0.0, core.channel.idle_at() - now)}};
  status["reports"] = {{"waiting_lines", core.reports.pending_entries()}, {"taken", core.counters.reports}};
  status["counters"] = counters_json(core.counters);
  nlohmann::json tables = nlohmann::json::object();
  for (const auto& [number, running] : core.controllers)
    for (const auto& [id, table] : running.tables.tables())
      tables[std::to_string(wire_table_id(number, id))] = table_json(table, core.settings.class_names);
  status["tables"] = tables;
  return status.dump();
}

}  // namespace beamshunt::assigner
