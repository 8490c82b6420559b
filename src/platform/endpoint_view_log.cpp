#include "platform/endpoint_view_log.h"

#include <fmt/format.h>

#include <utility>

#include "base/enums.h"

namespace beamshunt::platform {
namespace {

constexpr Ms kLogInterval = 1000;  // ms between two log lines; equals one step of the controller

const char* outcome_name(AttemptOutcome outcome) {
  constexpr const char* kNames[] = {"success",        "application_error", "rejected",  "timed_out",
                                    "connect_failed", "connection_lost",   "cancelled", "not_sent"};
  return kNames[base::to_underlying(outcome)];
}

// Returns the sum of the endpoint's shares of weight over all tables that proxies use.
double weight_share(EndpointId endpoint, const assignments::AssignmentTables& tables) {
  double share = 0;
  for (const auto& [id, table] : tables.tables()) {
    auto weight = table.weights.find(endpoint);
    if (weight == table.weights.end() || table.proxies.empty()) continue;
    double total = 0;
    for (const auto& [other, other_weight] : table.weights) total += other_weight;
    share += weight->second / total;
  }
  return share;
}

}  // namespace

void EndpointViewLog::record_report(EndpointId endpoint, const EndpointReportMessage& report) {
  Statistics& statistics = statistics_[endpoint];
  statistics.attempts += report.attempts;
  statistics.failed += report.failed;
  statistics.total_latency += report.mean_latency * (report.attempts - report.failed);
}

void EndpointViewLog::record_health_check(EndpointId endpoint, AttemptOutcome outcome,
                                          const LoadReport& load) {
  Statistics& statistics = statistics_[endpoint];
  statistics.health_check_outcome = outcome_name(outcome);
  if (auto utilization = load.find("utilization"); utilization != load.end())
    statistics.utilization = utilization->second;
}

void EndpointViewLog::write_if_due(const EndpointCatalog& catalog,
                                   const assignments::AssignmentTables& tables, const settings::Names& names,
                                   Ms now) {
  if (now < next_write_at_) return;
  next_write_at_ = now + kLogInterval;
  log::Fields fields;
  for (const ListedEndpoint& endpoint : catalog.listed()) {
    Statistics& statistics = statistics_[endpoint.id];
    const double successful = statistics.attempts - statistics.failed;
    fields.emplace_back(
        *catalog.uid(endpoint.id),
        fmt::format(
            "{} {}: {:.0f} attempts, {:.0f} failed, {:.0f} ms; weight share {:.2f}; health check {}, "
            "utilization {:.2f}",
            names.localities[base::to_underlying(endpoint.locality)],
            endpoint.state == EndpointState::available ? "available" : "draining", statistics.attempts,
            statistics.failed, successful > 0 ? statistics.total_latency / successful : 0,
            weight_share(endpoint.id, tables), statistics.health_check_outcome, statistics.utilization));
    statistics.attempts = 0;
    statistics.failed = 0;
    statistics.total_latency = 0;
  }
  outputs_.log(log::Level::debug, "endpoint_view", std::move(fields));
}

}  // namespace beamshunt::platform
