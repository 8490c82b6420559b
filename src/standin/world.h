// What the shells of the stand-ins share: one loop, the links between localities, and the taps.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "net/address.h"
#include "net/reactor.h"
#include "standin/tap.h"

namespace beamshunt::standin {

// The ways between localities, as a day bends them. A way that is cut swallows what is sent; it breaks no
// connection, so that both ends must find out by themselves.
class Links {
 public:
  struct Way {
    bool cut = false;
    Ms delay = 0;     // each way
    double loss = 0;  // share of messages
  };
  Way& between(std::uint32_t a, std::uint32_t b) { return ways_[{std::min(a, b), std::max(a, b)}]; }
  Way at(std::uint32_t a, std::uint32_t b) const {
    auto found = a == b ? ways_.end() : ways_.find({std::min(a, b), std::max(a, b)});
    return found == ways_.end() ? Way{} : found->second;
  }

 private:
  std::map<std::pair<std::uint32_t, std::uint32_t>, Way> ways_;
};

// What becomes of proxies' reports on their way, where a day delays or loses them.
struct Reporting {
  Ms late = 0;
  double lost = 0;  // share, spread evenly
};

struct World {
  net::Reactor reactor;
  Links links;
  Reporting reporting;
  net::PrefixMap locality_of;
  Taps taps;
  Ms now() const { return reactor.now(); }
  void note(Seen seen) { taps.note(base::monotonic_ms(), std::move(seen)); }
  std::uint32_t locality(net::Address a) const { return locality_of.find(a.ip).value_or(0xffff); }
};

}  // namespace beamshunt::standin
