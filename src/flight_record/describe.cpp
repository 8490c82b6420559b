#include "flight_record/describe.h"

#include <fmt/format.h>

#include <iterator>
#include <variant>

#include "base/enums.h"

namespace beamshunt::flight_record {
namespace {

using base::to_underlying;

constexpr long kEvery = -1;  // in the text: not one table or peer but all

const char* name_of(const Action& action) {
  constexpr const char* kNames[] = {"watch", "fetch",    "timer", "probe",   "peer",   "line",  "reset",
                                    "bind",  "withdraw", "admit", "barrier", "remark", "fault", "forget"};
  static_assert(std::size(kNames) == std::variant_size_v<Action>);
  return kNames[action.index()];
}

// The fields of each action; the overload is chosen by std::visit.
struct FieldText {
  std::string operator()(const Subscribe& action) const { return action.active ? "on" : "off"; }
  std::string operator()(const FetchEndpoints&) const { return {}; }
  std::string operator()(const SetTimer& action) const {
    return fmt::format("{} ms token {}", action.deadline.time_since_epoch().count(), action.token);
  }
  std::string operator()(const SendHealthCheck& action) const {
    return fmt::format("endpoint {}", to_underlying(action.endpoint));
  }
  std::string operator()(const SendPeerMessage& action) const {
    long peer = action.to_all_peers ? kEvery : static_cast<long>(action.peer);
    return fmt::format("{} {} bytes", peer, action.payload.size());
  }
  std::string operator()(const SetWeight& action) const {
    return fmt::format("table {} endpoint {} weight {}", to_underlying(action.table),
                       to_underlying(action.endpoint), action.weight);
  }
  std::string operator()(const ClearTable& action) const {
    return fmt::format("table {}", to_underlying(action.table));
  }
  std::string operator()(const AssignTable& action) const {
    return fmt::format("proxy {} classes {} table {}", to_underlying(action.proxy), action.classes,
                       to_underlying(action.table));
  }
  std::string operator()(const ExcludeEndpoint& action) const {
    return fmt::format("endpoint {} {}", to_underlying(action.endpoint), action.excluded);
  }
  std::string operator()(const RemoveHeldEndpoint& action) const {
    return fmt::format("proxy {} endpoint {}", to_underlying(action.proxy), to_underlying(action.endpoint));
  }
  std::string operator()(const SetAdmissionLimit& action) const {
    long table = action.all_tables ? kEvery : static_cast<long>(to_underlying(action.table));
    return fmt::format("table {} classes {} level {} retry {}", table, action.classes, action.limit,
                       static_cast<int>(action.retry_mode));
  }
  std::string operator()(const AckRequest& action) const {
    return fmt::format("{} {}", action.sequence_number, action.all_proxies);
  }
  std::string operator()(const LogMessage& action) const { return action.text; }
  std::string operator()(const InvariantViolated& action) const { return action.text; }
};

}  // namespace

std::string describe(const Action& action) {
  return fmt::format("{} {}", name_of(action), std::visit(FieldText{}, action));
}

}  // namespace beamshunt::flight_record
