// Log lines: one JSON object an event, repeats counted.
#include "log/log.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace beamshunt::log {
namespace {

TEST(Log, ALineIsOneJsonObjectWhateverItsFieldsHold) {
  std::string line =
      json_line(Level::warning, "stream_refused", {{"peer", "a\n\"b\xff"}, {"reason", "r"}}, 3);
  EXPECT_EQ(line.find('\n'), std::string::npos);
  auto json = nlohmann::json::parse(line);
  EXPECT_EQ(json["level"], "warning");
  EXPECT_EQ(json["event"], "stream_refused");
  EXPECT_EQ(json["suppressed"], 3);
}

TEST(Log, RepeatsAreLimitedByEventAndCounted) {
  EventRateLimiter limit(5);
  std::uint64_t suppressed = 0;
  int written = 0;
  for (int k = 0; k < 100; ++k) written += limit.allow("flood", 1000 + k, suppressed);
  EXPECT_EQ(written, 5);
  EXPECT_TRUE(limit.allow("other", 1050, suppressed));
  EXPECT_TRUE(limit.allow("flood", 2100, suppressed));
  EXPECT_EQ(suppressed, 95u);
}

}  // namespace
}  // namespace beamshunt::log
