// Retry policy: whether a proxy may retry a failed attempt, by request class.
//
// Question: Which retry mode does a class get?
// Inputs: the semantics of the class; the mean slowdown of the fleet (ratio) and its ratio of failed
// attempts; the mean utilization of the localities (fraction of capacity); whether any class is limited.
// Rules: Retries are disabled while failures are common. They require proof while the fleet is loaded or
// nothing is known about it. Otherwise, idempotent classes may retry once.
// Reasons: The policy keeps rule 2 (a request must not be executed twice) and prevents retry storms. When all
// endpoints fail, a retry finds no better endpoint and only adds load; retries would also double the load of
// warming endpoints (rule 4).
// Never: The policy never relies on idempotency keys, because tables span cells and a retry could reach an
// endpoint that does not know the key.
#pragma once

#include <optional>

#include "policy/load_estimator.h"
#include "policy/settings.h"

namespace beamshunt {

struct RetryInputs {
  std::optional<FleetAverages> averages;  // nothing: no endpoint has current load data
  double mean_utilization = 1;            // mean over the localities, 0 to 1
  bool any_class_limited = false;
};

// Returns the retry mode while nothing is known about the fleet: the configured default, restricted to
// retries with proof (rule 2 applies to every mode that this controller publishes, including the default).
[[nodiscard]] RetryMode conservative_retry_mode(const Settings& settings);

// Returns the retry mode of the class.
[[nodiscard]] RetryMode retry_mode(const RequestClass& request_class, const Settings& settings,
                                   const RetryInputs& inputs);

}  // namespace beamshunt
