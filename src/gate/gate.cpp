#include "gate/gate.h"

#include <fmt/format.h>

#include <algorithm>

#include "alerts/rules.h"
#include "assigner/setting_effects.h"
#include "base/time.h"
#include "gate/prove.h"
#include "gate/shadow.h"

namespace beamshunt::gate {
namespace {

constexpr double kServiceDrop = 0.1;  // of the rehearsal's served part, at each of some seeds: less is chance
constexpr std::uint64_t kSeeds = 3;

std::vector<Reason> judge_alerts(const config_stream::Resources& resources) {
  std::vector<Reason> out;
  for (auto& [key, resource] : resources) {
    if (key.type != assigner::kAlertsType) continue;
    std::string name = key.type + "/" + key.name;
    try {
      for (const std::string& line :
           alerts::check_rules(alerts::parse_rules(resource.body, name), alerts::all_exported()))
        out.push_back({"reference", name, line, ""});
    } catch (const std::runtime_error& error) {
      out.push_back({"form", name, error.what(), ""});
    }
  }
  return out;
}

std::vector<Reason> judge_by_shadow(const assigner::CandidateConfiguration& c) {
  std::vector<Reason> out;
  if (!c.now.control || c.now.control->shadow_length <= 0 || c.fleet.proxies.empty()) return out;
  ShadowOptions options;
  options.length = c.now.control->shadow_length;
  options.seed = c.now.policy.seed;
  Ms begun = base::monotonic_ms();
  options.out_of_budget = [&, most = c.now.control->shadow_budget] {
    return base::monotonic_ms() - begun > most;
  };
  Rehearsal with = rehearse(c.now, c.next, c.fleet, options);
  if (with.finished && !with.taken_over)
    return {
        {"rule 5", fmt::format("{}", fmt::join(c.changed, ", ")),
         fmt::format("in a rehearsal with this fleet no proxy could be taken over within {} ms: too many of "
                     "the messages that would be allowed have been sent",
                     options.length),
         "the present value"}};
  bool broken = !with.verdict.breaks.empty();
  if (!broken && with.service >= 1 - kServiceDrop) return out;
  Rehearsal without = rehearse(c.now, c.now, c.fleet, options);
  std::string paths = fmt::format("{}", fmt::join(c.changed, ", "));
  for (const audit::Break& b : with.verdict.breaks) {
    if (without.verdict.broke(b.rule)) continue;  // the day's own doing
    std::string rule = fmt::format("rule {}", static_cast<int>(b.rule) + 1);
    if (std::any_of(out.begin(), out.end(), [&](const Reason& r) { return r.rule == rule; })) continue;
    out.push_back({rule, paths, "in a rehearsal with this fleet: " + b.what, "the present value"});
  }
  auto falls = [](const Rehearsal& to, const Rehearsal& from) {
    return to.finished && from.finished && to.service < from.service - kServiceDrop;
  };
  bool always = out.empty() && falls(with, without);
  for (std::uint64_t k = 1; always && k < kSeeds; ++k) {
    ++options.seed;
    always = falls(rehearse(c.now, c.next, c.fleet, options), rehearse(c.now, c.now, c.fleet, options));
  }
  if (always)
    out.push_back({"shadow", paths,
                   fmt::format("in a rehearsal with this fleet the part served in time falls from {:.3f} to "
                               "{:.3f}",
                               without.service, with.service),
                   "the present value"});
  return out;
}

}  // namespace

std::vector<Reason> judge(const assigner::CandidateConfiguration& candidate) {
  std::vector<Reason> out = judge_alerts(candidate.resources);
  for (Reason& r : prove(candidate.now, candidate.next, candidate.fleet)) out.push_back(std::move(r));
  return out.empty() ? judge_by_shadow(candidate) : out;
}

}  // namespace beamshunt::gate
