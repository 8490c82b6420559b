#include "emulator/emulator.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>

#include "audit/sabotage.h"
#include "day/script.h"
#include "emulator/engine.h"
#include "flight_record/replay.h"
#include "standin/list.h"
#include "standin/proxy_model.h"
#include "standin/server_model.h"

namespace beamshunt::emulator {
namespace {

using namespace standin;
using assigner::StreamId;

constexpr Ms kStart = 1e6;         // an instant as good as any
constexpr double kWall = 1.7e12;   // and its wall clock
constexpr Ms kWindDown = 1500;     // after the traffic: what is out comes home
constexpr Ms kJoinWithin = 10000;  // all proxies must have joined once, or the day can't be played
constexpr Ms kHop = 0.1;           // of a message between processes
constexpr Ms kServe = 0.3;         // of a request's way through a proxy and back, besides the server's work
constexpr Ms kConnectMost = 1000;  // until a dial into a cut way is given up
constexpr Ms kLittleTime = 20;     // of the deadline left: no further try is worth it
constexpr std::uint32_t kFailuresToMove = 2;
constexpr Ms kListAnswer = 1;
constexpr std::uint32_t kFirstFront = 1 << 20;
constexpr std::uint32_t kFirstNet = 10;      // addresses of locality z: (10 + z).0.0.0/8
constexpr std::size_t kMostForgotten = 256;  // requests of a proxy that have ended, before they are let go

enum class Reply { good, error, refused, reset, unreachable };

class Emulator final : private day::Stage {
 public:
  Emulator(const day::Day& day, const EmulateOptions& options)
      : day_(day),
        options_(options),
        engine_(kStart),
        random_(day.seed),
        traffic_random_(day.seed),
        watch_(day.limits),
        summary_(day.policy.classes) {
    day_.pick = pick_of(options.policy, day_.pick);
    for (std::uint32_t z = 0; z < localities(); ++z)
      if (auto reason = prefixes_.add(fmt::format("{}.0.0.0/8", kFirstNet + z), z))
        throw std::runtime_error("too many localities: " + *reason);
    rate_factor_.assign(localities(), 1);
    for (std::uint32_t z = 0; z < localities(); ++z) rates_.push_back(day::locality_rate(day_, z));
    fronts_.resize(localities());
    for (const TrafficClass& c : day_.classes) shares_.push_back(c.share);
  }

  Emulated play() {
    if (options_.fixture) return rehearse(*options_.fixture);
    zero_ = kStart + day_.calm;
    for (const day::ServerGroup& group : day_.servers)
      for (int k = 0; k < group.count; ++k) add_server(group, false);
    for (auto& [instance, z] : day_.assigners) start_assigner(instance);
    if (options_.rules) evaluator_.emplace(*options_.rules), look_at_figures();
    engine_.after(day_.calm / 3, [this] {
      for (std::uint32_t z = 0; z < localities(); ++z)
        for (int k = 0; k < day_.proxies[z]; ++k) {
          auto number = static_cast<std::uint32_t>(proxies_.size());
          add_proxy(z, number, {((kFirstNet + z) << 24) + kFirstFront + number, 9000},
                    rates_[z] / day_.proxies[z]);
        }
    });
    engine_.run(zero_);
    for (Ms limit = zero_ + kJoinWithin; !all_joined() && engine_.now() < limit;)
      engine_.run(engine_.now() + 20);
    if (!all_joined()) throw std::runtime_error("not all proxies could join an assigner");
    zero_ = engine_.now();
    summary_.begin(zero_);
    decided_before_ = decided_;
    if (options_.sample_every > 0) engine_.after(options_.sample_every, [this] { sample(); });
    say(fmt::format("traffic begins: {:.0f} requests/s, {} proxies, {} servers, {} assigners", day_.rate,
                    proxies_.size(), servers_.size(), day_.assigners.size()));
    for (std::uint32_t z = 0; z < localities(); ++z) next_arrival(z);
    script_.begin();
    engine_.run(zero_ + day_.length);
    ended_ = true;
    say("the traffic ends");
    engine_.run(zero_ + day_.length + kWindDown);
    return result();
  }

 private:
  using Done = std::function<void(Reply, std::map<std::string, double> load)>;
  struct ServerRun {
    std::unique_ptr<ServerModel> model;
    std::uint32_t id = 0, locality = 0, cell = 0;
    double size = 1;
    Ms started = 0;  // 0: long past
    bool process = false, silent = false, fall_told = false;
    struct Waiting {
      std::uint32_t from = 0;  // locality
      Done done;
    };
    std::map<std::uint64_t, Waiting> working;
    std::uint64_t next_token = 1, timer = 0;
    net::Address address{};
    bool up() const { return process && !silent && model->up(); }
  };
  struct ProxyRun {
    std::unique_ptr<ProxyModel> model;  // none while it is dead
    std::uint32_t locality = 0, number = 0, incarnation = 0;
    Ms gone_at = -1;
    std::vector<std::uint32_t> assigners;  // instances, its own locality's first
    std::uint64_t life = 0;                // grows at each start and end: calls of an earlier one are void
    // The stream.
    StreamId stream{};
    bool open = false, joined = false;
    std::uint64_t stream_number = 0;
    std::size_t choice = 0;
    std::uint32_t attempt = 0, failures = 0;
    std::uint64_t epoch = 0, applied = 0;
    Ms heartbeat = 500, period = 500, heard = 0, sent = 0, deliver_after = 0;
    native_protocol::FrameParser parser;
    std::deque<std::string> held_up, held_down;  // in a cut way: to the assigner, from it
    net::Address front{};
    double rate = 0;  // requests a second that usually come to it
  };
  struct AssignerRun {
    std::uint32_t instance = 0, locality = 0;
    assigner::AssignerSettings site;
    std::unique_ptr<Host> host;  // none while it is dead
    std::uint64_t epoch = 0, life = 0, watch = 0;
    bool watching = false, turn_due = false;
    std::uint64_t timer = 0;
    std::string warm, record;
    std::map<StreamId, std::size_t> streams;  // to proxies, by number
  };
  struct Request {
    std::uint64_t request = 0;
    std::uint16_t c = 0;
    double work = 0;
    std::string key;
    std::size_t proxy = 0;
    std::uint64_t life = 0;  // of the proxy
    Ms arrived = 0;
    int tries = 0;
    std::set<std::uint32_t> tried;
    std::function<void(Reply)> done;
    bool over = false;  // the client has gone
  };
  struct Asked {  // of a client
    std::uint16_t c = 0;
    std::uint32_t locality = 0;
    double work = 0;
    std::string key;
    Ms begun = 0;
    int tries = 0;
  };

  std::size_t localities() const { return day_.policy.localities.size(); }
  void note(const Seen& seen) {
    summary_.see(engine_.now(), seen);
    watch_.see(engine_.now(), seen);
  }
  double wall() const { return kWall + engine_.now() - kStart; }
  bool all_joined() const {
    return !proxies_.empty() &&
           std::all_of(proxies_.begin(), proxies_.end(), [](auto& p) { return p.joined; });
  }

  // ---- The stage, as the script moves it ----
  void after(Ms wait, std::function<void()> call) override { engine_.after(wait, std::move(call)); }
  void say(const std::string& text) override {
    note(Note{text});
    if (options_.say) options_.say(fmt::format("{:7.2f} s  {}", (engine_.now() - zero_) / 1000, text));
  }
  std::size_t servers() const override { return servers_.size(); }
  ServerSeen server(std::size_t k) const override {
    return {servers_[k].id, servers_[k].locality, servers_[k].up()};
  }
  ServerFaults& faults(std::size_t k) override { return servers_[k].model->faults; }
  void add_cold_server(const day::ServerGroup& like) override { add_server(like, true); }
  void start_cold(std::size_t k) override {
    if (servers_[k].model->fell_over()) return;
    start_server(k, true);
    servers_[k].started = engine_.now();
    list(k, ListTold::State::in_service, day_.list_add);
  }
  void stop_server(std::size_t k) override { crash_server(k); }
  void silence_server(std::size_t k) override {
    ServerRun& s = servers_[k];
    if (std::exchange(s.silent, true)) return;
    note(ServerDown{s.id, false});
    s.model->stop();
  }
  void drain_server(std::size_t k) override { servers_[k].model->drain(); }
  void list(std::size_t k, ListTold::State state, Ms delay) override {
    ServerRun& s = servers_[k];
    Listing l{.id = s.id,
              .locality = s.locality,
              .cell = s.cell,
              .size = s.size,
              .state = state,
              .started_wall_ms = s.started > 0 ? kWall + s.started - kStart : 0,
              .started = s.started,
              .address = s.address};
    Ms& at = list_at_[s.id];  // a server's changes come in the order they were made
    at = std::max(at, engine_.now() + delay + list_stale_);
    engine_.at(at, [this, l] { show(l); });
  }
  std::size_t proxies() const override { return proxies_.size(); }
  ProxySeen proxy(std::size_t k) const override {
    return {proxies_[k].locality, proxies_[k].model != nullptr};
  }
  void kill_proxy(std::size_t k) override {
    ProxyRun& p = proxies_[k];
    drop_stream(k, "reset");
    p.model.reset();
    ++p.life;
    p.gone_at = engine_.now();
    fronts_[p.locality].until = 0;
    note(ProxyDown{p.number});
    // Its connections break: clients learn of it, servers do not care.
    auto out = std::exchange(at_proxy_[k], {});
    for (auto& r : out)
      if (auto request = r.lock(); request && !std::exchange(request->over, true))
        request->done(Reply::reset);
  }
  std::vector<double>& rate_factor() override { return rate_factor_; }
  void list_fails(bool down) override {
    if (down == list_down_) return;
    list_down_ = down;
    if (!down) return;
    for (auto& [instance, a] : assigners_)
      if (a.host && std::exchange(a.watching, false)) {
        a.host->list_lost("the watch broke", engine_.now());
        soon(a);
      }
  }
  void list_is_stale(Ms added) override { list_stale_ = added; }
  void bend_links(std::uint32_t z, const Links::Way& to) override {
    for (std::uint32_t other = 0; other < localities(); ++other)
      if (other != z) links_.between(z, other) = to;
    for (std::size_t k = 0; k < proxies_.size(); ++k)
      if (proxies_[k].model && proxies_[k].open && !way(k).cut) release_held(k);
  }
  void bend_reports(const Reporting& to) override { reporting_ = to; }
  void services(const day::Trouble& t) override { say(t.kind + " is for sockets: left out"); }

  // ---- Servers ----
  void add_server(const day::ServerGroup& group, bool cold) {
    auto number = static_cast<std::uint32_t>(servers_.size());
    add_server(day::server_spec(day_, group, number), {((kFirstNet + group.locality) << 24) + number, 8000},
               cold);
  }
  void add_server(const ServerSpec& spec, net::Address address, bool cold) {
    auto number = static_cast<std::uint32_t>(servers_.size());
    auto& pod = pods_[{spec.locality, spec.cell}];
    if (!pod) pod = std::make_shared<Pod>();
    servers_.emplace_back();
    ServerRun& s = servers_.back();
    s.model = std::make_unique<ServerModel>(spec, pod, day::longest_window(day_), day_.seed * 1000 + number);
    s.id = spec.id, s.locality = spec.locality, s.cell = spec.cell, s.size = spec.listed_size();
    s.address = address;
    by_id_[s.id] = servers_.size() - 1;
    if (cold) return start_cold(servers_.size() - 1);
    start_server(servers_.size() - 1, false);
    list(servers_.size() - 1, ListTold::State::in_service, 0);
  }
  void start_server(std::size_t k, bool cold) {
    ServerRun& s = servers_[k];
    if (s.model->fell_over()) return;
    if (std::exchange(s.silent, false)) break_connections(s);
    s.process = true;
    s.model->start(engine_.now(), cold);
    const ServerSpec& spec = s.model->spec();
    note(ServerUp{s.id, s.locality, s.cell, cold, spec.cores * 1.0, spec.speed});
  }
  void break_connections(ServerRun& s) {
    for (auto& [token, w] : std::exchange(s.working, {}))
      engine_.after(kHop, [w = std::move(w)] { w.done(Reply::reset, {}); });
  }
  void crash_server(std::size_t k) {
    ServerRun& s = servers_[k];
    if (!std::exchange(s.process, false)) return;
    note(ServerDown{s.id, false});
    s.model->stop();
    break_connections(s);
  }
  bool swallowed(std::uint32_t from, const ServerRun& s) {
    Links::Way way = links_.at(from, s.locality);
    return s.silent || way.cut ||
           (way.loss > 0 && std::uniform_real_distribution<double>()(random_) < way.loss);
  }
  // A request on its way; `done` comes later, or never.
  void ask_server(std::uint32_t from, std::uint32_t id, const Request& r, std::uint32_t number, Done done) {
    auto found = by_id_.find(id);
    if (found == by_id_.end()) return engine_.after(kHop, [done] { done(Reply::unreachable, {}); });
    std::size_t k = found->second;
    if (!servers_[k].process) return engine_.after(kHop, [done] { done(Reply::unreachable, {}); });
    if (swallowed(from, servers_[k])) return;
    Ms delay = links_.at(from, servers_[k].locality).delay;
    engine_.after(kHop + delay, [this, k, from, done, number, request = r.request, c = r.c, work = r.work,
                                 key = r.key, proxy = proxies_[r.proxy].number] {
      ServerRun& s = servers_[k];
      if (s.silent) return;
      if (!s.process) return done(Reply::reset, {});
      std::uint64_t token = s.next_token++;
      auto taken = s.model->arrive(engine_.now(), {token, request, c, key, work});
      if (taken != ServerModel::Taken::full && taken != ServerModel::Taken::draining)
        note(TryTaken{s.id, proxy, request, number, c, work});
      switch (taken) {
        case ServerModel::Taken::working:
        case ServerModel::Taken::queued:
          s.working[token] = {from, done};
          break;
        case ServerModel::Taken::full:
        case ServerModel::Taken::draining:
          answer(s, from, done, Reply::refused);
          break;
        case ServerModel::Taken::error:
          answer(s, from, done, Reply::error);
          break;
        case ServerModel::Taken::silent:
          break;
      }
      if (s.model->fell_over() && !std::exchange(s.fall_told, true)) {
        note(ServerDown{s.id, true});
        engine_.after(0, [this, k] { crash_server(k); });
      }
      advance(k);
    });
  }
  void answer(ServerRun& s, std::uint32_t from, const Done& done, Reply reply) {
    if (swallowed(from, s)) return;
    engine_.after(kHop + links_.at(from, s.locality).delay,
                  [done, reply, load = s.model->load(engine_.now())] { done(reply, load); });
  }
  void advance(std::size_t k) {
    ServerRun& s = servers_[k];
    for (auto& done : s.model->advance(engine_.now())) {
      if (done.effect) note(EffectDone{s.id, done.request, done.request_class});
      auto waiting = s.working.extract(done.token);
      if (!waiting.empty()) answer(s, waiting.mapped().from, waiting.mapped().done, Reply::good);
    }
    std::uint64_t mine = ++s.timer;
    engine_.at(s.model->next_due(), [this, k, mine] {
      if (servers_[k].timer == mine) advance(k);
    });
  }

  // ---- The list ----
  void tell(AssignerRun& a, const std::vector<Listing>& entries, bool total) {
    for (const Listing& l : entries) note(ListTold{a.instance, l.id, l.locality, l.state, l.started});
    a.host->list_line(standin::list_json(total, list_version_, entries, day_.policy.localities),
                      engine_.now(), wall());
    soon(a);
  }
  void show(const Listing& l) {
    shown_[l.id] = l;
    standing_pools_.clear();
    ++list_version_;
    for (auto& [instance, a] : assigners_)
      if (a.host && a.watching) tell(a, {l}, false);
  }
  void whole_list(std::uint32_t instance, std::uint64_t life, bool watch, std::uint64_t number) {
    AssignerRun& a = assigners_.at(instance);
    if (!a.host || a.life != life || (watch && a.watch != number)) return;
    if (list_down_) {
      a.host->list_lost("refused", engine_.now());
      return soon(a);
    }
    if (watch) a.watching = true;
    tell(a, shown(), true);
  }
  std::vector<Listing> shown() const {
    std::vector<Listing> all;
    all.reserve(shown_.size());
    for (auto& [id, l] : shown_) all.push_back(l);
    return all;
  }

  // ---- Assigners ----
  void start_assigner(std::uint32_t instance) override {
    AssignerRun& a = assigners_[instance];
    if (a.epoch == 0 && options_.fixture) {
      a.instance = instance;
      a.site = options_.fixture->site, a.warm = options_.fixture->list;
      a.locality = static_cast<std::uint32_t>(a.site.policy.own_locality);
    } else if (a.epoch == 0) {
      a.instance = instance;
      for (auto& [i, z] : day_.assigners)
        if (i == instance) a.locality = z;
      a.site.policy = day_.policy;
      a.site.policy.seed = day_.seed + instance;
      a.site.policy.own_locality = Locality(a.locality);
      assigner::AssignerSettings shared;  // what all of the site share: limits of reports, names
      assigner::read_site_settings(day_.site, shared);
      a.site.class_names = shared.class_names;
      a.site.report_lines_per_s = shared.report_lines_per_s;
      a.site.probe_timeout = shared.probe_timeout;
      a.site.locality_of = prefixes_;
      a.site.instance = instance;
      a.site.heartbeat = day_.heartbeat;
      a.site.hello_within = 2000, a.site.confirm_within = 10000;
      a.site.most_streams = 1000000, a.site.most_unsent = 8 << 20, a.site.most_frame = 4 << 20;
      if (options_.replay) a.site.record_file = "kept in memory";
    }
    ++a.life;
    a.watching = a.turn_due = false;
    assigner::MessageInterceptor interceptor =
        options_.fixture ? options_.fixture->interceptor : assigner::MessageInterceptor();
    if (!options_.sabotage.empty()) interceptor = audit::sabotage(options_.sabotage, a.site);
    a.host =
        make_host(options_.policy, a.site, ++a.epoch, a.warm, engine_.now(), wall(), std::move(interceptor));
    soon(a);
  }
  void kill_assigner(std::uint32_t instance) override {
    AssignerRun& a = assigners_.at(instance);
    a.host.reset();
    ++a.life;
    note(AssignerDown{instance});
    for (auto& [stream, k] : std::exchange(a.streams, {}))
      if (proxies_[k].open && proxies_[k].stream == stream && !way(k).cut)
        engine_.after(kHop, [this, k = k, stream = stream] { lost(k, stream); });
  }
  // Real time in the hosts, where a clock is given.
  template <typename Work>
  void measured(const Work& work) {
    if (!options_.clock) return work();
    Ms begun = options_.clock();
    work();
    Ms took = options_.clock() - begun;
    decided_ += took, longest_ = std::max(longest_, took);
  }
  void soon(AssignerRun& a) {
    if (std::exchange(a.turn_due, true)) return;
    engine_.after(0, [this, instance = a.instance, life = a.life] {
      AssignerRun& x = assigners_.at(instance);
      if (x.life == life) turn(x);
    });
  }
  void turn(AssignerRun& a) {
    a.turn_due = false;
    measured([&] { a.host->turn(engine_.now()); });
    for (assigner::Effect& e : a.host->take_effects()) std::visit([&](auto& x) { carry_out(a, x); }, e);
    std::uint64_t mine = ++a.timer;
    engine_.at(a.host->next_due(), [this, instance = a.instance, life = a.life, mine] {
      AssignerRun& x = assigners_.at(instance);
      if (x.life == life && x.timer == mine) soon(x);
    });
  }
  void carry_out(AssignerRun& a, assigner::SendBytes& e) {
    auto s = a.streams.find(e.stream);
    if (s != a.streams.end()) deliver(s->second, e.stream, *e.bytes);
  }
  void carry_out(AssignerRun& a, assigner::CloseStream& e) {
    auto s = a.streams.extract(e.stream);
    if (s.empty()) return;
    ProxyRun& p = proxies_[s.mapped()];
    engine_.at(std::max(engine_.now() + kHop, p.deliver_after),
               [this, k = s.mapped(), stream = e.stream] { lost(k, stream); });
  }
  void carry_out(AssignerRun& a, assigner::OpenEndpointWatch&) {
    a.watching = false;
    engine_.after(kListAnswer,
                  [this, i = a.instance, life = a.life, n = ++a.watch] { whole_list(i, life, true, n); });
  }
  void carry_out(AssignerRun& a, assigner::CloseEndpointWatch&) { ++a.watch, a.watching = false; }
  void carry_out(AssignerRun& a, assigner::FetchEndpointList&) {
    engine_.after(kListAnswer, [this, i = a.instance, life = a.life] { whole_list(i, life, false, 0); });
  }
  void carry_out(AssignerRun& a, assigner::SendHealthCheckRequest& e) {
    auto found = by_id_.find(static_cast<std::uint32_t>(e.endpoint));
    auto told = [this, i = a.instance, life = a.life, id = e.endpoint, asked = engine_.now()](
                    AttemptOutcome outcome, LoadReport load) {
      AssignerRun& x = assigners_.at(i);
      if (x.life != life) return;
      x.host->probe_answered(id, outcome, engine_.now() - asked, std::move(load), engine_.now());
      soon(x);
    };
    Ms most = a.site.probe_timeout;
    if (found == by_id_.end() || !servers_[found->second].process)
      return engine_.after(kHop, [told] { told(AttemptOutcome::connect_failed, {}); });
    ServerRun& s = servers_[found->second];
    Ms there = kHop + links_.at(a.locality, s.locality).delay;
    if (swallowed(a.locality, s) || s.model->faults.hung || 2 * there > most)
      return engine_.after(most, [told] { told(AttemptOutcome::timed_out, {}); });
    engine_.after(2 * there, [this, told, k = found->second] {
      if (servers_[k].up()) told(AttemptOutcome::success, servers_[k].model->load(engine_.now()));
      else told(AttemptOutcome::connection_lost, {});
    });
  }
  void carry_out(AssignerRun& a, assigner::SaveEndpointList&) { a.warm = a.host->list_bytes(); }
  void carry_out(AssignerRun& a, assigner::AppendFlightRecord& e) { a.record += e.bytes; }
  void carry_out(AssignerRun&, assigner::DialPeer&) {}  // the policy sends its peers nothing
  void carry_out(AssignerRun&, assigner::WriteLogEvent&) {}

  // ---- Proxies ----
  void add_proxy(std::uint32_t locality, std::uint32_t number, net::Address front, double rate) {
    proxies_.emplace_back();
    ProxyRun& p = proxies_.back();
    p.locality = locality, p.number = number, p.front = front, p.rate = rate;
    start_proxy(proxies_.size() - 1);
  }
  void start_proxy(std::size_t k) override {
    ProxyRun& p = proxies_[k];
    ProxySpec spec = day::proxy_spec(day_, p.locality, p.number);
    auto [pool, fresh] = standing_pools_.try_emplace(p.locality);
    if (fresh) pool->second = day::standing_pool(p.locality, shown());
    spec.standing = day::standing_table(pool->second, day_.standing, random_);
    ProxyStanding standing{p.number, p.locality, {}};
    for (const Place& place : spec.standing) standing.endpoints.push_back(place.endpoint);
    p.model = std::make_unique<ProxyModel>(std::move(spec));
    p.assigners.clear();
    for (bool own : {true, false})
      for (auto& [instance, z] : day_.assigners)
        if ((z == p.locality) == own) p.assigners.push_back(instance);
    day::share_assigners(p.assigners, own_assigners(p.locality), p.number);
    p.gone_at = -1;
    fronts_[p.locality].until = 0;
    ++p.incarnation, ++p.life;
    p.attempt = p.failures = 0, p.choice = 0, p.epoch = p.applied = 0;
    p.heartbeat = p.period = 500;
    note(std::move(standing));
    p.model->reports_begin(engine_.now());
    dial(k);
    beat(k, p.life);
    report(k, p.life);
  }
  std::size_t own_assigners(std::uint32_t z) const {
    return static_cast<std::size_t>(
        std::count_if(day_.assigners.begin(), day_.assigners.end(), [&](auto& a) { return a.second == z; }));
  }
  AssignerRun& chosen(const ProxyRun& p) { return assigners_.at(p.assigners[p.choice]); }
  Links::Way way(std::size_t k) { return links_.at(proxies_[k].locality, chosen(proxies_[k]).locality); }

  void dial(std::size_t k) {
    ProxyRun& p = proxies_[k];
    ++p.attempt;
    std::uint64_t number = ++p.stream_number, life = p.life;
    if (way(k).cut) {  // nothing answers
      engine_.after(kConnectMost, [this, k, number, life] {
        if (proxies_[k].life == life && proxies_[k].stream_number == number) redial(k);
      });
      return;
    }
    p.parser = native_protocol::FrameParser();
    p.held_up.clear(), p.held_down.clear();
    p.joined = false;
    p.heard = p.sent = p.deliver_after = engine_.now();
    p.stream = StreamId{++last_stream_};
    engine_.after(kHop, [this, k, number, life, stream = p.stream] {
      ProxyRun& x = proxies_[k];
      if (x.life != life || x.stream_number != number) return;
      AssignerRun& a = chosen(x);
      if (!a.host) return redial(k);
      x.open = true;
      a.streams[stream] = k;
      a.host->stream_opened(stream, x.front, engine_.now());
      soon(a);
      x.model->stream_begins();
      send(k, native_protocol::Hello{.proxy = x.number,
                                     .incarnation = x.incarnation,
                                     .attempt = x.attempt,
                                     .locality = x.model->spec().locality_name,
                                     .expected_rate = x.rate,
                                     .only_static_tables = x.model->only_standing(),
                                     .applied_epoch = x.epoch,
                                     .applied_sequence = x.applied});
    });
  }
  // The proxy's side of a stream ends; the assigner's hears of it, if anything passes.
  void drop_stream(std::size_t k, const char* reason) {
    ProxyRun& p = proxies_[k];
    ++p.stream_number;
    if (std::exchange(p.open, false)) {
      AssignerRun& a = chosen(p);
      if (a.host && !way(k).cut && a.streams.erase(p.stream) > 0) {
        a.host->stream_closed(p.stream, reason, engine_.now());
        soon(a);
      }
    }
    if (std::exchange(p.joined, false)) note(StreamDown{p.number});
    p.failures = 0;
  }
  void redial(std::size_t k) {
    ProxyRun& p = proxies_[k];
    std::uint32_t failures = p.joined ? 0 : p.failures + 1;
    drop_stream(k, "reset");
    p.failures = failures;
    if (p.failures >= kFailuresToMove) p.choice = (p.choice + 1) % p.assigners.size(), p.failures = 0;
    Ms wait = day_.redial * (0.75 + 0.5 * static_cast<double>(p.model->spec().seed * 7919 % 97) / 97);
    engine_.after(wait, [this, k, number = p.stream_number, life = p.life] {
      if (proxies_[k].life == life && proxies_[k].stream_number == number) dial(k);
    });
  }
  void lost(std::size_t k, StreamId stream) {
    ProxyRun& p = proxies_[k];
    if (p.model && p.open && p.stream == stream) redial(k);
  }
  void send(std::size_t k, const native_protocol::Frame& frame) {
    ProxyRun& p = proxies_[k];
    p.sent = engine_.now();
    if (!p.open) return;
    std::string bytes = native_protocol::encode(frame);
    if (way(k).cut) return p.held_up.push_back(std::move(bytes));
    to_assigner(k, std::move(bytes));
  }
  void to_assigner(std::size_t k, std::string bytes) {
    engine_.after(kHop + channel_delay_, [this, i = chosen(proxies_[k]).instance, stream = proxies_[k].stream,
                                          bytes = std::move(bytes)] {
      AssignerRun& a = assigners_.at(i);
      if (!a.host || !a.streams.contains(stream)) return;
      measured([&] { a.host->stream_bytes(stream, bytes, engine_.now()); });
      soon(a);
    });
  }
  void deliver(std::size_t k, StreamId stream, const std::string& bytes) {
    ProxyRun& p = proxies_[k];
    if (!p.open || p.stream != stream) return;
    if (way(k).cut) return p.held_down.push_back(bytes);
    p.deliver_after = std::max(p.deliver_after, engine_.now() + kHop + channel_delay_ + way(k).delay);
    engine_.at(p.deliver_after, [this, k, stream, bytes] {
      ProxyRun& x = proxies_[k];
      if (!x.model || !x.open || x.stream != stream) return;
      if (way(k).cut) return x.held_down.push_back(bytes);
      came(k, bytes);
    });
  }
  void release_held(std::size_t k) {
    ProxyRun& p = proxies_[k];
    for (std::string& bytes : std::exchange(p.held_up, {})) to_assigner(k, std::move(bytes));
    for (std::string& bytes : std::exchange(p.held_down, {})) deliver(k, p.stream, bytes);
    // An assigner that has died or given up meanwhile is noticed now.
    AssignerRun& a = chosen(p);
    if (!a.host || !a.streams.contains(p.stream))
      engine_.after(kHop, [this, k, stream = p.stream] { lost(k, stream); });
  }
  void came(std::size_t k, const std::string& bytes) {
    ProxyRun& p = proxies_[k];
    p.heard = engine_.now();
    std::vector<native_protocol::Frame> frames;
    p.parser.feed(bytes, frames);
    for (const native_protocol::Frame& f : frames) {
      if (auto* welcome = std::get_if<native_protocol::Welcome>(&f)) {
        p.heartbeat = welcome->heartbeat_ms, p.period = welcome->report_period_ms;
        if (p.joined) continue;
        p.epoch = welcome->epoch, p.applied = 0, p.joined = true;
        note(StreamUp{p.number, chosen(p).instance});
      } else if (auto* orders = std::get_if<native_protocol::UpdateMessage>(&f)) {
        p.model->apply(*orders);
        p.applied = orders->sequence;
        note(OrdersCame{p.number, *orders});
        p.model->take_left();
        send(k, native_protocol::Acknowledgement{orders->sequence});
      } else if (auto* ping = std::get_if<native_protocol::Ping>(&f)) {
        send(k, native_protocol::Pong{ping->token});
      } else if (auto* refuse = std::get_if<native_protocol::Refuse>(&f)) {
        using Code = native_protocol::RefuseCode;
        if (refuse->code == Code::bad_frame || refuse->code == Code::bad_version ||
            refuse->code == Code::unexpected)
          note(Refused{p.number, refuse->reason});
        return redial(k);
      }
    }
  }
  void beat(std::size_t k, std::uint64_t life) {
    ProxyRun& p = proxies_[k];
    if (p.life != life) return;
    Ms now = engine_.now();
    if (p.open && now - p.heard > native_protocol::kHeartbeatTimeoutPeriods * p.heartbeat) redial(k);
    else if (p.joined && now - p.sent >= p.heartbeat) send(k, native_protocol::Ping{p.applied});
    engine_.after(p.heartbeat / 2, [this, k, life] { beat(k, life); });
  }
  void report(std::size_t k, std::uint64_t life) {
    ProxyRun& p = proxies_[k];
    if (p.life != life) return;
    if (p.joined) {
      native_protocol::LoadReportMessage due = p.model->report(engine_.now());
      if (reporting_.late > 0)
        engine_.after(reporting_.late, [this, k, life, number = p.stream_number, due] {
          const ProxyRun& x = proxies_[k];
          if (x.life == life && x.stream_number == number && x.joined) send(k, due);
        });
      else if (!p.model->loses_report(reporting_.lost)) send(k, due);
    }
    engine_.after(p.period, [this, k, life] { report(k, life); });
  }

  // ---- Requests at a proxy ----
  void arrive(std::size_t k, std::shared_ptr<Request> r) {
    ProxyRun& p = proxies_[k];
    p.model->came(r->c);
    if (!p.model->admit(engine_.now(), r->c)) return reply(r, Reply::refused);
    auto& out = at_proxy_[k];
    if (out.size() > kMostForgotten) std::erase_if(out, [](auto& w) { return w.expired(); });
    out.push_back(r);
    try_next(r, true);
  }
  void reply(const std::shared_ptr<Request>& r, Reply how) {
    engine_.after(kHop, [r, how] {
      if (!std::exchange(r->over, true)) r->done(how);
    });
  }
  void try_next(const std::shared_ptr<Request>& r, bool proof) {
    ProxyRun& p = proxies_[r->proxy];
    if (p.life != r->life) return;
    Ms now = engine_.now(), left = r->arrived + day_.policy.classes[r->c].deadline.count() - now;
    auto fail = [&](Reply how) {
      p.model->unanswered(r->c);
      reply(r, how);
    };
    if (r->tries > 0 && (!p.model->may_retry(r->c, r->tries, proof) || left < kLittleTime))
      return fail(Reply::error);
    auto place = p.model->pick(now, r->c, r->tried);
    if (!place) return fail(r->tries == 0 ? Reply::refused : Reply::error);
    ++r->tries;
    r->tried.insert(place->endpoint);
    auto number = static_cast<std::uint32_t>(r->tries);
    bool may_follow = p.model->retry_mode(r->c) >= 2 && p.model->may_retry(r->c, r->tries, false);
    Ms wait = may_follow ? std::min(left, day_.policy.attempt_timeout_factor *
                                              day_.policy.classes[r->c].latency_objective.count())
                         : left;
    p.model->sent(place->endpoint);
    note(TrySent{p.number, place->endpoint, r->request, number, r->c, r->work});
    auto settled = std::make_shared<bool>(false);
    auto ended = [this, r, settled, endpoint = place->endpoint, now](
                     Reply how, const std::map<std::string, double>& load) {
      if (!std::exchange(*settled, true)) tried(r, endpoint, now, how, load);
    };
    ask_server(p.locality, place->endpoint, *r, number, ended);
    engine_.after(wait, [ended] { ended(Reply::reset, {}); });
  }
  void tried(const std::shared_ptr<Request>& r, std::uint32_t endpoint, Ms sent, Reply how,
             const std::map<std::string, double>& load) {
    ProxyRun& p = proxies_[r->proxy];
    if (p.life != r->life) return;
    Ms now = engine_.now();
    bool good = how == Reply::good;
    p.model->ended(now, endpoint, good, now - sent, load);
    if (good) {
      if (now - r->arrived <= day_.policy.classes[r->c].latency_objective.count()) p.model->in_time(r->c);
      return reply(r, Reply::good);
    }
    if (r->over) return p.model->unanswered(r->c);  // who else would want the answer
    try_next(r, how == Reply::refused || how == Reply::unreachable);
  }

  // ---- Clients ----
  void next_arrival(std::uint32_t z) {
    if (ended_) return;
    double rate = rates_[z] * rate_factor_[z];
    Ms wait = rate > 0 ? std::exponential_distribution<double>(rate / 1000)(traffic_random_) : 1e9;
    constexpr Ms kLook = 200;  // a rate may change while one waits
    bool arrives = wait <= kLook;
    engine_.after(std::min(wait, kLook), [this, z, arrives] {
      if (ended_) return;
      if (arrives) new_request(z);
      next_arrival(z);
    });
  }
  void new_request(std::uint32_t z) {
    auto a = std::make_shared<Asked>();
    a->c = static_cast<std::uint16_t>(
        std::discrete_distribution<std::size_t>(shares_.begin(), shares_.end())(traffic_random_));
    const TrafficClass& c = day_.classes[a->c];
    a->locality = z, a->begun = engine_.now();
    a->work = draw_work(c.work, traffic_random_);
    if (c.keyed) a->key = std::to_string(next_request_);
    ask(a);
  }
  // The proxies that clients of a locality ask: those that live, and the dead for as long as nobody noticed.
  const std::vector<std::size_t>& fronts_of(std::uint32_t z) {
    Fronts& f = fronts_[z];
    if (engine_.now() < f.until) return f.proxies;
    f.proxies.clear();
    f.until = base::kNever;
    for (std::size_t k = 0; k < proxies_.size(); ++k) {
      const ProxyRun& p = proxies_[k];
      if (p.locality != z) continue;
      bool unnoticed = !p.model && engine_.now() - p.gone_at < day_.front_notice;
      if (unnoticed) f.until = std::min(f.until, p.gone_at + day_.front_notice);
      if (p.model || unnoticed) f.proxies.push_back(k);
    }
    std::vector<double> rates;
    rates.reserve(f.proxies.size());
    for (std::size_t k : f.proxies) rates.push_back(proxies_[k].rate);
    f.by_rate = std::discrete_distribution<std::size_t>(rates.begin(), rates.end());
    return f.proxies;
  }
  void ask(const std::shared_ptr<Asked>& a) {
    const TrafficClass& c = day_.classes[a->c];
    auto finish = [this, a](bool good) { note(Answered{a->c, a->locality, good, engine_.now() - a->begun}); };
    Ms left = a->begun + c.deadline - engine_.now();
    const std::vector<std::size_t>& fronts = fronts_of(a->locality);
    if (fronts.empty() || left <= 0) return finish(false);
    ++a->tries;
    auto r = std::make_shared<Request>();
    r->request = next_request_++, r->c = a->c, r->work = a->work, r->key = a->key;
    // A plain layer spreads evenly; a fixture's proxies have each their own traffic.
    Fronts& f = fronts_[a->locality];
    r->proxy = fronts[options_.fixture ? f.by_rate(traffic_random_) : f.turn++ % fronts.size()];
    r->life = proxies_[r->proxy].life;
    r->done = [this, a, finish](Reply how) {
      if (how == Reply::good) return finish(true);
      bool refused = how == Reply::refused || how == Reply::unreachable;
      if (ended_ || a->tries > day_.retries || (!refused && !day_.classes[a->c].repeat_after_any))
        return finish(false);
      engine_.after(day_.retry_wait, [this, a] { ask(a); });
    };
    if (!proxies_[r->proxy].model) return reply(r, Reply::unreachable);
    engine_.after(kServe, [this, r] {
      if (proxies_[r->proxy].life != r->life) return reply(r, Reply::reset);
      r->arrived = engine_.now();
      arrive(r->proxy, r);
    });
    engine_.after(left, [r, finish] {  // the client gives up
      if (!std::exchange(r->over, true)) finish(false);
    });
  }

  // ---- A rehearsal ----
  Emulated rehearse(const Fixture& f) {
    constexpr Ms kSlice = 20;  // between looks at the budget
    zero_ = engine_.now();
    channel_delay_ = f.channel_delay;
    rates_.assign(localities(), 0);
    for (const Fixture::Server& s : f.servers) add_server(s.spec, s.address, false);
    start_assigner(f.site.instance);
    for (const Fixture::Proxy& p : f.proxies) {
      rates_[p.locality] += p.rate;
      add_proxy(p.locality, p.id, p.from, p.rate);
    }
    summary_.begin(zero_);
    summary_.count_from(zero_ + f.change_at);
    for (std::uint32_t z = 0; z < localities(); ++z) next_arrival(z);
    if (f.script) f.script(*this);
    if (f.change) engine_.after(f.change_at, [this, &f] { change(f); });
    for (Ms end = zero_ + day_.length; engine_.now() < end && out_.finished;) {
      if (f.out_of_budget()) out_.finished = false;
      else engine_.run(std::min(end, engine_.now() + kSlice));
    }
    return result();
  }
  void change(const Fixture& f) {
    constexpr Ms kAgain = 4;
    AssignerRun& a = assigners_.at(f.site.instance);
    if (!a.host->may_reconfigure(*f.change, engine_.now()))
      return engine_.after(kAgain, [this, &f] { change(f); });
    a.host->reconfigure(*f.change, 2, 2, engine_.now());
    out_.changed = true;
    soon(a);
  }

  // ---- Figures and alerts ----
  void look_at_figures() {
    auto at = static_cast<std::int64_t>(wall());
    for (auto& [instance, a] : assigners_) {
      auto figures = a.host ? a.host->figures(engine_.now()) : std::nullopt;
      if (!figures) continue;
      auto [exporter, fresh] = exporters_.try_emplace({instance, a.life});
      if (fresh)
        exporter->second =
            std::make_unique<telemetry::Exporter>(telemetry::Labels{{"instance", std::to_string(instance)}});
      for (const telemetry::Point& p : exporter->second->scrape(*figures, at).points)
        store_.add(p.labels, at, p.value);
    }
    for (const alerts::Alert& alert : evaluator_->look(store_, at)) {
      out_.alerts.insert(alert.name);
      say("alert fires: " + alert.name);
    }
    engine_.after(day_.metrics_interval, [this] { look_at_figures(); });
  }

  // ---- What is seen ----
  void sample() {
    if (ended_) return;
    Sample x = summary_.sample(engine_.now());
    for (auto& [instance, a] : assigners_) {
      if (!a.host) continue;
      x[Series::waiting] += a.host->waiting_lines();
      out_.most_waiting = std::max(out_.most_waiting, a.host->waiting_lines());
      out_.oldest_report = std::max(out_.oldest_report, a.host->oldest_report(engine_.now()));
    }
    for (const ServerRun& s : servers_)
      if (s.up()) ++x[Series::servers], x[Series::queued] += static_cast<double>(s.model->queued());
    for (const ProxyRun& p : proxies_) x[Series::streams] += p.joined;
    x[Series::deciding] =
        (decided_ - std::exchange(decided_before_, decided_)) / options_.sample_every * 1000;
    out_.deciding += x[Series::deciding] * options_.sample_every / 1000;
    out_.samples.push_back(x);
    engine_.after(options_.sample_every, [this] { sample(); });
  }
  Emulated result() {
    static_cast<Totals&>(out_) = summary_.totals();
    out_.verdict = watch_.finish();
    for (audit::Break& b : out_.verdict.breaks) b.at -= zero_;
    out_.events = engine_.events();
    out_.longest_decision = longest_;
    if (options_.replay)
      for (auto& [instance, a] : assigners_)
        if (auto replay = flight_record::replay(a.record); !replay.same())
          out_.differences.push_back(fmt::format("assigner {}: {}", instance, replay.difference));
    return std::move(out_);
  }

  day::Day day_;
  const EmulateOptions& options_;
  Engine engine_;
  pcg32 random_, traffic_random_;
  net::PrefixMap prefixes_;
  Links links_;
  Ms channel_delay_ = 0;
  Reporting reporting_;
  audit::Watch watch_;
  Summary summary_;
  Emulated out_;
  std::optional<alerts::Evaluator> evaluator_;
  alerts::Store store_;
  std::map<std::pair<std::uint32_t, std::uint64_t>, std::unique_ptr<telemetry::Exporter>>
      exporters_;  // by instance and life: counts begin anew with a process
  Ms decided_ = 0, decided_before_ = 0, longest_ = 0;  // real
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::shared_ptr<Pod>> pods_;
  std::deque<ServerRun> servers_;
  std::map<std::uint32_t, std::size_t> by_id_;
  std::deque<ProxyRun> proxies_;
  std::map<std::size_t, std::vector<std::weak_ptr<Request>>> at_proxy_;
  std::map<std::uint32_t, AssignerRun> assigners_;
  std::map<std::uint32_t, Listing> shown_;
  std::map<std::uint32_t, std::vector<Place>> standing_pools_;  // by locality, of what is shown
  std::map<std::uint32_t, Ms> list_at_;
  std::uint64_t list_version_ = 1, last_stream_ = 0, next_request_ = 1;
  bool list_down_ = false, ended_ = false;
  Ms list_stale_ = 0, zero_ = 0;
  std::vector<double> rates_, rate_factor_;  // by locality: requests a second, and what troubles make of it
  struct Fronts {
    std::vector<std::size_t> proxies;
    Ms until = 0;  // they may be others from then on
    std::size_t turn = 0;
    std::discrete_distribution<std::size_t> by_rate{};
  };
  std::vector<Fronts> fronts_;  // by locality
  std::vector<double> shares_;  // of the classes
  day::Script script_{*this, day_, random_};
};

}  // namespace

Emulated emulate(const day::Day& day, const EmulateOptions& options) { return Emulator(day, options).play(); }

}  // namespace beamshunt::emulator
