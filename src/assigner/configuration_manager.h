// Streamed configuration in a running assigner. Carries out what config_stream::Client decides: a version
// that is offered is checked, stored, applied once the fleet has room for it, and then on trial; one that
// fails its trial gives way to the last good one. Operators roll back, pin and unpin through it.
//
// Decides nothing itself: the order of versions is config_stream::Client's, the check the validator's, the
// trial version_trial's, when a version may be applied the core's.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "assigner/candidate_checker.h"
#include "assigner/configuration_connection.h"
#include "assigner/configuration_journal.h"
#include "assigner/startup_configuration.h"
#include "assigner/trial_monitor.h"
#include "config_stream/client.h"
#include "log/log.h"
#include "net/reactor.h"
#include "telemetry/exporter.h"

namespace beamshunt::assigner {

// The assigner as the manager sees it. Called on the reactor's thread only.
class ConfigurationHost {
 public:
  virtual ~ConfigurationHost() = default;
  virtual FleetSnapshot fleet() = 0;
  virtual const AssignerSettings& settings() = 0;  // that run
  virtual telemetry::AssignerMetrics figures() = 0;
  // Whether the core can take over the settings at this instant; if not, it is asked again.
  virtual bool may_apply(const AssignerSettings& next) = 0;
  virtual void apply(const AssignerSettings& next, const config_stream::Version& version) = 0;
  virtual void log(log::Level level, const std::string& event, const log::Fields& fields) = 0;
};

class ConfigurationManager {
 public:
  using Done = ConfigurationJournal::Done;  // an empty failure: it is done, and on disk

  // `startup.settings.control` is set. `host` outlives the manager. Throws std::runtime_error if the versions
  // on disk can't be read or written.
  ConfigurationManager(net::Reactor& reactor, std::vector<config::Source> files,
                       const StartupConfiguration& startup, ConfigurationValidator validator,
                       ConfigurationHost& host);
  ~ConfigurationManager();
  ConfigurationManager(const ConfigurationManager&) = delete;
  ConfigurationManager& operator=(const ConfigurationManager&) = delete;

  // What operators ask for; `done` must not be null.
  void roll_back(std::uint64_t number, const Done& done);  // to a version on disk, which is pinned
  void pin(const Done& done);                              // the version in force: no other is accepted
  void unpin(const Done& done);
  void forgive(std::uint64_t number, const Done& done);  // a version that was reverted may be offered again

  [[nodiscard]] std::string status_json() const;
  void add_to(telemetry::AssignerMetrics& figures) const;
  // The alert rules in force, as files of Prometheus' format, one after the other.
  [[nodiscard]] std::string alerts() const;

 private:
  struct CheckedVersion {  // the last candidate that passed its check
    std::uint64_t hash = 0;
    std::shared_ptr<const AssignerSettings> settings;
  };
  struct PendingVersion {  // stored, and waits for the core to have room
    config_stream::Version version;
    std::shared_ptr<const AssignerSettings> settings;
  };

  void log_startup(const StartupConfiguration& startup);
  void start(const StartupConfiguration& startup);
  void schedule_run();
  void run_once();
  void schedule_timer();

  void execute(config_stream::Connect& effect);
  void execute(config_stream::SendBytes& effect);
  void execute(config_stream::CloseAfterSending& effect);
  void execute(config_stream::Validate& effect);
  void execute(config_stream::Persist& effect);
  void execute(config_stream::Apply& effect);
  void execute(config_stream::Notify& effect);

  void reject(std::uint64_t ticket, config_stream::Reason reason);
  void on_checked(std::uint64_t ticket, const CandidateResult& result);
  void accept_when_ready(std::uint64_t ticket, const CheckedVersion& checked, Ms deadline);
  void store_rejection(const config_stream::Notify& effect);
  void store_reversion(const config_stream::Notify& effect);
  void apply_when_ready();
  void sample();
  void schedule_sample();
  void on_trial_passed();
  void on_trial_failed(std::vector<config_stream::Reason> evidence);
  void on_rollback_found(std::uint64_t number, const std::optional<config_stream::Version>& version,
                         const Done& done);
  // Null and the reasons in `why` if the version and the files make no sound settings.
  std::shared_ptr<const AssignerSettings> compose_version(const config_stream::Version& version,
                                                          std::string& why) const;

  net::Reactor& reactor_;
  std::vector<config::Source> files_;
  ControlSettings control_;
  ConfigurationHost& host_;
  std::unique_ptr<ConfigurationJournal> journal_;
  config_stream::Client client_;
  config_stream::Version last_good_;  // number 0: the files alone
  std::optional<CheckedVersion> checked_;
  std::optional<PendingVersion> pending_;
  bool on_trial_ = false;  // the version in force, or the pending one
  TrialMonitor trial_;
  std::optional<net::Reactor::TimerId> timer_;
  bool run_scheduled_ = false;
  std::size_t rejections_stored_ = 0;  // in the second that began at rejections_since_
  Ms rejections_since_ = 0;
  Ms last_check_ms_ = 0;
  Ms longest_check_ms_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  CandidateChecker checker_;
  ConfigurationConnection connection_;
};

}  // namespace beamshunt::assigner
