// What the command line can do; each returns the exit code.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace CLI {  // NOLINT(readability-identifier-naming): the library's own name
class App;
}

namespace beamshunt::cli {

// Adds every command but `serve`, which main() has, and calls `parse` while they last.
int with_tools(CLI::App& app, int& result, const std::function<int()>& parse);

// 0: done, or all is well. 1: it ran, and what it looked for is broken. 2: it could not run: bad arguments,
// settings, files or addresses; one line on standard error says why.
enum Exit { kWell = 0, kBroken = 1, kUnusable = 2 };

int serve(const std::vector<std::string>& files, const std::string& sabotage);
int config_check(const std::vector<std::string>& files, const std::string& kind);
int config_print(const std::vector<std::string>& files, const std::string& kind, bool origins);
struct VersionArguments {
  std::vector<std::string> files;  // the assigner's settings: they say where its versions are
  unsigned long long from = 0, to = 0;
};
int config_history(const VersionArguments& arguments);
int config_diff(const VersionArguments& arguments);
// Told to the running assigner; without one, written down for the next start.
int config_rollback(const VersionArguments& arguments);
int config_forgive(const VersionArguments& arguments);
int config_pin(const VersionArguments& arguments, bool pinned);
int config_gate(const VersionArguments& arguments, const std::vector<std::string>& resources);
int replay(const std::string& file);

struct DayArguments {
  std::vector<std::string> files;
  std::string sabotage, folder, program;
  bool keep = false, quiet = false;
};
int day(const DayArguments& arguments);

struct EmulateArguments {
  std::vector<std::string> files;
  std::string sabotage;
  bool quiet = false, replay = false;
  std::size_t swarm = 0, threads = 0;  // threads 0: as many as the machine has
  unsigned long long seed = 0;         // of a day or the first of a swarm; 0: the day's own, or 1
};
int emulate(const EmulateArguments& arguments);

struct ExperimentArguments {
  std::string file, to = ".";  // experiment or results; a folder, of a report a file
  std::size_t threads = 0;     // 0: as many as the machine has
  bool anew = false, png = false;
  std::vector<std::string> plots;  // by name; none: all
};
int experiment(const ExperimentArguments& arguments);
int plot(const ExperimentArguments& arguments);
int report(const ExperimentArguments& arguments);

struct LoadArguments {
  std::vector<std::string> to;
  std::string shape = "constant", from;
  double rate = 100, seconds = 10, times = 3, period_s = 10, work_ms = 20, deadline_ms = 3000,
         within_ms = 500;
  std::uint16_t request_class = 0;
  unsigned long long seed = 1;
  std::size_t most_open = 10000;
  bool keyed = false;
};
int load(const LoadArguments& arguments);

int alerts_check(const std::vector<std::string>& files);
int alerts_test(const std::vector<std::string>& files);

struct MeasureArguments {
  int active = 1000, idle = 10000, servers = 50;
  double seconds = 10;
  bool metrics = false, config = false, emulator = false;
  std::string echo;
};
int measure(const MeasureArguments& arguments);

struct StandinArguments {
  std::string address, assigner, list, locality = "here";
  std::vector<std::string> localities{"here"};
  std::vector<std::string> prefixes{"127.0.0.0/8"};
  unsigned id = 1, cell = 0;
  int cores = 2;
  double speed = 1, rate = 0, start_capacity = 0.25, warm_up_ms = 16000;
  bool cold = false;
  std::vector<std::string> servers;  // of the list: id=locality=address
  std::vector<std::string> rules;    // alert rules that a receiver evaluates
  std::string origin = "ops";        // of a control service
  std::vector<std::string> offers;   // its versions: type=file, one after the other
  double every_ms = 1000;
};
int standin_server(const StandinArguments& arguments);
int standin_proxy(const StandinArguments& arguments);
int standin_list(const StandinArguments& arguments);
int standin_receiver(const StandinArguments& arguments);
int standin_control(const StandinArguments& arguments);

}  // namespace beamshunt::cli
