#include "day/player.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>

#include "base/file.h"
#include "day/script.h"
#include "flight_record/replay.h"
#include "process/child.h"
#include "standin/list.h"
#include "standin/proxy.h"
#include "standin/receiver.h"
#include "standin/server.h"

namespace beamshunt::day {
namespace {

using namespace standin;

constexpr Ms kWindDown = 1500;     // after the traffic: what is out comes home
constexpr Ms kJoinWithin = 10000;  // all proxies must have joined once, or the day can't be played
constexpr Ms kStopWithin = 5000;
constexpr Ms kStartWithin = 1000;  // of an assigner's process, until its first figures
constexpr Ms kLookLate = 800;      // that a busy machine may let figures wait
constexpr Ms kClockLook = 20;      // between looks for steps of the wall clock
constexpr std::uint16_t kFrontPort = 9000, kServerPort = 8000, kChannelPort = 7000, kListPort = 7100,
                        kReceiverPort = 9090, kControlPort = 7300;

// Days may be played side by side: each takes a block of 127/8 of its own, a /16 a locality.
class Addresses {
 public:
  explicit Addresses(std::size_t localities) {
    for (std::uint32_t base = 16; base + localities < 250; base += 12) {
      std::string path =
          fmt::format("{}/beamshunt-day-{}.lock", std::filesystem::temp_directory_path().string(), base);
      lock_.reset(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666));
      if (lock_ && ::flock(lock_.get(), LOCK_EX | LOCK_NB) == 0) {
        base_ = base;
        return;
      }
    }
    throw std::runtime_error("no block of loopback addresses is free: too many days are played at once");
  }
  std::uint32_t ip(std::uint32_t locality, std::uint32_t kind, std::uint32_t number) const {
    return 127u << 24 | (base_ + locality) << 16 | kind << 8 | number;
  }
  std::string prefix(std::uint32_t locality) const { return fmt::format("127.{}.0.0/16", base_ + locality); }
  // Kinds: 0 assigners, 1 proxies, 2 servers, 3 clients, 250 the list.

 private:
  net::Fd lock_;
  std::uint32_t base_ = 0;
};

class Folder {
 public:
  Folder(const std::string& given, bool keep) : path_(given), keep_(keep || !given.empty()) {
    if (path_.empty()) {
      std::string pattern = (std::filesystem::temp_directory_path() / "beamshunt-day-XXXXXX").string();
      if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot make a folder at " + pattern);
      path_ = pattern;
    }
    std::filesystem::create_directories(path_);
  }
  ~Folder() {
    std::error_code none;
    if (!keep_) std::filesystem::remove_all(path_, none);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
  bool keep_;
};

class Player final : private Stage {
 public:
  Player(const Day& day, const PlayOptions& options)
      : day_(day),
        options_(options),
        addresses_(day.policy.localities.size()),
        folder_(options.folder, options.keep),
        random_(day.seed) {}

  Result play() {
    build();
    world_.reactor.run();
    if (!failure_.empty()) throw std::runtime_error(failure_);
    return result();
  }

 private:
  struct ServerRun {
    std::unique_ptr<Server> server;
    Listing listing;
  };
  struct ProxyRun {
    std::unique_ptr<Proxy> proxy;
    std::uint32_t locality = 0, number = 0, incarnation = 1;
    Ms gone_at = -1;  // its process died; clients go on asking for a while
    net::Address front{};
  };

  std::size_t localities() const { return day_.policy.localities.size(); }
  const std::string& locality_name(std::uint32_t z) const { return day_.policy.localities[z]; }

  // ---- The stage ----
  void build() {
    zero_ = world_.now() + day_.calm;
    for (std::uint32_t z = 0; z < localities(); ++z)
      if (auto reason = world_.locality_of.add(addresses_.prefix(z), z)) throw std::logic_error(*reason);
    list_ = std::make_unique<ListService>(world_, net::Address{addresses_.ip(0, 250, 1), kListPort},
                                          day_.policy.localities);
    if (day_.receiver) open_receiver();
    if (day_.controls > 0) {
      std::vector<net::Address> at;
      for (int k = 0; k < day_.controls; ++k)
        at.push_back({addresses_.ip(0, 252, static_cast<std::uint32_t>(k) + 1), kControlPort});
      versions_ = std::make_unique<Versions>(world_, at);
    }
    for (const ServerGroup& group : day_.servers)
      for (int k = 0; k < group.count; ++k) add_server(group, false);
    for (auto& [instance, locality] : day_.assigners) start_assigner(instance);
    // Proxies start once the list is shown, so that they have something to stand on.
    after(day_.calm / 3, [this] {
      for (std::uint32_t z = 0; z < localities(); ++z)
        for (int k = 0; k < day_.proxies[z]; ++k) {
          proxies_.push_back({nullptr, z, static_cast<std::uint32_t>(proxies_.size())});
          start_proxy(proxies_.back());
        }
    });
    after(day_.calm, [this] { wait_for_joins(world_.now() + kJoinWithin); });
  }

  void watch_clock() {
    clock_.sample();
    after(kClockLook, [this] { watch_clock(); });
  }
  void open_receiver() {
    watch_clock();
    receiver_ = std::make_unique<Receiver>(world_, net::Address{addresses_.ip(0, 251, 1), kReceiverPort});
    receiver_->watch(alerts::read_rules(day_.alert_rules), day_.metrics_interval,
                     [this](const alerts::Alert& a) {
                       say("alert fires: " + a.name);
                       if (std::find(alerts_.begin(), alerts_.end(), a.name) == alerts_.end())
                         alerts_.push_back(a.name);
                     });
  }

  void wait_for_joins(Ms limit) {
    for (auto& [instance, locality] : day_.assigners)
      if (processes_.at(instance)->has_exited())
        return fail(fmt::format("assigner {} ended: {}", instance, last_words(instance)));
    bool all = std::all_of(proxies_.begin(), proxies_.end(), [](auto& p) { return p.proxy->joined(); });
    if (!all && world_.now() < limit) return after(20, [this, limit] { wait_for_joins(limit); });
    if (!all) return fail("not all proxies could join an assigner");
    zero_ = world_.now();
    begin_traffic();
    script_.begin();
    tell_progress();
    after(day_.length, [this] {
      traffic_->end();
      say("the traffic ends");
      after(kWindDown, [this] { end(); });
    });
  }

  std::string last_words(std::uint32_t instance) {
    std::ifstream in(assigner_file(instance, "err"));
    std::string line, last = "(it said nothing)";
    while (std::getline(in, line))
      if (!line.empty()) last = line;
    return last;
  }
  void fail(const std::string& why) {
    failure_ = why;
    world_.reactor.stop();
  }

  std::string assigner_file(std::uint32_t instance, const std::string& what) const {
    return fmt::format("{}/assigner-{}.{}", folder_.path(), instance, what);
  }

  std::uint32_t assigner_locality(std::uint32_t instance) const {
    for (auto& [i, z] : day_.assigners)
      if (i == instance) return z;
    return 0;
  }
  net::Address channel_of(std::uint32_t instance) const {
    return {addresses_.ip(assigner_locality(instance), 0, instance + 1), kChannelPort};
  }

  void start_assigner(std::uint32_t instance) override {
    if (auto killed = killed_at_.find(instance); killed != killed_at_.end())
      excused_.emplace_back(killed->second, static_cast<std::int64_t>(base::wall_ms() + kStartWithin));
    config::Tree site = day_.site;
    for (auto& [name, field] : site.fields) {
      if (name != "localities") continue;
      for (std::uint32_t z = 0; z < field.items.size(); ++z) {
        config::Tree prefix;
        prefix.kind = config::Tree::Kind::string;
        prefix.text = addresses_.prefix(z);
        for (auto& [key, value] : field.items[z].fields)
          if (key == "prefixes") value.items = {prefix};
      }
    }
    config::Tree whole;
    whole.kind = config::Tree::Kind::structure;
    whole.fields.emplace_back("site", site);
    std::string peers;
    for (auto& [other, z] : day_.assigners)
      if (other != instance)
        peers += fmt::format("{{instance: {}, address: \"{}\"}}, ", other, net::to_string(channel_of(other)));
    std::string text = fmt::format(
        "instance: {}\nseed: {}\nhome: \"{}\"\nlisten: channel: \"{}\"\ndiscovery: \"{}\"\nstate: \"{}\"\n"
        "record: \"{}\"\nlog: {{file: \"{}\", level: \"info\"}}\nstreams: heartbeat: {}ms\npeers: [{}]\n{}",
        instance, day_.seed + instance, locality_name(assigner_locality(instance)),
        net::to_string(channel_of(instance)), net::to_string(list_->address()),
        assigner_file(instance, "state"), assigner_file(instance, "record"), assigner_file(instance, "log"),
        day_.heartbeat, peers, config::print(whole, false));
    if (receiver_)
      text += fmt::format(
          "remote_write: {{url: \"http://{}/api/v1/write\", interval: {}ms, timeout: 500ms, batch: wait: "
          "50ms, "
          "backoff: {{least: 50ms, most: 400ms}}, buffer: segment: 64KiB}}\n",
          net::to_string(receiver_->address()), day_.metrics_interval);
    if (versions_) text += versions_->settings(day_.config_watch, day_.config_drop);
    dead_.erase(instance);
    std::string file = assigner_file(instance, "cue");
    base::replace_file(file, text);
    std::vector<std::string> words{"serve", file};
    if (!options_.sabotage.empty()) words.insert(words.end(), {"--sabotage", options_.sabotage});
    processes_[instance] =
        std::make_unique<process::Child>(options_.program, words, assigner_file(instance, "err"));
  }
  void kill_assigner(std::uint32_t instance) override {
    dead_.insert(instance);
    killed_at_[instance] = static_cast<std::int64_t>(base::wall_ms());
    processes_.at(instance)->kill();
    world_.note(AssignerDown{instance});
  }

  ServerRun& add_server(const ServerGroup& group, bool cold) {
    auto number = static_cast<std::uint32_t>(servers_.size());
    ServerSpec spec = server_spec(day_, group, number);
    auto& pod = pods_[{spec.locality, spec.cell}];
    if (!pod) pod = std::make_shared<Pod>();
    net::Address at{addresses_.ip(group.locality, 2, number + 1), kServerPort};
    servers_.push_back(
        {std::make_unique<Server>(world_, spec, at, pod, longest_window(day_), day_.seed * 1000 + number),
         {.id = spec.id,
          .locality = spec.locality,
          .cell = spec.cell,
          .size = spec.listed_size(),
          .address = at}});
    ServerRun& run = servers_.back();
    if (cold) {
      start_cold(run);
    } else {
      run.server->start(false);
      list_->change(run.listing, 0);
    }
    return run;
  }
  void start_cold(ServerRun& run) {
    if (run.server->model().fell_over()) return;
    run.server->start(true);
    run.listing.state = ListTold::State::in_service;
    run.listing.started = world_.now(), run.listing.started_wall_ms = base::wall_ms();
    list_->change(run.listing, day_.list_add);
  }

  void start_proxy(ProxyRun& run) {
    std::uint32_t id = run.number;
    ProxySpec spec = proxy_spec(day_, run.locality, id);
    spec.standing = standing_table(standing_pool(run.locality, list_->all()), day_.standing, random_);
    ProxyOptions o;
    run.front = o.front = {addresses_.ip(run.locality, 1, id + 1), kFrontPort};
    for (auto& [instance, z] : day_.assigners) o.assigners.push_back({instance, z, channel_of(instance)});
    auto others = std::stable_partition(o.assigners.begin(), o.assigners.end(),
                                        [&](const AssignerPlace& a) { return a.locality == run.locality; });
    share_assigners(o.assigners, static_cast<std::size_t>(others - o.assigners.begin()), id);
    for (const RequestClass& c : day_.policy.classes)
      o.slo.push_back(c.latency_objective.count()), o.deadline.push_back(c.deadline.count());
    o.retry_wait_factor = day_.policy.attempt_timeout_factor;
    o.redial = day_.redial;
    o.connection_idle = day_.policy.connection_idle_timeout.count();
    o.usual_rate = locality_rate(day_, run.locality) / std::max(1, day_.proxies[run.locality]);
    run.proxy = std::make_unique<Proxy>(world_, std::move(spec), std::move(o), run.incarnation++);
    run.gone_at = -1;
  }

  void begin_traffic() {
    TrafficSpec spec{.classes = day_.classes,
                     .rate = {},
                     .from = {},
                     .retries = day_.retries,
                     .retry_wait = day_.retry_wait,
                     .seed = day_.seed};
    for (std::uint32_t z = 0; z < localities(); ++z) {
      spec.rate.push_back(locality_rate(day_, z));
      spec.from.push_back({addresses_.ip(z, 3, 1), 0});
    }
    traffic_ = std::make_unique<Traffic>(world_, spec, [this](std::uint32_t z) {
      std::vector<net::Address> out;
      for (const ProxyRun& p : proxies_)
        if (p.locality == z && (p.proxy || world_.now() - p.gone_at < day_.front_notice))
          out.push_back(p.front);
      return out;
    });
    traffic_->begin();
    say(fmt::format("traffic begins: {:.0f} requests/s, {} proxies, {} servers, {} assigners", day_.rate,
                    proxies_.size(), servers_.size(), day_.assigners.size()));
  }

  void tell_progress() {
    after(1000, [this] {
      std::size_t asked = 0, good = 0;
      for (; told_ < world_.taps.entries.size(); ++told_)
        if (auto* a = std::get_if<Answered>(&world_.taps.entries[told_].seen)) ++asked, good += a->good;
      std::size_t joined = 0, up = 0;
      for (const ProxyRun& p : proxies_) joined += p.proxy && p.proxy->joined();
      for (const ServerRun& s : servers_) up += s.server->up();
      if (options_.say)
        options_.say(fmt::format(
            "{:7.2f} s  {:4} answered of {:4}; {} of {} proxies joined, {} of {} servers up",
            (world_.now() - zero_) / 1000, good, asked, joined, proxies_.size(), up, servers_.size()));
      tell_progress();
    });
  }

  // ---- The stage, as the script moves it ----
  void after(Ms wait, std::function<void()> call) override {
    world_.reactor.call_at(world_.now() + wait, std::move(call));
  }
  void say(const std::string& text) override {
    world_.note(Note{text});
    if (options_.say) options_.say(fmt::format("{:7.2f} s  {}", (world_.now() - zero_) / 1000, text));
  }
  std::size_t servers() const override { return servers_.size(); }
  ServerSeen server(std::size_t k) const override {
    const ServerRun& r = servers_[k];
    return {r.listing.id, r.listing.locality, r.server->up()};
  }
  ServerFaults& faults(std::size_t k) override { return servers_[k].server->model().faults; }
  void add_cold_server(const ServerGroup& like) override { add_server(like, true); }
  void start_cold(std::size_t k) override { start_cold(servers_[k]); }
  void stop_server(std::size_t k) override { servers_[k].server->crash(); }
  void silence_server(std::size_t k) override { servers_[k].server->silence(true); }
  void drain_server(std::size_t k) override { servers_[k].server->drain(); }
  void list(std::size_t k, ListTold::State state, Ms delay) override {
    servers_[k].listing.state = state;
    list_->change(servers_[k].listing, delay);
  }
  std::size_t proxies() const override { return proxies_.size(); }
  ProxySeen proxy(std::size_t k) const override {
    return {proxies_[k].locality, proxies_[k].proxy != nullptr};
  }
  void kill_proxy(std::size_t k) override {
    proxies_[k].proxy.reset();
    proxies_[k].gone_at = world_.now();
  }
  void start_proxy(std::size_t k) override { start_proxy(proxies_[k]); }
  std::vector<double>& rate_factor() override { return traffic_->rate_factor; }
  void list_fails(bool down) override { list_->fail(down); }
  void list_is_stale(Ms added) override { list_->stale(added); }
  void bend_links(std::uint32_t z, const Links::Way& to_others) override {
    for (std::uint32_t other = 0; other < localities(); ++other)
      if (other != z) world_.links.between(z, other) = to_others;
    for (ProxyRun& p : proxies_)
      if (p.proxy) p.proxy->links_changed();
  }
  void bend_reports(const standin::Reporting& to) override { world_.reporting = to; }
  void services(const Trouble& t) override {
    if (t.kind == "config") config(t);
    else if (t.kind == "control_away") control_away(t);
    else receiver_fails(t);
  }

  void receiver_fails(const Trouble& t) {  // size: the status; extra: seconds of Retry-After
    if (!receiver_) return;
    say(t.kind);
    ReceiverFault fault = t.kind == "receiver_away"    ? ReceiverFault::away
                          : t.kind == "receiver_hangs" ? ReceiverFault::hangs
                          : t.kind == "receiver_cuts"  ? ReceiverFault::cut
                                                       : ReceiverFault::status;
    receiver_->fault(fault, static_cast<int>(t.size), static_cast<int>(t.extra));
    after(t.lasts, [this] {
      say("the receiver takes again");
      receiver_->fault(ReceiverFault::none);
    });
  }

  void config(const Trouble& t) {  // how: what is told; size: how many, or how large
    if (!versions_) return;
    say("config: " + versions_->strike(t));
  }
  void control_away(const Trouble& t) {
    if (!versions_) return;
    say("control_away: the first service is gone");
    versions_->away(true);
    after(t.lasts, [this] {
      say("the first service is back");
      versions_->away(false);
    });
  }

  // ---- The end ----
  void end() {
    for (ProxyRun& p : proxies_) p.proxy.reset();
    for (auto& [instance, z] : day_.assigners) processes_.at(instance)->request_stop();
    await_stops(world_.now() + kStopWithin);
  }
  // The loop goes on meanwhile: the assigners' last figures have to be taken.
  void await_stops(Ms limit) {
    bool all = std::all_of(day_.assigners.begin(), day_.assigners.end(),
                           [&](auto& a) { return processes_.at(a.first)->has_exited(); });
    if (!all && world_.now() < limit) return after(10, [this, limit] { await_stops(limit); });
    for (auto& [instance, z] : day_.assigners) {
      if (dead_.contains(instance)) continue;  // the day left it so
      int status = processes_.at(instance)->stop(0);
      if (status != 0)
        fail(fmt::format("assigner {} did not stop in order (status {}): {}", instance, status,
                         last_words(instance)));
    }
    world_.reactor.stop();
  }

  Result result() {
    Result out;
    out.verdict = audit::judge(world_.taps.entries, day_.limits);
    for (audit::Break& b : out.verdict.breaks) b.at -= zero_;
    out.classes.resize(day_.classes.size());
    double asked = 0, served = 0;
    for (auto& [at, seen] : world_.taps.entries) {
      out.tries += std::holds_alternative<TrySent>(seen);
      out.messages += std::holds_alternative<OrdersCame>(seen);
      if (auto* refused = std::get_if<Refused>(&seen))
        out.refused.push_back(fmt::format("proxy {}: {}", refused->proxy, refused->reason));
      if (auto* down = std::get_if<ServerDown>(&seen)) out.fell_over += down->fell_over;
      auto* a = std::get_if<Answered>(&seen);
      if (!a) continue;
      const RequestClass& rules = day_.policy.classes[a->request_class];
      ClassResult& c = out.classes[a->request_class];
      bool in_time = a->good && a->took <= rules.latency_objective.count();
      ++c.asked, c.good += a->good, c.in_time += in_time;
      asked += rules.priority_weight, served += in_time ? rules.priority_weight : 0;
    }
    out.service = asked > 0 ? served / asked : 1;
    if (receiver_) {
      out.gaps = find_gaps(receiver_->store(), static_cast<std::int64_t>(day_.metrics_interval + kLookLate),
                           excused_, clock_);
      out.sender_faults = receiver_->faults_of_sender();
      out.samples = receiver_->samples(), out.repeated = receiver_->repeated();
      out.alerts = alerts_;
    }
    if (versions_) out.versions = versions_->result();
    for (auto& [instance, z] : day_.assigners) {
      auto bytes = base::read_file(assigner_file(instance, "record"));
      if (!bytes) continue;
      try {
        flight_record::ReplayResult replay = flight_record::replay(*bytes);
        if (replay.same()) ++out.replayed;
        else out.differences.push_back(fmt::format("assigner {}: {}", instance, replay.difference));
      } catch (const std::runtime_error& error) {
        out.differences.push_back(fmt::format("assigner {}: {}", instance, error.what()));
      }
    }
    return out;
  }

  const Day& day_;
  const PlayOptions& options_;
  Addresses addresses_;
  Folder folder_;
  World world_;
  std::map<std::uint32_t, std::unique_ptr<process::Child>> processes_;  // by instance
  pcg32 random_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::shared_ptr<Pod>> pods_;
  std::unique_ptr<ListService> list_;
  std::deque<ServerRun> servers_;  // held by address: they may become more
  std::deque<ProxyRun> proxies_;
  std::unique_ptr<Traffic> traffic_;
  std::unique_ptr<Receiver> receiver_;
  std::unique_ptr<Versions> versions_;
  std::vector<std::string> alerts_;
  std::map<std::uint32_t, std::int64_t> killed_at_;
  std::set<std::uint32_t> dead_;  // killed and not started again
  std::vector<std::pair<std::int64_t, std::int64_t>>
      excused_;  // times without an assigner, by the wall clock
  base::ClockStepDetector clock_;
  std::size_t told_ = 0;
  Ms zero_ = 0;
  std::string failure_;
  Script script_{*this, day_, random_};
};

}  // namespace

Result play(const Day& day, const PlayOptions& options) { return Player(day, options).play(); }

}  // namespace beamshunt::day
