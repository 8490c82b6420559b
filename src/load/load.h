// Traffic on real sockets, to a server or a proxy: requests leave when the schedule says, never when an
// answer allows, and latency counts from the instant a request was due. What a stalled peer delays is
// thus measured and not left out.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "http/server.h"
#include "load/schedule.h"

namespace beamshunt::load {

struct LoadOptions {
  std::vector<net::Address> to;  // in turn
  Rate rate;
  std::uint64_t seed = 1;
  Ms work = 20;  // mean, of a request
  std::uint16_t request_class = 0;
  bool keyed = false;
  Ms deadline = 3000, within = 500;  // given up; what counts as in time
  std::size_t most_open = 10000;     // requests out at once; what is due beyond it counts as not sent
  net::Address from{};
};

struct Latencies {  // ms, of the good answers
  double p50 = 0, p90 = 0, p99 = 0, p999 = 0, most = 0;
};
struct Loaded {
  std::size_t due = 0, good = 0, in_time = 0, refused = 0, errors = 0, broken = 0, late = 0, not_sent = 0;
  Latencies since_due, since_sent;  // a closed loop would have shown the second alone
  Ms latest_start = 0;              // the tool's own lateness: due to sent, at most
};

// Runs until all that was sent has ended; `seconds` is called once a second with what was done so far.
Loaded run(
    net::Reactor& reactor, const LoadOptions& options,
    const std::function<void(const Loaded&)>& seconds = [](const Loaded&) {});

}  // namespace beamshunt::load
