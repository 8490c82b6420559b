// Prometheus remote write requests as bytes: protobuf in snappy's block format. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "telemetry/scrape.h"

namespace beamshunt::telemetry {

struct Sample {
  std::int64_t at_ms = 0;  // since 1970
  double value = 0;
};

// Samples of one series, oldest first.
struct SeriesRun {
  Labels labels;
  std::vector<Sample> samples;
};

// The body of a request with these series.
std::string encode_request(const std::vector<SeriesRun>& series);

// The series of a request's body. Nothing if it is no such request, or would unpack to more than `max_bytes`:
// a few bytes of snappy can announce gigabytes.
std::optional<std::vector<SeriesRun>> decode_request(std::string_view body, std::size_t max_bytes);

}  // namespace beamshunt::telemetry
