// Report validation: which reports may change the estimates.
//
// Questions: Can the figures of a report be true? Can an announced rate or a listed capacity be?
// Inputs: reports (counts, durations in ms), rates in requests per second, capacities.
// Rules: A report with a figure outside the bounds below is ignored as a whole. An impossible rate counts as
// unknown, and an extreme capacity as the nearest bound.
// Reasons: Estimates are quotients and products of these figures, and each estimate keeps a part of its
// former values. A quotient that overflows is infinite, the next step makes it not-a-number, and no later
// report corrects that: weights that are not numbers are never published, so new tables stay empty (rule 1).
// Never: It does not judge whether figures within the bounds are plausible.
#pragma once

#include "policy/events.h"

namespace beamshunt {

// Attempts or requests in one report.
constexpr double kMaxReportedAttempts = 1e7;
// Time covered by a report. Proxies report every few hundred ms.
constexpr Duration kMinReportInterval{1};
constexpr Duration kMaxReportInterval{3600000};
// Mean latency of the attempts in one report.
constexpr Duration kMinReportedLatency{0.001};
constexpr Duration kMaxReportedLatency{3600000};
// Requests per second of one proxy.
constexpr double kMaxExpectedRate = 1e6;
// Listed capacity, relative to other endpoints.
constexpr double kMinListedCapacity = 1e-9;
constexpr double kMaxListedCapacity = 1e9;

// Returns whether all figures are within their bounds. A mean latency of 0 is valid and means that there is
// none. An interval of 0 is valid, but such a report has no rate.
[[nodiscard]] bool is_valid(const EndpointReport& report);
[[nodiscard]] bool is_valid(const DemandReport& report);

// Returns whether the rate that a proxy announced is known: positive and within its bound.
[[nodiscard]] bool is_known_rate(double expected_rate);

// Returns the listed capacity within its bounds; 0 stays 0.
[[nodiscard]] double bounded_capacity(double listed_capacity);

}  // namespace beamshunt
