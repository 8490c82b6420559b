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
          {"messages", counters.messages},
          {"lines", counters.lines},
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
  FleetSnapshot out;
  for (const EndpointListEntry& entry : core.endpoints.entries()) {
    FleetSnapshot::Endpoint endpoint{entry.id, entry.locality, entry.cell, entry.capacity,
                                     entry.state == EndpointState::available};
    endpoint.address = entry.address;
    if (auto start = core.endpoints.start_time(entry.id)) endpoint.uptime = now - *start;
    if (const EndpointActivity* activity = metrics.activity(entry.id)) {
      endpoint.attempt_rate = activity->attempt_rate;
      endpoint.utilization = activity->utilization;
    }
    out.endpoints.push_back(endpoint);
  }
  for (const auto& [proxy, stream] : core.sessions.proxies()) {
    const Session& session = core.sessions.session_of(stream);
    out.proxies.push_back({to_underlying(proxy), core.site.locality_of.find(session.address.ip).value_or(0),
                           session.expected_rate,
                           session.messages.count(now, core.site.policy.message_window.count()),
                           session.address});
  }
  out.arrivals_by_class = metrics.arrivals_by_class(core.site.policy.classes.size());
  out.streams = core.sessions.size();
  return out;
}

std::string status_json(const CoreView& core, Ms now) {
  nlohmann::json out;
  out["instance"] = core.site.instance;
  out["epoch"] = core.epoch;
  out["streams"] = core.sessions.size();
  out["proxies"] = core.sessions.proxies().size();
  out["list"] = {{"version", core.endpoints.version()},
                 {"entries", core.endpoints.entries().size()},
                 {"watching", core.watching}};
  out["channel"] = {{"unconfirmed_lines", core.sessions.unacknowledged_lines()},
                    {"unsent_messages", core.channel.queued()},
                    {"free_in_ms", std::max(0.0, core.channel.free_at() - now)}};
  out["reports"] = {{"waiting_lines", core.reports.pending_entries()}, {"taken", core.counters.reports}};
  out["counters"] = counters_json(core.counters);
  nlohmann::json tables = nlohmann::json::object();
  for (const auto& [number, running] : core.controllers)
    for (const auto& [id, table] : running.tables.tables())
      tables[std::to_string(wire_table_id(number, id))] = table_json(table, core.site.class_names);
  out["tables"] = tables;
  return out.dump();
}

}  // namespace beamshunt::assigner
