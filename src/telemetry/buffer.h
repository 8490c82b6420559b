// The durable buffer before the metrics receiver: scrapes in segment files on disk, bounded in bytes and age,
// and how far the receiver has taken them. An outage of the receiver, or a restart, costs no samples within
// these bounds.
//
// It blocks on the disk: for a worker thread, never for the event loop. Files in its folder: <12 digits>.seg,
// each a sequence of sealed records (base/file.h), and `taken`, the position up to which the receiver has
// all.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "telemetry/scrape.h"

namespace beamshunt::telemetry {

// A place behind a record. The default is before all records.
struct Position {
  std::uint64_t segment = 0;
  std::uint64_t offset = 0;  // bytes from the segment's start
  auto operator<=>(const Position&) const = default;
};

// A scrape is dropped, oldest segment first, when either bound is passed; the newest segment always stays.
struct BufferLimits {
  std::uint64_t bytes = 64ULL << 20;
  std::uint64_t segment_bytes = 1ULL << 20;  // a segment that has reached this takes no more records
  std::int64_t age_ms = 6LL * 3600 * 1000;   // six hours
  bool operator==(const BufferLimits&) const = default;
};

class Buffer {
 public:
  // Takes up what is there: the torn tail of the last segment is cut; what a damaged segment holds behind the
  // damage is counted as lost. Throws base::FileError or std::filesystem::filesystem_error if the folder
  // can't be used.
  Buffer(std::string folder, BufferLimits limits);

  // False if the disk did not take the scrape: its samples are counted as lost, and the buffer goes on.
  bool append(const Scrape& scrape);

  struct StoredScrape {
    Position end;  // behind it
    Scrape scrape;
  };
  // The next scrapes behind `from`, oldest first, at most `max_scrapes`.
  std::vector<StoredScrape> read(Position from, std::size_t max_scrapes);

  // The receiver has all before `position`. Saved, so that a restart goes on from there. Throws
  // base::FileError; the position counts in this process all the same.
  void acknowledge(Position position);
  [[nodiscard]] Position acknowledged() const { return acknowledged_; }

  [[nodiscard]] std::uint64_t bytes() const;
  // The instant of the newest scrape, in ms since 1970; 0: there is none.
  [[nodiscard]] std::int64_t newest_ms() const;
  // The instant of the oldest scrape that the receiver has not taken, in ms since 1970; 0: none waits.
  [[nodiscard]] std::int64_t oldest_waiting_ms() const;
  // Given up for want of room or for age, before the receiver had them.
  [[nodiscard]] std::uint64_t dropped_samples() const { return dropped_samples_; }
  // Not written, or damaged; a damaged segment counts as one, for what it held is not known.
  [[nodiscard]] std::uint64_t lost_samples() const { return lost_samples_; }

 private:
  struct Entry {
    std::uint64_t end = 0;  // offset behind its record
    std::int64_t at_ms = 0;
    std::uint64_t samples = 0;
  };
  struct Segment {
    std::uint64_t bytes = 0;  // of whole records
    std::vector<Entry> scrapes;
    std::map<Labels, std::uint32_t> series;  // the numbers by which its records name them
  };
  [[nodiscard]] std::string file_of(std::uint64_t segment) const;
  void load_segments();
  void load_segment(std::uint64_t number, bool is_last);
  void load_acknowledged();
  void drop_oldest(std::int64_t now_ms);
  bool write(Segment& segment, std::uint64_t number, const std::string& bytes);

  std::string folder_;
  BufferLimits limits_;
  std::map<std::uint64_t, Segment> segments_;
  Position acknowledged_;
  std::uint64_t dropped_samples_ = 0;
  std::uint64_t lost_samples_ = 0;
};

}  // namespace beamshunt::telemetry
