// Streamed settings on sockets and disk: moves bytes for config_stream::Client, versions to the disk's thread
// and candidates to the gate's, and says when a version is to run. What is decided is in config_stream,
// streamed and watch.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "assigner/streamed.h"
#include "assigner/watch.h"
#include "base/worker.h"
#include "config_stream/client.h"
#include "config_stream/version_store.h"
#include "log/log.h"
#include "net/connection.h"

namespace beamshunt::assigner {

// What an assigner begins with: the last good version on disk, else its files alone, else nothing.
struct Beginning {
  Site site;
  config_stream::Version version;                   // number 0: the files alone
  std::optional<config_stream::Version> abandoned;  // ended its process in its trial: gives way to `version`
  std::vector<std::string> notes;                   // what could not be used, and why
};
// Throws std::runtime_error with all reasons if nothing can be run.
Beginning begin(const std::vector<config::Source>& files);
std::string config_folder(const std::string& state_folder);

class ConfigFeed {
 public:
  struct Host {
    std::function<Fleet()> fleet;
    std::function<const Site&()> site;  // that runs
    std::function<telemetry::AssignerMetrics()> figures;
    std::function<bool(const Site&)> may_apply;
    std::function<void(const Site&, const config_stream::Version&)> apply;
    std::function<void(log::Level, const std::string& event, const log::Fields&)> say;
  };
  using Done = std::function<void(const std::string& failure)>;  // empty: it is done, and on disk

  // Throws std::runtime_error if the versions on disk can't be read or written.
  ConfigFeed(net::Reactor& reactor, std::vector<config::Source> files, const Beginning& beginning, Gate gate,
             Host host);
  ~ConfigFeed();

  void roll_back(std::uint64_t number, Done done);  // and pins it
  void pin(Done done);                              // what runs
  void unpin(Done done);
  void forgive(std::uint64_t number, Done done);
  std::string status_json() const;
  void fill(telemetry::AssignerMetrics& figures) const;
  std::string alerts() const;  // rules in force, as files of Prometheus' format, one after the other

 private:
  struct Passed {  // a candidate that the gate has let through
    std::uint64_t hash = 0;
    std::shared_ptr<const Site> site;
  };
  void soon();
  void turn();
  void carry_out(config_stream::Connect& e);
  void carry_out(config_stream::SendBytes& e);
  void carry_out(config_stream::CloseAfterSending& e);
  void carry_out(config_stream::Validate& e);
  void carry_out(config_stream::Persist& e);
  void carry_out(config_stream::Apply& e);
  void carry_out(config_stream::Notify& e);
  void judged(std::uint64_t ticket, std::vector<config_stream::Reason> reasons,
              std::shared_ptr<const Site> site, std::uint64_t hash, Ms begun);
  void let_through(std::uint64_t ticket, std::shared_ptr<const Site> site, std::uint64_t hash, Ms limit);
  void try_to_apply();
  void look();
  void keep_record(config_stream::HistoryRecord record, Done done);
  std::shared_ptr<const Site> site_of(const config_stream::Version& version, std::string& why) const;

  net::Reactor& reactor_;
  std::vector<config::Source> files_;
  Site::Control control_;
  net::Address from_{};
  std::shared_ptr<const Gate> gate_;
  Host host_;
  std::shared_ptr<config_stream::VersionStore> store_;  // the disk thread's, but for the constructor
  config_stream::Client client_;
  config_stream::Version last_good_;  // number 0: the files alone
  std::optional<Passed> passed_;
  struct ToApply {
    config_stream::Version version;
    std::shared_ptr<const Site> site;
  };
  std::optional<ToApply> to_apply_;
  bool on_trial_ = false;  // of the version in force, or of the one to apply
  std::optional<Watch> watch_;
  ServedPart served_;
  std::array<double, 5> margins_{};
  std::shared_ptr<net::Connection> stream_;
  std::uint64_t stream_number_ = 0;
  std::optional<net::Reactor::TimerId> timer_;
  bool turn_due_ = false;
  std::size_t refusals_kept_ = 0;  // in this second
  Ms second_ = 0;
  Ms last_check_ms_ = 0, longest_check_ms_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  base::Worker disk_, judge_;  // last: their jobs use the others, and they end first
};

}  // namespace beamshunt::assigner
