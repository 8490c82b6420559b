#include "day/versions.h"

#include <fmt/format.h>

#include <stdexcept>

namespace beamshunt::day {
namespace {

using config_stream::Key;
using config_stream::Verdict;

constexpr const char* kOrigin = "day";
const Key kLimits{"limits", "site"}, kSettings{"settings", "site"}, kExtra{"limits", "extra"};

// Versions that must be refused, whatever the site: ill-formed ones, and sound ones that would break a rule.
const std::vector<std::pair<Key, std::string>>& ill_formed() {
  static const std::vector<std::pair<Key, std::string>> kAll{
      {kLimits, "site: channel: delay: ["},
      {kLimits, "site: level: 0"},
      {kLimits, "site: channel: delay_most: 50"},
      {{"wishes", "site"}, "site: proxies: 9"},
      {kSettings, "instance: 4"},
      {{"alerts", "site"}, "groups: [{name: g, rules: [{alert: A, expr: 'nothing_like_this > 1'}]}]"}};
  return kAll;
}
const std::vector<std::pair<Key, std::string>>& harmful() {
  static const std::vector<std::pair<Key, std::string>> kAll{
      {kLimits, "site: guarantees: drain_grace: 10ms"},
      {kLimits, "site: channel: most_waiting_lines: 5"},
      {kLimits, "site: channel: messages: 1"},
      {kSettings, R"(site: levels: "share")"},
      {kSettings, "streams: confirm_within: 100ms"},
      {{"localities", "site"}, "site: localities: [{name: \"elsewhere\", prefixes: [\"127.0.0.0/8\"]}]"},
      {{"classes", "site"}, "site: classes: [{name: \"other\", slo: 1s, deadline: 2s}]"}};
  return kAll;
}

}  // namespace

Versions::Versions(standin::World& world, const std::vector<net::Address>& services) : world_(world) {
  for (net::Address at : services)
    services_.push_back(std::make_unique<standin::ControlService>(world, at, kOrigin));
}

std::string Versions::settings(Ms watch, double service_drop) const {
  std::string at;
  for (auto& s : services_) at += "\"" + net::to_string(s->address()) + "\", ";
  return fmt::format(
      "control: {{origin: \"{}\", services: [{}], heartbeat: 300ms, return_after: 700ms, deliver_within: "
      "800ms, most_bytes: 1MiB, "
      "most_bytes: 1MiB, backoff: {{least: 50ms, most: 400ms}}, shadow: {{length: 2s, budget: 1s}}, "
      "watch: {{time: {}ms, service_drop: {}, least_requests: 60}}}}\n",
      kOrigin, at, watch, service_drop);
}

// By turns one that a fresh module is needed for, and one that takes effect in place.
std::map<Key, std::string> Versions::good() {
  ++goods_;
  if (goods_ % 2 == 1) return {{kLimits, fmt::format("site: channel: delay_most: {}ms", 200 + goods_ % 100)}};
  return {{kSettings, fmt::format("streams: confirm_within: {}ms", 5000 + goods_)}};
}

void Versions::tell_bad(const std::map<Key, std::string>& changed) {
  must_be_refused_[services_.front()->offer(changed)] = services_.front()->subscribers();
}

std::string Versions::strike(const Trouble& t) {
  standin::ControlService& service = *services_.front();
  ++told_;
  if (t.how == "good") {
    last_good_ = service.publish(good());
    return fmt::format("version {}, sound", last_good_);
  }
  if (t.how == "ill_formed" || t.how == "harmful") {
    bool ill = t.how == "ill_formed";
    const auto& all = ill ? ill_formed() : harmful();
    const auto& one = all[(ill ? bads_ : harms_)++ % all.size()];
    tell_bad({{one.first, one.second}});
    return fmt::format("a version that is {}: {}", ill ? "ill-formed" : "harmful", one.second);
  }
  if (t.how == "repeat") {
    service.repeat();
    return "the same version again";
  }
  if (t.how == "older") {
    service.older();
    return "the first version again";
  }
  if (t.how == "contradict") {
    service.contradict();
    return "other content under the same number";
  }
  if (t.how == "reorder") {
    service.out_of_order();
    return "two parts in the wrong order";
  }
  if (t.how == "huge") {
    service.huge(static_cast<std::size_t>(t.size * 1048576));
    return fmt::format("a version of {} MiB", t.size);
  }
  if (t.how == "endless") {
    service.endless();
    return "a version without end";
  }
  if (t.how == "cut") {  // extra: bytes before the stream breaks
    service.cut_next(std::max<std::size_t>(1, static_cast<std::size_t>(t.extra)));
    last_good_ = service.publish(good());
    return fmt::format("version {}, the stream breaks after {} bytes of it", last_good_, t.extra);
  }
  if (t.how == "storm") {  // size: versions over the time
    auto count = static_cast<std::size_t>(t.size);
    for (std::size_t k = 0; k < count; ++k)
      world_.reactor.call_at(world_.now() + t.lasts * static_cast<double>(k) / static_cast<double>(count),
                             [this] { last_good_ = services_.front()->publish(good()); });
    return fmt::format("a storm of {} versions in {} ms", count, t.lasts);
  }
  if (t.how == "disagree" && services_.size() > 1) {  // the second service makes versions of its own
    services_.back()->publish({{kExtra, "stop_within: 900ms"}});
    return "the second service has another version";
  }
  throw std::runtime_error("a day knows no config trouble of how \"" + t.how + "\"");
}

VersionsResult Versions::result() const {
  VersionsResult out;
  out.told = told_;
  std::map<std::uint32_t, bool> configured;  // by instance: it has acked one
  std::map<std::uint64_t, std::size_t> refused;
  for (auto& service : services_) {
    bool first = service == services_.front();
    for (auto& a : service->answers()) {
      const config_stream::Answer& answer = a.answer;
      out.answer_times.push_back(a.took);
      out.taken += answer.verdict == Verdict::ack, out.refused += answer.verdict == Verdict::nack;
      out.superseded += answer.verdict == Verdict::superseded;
      out.reverted += answer.verdict == Verdict::reverted;
      out.resyncs += answer.verdict == Verdict::resync;
      if (answer.verdict == Verdict::ack) configured[a.instance] = true;
      else if (configured[a.instance] && answer.in_force == 0)
        out.unconfigured.push_back(fmt::format("assigner {} said that it runs no version", a.instance));
      bool bad = first && must_be_refused_.contains(answer.number);
      if (bad && answer.verdict == Verdict::ack)
        out.wrong.push_back(fmt::format("version {} was taken and should not have been", answer.number));
      if (answer.verdict != Verdict::ack && answer.reasons.empty())
        out.wrong.push_back(fmt::format("version {} was refused without a reason", answer.number));
      if (answer.verdict != Verdict::nack) continue;
      if (bad) ++refused[answer.number];
      for (auto& r : answer.reasons) {
        out.refusals.push_back(fmt::format("version {}: {}", answer.number, config_stream::to_string(r)));
        bool place = r.rule == "order" || r.rule == "watch" || r.rule == "rollback" || r.rule == "bounds";
        if (first && !bad && !place)
          out.wrong.push_back(fmt::format("version {} was refused: {}", answer.number, to_string(r)));
      }
    }
    for (auto& h : service->heard())
      if (h.held == 0 && h.at > 0)
        for (auto& a : service->answers())
          if (a.instance == h.instance && a.at < h.at && a.answer.verdict == Verdict::ack) {
            out.unconfigured.push_back(fmt::format("assigner {} came back without a version", h.instance));
            break;
          }
  }
  for (auto& [number, by] : must_be_refused_)
    if (refused[number] < by)
      out.wrong.push_back(fmt::format("version {} was refused by {} of {}", number, refused[number], by));
  return out;
}

}  // namespace beamshunt::day
