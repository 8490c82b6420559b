// The configuration versions on disk, written and read on a thread of their own so that a slow disk holds
// nothing up. Callbacks come on the reactor's thread. What is written when is configuration_manager's.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/worker.h"
#include "config_stream/version_store.h"
#include "net/reactor.h"

namespace beamshunt::assigner {

class ConfigurationJournal {
 public:
  // An empty failure: the change is on disk.
  using Done = std::function<void(const std::string& failure)>;
  using VersionFound = std::function<void(const std::optional<config_stream::Version>& version)>;
  using HashFound = std::function<void(std::optional<std::uint64_t> hash)>;

  // `folder`: made if it is not there. `write_failed` is called with the reason of each append that failed.
  // Throws std::runtime_error if the versions can't be read.
  ConfigurationJournal(net::Reactor& reactor, const std::string& folder,
                       std::function<void(const std::string& failure)> write_failed);
  ~ConfigurationJournal();
  ConfigurationJournal(const ConfigurationJournal&) = delete;
  ConfigurationJournal& operator=(const ConfigurationJournal&) = delete;

  // Both only before the first call of any other function: later the store belongs to the disk's thread.
  [[nodiscard]] const config_stream::VersionHistory& history() const { return store_.history(); }
  void append_now(config_stream::HistoryRecord record);  // throws std::runtime_error if it can't be written

  // Writes a record, its time being now. `done` may be null.
  void append(config_stream::HistoryRecord record, const Done& done);
  // The content of a version, and the hash of a version that was reverted; nothing if there is none. False:
  // the disk is behind, and no callback comes.
  bool find_version(std::uint64_t number, VersionFound found);
  bool find_reverted_hash(std::uint64_t number, HashFound found);

 private:
  net::Reactor& reactor_;
  std::function<void(const std::string&)> write_failed_;
  config_stream::VersionStore store_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // of the reactor's thread alone
  base::Worker disk_;  // last: its jobs use the members above, and it ends first
};

}  // namespace beamshunt::assigner
