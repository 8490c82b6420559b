// Six in ten of 50 tasks are replaced within 7 s, one after the other. Judged: no joined proxy sends to a
// task later than the grace after discovery wrote to the assigner that it drains.
#include "../settings.h"

using namespace review;

int main(int, char** argv) {
  std::string folder = argv[1];
  record_file() = std::fopen(argv[2], "w");
  ::signal(SIGPIPE, SIG_IGN);

  constexpr double kGrace = 2000, kSocketSlack = 300;
  Loop loop;
  Discovery discovery(loop, "127.0.0.1");
  FleetOptions options = small_fleet({"hakata"});
  json configuration = small_configuration(discovery, small_settings(options, 9));

  Assigner assigner(configuration, folder);
  Fleet fleet(loop, options, assigner);
  std::vector<std::string> old_tasks;
  for (int k = 0; k < 50; ++k) {
    char uid[32];
    std::snprintf(uid, sizeof uid, "s-%08x", 0x5be2a07cU + static_cast<unsigned>(k) * 0x01357911U);
    discovery.set(fleet.add_task(uid, options.zones[0]).entry("in_service", 0));
    old_tasks.push_back(uid);
  }
  for (int k = 0; k < 9; ++k) fleet.add_proxy(options.zones[0]);
  configuration["known"] = discovery.list();
  assigner.write(configuration);
  assigner.start();
  wait_alive(loop, assigner);
  double alive_at = now_ms();

  std::map<std::string, double> told;  // when discovery wrote to the assigner that the task drains
  int broken = 0;
  double worst = 0;
  fleet.on_send = [&](Proxy& proxy, const std::string& uid, int request) {
    auto found = told.find(uid);
    if (found == told.end() || !proxy.joined) return;
    double begins = std::max({found->second, proxy.joined_at, alive_at + 1000});
    double late = now_ms() - begins - kGrace - kSocketSlack;
    if (late <= 0) return;
    ++broken;
    worst = std::max(worst, late);
    record("BROKEN: proxy %d sends request %d to %s, %.0f ms after discovery told that it drains%s",
           proxy.node, request, uid.c_str(), now_ms() - begins,
           fleet.tasks.at(uid)->ended ? "; the task is gone" : "");
  };
  fleet.start();
  loop.run_until(now_ms() + 1200, [&] { return !assigner.running(); });

  // The replacement: each 7000/30 ms one task begins to drain. Its successor, cold, is listed 0.9 s later. It
  // ends 3.5 s after it began to drain, and is listed as terminated then. Discovery writes once a step.
  constexpr int kReplaced = 30;
  constexpr double kStep = 7000.0 / kReplaced;
  double begin = now_ms();
  record("replacement: %s", trouble() ? "begins" : "left out (TROUBLE=0)");
  for (int step = 0; trouble() && step < kReplaced + 18; ++step)
    loop.at(begin + step * kStep, [&, step] {
      std::vector<json> changed;
      if (step < kReplaced) {
        Task& task = *fleet.tasks.at(old_tasks[static_cast<std::size_t>(step)]);
        changed.push_back(task.entry("terminating", 0));
      }
      if (int k = step - 4; k >= 0 && k < kReplaced) {
        Task& former = *fleet.tasks.at(old_tasks[static_cast<std::size_t>(k)]);
        char uid[32];
        std::snprintf(uid, sizeof uid, "s-%08x", 0x0badcafeU + static_cast<unsigned>(k) * 0x02468aceU);
        changed.push_back(fleet.add_task(uid, former.zone).entry("in_service", wall_ms()));
      }
      if (int k = step - 15; k >= 0 && k < kReplaced) {
        Task& former = *fleet.tasks.at(old_tasks[static_cast<std::size_t>(k)]);
        former.end();
        changed.push_back(former.entry("terminated", 0));
      }
      if (changed.empty() || !discovery.publish(changed)) return;
      for (const json& entry : changed) {
        record("discovery: %s is %s", entry["uid"].get<std::string>().c_str(),
               entry["state"].get<std::string>().c_str());
        if (entry["state"] == "terminating") told.emplace(entry["uid"], now_ms());
      }
    });
  loop.run_until(begin + 16000, [&] { return !assigner.running(); });
  bool ran = assigner.running();
  fleet.stopped = true;
  record(
      "requests %d, answered %d, failed %d, refused %d; sent too late to draining or gone tasks: %d, by up "
      "to %.0f ms",
      fleet.requests, fleet.answered, fleet.failed, fleet.refused, broken, worst);
  assigner.kill();
  if (!ran) return record("the assigner ended"), 2;
  if (fleet.answered < 500) return record("too few requests were answered for a judgement"), 2;
  record(broken ? "RULE BROKEN" : "rule held");
  return broken ? 1 : 0;
}
