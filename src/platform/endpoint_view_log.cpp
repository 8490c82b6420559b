#include "platform/endpoint_view_log.h"

#include <fmt/format.h>

#include <utility>

#include "base/enums.h"

namespace beamshunt::platform {
namespace {

constexpr Ms kLineInterval = 1000;  // ms between two lines: the span of one step of the controller's

const char* outcome_name(AttemptOutcome outcome) {
  constexpr const char* kNames[] = {"success",        "application_error", "rejected",  "timed_out",
                                    "connect_failed", "connection_lost",   "cancelled", "not_sent"};
  return kNames[base::to_underlying(outcome)];
}

// The endpoint's share of the weights of all tables that proxies use.
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
  View& view = views_[endpoint];
  view.attempts += report.attempts;
  view.failed += report.failed;
  view.total_latency += report.mean_latency * (report.attempts - report.failed);
}

void EndpointViewLog::record_health_check(EndpointId endpoint, AttemptOutcome outcome,
                                          const LoadReport& load) {
  View& view = views_[endpoint];
  view.health_check_outcome = outcome_name(outcome);
  if (auto utilization = load.find("utilization"); utilization != load.end())
    view.utilization = utilization->second;
}

void EndpointViewLog::write_if_due(const EndpointCatalog& catalog,
                                   const assignments::AssignmentTables& tables, const settings::Names& names,
                                   Ms now) {
  if (now < next_line_at_) return;
  next_line_at_ = now + kLineInterval;
  log::Fields fields;
  for (const ListedEndpoint& endpoint : catalog.listed()) {
    View& view = views_[endpoint.id];
    const double successful = view.attempts - view.failed;
    fields.emplace_back(
        *catalog.uid(endpoint.id),
        fmt::format("{} {}: {:.0f} attempts, {:.0f} failed, {:.0f} ms; weight share {:.2f}; health check {}, "
                    "utilization {:.2f}",
                    names.localities[base::to_underlying(endpoint.locality)],
                    endpoint.state == EndpointState::available ? "available" : "draining", view.attempts,
                    view.failed, successful > 0 ? view.total_latency / successful : 0,
                    weight_share(endpoint.id, tables), view.health_check_outcome, view.utilization));
    view.attempts = 0;
    view.failed = 0;
    view.total_latency = 0;
  }
  outputs_.log(log::Level::debug, "endpoint_view", std::move(fields));
}

}  // namespace beamshunt::platform
