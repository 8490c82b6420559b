#include "emulator/swarm.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <pcg_random.hpp>
#include <random>
#include <thread>

#include "base/archive.h"

namespace beamshunt::emulator {
namespace {

// A kind of trouble with the bounds within which one is drawn.
struct KindDrawn {
  const char* kind;
  double for_least, for_most;  // s
  double part_least, part_most;
  double size_least, size_most, extra_least, extra_most;
  bool by_locality;
  std::vector<const char*> how;
};
const std::vector<KindDrawn>& kinds() {
  static const std::vector<KindDrawn> kAll{
      {"balancer_crash", 0.3, 3, 0, 0, 0, 0, 0, 0, false, {""}},
      {"balancer_crash", 0.3, 3, 0.1, 0.6, 0, 0, 0, 0, true, {"proxies"}},
      {"burst", 1, 4, 0, 0, 1.2, 3, 0, 0, false, {""}},
      {"crash", 0.5, 4, 0.1, 0.4, 0, 0, 0, 0, true, {""}},
      {"vanish", 0.5, 4, 0.1, 0.4, 0, 0, 0, 0, true, {""}},
      {"hang", 1, 4, 0.1, 0.4, 0, 0, 0, 0, true, {""}},
      {"slow", 1, 5, 0.1, 0.5, 2, 10, 0, 0, true, {""}},
      {"shared_slow", 1, 4, 0, 0, 1.2, 2.5, 0, 0, false, {""}},
      {"fast_errors", 1, 4, 0.1, 0.4, 0.3, 1, 0, 0, true, {""}},
      {"class_fail", 1, 4, 0.2, 0.6, 0.5, 1, 0, 0, true, {"", "silence"}},
      {"false_reports", 1, 5, 0.1, 0.4, 0.2, 2, 0, 2, true, {"", "zero", "stuck", "full"}},
      {"ageing", 2, 5, 0.1, 0.3, 2, 8, 0.3, 1.5, true, {""}},
      {"flapping", 2, 6, 0.1, 0.3, 0.8, 2, 0.2, 0.6, true, {""}},
      {"mass_restart", 0.3, 2, 0.3, 0.7, 0, 0, 0, 0, true, {""}},
      {"deploy", 3, 6, 0.3, 0.8, 0.1, 0.3, 0.3, 1.5, false, {""}},
      {"grow", 0.5, 3, 0, 0, 1.2, 2, 0, 1, false, {""}},
      {"shift", 0, 0, 0, 0, 0.1, 0.6, 0, 0, true, {""}},
      {"discovery_down", 0.5, 4, 0, 0, 0, 0, 0, 0, false, {""}},
      {"discovery_stale", 1, 4, 0, 0, 0.3, 2, 0, 0, false, {""}},
      {"zone_cut", 0.5, 4, 0, 0, 0, 0, 0, 0, true, {""}},
      {"slow_link", 1, 4, 0, 0, 5, 150, 0, 0.2, true, {""}},
      {"zone_loss", 0.5, 4, 0, 0, 0, 0, 0, 0, true, {"", "all"}}};
  return kAll;
}

std::string ms_text(Ms ms) { return fmt::format("{}ms", ms); }

// Values are drawn as a day file can hold them, so that the file plays the same day.
std::vector<day::Trouble> draw_troubles(const day::Day& stage, std::uint64_t seed, std::size_t most) {
  pcg32 random(seed, 0x5ea);
  auto between = [&](double a, double b) { return std::uniform_real_distribution<double>(a, b)(random); };
  auto ms = [&](double a, double b) { return static_cast<Ms>(std::llround(between(a, b) * 1000)); };
  auto hundredths = [&](double a, double b) { return std::round(between(a, b) * 100) / 100; };
  auto one_of = [&](std::size_t count) { return random(static_cast<std::uint32_t>(count)); };
  double length = stage.length / 1000;
  std::vector<day::Trouble> out(1 + one_of(most));
  for (day::Trouble& t : out) {
    const KindDrawn& kind = kinds()[one_of(kinds().size())];
    t.kind = kind.kind;
    t.at = ms(0.2, length * 0.7);
    if (kind.for_most > 0) t.lasts = ms(kind.for_least, std::min(kind.for_most, length / 2));
    if (kind.part_most > 0) t.part = hundredths(kind.part_least, kind.part_most);
    if (kind.size_most > 0) t.size = hundredths(kind.size_least, kind.size_most);
    if (kind.extra_most > 0) t.extra = hundredths(kind.extra_least, kind.extra_most);
    if (kind.by_locality) t.locality = one_of(stage.policy.localities.size());
    t.how = kind.how[one_of(kind.how.size())];
    if (t.kind == "class_fail") t.request_class = one_of(stage.policy.classes.size());
  }
  std::stable_sort(out.begin(), out.end(), [](auto& a, auto& b) { return a.at < b.at; });
  return out;
}

std::string day_file(const day::Day& stage, std::uint64_t seed, const std::vector<day::Trouble>& troubles) {
  std::string out = fmt::format(
      "// play it with --seed {0}\nname: \"swarm-{0}\"\nabout: \"drawn by a swarm\"\ntroubles: [\n", seed);
  for (const day::Trouble& t : troubles) {
    out += fmt::format("  {{at: {}, kind: \"{}\", for: {}", ms_text(t.at), t.kind, ms_text(t.lasts));
    if (t.part > 0) out += fmt::format(", part: {}", t.part);
    out += fmt::format(", size: {}, extra: {}", t.size, t.extra);
    if (t.locality) out += ", locality: \"" + stage.policy.localities[*t.locality] + "\"";
    if (t.request_class) out += ", class: \"" + stage.class_names[*t.request_class] + "\"";
    if (!t.how.empty()) out += ", how: \"" + t.how + "\"";
    out += "},\n";
  }
  return out + "]\n";
}

struct One {
  Emulated played;
  std::string failure;  // empty: the day is well
};
One play(const day::Day& stage, std::uint64_t seed, const std::vector<day::Trouble>& troubles,
         const std::string& sabotage) {
  day::Day day = stage;
  day.seed = seed, day.troubles = troubles;
  One out;
  try {
    out.played = emulate(day, {.sabotage = sabotage, .replay = false, .say = {}});
  } catch (const std::exception& error) {
    out.failure = error.what();
    return out;
  }
  if (!out.played.verdict.breaks.empty()) {
    const audit::Break& b = out.played.verdict.breaks.front();
    out.failure = fmt::format("rule {} at {:.2f} s: {}", static_cast<int>(b.rule) + 1, b.at / 1000, b.what);
  } else if (!out.played.refused.empty()) {
    out.failure = "refused: " + out.played.refused.front();
  } else if (out.played.service < stage.expect_service) {
    out.failure = fmt::format("service {:.3f}, {} expected", out.played.service, stage.expect_service);
  }
  return out;
}

// Leaves out one trouble after the other for as long as the day still fails.
Failure shrink(const day::Day& stage, std::uint64_t seed, std::vector<day::Trouble> troubles,
               const std::string& sabotage, std::string what) {
  Failure out{seed, std::move(what), troubles.size(), {}};
  for (bool smaller = true; smaller;) {
    smaller = false;
    for (std::size_t k = 0; k < troubles.size(); ++k) {
      std::vector<day::Trouble> fewer = troubles;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(k));
      One again = play(stage, seed, fewer, sabotage);
      if (again.failure.empty()) continue;
      troubles = std::move(fewer), out.what = again.failure, smaller = true;
      break;
    }
  }
  out.day_file = day_file(stage, seed, troubles);
  return out;
}

}  // namespace

SwarmResult swarm(const std::vector<config::Source>& files, const SwarmOptions& o) {
  std::vector<config::Source> plain = files;
  if (!config::given_text(files, "name")) plain.push_back({"swarm.cue", "name: \"swarm\"\n"});
  const day::Day stage = day::load_day(plain);
  bool is_template = !stage.troubles.empty();  // its own troubles, on every seed
  std::vector<One> all(o.days);
  std::vector<std::vector<day::Trouble>> troubles(o.days);
  std::atomic<std::size_t> next = 0, done = 0;
  auto work = [&] {
    for (std::size_t k = next++; k < o.days; k = next++) {
      std::uint64_t seed = o.seed + k;
      troubles[k] = is_template ? stage.troubles : draw_troubles(stage, seed, o.most_troubles);
      all[k] = play(stage, seed, troubles[k], o.sabotage);
      all[k].played.verdict = {};
      o.progress(++done);
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t k = 1; k < o.threads; ++k) threads.emplace_back(work);
  work();
  for (std::thread& t : threads) t.join();

  SwarmResult out{.days = o.days};
  base::Encoder prints;
  for (std::size_t k = 0; k < o.days; ++k) {
    const Emulated& e = all[k].played;
    out.service += e.service / static_cast<double>(std::max<std::size_t>(1, o.days));
    out.worst = std::min(out.worst, e.service);
    out.events += e.events;
    prints(e.fingerprint);
    if (all[k].failure.empty()) continue;
    if (is_template)
      out.failures.push_back({o.seed + k, all[k].failure, troubles[k].size(),
                              fmt::format("// the day as it is, with --seed {}\n", o.seed + k)});
    else out.failures.push_back(shrink(stage, o.seed + k, troubles[k], o.sabotage, all[k].failure));
  }
  out.fingerprint = XXH3_64bits(prints.bytes().data(), prints.bytes().size());
  return out;
}

}  // namespace beamshunt::emulator
