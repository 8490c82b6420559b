// The open watches on discovery's endpoint list. Splits received bytes into list objects, decides which
// watches are superseded, and computes when to open the next one. Watches are identified by id, so that input
// of a watch that has ended is ignored. Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace beamshunt::platform {

using base::Ms;

// The bytes received on a watch cannot be part of a valid list object.
struct WatchError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The watches of one assigner, of which at most two are open: the active one and the newest.
class WatchSet {
 public:
  using Id = std::uint64_t;

  // What the end of a watch changes for the caller.
  enum class EndResult {
    none,         // nothing: the watch had ended before, or a newer watch is open
    newest_lost,  // an older watch, at the previous address, is still active; the newest must be reopened
    all_lost      // no watch is open any more
  };

  // `seed` seeds the jitter of the backoff.
  explicit WatchSet(std::uint64_t seed) : random_(seed) {}

  struct Opened {
    Id id = 0;
    std::vector<Id> superseded;  // watches that have ended and that the shell must close
  };
  // Opens a watch. An active watch stays open until the new watch becomes active.
  [[nodiscard]] Opened open();

  // Returns the objects that `bytes` completes, without blank lines; empty for a watch that has ended. Throws
  // WatchError if an object exceeds the maximum size; the caller must then close the watch.
  std::vector<std::string> receive(Id id, std::string_view bytes);

  // Marks a watch as active: one of its objects was applied. Ends all older watches and returns their ids.
  std::vector<Id> mark_active(Id id);

  // Handles the end of a watch at `now` (ms). Sets retry_at() if the newest watch was lost.
  EndResult end(Id id, Ms now);

  // Ends all watches and returns their ids.
  [[nodiscard]] std::vector<Id> close_all();

  [[nodiscard]] bool any_open() const { return !watches_.empty(); }
  [[nodiscard]] std::size_t open_count() const { return watches_.size(); }

  // Returns when to open the next watch, in ms: after an exponential backoff over consecutive failures. The
  // backoff has jitter because all assigners lose their watches at once when discovery fails.
  [[nodiscard]] Ms retry_at() const { return retry_at_; }

 private:
  struct Watch {
    std::string partial_object;  // bytes of an object that is not complete yet
    bool is_active = false;      // an object of this watch was applied
  };
  std::map<Id, Watch> watches_;  // open watches, the newest last
  Id last_id_ = 0;
  int consecutive_failures_ = 0;
  Ms retry_at_ = 0;
  std::mt19937_64 random_;
};

}  // namespace beamshunt::platform
