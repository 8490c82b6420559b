#include "cli/commands.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <map>
#include <set>
#include <thread>

#include "alerts/rules.h"
#include "assigner/service.h"
#include "assigner/startup_configuration.h"
#include "assigner/state_folder.h"
#include "assigner/streamed_configuration.h"
#include "audit/sabotage.h"
#include "base/file.h"
#include "base/memory.h"
#include "day/player.h"
#include "emulator/emulator.h"
#include "emulator/swarm.h"
#include "experiment/report.h"
#include "experiment/runner.h"
#include "flight_record/replay.h"
#include "gate/gate.h"
#include "load/load.h"
#include "measure/measure.h"
#include "standin/control.h"
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

// A resource as arguments give it.
std::pair<std::string, std::string> type_and_file(const std::string& text) {
  std::size_t mark = text.find('=');
  if (mark == std::string::npos) throw std::runtime_error("'" + text + "' is not type=file");
  return {text.substr(0, mark), text.substr(mark + 1)};
}

std::string own_program() { return std::filesystem::read_symlink("/proc/self/exe").string(); }

struct Kind {
  const config::Source& schema;
  const char* root;
};
Kind kind_of(const std::string& kind) {
  if (kind == "day") return {day::schema(), "#Day"};
  return {assigner::settings_schema(), "#Assigner"};
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
    world.reactor.call_at(world.now() + 1000, forget);
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
  if (files.empty()) throw std::runtime_error("no settings are given to serve by");
  std::function<assigner::MessageInterceptor(const assigner::AssignerSettings&)> interceptor;
  bool no_gate = sabotage == "gate";  // every version that is sound in form is let in
  if (!sabotage.empty() && !no_gate)
    interceptor = [&](const assigner::AssignerSettings& site) { return audit::sabotage(sabotage, site); };
  assigner::serve(read_sources(files), no_gate ? assigner::ConfigurationValidator() : gate::judge,
                  interceptor);
  return kWell;
}

int config_check(const std::vector<std::string>& files, const std::string& kind) {
  if (kind == "day") day::load_day(read_sources(files));
  else assigner::load_assigner_settings(read_sources(files));
  fmt::print("sound: {} file{}\n", files.size(), files.size() == 1 ? "" : "s");
  return kWell;
}

int config_print(const std::vector<std::string>& files, const std::string& kind, bool origins) {
  Kind k = kind_of(kind);
  fmt::print("{}", config::print(config::load(k.schema, k.root, read_sources(files)), origins));
  return kWell;
}

namespace {

assigner::StartupConfiguration beginning_of(const VersionArguments& a) {
  return assigner::load_startup_configuration(read_sources(a.files));
}
std::unique_ptr<config_stream::Disk> versions_of(const assigner::StartupConfiguration& beginning) {
  if (!beginning.settings.control) throw std::runtime_error("these settings name no control service");
  return config_stream::open_folder(assigner::configuration_folder(beginning.settings.state_folder));
}
const config_stream::Version& known(const config_stream::VersionHistory& history, std::uint64_t number) {
  const config_stream::Version* v = history.find_version(number);
  if (!v) throw std::runtime_error(fmt::format("there is no version {} on disk", number));
  return *v;
}

// The running assigner is asked by its admin address; if the state folder is held by none, the records are
// written here.
int change_versions(
    const VersionArguments& a, const std::string& target,
    const std::function<std::vector<config_stream::HistoryRecord>(const config_stream::VersionHistory&)>&
        records) {
  assigner::StartupConfiguration beginning = beginning_of(a);
  auto disk = std::shared_ptr<config_stream::Disk>(versions_of(beginning));
  const std::string& state = beginning.settings.state_folder;
  if (auto lock = assigner::lock_state(state)) {
    config_stream::VersionStore store(disk);
    for (config_stream::HistoryRecord& r : records(store.history())) {
      r.wall_ms = static_cast<std::int64_t>(base::wall_ms());
      r.cause = "by a person, with no assigner running";
      store.add(r);
    }
    fmt::print("written down for the next start\n");
    return kWell;
  }
  if (!beginning.settings.admin)
    throw std::runtime_error(
        "an assigner runs on these settings and they give it no listen.admin to be asked at");
  net::Reactor reactor;
  http::Client client(reactor, {.source = {}});
  int result = kUnusable;
  client.send_request(
      *beginning.settings.admin, http::make_request("POST", target), 5000,
      [&](http::Client::Result&& answer) {
        if (answer.failure != http::Client::Failure::none)
          std::fprintf(stderr, "beamshunt: no answer at %s: %s\n",
                       net::to_string(*beginning.settings.admin).c_str(), answer.detail.c_str());
        else fmt::print("{}", answer.response.body), result = answer.response.status == 200 ? kWell : kBroken;
        reactor.stop();
      });
  reactor.run();
  return result;
}

}  // namespace

int config_history(const VersionArguments& a) {
  auto disk = versions_of(beginning_of(a));
  config_stream::VersionHistory history = config_stream::VersionStore::read_history(*disk);
  for (const config_stream::HistoryRecord& r : history.records()) {
    auto seconds = static_cast<std::time_t>(r.wall_ms / 1000);
    fmt::print("{:%Y-%m-%d %H:%M:%S}  version {} ({:016x}) {}", fmt::gmtime(seconds), r.number, r.hash,
               config_stream::kind_name(r.kind));
    bool back = r.kind == config_stream::HistoryRecord::Kind::reverted ||
                r.kind == config_stream::HistoryRecord::Kind::rolled_back;
    if (back) fmt::print(" to {}", r.to_number == 0 ? "the files" : std::to_string(r.to_number));
    fmt::print("{}\n", r.cause.empty() ? "" : ", " + r.cause);
    for (const config_stream::Reason& reason : r.reasons)
      fmt::print("    {}\n", config_stream::to_string(reason));
  }
  auto number = [](const config_stream::Version* v) { return v ? std::to_string(v->number) : "none"; };
  fmt::print("in force: {}; last good: {}; pinned: {}\n", number(history.active()),
             number(history.last_good()), history.pinned() ? std::to_string(*history.pinned()) : "none");
  return kWell;
}

int config_diff(const VersionArguments& a) {
  auto disk = versions_of(beginning_of(a));
  config_stream::VersionHistory history = config_stream::VersionStore::read_history(*disk);
  std::vector<config::Source> files = read_sources(a.files);
  std::map<std::string, std::string> values[2];
  for (int side : {0, 1}) {
    const config_stream::Version& v = known(history, side == 0 ? a.from : a.to);
    std::vector<config::Source> over;
    for (auto& [key, resource] : v.resources) {
      if (key.type == assigner::kAlertsType) values[side][key.type + "/" + key.name] = resource.body;
      else over.push_back({key.type + "/" + key.name, resource.body});
    }
    config::Tree tree = config::load(assigner::settings_schema(), "#Assigner", files, over);
    for (auto& [path, value] : config::values(tree)) values[side][path] = value;
  }
  std::size_t differences = 0;
  auto line = [&](const std::string& path, const std::string& was, const std::string& is) {
    if (was != is) fmt::print("{}: {} -> {}\n", path, was, is), ++differences;
  };
  for (auto& [path, value] : values[0])
    line(path, value, values[1].contains(path) ? values[1][path] : "(not given)");
  for (auto& [path, value] : values[1])
    if (!values[0].contains(path)) line(path, "(not given)", value);
  fmt::print("{} difference{}\n", differences, differences == 1 ? "" : "s");
  return kWell;
}

int config_rollback(const VersionArguments& a) {
  return change_versions(a, fmt::format("/v1/config/rollback?version={}", a.to),
                         [&](const config_stream::VersionHistory& history) {
                           const config_stream::Version* now = history.active();
                           return config_stream::rollback_records(now ? *now : config_stream::Version{},
                                                                  known(history, a.to));
                         });
}

int config_forgive(const VersionArguments& a) {
  return change_versions(
      a, fmt::format("/v1/config/forgive?version={}", a.to),
      [&](const config_stream::VersionHistory& history) {
        auto hash = history.reverted_hash(a.to);
        if (!hash) throw std::runtime_error(fmt::format("version {} never went back", a.to));
        return std::vector<config_stream::HistoryRecord>{
            {.kind = config_stream::HistoryRecord::Kind::forgiven, .number = a.to, .hash = *hash}};
      });
}

int config_pin(const VersionArguments& a, bool pinned) {
  return change_versions(
      a, pinned ? "/v1/config/pin" : "/v1/config/unpin", [&](const config_stream::VersionHistory& history) {
        const config_stream::Version* now = history.active();
        if (!now) throw std::runtime_error("no streamed version is in force");
        using Kind = config_stream::HistoryRecord::Kind;
        return std::vector<config_stream::HistoryRecord>{
            {.kind = pinned ? Kind::pinned : Kind::unpinned, .number = now->number, .hash = now->hash}};
      });
}

int config_gate(const VersionArguments& a, const std::vector<std::string>& given) {
  config_stream::Resources resources;
  for (const std::string& text : given) {
    auto [type, file] = type_and_file(text);
    resources[{type, file}] = {1, read_source(file).text};
  }
  std::vector<config::Source> files = read_sources(a.files);
  assigner::AssignerSettings now = assigner::load_assigner_settings(files);
  assigner::ComposedSettings c = assigner::compose(files, resources);
  std::vector<config_stream::Reason> reasons = c.reasons;
  assigner::FleetSnapshot nobody;
  if (c.settings) reasons = gate::judge({now, *c.settings, nobody, resources, {}});
  for (const config_stream::Reason& r : reasons) fmt::print("{}\n", config_stream::to_string(r));
  if (reasons.empty()) fmt::print("it would pass, as far as can be said without a fleet\n");
  return reasons.empty() ? kWell : kBroken;
}

int replay(const std::string& file) {
  flight_record::ReplayResult r = flight_record::replay(read_source(file).text);
  if (r.torn_bytes > 0) fmt::print("a torn tail of {} bytes at {} is left out\n", r.torn_bytes, r.torn_at);
  fmt::print("{} runs, {} take-overs, {} versions, {} batches, {} events, {} actions\n", r.runs,
             r.replacements, r.config_changes, r.batches, r.events, r.actions);
  if (!r.same()) fmt::print("differs: {}\n", r.difference);
  else fmt::print("the module decides the same\n");
  return r.same() ? kWell : kBroken;
}

namespace {

void print_nearest(const audit::Verdict& verdict) {
  for (std::size_t k = 0; k < audit::kRules; ++k) {
    auto rule = static_cast<audit::Rule>(k);
    fmt::print("rule {} {}: {} (nearest {:.2f} of the limit{}{})\n", k + 1, audit::rule_text(rule),
               verdict.broke(rule) ? "BROKEN" : "kept", verdict.nearest[k],
               verdict.nearest_text[k].empty() ? "" : ": ", verdict.nearest_text[k]);
  }
}
// The last line of a day, whatever stage it was played on.
std::size_t threads_or_all(std::size_t wanted) {
  return wanted > 0 ? wanted : std::max(1u, std::thread::hardware_concurrency());
}

// Whether the day reaches the service that it expects; says so if not.
bool enough(double service, const day::Day& day) {
  if (service >= day.expect_service) return true;
  fmt::print("service {:.3f}, {} is expected\n", service, day.expect_service);
  return false;
}

bool print_kept(const audit::Verdict& verdict) {
  if (verdict.kept() == audit::kRules) {
    fmt::print("rules kept: {} of {}\n", verdict.kept(), audit::kRules);
    return true;
  }
  std::string last;
  for (const audit::Break& b : verdict.breaks)
    last += fmt::format("{}rule {} at {:.2f} s: {}", last.empty() ? "" : "; ", static_cast<int>(b.rule) + 1,
                        b.at / 1000, b.what);
  fmt::print("rules broken: {}\n", last);
  return false;
}

}  // namespace

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
  print_nearest(r.verdict);
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
  bool versions_well = true;
  if (r.versions) {
    const day::VersionsResult& v = *r.versions;
    for (const std::string& line : v.refusals)
      if (!a.quiet) fmt::print("refused: {}\n", line);
    for (const std::string& line : v.wrong) fmt::print("wrong: {}\n", line);
    for (const std::string& line : v.unconfigured) fmt::print("unconfigured: {}\n", line);
    fmt::print("settings: {} taken, {} refused, {} superseded, {} asked for anew, {} gone back\n", v.taken,
               v.refused, v.superseded, v.resyncs, v.reverted);
    fmt::print("every bad version refused with its reason: {}\n", v.wrong.empty() ? "yes" : "no");
    fmt::print("unconfigured: {}\n", v.unconfigured.empty() ? "never" : "at times");
    versions_well = v.wrong.empty() && v.unconfigured.empty() && v.taken > 0;
  }
  bool served = enough(r.service, day);
  bool kept = print_kept(r.verdict);
  return kept && served && r.differences.empty() && r.refused.empty() && figures_well && versions_well
             ? kWell
             : kBroken;
}

namespace {

int emulate_swarm(const EmulateArguments& a) {
  std::size_t threads = threads_or_all(a.threads);
  emulator::SwarmOptions options{
      .days = a.swarm, .seed = std::max(1ull, a.seed), .threads = threads, .sabotage = a.sabotage};
  base::Ms begun = base::monotonic_ms();
  emulator::SwarmResult r = emulator::swarm(read_sources(a.files), options);
  double s = (base::monotonic_ms() - begun) / 1000;
  for (const emulator::Failure& f : r.failures)
    fmt::print("day {} fails: {}\n// made smaller from {} troubles\n{}", f.seed, f.what, f.troubles_first,
               f.day_file);
  fmt::print(
      "{} days from seed {} in {:.1f} s on {} threads; service {:.3f}, least {:.3f}; fingerprint {:016x}\n",
      r.days, options.seed, s, threads, r.service, r.worst, r.fingerprint);
  fmt::print("days that fail: {}\n", r.failures.size());
  return r.failures.empty() ? kWell : kBroken;
}

}  // namespace

int emulate(const EmulateArguments& a) {
  if (a.swarm > 0) return emulate_swarm(a);
  day::Day day = day::load_day(read_sources(a.files));
  if (a.seed > 0) day.seed = a.seed;
  emulator::EmulateOptions options{.sabotage = a.sabotage, .replay = a.replay, .say = {}};
  if (!a.quiet) {
    fmt::print("day {}: {}\n", day.name, day.about);
    options.say = [](const std::string& line) { fmt::print("{}\n", line); };
  }
  std::vector<alerts::Rule> rules = alerts::read_rules(day.alert_rules);
  if (!rules.empty()) options.rules = &rules;
  options.clock = base::monotonic_ms, options.sample_every = 500;
  base::Ms begun = base::monotonic_ms();
  emulator::Emulated r = emulator::emulate(day, options);
  base::Ms took = base::monotonic_ms() - begun;
  fmt::print(
      "service {:.3f}, worst second {:.3f}; {} asked, {} tries, answers p50 {:.0f} ms, p99 {:.0f} ms; {} "
      "servers fell over\n",
      r.service, r.worst_second, r.asked, r.tries, r.took_50, r.took_99, r.fell_over);
  fmt::print(
      "{} messages of {:.0f} lines, {:.0f} waited at most; orders came p50 {:.0f} ms, p99 {:.0f} ms old\n",
      r.messages, r.lines, r.most_waiting, r.age_50, r.age_99);
  fmt::print(
      "{} events in {:.0f} ms; deciding took {:.1f} ms a second, one turn {:.1f} ms at most; memory at most "
      "{} "
      "MiB\n",
      r.events, took, r.deciding / day.length * 1000, r.longest_decision, base::peak_resident_bytes() >> 20);
  for (const std::string& d : r.differences) fmt::print("flight record differs: {}\n", d);
  for (const std::string& line : r.refused) fmt::print("refused: {}\n", line);
  print_nearest(r.verdict);
  bool served = enough(r.service, day), as_expected = true;
  if (!rules.empty()) {
    std::set<std::string> wanted(day.alerts_expected.begin(), day.alerts_expected.end());
    as_expected = r.alerts == wanted;
    fmt::print("alerts: {}; as expected: {}\n",
               r.alerts.empty() ? "none" : fmt::format("{}", fmt::join(r.alerts, ", ")),
               as_expected ? "yes" : "no");
  }
  return print_kept(r.verdict) && r.differences.empty() && r.refused.empty() && served && as_expected
             ? kWell
             : kBroken;
}

int experiment(const ExperimentArguments& a) {
  experiment::Plan plan = experiment::read_plan(a.file);
  std::filesystem::create_directories(a.to);
  std::string base = a.to + "/" + plan.name;
  if (a.anew) std::filesystem::remove(base + ".runs");
  bool on_terminal = isatty(STDERR_FILENO) != 0;
  base::Ms begun = base::monotonic_ms();
  std::size_t first = 0, said = 0;
  auto progress = [&](std::size_t done, std::size_t all) {
    constexpr std::size_t kWidth = 40, kLines = 10;  // of the bar; without a terminal, a line each tenth
    if (said++ == 0) first = done;
    double took = base::monotonic_ms() - begun;
    std::string left = done > first
                           ? fmt::format(", {:.0f} s left", took / static_cast<double>(done - first) *
                                                                static_cast<double>(all - done) / 1000)
                           : "";
    std::size_t full = all > 0 ? done * kWidth / all : kWidth;
    if (on_terminal)
      fmt::print(stderr, "\r[{:#>{}}{:.>{}}] {} of {} runs{}   ", "", full, "", kWidth - full, done, all,
                 left);
    else if (said == 1 || done * kLines / all != (done - 1) * kLines / all)
      fmt::print(stderr, "{} of {} runs{}\n", done, all, left);
  };
  std::size_t threads = threads_or_all(a.threads);
  experiment::Results r = experiment::run(plan, {base + ".runs", threads, progress});
  if (on_terminal) fmt::print(stderr, "\n");
  experiment::write_results(base + ".h5", r);
  std::size_t broken = 0;
  for (const experiment::Row& row : r.rows) broken += experiment::rules_broken(row);
  fmt::print("{}.h5: {} runs; rules broken in {}\n", base, r.rows.size(), broken);
  return kWell;
}

int plot(const ExperimentArguments& a) {
  experiment::Results r = experiment::read_results(a.file);
  std::filesystem::create_directories(a.to);
  std::vector<std::string> left = a.plots;
  for (const experiment::PlotWanted& p : experiment::plots_of(r.experiment, r.name)) {
    if (!a.plots.empty() && std::erase(left, p.name) == 0) continue;
    std::string path = fmt::format("{}/{}-{}.{}", a.to, r.name, p.name, a.png ? "png" : "svg");
    base::replace_file(
        path, experiment::picture(r, p, a.png ? experiment::Picture::png : experiment::Picture::svg));
    fmt::print("{}\n", path);
  }
  if (!left.empty())
    throw std::runtime_error("experiment " + r.name + " has no plot \"" + left.front() + "\"");
  return kWell;
}

int report(const ExperimentArguments& a) {
  base::replace_file(a.to, experiment::page(experiment::read_results(a.file)));
  fmt::print("{}\n", a.to);
  return kWell;
}

int load(const LoadArguments& a) {
  net::Reactor::block_signals({SIGPIPE});
  load::LoadOptions o{
      .rate = {a.rate, *load::shape_named(a.shape), a.times, a.period_s * 1000, a.seconds * 1000},
      .seed = a.seed,
      .work = a.work_ms,
      .request_class = a.request_class,
      .keyed = a.keyed,
      .deadline = a.deadline_ms,
      .within = a.within_ms,
      .most_open = a.most_open};
  for (const std::string& to : a.to) o.to.push_back(address(to, "to"));
  if (!a.from.empty()) o.from = address(a.from, "--from");
  net::Reactor reactor;
  load::Loaded r = load::run(reactor, o, [](const load::Loaded& so_far) {
    fmt::print(stderr, "{} due, {} good, {} refused, {} late\n", so_far.due, so_far.good, so_far.refused,
               so_far.late);
  });
  auto part = [&](std::size_t n) {
    return r.due > 0 ? 100.0 * static_cast<double>(n) / static_cast<double>(r.due) : 0;
  };
  fmt::print(
      "{} due; {:.2f}% in time, {:.2f}% good, {:.2f}% refused, {:.2f}% errors, {:.2f}% late, {:.2f}% broken, "
      "{:.2f}% not sent\n",
      r.due, part(r.in_time), part(r.good), part(r.refused), part(r.errors), part(r.late), part(r.broken),
      part(r.not_sent));
  auto line = [](const char* name, const load::Latencies& l) {
    fmt::print("{}: p50 {:.2f}, p90 {:.2f}, p99 {:.2f}, p99.9 {:.2f}, most {:.2f} ms\n", name, l.p50, l.p90,
               l.p99, l.p999, l.most);
  };
  line("since due ", r.since_due), line("since sent", r.since_sent);
  fmt::print("this tool sent {:.2f} ms late at most\n", r.latest_start);
  return r.good == r.due ? kWell : kBroken;
}

int alerts_check(const std::vector<std::string>& files) {
  std::vector<alerts::Rule> rules = alerts::read_rules(files);
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
  else if (a.emulator) measure::measure_emulator();
  else if (a.config) measure::measure_config({own_program(), a.active, a.idle, a.servers, a.seconds});
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
    if (second == std::string::npos)
      throw std::runtime_error("--server '" + given + "' is not id=locality=address");
    list.change({.id = static_cast<std::uint32_t>(std::stoul(given.substr(0, first))),
                 .locality = locality_of(a, given.substr(first + 1, second - first - 1)),
                 .address = address(given.substr(second + 1), "--server")},
                0);
  }
  run(world);
  return kWell;
}

int standin_control(const StandinArguments& a) {
  standin::World world;
  set_up(world, a);
  standin::ControlService service(world, address(a.address, "--address"), a.origin);
  std::vector<std::map<config_stream::Key, std::string>> versions;
  for (const std::string& offer : a.offers) {
    auto [type, file] = type_and_file(offer);
    versions.push_back({{{type, "site"}, read_source(file).text}});
  }
  std::size_t told = 0, printed = 0;
  base::Ms next = 0;
  std::function<void()> step = [&] {
    if (told < versions.size() && service.subscribers() > 0 && world.now() >= next) {
      service.publish(versions[told++]);
      next = world.now() + a.every_ms;
    }
    for (; printed < service.answers().size(); ++printed) {
      constexpr const char* kVerdicts[] = {"ack", "nack", "superseded", "resync", "reverted"};
      const config_stream::Answer& answer = service.answers()[printed].answer;
      fmt::print("assigner {}: version {} {}, {} in force\n", service.answers()[printed].instance,
                 answer.number, kVerdicts[static_cast<std::size_t>(answer.verdict)], answer.in_force);
      for (const config_stream::Reason& r : answer.reasons)
        fmt::print("    {}\n", config_stream::to_string(r));
      std::fflush(stdout);
    }
    world.reactor.call_at(world.now() + 20, step);
  };
  step();
  run(world);
  return kWell;
}

int standin_receiver(const StandinArguments& a) {
  constexpr base::Ms kLook = 1000;
  standin::World world;
  set_up(world, a);
  standin::Receiver receiver(world, address(a.address, "--address"));
  std::vector<alerts::Rule> rules = alerts::read_rules(a.rules);
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
