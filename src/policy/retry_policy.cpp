#include "policy/retry_policy.h"

#include <algorithm>

#include "policy/failure_thresholds.h"

namespace beamshunt {
namespace {

// Mean slowdown (ratio to the baseline) above which the fleet is loaded: a retry would wait in the same
// queues.
constexpr double kLoadedSlowdown = 2;
// Mean utilization (part of capacity) above which the fleet is loaded: there is no capacity for second
// attempts.
constexpr double kLoadedUtilization = 0.8;

}  // namespace

RetryMode cautious_retry_mode(const Settings& settings) {
  return std::min(settings.default_retry_mode, RetryMode::if_not_processed);
}

RetryMode retry_mode(const RequestClass& request_class, const Settings& settings, const RetryInputs& inputs) {
  double fail_share = inputs.averages ? inputs.averages->fail_share : 0;
  if (fail_share > kCommonFailShare) return RetryMode::never;
  // Just started, perhaps in the middle of an overload: no more than the default, and nothing without proof.
  double slowdown = inputs.averages ? inputs.averages->slowdown : 0;
  if (slowdown == 0) return cautious_retry_mode(settings);
  bool loaded =
      slowdown > kLoadedSlowdown || inputs.mean_utilization > kLoadedUtilization || inputs.any_class_limited;
  bool safe = request_class.semantics == Semantics::idempotent;
  return safe && !loaded ? RetryMode::once : RetryMode::if_not_processed;
}

}  // namespace beamshunt
