// Seven of ten assigners are killed at once in the middle of a release; the proxies of the dead ones join
// this one. Judged: no joined proxy sends a request to a task later than the grace after discovery wrote to
// the assigner that it drains, or after the proxy joined if that was later.
#include "../settings.h"

using namespace review;

namespace {

constexpr int kProxies = 240;  // of the fleet, steered by ten assigners
constexpr int kFirst = 24;     // joined to this assigner from the beginning
constexpr int kLater = 168;    // those of the seven that die
constexpr int kTasks = 30;     // the release drains a fifth of them at a time
constexpr int kBatch = kTasks / 5;
constexpr double kGrace = 2000, kSocketSlack = 300;

FleetOptions options_of_head_office() {
  FleetOptions options = small_fleet({"room-north", "room-middle", "room-south"});
  options.classes = {"balance", "top-up", "redeem"};
  options.shares = {0.53, 0.27, 0.20};
  options.work_ms = {140, 235, 235};
  options.home_only = {false, false, true};
  options.default_again = 0;
  options.rate = 400.0 / (kFirst + kLater);
  options.lines_per_s = 1800;
  options.head = 3;
  options.late_least = 81;
  options.late_most = 440;
  return options;
}

json settings_of_head_office(const FleetOptions& options) {
  json settings = small_settings(options, kProxies);
  settings["balancers"] = 10;
  settings["classes"] = {
      {{"name", "balance"},
       {"slo", 1000.0},
       {"deadline", 3000.0},
       {"semantics", "retryable"},
       {"points", 1.0}},
      {{"name", "top-up"},
       {"slo", 1500.0},
       {"deadline", 5000.0},
       {"semantics", "dedup"},
       {"points", 3.0},
       {"key_scope", "cell"},
       {"window", 3000.0}},
      {{"name", "redeem"}, {"slo", 1500.0}, {"deadline", 5000.0}, {"semantics", "fragile"}, {"points", 3.0}}};
  json& family = settings["family_info"];
  family["default_retry"] = 0;
  family["try_factor"] = 1.2;
  family["egress_per_s"] = 1800.0;
  family["envelope"] = 3.0;
  family["most_waiting"] = 8000.0;
  family["pushes_allowed"] = 30;
  family["push_delay"] = 260.0;
  family["late_most"] = 440.0;
  family["home_only"] = {false, false, true};
  settings["report"] = {{"how", "probe"}, {"columns", {"utilization", "backlog"}}};
  settings["guarantees"]["start_capacity"] = 0.27;
  settings["guarantees"]["tip_multiple"] = 4.0;
  return settings;
}

}  // namespace

int main(int, char** argv) {
  std::string folder = argv[1];
  record_file() = std::fopen(argv[2], "w");
  ::signal(SIGPIPE, SIG_IGN);

  Loop loop;
  Discovery discovery(loop, "127.0.0.1");
  FleetOptions options = options_of_head_office();
  json configuration = small_configuration(discovery, settings_of_head_office(options));
  Assigner assigner(configuration, folder);
  Fleet fleet(loop, options, assigner);
  unsigned made = 0;
  auto make_task = [&](const std::string& zone) -> Task& {
    char uid[32];
    std::snprintf(uid, sizeof uid, "s-%08x", 0x5be2a07cU + made++ * 0x9e3779b1U);
    return fleet.add_task(uid, zone);
  };
  std::vector<Task*> old_tasks;
  for (std::size_t k = 0; k < kTasks; ++k) {
    old_tasks.push_back(&make_task(options.zones[k % 3]));
    discovery.set(old_tasks.back()->entry("in_service", 0));
  }
  for (std::size_t k = 0; k < kFirst; ++k) fleet.add_proxy(options.zones[k % 3]);
  configuration["known"] = discovery.list();
  assigner.write(configuration);
  assigner.start();
  wait_alive(loop, assigner);
  double alive_at = now_ms();

  std::map<std::string, double> told;  // when discovery wrote to the assigner that the task drains
  int broken = 0, broken_long_joined = 0;
  double worst = 0;
  fleet.on_send = [&](Proxy& proxy, const std::string& uid, int request) {
    auto found = told.find(uid);
    if (found == told.end() || !proxy.joined) return;
    double begins = std::max({found->second, proxy.joined_at, alive_at + 1000});
    double late = now_ms() - begins - kGrace - kSocketSlack;
    if (late <= 0) return;
    ++broken;
    if (proxy.joined_at < found->second) ++broken_long_joined;
    worst = std::max(worst, late);
    record(
        "BROKEN: proxy %d sends request %d to %s, %.0f ms after the drain was told; it joined %.0f ms ago%s",
        proxy.node, request, uid.c_str(), now_ms() - found->second, now_ms() - proxy.joined_at,
        fleet.tasks.at(uid)->ended ? "; the task is gone" : "");
  };
  fleet.start(6);
  loop.run_until(now_ms() + 8000, [&] { return !assigner.running(); });

  // The proxies of the dead notice it at once, since a process died, and dial again within 0.71 to 2.4 s.
  double begin = now_ms();
  if (trouble()) record("seven other assigners are killed");
  for (std::size_t k = 0; trouble() && k < kLater; ++k)
    loop.after(fleet.uniform(710, 2400), [&, k] { fleet.join_late(options.zones[k % 3]); });
  // Two batches of the release: the tasks drain, their successors are listed, cold, 1.5 s later, and the
  // former end 4 s after they began to drain.
  for (int batch = 0; batch < 2; ++batch)
    loop.at(begin + 2200 + batch * 5000, [&, batch] {
      std::vector<json> draining;
      for (int k = batch * kBatch; k < (batch + 1) * kBatch; ++k)
        draining.push_back(old_tasks[static_cast<std::size_t>(k)]->entry("terminating", 0));
      if (!discovery.publish(draining)) return;
      record("discovery: %zu tasks drain", draining.size());
      for (const json& entry : draining) told.emplace(entry["uid"], now_ms());
      loop.after(1500, [&, batch] {
        std::vector<json> started;
        for (int k = batch * kBatch; k < (batch + 1) * kBatch; ++k)
          started.push_back(
              make_task(old_tasks[static_cast<std::size_t>(k)]->zone).entry("in_service", wall_ms()));
        discovery.publish(started);
      });
      loop.after(4000, [&, batch] {
        std::vector<json> ended;
        for (int k = batch * kBatch; k < (batch + 1) * kBatch; ++k) {
          old_tasks[static_cast<std::size_t>(k)]->end();
          ended.push_back(old_tasks[static_cast<std::size_t>(k)]->entry("terminated", 0));
        }
        discovery.publish(ended);
        record("discovery: %zu tasks are gone", ended.size());
      });
    });
  loop.run_until(begin + 16000, [&] { return !assigner.running(); });
  bool ran = assigner.running();
  fleet.stopped = true;
  record(
      "requests %d, answered %d, failed %d, refused %d; sent too late to draining or gone tasks: %d, by up "
      "to "
      "%.0f ms, %d of them by proxies that had joined before the drain was told",
      fleet.requests, fleet.answered, fleet.failed, fleet.refused, broken, worst, broken_long_joined);
  assigner.kill();
  if (!ran) return record("the assigner ended"), 2;
  if (fleet.answered < 500) return record("too few requests were answered for a judgement"), 2;
  record(broken ? "RULE BROKEN" : "rule held");
  return broken ? 1 : 0;
}
