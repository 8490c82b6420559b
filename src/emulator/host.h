// What stands at the assigner's end of the streams: the program's own core with the decision module in it, or
// a plain host with one of the baselines that the module is held against. Both speak the channel's frames.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "assigner/assigner_settings.h"
#include "assigner/core.h"
#include "standin/proxy_model.h"

namespace beamshunt::emulator {

using base::Ms;

// The baselines tell each proxy all listed servers of its locality (all servers, if the locality has none and
// the class may leave it), at once and without a pace, and change them with the list alone: no levels, no
// ejection, no slow start. What a proxy then does with equal weights, or with the listed sizes, is its pick.
// The module's tables can be picked from in the baselines' ways, too.
enum class Policy {
  module,
  round_robin,
  static_weights,
  least_load,
  two_choice,
  module_two_choice,
  module_least_load
};
const char* policy_name(Policy policy);
std::optional<Policy> policy_named(std::string_view name);
standin::Pick pick_of(Policy policy, standin::Pick of_the_day);

class Host {
 public:
  virtual ~Host() = default;
  virtual void stream_opened(assigner::StreamId stream, net::Address peer, Ms now) = 0;
  virtual void stream_bytes(assigner::StreamId stream, std::string_view bytes, Ms now) = 0;
  virtual void stream_closed(assigner::StreamId stream, const std::string& reason, Ms now) = 0;
  virtual void list_line(std::string_view json, Ms now, double wall_now) = 0;
  virtual void list_lost(const std::string& reason, Ms now) = 0;
  virtual void probe_answered(EndpointId endpoint, AttemptOutcome outcome, Ms took, LoadReport load,
                              Ms now) = 0;
  // Other settings, as of assigner::Core; a baseline has none that may change.
  virtual bool may_reconfigure(const assigner::AssignerSettings&, Ms) const { return false; }
  virtual void reconfigure(const assigner::AssignerSettings&, std::uint64_t, std::uint64_t, Ms) {}
  virtual std::optional<telemetry::AssignerMetrics> figures(Ms) { return std::nullopt; }
  virtual void turn(Ms now) = 0;
  virtual Ms next_due() const = 0;
  virtual std::vector<assigner::Effect> take_effects() = 0;
  virtual std::string list_bytes() const = 0;
  virtual double waiting_lines() const = 0;
  virtual Ms oldest_report(Ms now) const = 0;  // for how long the longest waiting report has waited
};

// `warm`: the list as held before, sealed; empty for none.
std::unique_ptr<Host> make_host(Policy policy, const assigner::AssignerSettings& site, std::uint64_t epoch,
                                const std::string& warm, Ms now, double wall_now,
                                assigner::MessageInterceptor interceptor);

}  // namespace beamshunt::emulator
