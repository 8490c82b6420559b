#include "assigner/action_executor.h"

#include <string>

#include "base/enums.h"

namespace beamshunt::assigner {
namespace {

using base::to_underlying;

class ActionVisitor {
 public:
  ActionVisitor(std::uint32_t number, const ActionTargets& targets, Ms now)
      : number_(number), running_(targets.handover.controllers().at(number)), targets_(targets), now_(now) {}

  void operator()(const Subscribe& x) {
    targets_.watching = x.active;
    if (x.active) targets_.effects.emplace_back(OpenEndpointWatch{});
    else targets_.effects.emplace_back(CloseEndpointWatch{});
  }
  void operator()(const FetchEndpoints&) { targets_.effects.emplace_back(FetchEndpointList{}); }
  void operator()(const SetTimer& x) {
    running_.timers.emplace(x.deadline.time_since_epoch().count(), x.token);
  }
  void operator()(const SendHealthCheck& x) {
    if (const EndpointListEntry* entry = targets_.endpoints.find(to_underlying(x.endpoint)))
      targets_.effects.emplace_back(SendHealthCheckRequest{x.endpoint, entry->address});
  }
  void operator()(const SendPeerMessage& x) {
    if (x.payload.size() > native_protocol::kMaxPeerNoteBytes) return;  // peers would refuse the stream
    targets_.protocol.send_peer_note(x.peer, x.to_all_peers, std::string(x.payload.begin(), x.payload.end()),
                                     now_);
  }
  void operator()(const SetWeight& x) { apply(x); }
  void operator()(const ClearTable& x) { apply(x); }
  void operator()(const AssignTable& x) {
    targets_.handover.transfer_proxy(number_, x.proxy);
    apply(x);
  }
  void operator()(const ExcludeEndpoint& x) { apply(x); }
  void operator()(const SetAdmissionLimit& x) {
    targets_.metrics.limit_set(running_.tables, x);
    apply(x);
  }
  void operator()(const AckRequest& x) {
    targets_.writer.request_acks(x.sequence_number, x.all_proxies, targets_.protocol.sessions());
  }
  void operator()(const LogMessage& x) {
    targets_.metrics.controller_logged(x);
    targets_.effects.emplace_back(WriteLogEvent{log::Level::info, "controller", {{"text", x.text}}});
  }
  void operator()(const InvariantViolated& x) {
    targets_.effects.emplace_back(
        WriteLogEvent{log::Level::error, "controller_invariant_violated", {{"text", x.text}}});
  }

 private:
  // A proxy obeys the controller that owns it: what another one decides for it is out of date.
  template <class TableAction>
  void apply(const TableAction& action) {
    running_.tables.apply(action, [this](ProxyId proxy, const assignments::Update& update) {
      if (targets_.handover.owns(number_, proxy))
        targets_.writer.write(proxy, to_channel_update(number_, update, targets_.endpoints));
    });
  }

  std::uint32_t number_;
  RunningController& running_;
  const ActionTargets& targets_;
  Ms now_;
};

}  // namespace

void execute_actions(const std::vector<Action>& actions, std::uint32_t controller,
                     const ActionTargets& targets, Ms now) {
  ActionVisitor visitor(controller, targets, now);
  for (const Action& action : actions) std::visit(visitor, action);
}

}  // namespace beamshunt::assigner
