#include "audit/rules.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <tuple>

namespace beamshunt::audit {
namespace {

using namespace standin;

constexpr double kKnowingPart = 2.0 / 3;  // of a cold server's load, for the push to be the assigners' doing

}  // namespace

class Watch::Judge {
 public:
  explicit Judge(Limits limits) : limits_(std::move(limits)) {}

  void see(Ms at, const Seen& seen) {
    now_ = at;
    std::visit([this](const auto& x) { on(x); }, seen);
    look_for_empty();
  }

  Verdict finish() {
    count_waiting();
    return std::move(verdict_);
  }

 private:
  struct Listed {
    ListTold::State state{};
    std::uint32_t locality = 0;
    Ms started = 0, start_told = 0;  // when this start was told of
    Ms closed = -1;                  // told to be terminating or gone since; below 0: open
    bool was_terminating = false;
  };
  using Lines = std::shared_ptr<std::map<std::uint32_t, double>>;
  struct ProxySeen {
    std::uint32_t locality = 0;
    std::optional<std::uint32_t> instance;  // joined to
    Ms joined = 0, last_decided = -1;
    std::vector<Lines> by_class;
    std::map<std::uint32_t, Lines> tables;
    std::set<std::uint32_t> withdrawn;
    std::vector<Ms> lacking;  // by class, since when there is no line; below 0: there is one, or no stream
    std::deque<Ms> messages;  // within the span, by when they were decided
    bool bound = false;
  };
  // Proxies of one locality and assigner without a line for a class; and whether they could have one.
  struct Lacking {
    std::set<std::pair<Ms, std::uint32_t>> proxies;  // by since when
    Ms could_since = -1;                             // below 0: they could not
    Ms looked_until = -1;                            // what was found holds so long, and
    std::uint64_t list_changes = 0;                  // while the list has not changed
  };
  using LackingKey = std::tuple<std::uint32_t, std::uint32_t, std::size_t>;  // instance, locality, class
  struct Taken {
    Ms at = 0;
    std::uint32_t endpoint = 0;
  };
  struct ServerSeen {
    std::uint32_t locality = 0, cell = 0;
    bool up = false, cold = false;
    Ms started = 0;
    double capacity = 0;  // work a ms when warm
    struct Sent {
      Ms at;
      double work;
      bool knowing;
    };
    std::deque<Sent> window;
  };

  void broken(Rule rule, const std::string& place, const std::string& what) {
    if (told_.insert({rule, place}).second) verdict_.breaks.push_back({rule, now_, what});
  }
  template <typename Text>
  void near(Rule rule, double part, const Text& text) {
    auto k = static_cast<std::size_t>(rule);
    if (part > verdict_.nearest[k]) verdict_.nearest[k] = part, verdict_.nearest_text[k] = text();
  }

  // ---- What the assigners were told ----
  void on(const ListTold& x) {
    ++list_changes_;
    Listed& l = lists_[x.instance][x.endpoint];
    bool open = x.state == ListTold::State::in_service;
    if (open && (l.closed >= 0 || l.started != x.started || l.start_told == 0)) l.start_told = now_;
    if (!open && l.closed < 0) l.closed = now_;
    if (open) l.closed = -1, l.was_terminating = false;
    l.was_terminating |= x.state == ListTold::State::terminating;
    l.state = x.state, l.locality = x.locality, l.started = x.started;
  }
  void on(const AssignerDown& x) { lists_.erase(x.instance), ++list_changes_; }

  // ---- What the proxies hold ----
  void on(const ProxyStanding& x) {
    ProxySeen& p = proxies_[x.proxy];
    forget_lacks(x.proxy, p);
    p = {};
    p.locality = x.locality;
    auto standing = std::make_shared<std::map<std::uint32_t, double>>();
    for (std::uint32_t e : x.endpoints) (*standing)[e] = 1;
    p.by_class.assign(limits_.classes.size(), standing);
    p.lacking.assign(limits_.classes.size(), -1);
  }
  void on(const ProxyDown& x) {
    auto found = proxies_.find(x.proxy);
    if (found == proxies_.end()) return;
    forget_lacks(x.proxy, found->second);
    proxies_.erase(found);
  }
  void on(const StreamUp& x) {
    ProxySeen& p = proxies_[x.proxy];
    forget_lacks(x.proxy, p);
    p.instance = x.instance, p.joined = now_, p.last_decided = -1;
    p.tables.clear(), p.messages.clear();
    p.bound = false;
    note_lacks(x.proxy, p);
  }
  void on(const StreamDown& x) {
    ProxySeen& p = proxies_[x.proxy];
    forget_lacks(x.proxy, p);
    p.instance.reset();
  }
  void on(const OrdersCame& x) {
    ProxySeen& p = proxies_[x.proxy];
    for (const native_protocol::Update& order : x.message.updates) apply(p, order);
    note_lacks(x.proxy, p);
    p.last_decided = std::max(p.last_decided, x.message.decided_at_ms);
    if (!p.instance) return;
    in_channel_[*p.instance].emplace_back(x.message.decided_at_ms, x.message.lines);
    in_channel_[*p.instance].emplace_back(now_, -x.message.lines);
    p.messages.push_back(x.message.decided_at_ms);
    while (x.message.decided_at_ms - p.messages.front() > limits_.messages_span) p.messages.pop_front();
    if (limits_.messages_allowed <= 0) return;
    auto text = [&] {
      return fmt::format("{} messages to proxy {} within {:.0f} ms, {} are allowed", p.messages.size(),
                         x.proxy, limits_.messages_span, limits_.messages_allowed);
    };
    near(Rule::queue, static_cast<double>(p.messages.size()) / limits_.messages_allowed, text);
    if (p.messages.size() > static_cast<std::size_t>(limits_.messages_allowed))
      broken(Rule::queue, fmt::format("proxy {}", x.proxy), text());
  }
  void apply(ProxySeen& p, const native_protocol::Update& order) {
    auto table = [&](std::uint32_t number) -> Lines& {
      Lines& t = p.tables[number];
      if (!t) t = std::make_shared<std::map<std::uint32_t, double>>();
      return t;
    };
    if (auto* line = std::get_if<native_protocol::WeightUpdate>(&order)) {
      if (line->weight > 0) (*table(line->table))[line->endpoint] = line->weight;
      else table(line->table)->erase(line->endpoint);
    } else if (auto* reset = std::get_if<native_protocol::ClearTableUpdate>(&order)) {
      table(reset->table)->clear();
    } else if (auto* bind = std::get_if<native_protocol::AssignTableUpdate>(&order)) {
      if (!std::exchange(p.bound, true)) p.withdrawn.clear();
      table(bind->table)->clear();
      for (std::size_t c = 0; c < p.by_class.size(); ++c)
        if (bind->classes >> c & 1) p.by_class[c] = table(bind->table);
    } else if (auto* w = std::get_if<native_protocol::ExcludeEndpointUpdate>(&order)) {
      if (w->excluded) p.withdrawn.insert(w->endpoint);
      else p.withdrawn.erase(w->endpoint);
    }
  }

  // ---- Rule 1 ----
  bool has_line(const ProxySeen& p, std::size_t c) const {
    return std::any_of(p.by_class[c]->begin(), p.by_class[c]->end(),
                       [&](auto& line) { return !p.withdrawn.contains(line.first); });
  }
  static bool lacks(Ms since) { return since >= 0; }
  LackingKey key_of(const ProxySeen& p, std::size_t c) const { return {*p.instance, p.locality, c}; }
  void note_lacks(std::uint32_t id, ProxySeen& p) {
    for (std::size_t c = 0; c < p.by_class.size() && p.instance; ++c) {
      bool lacking = !has_line(p, c);
      if (lacking == lacks(p.lacking[c])) continue;
      if (!lacking) {
        forget_lack(id, p, c);
      } else {
        p.lacking[c] = now_;
        lacking_[key_of(p, c)].proxies.emplace(now_, id);
      }
    }
  }
  void forget_lack(std::uint32_t id, ProxySeen& p, std::size_t c) {
    auto place = lacking_.find(key_of(p, c));
    place->second.proxies.erase({std::exchange(p.lacking[c], -1), id});
    if (place->second.proxies.empty()) lacking_.erase(place);
  }
  void forget_lacks(std::uint32_t id, ProxySeen& p) {
    for (std::size_t c = 0; c < p.lacking.size(); ++c)
      if (lacks(p.lacking[c])) forget_lack(id, p, c);
  }
  // Some listed server is warm and may be used there. What is found changes with the list, and with time
  // only where a server becomes warm.
  void look_whether_they_could(const LackingKey& key, Lacking& place) {
    auto [instance, locality, c] = key;
    if (place.list_changes == list_changes_ && now_ < place.looked_until) return;
    place.list_changes = list_changes_, place.looked_until = base::kNever;
    bool could = false;
    for (auto& [id, l] : lists_[instance]) {
      if (l.state != ListTold::State::in_service) continue;
      if (limits_.classes[c].local_only && l.locality != locality) continue;
      could = now_ - l.started >= limits_.warm_up;
      if (could) break;
      place.looked_until = std::min(place.looked_until, l.started + limits_.warm_up);
    }
    if (could) place.looked_until = base::kNever;
    place.could_since = !could ? -1 : place.could_since < 0 ? now_ : place.could_since;
  }
  void look_for_empty() {
    for (auto& [key, place] : lacking_) {
      look_whether_they_could(key, place);
      if (place.could_since < 0) continue;
      for (auto& [lacking, id] : place.proxies) {  // the longest first
        Ms for_so_long = now_ - std::max(lacking, place.could_since);
        auto text = [&, id = id] {
          return fmt::format("proxy {} without a server for class {} for {:.0f} ms, {:.0f} are allowed", id,
                             std::get<2>(key), for_so_long, limits_.empty_for);
        };
        near(Rule::empty, for_so_long / limits_.empty_for, text);
        if (for_so_long <= limits_.empty_for + limits_.margin) break;
        broken(Rule::empty, fmt::format("{} {}", id, std::get<2>(key)), text());
      }
    }
  }

  // ---- Rule 2 ----
  void on(const TryTaken& x) {
    const RequestClass& c = limits_.classes[x.request_class];
    if (c.semantics == Semantics::idempotent) return;
    auto& before = taken_[x.request];
    if (!before.empty()) {
      const Taken& first = before.front();
      const ServerSeen &a = servers_[first.endpoint], &b = servers_[x.endpoint];
      bool together =
          c.idempotency_scope == IdempotencyScope::everywhere ||
          (c.idempotency_scope == IdempotencyScope::locality && a.locality == b.locality) ||
          (c.idempotency_scope == IdempotencyScope::cell && a.locality == b.locality && a.cell == b.cell);
      if (c.semantics == Semantics::not_idempotent)
        broken(Rule::twice, "resent",
               fmt::format("proxy {} sent request {} (class {}) to server {} after server {} had taken it in",
                           x.proxy, x.request, x.request_class, x.endpoint, first.endpoint));
      else if (!together || now_ - first.at > c.idempotency_window.count() + limits_.margin)
        broken(
            Rule::twice, "resent outside",
            fmt::format(
                "proxy {} sent request {} (class {}) to server {} outside the group or window of server {}",
                x.proxy, x.request, x.request_class, x.endpoint, first.endpoint));
    }
    before.push_back({now_, x.endpoint});
  }
  void on(const EffectDone& x) {
    if (limits_.classes[x.request_class].semantics == Semantics::idempotent) return;
    auto [first, fresh] = effects_.emplace(x.request, x.endpoint);
    if (!fresh)
      broken(Rule::twice, "effect",
             fmt::format("request {} (class {}) took effect at server {} and at server {}", x.request,
                         x.request_class, first->second, x.endpoint));
  }

  // ---- Rules 3 and 4 ----
  void on(const TrySent& x) {
    const ProxySeen& p = proxies_[x.proxy];
    if (p.instance) look_at_drain(p, x);
    look_at_push(p, x);
  }
  void look_at_drain(const ProxySeen& p, const TrySent& x) {
    auto list = lists_.find(*p.instance);
    if (list == lists_.end()) return;
    auto listed = list->second.find(x.endpoint);
    if (listed == list->second.end() || listed->second.closed < 0) return;
    if (limits_.gone_is_advice && !listed->second.was_terminating) return;
    Ms late = now_ - std::max(listed->second.closed, p.joined);
    auto text = [&] {
      return fmt::format(
          "proxy {} sent to server {} {:.0f} ms after its assigner was told that it drains "
          "or is gone, {:.0f} are allowed",
          x.proxy, x.endpoint, late, limits_.drain_grace);
    };
    near(Rule::drain, late / limits_.drain_grace, text);
    if (late > limits_.drain_grace + limits_.margin)
      broken(Rule::drain, fmt::format("{}", x.endpoint), text());
  }
  bool knows_start(const ProxySeen& p, std::uint32_t endpoint, Ms started) const {
    if (!p.instance) return false;
    auto list = lists_.find(*p.instance);
    if (list == lists_.end()) return false;
    auto listed = list->second.find(endpoint);
    if (listed == list->second.end() || listed->second.started + 1 < started) return false;
    return p.last_decided >= listed->second.start_told ||
           now_ >= listed->second.start_told + limits_.drain_grace;
  }
  double ramp_of(const ServerSeen& s) const {  // the part of its capacity that it is guaranteed to have
    return limits_.start_capacity + (1 - limits_.start_capacity) * (now_ - s.started) / limits_.warm_up;
  }
  void look_at_push(const ProxySeen& p, const TrySent& x) {
    ServerSeen& s = servers_[x.endpoint];
    if (!s.up || !s.cold) return;
    double ramp = ramp_of(s);
    if (ramp >= 1) return;
    s.window.push_back({now_, x.work_ms, knows_start(p, x.endpoint, s.started)});
    while (now_ - s.window.front().at > limits_.fall) s.window.pop_front();
    judge_push(x.endpoint, s, ramp, false);
  }
  void judge_push(std::uint32_t endpoint, ServerSeen& s, double ramp, bool fell) {
    double all = 0, knowing = 0;
    for (auto& sent : s.window) all += sent.work, knowing += sent.knowing ? sent.work : 0;
    double may = limits_.tip_multiple * s.capacity * ramp * limits_.fall;
    auto text = [&] {
      return fmt::format(
          "server {}, {:.0f} ms after its cold start, was sent {:.0f} ms of work within "
          "{:.0f} ms, it may be sent {:.0f}",
          endpoint, now_ - s.started, all, limits_.fall, may);
    };
    bool theirs = knowing >= kKnowingPart * all;
    if (theirs) near(Rule::cold, all / may, text);
    if (theirs && (fell || all > may * limits_.capacity_slack))
      broken(Rule::cold, fmt::format("{}", endpoint), text());
  }
  void on(const ServerUp& x) {
    servers_[x.endpoint] = {x.locality, x.cell, true, x.cold, now_, x.cores * x.speed, {}};
  }
  void on(const ServerDown& x) {
    ServerSeen& s = servers_[x.endpoint];
    if (x.fell_over && s.up && !s.window.empty()) {
      double ramp = ramp_of(s);
      judge_push(x.endpoint, s, ramp, true);
    }
    s.up = false;
  }

  // ---- Rule 5, the lines: from a message's decision to its arrival ----
  void count_waiting() {
    for (auto& [instance, changes] : in_channel_) {
      std::sort(changes.begin(), changes.end());
      double waiting = 0;
      for (auto& [at, lines] : changes) {
        waiting += lines;
        now_ = at;
        auto text = [&] {
          return fmt::format("{:.0f} lines waited in the channel of assigner {}, {:.0f} may", waiting,
                             instance, limits_.most_waiting_lines);
        };
        near(Rule::queue, waiting / limits_.most_waiting_lines, text);
        if (waiting > limits_.most_waiting_lines)
          broken(Rule::queue, fmt::format("assigner {}", instance), text());
      }
    }
  }

  void on(const Answered&) {}
  void on(const Refused&) {}
  void on(const Note&) {}

  const Limits limits_;
  Ms now_ = 0;
  Verdict verdict_;
  std::set<std::pair<Rule, std::string>> told_;
  std::map<std::uint32_t, std::map<std::uint32_t, Listed>> lists_;  // by instance, by endpoint
  std::uint64_t list_changes_ = 0;
  std::map<std::uint32_t, ProxySeen> proxies_;
  std::map<LackingKey, Lacking> lacking_;
  std::map<std::uint32_t, ServerSeen> servers_;
  std::map<std::uint64_t, std::vector<Taken>> taken_;
  std::map<std::uint64_t, std::uint32_t> effects_;
  std::map<std::uint32_t, std::vector<std::pair<Ms, double>>> in_channel_;
};

Watch::Watch(Limits limits) : judge_(std::make_unique<Judge>(std::move(limits))) {}
Watch::~Watch() = default;
void Watch::see(Ms at, const Seen& seen) { judge_->see(at, seen); }
Verdict Watch::finish() { return judge_->finish(); }

Limits limits_of(const Settings& p) {
  return {.classes = p.classes,
          .empty_for = p.max_time_without_endpoints.count(),
          .drain_grace = p.drain_grace_period.count(),
          .warm_up = p.warm_up_time.count(),
          .fall = p.overload_window.count(),
          .messages_span = p.message_window.count(),
          .start_capacity = p.initial_capacity,
          .tip_multiple = p.overload_multiple,
          .most_waiting_lines = p.max_queued_lines,
          .messages_allowed = p.max_messages_per_window,
          .gone_is_advice = p.removal_is_advisory};
}

const char* rule_text(Rule rule) {
  constexpr const char* kTexts[] = {"nobody left without a server", "no effect twice", "drains kept",
                                    "no cold server pushed over", "a short queue"};
  return kTexts[static_cast<std::size_t>(rule)];
}

bool Verdict::broke(Rule rule) const {
  return std::any_of(breaks.begin(), breaks.end(), [&](const Break& b) { return b.rule == rule; });
}

std::size_t Verdict::kept() const {
  std::size_t kept = 0;
  for (std::size_t k = 0; k < kRules; ++k) kept += !broke(Rule(k));
  return kept;
}

Verdict judge(const std::vector<Taps::Entry>& seen, const Limits& limits) {
  Watch watch(limits);
  for (const Taps::Entry& entry : seen) watch.see(entry.at, entry.seen);
  return watch.finish();
}

}  // namespace beamshunt::audit
