// What an assigner is set to: the policy's settings and what the program around the policy needs. Read from a
// settings tree that the schema has checked; nothing here decides. Durations are in ms.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "assigner/settings_error.h"
#include "base/time.h"
#include "config/value.h"
#include "net/address.h"
#include "policy/controller.h"
#include "telemetry/remote_writer.h"

namespace beamshunt::assigner {

using base::Ms;

// The control service from which configuration versions are streamed, and what is done with them.
struct ControlSettings {
  std::string origin;                  // whose versions are applied; numbers of other origins mean nothing
  std::vector<net::Address> services;  // dialled in this order, one at a time
  Ms heartbeat = 0;
  Ms return_after = 0;    // on another service than the first: then the first is tried again
  Ms deliver_within = 0;  // from a version's first part to its last
  Ms backoff_least = 0;
  Ms backoff_most = 0;
  std::size_t most_frame = 0;      // bytes
  std::size_t most_bytes = 0;      // of a version
  std::size_t most_resources = 0;  // of a version
  Ms shadow_length = 0;            // simulated time of the dry run of a version; 0: none
  Ms shadow_budget = 0;            // real time that the dry run may take
  Ms trial_duration = 0;           // of a version that was applied; 0: none
  double max_service_drop = 0;     // of the part served in time, against the time before; 0 to 1
  double min_trial_requests = 0;   // that the figures of a trial must be made of
};

// `#Assigner` of the schema. `#Site`, the part that all assigners of a site share, is its `site:`.
struct AssignerSettings {
  Settings policy;
  std::vector<std::string> class_names;  // by position, as in policy.classes
  net::PrefixMap locality_of;            // of a peer's address, to a position in policy.localities
  net::PrefixMap admitted;               // peers that may open a stream; empty: all that have a locality
  bool admits_all = true;

  std::uint32_t instance = 0;
  net::Address channel{};               // where proxies and peers dial
  std::optional<net::Address> admin{};  // HTTP for people and tools
  net::Address discovery{};
  std::vector<std::pair<std::uint32_t, net::Address>> peers;  // instance and where it listens
  std::string state_folder;
  std::string record_file;  // empty: no flight record
  std::string log_file;     // empty: standard error
  std::string log_level = "info";

  Ms heartbeat = 0;
  Ms hello_within = 0;    // a stream that has not said who it is by then is closed
  Ms confirm_within = 0;  // a proxy that has not acknowledged a message by then is closed
  std::size_t most_streams = 0;
  std::size_t most_unsent = 0;    // bytes queued for one stream
  std::size_t most_frame = 0;     // bytes
  double report_lines_per_s = 0;  // load report lines given to the policy at most
  Ms probe_timeout = 0;
  Ms list_quiet = 0;  // a watch of the endpoint list without a byte for so long is broken
  std::optional<telemetry::RemoteWriterSettings> remote_write{};
  std::optional<ControlSettings> control{};
  Ms stop_within = 0;  // SIGTERM: time to send what is queued
};

// The schema of all settings; "#Assigner" is its root for an assigner.
const config::Source& settings_schema();

// These check what the schema can't say. Throw SettingsError; of text that the schema rejects
// config::ConfigError with a line for each fault.

// `#Site` alone into the fields that all assigners of a site share; the others are left.
void read_site_settings(const config::Tree& site, AssignerSettings& out);
AssignerSettings to_assigner_settings(const config::Tree& tree);
AssignerSettings load_assigner_settings(const std::vector<config::Source>& sources);

}  // namespace beamshunt::assigner
