// Which of the watches on discovery's list counts: bytes and ends by the watch's number in, whole objects and
// what to open or close out. A watch that is over is known by its number, whatever comes of it late. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "net/address.h"

namespace beamshunt::platform {

using base::Ms;

class ListWatch {
 public:
  using Number = std::uint64_t;
  enum class Loss {
    none,      // of a watch that was over, or one of two
    newest,    // a former one still tells, at an address that is left: the newest has to be opened again
    list_lost  // nothing watches any more
  };

  explicit ListWatch(std::uint64_t seed) : random_(seed) {}

  // A new watch; `closed` receives the numbers of those that are over by it. The one that tells stays until
  // the new one does.
  Number open(std::vector<Number>& closed);
  // The whole objects that these bytes end, without empty lines. Throws std::runtime_error for an object
  // without end; the watch is over.
  std::vector<std::string> bytes(Number number, std::string_view piece);
  // An object of this watch was taken: returns those before it, which are over.
  std::vector<Number> tells(Number number);
  Loss ended(Number number, Ms now);
  std::vector<Number> close_all();

  bool any() const { return !watches_.empty(); }
  // When to open again after so many failures in a row: spread, for all assigners lose one discovery at once.
  Ms retry_at() const { return retry_at_; }
  std::size_t open_watches() const { return watches_.size(); }

 private:
  struct Watch {
    std::string begun;   // an object that has not ended
    bool tells = false;  // an object of it was taken
  };
  std::map<Number, Watch> watches_;  // the newest is the last
  Number last_ = 0;
  int failures_ = 0;  // in a row
  Ms retry_at_ = 0;
  std::mt19937_64 random_;
};

}  // namespace beamshunt::platform
