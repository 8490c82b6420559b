// Discrete events in integer time: the same calls in the same order on every machine.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "base/time.h"

namespace beamshunt::emulator {

using base::Ms;

class Engine {
 public:
  using Micros = std::int64_t;
  using Call = std::function<void()>;

  explicit Engine(Ms start) : now_(to_micros(start)) {}
  Ms now() const { return static_cast<Ms>(now_) / 1000; }
  // In the order of the times, then of the calls. An instant that has passed is now.
  void at(Ms when, Call call) {
    if (when >= base::kNever) return;
    heap_.push_back({std::max(now_, to_micros(when)), ++last_, std::move(call)});
    std::push_heap(heap_.begin(), heap_.end(), later);
  }
  void after(Ms wait, Call call) { at(now() + wait, std::move(call)); }
  void run(Ms until) {
    Micros end = to_micros(until);
    while (!heap_.empty() && heap_.front().at <= end) {
      std::pop_heap(heap_.begin(), heap_.end(), later);
      Event e = std::move(heap_.back());
      heap_.pop_back();
      at_once_ = e.at == now_ ? at_once_ + 1 : 0;
      if (at_once_ > kMostAtOnce) throw std::runtime_error("time stands still: some event asks for itself");
      now_ = e.at;
      ++events_;
      e.call();
    }
    now_ = end;
  }
  std::uint64_t events() const { return events_; }

 private:
  struct Event {
    Micros at = 0;
    std::uint64_t number = 0;
    Call call;
  };
  static bool later(const Event& a, const Event& b) {
    return a.at != b.at ? a.at > b.at : a.number > b.number;
  }
  // Up: what is due at an instant must not be looked for before it, not even by a rounding: whoever asks
  // again because it is not due yet would do so for ever.
  static Micros to_micros(Ms ms) {
    auto micros = static_cast<Micros>(std::ceil(ms * 1000));
    return static_cast<Ms>(micros) / 1000 < ms ? micros + 1 : micros;
  }
  static constexpr std::uint64_t kMostAtOnce = 2000000;  // events at one instant: time stands still

  Micros now_;
  std::uint64_t last_ = 0, events_ = 0, at_once_ = 0;
  std::vector<Event> heap_;
};

}  // namespace beamshunt::emulator
