#include "day/script.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

namespace beamshunt::day {

using namespace standin;

double locality_rate(const Day& day, std::uint32_t z) {
  double all = 0;
  for (int n : day.proxies) all += n;
  return all > 0 ? day.rate * day.proxies[z] / all : 0;
}

ServerSpec server_spec(const Day& day, const ServerGroup& group, std::uint32_t number) {
  return {.id = 1000 + number * 7919 % 100003,  // an id says nothing of a server
          .locality = group.locality,
          .cell = number / static_cast<std::uint32_t>(group.cell),
          .cores = group.cores,
          .speed = group.speed,
          .most_queued = group.queue,
          .start_capacity = day.policy.initial_capacity,
          .tip_multiple = day.policy.overload_multiple,
          .warm_up = day.policy.warm_up_time.count(),
          .fall = day.policy.overload_window.count()};
}

ProxySpec proxy_spec(const Day& day, std::uint32_t locality, std::uint32_t number) {
  return {.id = number,
          .locality = locality,
          .locality_name = day.policy.localities[locality],
          .classes = day.policy.classes.size(),
          .pick = day.pick,
          .levels = day.policy.admission_limit_kind == AdmissionLimitKind::rate    ? Levels::rate
                    : day.policy.admission_limit_kind == AdmissionLimitKind::share ? Levels::share
                                                                                   : Levels::none,
          .avoid_after = day.avoid_after,
          .avoid_for = day.avoid_for,
          .default_retry = static_cast<std::uint8_t>(day.policy.default_retry_mode),
          .standing = {},
          .seed = day.seed * 100 + number};
}

Ms longest_window(const Day& day) {
  Ms window = 0;
  for (const RequestClass& c : day.policy.classes) window = std::max(window, c.idempotency_window.count());
  return window;
}

std::vector<Place> standing_pool(std::uint32_t locality, const std::vector<Listing>& shown) {
  constexpr std::size_t kEnough = 3;
  std::vector<Place> local, all;
  for (const Listing& l : shown) {
    if (l.state != ListTold::State::in_service) continue;
    Place p{l.id, static_cast<std::uint16_t>(l.locality), l.cell, l.address};
    all.push_back(p);
    if (l.locality == locality) local.push_back(p);
  }
  return local.size() >= kEnough ? local : all;
}

std::vector<Place> standing_table(const std::vector<Place>& pool, std::size_t count, pcg32& random) {
  std::vector<Place> out;
  std::set<std::size_t> drawn;  // Floyd's way: a few of many without a look at all of them
  for (std::size_t k = pool.size() - std::min(count, pool.size()); k < pool.size(); ++k) {
    std::size_t at = random(static_cast<std::uint32_t>(k + 1));
    if (!drawn.insert(at).second) drawn.insert(at = k);
    out.push_back(pool[at]);
  }
  return out;
}

void Script::begin() {
  for (const Trouble& t : day_.troubles) stage_.after(t.at, [this, &t] { strike(t); });
}

// ---- What is struck ----

template <typename Fits>
Script::Numbers Script::draw(std::size_t of, double part, Fits fits) {
  Numbers out;
  for (std::size_t k = 0; k < of; ++k)
    if (fits(k)) out.push_back(k);
  std::shuffle(out.begin(), out.end(), random_);
  out.resize(
      std::min(out.size(), static_cast<std::size_t>(std::ceil(part * static_cast<double>(out.size())))));
  return out;
}
Script::Numbers Script::struck(const Trouble& t) {
  return draw(stage_.servers(), t.part, [&](std::size_t k) {
    Stage::ServerSeen s = stage_.server(k);
    return s.up && (!t.locality || *t.locality == s.locality);
  });
}
std::string Script::names(const Numbers& numbers) const {
  std::string out;
  for (std::size_t k : numbers) out += (out.empty() ? "" : ", ") + std::to_string(stage_.server(k).id);
  return numbers.size() > 8 ? fmt::format("{} servers", numbers.size()) : "server " + out;
}
// A fault that is set now and taken back when the trouble ends.
void Script::bend(const Trouble& t, const std::string& what, const std::function<void(ServerFaults&)>& set) {
  Numbers runs = struck(t);
  stage_.say(fmt::format("{}: {} of {}", t.kind, what, names(runs)));
  for (std::size_t k : runs) set(stage_.faults(k));
  stage_.after(t.lasts, [this, runs, kind = t.kind] {
    stage_.say(kind + " ends");
    for (std::size_t k : runs) stage_.faults(k) = {};
  });
}
void Script::bend_links(const Trouble& t, const std::string& what, const Links::Way& way) {
  std::uint32_t z = t.locality.value_or(0);
  stage_.say(fmt::format("{}: {} between {} and the others", t.kind, what, day_.policy.localities[z]));
  stage_.bend_links(z, way);
  stage_.after(t.lasts, [this, z, kind = t.kind] {
    stage_.say(kind + " ends");
    stage_.bend_links(z, {});
  });
}
void Script::crash(std::size_t k, Ms back_after) {
  stage_.stop_server(k);
  stage_.list(k, ListTold::State::gone, day_.list_notice);
  stage_.after(back_after, [this, k] { stage_.start_cold(k); });
}
void Script::vanish(std::size_t k, Ms back_after) {
  stage_.silence_server(k);
  if (back_after > day_.list_silent_notice) stage_.list(k, ListTold::State::gone, day_.list_silent_notice);
  stage_.after(back_after, [this, k] { stage_.start_cold(k); });
}

// ---- The kinds ----

void Script::strike(const Trouble& t) {
  const std::map<std::string, void (Script::*)(const Trouble&)> kinds = {
      {"balancer_crash", &Script::balancer_crash},
      {"burst", &Script::burst},
      {"crash", &Script::crashes},
      {"deploy", &Script::deploy},
      {"discovery_down", &Script::discovery_down},
      {"discovery_stale", &Script::discovery_stale},
      {"fast_errors", &Script::fast_errors},
      {"flapping", &Script::flapping},
      {"grow", &Script::grow},
      {"hang", &Script::hang},
      {"mass_restart", &Script::mass_restart},
      {"shared_slow", &Script::shared_slow},
      {"shift", &Script::shift},
      {"slow", &Script::slow},
      {"slow_link", &Script::slow_link},
      {"vanish", &Script::vanishes},
      {"zone_cut", &Script::zone_cut},
      {"zone_loss", &Script::zone_loss},
      {"ageing", &Script::ageing},
      {"class_fail", &Script::class_fail},
      {"false_reports", &Script::false_reports},
      {"reports_late", &Script::reports_late},
      {"receiver_away", &Script::services},
      {"receiver_hangs", &Script::services},
      {"receiver_cuts", &Script::services},
      {"receiver_status", &Script::services},
      {"config", &Script::services},
      {"control_away", &Script::services}};
  (this->*kinds.at(t.kind))(t);
}

void Script::balancer_crash(const Trouble& t) {
  if (t.how == "proxies") {
    Numbers runs = draw(stage_.proxies(), t.part, [&](std::size_t k) {
      Stage::ProxySeen p = stage_.proxy(k);
      return p.up && (!t.locality || *t.locality == p.locality);
    });
    stage_.say(fmt::format("balancer_crash: {} proxies die", runs.size()));
    for (std::size_t k : runs) {
      stage_.kill_proxy(k);
      stage_.after(t.lasts, [this, k] { stage_.start_proxy(k); });
    }
    stage_.after(t.lasts, [this] { stage_.say("they are back"); });
    return;
  }
  for (auto& [instance, z] : day_.assigners) {
    if (t.locality && *t.locality != z) continue;
    stage_.say(fmt::format("balancer_crash: assigner {} is killed", instance));
    stage_.kill_assigner(instance);
    stage_.after(t.lasts, [this, instance = instance] {
      stage_.say(fmt::format("assigner {} starts anew, with its last list", instance));
      stage_.start_assigner(instance);
    });
  }
}
void Script::burst(const Trouble& t) {
  stage_.say(fmt::format("burst: traffic times {}", t.size));
  for (double& f : stage_.rate_factor()) f *= t.size;
  stage_.after(t.lasts, [this, &t] {
    stage_.say("burst ends");
    for (double& f : stage_.rate_factor()) f /= t.size;
  });
}
void Script::crashes(const Trouble& t) {
  Numbers runs = struck(t);
  stage_.say(fmt::format("crash: {}", names(runs)));
  for (std::size_t k : runs) crash(k, t.lasts);
}
void Script::vanishes(const Trouble& t) {
  Numbers runs = struck(t);
  stage_.say(fmt::format("vanish: {} goes silent", names(runs)));
  for (std::size_t k : runs) vanish(k, t.lasts);
}
void Script::deploy(const Trouble& t) {  // size: share of the fleet a batch; extra: seconds to drain
  Numbers runs = struck(t);
  auto batch = std::max<std::size_t>(
      1, static_cast<std::size_t>(std::llround(t.size * static_cast<double>(stage_.servers()))));
  std::size_t batches = (runs.size() + batch - 1) / batch;
  stage_.say(fmt::format("deploy: {} in {} batches", names(runs), batches));
  for (std::size_t b = 0; b < batches; ++b) {
    Ms begin = t.lasts * static_cast<double>(b) / static_cast<double>(batches);
    for (std::size_t k = b * batch; k < std::min(runs.size(), (b + 1) * batch); ++k) {
      std::size_t n = runs[k];
      stage_.after(begin, [this, n] { stage_.list(n, ListTold::State::terminating, day_.list_notice / 3); });
      stage_.after(begin + t.extra * 500, [this, n] { stage_.drain_server(n); });
      stage_.after(begin + t.extra * 1000, [this, n] {
        stage_.stop_server(n);
        stage_.list(n, ListTold::State::gone, 0);
      });
      stage_.after(begin + t.extra * 1000 + 300, [this, n] { stage_.start_cold(n); });
    }
  }
}
void Script::discovery_down(const Trouble& t) {
  stage_.say("discovery_down: the list answers nobody");
  stage_.list_fails(true);
  stage_.after(t.lasts, [this] {
    stage_.say("the list is back");
    stage_.list_fails(false);
  });
}
void Script::discovery_stale(const Trouble& t) {
  stage_.say(fmt::format("discovery_stale: the list is {} s late", t.size));
  stage_.list_is_stale(t.size * 1000);
  stage_.after(t.lasts, [this] {
    stage_.say("the list is on time again");
    stage_.list_is_stale(0);
  });
}
void Script::fast_errors(const Trouble& t) {
  bend(t, fmt::format("{:.0f}% of answers are errors", t.size * 100),
       [&](ServerFaults& f) { f.error_share = t.size; });
}
void Script::hang(const Trouble& t) {
  bend(t, "no answer", [](ServerFaults& f) { f.hung = true; });
}
void Script::slow(const Trouble& t) {
  bend(t, fmt::format("{} times slower", t.size), [&](ServerFaults& f) { f.slow = t.size; });
}
void Script::shared_slow(const Trouble& t) {
  Trouble all = t;
  all.part = 1, all.locality.reset();
  slow(all);
}
void Script::class_fail(const Trouble& t) {
  bend(t, fmt::format("class {} fails", t.request_class.value_or(0)), [&](ServerFaults& f) {
    f.failing_class = static_cast<int>(t.request_class.value_or(0));
    f.error_share = t.size, f.failing_silently = t.how == "silence";
  });
}
void Script::false_reports(const Trouble& t) {
  bend(t, "false load reports", [&](ServerFaults& f) {
    f.lie = t.how == "stuck" ? LoadLie::stuck : t.how == "full" ? LoadLie::full : LoadLie::scaled;
    f.lie_factor = t.how == "zero" ? 0 : t.size;
    if (t.how != "full") f.slow = 1 + t.extra;
  });
}
void Script::ageing(const Trouble& t) {  // size: times slower at the end; extra: seconds down
  Numbers runs = struck(t);
  stage_.say(fmt::format("ageing: {} grows slower", names(runs)));
  constexpr int kSteps = 10;
  for (int step = 1; step <= kSteps; ++step)
    stage_.after(t.lasts * step / kSteps, [this, runs, step, &t] {
      for (std::size_t k : runs) {
        stage_.faults(k).slow = 1 + (t.size - 1) * step / kSteps;
        if (step < kSteps) continue;
        stage_.faults(k) = {};
        crash(k, t.extra * 1000);
      }
      if (step == kSteps) stage_.say("ageing: they die, and come back cold");
    });
}
void Script::flapping(const Trouble& t) {  // size: seconds a turn; extra: part of it that they are down
  Numbers runs = struck(t);
  stage_.say(fmt::format("flapping: {} down {} s of every {} s", names(runs), t.size * t.extra, t.size));
  int turns = std::max(1, static_cast<int>(t.lasts / (t.size * 1000)));
  for (int turn = 0; turn < turns; ++turn)
    stage_.after(turn * t.size * 1000, [this, runs, &t] {
      for (std::size_t k : runs)
        if (stage_.server(k).up) crash(k, t.size * t.extra * 1000);
    });
  stage_.after(t.lasts, [this] { stage_.say("flapping ends"); });
}
void Script::grow(
    const Trouble& t) {  // size: times as many servers; extra: share of the growth that traffic follows
  auto more = static_cast<std::size_t>(std::llround((t.size - 1) * static_cast<double>(stage_.servers())));
  stage_.say(fmt::format("grow: {} more servers, new and cold", more));
  for (std::size_t k = 0; k < more; ++k)
    stage_.after(t.lasts * static_cast<double>(k) / static_cast<double>(more), [this, k, &t] {
      const ServerGroup& like = day_.servers[k % day_.servers.size()];
      stage_.add_cold_server(like);
      if (t.extra <= 0) return;
      auto now = static_cast<double>(stage_.servers());
      for (double& f : stage_.rate_factor()) f *= 1 + t.extra / (now - 1);
    });
}
void Script::mass_restart(const Trouble& t) {
  Numbers runs = struck(t);
  stage_.say(fmt::format("mass_restart: {} at once", names(runs)));
  for (std::size_t k : runs) crash(k, t.lasts);
}
void Script::shift(
    const Trouble& t) {  // size: share of each other locality's traffic that moves there, for good
  std::uint32_t to = t.locality.value_or(0);
  double moved = 0;
  for (std::uint32_t z = 0; z < day_.policy.localities.size(); ++z)
    if (z != to) moved += locality_rate(day_, z) * t.size, stage_.rate_factor()[z] *= 1 - t.size;
  stage_.rate_factor()[to] *= 1 + moved / std::max(1e-9, locality_rate(day_, to));
  stage_.say(fmt::format("shift: {:.0f} requests/s move to {}", moved, day_.policy.localities[to]));
}
void Script::slow_link(const Trouble& t) {  // size: ms each way; extra: share lost
  bend_links(t, fmt::format("{} ms each way, {:.0f}% lost", t.size, t.extra * 100),
             {.cut = false, .delay = t.size, .loss = t.extra});
}
void Script::reports_late(const Trouble& t) {  // size: seconds; extra: of those that are not late, share lost
  stage_.say(fmt::format("reports_late: reports are {} s late, {:.0f}% lost", t.size, t.extra * 100));
  stage_.bend_reports({t.size * 1000, t.extra});
  stage_.after(t.lasts, [this] {
    stage_.say("reports are on time again");
    stage_.bend_reports({});
  });
}
void Script::zone_cut(const Trouble& t) { bend_links(t, "nothing passes", {.cut = true}); }
void Script::zone_loss(const Trouble& t) {  // how "all": its proxies and assigners too
  std::uint32_t z = t.locality.value_or(0);
  stage_.say(fmt::format("zone_loss: the servers of {}{}", day_.policy.localities[z],
                         t.how == "all" ? ", its proxies and assigners" : ""));
  for (std::size_t k = 0; k < stage_.servers(); ++k)
    if (stage_.server(k).locality == z && stage_.server(k).up) crash(k, t.lasts);
  if (t.how != "all") return;
  Trouble rest = t;
  rest.part = 1, rest.locality = z;
  rest.how = "proxies";
  balancer_crash(rest);
  rest.how.clear();
  balancer_crash(rest);
}

}  // namespace beamshunt::day
