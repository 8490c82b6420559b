// What failed attempts prove: the bounds that several decisions share.
#pragma once

namespace beamshunt {

// Part of attempts. While more than this fails everywhere, the cause is common (overload, a cut, a bad
// release): no single endpoint is to blame, and no other endpoint would do better.
constexpr double kCommonFailShare = 0.2;

// Attempts. Fewer failures may be chance and are no evidence against an endpoint.
constexpr double kMinFailures = 3;

}  // namespace beamshunt
