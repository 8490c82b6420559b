// The emulator beside ideal loops of the same machine in the same run: its queue alone, and a calendar
// queue in its place.
#include "emulator/emulator.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <pcg_random.hpp>
#include <random>
#include <string>
#include <vector>

#include "base/memory.h"
#include "emulator/engine.h"
#include "measure/measure.h"

namespace beamshunt::measure {
namespace {

using base::Ms;
using Micros = std::int64_t;

// Brown's calendar queue: days of a fixed width, a year of them, each day in order. What it holds is
// sized when it is made: the hold model below keeps the number of events.
class Calendar {
 public:
  Calendar(std::size_t events, Micros width)
      : width_(std::max<Micros>(1, width)), days_(std::max<std::size_t>(2, events)) {}
  void push(Micros at) {
    auto& day = days_[static_cast<std::size_t>(at / width_) % days_.size()];
    day.insert(std::upper_bound(day.begin(), day.end(), at, std::greater<>()), at);
  }
  Micros pop() {
    for (;; ++today_) {
      auto& day = days_[static_cast<std::size_t>(today_) % days_.size()];
      if (day.empty() || day.back() / width_ != today_) continue;
      Micros at = day.back();
      day.pop_back();
      return at;
    }
  }

 private:
  Micros width_;
  std::vector<std::vector<Micros>> days_;
  Micros today_ = 0;
};

struct Heap {
  std::vector<Micros> held;
  void push(Micros at) { held.push_back(at), std::push_heap(held.begin(), held.end(), std::greater<>()); }
  Micros pop() {
    std::pop_heap(held.begin(), held.end(), std::greater<>());
    Micros at = held.back();
    held.pop_back();
    return at;
  }
};

// The hold model: the next event is taken and one is put back a random time later. Events a second.
template <typename Queue>
double hold(Queue queue, std::size_t pending, std::size_t times) {
  pcg32 random(1);
  std::exponential_distribution<double> gap(1e-5);  // 100 ms
  for (std::size_t k = 0; k < pending; ++k) queue.push(static_cast<Micros>(gap(random)));
  Ms begun = base::monotonic_ms();
  for (std::size_t k = 0; k < times; ++k) queue.push(queue.pop() + 1 + static_cast<Micros>(gap(random)));
  return static_cast<double>(times) / (base::monotonic_ms() - begun) * 1000;
}

// The engine itself with calls that do nothing but ask for the next.
double ideal(std::size_t pending, std::uint64_t events) {
  emulator::Engine engine(0);
  pcg32 random(1);
  std::exponential_distribution<double> gap(0.01);
  std::function<void()> again = [&] { engine.after(gap(random), again); };
  for (std::size_t k = 0; k < pending; ++k) again();
  Ms begun = base::monotonic_ms();
  while (engine.events() < events) engine.run(engine.now() + 1);
  return static_cast<double>(engine.events()) / (base::monotonic_ms() - begun) * 1000;
}

std::string day_text(int servers, int proxies) {
  return fmt::format(R"(
name: "measured"
length: 5s
heartbeat: 2s
calm: 3s
assigners: [{{locality: "here", count: 4}}]
servers: [{{locality: "here", count: {0}}}]
proxies: [{{locality: "here", count: {1}}}]
traffic: {{rate: {2}/s, classes: [{{name: "read", share: 1, work: 25ms}}]}}
site: {{
  localities: [{{name: "here", prefixes: []}}]
  classes: [{{name: "read", slo: 500ms, deadline: 1500ms, semantics: "retryable"}}]
  proxies: {1}
  channel: {{lines_per_s: {3}/s, most_waiting_lines: {4}, messages: 30, span: 10s}}
  channel: {{delay: 20ms, delay_most: 200ms}}
  reports: {{period: 1s, lines_per_s: {3}/s}}
  list: {{must_ask_in: 4s, quiet: 2s}}
  probes: timeout: 300ms
  guarantees: {{empty_for: 2s, drain_grace: 1s, warm_up: 3s, fall: 800ms}}
  guarantees: {{start_capacity: 0.25, tip_multiple: 4}}
}}
)",
                     servers, proxies, servers * 20, proxies * 10, proxies * 20);
}

}  // namespace

void measure_emulator() {
  fmt::print("queue,pending,events/s\n");
  for (std::size_t pending : {1000, 10000, 100000, 1000000}) {
    constexpr std::size_t kTimes = 2000000;
    fmt::print("heap,{},{:.0f}\n", pending, hold(Heap{}, pending, kTimes));
    // A day as wide as a few events' share of the span that pending ones cover.
    Calendar calendar(pending, static_cast<Micros>(3e5 / static_cast<double>(pending)));
    fmt::print("calendar,{},{:.0f}\n", pending, hold(std::move(calendar), pending, kTimes));
  }
  fmt::print("servers,proxies,requests/s of a core,events/s,ideal events/s,part of ideal,peak MiB\n");
  for (auto [servers, proxies] : {std::pair{100, 1000}, {1000, 10000}, {1000, 100000}}) {
    day::Day day = day::load_day({{"measured", day_text(servers, proxies)}});
    Ms begun = base::monotonic_ms();
    emulator::Emulated e = emulator::emulate(day, {});
    double took = (base::monotonic_ms() - begun) / 1000;
    double events = static_cast<double>(e.events) / took;
    double floor = ideal(3 * static_cast<std::size_t>(proxies), e.events);
    fmt::print("{},{},{:.0f},{:.0f},{:.0f},{:.3f},{}\n", servers, proxies,
               static_cast<double>(e.asked) / took, events, floor, events / floor,
               base::peak_resident_bytes() >> 20);
  }
}

}  // namespace beamshunt::measure
