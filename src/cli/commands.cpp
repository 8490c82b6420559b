#include "cli/commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>

#include "alerts/rules.h"
#include "assigner/service.h"
#include "audit/sabotage.h"
#include "base/file.h"
#include "day/player.h"
#include "measure/measure.h"
#include "record/record.h"
#include "standin/list.h"
#include "standin/proxy.h"
#include "standin/receiver.h"
#include "standin/server.h"

namespace beamshunt::cli {
namespace {

config::Source read_source(const std::string& file) {
  auto text = base::read_file(file);
  if (!text) throw std::runtime_error("cannot open " + file + ": there is no such file");
  return {file, std::move(*text)};
}
std::vector<config::Source> read_sources(const std::vector<std::string>& files) {
  std::vector<config::Source> out;
  for (const std::string& file : files) out.push_back(read_source(file));
  return out;
}

std::string own_program() { return std::filesystem::read_symlink("/proc/self/exe").string(); }

struct Kind {
  const config::Source& schema;
  const char* root;
};
Kind kind_of(const std::string& kind) {
  if (kind == "day") return {day::schema(), "#Day"};
  return {assigner::schema(), "#Assigner"};
}

net::Address address(const std::string& text, const char* what) {
  auto a = net::parse_address(text);
  if (!a) throw std::runtime_error(fmt::format("{} '{}' is no address such as 127.0.0.1:7000", what, text));
  return *a;
}

// A world of its own for one stand-in, until a signal ends it.
void set_up(standin::World& world, const StandinArguments& a) {
  if (a.prefixes.size() != a.localities.size())
    throw std::runtime_error("as many --prefix as --localities are needed");
  for (std::size_t z = 0; z < a.prefixes.size(); ++z)
    if (auto reason = world.locality_of.add(a.prefixes[z], static_cast<std::uint32_t>(z)))
      throw std::runtime_error(*reason);
  for (int signal : {SIGTERM, SIGINT}) world.reactor.on_signal(signal, [&world] { world.reactor.stop(); });
}
// Alone, nobody judges the taps: they are let go.
void run(standin::World& world) {
  std::function<void()> forget = [&] {
    world.taps.entries.clear();
    world.reactor.at(world.now() + 1000, forget);
  };
  forget();
  world.reactor.run();
}
std::uint32_t locality_of(const StandinArguments& a, const std::string& name) {
  for (std::size_t z = 0; z < a.localities.size(); ++z)
    if (a.localities[z] == name) return static_cast<std::uint32_t>(z);
  throw std::runtime_error("locality '" + name + "' is not among --localities");
}

}  // namespace

int serve(const std::vector<std::string>& files, const std::string& sabotage) {
  assigner::Site site = assigner::load_site(read_sources(files));
  assigner::serve(site, sabotage.empty() ? nullptr : audit::sabotage(sabotage, site));
  return kWell;
}

int config_check(const std::vector<std::string>& files, const std::string& kind) {
  if (kind == "day") day::load_day(read_sources(files));
  else assigner::load_site(read_sources(files));
  fmt::print("sound: {} file{}\n", files.size(), files.size() == 1 ? "" : "s");
  return kWell;
}

int config_print(const std::vector<std::string>& files, const std::string& kind, bool origins) {
  Kind k = kind_of(kind);
  fmt::print("{}", config::print(config::load(k.schema, k.root, read_sources(files)), origins));
  return kWell;
}

int replay(const std::string& file) {
  record::Replay r = record::replay(read_source(file).text);
  if (r.torn_bytes > 0) fmt::print("a torn tail of {} bytes at {} is left out\n", r.torn_bytes, r.torn_at);
  fmt::print("{} runs, {} batches, {} events, {} actions\n", r.runs, r.batches, r.events, r.actions);
  if (!r.same()) fmt::print("differs: {}\n", r.difference);
  else fmt::print("the module decides the same\n");
  return r.same() ? kWell : kBroken;
}

int day(const DayArguments& a) {
  day::Day day = day::load_day(read_sources(a.files));
  if (!a.quiet) fmt::print("day {}: {}\n", day.name, day.about);
  day::PlayOptions options;
  options.program = a.program.empty() ? own_program() : a.program;
  options.sabotage = a.sabotage;
  options.folder = a.folder;
  options.keep = a.keep;
  if (!a.quiet) {
    options.say = [](const std::string& line) {
      fmt::print("{}\n", line);
      std::fflush(stdout);
    };
  }
  day::Result r = day::play(day, options);
  fmt::print("service {:.3f}; {} tries, {} messages, {} servers fell over; {} flight records replayed\n",
             r.service, r.tries, r.messages, r.fell_over, r.replayed);
  for (const std::string& d : r.differences) fmt::print("flight record differs: {}\n", d);
  for (std::size_t k = 0; k < audit::kRules; ++k) {
    auto rule = static_cast<audit::Rule>(k);
    fmt::print("rule {} {}: {} (nearest {:.2f} of the limit{}{})\n", k + 1, audit::rule_text(rule),
               r.verdict.broke(rule) ? "BROKEN" : "kept", r.verdict.nearest[k],
               r.verdict.nearest_text[k].empty() ? "" : ": ", r.verdict.nearest_text[k]);
  }
  for (const std::string& line : r.refused) fmt::print("refused: {}\n", line);
  bool figures_well = true;
  if (day.receiver) {
    fmt::print("figures: {} samples, {} repeated; alerts: {}\n", r.samples, r.repeated,
               r.alerts.empty() ? "none" : fmt::format("{}", fmt::join(r.alerts, ", ")));
    for (const std::string& line : r.sender_faults) fmt::print("against the specification: {}\n", line);
    for (const std::string& line : r.gaps) fmt::print("gap: {}\n", line);
    std::vector<std::string> fired = r.alerts, wanted = day.alerts_expected;
    std::sort(fired.begin(), fired.end()), std::sort(wanted.begin(), wanted.end());
    fmt::print("alerts as expected: {}\n", fired == wanted ? "yes" : "no");
    fmt::print("series without gaps: {}\n", r.gaps.empty() ? "yes" : "no");
    figures_well = r.gaps.empty() && r.sender_faults.empty() && fired == wanted;
  }
  if (r.verdict.kept() == audit::kRules) {
    fmt::print("rules kept: {} of {}\n", r.verdict.kept(), audit::kRules);
    return r.differences.empty() && r.refused.empty() && figures_well ? kWell : kBroken;
  }
  std::string last;
  for (const audit::Break& b : r.verdict.breaks)
    last += fmt::format("{}rule {} at {:.2f} s: {}", last.empty() ? "" : "; ", static_cast<int>(b.rule) + 1,
                        b.at / 1000, b.what);
  fmt::print("rules broken: {}\n", last);
  return kBroken;
}

int alerts_check(const std::vector<std::string>& files) {
  std::vector<alerts::Rule> rules;
  for (const std::string& file : files)
    for (alerts::Rule& rule : alerts::read_rules(file)) rules.push_back(std::move(rule));
  std::vector<std::string> wrong = alerts::check_rules(rules, alerts::all_exported());
  for (const std::string& line : wrong) fmt::print("{}\n", line);
  if (wrong.empty()) fmt::print("sound: {} alerts\n", rules.size());
  return wrong.empty() ? kWell : kBroken;
}

int alerts_test(const std::vector<std::string>& files) {
  std::size_t checks = 0, failures = 0;
  for (const std::string& file : files)
    for (const std::string& line : alerts::test_rules(file, checks)) fmt::print("{}\n", line), ++failures;
  fmt::print("{} checks, {} failed\n", checks, failures);
  return failures == 0 ? kWell : kBroken;
}

int measure(const MeasureArguments& a) {
  if (a.metrics) measure::measure_metrics(a.seconds / 10);
  else if (a.echo.empty()) measure::measure_channel({own_program(), a.active, a.idle, a.servers, a.seconds});
  else measure::echo(a.echo);
  return kWell;
}

int standin_server(const StandinArguments& a) {
  standin::World world;
  set_up(world, a);
  standin::ServerSpec spec{.id = a.id,
                           .locality = locality_of(a, a.locality),
                           .cell = a.cell,
                           .cores = a.cores,
                           .speed = a.speed,
                           .start_capacity = a.start_capacity,
                           .warm_up = a.warm_up_ms};
  standin::Server server(world, spec, address(a.address, "--address"), std::make_shared<standin::Pod>(), 3000,
                         a.id);
  server.start(a.cold);
  run(world);
  return kWell;
}

int standin_proxy(const StandinArguments& a) {
  standin::World world;
  set_up(world, a);
  constexpr base::Ms kSlo = 1000, kDeadline = 3000;  // of every class: a stand-in alone knows no site
  constexpr std::size_t kClasses = 8;
  standin::ProxySpec spec{.id = a.id,
                          .locality = locality_of(a, a.locality),
                          .locality_name = a.locality,
                          .classes = kClasses,
                          .seed = a.id + 1};
  standin::ProxyOptions options;
  options.front = address(a.address, "--address");
  options.assigners = {{0, 0, address(a.assigner, "--assigner")}};
  options.slo.assign(kClasses, kSlo), options.deadline.assign(kClasses, kDeadline);
  options.usual_rate = a.rate;
  standin::Proxy proxy(world, spec, options, static_cast<std::uint64_t>(base::wall_ms()));
  run(world);
  return kWell;
}

int standin_list(const StandinArguments& a) {
  standin::World world;
  set_up(world, a);
  standin::ListService list(world, address(a.address, "--address"), a.localities);
  for (const std::string& given : a.servers) {
    std::size_t first = given.find('='), second = given.find('=', first + 1);
    if (second == given.npos) throw std::runtime_error("--server '" + given + "' is not id=locality=address");
    list.change({.id = static_cast<std::uint32_t>(std::stoul(given.substr(0, first))),
                 .locality = locality_of(a, given.substr(first + 1, second - first - 1)),
                 .address = address(given.substr(second + 1), "--server")},
                0);
  }
  run(world);
  return kWell;
}

int standin_receiver(const StandinArguments& a) {
  constexpr base::Ms kLook = 1000;
  standin::World world;
  set_up(world, a);
  standin::Receiver receiver(world, address(a.address, "--address"));
  std::vector<alerts::Rule> rules;
  for (const std::string& file : a.rules)
    for (alerts::Rule& rule : alerts::read_rules(file)) rules.push_back(std::move(rule));
  receiver.watch(std::move(rules), kLook, [](const alerts::Alert& alert) {
    fmt::print("firing {} since {} ms: {}\n", alert.name, alert.active_since_ms,
               alert.annotations.contains("summary") ? alert.annotations.at("summary") : "");
    std::fflush(stdout);
  });
  run(world);
  fmt::print("{} requests, {} samples, {} repeated\n", receiver.requests(), receiver.samples(),
             receiver.repeated());
  for (const std::string& fault : receiver.faults_of_sender()) fmt::print("the sender's fault: {}\n", fault);
  return receiver.faults_of_sender().empty() ? kWell : kBroken;
}

}  // namespace beamshunt::cli
