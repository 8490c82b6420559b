// Carries out a controller's actions: on its tables, on its timers, and as effects. It sends no update
// itself; what actions change for proxies is gathered in the update writer. It decides nothing.
#pragma once

#include <cstdint>
#include <vector>

#include "assigner/core_metrics.h"
#include "assigner/effects.h"
#include "assigner/endpoint_catalog.h"
#include "assigner/handover.h"
#include "assigner/session_protocol.h"
#include "assigner/update_writer.h"
#include "policy/controller.h"

namespace beamshunt::assigner {

// What actions act on. References into a living core.
struct ActionTargets {
  Handover& handover;
  SessionProtocol& protocol;
  UpdateWriter& writer;
  CoreMetrics& metrics;
  const EndpointCatalog& endpoints;
  std::vector<Effect>& effects;
  bool& watching;  // whether a watch on the endpoint list is wanted
};

// `controller`: the number of the one that decided.
void execute_actions(const std::vector<Action>& actions, std::uint32_t controller,
                     const ActionTargets& targets, Ms now);

}  // namespace beamshunt::assigner
