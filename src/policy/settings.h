// The configuration of one controller, as plain data. src/settings parses it from path=value text.
//
// "Rule 1" to "rule 5" name the guarantees that the deployment requires:
//  1. A proxy is without a usable endpoint for at most Settings::max_time_without_endpoints.
//  2. A request that is not safe to repeat is not executed twice.
//  3. A draining endpoint gets no new requests after Settings::drain_grace_period.
//  4. A warming endpoint gets at most Settings::overload_multiple times its capacity.
//  5. The update channel is within its limits for queued lines and for messages to one proxy.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "policy/types.h"

namespace beamshunt {

struct RequestClass {
  Duration latency_objective{};   // responses up to this latency have full value
  Duration deadline{};            // responses after this time have no value
  Duration idempotency_window{};  // retention time of idempotency keys, for idempotent_with_key
  double priority_weight = 1;     // value of one answered request relative to other classes
  Semantics semantics = Semantics::not_idempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::cell;
  bool local_only = false;  // true: only endpoints in the proxy's locality may serve the request
};

struct Settings {
  std::uint64_t seed = 0;
  std::vector<RequestClass> classes;
  std::vector<std::string> localities;
  Locality own_locality{};          // locality in which this controller runs
  bool local_proxies_only = false;  // true: other controllers serve the proxies of other localities

  // Endpoint discovery and health checks.
  bool endpoint_list_by_subscription = true;  // false: discovery pushes the list without a subscription
  Duration subscription_lifetime{};           // time within which a subscription has to be renewed
  bool health_checks_allowed = false;
  bool load_reports_by_health_check = false;  // true: only health check results contain load reports
  bool removal_is_advisory = false;  // true: requests in flight to a removed endpoint may still finish

  // Sharded deployments.
  int shard_count = 0;           // 0: not sharded; the controller assigns its own tables to proxies
  bool single_writer = false;    // true: a shard has at most one endpoint at a time
  Duration lease{};              // time for which a former owner may continue to serve a shard
  Duration lease_settle_time{};  // additional time before a new owner may start

  // Admission limits and retries, which the proxies enforce.
  AdmissionLimitKind admission_limit_kind = AdmissionLimitKind::none;
  RetryMode default_retry_mode = RetryMode::never;
  double attempt_timeout_factor = 1;  // timeout of an attempt that may be retried, in latency objectives

  // The update channel to the proxies. A line is one entry of a message, such as a weight, an admission
  // limit, an acknowledgement request or a table assignment.
  double channel_lines_per_second = 0;
  double message_overhead_lines = 0;   // lines counted for each message in addition to its entries
  double max_queued_lines = 0;         // rule 5: maximum of lines sent but not yet acknowledged
  int proxy_count = 0;                 // proxies of all controllers together
  Duration connection_idle_timeout{};  // idle time after which a proxy closes a connection to an endpoint
  int max_messages_per_window = 0;     // maximum of messages to one proxy within message_window; 0: no limit
  Duration message_window{};
  Duration update_delay{};      // typical time between sending an update and its effect
  Duration max_update_delay{};  // maximum time between sending an update and its effect

  // Reports and the guarantees of the deployment.
  Duration report_period{};               // time between two reports of a proxy
  Duration max_time_without_endpoints{};  // rule 1: maximum time for which a proxy has no usable endpoint
  Duration drain_grace_period{};          // rule 3: time from a drain's notification to the last new request
  Duration warm_up_time{};                // time from an endpoint's start to its full capacity
  double initial_capacity = 1;            // fraction of the full capacity that is available at the start
  double overload_multiple = 1;  // rule 4: maximum load of a warming endpoint, as a multiple of its capacity
  Duration overload_window{};    // time window of rule 4
};

}  // namespace beamshunt
