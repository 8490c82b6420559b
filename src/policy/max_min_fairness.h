// Max-min fair shares, as arithmetic without any policy.
//
// Question: How much of a capacity does each of several demands get?
// Inputs: a capacity and demands in the same unit, such as requests per second.
// Rule: No demand gets more than it requests. The smallest demands are satisfied first, and the remaining
// capacity is split evenly among the larger demands.
// Reason: The BFAIR policy of Retro (Mace and others, NSDI 2015) shares each resource by max-min fairness.
// Never: This function never decides whether a limit is necessary.
#pragma once

#include <vector>

namespace beamshunt {

// Returns the share of each demand, in the order and the unit of `demand`. Negative values count as 0.
[[nodiscard]] std::vector<double> max_min_shares(double capacity, const std::vector<double>& demand);

}  // namespace beamshunt
