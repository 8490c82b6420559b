// What the proxies admit, by locality and class. A record of sums; proxy_registry makes it.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/fleet_state.h"
#include "policy/settings.h"

namespace beamshunt {

// All figures in requests a second.
class Demand {
 public:
  explicit Demand(const Settings& settings);

  void add(Locality locality, std::size_t request_class, double rate);
  [[nodiscard]] double at(Locality locality, std::size_t request_class) const;
  [[nodiscard]] double of_class(std::size_t request_class) const;
  [[nodiscard]] double of_locality(std::size_t locality) const;
  // Of the classes that may be served outside their locality.
  [[nodiscard]] double that_may_leave(std::size_t locality) const;
  [[nodiscard]] double total() const;

 private:
  std::vector<bool> local_only_;               // by class
  std::vector<std::vector<double>> admitted_;  // by locality and class
};

}  // namespace beamshunt
