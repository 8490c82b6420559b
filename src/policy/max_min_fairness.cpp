#include "policy/max_min_fairness.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace beamshunt {

std::vector<double> max_min_shares(double capacity, const std::vector<double>& demand) {
  std::vector<std::size_t> order(demand.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](auto a, auto b) { return demand[a] < demand[b]; });
  std::vector<double> shares(demand.size(), 0);
  double remaining = std::max(0.0, capacity);
  for (std::size_t k = 0; k < order.size(); ++k) {
    double equal_share = remaining / static_cast<double>(order.size() - k);
    shares[order[k]] = std::min(std::max(0.0, demand[order[k]]), equal_share);
    remaining -= shares[order[k]];
  }
  return shares;
}

}  // namespace beamshunt
