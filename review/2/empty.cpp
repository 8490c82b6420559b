// A collector passes on one spoilt report: its field `interval` is out of range. Later, proxies of another
// zone join, as when their own assigner has died. Judged: a joined proxy has a line to pick for every class.
#include "../settings.h"

using namespace review;

int main(int, char** argv) {
  std::string folder = argv[1];
  record_file() = std::fopen(argv[2], "w");
  ::signal(SIGPIPE, SIG_IGN);
  constexpr double kEmptyFor = 5000, kSocketSlack = 300;

  Loop loop;
  Discovery discovery(loop, "127.0.0.1");
  FleetOptions options = small_fleet({"hakata-east", "hakata-west", "tenjin"});
  json configuration = small_configuration(discovery, small_settings(options, 9));
  Assigner assigner(configuration, folder);
  Fleet fleet(loop, options, assigner);
  for (unsigned k = 0; k < 15; ++k) {
    char uid[32];
    std::snprintf(uid, sizeof uid, "s-%08x", 0x5be2a07cU + k * 0x01357911U);
    discovery.set(fleet.add_task(uid, options.zones[k % 3]).entry("in_service", 0));
  }
  for (unsigned k = 0; k < 6; ++k) fleet.add_proxy(options.zones[k % 2]);
  configuration["known"] = discovery.list();
  assigner.write(configuration);
  assigner.start();
  wait_alive(loop, assigner);
  double alive_at = now_ms();

  // Since when a joined proxy has no line for a class; the longest such time.
  std::map<std::pair<int, std::string>, double> without_since;
  double longest = 0;
  bool broken = false;
  loop.every(20, [&] {
    for (auto& proxy : fleet.proxies)
      for (auto& name : options.classes) {
        std::pair<int, std::string> key{proxy->node, name};
        if (!proxy->joined || !proxy->tables[name].empty()) {
          without_since.erase(key);
          continue;
        }
        double since = without_since.try_emplace(key, std::max(now_ms(), alive_at + 1000)).first->second;
        longest = std::max(longest, now_ms() - since);
        if (now_ms() - since <= kEmptyFor + kSocketSlack || std::exchange(broken, true)) continue;
        record("BROKEN: proxy %d has had no task to pick for %s for %.0f ms", proxy->node, name.c_str(),
               now_ms() - since);
      }
  });
  fleet.start();
  loop.run_until(now_ms() + 8000, [&] { return !assigner.running(); });
  if (trouble()) {
    std::string report =
        "{\"t\":\"outcomes\",\"locality\":\"hakata-east\",\"endpoint\":\"s-5be2a07c\",\"total\":12,"
        "\"errors\":0,"
        "\"rtt\":241.7,\"interval\":1e-310}\n";
    record("collector of hakata-east: passes on a spoilt report: %s", report.c_str());
    fleet.collectors["hakata-east"]->send_text(report);
  } else {
    record("the spoilt report is left out (TROUBLE=0)");
  }
  loop.run_until(now_ms() + 6000, [&] { return !assigner.running(); });
  record("three proxies of tenjin join");
  for (int k = 0; k < 3; ++k) fleet.join_late("tenjin");
  loop.run_until(now_ms() + 20000, [&] { return !assigner.running(); });
  bool ran = assigner.running();
  fleet.stopped = true;
  record("requests %d, answered %d, failed %d, refused for want of a task %d; longest without a task %.0f ms",
         fleet.requests, fleet.answered, fleet.failed, fleet.refused, longest);
  assigner.kill();
  if (!ran) return record("the assigner ended"), 2;
  record(broken ? "RULE BROKEN" : "rule held");
  return broken ? 1 : 0;
}
