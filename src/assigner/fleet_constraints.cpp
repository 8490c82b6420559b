#include "assigner/fleet_constraints.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string>

namespace beamshunt::assigner {
namespace {

using config_stream::Reason;

// A locality of the fleet may be one more than the settings name: it counts for the last.
std::size_t known_locality(std::uint32_t locality, const std::vector<std::string>& names) {
  return std::min<std::size_t>(locality, names.size() - 1);
}

std::optional<Reason> moved_locality(const AssignerSettings& now, const AssignerSettings& next,
                                     const FleetSnapshot& fleet) {
  const auto& had = now.policy.localities;
  const auto& has = next.policy.localities;
  std::vector<std::size_t> servers(had.size());
  std::vector<std::size_t> proxies(had.size());
  for (const auto& server : fleet.endpoints) ++servers[known_locality(server.locality, had)];
  for (const auto& proxy : fleet.proxies) ++proxies[known_locality(proxy.locality, had)];
  for (std::size_t z = 0; z < had.size(); ++z) {
    if (z < has.size() && has[z] == had[z]) continue;
    bool moved = std::find(has.begin(), has.end(), had[z]) != has.end();
    bool unused_and_last = servers[z] + proxies[z] == 0 && !moved && has.size() <= z;
    if (unused_and_last) continue;
    return Reason{
        "rule 1", "site.localities",
        fmt::format("locality \"{}\" {} while it has {} proxies and {} servers: lists and proxies go by its "
                    "position",
                    had[z], moved ? "changes its place" : "goes", proxies[z], servers[z]),
        fmt::format("\"{}\" at position {}", had[z], z)};
  }
  return std::nullopt;
}

std::optional<Reason> moved_class(const AssignerSettings& now, const AssignerSettings& next,
                                  const FleetSnapshot& fleet) {
  for (std::size_t c = 0; c < now.class_names.size(); ++c) {
    if (c < next.class_names.size() && next.class_names[c] == now.class_names[c]) continue;
    return Reason{
        "rule 1", "site.classes",
        fmt::format("class \"{}\" is no longer at position {}, by which {} joined proxies report it",
                    now.class_names[c], c, fleet.proxies.size()),
        fmt::format("\"{}\" at position {}; new classes behind the old ones", now.class_names[c], c)};
  }
  return std::nullopt;
}

std::optional<Reason> changed_limit_kind(const AssignerSettings& now, const AssignerSettings& next) {
  if (now.policy.admission_limit_kind == next.policy.admission_limit_kind) return std::nullopt;
  return Reason{"rule 1", "site.levels", "joined proxies read levels as they were set up: a share is no rate",
                "the same kind until no proxy is joined"};
}

// Why the proxy would be in another locality, or not be admitted again after a loss of its stream.
std::optional<Reason> misplaced_proxy(const AssignerSettings& now, const AssignerSettings& next,
                                      const FleetSnapshot::RegisteredProxy& proxy) {
  const auto& had = now.policy.localities;
  const auto& has = next.policy.localities;
  auto locality = next.locality_of.find(proxy.address.ip);
  if (!locality || *locality != proxy.locality)
    return Reason{"rule 1", "site.localities",
                  fmt::format("proxy {} at {} is in \"{}\" and would be in {}", proxy.id,
                              net::to_string(proxy.address), had[known_locality(proxy.locality, had)],
                              locality ? "\"" + has[*locality] + "\"" : "none"),
                  "prefixes that hold every joined proxy"};
  if (!next.admits_all && !next.admitted.find(proxy.address.ip))
    return Reason{"rule 1", "admit",
                  fmt::format("proxy {} at {} is joined and could not come back", proxy.id,
                              net::to_string(proxy.address)),
                  "a prefix that holds every joined proxy"};
  return std::nullopt;
}

}  // namespace

std::vector<Reason> fleet_conflicts(const AssignerSettings& now, const AssignerSettings& next,
                                    const FleetSnapshot& fleet) {
  // Behind a locality that moved all positions are others: further reasons would say nothing new.
  if (auto reason = moved_locality(now, next, fleet)) return {*reason};
  std::vector<Reason> out;
  if (fleet.proxies.empty()) return out;
  if (auto reason = moved_class(now, next, fleet)) out.push_back(*reason);
  if (auto reason = changed_limit_kind(now, next)) out.push_back(*reason);
  for (const auto& proxy : fleet.proxies) {
    if (auto reason = misplaced_proxy(now, next, proxy)) {
      out.push_back(*reason);
      break;  // one proxy is enough to say it
    }
  }
  return out;
}

}  // namespace beamshunt::assigner
