// Clients: requests by chance at a given rate, given up and asked again as clients do.
#pragma once

#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "http/server.h"
#include "standin/server.h"
#include "standin/world.h"

namespace beamshunt::standin {

struct TrafficClass {
  double share = 1;
  Ms work = 20;  // mean
  Ms slo = 1000, deadline = 3000;
  bool keyed = false, repeat_after_any = false;  // what a client may ask again after any failure
};

struct TrafficSpec {
  std::vector<TrafficClass> classes;
  std::vector<double> rate;  // requests a second by locality
  std::vector<net::Address> from;
  int retries = 1;
  Ms retry_wait = 100;
  std::uint64_t seed = 1;
};

// A request's work about its mean: never under half of it, with a long tail.
Ms draw_work(Ms mean, pcg32& random);

class Traffic {
 public:
  // The fronts that clients of a locality know; a plain layer spreads them evenly.
  using Fronts = std::function<std::vector<net::Address>(std::uint32_t locality)>;
  Traffic(World& world, TrafficSpec spec, Fronts fronts);
  void begin();
  void end();  // no new requests
  std::size_t open() const { return open_; }
  std::vector<double> rate_factor;  // by locality; the day's troubles turn these
  std::vector<double> class_share;

 private:
  struct Asked;
  void next(std::uint32_t locality);
  void ask(std::shared_ptr<Asked> asked);

  World& world_;
  TrafficSpec spec_;
  Fronts fronts_;
  pcg32 random_;
  std::vector<std::unique_ptr<http::Client>> clients_;
  std::uint64_t next_request_ = 1;
  std::vector<std::size_t> turn_;
  std::size_t open_ = 0;
  bool ended_ = false;
};

}  // namespace beamshunt::standin
