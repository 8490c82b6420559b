// Measurements of one assigner on loopback, beside a floor made on the same machine in the same run.
#pragma once

#include <string>

namespace beamshunt::measure {

struct Options {
  std::string program;  // what to start assigners with
  int active = 1000;    // streams that report and are ordered
  int idle = 10000;     // streams that only live
  int servers = 50;
  double seconds = 10;  // of each measurement
};

// Prints a table to standard output. Throws std::runtime_error if it can't be run.
void measure_channel(const Options& options);

// Versions of streamed settings: offer to answer, and what the loop feels of it. The same.
void measure_config(const Options& options);

// Encoding and the durable buffer of figures, beside snappy and memcpy. Prints a table.
void measure_metrics(double seconds);

// Simulated time: requests and events a second of one core beside its queue alone, a heap beside a calendar
// queue, and memory. Prints two tables.
void measure_emulator();

// The floor: reads frames and sends each back, and does nothing else. Until SIGTERM.
void echo(const std::string& address);

}  // namespace beamshunt::measure
