// Applies a controller's actions to its tables and timers, and turns them into effects. Updates for proxies
// are collected in the update writer and not sent here.
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

// The parts of a running core that actions modify or read. All references must be valid during the call.
struct ActionTargets {
  Handover& handover;
  SessionProtocol& protocol;
  UpdateWriter& writer;
  CoreMetrics& metrics;
  const EndpointCatalog& endpoints;
  std::vector<Effect>& effects;
  bool& endpoint_watch_open;  // set to whether the controller subscribes to the endpoint list
};

// Executes `actions` in order. `controller` is the number of the running controller that decided them.
// Throws std::out_of_range if no controller with this number is running.
void execute_actions(const std::vector<Action>& actions, std::uint32_t controller,
                     const ActionTargets& targets, Ms now);

}  // namespace beamshunt::assigner
