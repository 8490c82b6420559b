// A multiplicative hash of ids: an order or a spread that nothing else follows.
#pragma once

#include <cstdint>

namespace beamshunt {

// 2^32 over the golden ratio (Knuth's multiplicative hashing): neighboring ids end up far apart.
constexpr std::uint32_t kHashMultiplier = 2654435769;

}  // namespace beamshunt
