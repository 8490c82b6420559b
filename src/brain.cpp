// All decisions of beamshunt. The interface (settings, events, actions) is src/brain.h; why each part is as
// it is, and when each exception to the BFAIR policy acts: docs/design.md.
#include "brain.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <numeric>
#include <set>
#include <utility>

namespace beamshunt {
namespace {

// ---- Constants: unit, reason ----
// BFAIR step.
constexpr Duration kStep{1000};  // BFAIR and weight step: once a second, as in the paper
constexpr double kSmoothing = 0.5, kBaseSmoothing = 0.05;  // weight of a period's sample; for the baseline
constexpr double kBaseTries = 20;                          // answered tries before a baseline is taken
constexpr double kBaseMost = 0.5;            // of the tightest SLO: a higher baseline was taken in a jam
constexpr double kTMost = 10;                // T, the slowdown that makes a bottleneck, at most
constexpr double kTSloPart = 0.3;            // T: queueing takes this part of the tightest SLO
constexpr double kAlpha = 0.1;               // part of the bottleneck's demand that a cut takes away
constexpr double kBeta = 0.05;               // growth of a rate that isn't cut, each step
constexpr double kBetaFree = 0.3;            // and so much more where all of the fleet's room is free
constexpr double kRateOverUse = 2;           // a rate grows only while under this multiple of its throughput
constexpr int kCutWait = 3;                  // periods above T before a cut
constexpr int kUnheard = 4, kReportAge = 8;  // periods without an ended try, a load report: no say
constexpr double kRoomLeast = 0.15;  // a fleet with more free room than this needs better weights, not cuts
constexpr double kAnsweredLeast = 0.5;  // a cut trusts no smaller answered part: what fails fast fails often
constexpr double kAnsweredSlow = 0.2;   // slowdown counts no smaller answered part, for the same reason
constexpr double kNoLimit = std::numeric_limits<double>::infinity();  // the rate of a class never cut
// Weights.
constexpr double kBusyLeast = 0.1, kBusyFull = 0.85;  // utilization that tells a speed; that leaves no core
constexpr double kSpeedSmoothing = 0.15;              // weight of a step's speed sample: noisy and late
constexpr double kSpeedLeast = 0.1, kSpeedMost = 4;   // bounds of what reports make of a listed size
constexpr double kDeadBand = 0.25;                    // slowdowns this near to the mean leave a weight alone
constexpr double kWeightGain = 0.3;                   // exponent of the weight step
constexpr double kNudgeKeep = 0.8;                    // what a step leaves of the nudge's exponent
constexpr double kNudgeMin = 0.2, kNudgeMax = 2;      // bounds of the nudge
// Health and retries.
constexpr double kFailKeep = 0.7;  // what a period leaves of the counts of good and failed tries
constexpr double kFailsLeast = 3;  // failed tries that are evidence at all
constexpr int kBarren = 2;  // periods without a good answer that make failed tries or probes a dead endpoint
constexpr double kCommonBad = 0.2;  // the others failing this share: a common cause, none is to blame
constexpr double kPanic = 0.4;      // no ejection that leaves less than this part of the listed size
constexpr Duration kEjectLeast{
    3000};  // first ejection; each relapse doubles it, kEjectDoublings times at most
constexpr int kEjectDoublings = 3, kProbes = 2;  // and so many answered probes in a row before the return
constexpr double kLoadedSlowdown = 2;  // mean slowdown above which nothing is repeated without proof
// Orders.
constexpr double kMoved = 0.1;     // a weight or level is sent once it moved by over this part
constexpr double kBandRatio = 4;   // usual rates within one band differ by at most this
constexpr double kOpenRate = 1e6;  // requests/s: a level that binds nobody
constexpr double kQueuePart = 0.4, kPushPart = 0.6;  // of queue and messages allowed: for ordinary orders
constexpr double kAskPart = 0.8;                     // of must_ask_in: a quiet subscription is renewed then
constexpr std::uint32_t kSerials = 65536;

template <typename Id>
std::size_t at(Id id) {
  return static_cast<std::size_t>(id);
}
void smooth(double& value, double sample, double weight, bool first = false) {
  value = first ? sample : value + weight * (sample - value);
}

// What one locality's proxies met at one endpoint. Health is kept by path: a cut between localities shows
// dead endpoints to one side only; a dead endpoint fails for its own locality too.
struct Path {
  double good = 0, bad = 0;          // tries, fading by kFailKeep each period
  double new_good = 0, new_bad = 0;  // since the last period
  bool ejected = false, eases_in = false;
  Time until{}, returned{};
  int ejections = 0, barren = 0;  // barren: periods in a row without a good answer
  double tries() const { return good + bad; }
};

struct Endpoint {
  ListedEndpoint listed;
  double latency = 0, steady = 0, base = 0;  // smoothed, smoothed longer, and the lowest of that (ms)
  double answered = 0;                       // tries that a latency is known of
  double latency_sum = 0, latency_count = 0;
  double load = 0, served = 0;  // tries and good tries a second, smoothed
  double busy = -1;             // utilization by load reports, smoothed; below 0: none yet
  double speed = 1, nudge = 1;  // what load reports and the weight step make of the listed size
  int slow_periods = 0, silent_periods = 0, report_age = 0;  // in periods
  int probes = 0;  // answered in a row; below 0: unanswered in a row
  std::map<Locality, Path> paths;
  bool open() const { return listed.state == EndpointState::in_service; }
};

struct GroupKey {  // proxies that share tables: by locality and throughput band
  Locality locality{};
  int band = 0;
  auto operator<=>(const GroupKey&) const = default;
};

struct Proxy {
  GroupKey group;
  bool bound = false;
  double usual = 0;
  std::vector<double> came;  // requests a second by class, smoothed; below 0: not heard of
  std::deque<std::pair<std::uint32_t, double>> unacked;  // serial and lines of messages on their way
  std::deque<Time> pushes;                               // messages within the span
};

struct Table {
  TableId id{};
  std::map<EndpointId, double> sent;
};

struct Group {
  std::map<bool, Table> tables;                      // by whether the classes on it must stay at home
  std::vector<std::pair<double, RetryMode>> levels;  // by class, as sent; below 0: not sent yet
  Time last_push{};
};

struct Slice {
  std::map<EndpointId, double> lines;
  bool stopped = false;
  Time move_at{};
};

}  // namespace

std::vector<double> max_min_shares(double capacity, const std::vector<double>& demand) {
  std::vector<std::size_t> order(demand.size());
  std::iota(order.begin(), order.end(), 0);
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
  Duration tightest_slo = Duration::max();
  std::map<EndpointId, Endpoint> endpoints;
  std::map<ProxyId, Proxy> proxies;
  std::map<GroupKey, Group> groups;
  std::map<TableId, Slice> slices;
  std::vector<double> rates;  // admission rates by class, requests/s
  Time now{}, next_cut{}, next_period{}, next_step{}, list_retry{}, list_asked{};
  bool started = false, list_waiting = false;
  int list_failures = 0;
  std::uint32_t next_table = 0, serial = 0;
  std::vector<Action> out;
  std::map<ProxyId, double> message;  // lines of this reply, by proxy

  explicit State(Settings s) : set(std::move(s)), rates(set.classes.size(), kNoLimit) {
    for (const RequestClass& c : set.classes) tightest_slo = std::min(tightest_slo, c.slo);
    set.default_retry = std::min(set.default_retry, RetryMode::after_proof);  // rule 2: what we order is ours
  }

  // ---- The list ----
  void on(const EndpointList& e) {
    if (e.kind == ListKind::lost) {
      list_waiting = true;
      list_retry = now + std::min(set.must_ask_in / 8, set.period * std::exp2(std::min(++list_failures, 4)));
      return;
    }
    if (e.kind != ListKind::warm_copy) list_failures = 0, list_asked = now;
    std::set<EndpointId> named;
    for (const ListedEndpoint& entry : e.entries) {
      named.insert(entry.id);
      Endpoint& ep = endpoints[entry.id];
      // A restart under the same id: what was known of its health and speed is void.
      if (entry.started_known && (!ep.listed.started_known || ep.listed.started != entry.started)) ep = {};
      ep.listed = entry;
    }
    if (e.kind == ListKind::incremental) return;
    for (auto& [id, ep] : endpoints)
      if (!named.contains(id)) ep.listed.state = EndpointState::terminated;
  }

  void follow_list() {
    if (!set.list_on_request) return;
    if (list_waiting ? now < list_retry : now - list_asked < set.must_ask_in * kAskPart) return;
    list_waiting = false;
    list_asked = now;
    out.push_back(WatchList{true});
  }

  // ---- Proxies and binding ----
  void on(const ProxyJoined& e) {
    Proxy p;
    p.usual = e.usual_rate;
    if (p.usual <= 0) {  // unknown: counts as average
      double sum = 0;
      for (const auto& [id, other] : proxies) sum += other.usual;
      p.usual = sum > 0 ? sum / static_cast<double>(proxies.size()) : 1;
    }
    p.group = {e.locality, static_cast<int>(std::floor(std::log(p.usual) / std::log(kBandRatio)))};
    p.came.assign(set.classes.size(), -1);
    proxies[e.proxy] = std::move(p);
  }
  void on(const ProxyLeft& e) { proxies.erase(e.proxy); }

  std::vector<std::pair<ProxyId, Proxy*>> members(const GroupKey& key) {
    std::vector<std::pair<ProxyId, Proxy*>> found;
    for (auto& [id, p] : proxies)
      if (p.group == key && p.bound) found.emplace_back(id, &p);
    return found;
  }

  // Once a stream, after all else of the batch: what the proxy holds is unknown, a full bind settles it.
  void bind_joined() {
    ClassMask masks[2] = {0, 0};  // free to leave their locality; home-only
    for (std::size_t c = 0; c < set.classes.size(); ++c) masks[set.classes[c].home_only] |= ClassMask{1} << c;
    for (auto& [id, p] : proxies) {
      if (p.bound) continue;
      Group& group = groups[p.group];
      for (bool home : {false, true})
        if (masks[home] != 0 && !group.tables.contains(home)) group.tables[home].id = TableId{next_table++};
      if (members(p.group).empty()) write_group(p.group, group);  // costs nothing while nobody uses it
      p.bound = true;
      for (auto& [home, table] : group.tables) {
        message[id] += 1.0 + static_cast<double>(table.sent.size() + set.classes.size());
        out.push_back(Bind{masks[home], id, table.id});
      }
    }
  }

  // ---- Estimates ----
  void on(const EndpointHeard& e) {
    auto found = endpoints.find(e.endpoint);
    if (found == endpoints.end()) return;
    Endpoint& ep = found->second;
    Path& path = ep.paths[e.from];
    double good = std::max(0.0, e.tries - e.failed);
    path.new_good += good, path.new_bad += e.failed;
    note_load(ep, e.load);
    if (good > 0 && e.latency.count() > 0)
      ep.latency_sum += good * e.latency.count(), ep.latency_count += good;
  }

  void on(const ProxyUsage& e) {
    auto found = proxies.find(e.proxy);
    if (found == proxies.end() || e.span.count() <= 0) return;
    double& came = found->second.came[at(e.request_class)];
    smooth(came, e.came / (e.span / Duration(1000)), kSmoothing, came < 0);
  }

  void note_load(Endpoint& ep, const LoadReport& load) {
    if (auto u = load.find("utilization"); u != load.end())
      smooth(ep.busy, std::clamp(u->second, 0.0, 1.0), kSmoothing, ep.busy < 0), ep.report_age = 0;
  }

  void close_period() {
    for (auto& [id, ep] : endpoints) {
      double good = 0, bad = 0, seconds = set.period / Duration(1000);
      for (auto& [z, path] : ep.paths) {
        good += path.new_good, bad += path.new_bad;
        path.barren = path.new_good > 0 ? 0 : path.barren + 1;
        path.good = path.good * kFailKeep + path.new_good;
        path.bad = path.bad * kFailKeep + path.new_bad;
        path.new_good = path.new_bad = 0;
      }
      smooth(ep.load, (good + bad) / seconds, kSmoothing);
      smooth(ep.served, good / seconds, kSmoothing);
      ep.silent_periods = good + bad > 0 ? 0 : ep.silent_periods + 1;
      if (++ep.report_age > kReportAge) ep.busy = -1;  // else, across a cut, its speed would seem to fade
      if (ep.latency_count > 0) {
        double sample = ep.latency_sum / ep.latency_count;
        smooth(ep.latency, sample, kSmoothing, ep.answered == 0);
        smooth(ep.steady, sample, kBaseSmoothing, ep.answered == 0);
        ep.answered += ep.latency_count;
        if (ep.answered >= kBaseTries)
          ep.base = std::min(ep.base > 0 ? ep.base : kBaseMost * tightest_slo.count(), ep.steady);
      }
      ep.latency_sum = ep.latency_count = 0;
      ep.slow_periods = slowdown(ep) > threshold(ep) ? ep.slow_periods + 1 : 0;
    }
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
    for (auto& [id, ep] : endpoints) {
      if (!known(ep)) continue;
      double sample = ep.served / ep.busy / ep.listed.size * size / speed;
      smooth(ep.speed, std::clamp(sample, kSpeedLeast, kSpeedMost), kSpeedSmoothing);
    }
  }

  // Requests a second of a class that a proxy lets in; unheard, as announced: as idle it would not spill.
  double admitted(const Proxy& p, std::size_t c) const {
    double came = p.came[c] >= 0 ? p.came[c] : p.usual / static_cast<double>(p.came.size());
    auto group = groups.find(p.group);
    if (set.level_kind != LevelKind::rate || group == groups.end() || group->second.levels.empty())
      return came;
    double level = group->second.levels[c].first;  // below 0 while a new group's first levels are being made
    return level < 0 ? came : std::min(came, level);
  }

  double throughput(std::size_t c) const {
    double sum = 0;
    for (const auto& [id, p] : proxies) sum += admitted(p, c);
    return sum;
  }

  double locality_load(Locality z, bool home) const {
    double sum = 0;
    for (const auto& [id, p] : proxies)
      for (std::size_t c = 0; c < set.classes.size() && p.group.locality == z; ++c)
        if (set.classes[c].home_only == home) sum += admitted(p, c);
    return sum;
  }

  // An unheard endpoint counts as average, by having no say: its last figure may be long out of date.
  bool counts(const Endpoint& ep) const { return ep.open() && ep.base > 0 && ep.silent_periods < kUnheard; }

  double fail_share(const Endpoint& ep) const {
    double bad = 0, tries = 0;
    for (const auto& [z, path] : ep.paths) bad += path.bad, tries += path.tries();
    return tries >= kFailsLeast ? bad / tries : 0;
  }

  // Latency over the lowest seen. Failed tries count as so much more waiting, lest an endpoint that turns
  // work away or answers errors quickly look fast and idle.
  double slowdown(const Endpoint& ep) const {
    return ep.base <= 0 ? 1 : ep.latency / ep.base / std::max(kAnsweredSlow, 1 - fail_share(ep));
  }

  double threshold(const Endpoint& ep) const {  // T, by the SLO and the endpoint's own baseline
    return ep.base <= 0 ? kTMost : std::min(1 + kTSloPart * tightest_slo.count() / ep.base, kTMost);
  }

  // The part of an endpoint's room that is free: by load reports, else by how far its queueing is from T's.
  double headroom(const Endpoint& ep) const {
    double taken = ep.busy >= 0 ? ep.busy / kBusyFull : (slowdown(ep) - 1) / (threshold(ep) - 1);
    return std::clamp(1 - taken, 0.0, 1.0);
  }

  // The mean of a figure over the endpoints heard of, by load.
  double mean_of(double (State::*figure)(const Endpoint&) const, double if_none) const {
    double sum = 0, weight = 0;
    for (const auto& [id, ep] : endpoints)
      if (counts(ep)) sum += ep.load * (this->*figure)(ep), weight += ep.load;
    return weight > 0 ? sum / weight : if_none;
  }

  // ---- The BFAIR step ----
  void bfair_step() {
    const Endpoint* slowest = nullptr;
    for (const auto& [id, ep] : endpoints)
      if (counts(ep) && !ejected(ep, ep.listed.locality) &&
          (!slowest || slowdown(ep) / threshold(ep) > slowdown(*slowest) / threshold(*slowest)))
        slowest = &ep;
    if (!slowest) return;
    std::vector<double> demand(set.classes.size(), 0);
    double tries = 0, capacity = 0;
    for (const auto& [z, path] : slowest->paths) tries += path.tries();
    for (const auto& [z, path] : slowest->paths) {
      double local = locality_load(z, true) + locality_load(z, false);
      for (const auto& [id, p] : proxies)
        for (std::size_t c = 0; c < demand.size() && tries > 0 && local > 0 && p.group.locality == z; ++c)
          demand[c] += slowest->load * path.tries() / tries * admitted(p, c) / local;
    }
    // Capacity is what was answered: tries that fail there are demand, not proof of capacity.
    double answered = std::max(kAnsweredLeast, 1 - mean_of(&State::fail_share, 0));
    for (double d : demand) capacity += (1 - kAlpha) * d * answered;
    std::vector<double> fair = max_min_shares(capacity, demand);
    // Exception: endpoints far slower than the rest are drained by their weights; to cut whole classes for
    // them would refuse work that the others can do. Cuts wait until the fleet is full and slow as a whole.
    double room = mean_of(&State::headroom, 0);
    bool common = room < kRoomLeast && mean_of(&State::slowdown, 1) > mean_of(&State::threshold, 1);
    bool cut = slowest->slow_periods >= kCutWait && common && now >= next_cut;
    // A cut shows only in tries that start after it, which end a latency later: the next one waits so long.
    if (cut) next_cut = now + set.push_delay_most + set.period * kCutWait + Duration(slowest->latency);
    for (std::size_t c = 0; c < demand.size(); ++c) {
      double used = throughput(c);
      double& rate = rates[c];
      if (cut && fair[c] < demand[c]) {
        rate = std::min(rate, used) * fair[c] / demand[c];
      } else if (rate < kNoLimit && !(common && slowest->slow_periods > 0)) {
        if (rate < kRateOverUse * used) rate *= 1 + kBeta + kBetaFree * room;
        else rate = kNoLimit;  // binds nobody any more
      }
    }
  }

  // ---- The weight step ----
  void weight_step() {
    double mean = mean_of(&State::slowdown, 1);
    for (auto& [id, ep] : endpoints) {
      double off = counts(ep) ? std::max(slowdown(ep), 0.01) / mean : 1;
      if (off < 1 + kDeadBand && off > 1 / (1 + kDeadBand)) off = 1;
      // The nudge fades: a baseline that chance set low makes an endpoint look slow for good, and a step that
      // only adds up would drain it.
      ep.nudge =
          std::clamp(std::pow(ep.nudge, kNudgeKeep) * std::pow(off, -kWeightGain), kNudgeMin, kNudgeMax);
    }
  }

  // ---- Health ----
  bool ejected(const Endpoint& ep, Locality from) const {
    auto own = ep.paths.find(ep.listed.locality), path = ep.paths.find(from);
    return (own != ep.paths.end() && own->second.ejected) || (path != ep.paths.end() && path->second.ejected);
  }

  void judge_health(Locality from) {
    double all_bad = 0, all_tries = 0, listed = 0, healthy = 0;
    bool reached = false;  // by probes: silence there is the endpoint's, not the way's
    for (auto& [id, ep] : endpoints) {
      if (!ep.open()) continue;
      listed += ep.listed.size;
      if (!ejected(ep, from)) healthy += ep.listed.size;
      reached |= ep.listed.locality == from && ep.probes > 0;
      if (auto p = ep.paths.find(from); p != ep.paths.end() && !p->second.ejected)
        all_bad += p->second.bad, all_tries += p->second.tries();
    }
    for (auto& [id, ep] : endpoints) {
      if (!ep.open()) continue;
      Path& path = ep.paths[from];
      if (path.ejected) {
        if (now >= path.until && (!set.may_probe || ep.probes >= kProbes))
          path = Path{.eases_in = true, .returned = now, .ejections = path.ejections};
        continue;
      }
      double others = all_tries - path.tries();
      double others_bad = others > 0 ? (all_bad - path.bad) / others : 0;
      bool gone = reached && ep.listed.locality == from && ep.probes <= -kProbes;
      bool dead = path.barren >= kBarren && (gone || path.bad >= kFailsLeast);
      if (!dead || others_bad > kCommonBad || healthy - ep.listed.size < kPanic * listed) continue;
      healthy -= ep.listed.size;
      path.ejected = true;
      path.until = now + kEjectLeast * std::exp2(std::min(path.ejections++, kEjectDoublings));
      ep.probes = std::min(ep.probes, 0);
      std::string why = gone ? ": no probe answered, seen from " : ": tries fail, seen from ";
      out.push_back(Remark{"eject " + std::to_string(at(id)) + why + set.localities[at(from)]});
    }
  }

  // Each open endpoint where load reports come by no other way; else only the ejected, on their way back.
  void send_probes() {
    for (auto& [id, ep] : endpoints) {
      bool wanted = set.reports_by_probe;
      for (auto& [z, path] : ep.paths) wanted |= path.ejected;
      if (set.may_probe && ep.open() && wanted) out.push_back(Probe{id});
    }
  }

  void on(const ProbeResult& e) {
    auto found = endpoints.find(e.endpoint);
    if (found == endpoints.end()) return;
    note_load(found->second, e.load);
    int& run = found->second.probes;
    run = e.outcome == Outcome::delivered ? std::max(run, 0) + 1 : std::min(run, 0) - 1;
  }

  // ---- Slow start ----
  // The part of its capacity that a starting endpoint is guaranteed to have; the work sent follows it. One
  // back from ejection may have restarted unseen, so it eases in alike, in half the time.
  double ramp(const Endpoint& ep, const Path* path) const {
    auto part = [&](Time since, Duration over) {
      return std::clamp(set.start_capacity + (1 - set.start_capacity) * ((now - since) / over), 0.0, 1.0);
    };
    double r = ep.listed.started_known ? part(ep.listed.started, set.warm_up) : 1;
    return path && path->eases_in ? std::min(r, part(path->returned, set.warm_up / 2)) : r;
  }

  double strength(const Endpoint& ep, Locality from, double fleet_fails) const {
    if (!ep.open() || ejected(ep, from)) return 0;
    auto p = ep.paths.find(from);
    double r = ramp(ep, p == ep.paths.end() ? nullptr : &p->second);
    // Rule 4 in a jam: the fleet's overload, repeats and all, would come to a cold endpoint as well. It waits
    // until the others no longer fail or nothing else is left; a controller just started knows no calm yet.
    return r < 1 && fleet_fails > kCommonBad ? 0 : ep.listed.size * ep.speed * r;
  }

  // ---- Tables ----
  // Local endpoints by strength; a locality's load over the fleet's mean goes to the localities under it.
  std::map<EndpointId, double> wanted_lines(Locality own, bool home) const {
    std::size_t zones = set.localities.size(), here = at(own);
    std::vector<double> strong(zones, 0), spare(zones, 0), factor(zones, 0);  // factor: weight of a strength
    double all_strong = 0, all_load = 0, all_spare = 0, fleet_fails = mean_of(&State::fail_share, 1);
    for (const auto& [id, ep] : endpoints)
      strong[at(ep.listed.locality)] += strength(ep, own, fleet_fails) * std::sqrt(ep.nudge);
    for (std::size_t z = 0; z < zones; ++z) {
      spare[z] = -locality_load(Locality(z), true) - locality_load(Locality(z), false);
      all_strong += strong[z], all_load -= spare[z];
    }
    double mean = all_strong > 0 ? all_load / all_strong : 0, load = -spare[here];
    for (std::size_t z = 0; z < zones; ++z) {
      spare[z] = z == here ? 0 : std::max(0.0, spare[z] + strong[z] * mean);
      all_spare += spare[z];
    }
    factor[here] = 1;
    double over = std::min(load - strong[here] * mean, locality_load(own, false));
    if (!home && strong[here] <= 0) std::fill(factor.begin(), factor.end(), 1);
    else if (!home && over > 0 && all_spare > 0 && load > over)
      for (std::size_t z = 0; z < zones; ++z)
        if (strong[z] > 0 && z != here)
          factor[z] = over * spare[z] / all_spare / strong[z] * strong[here] / (load - over);
    std::map<EndpointId, double> lines;
    for (const auto& [id, ep] : endpoints)
      if (double w = strength(ep, own, fleet_fails) * factor[at(ep.listed.locality)]; w > 0)
        lines[id] = w * (ramp(ep, nullptr) < 1 ? std::min(1.0, ep.nudge) : ep.nudge);
    if (lines.empty())  // rule 1: rather a suspect or cold endpoint than none
      for (const auto& [id, ep] : endpoints)
        if (ep.open() && (!home || ep.listed.locality == own)) lines[id] = ep.listed.size * ramp(ep, nullptr);
    return lines;
  }

  // ---- Retry modes ----
  RetryMode retry_mode(const RequestClass& rc) const {
    // What fails everywhere finds no better endpoint: a second try is one more knock at full doors.
    if (mean_of(&State::fail_share, 0) > kCommonBad) return RetryMode::never;
    // Just (re)started, into whatever jam there is: no more than is usual, and nothing without proof.
    double slow = mean_of(&State::slowdown, 0);
    if (slow == 0) return set.default_retry;
    bool loaded = slow > kLoadedSlowdown;
    for (double r : rates) loaded |= r < kNoLimit;
    // Rule 2: only what is safe anywhere is repeated without proof that the first try never ran; tables span
    // cells, so a deduplicated request could meet an endpoint that doesn't know the first.
    return rc.semantics == Semantics::retryable && !loaded ? RetryMode::once : RetryMode::after_proof;
  }

  // ---- Levels ----
  double open_level() const { return set.level_kind == LevelKind::rate ? kOpenRate : 1; }

  double wanted_level(const GroupKey& key, std::size_t c) const {
    if (set.level_kind == LevelKind::none) return open_level();
    return std::min({open_level(), shared_level(key, c), cold_level(key, set.classes[c].home_only)});
  }

  // The class's rate, split over bands by throughput and within the band max-min to a rate at each proxy.
  double shared_level(const GroupKey& key, std::size_t c) const {
    double all = throughput(c), band = 0;
    std::vector<double> came;
    for (const auto& [id, p] : proxies)
      if (p.group == key) band += admitted(p, c), came.push_back(p.came[c]);
    if (rates[c] == kNoLimit || all <= 0 || came.empty()) return kOpenRate;
    if (set.level_kind == LevelKind::share) return rates[c] / all;
    double part = rates[c] * band / all, most = 0;
    for (double f : max_min_shares(part, came)) most = std::max(most, f), part -= f;
    return most + part;
  }

  // Rule 4 where weights can't help: while all that a table may use is cold (a home-only class, its locality
  // back from a loss), its proxies let in an even part of their usual rate, times the guaranteed capacity.
  double cold_level(const GroupKey& key, bool home) const {
    double warmest = 0, usual = 0, count = 0;
    for (const auto& [id, ep] : endpoints)
      if (ep.open() && (!home || ep.listed.locality == key.locality))
        warmest = std::max(warmest, ramp(ep, nullptr));
    if (set.level_kind != LevelKind::rate || warmest >= 1 || warmest <= 0) return kOpenRate;
    for (const auto& [id, p] : proxies)
      if (p.group == key) usual += p.usual, ++count;
    return count > 0 ? usual / count * warmest / static_cast<double>(set.classes.size()) : kOpenRate;
  }

  // ---- Pace of orders ----
  static bool moved(double from, double to) { return std::abs(to - from) > kMoved * std::max(from, 1e-9); }

  // Writes what has moved.
  void write_group(const GroupKey& key, Group& group) {
    for (auto& [home, table] : group.tables) {
      std::map<EndpointId, double> want = wanted_lines(key.locality, home);
      for (auto& [id, w] : want) {
        double& had = table.sent[id];
        if (had > 0 && !moved(had, w)) continue;
        had = w;
        out.push_back(SetLine{table.id, id, w});
      }
      std::erase_if(table.sent, [&](auto& line) {
        if (want.contains(line.first)) return false;
        out.push_back(SetLine{table.id, line.first, 0});
        return true;
      });
    }
    group.levels.resize(set.classes.size(), {-1, RetryMode::never});
    for (std::size_t c = 0; c < set.classes.size(); ++c) {
      auto& had = group.levels[c];
      std::pair want{wanted_level(key, c), retry_mode(set.classes[c])};
      if (had.first >= 0 && had.second == want.second && !moved(had.first, want.first)) continue;
      had = want;
      TableId table = group.tables.at(set.classes[c].home_only).id;
      out.push_back(Admit{table, false, ClassMask{1} << c, want.first, want.second});
    }
  }

  // A line that must go or halve at once: draining, gone, ejected or restarted cold.
  bool urgent(const GroupKey& key, const Group& group) const {
    for (const auto& [home, table] : group.tables) {
      std::map<EndpointId, double> want = wanted_lines(key.locality, home);
      for (const auto& [id, w] : table.sent)
        if (auto it = want.find(id); it == want.end() || it->second < w / 2) return true;
    }
    return false;
  }

  void publish() {
    double waiting = 0;  // lines, at most: sent and not yet confirmed as applied
    for (const auto& [id, p] : proxies)
      for (const auto& [s, lines] : p.unacked) waiting += lines;
    double allowed = set.pushes_allowed > 0 ? set.pushes_allowed : kOpenRate;
    Duration gap = std::max({kStep, set.period, set.pushes_span / (kPushPart * allowed)});
    for (auto& [key, group] : groups) {
      auto users = members(key);
      double most = 0;
      for (auto& [id, p] : users) {
        while (!p->pushes.empty() && now - p->pushes.front() > set.pushes_span) p->pushes.pop_front();
        most = std::max(most, static_cast<double>(p->pushes.size()) + 1);
      }
      bool due = now - group.last_push >= gap && most <= allowed * kPushPart &&
                 waiting <= kQueuePart * set.most_waiting_lines;
      if (users.empty() || !(due || (most < allowed && urgent(key, group)))) continue;
      std::size_t before = out.size();
      write_group(key, group);
      if (out.size() == before) continue;
      group.last_push = now;
      for (auto& [id, p] : users) message[id] += static_cast<double>(out.size() - before);
    }
  }

  void close_message() {
    if (message.empty()) return;
    serial = (serial + 1) % kSerials;
    out.push_back(Barrier{serial, false});
    for (auto& [id, lines] : message) {
      Proxy& p = proxies.at(id);
      p.unacked.emplace_back(serial, lines + 1 + set.envelope_lines);
      p.pushes.push_back(now);
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
    slices.erase(e.slice);
    if (e.given) slices[e.slice];
  }
  void on(const SliceHeld& e) {
    if (auto s = slices.find(e.slice); s != slices.end()) s->second.lines[e.endpoint] = e.weight;
  }

  // Lines of closed endpoints go; a slice left without gets the endpoint with the fewest slices for its size.
  // A single-writer slice is stopped first and moves when what its former owner holds must have ended.
  void settle_slices() {
    std::map<EndpointId, double> load;  // slices over size; of warm endpoints, if there are any
    for (double warm : {1.0, 0.0})
      if (load.empty())
        for (auto& [id, ep] : endpoints)
          if (ep.open() && ramp(ep, nullptr) >= warm) load[id] = 0;
    auto weigh = [&](EndpointId id) { load[id] += 1 / std::max(endpoints[id].listed.size, 1e-3); };
    for (auto& [t, slice] : slices)
      for (auto& [id, w] : slice.lines)
        if (load.contains(id)) weigh(id);
    for (auto& [t, slice] : slices) {
      if (!slice.stopped) {
        std::erase_if(slice.lines, [&](auto& line) {
          if (endpoints.contains(line.first) && endpoints[line.first].open()) return false;
          if (!set.single_writer) out.push_back(SetLine{t, line.first, 0});
          return true;
        });
        if (!slice.lines.empty()) continue;
        slice.stopped = set.single_writer;
        slice.move_at = now + (set.single_writer ? set.push_delay_most + set.lease + set.settle : Duration{});
        if (set.single_writer) out.push_back(Admit{t, false, 0, 0, RetryMode::never});
      }
      if (load.empty() || now < slice.move_at) continue;
      auto less = [](auto& a, auto& b) { return a.second < b.second; };
      EndpointId best = std::min_element(load.begin(), load.end(), less)->first;
      slice.lines[best] = 1;
      weigh(best);
      out.push_back(SetLine{t, best, 1});
      if (std::exchange(slice.stopped, false))
        out.push_back(Admit{t, false, 0, open_level(), set.default_retry});
    }
  }

  template <typename Ignored>
  void on(const Ignored&) {}  // timers only wake; peers and the load of slices have no say yet

  std::vector<Action> handle(Time time, const std::vector<Event>& events) {
    now = time;
    out.clear();
    for (const Event& e : events) std::visit([&](const auto& x) { on(x); }, e);
    if (!started) {
      started = true;
      list_asked = next_cut = next_step = next_period = now;
      if (set.list_on_request) out.push_back(WatchList{true});
    }
    follow_list();
    if (now >= next_period) {
      close_period();
      for (std::size_t z = 0; z < set.localities.size(); ++z) judge_health(Locality(z));
      if (now >= next_step) {
        bfair_step();
        learn_speeds();
        weight_step();
        send_probes();
        next_step = now + kStep;
      }
      next_period = now + set.period;
      out.push_back(SetTimer{next_period, 0});
    }
    if (set.slices > 0) {
      settle_slices();
    } else {
      publish();
      bind_joined();
      close_message();
    }
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
