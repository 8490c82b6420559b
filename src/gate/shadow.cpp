#include "gate/shadow.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <random>

#include "standin/list.h"
#include "standin/proxy_model.h"
#include "standin/server_model.h"

namespace beamshunt::gate {
namespace {

using namespace standin;
using assigner::Fleet;
using assigner::Site;
using assigner::StreamId;

constexpr Ms kStep = 4;                        // of simulated time
constexpr Ms kStart = 1e6;                     // an instant as good as any
constexpr double kWall = 1.7e12;               // and its wall clock
constexpr Ms kWorkLeast = 1, kWorkMost = 200;  // bounds of a request's work that reports make
constexpr double kMostRate = 3000;             // requests/s: fewer and larger ones keep servers as busy
constexpr double kUsualLoad = 0.5;             // of servers that have not said how busy they are
constexpr double kUsualRate = 10;              // requests/s of a proxy that has not said
constexpr Ms kProbeTook = 2;
constexpr double kDrainAt = 0.15, kRestartAt = 0.4;  // of the time after the change

struct Sampled {
  Fleet fleet;
  double share = 1;  // of the proxies
};
template <typename Item>
std::vector<Item> every(const std::vector<Item>& all, std::size_t most) {
  if (all.size() <= most) return all;
  std::vector<Item> out;
  for (std::size_t k = 0; k < most; ++k) out.push_back(all[k * all.size() / most]);
  return out;
}
Sampled sample(const Fleet& fleet, const ShadowOptions& o) {
  Sampled out{fleet, 1};
  out.fleet.proxies = every(fleet.proxies, o.most_proxies);
  out.fleet.servers = every(fleet.servers, o.most_servers);
  if (!fleet.proxies.empty())
    out.share = static_cast<double>(out.fleet.proxies.size()) / static_cast<double>(fleet.proxies.size());
  return out;
}
// The site without what a rehearsal has no use for, its channel cut down with its proxies.
Site scaled(const Site& site, double share) {
  Site out = site;
  out.record_file.clear(), out.peers.clear(), out.control.reset(), out.remote_write.reset();
  out.policy.egress_lines_per_s *= share, out.policy.most_waiting_lines *= share;
  out.report_lines_per_s *= share;
  out.policy.proxies = std::max(1, static_cast<int>(std::lround(out.policy.proxies * share)));
  return out;
}

class Stage {
 public:
  Stage(const Site& now, const Site& next, const Sampled& sampled, const ShadowOptions& options)
      : now_(scaled(now, sampled.share)),
        next_(scaled(next, sampled.share)),
        fleet_(sampled.fleet),
        options_(options),
        random_(options.seed),
        core_(now_, 1, held_list(), kStart, kWall) {
    core_.set_between(options.between);
    build_servers();
    build_proxies();
    end_ = kStart + options.settle + options.length;
  }

  Rehearsal play() {
    Rehearsal out;
    bool changed = false, drained = false, restarted = false;
    for (; t_ < end_; t_ += kStep) {
      if (options_.out_of_budget()) {
        out.finished = false;
        break;
      }
      Ms since = t_ - kStart - options_.settle;
      if (!changed && since >= 0 && core_.may_reconfigure(next_, t_)) {
        core_.reconfigure(next_, 2, 2, t_);
        changed = true;
      }
      if (!drained && since >= kDrainAt * options_.length) drained = true, drain_one();
      if (!restarted && since >= kRestartAt * options_.length) restarted = true, restart_one();
      step();
    }
    out.taken_over = changed;
    // Guarantees of the servers are what they are, whatever the new settings say of them.
    const Settings &had = now_.policy, &has = next_.policy;
    audit::Limits limits = audit::limits_of(has);
    limits.classes = had.classes;
    limits.warm_up = had.warm_up.count(), limits.fall = had.fall.count();
    limits.start_capacity = had.start_capacity, limits.tip_multiple = had.tip_multiple;
    limits.margin = 2 * kStep, limits.capacity_slack = 1.3;
    out.verdict = audit::judge(taps_.entries, limits);
    out.service = asked_ > 0 ? served_ / asked_ : 1;
    out.requests = requests_;
    return out;
  }

 private:
  struct ServerRun {
    std::unique_ptr<ServerModel> model;
    Fleet::Server listed;
    Ms started = 0;  // 0: long past
  };
  struct ProxyRun {
    std::unique_ptr<ProxyModel> model;
    Fleet::JoinedProxy from;
    StreamId stream{};
    channel::FrameParser parser;
    bool joined = false;
    double rate = 0, next_in = 0;
    Ms period = 0, heartbeat = 0, report_at = 0, sent = 0;
  };
  struct Request {
    std::uint64_t id = 0;
    std::size_t proxy = 0, c = 0;
    Ms arrived = 0, sent = 0;
    int tries = 0;
    std::set<std::uint32_t> tried;
    std::uint32_t endpoint = 0;
  };

  // ---- The fleet ----
  // The core begins with the list that it holds: else its first orders would be those of a first start.
  assigner::EndpointBook held_list() const {
    assigner::ListUpdate all{.version = 1};
    for (auto& s : fleet_.servers)
      all.entries.push_back({s.id, s.locality, s.cell, s.size,
                             s.open ? EndpointState::in_service : EndpointState::terminated, 0, s.address});
    assigner::EndpointBook book;
    book.apply(all);
    return book;
  }
  void build_servers() {
    double size = 0, known = 0, busy = 0, rate = 0;
    for (auto& s : fleet_.servers) {
      if (!s.open) continue;
      size += s.size;
      if (s.busy >= 0) known += s.size, busy += s.busy * s.size, rate += s.rate;
    }
    double load = known > 0 ? busy / known : kUsualLoad, usual = 0;
    for (auto& p : fleet_.proxies) usual += p.usual > 0 ? p.usual : kUsualRate;
    // What a request costs, by what servers say of themselves; then as many as keep them as busy as they are.
    work_ =
        known > 0 && rate > 0 && busy > 0 ? busy / rate * 1000 : load * size / std::max(1.0, usual) * 1000;
    work_ = std::clamp(std::max(work_, load * size / kMostRate * 1000), kWorkLeast, kWorkMost);
    all_rate_ = load * size / work_ * 1000;
    Ms window = 0;
    for (const RequestClass& c : now_.policy.classes) window = std::max(window, c.dedup_window.count());
    for (auto& s : fleet_.servers) {
      int cores = std::max(1, static_cast<int>(std::lround(s.size)));
      ServerSpec spec{.id = s.id,
                      .locality = s.locality,
                      .cell = s.cell,
                      .cores = cores,
                      .speed = s.size / cores,
                      .start_capacity = now_.policy.start_capacity,
                      .tip_multiple = now_.policy.tip_multiple,
                      .warm_up = now_.policy.warm_up.count(),
                      .fall = now_.policy.fall.count()};
      auto& pod = pods_[{s.locality, s.cell}];
      if (!pod) pod = std::make_shared<Pod>();
      ServerRun run{std::make_unique<ServerModel>(spec, pod, window, options_.seed * 1000 + s.id), s, 0};
      if (s.open) run.model->start(t_, false);
      taps_.note(t_, ServerUp{s.id, s.locality, s.cell, false, static_cast<double>(cores), spec.speed});
      servers_.emplace(s.id, std::move(run));
    }
  }
  void build_proxies() {
    double usual = 0;
    for (auto& p : fleet_.proxies) usual += p.usual > 0 ? p.usual : kUsualRate;
    for (auto& p : fleet_.proxies) {
      const Settings& s = now_.policy;
      ProxySpec spec{.id = p.id,
                     .locality = p.locality,
                     .locality_name = s.localities[p.locality],
                     .classes = s.classes.size(),
                     .levels = s.level_kind == LevelKind::rate    ? Levels::rate
                               : s.level_kind == LevelKind::share ? Levels::share
                                                                  : Levels::none,
                     .default_retry = static_cast<std::uint8_t>(s.default_retry),
                     .seed = options_.seed * 100 + p.id};
      ProxyRun run{std::make_unique<ProxyModel>(spec), p, StreamId{proxies_.size() + 1},
                   channel::FrameParser()};
      run.rate = all_rate_ * (p.usual > 0 ? p.usual : kUsualRate) / std::max(1e-9, usual);
      run.next_in = draw_gap(run.rate);
      taps_.note(t_, ProxyStanding{p.id, p.locality, {}});
      proxies_.push_back(std::move(run));
    }
    for (ProxyRun& p : proxies_) {
      core_.stream_opened(p.stream, p.from.from, t_);
      core_.stream_bytes(p.stream,
                         channel::encode(channel::Hello{.proxy = p.from.id,
                                                        .incarnation = 1,
                                                        .attempt = 1,
                                                        .locality = p.model->spec().locality_name,
                                                        .usual_rate = p.rate,
                                                        .only_standing = true}),
                         t_);
    }
  }
  double draw_gap(double rate) {
    return rate <= 0 ? 1e300 : std::exponential_distribution<double>(rate / 1000)(random_);
  }

  // ---- The list ----
  void tell(const std::vector<std::uint32_t>& ids, bool total) {
    std::vector<Listing> entries;
    for (std::uint32_t id : ids) {
      const ServerRun& s = servers_.at(id);
      if (total && !s.listed.open) continue;
      entries.push_back({.id = id,
                         .locality = s.listed.locality,
                         .cell = s.listed.cell,
                         .size = s.listed.size,
                         .state = draining_.contains(id) ? ListTold::State::terminating
                                  : s.listed.open        ? ListTold::State::in_service
                                                         : ListTold::State::gone,
                         .started_wall_ms = s.started > 0 ? kWall - kStart + s.started : 0,
                         .started = s.started,
                         .address = s.listed.address});
      taps_.note(t_, ListTold{0, id, s.listed.locality, entries.back().state, s.started});
    }
    core_.list_line(list_json(total, ++list_version_, entries, now_.policy.localities), t_,
                    kWall - kStart + t_);
  }
  void whole_list() {
    std::vector<std::uint32_t> ids;
    for (auto& [id, s] : servers_) ids.push_back(id);
    tell(ids, true);
  }
  ServerRun* busiest_locality_server(std::size_t which) {
    std::map<std::uint32_t, std::vector<ServerRun*>> open;
    for (auto& [id, s] : servers_)
      if (s.listed.open && !draining_.contains(id)) open[s.listed.locality].push_back(&s);
    ServerRun* out = nullptr;
    std::size_t most = 1;  // a locality's only server stays
    for (auto& [z, all] : open)
      if (all.size() > most) most = all.size(), out = all[which % all.size()];
    return out;
  }
  void drain_one() {
    ServerRun* s = busiest_locality_server(0);
    if (!s) return;
    draining_.insert(s->listed.id);
    tell({s->listed.id}, false);
  }
  void restart_one() {
    ServerRun* s = busiest_locality_server(1);
    if (!s) return;
    taps_.note(t_, ServerDown{s->listed.id, false});
    s->model->start(t_, true);
    s->started = t_;
    taps_.note(t_, ServerUp{s->listed.id, s->listed.locality, s->listed.cell, true,
                            static_cast<double>(s->model->spec().cores), s->model->spec().speed});
    tell({s->listed.id}, false);
  }

  // ---- Time ----
  void step() {
    for (; !later_.empty() && later_.begin()->first <= t_; later_.erase(later_.begin()))
      later_.begin()->second();
    for (auto& [id, s] : servers_)
      for (auto& done : s.model->advance(t_)) finished(id, done);
    for (; !timeouts_.empty() && timeouts_.begin()->first <= t_; timeouts_.erase(timeouts_.begin()))
      expired(timeouts_.begin()->second);
    for (std::size_t k = 0; k < proxies_.size(); ++k) live(k);
    core_.turn(t_);
    for (assigner::Effect& e : core_.take_effects()) std::visit([this](auto& x) { carry_out(x); }, e);
  }
  void at(Ms when, std::function<void()> call) { later_.emplace(when, std::move(call)); }

  void live(std::size_t k) {
    ProxyRun& p = proxies_[k];
    for (p.next_in -= kStep; p.next_in <= 0; p.next_in += draw_gap(p.rate)) arrive(k);
    if (!p.joined) return;
    if (t_ >= p.report_at) say(p, p.model->report(t_)), p.report_at = t_ + p.period;
    else if (t_ - p.sent >= p.heartbeat) say(p, channel::Ping{1});
  }
  void say(ProxyRun& p, const channel::Frame& frame) {
    p.sent = t_;
    at(t_ + now_.policy.push_delay.count(),
       [this, id = p.stream, bytes = channel::encode(frame)] { core_.stream_bytes(id, bytes, t_); });
  }

  // ---- The core's effects ----
  ProxyRun* owner(StreamId id) {
    auto k = static_cast<std::size_t>(id) - 1;
    return k < proxies_.size() ? &proxies_[k] : nullptr;
  }
  void carry_out(assigner::SendBytes& e) {
    if (!owner(e.stream)) return;
    at(t_ + now_.policy.push_delay.count(),
       [this, id = e.stream, bytes = e.bytes] { came(*owner(id), *bytes); });
  }
  void came(ProxyRun& p, const std::string& bytes) {
    std::vector<channel::Frame> frames;
    p.parser.feed(bytes, frames);
    for (channel::Frame& f : frames) {
      if (auto* w = std::get_if<channel::Welcome>(&f)) {
        p.period = w->report_period_ms, p.heartbeat = w->heartbeat_ms;
        if (std::exchange(p.joined, true)) continue;
        p.report_at = t_ + p.period;
        p.model->reports_begin(t_);
        taps_.note(t_, StreamUp{p.from.id, 0});
      } else if (auto* orders = std::get_if<channel::Orders>(&f)) {
        p.model->apply(*orders);
        taps_.note(t_, OrdersCame{p.from.id, *orders});
        say(p, channel::Applied{orders->sequence});
      }
    }
  }
  void carry_out(assigner::CloseStream& e) {
    if (ProxyRun* p = owner(e.stream); p && std::exchange(p->joined, false))
      taps_.note(t_, StreamDown{p->from.id});
  }
  void carry_out(assigner::OpenWatch&) {
    at(t_ + kProbeTook, [this] { whole_list(); });
  }
  void carry_out(assigner::FetchTheList&) {
    at(t_ + kProbeTook, [this] { whole_list(); });
  }
  void carry_out(assigner::ProbeServer& e) {
    at(t_ + kProbeTook, [this, id = e.endpoint] {
      auto s = servers_.find(static_cast<std::uint32_t>(id));
      if (s == servers_.end()) return;
      core_.probe_answered(id, Outcome::delivered, kProbeTook, s->second.model->load(t_), t_);
    });
  }
  template <typename Other>
  void carry_out(Other&) {}  // no peers, no disk, no log

  // ---- Requests ----
  void arrive(std::size_t k) {
    std::size_t c = draw_class();
    const RequestClass& rc = now_.policy.classes[c];
    ++requests_;
    if (t_ >= kStart + options_.settle) asked_ += rc.worth;
    ProxyModel& m = *proxies_[k].model;
    m.came(c);
    if (!m.admit(t_, c)) return m.unanswered(c);
    Request r{.id = ++last_request_, .proxy = k, .c = c, .arrived = t_};
    try_next(r, true);
  }
  std::size_t draw_class() {
    double all = 0;
    std::size_t classes = now_.policy.classes.size();
    auto share = [&](std::size_t c) { return c < fleet_.came.size() ? fleet_.came[c] : 0; };
    for (std::size_t c = 0; c < classes; ++c) all += share(c);
    if (all <= 0) return random_() % classes;
    double x = std::uniform_real_distribution<double>(0, all)(random_);
    for (std::size_t c = 0; c < classes; ++c)
      if ((x -= share(c)) < 0) return c;
    return classes - 1;
  }
  void try_next(Request& r, bool proof) {
    ProxyModel& m = *proxies_[r.proxy].model;
    if (r.tries > 0 && !m.may_retry(r.c, r.tries, proof)) return m.unanswered(r.c);
    auto place = m.pick(t_, r.c, r.tried);
    if (!place) return m.unanswered(r.c);
    ++r.tries;
    r.tried.insert(place->endpoint);
    r.endpoint = place->endpoint, r.sent = t_;
    m.sent(place->endpoint);
    std::uint32_t proxy = proxies_[r.proxy].from.id;
    auto number = static_cast<std::uint32_t>(r.tries);
    auto c = static_cast<std::uint16_t>(r.c);
    taps_.note(t_, TrySent{proxy, r.endpoint, r.id, number, c, work_});
    auto s = servers_.find(r.endpoint);
    bool keyed = now_.policy.classes[r.c].semantics == Semantics::dedup;
    auto taken = s == servers_.end() || !s->second.model->up()
                     ? ServerModel::Taken::error
                     : s->second.model->arrive(t_, {.token = r.id,
                                                    .request = r.id,
                                                    .request_class = c,
                                                    .key = keyed ? std::to_string(r.id) : "",
                                                    .work_ms = work_});
    bool in = taken == ServerModel::Taken::working || taken == ServerModel::Taken::queued;
    if (!in && taken != ServerModel::Taken::silent) {
      m.ended(t_, r.endpoint, false, 0, {});
      return try_next(r, taken != ServerModel::Taken::error);
    }
    if (in) taps_.note(t_, TryTaken{r.endpoint, proxy, r.id, number, c, work_});
    if (s->second.model->fell_over()) taps_.note(t_, ServerDown{r.endpoint, true});
    timeouts_.emplace(r.arrived + now_.policy.classes[r.c].deadline.count(), r.id);
    out_[r.id] = r;
  }
  void finished(std::uint32_t endpoint, const ServerModel::Finished& done) {
    if (done.effect) taps_.note(t_, EffectDone{endpoint, done.request, done.request_class});
    auto found = out_.find(done.token);
    if (found == out_.end() || found->second.endpoint != endpoint) return;
    Request r = std::move(found->second);
    out_.erase(found);
    ProxyModel& m = *proxies_[r.proxy].model;
    m.ended(t_, endpoint, true, t_ - r.sent, servers_.at(endpoint).model->load(t_));
    const RequestClass& rc = now_.policy.classes[r.c];
    if (t_ - r.arrived > rc.slo.count()) return;
    m.in_time(r.c);
    if (r.arrived >= kStart + options_.settle) served_ += rc.worth;
  }
  void expired(std::uint64_t id) {
    auto found = out_.find(id);
    if (found == out_.end()) return;
    Request r = std::move(found->second);
    out_.erase(found);
    ProxyModel& m = *proxies_[r.proxy].model;
    m.ended(t_, r.endpoint, false, 0, {});
    m.unanswered(r.c);
  }

  Site now_, next_;
  const Fleet& fleet_;
  const ShadowOptions& options_;
  pcg32 random_;
  Ms t_ = kStart, end_ = 0;
  assigner::Core core_;
  Taps taps_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::shared_ptr<Pod>> pods_;
  std::map<std::uint32_t, ServerRun> servers_;
  std::set<std::uint32_t> draining_;
  std::deque<ProxyRun> proxies_;
  std::multimap<Ms, std::function<void()>> later_;
  std::multimap<Ms, std::uint64_t> timeouts_;
  std::map<std::uint64_t, Request> out_;
  std::uint64_t last_request_ = 0, list_version_ = 0;
  double work_ = 1, all_rate_ = 0, asked_ = 0, served_ = 0, requests_ = 0;
};

}  // namespace

Rehearsal rehearse(const Site& now, const Site& next, const Fleet& fleet, const ShadowOptions& options) {
  Sampled sampled = sample(fleet, options);
  return Stage(now, next, sampled, options).play();
}

}  // namespace beamshunt::gate
