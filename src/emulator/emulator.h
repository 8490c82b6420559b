// A day in simulated time: the assigners' own core and module, the stand-ins' own models of servers and
// proxies, and everything between them (links, lists, clients, processes) as the socket stage has it. Only
// time and bytes are simulated. Pure: the same day and seed give the same taps, on any number of threads.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "audit/rules.h"
#include "day/day.h"
#include "emulator/host.h"
#include "emulator/summary.h"

namespace beamshunt::emulator {

using base::Ms;

struct EmulateOptions {
  std::string sabotage{};                         // as of audit::sabotage; empty: none
  bool replay = false;                            // keep the flight records and play them again
  std::function<void(const std::string&)> say{};  // what happens, as it happens in simulated time
  Policy policy = Policy::module;                 // a baseline in the module's place
  Ms sample_every = 0;                            // simulated time between samples; 0: none are taken
  std::function<Ms()> clock{};  // of the machine, to measure the hosts with; decides nothing
};

struct Emulated : Totals {
  audit::Verdict verdict;
  std::uint64_t events = 0;              // of the engine
  std::vector<std::string> differences;  // flight records that decide otherwise
  std::vector<Sample> samples;
  double most_waiting = 0;  // lines, at any sample
  Ms oldest_report = 0;     // waiting in an assigner's intake, at any sample
  Ms deciding = 0;          // real time, in all hosts together, since the traffic began
  Ms longest_decision = 0;  // real time of one turn
};

// Throws std::runtime_error where the day can't be played.
Emulated emulate(const day::Day& day, const EmulateOptions& options);

}  // namespace beamshunt::emulator
