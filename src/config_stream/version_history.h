// What happened to the configuration versions, as records in the order they were written, and what follows
// from them: which version is active, which is the last good one, what must not be tried again. Pure:
// version_store.h writes it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config_stream/wire.h"

namespace beamshunt::config_stream {

struct HistoryRecord {
  // The values are on disk.
  enum class Kind : std::uint8_t {
    accepted,     // a version of the stream, persisted and then applied
    confirmed,    // it has passed its trial: the last good one from here on
    reverted,     // it failed its trial; its content is not tried again
    rolled_back,  // a person chose another
    refused,      // it was nacked
    pinned,
    unpinned,
    started,   // a process began to run it
    forgiven,  // content that failed a trial may be tried again
  };
  Kind kind{};
  std::int64_t wall_ms = 0;  // since 1970
  std::uint64_t number = 0;  // of the version that the record is about;
  std::uint64_t hash = 0;    // pinned, unpinned: of the active one
  std::uint64_t to_number =
      0;  // reverted, rolled_back: of the version that is active instead; 0: the files alone
  std::uint64_t to_hash = 0;
  std::string cause;
  std::vector<Reason> reasons;
  std::optional<Resources> content;  // of accepted: absent once it is compacted away
};

// As `beamshunt config history` prints it.
const char* kind_name(HistoryRecord::Kind kind);

class VersionHistory {
 public:
  void add(HistoryRecord record);

  // All that were added, without their contents.
  [[nodiscard]] const std::vector<HistoryRecord>& records() const { return records_; }
  // The version that runs; null: the files alone.
  [[nodiscard]] const Version* active() const { return find(active_); }
  // The version that passed its trial last; null: none.
  [[nodiscard]] const Version* last_good() const { return find(last_good_); }

  struct StartVersion {
    const Version* version = nullptr;    // to start with; null: the files alone
    const Version* abandoned = nullptr;  // the active one, if `version` takes its place
  };
  // What a process starts with. A version on trial that has been started before has ended its process once
  // already: started again, it could end every process that starts. Then the last good version takes its
  // place.
  [[nodiscard]] StartVersion version_to_start() const;

  // Whether the active version has not passed its trial yet.
  [[nodiscard]] bool on_trial() const { return active_ && active_ != last_good_; }
  // The version of a number; of several with one number the one accepted last; null if its content is not
  // kept.
  [[nodiscard]] const Version* find_version(std::uint64_t number) const;
  // The highest number ever accepted; 0: none.
  [[nodiscard]] std::uint64_t highest_number() const { return highest_number_; }
  // The content hash of the version of this number that failed its trial last.
  [[nodiscard]] std::optional<std::uint64_t> reverted_hash(std::uint64_t number) const;
  // By content hash, what failed its trial and may not be tried again, with the evidence.
  [[nodiscard]] const std::map<std::uint64_t, std::string>& reverted_contents() const {
    return reverted_contents_;
  }
  // The number of the pinned version.
  [[nodiscard]] std::optional<std::uint64_t> pinned() const { return pinned_; }

  // The records that mean the same, for a shorter file: the contents of the last `kept_versions` versions and
  // of those still referred to; the last `kept_records` records, and of older ones those that still have a
  // meaning.
  [[nodiscard]] std::vector<HistoryRecord> compacted(std::size_t kept_versions,
                                                     std::size_t kept_records) const;

 private:
  // Two services may give one number to different contents.
  struct VersionId {
    std::uint64_t number = 0;
    std::uint64_t hash = 0;
    auto operator<=>(const VersionId&) const = default;
  };
  [[nodiscard]] const Version* find(const std::optional<VersionId>& id) const;
  void accept(const HistoryRecord& record);

  std::vector<HistoryRecord> records_;
  std::vector<Version> versions_;  // in the order they were accepted
  std::optional<VersionId> active_;
  std::optional<VersionId> last_good_;
  int starts_on_trial_ = 0;  // of the active version
  std::uint64_t highest_number_ = 0;
  std::map<std::uint64_t, std::string> reverted_contents_;
  std::optional<std::uint64_t> pinned_;
};

// The records of a person's choice of `to` while `from` is active: it runs, is good, and stays until it is
// unpinned.
std::vector<HistoryRecord> rollback_records(const Version& from, const Version& to);

}  // namespace beamshunt::config_stream
