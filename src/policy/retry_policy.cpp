#include "policy/retry_policy.h"

#include <algorithm>

#include "policy/failure_thresholds.h"

namespace beamshunt {
namespace {

// Mean slowdown (ratio to the baseline) above which the fleet is loaded, and a retry would wait in the same
// queues as the first attempt.
constexpr double kLoadedSlowdown = 2;
// Mean utilization (fraction of capacity) above which the fleet is loaded, and there is no capacity for
// second attempts.
constexpr double kLoadedUtilization = 0.8;

}  // namespace

RetryMode conservative_retry_mode(const Settings& settings) {
  return std::min(settings.default_retry_mode, RetryMode::if_not_processed);
}

RetryMode retry_mode(const RequestClass& request_class, const Settings& settings, const RetryInputs& inputs) {
  double failure_ratio = inputs.averages ? inputs.averages->failure_ratio : 0;
  if (failure_ratio > kCommonFailureRatio) return RetryMode::never;
  // The controller may have started during an overload, so it allows at most the default mode and requires
  // proof.
  double slowdown = inputs.averages ? inputs.averages->slowdown : 0;
  if (slowdown == 0) return conservative_retry_mode(settings);
  bool loaded =
      slowdown > kLoadedSlowdown || inputs.mean_utilization > kLoadedUtilization || inputs.any_class_limited;
  bool is_idempotent = request_class.semantics == Semantics::idempotent;
  return is_idempotent && !loaded ? RetryMode::once : RetryMode::if_not_processed;
}

}  // namespace beamshunt
