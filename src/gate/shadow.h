// A version rehearsed: a copy of the host's core with the present settings is given the present fleet, goes
// over to the new ones, and its orders are obeyed by models of proxies and servers in simulated time, with a
// drain and a restart on the way. The audit judges it by the five rules; the same without the change is the
// measure. Pure, and the same for the same fleet and seed.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "assigner/core.h"
#include "audit/rules.h"

namespace beamshunt::gate {

using base::Ms;

struct Rehearsal {
  audit::Verdict verdict;
  double service = 1;  // worth answered in time over worth asked for, after the change
  double requests = 0;
  bool finished = true;    // within the budget of real time
  bool taken_over = true;  // there was room among the messages for a fresh module to begin
};

struct ShadowOptions {
  Ms settle = 2000, length = 4000;  // simulated: before the change, after it
  std::uint64_t seed = 1;
  std::function<bool()> out_of_budget = [] { return false; };
  assigner::MessageInterceptor interceptor{};  // for proofs that the rehearsal's audit sees what is broken
};

// The narrow door to the model of servers and proxies, which is the emulator's.
Rehearsal rehearse(const assigner::AssignerSettings& now, const assigner::AssignerSettings& next,
                   const assigner::FleetSnapshot& fleet, const ShadowOptions& options);

}  // namespace beamshunt::gate
