// The rate of requests that the proxies admit, by locality and request class. The class only stores sums;
// proxy_registry computes them.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace beamshunt {

// Sums of admitted requests. All rates are in requests per second.
class Demand {
 public:
  explicit Demand(const Settings& settings);

  void add(Locality locality, std::size_t request_class, double rate);
  [[nodiscard]] double at(Locality locality, std::size_t request_class) const;
  [[nodiscard]] double class_rate(std::size_t request_class) const;
  [[nodiscard]] double locality_rate(std::size_t locality) const;
  // Returns the rate of the classes that endpoints of other localities may serve.
  [[nodiscard]] double spillable_rate(std::size_t locality) const;
  [[nodiscard]] double total() const;

 private:
  std::vector<bool> local_only_;                     // indexed by class
  std::vector<std::vector<double>> admitted_rates_;  // indexed by locality, then class
};

}  // namespace beamshunt
