// The core's state as the status page, the metrics and the fleet snapshot read it.
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

// References into a living core: for one call, not to be kept.
struct CoreView {
  const AssignerSettings& site;
  const SessionTable& sessions;
  const Handover::Controllers& controllers;
  const EndpointCatalog& endpoints;
  const ReportIntake& reports;
  const UpdateChannel& channel;
  const Counters& counters;
  std::uint64_t epoch = 0;
  bool watching = false;    // a watch on the endpoint list is open
  Ms list_received_at = 0;  // when the watch last told anything
};

}  // namespace beamshunt::assigner
