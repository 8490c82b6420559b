// What the records of a flight record have in common: the bytes before their fields (codec.h).
#pragma once

#include <cstdint>

namespace beamshunt::flight_record {

// Of the fields in codec.h. A record of another version is refused: its fields would be read as others.
constexpr std::uint16_t kFormatVersion = 2;

// The first byte of each record's payload. The values are on disk.
enum class RecordKind : std::uint8_t { controller_start = 1, batch = 2, config_change = 3 };

}  // namespace beamshunt::flight_record
