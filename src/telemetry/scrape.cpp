#include "telemetry/scrape.h"

#include <algorithm>
#include <bit>

namespace beamshunt::telemetry {
namespace {

constexpr std::uint64_t kStaleBits = 0x7ff0000000000002;  // fixed by the specification

}  // namespace

std::int64_t next_stamp(std::int64_t last_ms, double wall_ms) {
  return std::max(last_ms + 1, static_cast<std::int64_t>(wall_ms));
}

const std::string& label_of(const Labels& labels, const std::string& name) {
  static const std::string kNone;
  for (const auto& [key, value] : labels)
    if (key == name) return value;
  return kNone;
}

std::string to_string(const Labels& labels) {
  std::string rest;
  for (const auto& [key, value] : labels) {
    if (key == kName) continue;
    if (!rest.empty()) rest += ",";
    rest += key;
    rest += "=\"";
    rest += value;
    rest += "\"";
  }
  const std::string& name = label_of(labels, kName);
  return rest.empty() ? name : name + "{" + rest + "}";
}

double stale_marker() { return std::bit_cast<double>(kStaleBits); }
bool is_stale_marker(double value) { return std::bit_cast<std::uint64_t>(value) == kStaleBits; }

}  // namespace beamshunt::telemetry
