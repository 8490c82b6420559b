// Tests of the retry modes, which keep rule 2 (a request must not be executed twice) and prevent retry
// storms.
#include "policy/retry_policy.h"

#include <gtest/gtest.h>

#include "policy/controller_harness.h"

namespace beamshunt::test {
namespace {

RetryMode mode_for(Semantics semantics, const RetryInputs& inputs) {
  Settings settings = two_locality_settings();
  settings.default_retry_mode = RetryMode::twice;
  return retry_mode({.semantics = semantics}, settings, inputs);
}

RetryInputs healthy_fleet() {
  return {.averages = FleetAverages{.failure_ratio = 0, .slowdown = 1, .threshold = 3, .headroom = 0.5},
          .mean_utilization = 0.5};
}

TEST(RetryPolicy, AllowsOneRetryOfIdempotentClassesInAHealthyFleet) {
  EXPECT_EQ(mode_for(Semantics::idempotent, healthy_fleet()), RetryMode::once);
}

TEST(RetryPolicy, RequiresProofForClassesThatAreNotIdempotent) {
  EXPECT_EQ(mode_for(Semantics::not_idempotent, healthy_fleet()), RetryMode::if_not_processed);
  EXPECT_EQ(mode_for(Semantics::idempotent_with_key, healthy_fleet()), RetryMode::if_not_processed);
}

TEST(RetryPolicy, RequiresProofForEachIndicationOfLoad) {
  RetryInputs slow = healthy_fleet();
  slow.averages->slowdown = 2.1;
  RetryInputs utilized = healthy_fleet();
  utilized.mean_utilization = 0.81;
  RetryInputs limited = healthy_fleet();
  limited.any_class_limited = true;
  for (const RetryInputs& inputs : {slow, utilized, limited}) {
    EXPECT_EQ(mode_for(Semantics::idempotent, inputs), RetryMode::if_not_processed);
  }
}

// Guards against a retry storm, in which all endpoints fail and each retry adds load and fails too.
TEST(RetryPolicy, DisablesRetriesWhileFailuresAreCommon) {
  RetryInputs failing = healthy_fleet();
  failing.averages->failure_ratio = 0.21;
  EXPECT_EQ(mode_for(Semantics::idempotent, failing), RetryMode::never);
}

TEST(RetryPolicy, RequiresProofWhileNothingIsKnownAboutTheFleet) {
  EXPECT_EQ(mode_for(Semantics::idempotent, {}), RetryMode::if_not_processed);
}

}  // namespace
}  // namespace beamshunt::test
