// One JSON line an event, with stable names. Writing never blocks the caller: lines go through a bounded
// queue to a thread of their own, the oldest are dropped when it is full, and repeats are only counted.
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
using Fields = std::vector<std::pair<std::string, std::string>>;

// Lets the first lines of an event through in each second, then counts. Pure.
class EventRateLimiter {
 public:
  explicit EventRateLimiter(std::uint64_t most_a_second = 20) : most_(most_a_second) {}
  // Whether a line of this event may be written now; `suppressed`: how many were not since the last one.
  bool allow(const std::string& event, base::Ms now, std::uint64_t& suppressed);

 private:
  struct Seen {
    base::Ms second = -1e300;
    std::uint64_t written = 0, suppressed = 0;
  };
  std::uint64_t most_;
  std::map<std::string, Seen> seen_;
};

// {"at":"...","level":"info","event":"proxy_joined","proxy":"7"}: the line without its time.
std::string json_line(Level level, const std::string& event, const Fields& fields, std::uint64_t suppressed);

class Log {
 public:
  // `file` empty: standard error. Throws std::runtime_error if the file can't be opened.
  Log(const std::string& file, Level least);
  ~Log();  // gives queued lines a moment to go out, and no more: nobody may be reading them
  void set_min_level(Level level) { least_ = level; }
  void write(Level level, const std::string& event, const Fields& fields = {});

 private:
  Level least_;
  EventRateLimiter repeats_;
  std::shared_ptr<spdlog::logger> logger_;
  std::uint64_t posted_ = 0;
  std::shared_ptr<std::atomic<std::uint64_t>> written_;
};

}  // namespace beamshunt::log
