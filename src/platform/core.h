// The platform's assigner without its sockets: receives bytes, results and times, and returns effects. It
// connects the components of this package to the controller and passes each input to the component that
// handles it. It performs no I/O, reads no clock and decides nothing about endpoints; the controller does.
//
// One call of the controller handles all events since the last call. The shell reports each input as it
// occurs, calls run_once() when the event loop has no more input, and executes the effects in order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/ack_tracker.h"
#include "platform/configuration.h"
#include "platform/discovery_client.h"
#include "platform/effects.h"
#include "platform/endpoint_view_log.h"
#include "platform/health_check_client.h"
#include "platform/message.h"
#include "platform/session_table.h"
#include "platform/update_writer.h"

namespace beamshunt::platform {

// Counts since the start of the process.
struct Counters {
  std::uint64_t messages = 0;         // update messages sent to proxies
  std::uint64_t lines = 0;            // lines of the update messages, without the overhead per message
  std::uint64_t reports = 0;          // valid reports received
  std::uint64_t malformed = 0;        // malformed messages dropped without closing the connection
  std::uint64_t rejected = 0;         // connections closed with a reason sent to the peer
  std::uint64_t evicted = 0;          // unregistered connections closed to free descriptors
  std::uint64_t unresponsive = 0;     // connections of proxies closed because of overdue acks
  std::uint64_t unacknowledged = 0;   // nonces whose ack was overdue
  std::uint64_t late_acks = 0;        // acks of nonces that had been released
  std::uint64_t liveness_checks = 0;  // nonces sent without updates
};

// One assigner of the platform, driven by its shell.
class Core {
 public:
  // Here and below, `now` is in ms of the monotonic clock, and `wall_now` in ms since 1970 at the same
  // instant. `log_endpoints` enables EndpointViewLog.
  Core(Configuration configuration, Ms now, double wall_now, bool log_endpoints = false);
  // Not copyable: the components hold references to each other.
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  // ---- Inputs; take_effects() returns their effects after run_once() ----
  // Adds an unregistered session for a connection that a peer opened.
  void on_connection_opened(ConnectionId id, Ms now) { sessions_.add(id, now); }
  // Handles the messages in the received bytes. Bytes of a connection that has ended are ignored.
  void on_bytes(ConnectionId id, std::string_view bytes, Ms now);
  // Handles a connection that the peer or the network closed. `reason` is logged.
  void on_connection_closed(ConnectionId id, const std::string& reason) { end_session(id, reason); }
  // Handle received bytes and the end of a watch. Input of a watch that has ended is ignored.
  void on_watch_bytes(WatchSet::Id watch, std::string_view bytes, Ms now, double wall_now) {
    discovery_.on_watch_bytes(watch, bytes, now, wall_now);
  }
  void on_watch_ended(WatchSet::Id watch, const std::string& reason, Ms now) {
    discovery_.on_watch_ended(watch, reason, now);
  }
  // Handle the body of a successful response to FetchEndpointList, and a failed request.
  void on_fetched(std::string_view json, Ms now, double wall_now) {
    discovery_.on_fetched(json, now, wall_now);
  }
  void on_fetch_failed(const std::string& reason) { discovery_.on_fetch_failed(reason); }
  // `duration` is in ms. `body` is the body of the endpoint's response, empty if there was no response.
  void on_health_check_result(EndpointId endpoint, HealthCheckId id, AttemptOutcome outcome, Ms duration,
                              std::string_view body) {
    health_checks_.on_result(endpoint, id, outcome, duration, body);
  }
  // Replaces the configuration, except for the listen address, which applies from the next start. If the
  // settings differ, a new controller replaces the present one. It receives the endpoint list, the registered
  // proxies and the channel usage of messages in flight; ejections, limits and estimates are dropped. If
  // classes, localities or the number of proxies differ, the proxies are disconnected first and must register
  // again.
  void reconfigure(Configuration next, Ms now);

  // ---- Eviction ----
  // Returns the unregistered connection to close next, or nothing while enough descriptors are left for
  // registered peers. Before it calls evict(), the shell must read the connection once more, because a
  // registration may be waiting in the socket.
  [[nodiscard]] std::optional<ConnectionId> eviction_candidate() { return sessions_.eviction_candidate(); }
  // Closes the connection unless it has registered in the meantime.
  void evict(ConnectionId id);

  // ---- Time ----
  // Handles expired timers and timeouts, and calls the controller if there are events since the last call.
  void run_once(Ms now);
  // Returns the latest time (ms) for the next call of run_once(); 0 means at once.
  [[nodiscard]] Ms next_due() const;
  // Returns the effects since the last call, in the order in which the shell must execute them.
  [[nodiscard]] std::vector<Effect> take_effects() { return std::exchange(outputs_.effects, {}); }

  // ---- State ----
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] const Configuration& configuration() const { return configuration_; }
  // Returns the number of open sessions, registered or not.
  [[nodiscard]] std::size_t connections() const { return sessions_.sessions().size(); }
  // Returns the number of registered proxies.
  [[nodiscard]] std::size_t proxies() const { return sessions_.proxies().size(); }

 private:
  // Budgets shared by all sessions in one pass of expire_timeouts().
  struct TimeoutPass {
    Ms now = 0;
    double liveness_checks_left = 0;
    std::size_t unfinished_bytes = 0;  // total of the sessions checked so far
  };

  // Handlers of received messages. Each throws ProtocolError if the message is not allowed in the session.
  void handle_message(ConnectionId id, Session& session, std::string_view line, Ms now);
  void handle(ConnectionId id, Session& session, const HealthCheckRequest& request, Ms now);
  void handle(ConnectionId id, Session& session, const CollectorRegistration& registration, Ms now);
  void handle(ConnectionId id, Session& session, const ProxyRegistration& registration, Ms now);
  void handle(ConnectionId id, Session& session, const Ack& ack, Ms now);
  void handle(ConnectionId id, Session& session, const EndpointReportMessage& report, Ms now);
  void handle(ConnectionId id, Session& session, const DemandReportMessage& report, Ms now);

  void register_with_controller(const ProxyRegistration& registration);
  void reject(ConnectionId id, const std::string& reason);
  void end_session(ConnectionId id, const std::string& reason);

  // Handover between controllers and execution of the controller's actions.
  void start_controller();
  void hand_over_streams(Ms now);
  void execute(const std::vector<Action>& actions, Ms now);
  void execute(const Subscribe& action);
  void execute(const FetchEndpoints&) { discovery_.fetch(); }
  void execute(const SetTimer& action);
  void execute(const SendHealthCheck& action) { health_checks_.start(action.endpoint); }
  void execute(const SendPeerMessage&) {}  // the platform has no messages between assigners
  void execute(const SetWeight& action) { updates_.apply(action); }
  void execute(const ClearTable& action) { updates_.apply(action); }
  void execute(const AssignTable& action) { updates_.apply(action); }
  void execute(const ExcludeEndpoint& action) { updates_.apply(action); }
  void execute(const SetAdmissionLimit& action) { updates_.apply(action); }
  void execute(const RemoveHeldEndpoint& action) { updates_.remove_held_endpoint(action); }
  void execute(const AckRequest& action);
  void execute(const LogMessage& action);
  void execute(const InvariantViolated& action);
  void send_updates(Ms now);

  void expire_timeouts(Ms now);
  void expire_timeouts(ConnectionId id, Session& session, TimeoutPass& pass);
  [[nodiscard]] double liveness_check_budget() const;
  [[nodiscard]] bool check_liveness(ConnectionId id, Session& session, Ms now);
  void expire_acks(ConnectionId id, const Session& session, Ms now);
  [[nodiscard]] Ms message_window() const { return configuration_.settings.message_window.count(); }

  Configuration configuration_;
  Outputs outputs_;
  SessionTable sessions_;
  AckTracker acks_;
  DiscoveryClient discovery_;
  UpdateWriter updates_;
  std::unique_ptr<EndpointViewLog> view_log_;  // null if endpoints are not logged
  HealthCheckClient health_checks_;
  std::unique_ptr<Controller> controller_;
  std::multimap<Ms, std::uint64_t> timers_;     // tokens of the controller's timers, by deadline
  std::optional<std::uint32_t> requested_ack_;  // sequence number to acknowledge with the present batch
  Ms next_timeout_check_ = 0;
  Counters counters_;
};

}  // namespace beamshunt::platform
