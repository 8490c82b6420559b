// Rule 2 (no request runs twice) and retry storms: when a class may retry.
#include "policy/retry_policy.h"

#include <gtest/gtest.h>

#include "policy/controller_harness.h"

namespace beamshunt::test {
namespace {

RetryMode mode_of(Semantics semantics, const RetryInputs& inputs) {
  Settings settings = two_locality_settings();
  settings.default_retry_mode = RetryMode::twice;
  return retry_mode({.semantics = semantics}, settings, inputs);
}

RetryInputs calm() {
  return {.averages = FleetAverages{.fail_share = 0, .slowdown = 1, .threshold = 3, .headroom = 0.5},
          .mean_utilization = 0.5};
}

TEST(RetryPolicy, IdempotentClassesRetryOnceInACalmFleet) {
  EXPECT_EQ(mode_of(Semantics::idempotent, calm()), RetryMode::once);
}

TEST(RetryPolicy, OtherClassesRetryOnlyWithProof) {
  EXPECT_EQ(mode_of(Semantics::not_idempotent, calm()), RetryMode::if_not_processed);
  EXPECT_EQ(mode_of(Semantics::idempotent_with_key, calm()), RetryMode::if_not_processed);
}

TEST(RetryPolicy, EachSignOfLoadAsksForProof) {
  RetryInputs slow = calm();
  slow.averages->slowdown = 2.1;
  RetryInputs utilized = calm();
  utilized.mean_utilization = 0.81;
  RetryInputs limited = calm();
  limited.any_class_limited = true;
  for (const RetryInputs& inputs : {slow, utilized, limited}) {
    EXPECT_EQ(mode_of(Semantics::idempotent, inputs), RetryMode::if_not_processed);
  }
}

// A retry storm: all endpoints fail, each retry adds load and fails as well.
TEST(RetryPolicy, NothingIsRetriedWhileFailuresAreCommon) {
  RetryInputs failing = calm();
  failing.averages->fail_share = 0.21;
  EXPECT_EQ(mode_of(Semantics::idempotent, failing), RetryMode::never);
}

TEST(RetryPolicy, AControllerThatKnowsNothingYetNeverRetriesWithoutProof) {
  EXPECT_EQ(mode_of(Semantics::idempotent, {}), RetryMode::if_not_processed);
}

}  // namespace
}  // namespace beamshunt::test
