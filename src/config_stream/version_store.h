// The configuration versions on disk: an append-only log of sealed history records, synced before anything is
// acked, so that a kill at any instant leaves the state before a change or the state after it.
//
// File: config.log in the folder; config.log.new while it is compacted. It blocks on the disk: for a worker
// thread, not for the event loop.
#pragma once

#include <cstddef>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>

#include "config_stream/disk.h"
#include "config_stream/version_history.h"

namespace beamshunt::config_stream {

// A file of the store that can't be read: damaged before whole records, or written in another format. The
// file is left as it is, for a person to look at: to cut it would lose versions that were acked.
class StoreError : public std::runtime_error {
 public:
  // `damaged_file`: its name in the store's folder. `byte`: where the record that can't be read begins.
  StoreError(std::string damaged_file, std::size_t byte, const std::string& what);
  std::string file;
  std::size_t offset;
};

class VersionStore {
 public:
  struct Options {
    std::size_t max_bytes = 4 << 20;  // of the log; a longer one is compacted
    std::size_t kept_versions = 16;   // whose contents a compaction keeps: what a person may roll back to
    std::size_t kept_records =
        256;  // that a compaction keeps whatever they mean: the recent past, for people
  };
  // Reads what is there and cuts the torn tail that a kill has left. Throws StoreError if the log is damaged
  // before whole records or of another format, and what Disk throws.
  VersionStore(std::shared_ptr<Disk> disk, Options options);
  explicit VersionStore(std::shared_ptr<Disk> disk) : VersionStore(std::move(disk), Options()) {}

  // The record is durable once this returns. Throws what Disk throws; then nothing has changed, on disk or
  // here.
  void add(const HistoryRecord& record);

  [[nodiscard]] const VersionHistory& history() const { return history_; }
  // Of the torn tail that was found and cut; 0: there was none.
  [[nodiscard]] std::size_t torn_bytes() const { return torn_bytes_; }

  // The history for a reader beside a running assigner: the file stays as it is. Throws as the constructor
  // does.
  static VersionHistory read_history(Disk& disk);

 private:
  void drop_partial_record();
  void compact();

  std::shared_ptr<Disk> disk_;
  Options options_;
  VersionHistory history_;
  std::size_t size_ = 0;  // bytes of whole records in the log
  std::size_t torn_bytes_ = 0;
};

}  // namespace beamshunt::config_stream
