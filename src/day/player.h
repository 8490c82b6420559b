// Plays a day on loopback sockets: assigners as processes of their own, everything else in this one.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "day/day.h"
#include "day/versions.h"

namespace beamshunt::day {

struct PlayOptions {
  std::string program;   // what to start assigners with
  std::string sabotage;  // empty: none
  std::string folder;    // for the assigners' files; empty: one of its own, removed afterwards
  bool keep = false;     // the folder, even if it is its own
  std::function<void(const std::string&)> say;  // what happens, as it happens
};

struct ClassResult {
  std::size_t asked = 0, good = 0, in_time = 0;
};

struct Result {
  audit::Verdict verdict;
  std::vector<ClassResult> classes;
  double service = 0;  // worth answered in time over worth asked for
  std::size_t tries = 0, messages = 0, fell_over = 0;
  std::vector<std::string> gaps;           // in the series that the receiver holds
  std::vector<std::string> sender_faults;  // against the specification, as the receiver saw them
  std::vector<std::string> alerts;         // that fired, in order
  std::vector<std::string> refused;        // streams of proxies that are said to have broken the protocol
  std::uint64_t samples = 0, repeated = 0;
  std::optional<VersionsResult> versions;  // of settings, where the day has a service for them
  std::size_t replayed = 0;                // flight records that replayed to the same actions
  std::vector<std::string> differences;    // those that did not
};

// Throws std::runtime_error where the day can't be played: no free addresses, an assigner that can't start.
Result play(const Day& day, const PlayOptions& options);

}  // namespace beamshunt::day
