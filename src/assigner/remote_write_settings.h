// The `remote_write:` part of the settings: where metrics are written. Internal to this package.
#pragma once

#include "assigner/assigner_settings.h"
#include "config/value.h"
#include "telemetry/remote_writer.h"

namespace beamshunt::assigner {

// `assigner` gives the instance label, the source address and the state folder. Reads the files that hold the
// credentials and the trusted certificates; throws SettingsError if one can't be used.
telemetry::RemoteWriterSettings read_remote_write_settings(const config::Tree& tree,
                                                           const AssignerSettings& assigner);

}  // namespace beamshunt::assigner
