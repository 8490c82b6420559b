// Runs fresh controllers through a flight record and compares what they decide with what was recorded. It
// reads bytes only: no file, no clock, no network.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace beamshunt::flight_record {

// A flight record that can't be replayed: damaged before whole records, of another format version, or not in
// the order that a process writes. what() has the offsets and the reason.
class FlightRecordError : public std::runtime_error {
 public:
  FlightRecordError(std::size_t record_begins, std::size_t byte_in_record, const std::string& what);
  std::size_t record_offset;  // bytes from the start of the file to the record
  std::size_t byte;           // bytes from the start of the record's payload to the fault
};

struct ReplayResult {
  std::size_t runs = 0;          // starts of the process
  std::size_t replacements = 0;  // controllers that replaced another one in a running process
  std::size_t config_changes = 0;
  std::size_t batches = 0;
  std::size_t events = 0;
  std::size_t actions = 0;
  std::size_t torn_at = 0;     // where the torn tail of a killed process begins
  std::size_t torn_bytes = 0;  // of it; 0: the last record is whole
  std::string difference;      // the first decision that differs, in words; empty: none does

  [[nodiscard]] bool same() const { return difference.empty(); }
};

// Replays the bytes of a flight record up to the first difference. Throws FlightRecordError.
ReplayResult replay(std::string_view file);

}  // namespace beamshunt::flight_record
