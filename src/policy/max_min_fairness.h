// Max-min fair shares: arithmetic alone, no policy.
//
// Question: how much of a capacity does each of several demands get?
// Inputs: a capacity and demands in one unit, such as requests a second.
// Rule: nobody gets more than it demands; the smallest demands are satisfied first, and what they leave is
// split evenly among the larger ones.
// Reason: the BFAIR policy of Retro (Mace and others, NSDI 2015) shares each resource this way.
// It never decides whether anything has to be limited.
#pragma once

#include <vector>

namespace beamshunt {

// The share of each demand, in the order of `demand` and in its unit. Negative values
// count as 0.
[[nodiscard]] std::vector<double> max_min_shares(double capacity, const std::vector<double>& demand);

}  // namespace beamshunt
