// A read-only view of the core's state for the status page, the metrics and the fleet snapshot.
#pragma once

#include <cstdint>

#include "assigner/assigner_settings.h"
#include "assigner/counters.h"
#include "assigner/endpoint_catalog.h"
#include "assigner/handover.h"
#include "assigner/report_intake.h"
#include "assigner/session_table.h"
#include "assigner/update_channel.h"

namespace beamshunt::assigner {

// Refers to parts of a running core. A view is valid for a single call and must not be stored.
struct CoreView {
  const AssignerSettings& settings;
  const SessionTable& sessions;
  const Handover::Controllers& controllers;
  const EndpointCatalog& endpoints;
  const ReportIntake& reports;
  const UpdateChannel& channel;
  const Counters& counters;
  std::uint64_t epoch = 0;
  bool endpoint_watch_open = false;  // whether a watch on the endpoint list is open
  Ms last_watch_activity_at = 0;     // time of the watch's last list or heartbeat
};

}  // namespace beamshunt::assigner
