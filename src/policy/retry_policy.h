// Retries: when a proxy may retry a failed attempt, by class.
//
// Question: which retry mode does a class get?
// Inputs: the class's semantics, the fleet's mean slowdown (ratio) and failed part of attempts, the mean
// utilization of localities (part of capacity), whether any class is limited.
// Rule: never while failures are common; only with proof while the fleet is loaded or nothing is known yet;
// once for idempotent classes otherwise.
// Reasons: rule 2 (a request must not run twice) and retry storms. What fails everywhere finds no better
// endpoint, so that a retry only adds load; retries would double what comes to warming endpoints (rule 4).
// It never trusts idempotency keys: tables span cells, and a request could meet an endpoint that does not
// know its key.
#pragma once

#include <optional>

#include "policy/load_estimator.h"
#include "policy/settings.h"

namespace beamshunt {

struct RetryInputs {
  std::optional<FleetAverages> averages;  // nothing: no endpoint was reported lately
  double mean_utilization = 1;            // of localities, 0 to 1
  bool any_class_limited = false;
};

// The mode while nothing is known: the configured default, but never a retry without proof (rule 2: what this
// controller publishes is its own responsibility).
[[nodiscard]] RetryMode cautious_retry_mode(const Settings& settings);

[[nodiscard]] RetryMode retry_mode(const RequestClass& request_class, const Settings& settings,
                                   const RetryInputs& inputs);

}  // namespace beamshunt
