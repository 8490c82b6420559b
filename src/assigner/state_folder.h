// The folder that outlives a restart: its lock, the epoch (how often an assigner started on it) and the
// cached endpoint list. Damaged files are said and left aside, never guessed at.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "assigner/endpoint_catalog.h"
#include "log/log.h"
#include "net/reactor.h"

namespace beamshunt::assigner {

// Makes the folder if need be and locks it for as long as the descriptor is open; nothing if another process
// holds it. Throws std::runtime_error or std::filesystem::filesystem_error if it can't be used.
std::optional<net::Fd> lock_state(const std::string& folder);

class StateFolder {
 public:
  // Throws std::runtime_error if another process holds the folder, and as lock_state().
  explicit StateFolder(const std::string& path);

  // One more than at the last start, and written down. A damaged file is not guessed at: the epoch then goes
  // on from the wall clock, which is ahead of any count of starts, so that proxies never see it go back.
  std::uint64_t next_epoch(log::Log& log);

  // The list as last saved, else as saved before that; nothing if neither can be read.
  std::optional<EndpointCatalog> load_cached_list(log::Log& log);

  // Replaces the cached list and keeps the one before it. Blocks on the disk: for the disk's thread. Throws
  // std::exception if it can't be written.
  void save_cached_list(const std::string& bytes);

 private:
  [[nodiscard]] std::string list_file() const { return path_ + "/list"; }
  [[nodiscard]] std::string previous_list_file() const { return path_ + "/list.before"; }

  std::string path_;
  net::Fd lock_;
};

}  // namespace beamshunt::assigner
