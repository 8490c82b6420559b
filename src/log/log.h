// Structured logging: one JSON object per line, with stable event and field names. Writing never blocks the
// caller: lines pass through a bounded queue to a writer thread, and the oldest line is dropped if the queue
// is full. Events that repeat too often are counted instead of written.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"

namespace spdlog {
class logger;
}

namespace beamshunt::log {

enum class Level { debug, info, warning, error };
// Names and values of a log line's fields, in the order in which they are written.
using Fields = std::vector<std::pair<std::string, std::string>>;

// Limits the lines written per second and event, and counts the suppressed lines. It performs no I/O and
// reads no clock.
class EventRateLimiter {
 public:
  explicit EventRateLimiter(std::uint64_t max_per_second = 20) : max_per_second_(max_per_second) {}
  // Returns true if a line of `event` may be written at `now`. In that case `suppressed` becomes the number
  // of lines of the event that were suppressed since the last one written; otherwise it is unchanged.
  bool allow(const std::string& event, base::Ms now, std::uint64_t& suppressed);

 private:
  struct EventState {
    base::Ms window_start = -1e300;  // start of the second that `written` counts
    std::uint64_t written = 0, suppressed = 0;
  };
  std::uint64_t max_per_second_;
  std::map<std::string, EventState> events_;
};

// Returns a log line without its timestamp, such as {"level":"info","event":"proxy_joined","proxy":"7"}. The
// field "suppressed" is added if the count is above 0. Bytes that are not UTF-8 are replaced.
std::string json_line(Level level, const std::string& event, const Fields& fields, std::uint64_t suppressed);

// The log of the process. One thread at a time may use it.
class Log {
 public:
  // Logs to the file, or to standard error if `file` is empty. Throws std::runtime_error if the file can't be
  // opened. Lines below `min_level` are not written.
  Log(const std::string& file, Level min_level);
  // Waits for queued lines to be written, but only briefly: if the output is a pipe, its reader may have
  // stopped reading.
  ~Log();
  void set_min_level(Level level) { min_level_ = level; }
  // Queues a line, unless its level is below the minimum or its event exceeds the rate limit.
  void write(Level level, const std::string& event, const Fields& fields = {});

 private:
  Level min_level_;
  EventRateLimiter rate_limiter_;
  std::shared_ptr<spdlog::logger> logger_;
  std::uint64_t queued_lines_ = 0;
  std::shared_ptr<std::atomic<std::uint64_t>> written_lines_;
};

}  // namespace beamshunt::log
