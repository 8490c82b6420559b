// The versions of streamed settings on disk: an append-only log of sealed records, synced before anything is
// acked, so that a kill at any instant leaves the state before a change or the state after it.
//
// `Ledger` is the meaning of the records, without a disk. `Store` writes them through `Disk`, so that tests
// can stop the world at each write, sync and rename.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "config_stream/wire.h"

namespace beamshunt::config_stream {

struct Record {
  enum class Kind : std::uint8_t {
    accepted,     // a version of the stream, kept and then run
    confirmed,    // it has passed its watch: the last good one from here on
    reverted,     // it went back by itself; its content is not tried again
    rolled_back,  // a person chose another
    refused,      // it was not taken
    pinned,
    unpinned,
    started,   // a process began to run it
    forgiven,  // content that once went back may be tried again
  };
  Kind kind{};
  std::int64_t wall_ms = 0;
  std::uint64_t number = 0,
                hash = 0;  // of the version that it is about; as to the latter two: in force from now
  std::uint64_t to_number = 0, to_hash = 0;  // reverted, rolled_back: what is in force instead
  std::string cause;
  std::vector<Reason> reasons;
  std::optional<Resources> content;  // of accepted: absent once compacted away
};
const char* kind_name(Record::Kind kind);

class Ledger {
 public:
  void add(Record record);
  const std::vector<Record>& records() const { return records_; }
  const Version* in_force() const { return find(in_force_); }
  const Version* confirmed() const { return find(confirmed_); }
  // What to begin with. A version that is on trial and has been started before has ended its process once
  // already: then the last good one, and `abandoned` is the one that it takes the place of.
  const Version* to_start(const Version** abandoned) const;
  bool on_trial() const { return in_force_ && in_force_ != confirmed_; }
  // The content of a number; of several with one number the one that was taken last.
  const Version* version(std::uint64_t number) const;
  std::uint64_t newest() const { return newest_; }
  std::optional<std::uint64_t> hash_gone_back(std::uint64_t number) const;  // of the content last taken by it
  // Hashes of what went back, each with the evidence.
  const std::map<std::uint64_t, std::string>& broken() const { return broken_; }
  std::optional<std::uint64_t> pinned() const { return pinned_; }
  // The records that mean the same: old contents and old refusals are left out.
  std::vector<Record> compacted(std::size_t versions, std::size_t records) const;

 private:
  using Id = std::pair<std::uint64_t, std::uint64_t>;  // number and hash
  const Version* find(const std::optional<Id>& id) const;

  std::vector<Record> records_;
  std::vector<Version> versions_;  // in the order they were taken
  std::optional<Id> in_force_, confirmed_;
  int trial_starts_ = 0;
  std::uint64_t newest_ = 0;
  std::map<std::uint64_t, std::string> broken_;
  std::optional<std::uint64_t> pinned_;
};

// A person's choice of `to` while `from` is in force, as records: it runs, is good, and stays until unpinned.
std::vector<Record> rollback(const Version& from, const Version& to);

// What a store does to its folder. All throw std::runtime_error naming the file and the cause.
class Disk {
 public:
  virtual ~Disk() = default;
  virtual std::optional<std::string> read(const std::string& file) = 0;
  virtual void append(const std::string& file, std::string_view bytes) = 0;
  virtual void cut(const std::string& file, std::size_t size) = 0;
  virtual void sync(const std::string& file) = 0;
  virtual void rename(const std::string& from, const std::string& to) = 0;
  virtual void remove(const std::string& file) = 0;
  virtual void sync_folder() = 0;
};
std::unique_ptr<Disk> folder_disk(const std::string& folder);  // made if it is not there

class Store {
 public:
  struct Options {
    std::size_t most_bytes = 4 << 20;  // more is compacted
    std::size_t versions = 16, records = 256;
  };
  // Reads what there is. A torn tail is cut; damage before whole records is refused: std::runtime_error.
  Store(std::shared_ptr<Disk> disk, Options options);
  explicit Store(std::shared_ptr<Disk> disk) : Store(std::move(disk), Options()) {}
  // On disk once it returns. If it throws nothing has changed, on disk or here.
  void add(const Record& record);
  const Ledger& ledger() const { return ledger_; }
  std::size_t cut_bytes() const { return cut_bytes_; }  // of the torn tail that was found

  // For who only looks, beside a running assigner. Leaves the file alone.
  static Ledger look(Disk& disk);

 private:
  void compact();

  std::shared_ptr<Disk> disk_;
  Options options_;
  Ledger ledger_;
  std::size_t size_ = 0, cut_bytes_ = 0;
};

}  // namespace beamshunt::config_stream
