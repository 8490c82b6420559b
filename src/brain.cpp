// All decisions of beamshunt. Interface (settings, events, actions): src/brain.h. Why each part is as it is,
// and when each exception to the BFAIR policy acts: docs/design.md.
#include "brain.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <set>

namespace beamshunt {
namespace {

// ---- Constants: unit, reason ----
constexpr Duration kStep{1000};     // BFAIR and weight step, from the paper: once a second
constexpr double kSmoothing = 0.3;  // weight of the newest sample in every smoothed estimate
constexpr double kBaseSmoothing =
    0.1;                           // the same for the baseline: the lowest of a short mean would be noise
constexpr double kBaseTries = 20;  // answered tries before a baseline is taken
constexpr double kBaseMost =
    0.5;  // part of the tightest SLO that a baseline can't exceed: it was taken in a jam
constexpr double kSlowdownMost = 10;    // T: slowdown above which a server counts as the bottleneck, at most
constexpr double kSlowdownLeast = 2;    // and at least: below it queueing is ordinary
constexpr double kSloPart = 0.5;        // T in between: mean latency reaches this part of the tightest SLO
constexpr double kAlpha = 0.1;          // part of the bottleneck's demand that a cut takes away
constexpr double kDrainMost = 0.85;     // a cut goes no further below the share than this part of it
constexpr double kAnsweredLeast = 0.5;  // a cut trusts no smaller answered part: what fails fast fails often
constexpr double kRegain = 0.25;        // growth of a rate below its last share, each step
constexpr double kBeta = 0.05;          // growth of a rate that isn't cut, each step
constexpr int kCutWaitPeriods = 3;      // periods above T before the first cut
constexpr double kCommon = 0.5;         // part of T from which a server counts as queueing
constexpr double kMostLoad = 0.5;       // part of the load that must meet queueing servers before a cut
constexpr int kUnheardPeriods = 4;      // periods without a try that ended: unheard
constexpr double kRateOverUse = 2;  // a rate grows only while under this multiple of its class's throughput
constexpr double kMoved = 0.1;      // a weight or level is sent once it moved by over this part
constexpr double kBandRatio = 4;    // proxies within one band differ by at most this in usual rate
constexpr double kOpenRate = 1e6;   // requests/s: a level that binds nobody
constexpr double kBusyFull = 0.85;  // utilization from which an endpoint has no core to spare
constexpr double kBusyLeast = 0.1;  // utilization from which it tells a speed
constexpr double kSpeedSmoothing = 0.15;               // weight of a step's speed sample: noisy and late
constexpr double kSpeedLeast = 0.1, kSpeedMost = 4;    // bounds of what reports may make of a size
constexpr double kDeadBand = 0.25;                     // slowdowns this near to the mean leave a weight alone
constexpr double kWeightGain = 0.3;                    // exponent of the weight step
constexpr double kNudgeKeep = 0.8;                     // what a step leaves of the nudge's exponent
constexpr double kWeightLeast = 0.2, kWeightMost = 2;  // bounds of what the weight step may make of a size
constexpr double kSpillSlack = 0.1;    // a locality keeps its load up to this part over the fleet's mean
constexpr double kLoadedSlowdown = 2;  // mean slowdown above which no try is repeated without proof
constexpr double kFailKeep = 0.7;      // what a period leaves of the counts of good and failed tries
constexpr double kFailsLeast = 3;      // failed tries that are evidence at all
constexpr double kDeadShare = 0.9;     // failing at least this share: dead or hung, however slow
constexpr double kErrorShare = 0.3;    // failing this share more than the others, though not slow: broken
constexpr double kSilentTries = 6;     // tries expected, and next to none heard of: silent
constexpr double kSilentShare = 0.15;  // heard tries over expected below this are "next to none"
constexpr double kCommonBad = 0.2;     // the others failing this share: a common cause, no reason to eject
constexpr double kPanic = 0.4;         // no ejection that leaves less than this part of the listed size
constexpr Duration kEjectLeast{3000};  // first ejection; doubles with each relapse
constexpr int kEjectDoublings = 3;
constexpr int kProbesGood = 2;      // answered probes in a row before an ejected endpoint comes back
constexpr double kQueuePart = 0.4;  // part of the channel's queue that ordinary orders may fill
constexpr double kPushPart = 0.6;   // part of the messages allowed that ordinary orders may use
constexpr std::uint64_t kTickToken = 1;
constexpr std::uint32_t kSerials = 65536;

template <typename Id>
std::size_t at(Id id) {
  return static_cast<std::size_t>(id);
}
void smooth(double& value, double sample, double weight, bool first) {
  value = first ? sample : value + weight * (sample - value);
}

// What one locality's proxies met at one endpoint. Health is kept by path: a cut between localities looks
// like dead servers to one side only, and a dead server fails for its own locality too.
struct Path {
  double good = 0, bad = 0, expected = 0;  // tries, fading by kFailKeep each period
  double new_good = 0, new_bad = 0;        // since the last period
  Time placed{};                           // line sent first, or again: silence counts from then on
  bool in_table = false, ejected = false;
  Time until{}, returned{};
  bool relapse_watch = false;  // came back from an ejection: eases in
  int ejections = 0;
  double tries() const { return good + bad; }
};

struct Endpoint {
  ListedEndpoint listed;
  double latency = 0, steady = 0, base = 0;  // smoothed, smoothed longer, and the lowest of that (ms)
  double new_latency_sum = 0, new_latency_count = 0, samples = 0;
  double load = 0, new_tries = 0;   // tries a second, smoothed
  double served = 0, new_good = 0;  // good tries a second, smoothed
  double busy = -1;                 // utilization by the newest load report, smoothed; below 0: none yet
  double speed = 1;                 // what load reports make of the listed size: work done by a busy core
  double nudge = 1;                 // what the weight step makes of the listed size
  int probes_good = 0;
  int slow_periods = 0, silent_periods = 0;
  std::map<Locality, Path> paths;
  bool open() const { return listed.state == EndpointState::in_service; }
};

struct Proxy {
  Locality locality{};
  int band = 0;
  bool bound = false;
  double usual = 0;
  std::vector<double> came;  // requests a second by class, smoothed
  std::vector<bool> heard;
  std::deque<std::pair<std::uint32_t, double>> unacked;  // serial and lines of messages on their way
  std::deque<Time> pushes;                               // messages within the span
};

struct TableKey {
  Locality locality{};
  int band = 0;
  bool home = false;  // for the classes that may not leave their locality
  auto operator<=>(const TableKey&) const = default;
};

struct Level {
  double amount = -1;
  RetryMode retry = RetryMode::never;
};

struct Table {
  TableId id{};
  std::map<EndpointId, double> sent;
  std::map<std::size_t, Level> levels;  // by class
  Time last_push{};
};

struct Rate {  // a class's admission rate
  double limit = std::numeric_limits<double>::infinity();
  double share = 0;  // the max-min share of the last cut, without what the dip below it drains
  bool limited() const { return std::isfinite(limit); }
};

struct Slice {
  std::map<EndpointId, double> lines;
  bool moving = false;
  Time move_at{};
};

}  // namespace

std::vector<double> max_min_shares(double capacity, const std::vector<double>& demand) {
  std::vector<std::size_t> order(demand.size());
  for (std::size_t i = 0; i < order.size(); ++i) order[i] = i;
  std::sort(order.begin(), order.end(), [&](auto a, auto b) { return demand[a] < demand[b]; });
  std::vector<double> fair(demand.size(), 0);
  double left = std::max(0.0, capacity);
  for (std::size_t k = 0; k < order.size(); ++k) {
    double equal = left / static_cast<double>(order.size() - k);
    fair[order[k]] = std::min(std::max(0.0, demand[order[k]]), equal);
    left -= fair[order[k]];
  }
  return fair;
}

struct Brain::State {
  Settings set;
  std::map<EndpointId, Endpoint> endpoints;
  std::map<ProxyId, Proxy> proxies;
  std::map<TableKey, Table> tables;
  std::map<TableId, Slice> slices;
  std::vector<Rate> rates;
  Time now{}, next_cut{}, next_period{}, next_step{}, list_retry{}, list_heard{};
  bool started = false, list_waiting = false;
  int list_failures = 0;
  std::uint32_t next_table = 0, serial = 0;
  std::vector<Action> out;
  std::map<ProxyId, double> message;  // lines of this reply, by proxy

  explicit State(Settings s) : set(std::move(s)), rates(set.classes.size()) {}

  // ---- The list ----
  void on(const EndpointList& e) {
    if (e.kind == ListKind::lost) {
      ++list_failures;
      list_waiting = true;
      list_retry = now + std::min(set.must_ask_in / 8, set.period * std::exp2(std::min(list_failures, 4)));
      return;
    }
    if (e.kind != ListKind::warm_copy) {
      list_failures = 0;
      list_heard = now;
    }
    std::set<EndpointId> named;
    for (const ListedEndpoint& entry : e.entries) {
      named.insert(entry.id);
      Endpoint& ep = endpoints[entry.id];
      bool fresh = entry.started_known && (!ep.listed.started_known || ep.listed.started != entry.started);
      ep.listed = entry;
      if (fresh) {  // a restart: what was known of its health and speed is void
        ep.paths.clear();
        ep.latency = ep.samples = 0;
        ep.nudge = ep.speed = 1;
        ep.busy = -1;
      }
    }
    if (e.kind == ListKind::incremental) return;
    for (auto& [id, ep] : endpoints)
      if (!named.contains(id)) ep.listed.state = EndpointState::terminated;
  }

  void follow_list() {
    if (!set.list_on_request) return;
    if (list_waiting && now >= list_retry) {
      list_waiting = false;
      list_heard = now;
      out.push_back(WatchList{true});
    } else if (!list_waiting && now - list_heard > set.must_ask_in * 0.8) {
      list_heard = now;  // a quiet subscription is asked again before it could be deemed unheard
      out.push_back(WatchList{true});
    }
  }

  // ---- Proxies and binding ----
  void on(const ProxyJoined& e) {
    Proxy& p = proxies[e.proxy];
    p = Proxy{};
    p.locality = e.locality;
    p.usual = e.usual_rate;
    if (p.usual <= 0) {  // unknown: counts as average
      double sum = 0, count = 0;
      for (auto& [id, other] : proxies)
        if (other.usual > 0) sum += other.usual, ++count;
      p.usual = count > 0 ? sum / count : 1;
    }
    p.band = static_cast<int>(std::floor(std::log(p.usual) / std::log(kBandRatio)));
    p.came.assign(set.classes.size(), 0);
    p.heard.assign(set.classes.size(), false);
  }

  // Once a stream, after all else that this batch told: what the proxy holds is unknown, a full bind settles
  // it.
  void bind_joined() {
    ClassMask masks[2] = {0, 0};  // free to leave their locality, home-only
    for (std::size_t c = 0; c < set.classes.size(); ++c) masks[set.classes[c].home_only] |= ClassMask{1} << c;
    for (auto& [id, p] : proxies) {
      if (p.bound) continue;
      for (bool home : {false, true}) {
        if (masks[home] == 0) continue;
        TableKey key{p.locality, p.band, home};
        auto [it, created] = tables.try_emplace(key);
        if (created) it->second.id = TableId{next_table++};
        if (!in_use(key)) write_table(key, it->second);  // costs nothing while nobody uses the table
        message[id] += 1.0 + static_cast<double>(it->second.sent.size() + it->second.levels.size());
        out.push_back(Bind{masks[home], id, it->second.id});
      }
      p.bound = true;
    }
  }

  bool in_use(const TableKey& key) const {
    return std::any_of(proxies.begin(), proxies.end(), [&](const auto& entry) {
      return entry.second.bound && entry.second.locality == key.locality && entry.second.band == key.band;
    });
  }

  void on(const ProxyLeft& e) { proxies.erase(e.proxy); }

  // ---- Estimates ----
  void on(const EndpointHeard& e) {
    auto found = endpoints.find(e.endpoint);
    if (found == endpoints.end()) return;
    Endpoint& ep = found->second;
    Path& path = ep.paths[e.from];
    double good = std::max(0.0, e.tries - e.failed);
    path.new_good += good;
    path.new_bad += e.failed;
    ep.new_tries += e.tries;
    ep.new_good += good;
    note_load(ep, e.load);
    if (good > 0 && e.latency.count() > 0) {
      ep.new_latency_sum += good * e.latency.count();
      ep.new_latency_count += good;
    }
  }

  void note_load(Endpoint& ep, const LoadReport& load) {
    auto u = load.find("utilization");
    if (u == load.end()) return;
    smooth(ep.busy, std::clamp(u->second, 0.0, 1.0), kSmoothing, ep.busy < 0);
  }

  // Listed sizes are rough. Where load reports tell how busy an endpoint is, good tries over busy time is its
  // speed; the fleet's mean keeps the unit. Not while cold: that speed will not last.
  void learn_speeds() {
    double speed = 0, size = 0;
    auto known = [&](const Endpoint& ep) {
      return counts(ep) && ep.busy >= kBusyLeast && ep.served > 0 && ramp(ep, nullptr) >= 1;
    };
    for (auto& [id, ep] : endpoints)
      if (known(ep)) speed += ep.served / ep.busy, size += ep.listed.size;
    if (speed <= 0 || size <= 0) return;
    for (auto& [id, ep] : endpoints)
      if (known(ep))
        smooth(ep.speed,
               std::clamp(ep.served / ep.busy / ep.listed.size * size / speed, kSpeedLeast, kSpeedMost),
               kSpeedSmoothing, false);
  }

  void on(const ProxyUsage& e) {
    auto found = proxies.find(e.proxy);
    if (found == proxies.end() || e.span.count() <= 0) return;
    std::size_t c = at(e.request_class);
    smooth(found->second.came[c], e.came / (e.span.count() / 1000), kSmoothing, !found->second.heard[c]);
    found->second.heard[c] = true;
  }

  // Requests a second of a class that a proxy lets in: what comes, a known limit permitting.
  double admitted(const Proxy& p, std::size_t c) const {
    double came = p.heard[c] ? p.came[c] : 0;
    auto table = tables.find({p.locality, p.band, set.classes[c].home_only});
    if (set.level_kind != LevelKind::rate || table == tables.end()) return came;
    auto level = table->second.levels.find(c);
    return level == table->second.levels.end() ? came : std::min(came, level->second.amount);
  }

  double throughput(std::size_t c) const {
    double sum = 0;
    for (const auto& [id, p] : proxies) sum += admitted(p, c);
    return sum;
  }

  double locality_load(Locality z, bool home) const {
    double sum = 0;
    for (const auto& [id, p] : proxies)
      if (p.locality == z)
        for (std::size_t c = 0; c < set.classes.size(); ++c)
          if (set.classes[c].home_only == home) sum += admitted(p, c);
    return sum;
  }

  void close_period() {
    std::map<Locality, double> heard;
    for (auto& [id, ep] : endpoints)
      for (auto& [z, path] : ep.paths) heard[z] += path.new_good + path.new_bad;
    std::map<Locality, std::map<EndpointId, double>> part;
    for (std::size_t z = 0; z < set.localities.size(); ++z) part[Locality(z)] = expected_parts(Locality(z));
    Duration lag = set.push_delay_most + set.period * 2 + kStep * 2;  // order out, tries, report back
    for (auto& [id, ep] : endpoints) {
      ep.silent_periods = ep.new_tries > 0 ? 0 : ep.silent_periods + 1;
      if (ep.new_latency_count > 0) {
        double sample = ep.new_latency_sum / ep.new_latency_count;
        smooth(ep.latency, sample, kSmoothing, ep.samples == 0);
        smooth(ep.steady, sample, kBaseSmoothing, ep.samples == 0);
        ep.samples += ep.new_latency_count;
        if (ep.samples >= kBaseTries)
          ep.base = std::min(ep.base > 0 ? ep.base : kBaseMost * tightest_slo(), ep.steady);
      }
      smooth(ep.load, ep.new_tries / (set.period.count() / 1000), kSmoothing, false);
      smooth(ep.served, ep.new_good / (set.period.count() / 1000), kSmoothing, false);
      for (auto& [z, path] : ep.paths) {
        path.good = path.good * kFailKeep + path.new_good;
        path.bad = path.bad * kFailKeep + path.new_bad;
        double share = 0;
        if (auto p = part[z].find(id); p != part[z].end()) share = p->second;
        bool counts = path.in_table && now - path.placed > lag;
        path.expected = path.expected * kFailKeep + (counts ? share * heard[z] : 0);
        path.new_good = path.new_bad = 0;
      }
      ep.new_latency_sum = ep.new_latency_count = ep.new_tries = ep.new_good = 0;
      ep.slow_periods = slowdown(ep) > threshold(ep) ? ep.slow_periods + 1 : 0;
    }
  }

  // The part of a locality's tries that each endpoint should see by the weights sent.
  std::map<EndpointId, double> expected_parts(Locality z) const {
    std::map<EndpointId, double> part;
    double home = locality_load(z, true), rest = locality_load(z, false);
    if (home + rest <= 0) return part;
    for (const auto& [key, table] : tables) {
      if (key.locality != z || !in_use(key)) continue;
      double weight = key.home ? home : rest, total = 0, bands = 0;
      for (const auto& [other, t] : tables)
        if (other.locality == z && other.home == key.home && in_use(other)) ++bands;
      for (const auto& [id, w] : table.sent) total += w;
      if (total <= 0) continue;
      for (const auto& [id, w] : table.sent) part[id] += w / total * weight / (home + rest) / bands;
    }
    return part;
  }

  double fail_share(const Endpoint& ep) const {
    double bad = 0, tries = 0;
    for (const auto& [z, path] : ep.paths) bad += path.bad, tries += path.tries();
    return tries >= kFailsLeast ? bad / tries : 0;
  }

  // An unheard endpoint counts as average, by having no say: its last figure may be long out of date.
  bool counts(const Endpoint& ep) const {
    return ep.open() && ep.base > 0 && ep.silent_periods < kUnheardPeriods;
  }

  // Latency over the lowest seen; failed tries count as so much more waiting, lest a server that turns work
  // away look fast.
  double slowdown(const Endpoint& ep) const {
    if (ep.base <= 0) return 1;
    return ep.latency / ep.base / std::max(0.2, 1 - fail_share(ep));
  }

  double threshold(const Endpoint& ep) const {
    if (ep.base <= 0) return kSlowdownMost;
    return std::clamp(1 + kSloPart * tightest_slo() / ep.base, kSlowdownLeast, kSlowdownMost);
  }

  double tightest_slo() const {
    Duration tightest = set.classes.front().slo;
    for (const RequestClass& c : set.classes) tightest = std::min(tightest, c.slo);
    return tightest.count();
  }

  double mean_of(double (State::*figure)(const Endpoint&) const, double none = 1) const {
    double sum = 0, weight = 0;
    for (const auto& [id, ep] : endpoints)
      if (counts(ep)) sum += ep.load * (this->*figure)(ep), weight += ep.load;
    return weight > 0 ? sum / weight : none;
  }

  // Near T by latency and, where reports tell, busy: latency alone is noise at an endpoint with cores to
  // spare.
  bool queues(const Endpoint& ep) const {
    return slowdown(ep) - 1 >= kCommon * (threshold(ep) - 1) && (ep.busy < 0 || ep.busy >= kBusyFull);
  }

  bool ejected(const Endpoint& ep, Locality from) const {
    auto own = ep.paths.find(ep.listed.locality), path = ep.paths.find(from);
    return (own != ep.paths.end() && own->second.ejected) || (path != ep.paths.end() && path->second.ejected);
  }

  // ---- The BFAIR step ----
  void bfair_step() {
    const Endpoint* slowest = nullptr;
    for (const auto& [id, ep] : endpoints)
      if (counts(ep) && !ejected(ep, ep.listed.locality) &&
          (!slowest || slowdown(ep) / threshold(ep) > slowdown(*slowest) / threshold(*slowest)))
        slowest = &ep;
    if (!slowest) return;
    std::size_t n = set.classes.size();
    std::vector<double> demand(n, 0);
    double tries = 0, capacity = 0;
    for (const auto& [z, path] : slowest->paths) tries += path.tries();
    for (const auto& [z, path] : slowest->paths) {
      double local = locality_load(z, true) + locality_load(z, false);
      if (tries <= 0 || local <= 0) continue;
      double zone_load = slowest->load * path.tries() / tries;
      for (const auto& [id, p] : proxies)
        if (p.locality == z)
          for (std::size_t c = 0; c < n; ++c) demand[c] += zone_load * admitted(p, c) / local;
    }
    // Capacity is what was answered: tries that fail there are demand, not proof of capacity.
    double answered = std::max(kAnsweredLeast, 1 - mean_of(&State::fail_share, 0));
    for (double d : demand) capacity += (1 - kAlpha) * d * answered;
    std::vector<double> fair = max_min_shares(capacity, demand);
    // Exception: servers far slower than the rest are drained by their weights; cutting whole classes for
    // them would refuse work that the others can do. Cuts wait until most of the load meets queueing.
    double queueing = 0, all = 0;
    for (const auto& [id, ep] : endpoints) {
      if (!counts(ep)) continue;
      all += ep.load;
      if (queues(ep)) queueing += ep.load;
    }
    bool common = queueing >= kMostLoad * all;
    bool overloaded = slowest->slow_periods >= kCutWaitPeriods && common && now >= next_cut;
    // A cut shows only in tries that start after it, and those end a latency later: the next one waits so
    // long.
    if (overloaded)
      next_cut = now + set.push_delay_most + set.period * kCutWaitPeriods + Duration(slowest->latency);
    double drain = std::clamp(mean_of(&State::threshold) / mean_of(&State::slowdown), kDrainMost, 1.0);
    for (std::size_t c = 0; c < n; ++c) {
      double used = throughput(c);
      Rate& rate = rates[c];
      if (overloaded && fair[c] < demand[c]) {
        // Exception: what has jammed must drain, so the rate dips below the share and comes back to it
        // quickly.
        double from = rate.limit < rate.share ? rate.share : std::min(rate.limit, used);
        rate.share = from * fair[c] / demand[c];
        rate.limit = rate.share * drain;
      } else if (rate.limited() && !(common && slowest->slow_periods > 0)) {
        if (rate.limit < rate.share)
          rate.limit = std::min(rate.share, rate.limit * (1 + kRegain));
        else if (rate.limit < kRateOverUse * used)
          rate.limit *= 1 + kBeta;
        else
          rate = Rate{};  // binds nobody any more
      }
    }
  }

  // ---- The weight step ----
  void weight_step() {
    double mean = mean_of(&State::slowdown);
    for (auto& [id, ep] : endpoints) {
      double off = counts(ep) ? slowdown(ep) / mean : 1;
      if (off < 1 + kDeadBand && off > 1 / (1 + kDeadBand)) off = 1;
      // The nudge fades: a baseline that chance set low makes an endpoint look slow for good, and a step that
      // only adds up would drain it.
      ep.nudge =
          std::clamp(std::pow(ep.nudge, kNudgeKeep) * std::pow(off, -kWeightGain), kWeightLeast, kWeightMost);
    }
  }

  // ---- Health ----
  void judge_health() {
    for (std::size_t z = 0; z < set.localities.size(); ++z) {
      Locality from = Locality(z);
      double all_bad = 0, all_tries = 0, listed = 0, healthy = 0;
      for (auto& [id, ep] : endpoints) {
        if (!ep.open()) continue;
        listed += ep.listed.size;
        if (!ejected(ep, from)) healthy += ep.listed.size;
        if (auto p = ep.paths.find(from); p != ep.paths.end() && !p->second.ejected)
          all_bad += p->second.bad, all_tries += p->second.tries();
      }
      for (auto& [id, ep] : endpoints) {
        auto found = ep.paths.find(from);
        if (!ep.open() || found == ep.paths.end()) continue;
        Path& path = found->second;
        if (path.ejected) {
          if (now >= path.until && (!set.may_probe || ep.probes_good >= kProbesGood)) {
            path = Path{.placed = now, .returned = now, .relapse_watch = true, .ejections = path.ejections};
          }
          continue;
        }
        double others = all_tries - path.tries();
        double others_bad = others > 0 ? (all_bad - path.bad) / others : 0;
        double share = path.tries() > 0 ? path.bad / path.tries() : 0;
        if (others_bad > kCommonBad) continue;  // what fails everywhere has a common cause
        bool dead = path.bad >= kFailsLeast && share >= kDeadShare;
        bool errors = path.bad >= kFailsLeast + 1 && share > others_bad + kErrorShare &&
                      ep.latency < ep.base * threshold(ep);
        bool silent = path.expected >= kSilentTries && path.tries() < kSilentShare * path.expected;
        if (!(dead || errors || silent) || healthy - ep.listed.size < kPanic * listed) continue;
        healthy -= ep.listed.size;
        path.ejected = true;
        path.until = now + kEjectLeast * std::exp2(std::min(path.ejections, kEjectDoublings));
        ++path.ejections;
        ep.probes_good = 0;
        out.push_back(Remark{"eject " + std::to_string(at(id)) +
                             (dead     ? " dead"
                              : errors ? " errors"
                                       : " silent") +
                             " seen from " + set.localities[z]});
      }
    }
  }

  // Once a step each open endpoint is probed where probes are allowed and load reports come by no other way;
  // else only the ejected, on their way back.
  void send_probes() {
    if (!set.may_probe) return;
    for (auto& [id, ep] : endpoints) {
      bool any = set.reports_by_probe;
      for (auto& [z, path] : ep.paths) any |= path.ejected;
      if (ep.open() && any) out.push_back(Probe{id});
    }
  }

  void on(const ProbeResult& e) {
    auto found = endpoints.find(e.endpoint);
    if (found == endpoints.end()) return;
    note_load(found->second, e.load);
    found->second.probes_good = e.outcome == Outcome::delivered ? found->second.probes_good + 1 : 0;
  }

  // ---- Slow start ----
  // The capacity that a starting endpoint is guaranteed to have; the work sent follows it, so that whatever
  // the true ramp, no more than the usual load for its capacity arrives. An endpoint back from ejection may
  // have restarted unseen, so it eases in alike, in half the time.
  double ramp(const Endpoint& ep, const Path* path) const {
    auto part = [&](Time since, Duration over) {
      return std::clamp(set.start_capacity + (1 - set.start_capacity) * ((now - since) / over), 0.0, 1.0);
    };
    double r = 1;
    if (ep.listed.started_known) r = part(ep.listed.started, set.warm_up);
    if (path && path->relapse_watch) r = std::min(r, part(path->returned, set.warm_up / 2));
    return r;
  }

  double strength(const Endpoint& ep, Locality from) const {
    if (!ep.open() || ejected(ep, from)) return 0;
    auto p = ep.paths.find(from);
    double r = ramp(ep, p == ep.paths.end() ? nullptr : &p->second);
    if (r >= 1) return ep.listed.size * ep.speed * ep.nudge;
    // Rule 4 in a jam: the fleet's overload, repeats and all, would come to a cold endpoint as well. It waits
    // until the others no longer fail, or nothing else is left; a controller just started knows of no calm
    // yet.
    if (mean_of(&State::fail_share, 1) > kCommonBad) return 0;
    return ep.listed.size * ep.speed * r * std::min(1.0, ep.nudge);
  }

  // ---- Tables ----
  // Local endpoints by strength; what a locality has over the fleet's mean load goes to the localities under
  // it.
  std::map<EndpointId, double> wanted_lines(const TableKey& key) const {
    std::size_t zones = set.localities.size();
    std::vector<double> strong(zones, 0), load(zones, 0);
    double all_strong = 0, all_load = 0;
    for (const auto& [id, ep] : endpoints) strong[at(ep.listed.locality)] += strength(ep, key.locality);
    for (std::size_t z = 0; z < zones; ++z) {
      load[z] = locality_load(Locality(z), true) + locality_load(Locality(z), false);
      all_strong += strong[z], all_load += load[z];
    }
    std::vector<double> factor(zones, 0);  // weight of a unit of strength, by the endpoint's locality
    std::size_t own = at(key.locality);
    factor[own] = 1;
    if (!key.home && all_strong > 0) {
      double mean = all_load / all_strong;
      double keep = strong[own] * mean * (1 + kSpillSlack);
      double over = std::min(std::max(0.0, load[own] - keep), locality_load(key.locality, false));
      double spare = 0;
      for (std::size_t z = 0; z < zones; ++z)
        if (z != own) spare += std::max(0.0, strong[z] * mean - load[z]);
      double stays = load[own] - over;
      if (strong[own] <= 0) {
        std::fill(factor.begin(), factor.end(), 1);
      } else if (over > 0 && spare > 0 && stays > 0) {
        for (std::size_t z = 0; z < zones; ++z)
          if (z != own && strong[z] > 0)
            factor[z] =
                over * std::max(0.0, strong[z] * mean - load[z]) / spare / strong[z] / (stays / strong[own]);
      }
    }
    std::map<EndpointId, double> lines;
    for (const auto& [id, ep] : endpoints)
      if (double w = strength(ep, key.locality) * factor[at(ep.listed.locality)]; w > 0) lines[id] = w;
    if (!lines.empty()) return lines;
    // Rule 1: rather a suspect endpoint than none.
    for (const auto& [id, ep] : endpoints)
      if (ep.open() && (!key.home || ep.listed.locality == key.locality))
        lines[id] = ep.listed.size * ramp(ep, {});
    return lines;
  }

  // ---- Retry modes ----
  RetryMode retry_mode(std::size_t c) const {
    const RequestClass& rc = set.classes[c];
    // What fails everywhere finds no better endpoint: a second try would only be one more knock at full
    // doors.
    if (mean_of(&State::fail_share, 0) > kCommonBad) return RetryMode::never;
    // Just (re)started, into whatever jam there is: no more than is usual, and nothing without proof.
    if (mean_of(&State::slowdown, 0) == 0) return std::min(set.default_retry, RetryMode::after_proof);
    bool loaded = mean_of(&State::slowdown) > kLoadedSlowdown;
    for (const Rate& r : rates) loaded |= r.limited();
    bool repeat_is_safe = rc.semantics == Semantics::retryable ||
                          (rc.semantics == Semantics::dedup && rc.scope == DedupScope::all &&
                           2 * set.retry_wait_factor * rc.slo < rc.dedup_window);
    return repeat_is_safe && !loaded ? RetryMode::once : RetryMode::after_proof;
  }

  // ---- Levels: the throughput split over bands ----
  double wanted_level(const TableKey& key, std::size_t c) const {
    return std::min(shared_level(key, c), cold_level(key) / static_cast<double>(set.classes.size()));
  }

  // Rule 4 where weights can't help: while all that a table may use is cold (a home-only class, its locality
  // back from a loss), its proxies let in no more than their usual rate times the guaranteed part of the
  // capacity.
  double cold_level(const TableKey& key) const {
    double warmest = 0, usual = 0, count = 0;
    for (const auto& [id, ep] : endpoints)
      if (ep.open() && (!key.home || ep.listed.locality == key.locality))
        warmest = std::max(warmest, ramp(ep, {}));
    if (set.level_kind != LevelKind::rate || warmest >= 1 || warmest <= 0) return kOpenRate;
    for (const auto& [id, p] : proxies)
      if (p.locality == key.locality && p.band == key.band) usual += p.usual, ++count;
    return count > 0 ? usual / count * warmest : kOpenRate;
  }

  double shared_level(const TableKey& key, std::size_t c) const {
    if (set.level_kind == LevelKind::none || !rates[c].limited())
      return set.level_kind == LevelKind::rate ? kOpenRate : 1;
    double all = 0, band = 0;
    std::vector<double> came;
    for (const auto& [id, p] : proxies) {
      double in = admitted(p, c);
      all += in;
      if (p.locality != key.locality || p.band != key.band) continue;
      band += in;
      came.push_back(p.came[c]);
    }
    if (all <= 0 || came.empty()) return set.level_kind == LevelKind::rate ? kOpenRate : 1;
    if (set.level_kind == LevelKind::share) return std::min(1.0, rates[c].limit / all);
    double part = rates[c].limit * band / all;
    std::vector<double> fair = max_min_shares(part, came);
    double most = *std::max_element(fair.begin(), fair.end()), sum = 0;
    for (double f : fair) sum += f;
    return std::max(most, part - sum + most);
  }

  // ---- Pace of orders ----
  bool moved(double from, double to) const { return std::abs(to - from) > kMoved * std::max(from, 1e-9); }

  // Writes what has moved; true if anything was written.
  bool write_table(const TableKey& key, Table& table) {
    std::size_t before = out.size();
    std::map<EndpointId, double> want = wanted_lines(key);
    for (auto& [id, w] : want) {
      auto had = table.sent.find(id);
      if (had != table.sent.end() && !moved(had->second, w)) continue;
      Path& path = endpoints[id].paths[key.locality];
      if (had == table.sent.end()) path.placed = now, path.in_table = true;
      table.sent[id] = w;
      out.push_back(SetLine{table.id, id, w});
    }
    for (auto it = table.sent.begin(); it != table.sent.end();) {
      if (want.contains(it->first)) {
        ++it;
        continue;
      }
      out.push_back(SetLine{table.id, it->first, 0});
      it = table.sent.erase(it);
    }
    for (std::size_t c = 0; c < set.classes.size(); ++c) {
      if (set.classes[c].home_only != key.home) continue;
      Level want_level{wanted_level(key, c), retry_mode(c)};
      Level& had = table.levels[c];
      if (had.amount >= 0 && had.retry == want_level.retry && !moved(had.amount, want_level.amount)) continue;
      had = want_level;
      out.push_back(Admit{table.id, false, ClassMask{1} << c, had.amount, had.retry});
    }
    return out.size() > before;
  }

  // A line that must go or halve at once: draining, gone, ejected or restarted cold.
  bool urgent(const TableKey& key, const Table& table) const {
    std::map<EndpointId, double> want = wanted_lines(key);
    for (const auto& [id, w] : table.sent) {
      auto it = want.find(id);
      if ((it == want.end() ? 0 : it->second) < w / 2) return true;
    }
    return false;
  }

  double waiting_lines() const {  // at most: sent and not yet confirmed as applied
    double sum = 0;
    for (const auto& [id, p] : proxies)
      for (const auto& [s, lines] : p.unacked) sum += lines;
    return sum;
  }

  void publish() {
    double waiting = waiting_lines();
    Duration gap = std::max(kStep, set.period);
    if (set.pushes_allowed > 0) gap = std::max(gap, set.pushes_span / (kPushPart * set.pushes_allowed));
    for (auto& [key, table] : tables) {
      std::size_t most_pushes = 0;
      std::vector<ProxyId> users;
      for (auto& [id, p] : proxies)
        if (p.bound && p.locality == key.locality && p.band == key.band) {
          users.push_back(id);
          while (!p.pushes.empty() && now - p.pushes.front() > set.pushes_span) p.pushes.pop_front();
          most_pushes = std::max(most_pushes, p.pushes.size());
        }
      if (users.empty()) continue;
      bool now_due = urgent(key, table);
      double allowed = set.pushes_allowed > 0 ? set.pushes_allowed : 1e9;
      if (static_cast<double>(most_pushes) + 1 > (now_due ? allowed - 1 : allowed * kPushPart)) continue;
      if (!now_due && (now - table.last_push < gap || waiting > kQueuePart * set.most_waiting_lines))
        continue;
      std::size_t before = out.size();
      if (!write_table(key, table)) continue;
      table.last_push = now;
      for (ProxyId id : users) message[id] += static_cast<double>(out.size() - before);
    }
  }

  void close_message() {
    if (message.empty()) return;
    serial = (serial + 1) % kSerials;
    out.push_back(Barrier{serial, false});
    for (auto& [id, lines] : message) {
      auto p = proxies.find(id);
      if (p == proxies.end()) continue;
      p->second.unacked.emplace_back(serial, lines + 1 + set.envelope_lines);
      p->second.pushes.push_back(now);
    }
    message.clear();
  }

  void on(const OrderApplied& e) {
    auto p = proxies.find(e.proxy);
    if (p == proxies.end()) return;
    auto& queue = p->second.unacked;
    auto hit = std::find_if(queue.begin(), queue.end(), [&](auto& m) { return m.first == e.serial; });
    if (hit != queue.end()) queue.erase(queue.begin(), hit + 1);
  }

  // ---- Sites with slices ----
  void on(const SliceGiven& e) {
    if (e.given)
      slices[e.slice] = Slice{};
    else
      slices.erase(e.slice);
  }
  void on(const SliceHeld& e) {
    if (auto s = slices.find(e.slice); s != slices.end()) s->second.lines[e.endpoint] = e.weight;
  }

  // Every slice keeps an open endpoint. A single-writer slice is stopped first (level 0) and moves when what
  // the former owner holds must have ended.
  void settle_slices() {
    std::map<EndpointId, double> load;
    for (auto& [id, ep] : endpoints)
      if (ep.open() && ramp(ep, nullptr) >= 1) load[id] = 0;
    if (load.empty())
      for (auto& [id, ep] : endpoints)
        if (ep.open()) load[id] = 0;
    for (auto& [t, slice] : slices)
      for (auto& [id, w] : slice.lines)
        if (load.contains(id)) load[id] += 1 / std::max(endpoints[id].listed.size, 1e-3);
    for (auto& [t, slice] : slices) {
      bool served = false;
      for (auto& [id, w] : slice.lines) {
        auto ep = endpoints.find(id);
        served |= ep != endpoints.end() && ep->second.open();
      }
      if ((served && !slice.moving) || load.empty()) continue;
      if (set.single_writer && !slice.moving) {
        slice.moving = true;
        slice.move_at = now + set.push_delay_most + set.lease + set.settle;
        out.push_back(Admit{t, false, 0, 0, RetryMode::never});
        continue;
      }
      if (slice.moving && now < slice.move_at) continue;
      auto best =
          std::min_element(load.begin(), load.end(), [](auto& a, auto& b) { return a.second < b.second; });
      if (!set.single_writer)
        for (auto& [id, w] : slice.lines) out.push_back(SetLine{t, id, 0});
      slice.lines = {{best->first, 1}};
      out.push_back(SetLine{t, best->first, 1});
      if (slice.moving)
        out.push_back(
            Admit{t, false, 0, set.level_kind == LevelKind::rate ? kOpenRate : 1, set.default_retry});
      best->second += 1 / std::max(endpoints[best->first].listed.size, 1e-3);
      slice.moving = false;
    }
  }

  void on(const TimerFired&) {}
  void on(const PeerMessage&) {}
  void on(const SliceUsage&) {}

  void start() {
    started = true;
    list_heard = now;
    next_period = now + set.period;
    next_cut = now;
    next_step = now + kStep;
    if (set.list_on_request) out.push_back(WatchList{true});
    out.push_back(SetTimer{next_period, kTickToken});
  }

  std::vector<Action> handle(Time time, const std::vector<Event>& events) {
    now = time;
    out.clear();
    for (const Event& e : events) std::visit([&](const auto& x) { on(x); }, e);
    if (!started) start();
    follow_list();
    if (now >= next_period) {
      close_period();
      judge_health();
      if (now >= next_step) {
        bfair_step();
        learn_speeds();
        weight_step();
        send_probes();
        next_step = std::max(next_step + kStep, now);
      }
      next_period = std::max(next_period + set.period, now);
      out.push_back(SetTimer{std::max(next_period, now + set.period / 4), kTickToken});
    }
    if (set.slices > 0) {
      settle_slices();
    } else {
      publish();
      bind_joined();
    }
    close_message();
    return std::move(out);
  }
};

Brain::Brain(Settings settings) : state_(std::make_unique<State>(std::move(settings))) {}
Brain::~Brain() = default;
Brain::Brain(Brain&&) noexcept = default;
Brain& Brain::operator=(Brain&&) noexcept = default;
std::vector<Action> Brain::handle(Time now, const std::vector<Event>& events) {
  return state_->handle(now, events);
}

}  // namespace beamshunt
