#include "gate/shadow.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>

#include "assigner/cached_list_codec.h"
#include "emulator/emulator.h"

namespace beamshunt::gate {
namespace {

using assigner::AssignerSettings;
using assigner::FleetSnapshot;
using day::Stage;
using standin::ListTold;

constexpr Ms kWorkLeast = 1, kWorkMost = 200;        // bounds of a request's work that reports make
constexpr double kMostRate = 3000;                   // requests/s: fewer and larger ones keep servers as busy
constexpr double kUsualLoad = 0.5;                   // of servers that have not said how busy they are
constexpr double kUsualRate = 10;                    // requests/s of a proxy that has not said
constexpr double kDrainAt = 0.15, kRestartAt = 0.4;  // of the time after the change
constexpr Ms kMargin = 8;                            // on times of the rules: two looks of a model

// The site without what a rehearsal has no use for.
AssignerSettings plain(const AssignerSettings& site) {
  AssignerSettings out = site;
  out.record_file.clear(), out.peers.clear(), out.control.reset(), out.remote_write.reset();
  return out;
}

// The core begins with the list that it holds: else its first orders would be those of a first start.
std::string held_list(const FleetSnapshot& fleet) {
  assigner::EndpointListUpdate all{.version = 1};
  for (auto& s : fleet.endpoints)
    all.entries.push_back({s.id, s.locality, s.cell, s.capacity,
                           s.available ? EndpointState::available : EndpointState::removed, 0, s.address});
  assigner::EndpointCatalog book;
  book.apply(all);
  return encode_cached_list(book);
}

// What a request costs, by what servers say of themselves, and then as many as keep them as busy as they are.
struct Traffic {
  double rate = 0;  // requests a second, of all
  Ms work = 1;
};
Traffic traffic_of(const FleetSnapshot& fleet, double usual) {
  double size = 0, known = 0, busy = 0, rate = 0;
  for (auto& s : fleet.endpoints) {
    if (!s.available) continue;
    size += s.capacity;
    if (s.utilization >= 0) known += s.capacity, busy += s.utilization * s.capacity, rate += s.attempt_rate;
  }
  double load = known > 0 ? busy / known : kUsualLoad;
  Ms work =
      known > 0 && rate > 0 && busy > 0 ? busy / rate * 1000 : load * size / std::max(1.0, usual) * 1000;
  work = std::clamp(std::max(work, load * size / kMostRate * 1000), kWorkLeast, kWorkMost);
  return {load * size / work * 1000, work};
}

// A server of the locality that has most; a locality's only one stays.
std::optional<std::size_t> server_to_strike(const Stage& stage, std::size_t which,
                                            std::optional<std::size_t> but) {
  std::map<std::uint32_t, std::vector<std::size_t>> open;
  for (std::size_t k = 0; k < stage.servers(); ++k)
    if (k != but && stage.server(k).up) open[stage.server(k).locality].push_back(k);
  const std::vector<std::size_t>* most = nullptr;
  for (auto& [z, all] : open)
    if (all.size() > 1 && (!most || all.size() > most->size())) most = &all;
  if (!most) return std::nullopt;
  return (*most)[which % most->size()];
}

}  // namespace

Rehearsal rehearse(const AssignerSettings& now, const AssignerSettings& next, const FleetSnapshot& fleet,
                   const ShadowOptions& options) {
  const Settings& policy = now.policy;
  emulator::Fixture f;
  f.site = plain(now), f.change = plain(next), f.change_at = options.settle;
  f.list = held_list(fleet);
  f.interceptor = options.interceptor, f.out_of_budget = options.out_of_budget;
  f.channel_delay = policy.update_delay.count();

  auto usual = [](const FleetSnapshot::RegisteredProxy& p) {
    return p.expected_rate > 0 ? p.expected_rate : kUsualRate;
  };
  double all_usual = 0;
  for (auto& p : fleet.proxies) all_usual += usual(p);
  Traffic traffic = traffic_of(fleet, all_usual);
  for (auto& p : fleet.proxies)
    f.proxies.push_back({p.id, p.locality, traffic.rate * usual(p) / std::max(1e-9, all_usual), p.address});
  for (auto& s : fleet.endpoints) {
    if (!s.available) continue;
    int cores = std::max(1, static_cast<int>(std::lround(s.capacity)));
    f.servers.push_back({{.id = s.id,
                          .locality = s.locality,
                          .cell = s.cell,
                          .cores = cores,
                          .speed = s.capacity / cores,
                          .start_capacity = policy.initial_capacity,
                          .tip_multiple = policy.overload_multiple,
                          .warm_up = policy.warm_up_time.count(),
                          .fall = policy.overload_window.count()},
                         s.address});
  }
  // A drain and a restart on the way.
  auto drained = std::make_shared<std::optional<std::size_t>>();
  f.script = [&options, drained](Stage& stage) {
    stage.after(options.settle + kDrainAt * options.length, [&stage, drained] {
      *drained = server_to_strike(stage, 0, {});
      if (*drained) stage.list(**drained, ListTold::State::terminating, 0);
    });
    stage.after(options.settle + kRestartAt * options.length, [&stage, drained] {
      auto k = server_to_strike(stage, 1, *drained);
      if (!k) return;
      stage.stop_server(*k);
      stage.start_cold(*k);
    });
  };

  day::Day day;
  day.name = "rehearsal", day.seed = options.seed, day.length = options.settle + options.length;
  day.policy = policy, day.class_names = now.class_names;
  day.assigners = {{now.instance, static_cast<std::uint32_t>(policy.own_locality)}};
  day.redial = now.heartbeat, day.heartbeat = now.heartbeat;
  double came = 0;
  for (double c : fleet.arrivals_by_class) came += c;
  for (std::size_t c = 0; c < policy.classes.size(); ++c) {
    const RequestClass& rules = policy.classes[c];
    double share = came <= 0 ? 1 : c < fleet.arrivals_by_class.size() ? fleet.arrivals_by_class[c] : 0;
    day.classes.push_back({share, traffic.work, rules.latency_objective.count(), rules.deadline.count(),
                           rules.semantics == Semantics::idempotent_with_key, false});
  }
  // Guarantees of the servers are what they are, whatever the new settings say of them.
  audit::Limits& limits = day.limits = audit::limits_of(next.policy);
  limits.classes = policy.classes;
  limits.warm_up = policy.warm_up_time.count(), limits.fall = policy.overload_window.count();
  limits.start_capacity = policy.initial_capacity, limits.tip_multiple = policy.overload_multiple;
  limits.margin = kMargin, limits.capacity_slack = 1.3;

  emulator::Emulated played = emulator::emulate(day, {.fixture = &f});
  return {played.verdict, played.service, static_cast<double>(played.asked), played.finished, played.changed};
}

}  // namespace beamshunt::gate
