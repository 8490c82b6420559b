// The command line beyond serving: looking at settings, days, experiments, measurements, stand-ins.
#include <CLI/CLI.hpp>

#include "cli/commands.h"

namespace beamshunt::cli {

int with_tools(CLI::App& app, int& result, const std::function<int()>& parse) {
  std::vector<std::string> files;
  std::string kind = "assigner", file;
  auto add_files = [&](CLI::App* command) {
    command->add_option("files", files, "settings, one file or several that unify")->required();
  };

  auto* config = app.add_subcommand("config", "look at settings without running them");
  config->require_subcommand(1);
  auto* check = config->add_subcommand("check", "say whether settings are sound, or all that is wrong");
  add_files(check);
  check->add_option("--kind", kind, "what the files describe")->check(CLI::IsMember({"assigner", "day"}));
  check->footer("Example: beamshunt config check --kind day days/bad-day.cue");
  check->callback([&] { result = config_check(files, kind); });
  auto* print = config->add_subcommand("print", "the effective settings, each with where it came from");
  bool bare = false;
  add_files(print);
  print->add_option("--kind", kind, "what the files describe")->check(CLI::IsMember({"assigner", "day"}));
  print->add_flag("--bare", bare, "without origins");
  print->callback([&] { result = config_print(files, kind, !bare); });

  VersionArguments versions;
  auto add_versions = [&](const char* name, const char* about) {
    auto* command = config->add_subcommand(name, about);
    command->add_option("files", versions.files, "the assigner's settings")->required();
    return command;
  };
  auto* history = add_versions("history", "the streamed versions that are kept, and what became of them");
  history->callback([&] { result = config_history(versions); });
  auto* diff = add_versions("diff", "what two streamed versions give otherwise");
  diff->add_option("--from", versions.from, "a version")->required();
  diff->add_option("--to", versions.to, "another one")->required();
  diff->callback([&] { result = config_diff(versions); });
  auto* rollback = add_versions("rollback", "go back to a version and pin it");
  rollback->add_option("--to", versions.to, "the version")->required();
  rollback->footer("Example: beamshunt config rollback deploy/assigner.cue --to 41");
  rollback->callback([&] { result = config_rollback(versions); });
  auto* pin = add_versions("pin", "take no other version than the one in force");
  pin->callback([&] { result = config_pin(versions, true); });
  auto* unpin = add_versions("unpin", "let the control service rule again");
  unpin->callback([&] { result = config_pin(versions, false); });
  auto* forgive = add_versions("forgive", "let the content of a version that went back be tried again");
  forgive->add_option("--version", versions.to, "the version")->required();
  forgive->callback([&] { result = config_forgive(versions); });
  std::vector<std::string> resources;
  auto* gate_command = add_versions("gate", "what the gate says of resources, without a fleet");
  gate_command->add_option("--resource", resources, "type=file, any number of them")->required();
  gate_command->footer("Example: beamshunt config gate deploy/assigner.cue --resource limits=limits.cue");
  gate_command->callback([&] { result = config_gate(versions, resources); });

  auto* replay_command = app.add_subcommand("replay", "feed a flight record to the module again");
  replay_command->add_option("file", file, "the record")->required();
  replay_command->footer("Exit code 1: the module decides otherwise; the first difference is shown.");
  replay_command->callback([&] { result = replay(file); });

  DayArguments day_arguments;
  auto* day_command = app.add_subcommand("day", "play a scripted day on loopback and judge the five rules");
  day_command->add_option("files", day_arguments.files, "the day, one file or several that unify")
      ->required();
  day_command
      ->add_option("--sabotage", day_arguments.sabotage, "break a rule on purpose; the audit must see it")
      ->check(CLI::IsMember({"drain", "twice", "cold", "queue", "empty", "gate"}));
  day_command->add_option("--folder", day_arguments.folder, "for the assigners' files; kept");
  day_command->add_option("--program", day_arguments.program, "the assigners' program, if not this one");
  day_command->add_flag("--keep", day_arguments.keep, "keep the assigners' files");
  day_command->add_flag("--quiet", day_arguments.quiet, "only the result");
  day_command->footer("Example: beamshunt day days/bad-day.cue --sabotage drain");
  day_command->callback([&] { result = day(day_arguments); });

  EmulateArguments e;
  auto* emulate_command =
      app.add_subcommand("emulate", "play a scripted day in simulated time, the same code deciding");
  emulate_command->add_option("files", e.files, "the day, one file or several that unify")->required();
  emulate_command->add_option("--sabotage", e.sabotage, "break a rule on purpose; the audit must see it")
      ->check(CLI::IsMember({"drain", "twice", "cold", "queue", "empty"}));
  emulate_command->add_flag("--replay", e.replay, "play the flight records again");
  emulate_command->add_flag("--quiet", e.quiet, "only the result");
  emulate_command->add_option("--swarm", e.swarm, "draw so many days on the stage that the files give");
  emulate_command->add_option("--seed", e.seed, "of the day, or of the first of a swarm");
  emulate_command->add_option("--threads", e.threads, "days side by side; all cores if not given");
  emulate_command->footer("Example: beamshunt emulate days/stage.cue days/bad-day.cue");
  emulate_command->callback([&] { result = emulate(e); });

  ExperimentArguments x;
  auto* experiment_command =
      app.add_subcommand("experiment", "sweep a day's settings and policies over seeds, in simulated time");
  experiment_command->add_option("file", x.file, "the experiment")->required();
  experiment_command->add_option("--out", x.to, "folder for the results; runs that are there stay");
  experiment_command->add_option("--threads", x.threads, "runs side by side; all cores if not given");
  experiment_command->add_flag("--anew", x.anew, "forget the runs that are there");
  experiment_command->footer("Example: beamshunt experiment experiments/proxies.cue --out /tmp/proxies");
  experiment_command->callback([&] { result = experiment(x); });
  auto* plot_command = app.add_subcommand("plot", "draw the plots that an experiment asks for");
  plot_command->add_option("file", x.file, "results, NAME.h5")->required();
  plot_command->add_option("--plot", x.plots, "only these, by name");
  plot_command->add_option("--out", x.to, "folder for the pictures");
  plot_command->add_flag("--png", x.png, "PNG instead of SVG");
  plot_command->callback([&] { result = plot(x); });
  auto* report_command = app.add_subcommand("report", "one page with an experiment's plots and figures");
  report_command->add_option("file", x.file, "results, NAME.h5")->required();
  report_command->add_option("--out", x.to, "the page, an HTML file")->required();
  report_command->callback([&] { result = report(x); });

  LoadArguments l;
  auto* load_command = app.add_subcommand(
      "load",
      "open-loop traffic to servers or proxies on sockets; latency counts from when a request was due");
  load_command->add_option("to", l.to, "addresses, in turn")->required();
  load_command->add_option("--rate", l.rate, "requests a second, on average")->check(CLI::Range(0.1, 1e6));
  load_command->add_option("--seconds", l.seconds, "how long")->check(CLI::Range(0.1, 1e6));
  load_command->add_option("--shape", l.shape, "of the rate by time")
      ->check(CLI::IsMember({"constant", "burst", "ramp", "wave"}));
  load_command->add_option("--times", l.times, "a burst's or a crest's rate over the mean")
      ->check(CLI::Range(1.0, 10.0));
  load_command->add_option("--period", l.period_s, "of bursts and waves, s")->check(CLI::Range(0.1, 1e6));
  load_command->add_option("--work-ms", l.work_ms, "mean work of a request")->check(CLI::Range(0.0, 1e6));
  load_command->add_option("--class", l.request_class, "by number");
  load_command->add_flag("--keyed", l.keyed, "give each request a key of its own");
  load_command->add_option("--deadline-ms", l.deadline_ms, "given up then")->check(CLI::Range(1.0, 1e6));
  load_command->add_option("--within-ms", l.within_ms, "what counts as in time")->check(CLI::Range(0.0, 1e6));
  load_command->add_option("--most-open", l.most_open, "requests out at once")->check(CLI::Range(1, 1000000));
  load_command->add_option("--seed", l.seed), load_command->add_option("--from", l.from, "source address");
  load_command->footer("Example: beamshunt load 127.0.0.1:8000 --rate 200 --shape burst --seconds 30");
  load_command->callback([&] { result = load(l); });

  auto* alerts = app.add_subcommand("alerts", "alert rules, without a server for them");
  alerts->require_subcommand(1);
  auto* alerts_check_command = alerts->add_subcommand("check", "hold rules against what the program exports");
  alerts_check_command->add_option("files", files, "rule files")->required();
  alerts_check_command->footer("Example: beamshunt alerts check alerts/beamshunt.yml");
  alerts_check_command->callback([&] { result = alerts_check(files); });
  auto* alerts_test_command =
      alerts->add_subcommand("test", "run unit-test files, as promtool's users know them");
  alerts_test_command->add_option("files", files, "test files")->required();
  alerts_test_command->footer("Example: beamshunt alerts test alerts/beamshunt_test.yml");
  alerts_test_command->callback([&] { result = alerts_test(files); });

  MeasureArguments m;
  auto* measure_command =
      app.add_subcommand("measure", "one assigner on loopback, beside an echo floor; CSV");
  measure_command->add_option("--active", m.active, "streams that report and are ordered");
  measure_command->add_option("--idle", m.idle, "streams that only live");
  measure_command->add_option("--servers", m.servers, "on the list");
  measure_command->add_option("--seconds", m.seconds, "of each measurement");
  measure_command->add_flag("--metrics", m.metrics, "the path of figures instead: encoding and buffer");
  measure_command->add_flag("--config", m.config, "versions of streamed settings instead");
  measure_command->add_flag("--emulator", m.emulator, "simulated time instead, beside an ideal loop");
  measure_command->add_option("--echo", m.echo, "be the floor at this address")->group("");
  measure_command->callback([&] { result = measure(m); });

  StandinArguments s;
  auto* standin = app.add_subcommand("standin", "run one stand-in by itself");
  standin->require_subcommand(1);
  auto common = [&](CLI::App* command) {
    command->add_option("--address", s.address, "where it listens, such as 127.0.0.1:8000")->required();
    command->add_option("--localities", s.localities, "all of the site's, in order");
    command->add_option("--prefix", s.prefixes, "of each locality, in the same order");
  };
  auto* server =
      standin->add_subcommand("server", "a server: POST /request does work, GET /probe tells its load");
  common(server);
  server->add_option("--id", s.id), server->add_option("--locality", s.locality);
  server->add_option("--cell", s.cell), server->add_option("--cores", s.cores);
  server->add_option("--speed", s.speed), server->add_flag("--cold", s.cold);
  server->add_option("--start-capacity", s.start_capacity), server->add_option("--warm-up-ms", s.warm_up_ms);
  server->callback([&] { result = standin_server(s); });
  auto* proxy = standin->add_subcommand("proxy", "a proxy that does as its assigner says");
  common(proxy);
  proxy->add_option("--id", s.id), proxy->add_option("--locality", s.locality);
  proxy->add_option("--rate", s.rate, "requests a second it usually receives");
  proxy->add_option("--assigner", s.assigner, "its address")->required();
  proxy->callback([&] { result = standin_proxy(s); });
  auto* list = standin->add_subcommand("list", "a discovery service");
  common(list);
  list->add_option("--server", s.servers, "id=locality=address, any number of them");
  list->callback([&] { result = standin_list(s); });

  auto* control = standin->add_subcommand("control", "a configuration service that tells versions in turn");
  common(control);
  control->add_option("--origin", s.origin, "of its versions");
  control->add_option("--offer", s.offers, "type=file: the next version changes this resource")->required();
  control->add_option("--every-ms", s.every_ms, "between versions, from the first subscriber on");
  control->callback([&] { result = standin_control(s); });

  auto* receiver = standin->add_subcommand("receiver", "a remote write receiver that evaluates alert rules");
  common(receiver);
  receiver->add_option("--rules", s.rules, "rule files");
  receiver->callback([&] { result = standin_receiver(s); });

  return parse();
}

}  // namespace beamshunt::cli
