// When failures have a common cause: the one bound that several decisions share.
#pragma once

namespace beamshunt {

// Part of attempts. While more than this fails everywhere, the cause is common (overload, a cut, a bad release):
// no single endpoint is to blame, and no other endpoint would do better.
constexpr double kCommonFailShare = 0.2;

}  // namespace beamshunt
