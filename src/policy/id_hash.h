// A multiplicative hash of ids, used to order or spread items independently of any other property.
#pragma once

#include <cstdint>

namespace beamshunt {

// 2^32 / golden ratio (Knuth's multiplicative hashing), so that the hashes of neighboring ids are far apart.
constexpr std::uint32_t kHashMultiplier = 2654435769;

}  // namespace beamshunt
