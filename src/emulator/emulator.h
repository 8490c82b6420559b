// A day in simulated time: the assigners' own core and module, the stand-ins' own models of servers and
// proxies, and everything between them (links, lists, clients, processes) as the socket stage has it. Only
// time and bytes are simulated. Pure: the same day and seed give the same taps, on any number of threads.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "alerts/rules.h"
#include "audit/rules.h"
#include "day/script.h"
#include "emulator/host.h"
#include "emulator/summary.h"

namespace beamshunt::emulator {

using base::Ms;

// A fleet as it stands, with its assigner, in the place of what a day's file gives: for rehearsals.
struct Fixture {
  struct Server {
    standin::ServerSpec spec;
    net::Address address{};
  };
  struct Proxy {
    std::uint32_t id = 0, locality = 0;
    double rate = 0;  // requests a second that come to it
    net::Address from{};
  };
  std::vector<Server> servers;  // all up and warm
  std::vector<Proxy> proxies;
  assigner::AssignerSettings site;
  std::string list;  // that the assigner holds, sealed
  assigner::MessageInterceptor interceptor{};
  Ms channel_delay = 0;                                // each way, besides the hop
  std::optional<assigner::AssignerSettings> change{};  // what the assigner goes over to, as soon as it may:
  Ms change_at = 0;  // since the traffic began; only what is asked from then on counts
  std::function<void(day::Stage&)> script{};                   // as the traffic begins
  std::function<bool()> out_of_budget = [] { return false; };  // asked often; true ends it
};

struct EmulateOptions {
  std::string sabotage{};                         // as of audit::sabotage; empty: none
  bool replay = false;                            // keep the flight records and play them again
  std::function<void(const std::string&)> say{};  // what happens, as it happens in simulated time
  Policy policy = Policy::module;                 // a baseline in the module's place
  Ms sample_every = 0;                            // simulated time between samples; 0: none are taken
  const Fixture* fixture = nullptr;
  // Alert rules that are evaluated beside the day, each `metrics: interval` of it; null: none. What is of a
  // receiver's own troubles is for sockets.
  const std::vector<alerts::Rule>* rules = nullptr;
  std::function<Ms()> clock{};  // of the machine, to measure the hosts with; decides nothing
};

struct Emulated : Totals {
  audit::Verdict verdict;
  std::uint64_t events = 0;              // of the engine
  std::vector<std::string> differences;  // flight records that decide otherwise
  std::vector<Sample> samples;
  std::set<std::string> alerts;           // that fired
  bool finished = true, changed = false;  // of a fixture: within the budget; it went over
  double most_waiting = 0;                // lines, at any sample
  Ms oldest_report = 0;                   // waiting in an assigner's intake, at any sample
  Ms deciding = 0;                        // real time, in all hosts together, since the traffic began
  Ms longest_decision = 0;                // real time of one turn
};

// Throws std::runtime_error where the day can't be played.
Emulated emulate(const day::Day& day, const EmulateOptions& options);

}  // namespace beamshunt::emulator
