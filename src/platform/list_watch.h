// The watches on discovery's endpoint list: which of them count, where their bytes form objects, and when to
// open the next one. A watch that is over is known by its id, so whatever it brings later is ignored. It
// performs no I/O and reads no clock.
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

// A watch brought bytes that can become no object of the list.
struct WatchError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class ListWatch {
 public:
  using Id = std::uint64_t;

  // What the end of a watch means.
  enum class EndEffect {
    none,         // the watch was over already, or a newer one is open
    newest_lost,  // a former watch still serves, at an address that was left: the newest has to be reopened
    all_lost      // no watch is open any more
  };

  explicit ListWatch(std::uint64_t seed) : random_(seed) {}

  struct Opened {
    Id id = 0;
    std::vector<Id> superseded;  // over now: the shell closes them
  };
  // Opens a watch. One that serves stays until the new one does.
  [[nodiscard]] Opened open();

  // The complete objects that these bytes end, without empty lines; none for a watch that is over. Throws
  // WatchError for an object that grows without end; the caller then closes the watch.
  std::vector<std::string> receive(Id id, std::string_view bytes);

  // An object of this watch was applied, so it serves. Returns the watches before it: they are over.
  std::vector<Id> mark_serving(Id id);

  // The watch has ended at `now` (ms). Sets retry_at() where the newest one was lost.
  EndEffect end(Id id, Ms now);

  // Ends all watches and returns them.
  [[nodiscard]] std::vector<Id> close_all();

  [[nodiscard]] bool any_open() const { return !watches_.empty(); }
  [[nodiscard]] std::size_t open_count() const { return watches_.size(); }

  // When to open the next watch, in ms: an exponential backoff over the failures in a row, with jitter, for
  // all assigners lose one discovery at once.
  [[nodiscard]] Ms retry_at() const { return retry_at_; }

 private:
  struct Watch {
    std::string unfinished;  // bytes of an object that has not ended
    bool serves = false;     // an object of it was applied
  };
  std::map<Id, Watch> watches_;  // open ones; the newest is the last
  Id last_id_ = 0;
  int failures_in_a_row_ = 0;
  Ms retry_at_ = 0;
  std::mt19937_64 random_;
};

}  // namespace beamshunt::platform
