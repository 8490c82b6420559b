// A day in simulated time: the assigners' own core and module, the stand-ins' own models of servers and
// proxies, and everything between them (links, lists, clients, processes) as the socket stage has it. Only
// time and bytes are simulated. Pure: the same day and seed give the same taps, on any number of threads.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "audit/rules.h"
#include "day/day.h"

namespace beamshunt::emulator {

using base::Ms;

struct EmulateOptions {
  std::string sabotage;                         // as of audit::sabotage; empty: none
  bool replay = false;                          // keep the flight records and play them again
  std::function<void(const std::string&)> say;  // what happens, as it happens in simulated time
};

struct Emulated {
  audit::Verdict verdict;
  double service = 1;  // worth answered in time over worth asked for
  std::size_t asked = 0, tries = 0, messages = 0, fell_over = 0;
  Ms mean_took = 0;                      // of the good answers
  std::uint64_t events = 0;              // of the engine
  std::uint64_t fingerprint = 0;         // of all that passed: equal days have equal ones
  std::vector<std::string> refused;      // streams of proxies that are said to have broken the protocol
  std::vector<std::string> differences;  // flight records that decide otherwise
};

// Throws std::runtime_error where the day can't be played.
Emulated emulate(const day::Day& day, const EmulateOptions& options);

}  // namespace beamshunt::emulator
