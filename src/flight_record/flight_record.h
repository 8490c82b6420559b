// The flight record: every event given to the module and every action it took, in sealed records. Whoever has
// the file can run the module through the same moments again and see whether it decides the same.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/controller.h"

namespace beamshunt::flight_record {

// Sealed records to append to the file, in this order: one opening of module 0, then any number of batches
// and further openings: a module of a higher number takes the place of the one before it, and until it has,
// both are given events. A process that starts anew appends another opening of module 0.
std::string opening(const Settings& settings, std::uint32_t module = 0);
std::string batch(Time now, const std::vector<Event>& events, const std::vector<Action>& actions,
                  std::uint32_t module = 0);
// That another version of the settings came into force, whether or not it needs a fresh module.
std::string applied(Time now, std::uint64_t version, std::uint64_t hash);

struct Replay {
  std::size_t runs = 0, batches = 0, events = 0, actions = 0;
  std::size_t versions = 0, takeovers = 0;  // settings that came into force; fresh modules while running
  std::size_t torn_at = 0, torn_bytes = 0;  // what a kill left behind the last whole record
  std::string difference;                   // of the first batch that went another way; empty: none did
  bool same() const { return difference.empty(); }
};

// Feeds the file's bytes to fresh modules. Throws std::runtime_error, with the offset, where whole records
// follow a damaged one or a record is not one of this version.
Replay replay(std::string_view file);

// One action as text, for people.
std::string describe(const Action& action);

}  // namespace beamshunt::flight_record
