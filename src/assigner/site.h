// What an assigner is set to: the policy's settings, and what the host adds to them. Read from checked
// settings; nothing here decides.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "config/value.h"
#include "net/address.h"
#include "policy/controller.h"
#include "telemetry/remote_writer.h"

namespace beamshunt::assigner {

using base::Ms;

struct Site {
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

  Ms heartbeat = 0, hello_within = 0, confirm_within = 0;
  std::size_t most_streams = 0, most_unsent = 0, most_frame = 0;
  double report_lines_per_s = 0;  // given to the module at most
  Ms probe_timeout = 0, list_quiet = 0;
  std::optional<telemetry::RemoteWriterSettings> remote_write{};
  struct Control {
    std::string origin;
    std::vector<net::Address> services;
    Ms heartbeat = 0, return_after = 0, deliver_within = 0, backoff_least = 0, backoff_most = 0;
    std::size_t most_frame = 0, most_bytes = 0, most_resources = 0;
    Ms shadow_length = 0, shadow_budget = 0;
    Ms watch = 0;
    double service_drop = 0, least_requests = 0;
  };
  std::optional<Control> control{};
  Ms stop_within = 0;  // SIGTERM: time to send what is queued
};

const config::Source& schema();  // the schema of all settings, "#Assigner" its root for serve

// Check what the schema can't say. Throw config::ConfigError with the place.
void read_site(const config::Tree& site, Site& out);  // #Site alone: what all assigners of a site share
Site to_site(const config::Tree& tree);
Site load_site(const std::vector<config::Source>& sources);

}  // namespace beamshunt::assigner
