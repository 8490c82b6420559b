// The platform's assigner without its sockets: bytes, results and times in, effects out. It wires the parts
// of this package to the controller and hands each input to the part that owns it. It performs no I/O, reads
// no clock and makes no decision on endpoints: those are the controller's.
//
// One call of the controller takes all that came since the last one: the shell reports what happens as it
// happens, calls run_once() when the loop has nothing more, and executes the effects in their order.
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

// What happened since the start.
struct Counters {
  std::uint64_t messages = 0;         // update messages to proxies
  std::uint64_t lines = 0;            // that these count in the channel, without the overhead a message
  std::uint64_t reports = 0;          // valid reports received
  std::uint64_t malformed = 0;        // messages dropped alone
  std::uint64_t rejected = 0;         // connections closed with a reason
  std::uint64_t evicted = 0;          // unregistered connections closed to make room
  std::uint64_t unresponsive = 0;     // proxies' connections closed for overdue acks
  std::uint64_t unacknowledged = 0;   // nonces whose ack was overdue
  std::uint64_t late_acks = 0;        // of nonces released before
  std::uint64_t liveness_checks = 0;  // nonces sent alone
};

class Core {
 public:
  // `now`: ms of the monotonic clock, here and below; `wall_now`: ms since 1970 at the same instant.
  // `log_endpoints`: writes EndpointViewLog's line.
  Core(Configuration configuration, Ms now, double wall_now, bool log_endpoints = false);
  // Its parts refer to each other.
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  // ---- Inputs; their effects are taken after run_once() ----
  void on_connection_opened(ConnectionId id, Ms now) { sessions_.add(id, now); }
  // Bytes of a connection that is over are ignored.
  void on_bytes(ConnectionId id, std::string_view bytes, Ms now);
  // The peer or the network closed it; `reason` is logged.
  void on_connection_closed(ConnectionId id, const std::string& reason) { end_session(id, reason); }
  // Of a watch that is over, bytes and end are ignored.
  void on_watch_bytes(ListWatch::Id watch, std::string_view bytes, Ms now, double wall_now) {
    discovery_.on_watch_bytes(watch, bytes, now, wall_now);
  }
  void on_watch_ended(ListWatch::Id watch, const std::string& reason, Ms now) {
    discovery_.on_watch_ended(watch, reason, now);
  }
  void on_fetched(std::string_view json, Ms now, double wall_now) {
    discovery_.on_fetched(json, now, wall_now);
  }
  void on_fetch_failed(const std::string& reason) { discovery_.on_fetch_failed(reason); }
  // `duration`: ms; `body`: of the endpoint's answer, empty if there was none.
  void on_health_check_result(EndpointId endpoint, HealthCheckId id, AttemptOutcome outcome, Ms duration,
                              std::string_view body) {
    health_checks_.on_result(endpoint, id, outcome, duration, body);
  }
  // Another configuration holds from now on, but for its listen address, which waits for the next start.
  // Where the settings differ a new controller takes over. It knows the endpoint list, the registered proxies
  // and what the former one's messages still hold of the channel; ejections, limits and estimates are
  // dropped. Where classes, localities or the number of proxies differ, the proxies are disconnected first
  // and register again.
  void reconfigure(Configuration next, Ms now);

  // ---- Room for connections ----
  // Descriptors are for registered peers: the connection that has to make room for others, or nothing while
  // there are enough. The shell reads it a last time before it calls evict(): it may hold a registration.
  [[nodiscard]] std::optional<ConnectionId> eviction_candidate() { return sessions_.eviction_candidate(); }
  // Closes the connection, unless it has registered meanwhile.
  void evict(ConnectionId id);

  // ---- Time ----
  // Handles what is due, and calls the controller with all events since the last call, if there are any.
  void run_once(Ms now);
  // When run_once() must be called at the latest; 0: at once.
  [[nodiscard]] Ms next_due() const;
  [[nodiscard]] std::vector<Effect> take_effects() { return std::exchange(outputs_.effects, {}); }

  // ---- State ----
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] const Configuration& configuration() const { return configuration_; }
  [[nodiscard]] std::size_t connections() const { return sessions_.sessions().size(); }
  [[nodiscard]] std::size_t proxies() const { return sessions_.proxies().size(); }

 private:
  // What one pass over all sessions has left.
  struct TimeoutPass {
    Ms now = 0;
    double liveness_checks_left = 0;
    std::size_t unfinished_bytes = 0;  // of the sessions looked at so far
  };

  // Messages of a session. Each throws ProtocolError.
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

  // The controller and its actions.
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
  std::unique_ptr<EndpointViewLog> view_log_;  // null: endpoints are not logged
  HealthCheckClient health_checks_;
  std::unique_ptr<Controller> controller_;
  std::multimap<Ms, std::uint64_t> timers_;     // the controller's, by deadline
  std::optional<std::uint32_t> requested_ack_;  // sequence number, of the present batch
  Ms next_timeout_check_ = 0;
  Counters counters_;
};

}  // namespace beamshunt::platform
