// A day: a fleet, its traffic and its troubles by time, as written in a file. docs/days.md describes it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "assigner/assigner_settings.h"
#include "audit/rules.h"
#include "config/value.h"
#include "standin/proxy_model.h"
#include "standin/traffic.h"

namespace beamshunt::day {

using base::Ms;

struct ServerGroup {
  std::uint32_t locality = 0;
  int count = 0, cores = 2, cell = 3;
  double speed = 1;
  std::size_t queue = 64;
};

struct Trouble {
  Ms at = 0, lasts = 0;
  std::string kind, how;
  double part = 0, size = 1, extra = 0;
  std::optional<std::uint32_t> locality;
  std::optional<std::size_t> request_class;
  config::Position from;
};

struct Day {
  std::string name, about;
  std::uint64_t seed = 1;
  Ms length = 0, calm = 0, heartbeat = 0;
  std::vector<std::pair<std::uint32_t, std::uint32_t>> assigners;  // instance, locality
  std::vector<ServerGroup> servers;
  std::vector<int> proxies;  // by locality
  standin::Pick pick{};
  int avoid_after = 0;
  Ms avoid_for = 0, redial = 0;
  std::size_t standing = 0;
  double rate = 0;
  std::vector<standin::TrafficClass> classes;
  int retries = 0;
  Ms retry_wait = 0;
  Ms list_notice = 0, list_silent_notice = 0, list_add = 0, front_notice = 0;
  bool receiver = false;  // of figures, beside the assigners
  Ms metrics_interval = 200;
  std::vector<std::string> alert_rules, alerts_expected;
  int controls = 0;  // configuration services
  Ms config_watch = 0;
  double config_drop = 0;
  std::vector<Trouble> troubles;  // by time
  double expect_service = 0;      // at least
  audit::Limits limits;
  config::Tree site;  // for the assigners' own settings
  Settings policy;    // as an assigner will read it
  std::vector<std::string> class_names;
};

const config::Source& schema();  // "#Day" its root
// `over` takes the place of what the sources give. Throws config::ConfigError.
Day load_day(const std::vector<config::Source>& sources, const std::vector<config::Source>& over = {});

}  // namespace beamshunt::day
