// Thresholds on failed attempts that several decisions use.
#pragma once

namespace beamshunt {

// Ratio of failed attempts. While the ratio over all endpoints is higher, the failures have a common cause
// (overload, a network partition, a faulty release): no single endpoint is at fault, and no other endpoint
// would give better results.
constexpr double kCommonFailureRatio = 0.2;

// Failed attempts. Fewer failures may be random and are not evidence against an endpoint.
constexpr double kMinFailures = 3;

}  // namespace beamshunt
