#include "platform/health_check_client.h"

#include <utility>

#include "platform/message.h"

namespace beamshunt::platform {

void HealthCheckClient::start(EndpointId endpoint) {
  // Checked faster than it answers, one endpoint that hangs would use up the concurrent checks of all others.
  const HealthCheckId id{last_id_ + 1};
  if (!in_flight_.emplace(endpoint, id).second) return;
  ++last_id_;
  if (auto address = catalog_.address(endpoint))
    outputs_.effects.emplace_back(
        StartHealthCheck{id, endpoint, *address, configuration_.settings.load_reports_by_health_check});
  else on_result(endpoint, id, AttemptOutcome::connect_failed, 0, {});
}

void HealthCheckClient::on_result(EndpointId endpoint, HealthCheckId id, AttemptOutcome outcome, Ms duration,
                                  std::string_view body) {
  auto check = in_flight_.find(endpoint);
  if (check == in_flight_.end() || check->second != id) return;  // of a former controller
  in_flight_.erase(check);
  LoadReport load = parse_load_report(body);
  if (view_log_ != nullptr) view_log_->record_health_check(endpoint, outcome, load);
  outputs_.events.emplace_back(HealthCheckResult{endpoint, outcome, Duration(duration), std::move(load)});
}

}  // namespace beamshunt::platform
