// A collector passes on one spoilt report: its field `total` is of the wrong type, lists within lists.
// Judged: the assigner drops it and lives on.
#include "../settings.h"

using namespace review;

int main(int, char** argv) {
  std::string folder = argv[1];
  record_file() = std::fopen(argv[2], "w");
  ::signal(SIGPIPE, SIG_IGN);
  constexpr std::size_t kDepth = 400000;  // 800 kB; a message may hold 1 MiB

  Loop loop;
  Discovery discovery(loop, "127.0.0.1");
  FleetOptions options = small_fleet({"hakata-east", "hakata-west", "tenjin"});
  json configuration = small_configuration(discovery, small_settings(options, 6));
  Assigner assigner(configuration, folder);
  Fleet fleet(loop, options, assigner);
  for (unsigned k = 0; k < 15; ++k) {
    char uid[32];
    std::snprintf(uid, sizeof uid, "s-%08x", 0x5be2a07cU + k * 0x01357911U);
    discovery.set(fleet.add_task(uid, options.zones[k % 3]).entry("in_service", 0));
  }
  for (unsigned k = 0; k < 6; ++k) fleet.add_proxy(options.zones[k % 3]);
  configuration["known"] = discovery.list();
  assigner.write(configuration);
  assigner.start();
  wait_alive(loop, assigner);
  fleet.start();
  loop.run_until(now_ms() + 6000, [&] { return !assigner.running(); });
  if (!assigner.running()) return record("the assigner ended before the disruption"), 2;
  if (trouble()) {
    std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    std::string report =
        "{\"t\":\"outcomes\",\"locality\":\"tenjin\",\"endpoint\":\"s-5be2a07c\",\"total\":" + nested +
        ",\"errors\":0,\"rtt\":41.7,\"interval\":500.0}\n";
    record("collector of tenjin: passes on a spoilt report of %zu bytes, `total` is a list", report.size());
    fleet.collectors["tenjin"]->send_text(report);
  } else {
    record("the spoilt report is left out (TROUBLE=0)");
  }
  loop.run_until(now_ms() + 6000, [&] { return !assigner.running(); });
  bool ran = assigner.running();
  fleet.stopped = true;
  record("requests %d, answered %d; the assigner %s", fleet.requests, fleet.answered,
         ran ? "runs" : "has crashed");
  if (ran) wait_alive(loop, assigner);
  assigner.kill();
  record(ran ? "rule held" : "RULE BROKEN");
  return ran ? 0 : 1;
}
