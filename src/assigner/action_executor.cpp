#include "assigner/action_executor.h"

#include <string>

#include "base/enums.h"

namespace beamshunt::assigner {
namespace {

using base::to_underlying;

class ActionVisitor {
 public:
  ActionVisitor(std::uint32_t controller, const ActionTargets& targets, Ms now)
      : controller_(controller),
        running_(targets.handover.controllers().at(controller)),
        targets_(targets),
        now_(now) {}

  void operator()(const Subscribe& action) {
    targets_.endpoint_watch_open = action.active;
    if (action.active) targets_.effects.emplace_back(OpenEndpointWatch{});
    else targets_.effects.emplace_back(CloseEndpointWatch{});
  }
  void operator()(const FetchEndpoints&) { targets_.effects.emplace_back(FetchEndpointList{}); }
  void operator()(const SetTimer& action) {
    running_.timers.emplace(action.deadline.time_since_epoch().count(), action.token);
  }
  void operator()(const SendHealthCheck& action) {
    if (const EndpointListEntry* entry = targets_.endpoints.find(to_underlying(action.endpoint)))
      targets_.effects.emplace_back(SendHealthCheckRequest{action.endpoint, entry->address});
  }
  void operator()(const SendPeerMessage& action) {
    // Peers would refuse the stream if they received a longer note.
    if (action.payload.size() > native_protocol::kMaxPeerNoteBytes) return;
    targets_.protocol.send_peer_note(action.peer, action.to_all_peers,
                                     std::string(action.payload.begin(), action.payload.end()), now_);
  }
  void operator()(const SetWeight& action) { apply(action); }
  void operator()(const ClearTable& action) { apply(action); }
  void operator()(const AssignTable& action) {
    targets_.handover.transfer_proxy(controller_, action.proxy);
    apply(action);
  }
  void operator()(const ExcludeEndpoint& action) { apply(action); }
  void operator()(const SetAdmissionLimit& action) {
    targets_.metrics.count_limit_reductions(running_.tables, action);
    apply(action);
  }
  void operator()(const RemoveHeldEndpoint& action) {
    if (!targets_.handover.owns(controller_, action.proxy)) return targets_.writer.add_message(action.proxy);
    // The first assigned table ends the exclusions of a stream, so the proxy may use the endpoint again then.
    targets_.writer.add(action.proxy,
                        native_protocol::ExcludeEndpointUpdate{to_underlying(action.endpoint), true});
  }
  void operator()(const AckRequest& action) {
    targets_.writer.request_acks(action.sequence_number, action.all_proxies, targets_.protocol.sessions());
  }
  void operator()(const LogMessage& action) {
    targets_.metrics.count_ejections(action);
    targets_.effects.emplace_back(WriteLogEvent{log::Level::info, "controller", {{"text", action.text}}});
  }
  void operator()(const InvariantViolated& action) {
    targets_.effects.emplace_back(
        WriteLogEvent{log::Level::error, "controller_invariant_violated", {{"text", action.text}}});
  }

 private:
  // Applies the action to the controller's tables. Updates to proxies owned by another controller are not
  // written, because they are out of date.
  template <class TableAction>
  void apply(const TableAction& action) {
    running_.tables.apply(action, [this](ProxyId proxy, const assignments::Update& update) {
      if (targets_.handover.owns(controller_, proxy))
        targets_.writer.add(proxy, to_protocol_update(controller_, update, targets_.endpoints));
    });
  }

  std::uint32_t controller_;
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
