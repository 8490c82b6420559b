#include "gate/prove.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "assigner/fleet_constraints.h"

namespace beamshunt::gate {
namespace {

using base::Ms;

// The least that an order makes: a drained server's line that goes, a line in its place, the barrier.
constexpr double kLeastOrderLines = 3;
constexpr double kLeastTableLines = 8;  // or as many as there are open servers
constexpr double kLineBytes = 40;       // on the wire, at the most
constexpr double kHeardBytes = 96;      // of a report's line on one server, with its load figures
constexpr double kQueued = 4;           // times a drain's own lines: others wait in the channel before them
constexpr double kRoom = 2;             // what is offered, against the least that can be shown to be needed
constexpr Ms kMostRound = 30000;        // until each server and proxy has been heard of once
constexpr int kLeastMessages = 4;       // to a proxy within the span: two modules bind it, two servers drain

std::string ms(double x) { return fmt::format("{}ms", std::ceil(x)); }

// All that speaks against settings for a fleet, whatever ran before; and against going over to them.
class Prover {
 public:
  Prover(const AssignerSettings& now, const AssignerSettings& next, const FleetSnapshot& fleet)
      : now_(now), next_(next), p_(next.policy), fleet_(fleet) {
    joined_ = std::max(1.0, static_cast<double>(fleet.proxies.size()));  // one may come at any time
    for (auto& s : fleet.endpoints) open_ += s.available;
  }

  std::vector<Reason> standing() {
    drains_in_time();
    queue_holds_a_fleet();
    nobody_empty();
    streams_live();
    messages_suffice();
    reports_arrive();
    repeats_are_safe();
    return std::move(out_);
  }
  std::vector<Reason> going_over() {
    spent_messages();
    cold_servers();
    weaker_semantics();
    return std::move(out_);
  }

 private:
  void refuse(const char* rule, std::string path, std::string reason, std::string would_do) {
    out_.push_back({rule, std::move(path), std::move(reason), std::move(would_do)});
  }
  // The first of the fields that has changed: it is the one to take back.
  template <typename... Fields>
  std::string changed(Fields... fields) const {
    std::string first, out;
    (
        [&](const std::pair<const char*, bool>& f) {
          if (first.empty()) first = f.first;
          if (out.empty() && f.second) out = f.first;
        }(fields),
        ...);
    return out.empty() ? first : out;
  }

  // Rule 3: an urgent order to every proxy, one after the other through the channel, and its way there.
  void drains_in_time() {
    const Settings& had = now_.policy;
    double lines = joined_ * (p_.message_overhead_lines + kLeastOrderLines);
    Ms pace = lines / p_.channel_lines_per_second * 1000, all = pace + p_.max_update_delay.count();
    Ms grace = p_.drain_grace_period.count();
    if (all <= grace) return;
    std::string path = changed(
        std::pair{"site.guarantees.drain_grace", p_.drain_grace_period != had.drain_grace_period},
        std::pair{"site.channel.lines_per_s", p_.channel_lines_per_second != had.channel_lines_per_second},
        std::pair{"site.channel.delay_most", p_.max_update_delay != had.max_update_delay},
        std::pair{"site.channel.envelope_lines", p_.message_overhead_lines != had.message_overhead_lines});
    std::string value = ms(all);
    Ms room = grace - p_.max_update_delay.count();
    if (path == "site.channel.delay_most" && grace > pace) value = ms(std::floor(grace - pace) - 1);
    else if (path == "site.channel.lines_per_s" && room > 0)
      value = fmt::format("{}/s", std::ceil(kQueued * lines / room * 1000));
    else if (path == "site.channel.envelope_lines") value = fmt::format("{}", had.message_overhead_lines);
    refuse(
        "rule 3", path,
        fmt::format("a drain reaches the last of {} proxies after up to {:.0f} ms ({:.0f} lines at {}/s, {} "
                    "ms of delay); {} ms are promised",
                    joined_, all, lines, p_.channel_lines_per_second, p_.max_update_delay.count(), grace),
        value);
  }

  double bind_lines() const {  // of one proxy: envelope, binds, levels, barrier, a short table's lines
    return p_.message_overhead_lines + 2 + static_cast<double>(p_.classes.size()) + 1 +
           std::min(kLeastTableLines, std::max(1.0, open_));
  }
  // Rule 5: what is decided for all at once must find room in the queue, or waits and is too late.
  void queue_holds_a_fleet() {
    double all = std::max(joined_, static_cast<double>(p_.proxy_count)) * bind_lines();
    if (p_.max_queued_lines < all)
      refuse("rule 5",
             changed(std::pair{"site.channel.most_waiting_lines",
                               p_.max_queued_lines != now_.policy.max_queued_lines},
                     std::pair{"site.proxies", p_.proxy_count != now_.policy.proxy_count},
                     std::pair{"site.channel.envelope_lines",
                               p_.message_overhead_lines != now_.policy.message_overhead_lines}),
             fmt::format("the queue may hold {} lines, one bind of the fleet has {:.0f}", p_.max_queued_lines,
                         all),
             fmt::format("most_waiting_lines of {:.0f}", all));
    if (p_.proxy_count < joined_)
      refuse("rule 5", "site.proxies",
             fmt::format("{} proxies are joined, tables are to be cut for {}", joined_, p_.proxy_count),
             fmt::format("{}", joined_));
  }

  // Rule 1.
  void nobody_empty() {
    for (std::size_t c = 0; c < p_.classes.size(); ++c) {
      if (!p_.classes[c].local_only) continue;
      for (std::size_t z = 0; z < p_.localities.size(); ++z) {
        auto here = [&](auto& x) { return x.locality == z; };
        auto proxies = std::count_if(fleet_.proxies.begin(), fleet_.proxies.end(), here);
        bool served = std::any_of(fleet_.endpoints.begin(), fleet_.endpoints.end(),
                                  [&](auto& s) { return s.available && s.locality == z; });
        if (proxies == 0 || served) continue;
        refuse("rule 1", fmt::format("site.classes[{}].home_only", c),
               fmt::format("class \"{}\" may go nowhere from \"{}\": {} proxies, no open server",
                           next_.class_names[c], p_.localities[z], proxies),
               "false");
        break;
      }
    }
    Ms bind = bind_lines() / p_.channel_lines_per_second * 1000 + p_.max_update_delay.count();
    if (p_.max_time_without_endpoints.count() < bind) {
      std::string path =
          changed(std::pair{"site.guarantees.empty_for",
                            p_.max_time_without_endpoints != now_.policy.max_time_without_endpoints},
                  std::pair{"site.channel.lines_per_s",
                            p_.channel_lines_per_second != now_.policy.channel_lines_per_second},
                  std::pair{"site.channel.delay_most", p_.max_update_delay != now_.policy.max_update_delay});
      refuse("rule 1", path,
             fmt::format("one proxy alone is bound after up to {:.0f} ms, it may be empty for {} ms", bind,
                         p_.max_time_without_endpoints.count()),
             path == "site.channel.delay_most" ? ms(now_.policy.max_update_delay.count()) : ms(kRoom * bind));
    }
  }

  // Rule 1: a proxy that can't keep its stream is soon without orders.
  void streams_live() {
    Ms there = p_.max_update_delay.count();
    if (next_.confirm_within <= there)
      refuse("rule 1", "streams.confirm_within",
             fmt::format("an order may travel for {} ms; who has not confirmed it after {} ms is cut off",
                         there, next_.confirm_within),
             ms(2 * there + 1));
    if (native_protocol::kHeartbeatTimeoutPeriods * next_.heartbeat < 2 * there)
      refuse("rule 1", "streams.heartbeat",
             fmt::format("a silence of {} ms ends a stream, a ping's way and back may take {}",
                         native_protocol::kHeartbeatTimeoutPeriods * next_.heartbeat, 2 * there),
             ms(2 * there / native_protocol::kHeartbeatTimeoutPeriods));
    if (next_.most_streams < fleet_.streams)
      refuse("rule 1", "streams.most",
             fmt::format("{} streams are open: who must dial again would be turned away", fleet_.streams),
             std::to_string(fleet_.streams));
    auto servers = static_cast<double>(fleet_.endpoints.size());
    double report = servers * kHeardBytes + static_cast<double>(p_.classes.size()) * 14 + 64;
    if (static_cast<double>(next_.most_frame) < report)
      refuse(
          "rule 1", "streams.most_frame",
          fmt::format("a report on {} servers has up to {:.0f} bytes; a longer frame than {} ends the stream",
                      servers, report, next_.most_frame),
          fmt::format("{}KiB", std::ceil(report / 1024)));
    double bind = open_ * 2 * kLineBytes + 1024;
    if (static_cast<double>(next_.most_unsent) < bind)
      refuse(
          "rule 1", "streams.most_unsent",
          fmt::format("a proxy's bind has up to {:.0f} bytes, {} may wait for it", bind, next_.most_unsent),
          fmt::format("{}KiB", std::ceil(bind / 1024)));
  }

  // Rule 3 by rule 5: with too few messages a drain must wait until the bind is out of the span.
  void messages_suffice() {
    if (p_.max_messages_per_window > 0 && p_.max_messages_per_window < kLeastMessages)
      refuse("rule 3", "site.channel.messages",
             fmt::format("of {} messages within {} ms too few are left for drains once a proxy is bound and "
                         "taken over",
                         p_.max_messages_per_window, p_.message_window.count()),
             fmt::format("{}", kRoom * kLeastMessages));
  }

  // A server that fails its requests is known to when its line's turn comes.
  void reports_arrive() {
    std::set<std::uint32_t> from;
    for (auto& x : fleet_.proxies) from.insert(x.locality);
    double pairs = static_cast<double>(fleet_.endpoints.size() * from.size()) +
                   joined_ * static_cast<double>(p_.classes.size());
    Ms round = pairs / next_.report_lines_per_s * 1000;
    if (round <= kMostRound) return;
    refuse("reports", "site.reports.lines_per_s",
           fmt::format("{:.0f} report lines at {}/s: a failing server is heard of after up to {:.0f} ms",
                       pairs, next_.report_lines_per_s, round),
           fmt::format("{}/s", std::ceil(pairs / kMostRound * 1000)));
  }

  // Rule 2: repeats are dropped only while their key is remembered.
  void repeats_are_safe() {
    for (std::size_t c = 0; c < p_.classes.size(); ++c) {
      const RequestClass& rc = p_.classes[c];
      Ms repeat = p_.attempt_timeout_factor * rc.latency_objective.count();
      if (rc.semantics != Semantics::idempotent_with_key || rc.idempotency_window.count() > repeat) continue;
      refuse("rule 2", fmt::format("site.classes[{}].dedup.window", c),
             fmt::format("a repeat of \"{}\" leaves after {:.0f} ms, its key is remembered for {} ms",
                         next_.class_names[c], repeat, rc.idempotency_window.count()),
             ms(rc.deadline.count()));
    }
  }

  // ---- Going over from what runs ----

  void spent_messages() {
    if (p_.max_messages_per_window <= 0) return;
    std::size_t most = 0;
    std::uint32_t who = 0;
    for (auto& x : fleet_.proxies)
      if (x.messages_in_window > most) most = x.messages_in_window, who = x.id;
    if (most <= static_cast<std::size_t>(p_.max_messages_per_window) ||
        p_.max_messages_per_window == now_.policy.max_messages_per_window)
      return;
    refuse("rule 5", "site.channel.messages",
           fmt::format("proxy {} was sent {} messages within the last {} ms, {} would be allowed", who, most,
                       now_.policy.message_window.count(), p_.max_messages_per_window),
           std::to_string(most));
  }

  // Rule 4: a server that is cold now started under the promise that was made then.
  double may_be_sent(const Settings& s, Ms up_for) const {  // against a warm one of its size
    double ramp =
        std::min(1.0, s.initial_capacity + (1 - s.initial_capacity) * up_for / s.warm_up_time.count());
    return s.overload_multiple * ramp;
  }
  void cold_servers() {
    const Settings& had = now_.policy;
    for (auto& s : fleet_.endpoints) {
      if (!s.available || s.uptime >= had.warm_up_time.count()) continue;
      double before = may_be_sent(had, s.uptime), after = may_be_sent(p_, s.uptime);
      if (after <= before * 1.001 && p_.overload_window <= had.overload_window) continue;
      std::string path =
          changed(std::pair{"site.guarantees.start_capacity", p_.initial_capacity > had.initial_capacity},
                  std::pair{"site.guarantees.warm_up", p_.warm_up_time < had.warm_up_time},
                  std::pair{"site.guarantees.tip_multiple", p_.overload_multiple > had.overload_multiple},
                  std::pair{"site.guarantees.fall", p_.overload_window > had.overload_window});
      std::string value = path == "site.guarantees.start_capacity" ? fmt::format("{}", had.initial_capacity)
                          : path == "site.guarantees.warm_up"      ? ms(had.warm_up_time.count())
                          : path == "site.guarantees.tip_multiple" ? fmt::format("{}", had.overload_multiple)
                                                                   : ms(had.overload_window.count());
      refuse(
          "rule 4", path,
          fmt::format("server {} started {:.0f} ms ago under the promise of {:.2f} of a warm one's load and "
                      "would be sent {:.2f}",
                      s.id, s.uptime, before, after),
          value + " until it is warm");
      return;
    }
  }

  // Rule 2: that repeats do no harm is known to who wrote the application; nothing here can show it.
  void weaker_semantics() {
    auto rank = [](Semantics s) {
      return s == Semantics::not_idempotent ? 0 : s == Semantics::idempotent_with_key ? 1 : 2;
    };
    auto width = [](IdempotencyScope s) {
      return s == IdempotencyScope::cell ? 0 : s == IdempotencyScope::locality ? 1 : 2;
    };
    for (std::size_t c = 0; c < now_.class_names.size(); ++c) {
      auto k = std::find(next_.class_names.begin(), next_.class_names.end(), now_.class_names[c]);
      if (k == next_.class_names.end()) continue;
      const RequestClass& had = now_.policy.classes[c];
      const RequestClass& has = p_.classes[static_cast<std::size_t>(k - next_.class_names.begin())];
      std::string path = fmt::format("site.classes[{}].", k - next_.class_names.begin());
      if (rank(has.semantics) > rank(had.semantics))
        refuse(
            "rule 2", path + "semantics",
            fmt::format("\"{}\" would be repeated as it may not be now; nothing here shows that this is safe",
                        now_.class_names[c]),
            "the present semantics; a weaker one in the assigner's own file");
      else if (has.semantics == Semantics::idempotent_with_key &&
               (width(has.idempotency_scope) > width(had.idempotency_scope) ||
                has.idempotency_window > had.idempotency_window) &&
               had.semantics == Semantics::idempotent_with_key)
        refuse("rule 2", path + "dedup",
               fmt::format("\"{}\" is said to be remembered more widely or for longer than now; nothing here "
                           "shows it",
                           now_.class_names[c]),
               "the present scope and window; others in the assigner's own file");
    }
  }

  const AssignerSettings &now_, &next_;
  const Settings& p_;
  const FleetSnapshot& fleet_;
  double joined_ = 0, open_ = 0;
  std::vector<Reason> out_;
};

}  // namespace

std::vector<Reason> prove(const AssignerSettings& now, const AssignerSettings& next,
                          const FleetSnapshot& fleet) {
  std::vector<Reason> out = assigner::fleet_conflicts(now, next, fleet);
  if (!out.empty()) return out;  // what follows goes by positions
  std::vector<Reason> had = Prover(now, now, fleet).standing();
  for (Reason& r : Prover(now, next, fleet).standing()) {
    bool old = std::any_of(had.begin(), had.end(),
                           [&](const Reason& h) { return h.rule == r.rule && h.reason == r.reason; });
    if (!old) out.push_back(std::move(r));
  }
  for (Reason& r : Prover(now, next, fleet).going_over()) out.push_back(std::move(r));
  return out;
}

}  // namespace beamshunt::gate
