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

class Judge {
 public:
  Judge(const Limits& limits) : limits_(limits) {}

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
    std::vector<Ms> empty_since;  // by class; below 0: not empty, or nothing could be in it
    std::deque<Ms> messages;      // within the span, by when they were decided
    bool bound = false;
  };
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
  void near(Rule rule, double part, const std::string& text) {
    auto k = static_cast<std::size_t>(rule);
    if (part > verdict_.nearest[k]) verdict_.nearest[k] = part, verdict_.nearest_text[k] = text;
  }

  // ---- What the assigners were told ----
  void on(const ListTold& x) {
    Listed& l = lists_[x.instance][x.endpoint];
    bool open = x.state == ListTold::State::in_service;
    if (open && (l.closed >= 0 || l.started != x.started || l.start_told == 0)) l.start_told = now_;
    if (!open && l.closed < 0) l.closed = now_;
    if (open) l.closed = -1, l.was_terminating = false;
    l.was_terminating |= x.state == ListTold::State::terminating;
    l.state = x.state, l.locality = x.locality, l.started = x.started;
  }
  void on(const AssignerDown& x) { lists_.erase(x.instance); }

  // ---- What the proxies hold ----
  void on(const ProxyStanding& x) {
    ProxySeen& p = proxies_[x.proxy] = {};
    p.locality = x.locality;
    auto standing = std::make_shared<std::map<std::uint32_t, double>>();
    for (std::uint32_t e : x.endpoints) (*standing)[e] = 1;
    p.by_class.assign(limits_.classes.size(), standing);
    p.empty_since.assign(limits_.classes.size(), -1);
  }
  void on(const ProxyDown& x) { proxies_.erase(x.proxy); }
  void on(const StreamUp& x) {
    ProxySeen& p = proxies_[x.proxy];
    p.instance = x.instance, p.joined = now_, p.last_decided = -1;
    p.tables.clear(), p.messages.clear();
    p.bound = false;
    p.empty_since.assign(p.empty_since.size(), -1);
  }
  void on(const StreamDown& x) { proxies_[x.proxy].instance.reset(); }
  void on(const OrdersCame& x) {
    ProxySeen& p = proxies_[x.proxy];
    for (const channel::Order& order : x.message.orders) apply(p, order);
    p.last_decided = std::max(p.last_decided, x.message.decided_at_ms);
    if (!p.instance) return;
    in_channel_[*p.instance].push_back({x.message.decided_at_ms, x.message.lines});
    in_channel_[*p.instance].push_back({now_, -x.message.lines});
    p.messages.push_back(x.message.decided_at_ms);
    while (x.message.decided_at_ms - p.messages.front() > limits_.messages_span) p.messages.pop_front();
    if (limits_.messages_allowed <= 0) return;
    std::string text =
        fmt::format("{} messages to proxy {} within {:.0f} ms, {} are allowed", p.messages.size(), x.proxy,
                    limits_.messages_span, limits_.messages_allowed);
    near(Rule::queue, static_cast<double>(p.messages.size()) / limits_.messages_allowed, text);
    if (p.messages.size() > static_cast<std::size_t>(limits_.messages_allowed))
      broken(Rule::queue, fmt::format("proxy {}", x.proxy), text);
  }
  void apply(ProxySeen& p, const channel::Order& order) {
    auto table = [&](std::uint32_t number) -> Lines& {
      Lines& t = p.tables[number];
      if (!t) t = std::make_shared<std::map<std::uint32_t, double>>();
      return t;
    };
    if (auto* line = std::get_if<channel::LineOrder>(&order)) {
      if (line->weight > 0) (*table(line->table))[line->endpoint] = line->weight;
      else table(line->table)->erase(line->endpoint);
    } else if (auto* reset = std::get_if<channel::ResetOrder>(&order)) {
      table(reset->table)->clear();
    } else if (auto* bind = std::get_if<channel::BindOrder>(&order)) {
      if (!std::exchange(p.bound, true)) p.withdrawn.clear();
      table(bind->table)->clear();
      for (std::size_t c = 0; c < p.by_class.size(); ++c)
        if (bind->classes >> c & 1) p.by_class[c] = table(bind->table);
    } else if (auto* w = std::get_if<channel::WithdrawOrder>(&order)) {
      if (w->withdrawn) p.withdrawn.insert(w->endpoint);
      else p.withdrawn.erase(w->endpoint);
    }
  }

  // ---- Rule 1 ----
  bool has_line(const ProxySeen& p, std::size_t c) const {
    return std::any_of(p.by_class[c]->begin(), p.by_class[c]->end(),
                       [&](auto& line) { return !p.withdrawn.contains(line.first); });
  }
  bool could_have(const ProxySeen& p, std::size_t c) const {
    auto list = lists_.find(*p.instance);
    if (list == lists_.end()) return false;
    return std::any_of(list->second.begin(), list->second.end(), [&](auto& item) {
      const Listed& l = item.second;
      return l.state == ListTold::State::in_service && now_ - l.started >= limits_.warm_up &&
             (!limits_.classes[c].home_only || l.locality == p.locality);
    });
  }
  void look_for_empty() {
    for (auto& [id, p] : proxies_)
      for (std::size_t c = 0; c < p.by_class.size(); ++c) {
        Ms& since = p.empty_since[c];
        if (!p.instance || has_line(p, c) || !could_have(p, c)) {
          since = -1;
          continue;
        }
        if (since < 0) since = now_;
        std::string text =
            fmt::format("proxy {} without a server for class {} for {:.0f} ms, {:.0f} are allowed", id, c,
                        now_ - since, limits_.empty_for);
        near(Rule::empty, (now_ - since) / limits_.empty_for, text);
        if (now_ - since > limits_.empty_for + limits_.margin)
          broken(Rule::empty, fmt::format("{} {}", id, c), text);
      }
  }

  // ---- Rule 2 ----
  void on(const TryTaken& x) {
    auto& before = taken_[x.request];
    const RequestClass& c = limits_.classes[x.request_class];
    if (!before.empty() && c.semantics != Semantics::retryable) {
      const Taken& first = before.front();
      const ServerSeen &a = servers_[first.endpoint], &b = servers_[x.endpoint];
      bool together = c.scope == DedupScope::all ||
                      (c.scope == DedupScope::zone && a.locality == b.locality) ||
                      (c.scope == DedupScope::cell && a.locality == b.locality && a.cell == b.cell);
      if (c.semantics == Semantics::fragile)
        broken(Rule::twice, "resent",
               fmt::format("proxy {} sent request {} (class {}) to server {} after server {} had taken it in",
                           x.proxy, x.request, x.request_class, x.endpoint, first.endpoint));
      else if (!together || now_ - first.at > c.dedup_window.count() + limits_.margin)
        broken(
            Rule::twice, "resent outside",
            fmt::format(
                "proxy {} sent request {} (class {}) to server {} outside the group or window of server {}",
                x.proxy, x.request, x.request_class, x.endpoint, first.endpoint));
    }
    before.push_back({now_, x.endpoint});
  }
  void on(const EffectDone& x) {
    if (limits_.classes[x.request_class].semantics == Semantics::retryable) return;
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
    std::string text = fmt::format(
        "proxy {} sent to server {} {:.0f} ms after its assigner was told that it drains "
        "or is gone, {:.0f} are allowed",
        x.proxy, x.endpoint, late, limits_.drain_grace);
    near(Rule::drain, late / limits_.drain_grace, text);
    if (late > limits_.drain_grace + limits_.margin) broken(Rule::drain, fmt::format("{}", x.endpoint), text);
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
    std::string text = fmt::format(
        "server {}, {:.0f} ms after its cold start, was sent {:.0f} ms of work within "
        "{:.0f} ms, it may be sent {:.0f}",
        endpoint, now_ - s.started, all, limits_.fall, may);
    bool theirs = knowing >= kKnowingPart * all;
    if (theirs) near(Rule::cold, all / may, text);
    if (theirs && (fell || all > may * limits_.capacity_slack))
      broken(Rule::cold, fmt::format("{}", endpoint), text);
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
        std::string text = fmt::format("{:.0f} lines waited in the channel of assigner {}, {:.0f} may",
                                       waiting, instance, limits_.most_waiting_lines);
        near(Rule::queue, waiting / limits_.most_waiting_lines, text);
        if (waiting > limits_.most_waiting_lines)
          broken(Rule::queue, fmt::format("assigner {}", instance), text);
      }
    }
  }

  void on(const Answered&) {}
  void on(const Refused&) {}
  void on(const Note&) {}

  const Limits& limits_;
  Ms now_ = 0;
  Verdict verdict_;
  std::set<std::pair<Rule, std::string>> told_;
  std::map<std::uint32_t, std::map<std::uint32_t, Listed>> lists_;  // by instance, by endpoint
  std::map<std::uint32_t, ProxySeen> proxies_;
  std::map<std::uint32_t, ServerSeen> servers_;
  std::map<std::uint64_t, std::vector<Taken>> taken_;
  std::map<std::uint64_t, std::uint32_t> effects_;
  std::map<std::uint32_t, std::vector<std::pair<Ms, double>>> in_channel_;
};

}  // namespace

Limits limits_of(const Settings& p) {
  return {.classes = p.classes,
          .empty_for = p.empty_for.count(),
          .drain_grace = p.drain_grace.count(),
          .warm_up = p.warm_up.count(),
          .fall = p.fall.count(),
          .messages_span = p.pushes_span.count(),
          .start_capacity = p.start_capacity,
          .tip_multiple = p.tip_multiple,
          .most_waiting_lines = p.most_waiting_lines,
          .messages_allowed = p.pushes_allowed,
          .gone_is_advice = p.gone_is_advice};
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
  Judge judge(limits);
  for (const Taps::Entry& entry : seen) judge.see(entry.at, entry.seen);
  return judge.finish();
}

}  // namespace beamshunt::audit
