#include "platform/core.h"

#include <algorithm>

#include "base/enums.h"

namespace beamshunt::platform {
namespace {

using base::to_underlying;

// Interval in ms at which the timeouts of all sessions are checked: short compared with each timeout.
constexpr Ms kTimeoutCheckInterval = 200;
// Maximum total size in bytes of all sessions' incomplete messages, which count towards the process's memory
// limit.
constexpr std::size_t kMaxUnfinishedBytes = 4194304;
// Share of the channel's rate that liveness checks may use. After a network outage many streams are idle at
// once.
constexpr double kLivenessChannelShare = 0.05;
// A liveness check is sent only if fewer than one in this many of the messages allowed to a proxy within a
// window have been sent: the other messages are reserved for updates.
constexpr std::size_t kLivenessWindowDivisor = 2;
constexpr double kMsPerSecond = 1000;

Time time_at(Ms ms) { return Time(Duration(ms)); }

void require_unregistered(const Session& session) {
  if (session.is_registered())
    throw ProtocolError(ProtocolError::Scope::message, "this connection is already registered",
                        {.field = "t", .expected = "one registration per connection"});
}

void require_registered(const Session& session) {
  if (!session.is_registered())
    throw ProtocolError(ProtocolError::Scope::connection, "a report before a joining",
                        {.field = "t", .expected = "a registration first"});
}

log::Fields rejection_fields(ConnectionId id, const std::string& reason) {
  return {{"connection", std::to_string(to_underlying(id))}, {"reason", reason}};
}

log::Fields malformed_fields(ConnectionId id, const ProtocolError& error) {
  log::Fields fields = rejection_fields(id, error.what());
  if (!error.detail.field.empty()) fields.emplace_back("field", error.detail.field);
  if (!error.detail.value.empty()) fields.emplace_back("value", error.detail.value);
  if (!error.detail.expected.empty()) fields.emplace_back("expected", error.detail.expected);
  return fields;
}

}  // namespace

Core::Core(Configuration configuration, Ms now, double wall_now, bool log_endpoints)
    : configuration_(std::move(configuration)),
      sessions_(configuration_.descriptor_limit),
      acks_(outputs_),
      discovery_(configuration_, outputs_),
      updates_(discovery_.catalog()),
      view_log_(log_endpoints ? std::make_unique<EndpointViewLog>(outputs_) : nullptr),
      health_checks_(configuration_, discovery_.catalog(), outputs_, view_log_.get()) {
  discovery_.load_cached_list(now, wall_now);
  start_controller();
}

// ---- Connections ----

void Core::on_bytes(ConnectionId id, std::string_view bytes, Ms now) {
  Session* session = sessions_.find(id);
  if (session == nullptr) return;
  session->receive(bytes, now);
  try {
    // `session` stays valid: a message may end the sessions of other connections, but not its own.
    while (std::optional<std::string> line = session->next_message())
      handle_message(id, *session, *line, now);
  } catch (const ProtocolError& error) {
    reject(id, error.what());
  }
}

void Core::handle_message(ConnectionId id, Session& session, std::string_view line, Ms now) {
  try {
    Message message = parse_message(line, configuration_.names, configuration_.settings.proxy_count);
    std::visit([&](const auto& concrete) { handle(id, session, concrete, now); }, message);
    session.count_valid_message();
  } catch (const ProtocolError& error) {
    // The first malformed message ends an unregistered connection. On a registered connection the message is
    // dropped, up to a number of consecutive malformed messages.
    if (!session.is_registered() || error.scope == ProtocolError::Scope::connection) throw;
    ++counters_.malformed;
    outputs_.log(log::Level::warning, "message_malformed", malformed_fields(id, error));
    if (session.count_malformed_message())
      throw ProtocolError(ProtocolError::Scope::connection, "nothing usable comes any more",
                          {.expected = "a valid message"});
  }
}

void Core::evict(ConnectionId id) {
  const Session* session = sessions_.find(id);
  if (session == nullptr || session->is_registered()) return;  // registered by the last bytes received
  outputs_.send(id, error_line("too many connections that have not joined"));
  outputs_.effects.emplace_back(CloseConnection{id, true});
  ++counters_.evicted;
  end_session(id, "evicted to free a descriptor");
}

void Core::reject(ConnectionId id, const std::string& reason) {
  ++counters_.rejected;
  outputs_.log(log::Level::warning, "connection_rejected", rejection_fields(id, reason));
  outputs_.send(id, error_line(reason));
  outputs_.effects.emplace_back(CloseConnection{id});
  end_session(id, reason);
}

// Removes the session and, for a proxy, everything that was kept for it. Has no effect if the session has
// ended.
void Core::end_session(ConnectionId id, const std::string& reason) {
  const Session* session = sessions_.find(id);
  if (session == nullptr) return;
  if (session->role() == Session::Role::proxy) {
    const ProxyId proxy = session->registration().proxy;
    acks_.remove(id);
    outputs_.log(log::Level::info, "proxy_disconnected",
                 {{"proxy", std::to_string(to_underlying(proxy))}, {"reason", reason}});
    updates_.remove_proxy(proxy);
    outputs_.events.emplace_back(ProxyDisconnected{proxy});
  }
  sessions_.remove(id);
}

// ---- Messages ----

void Core::handle(ConnectionId id, Session&, const HealthCheckRequest&, Ms) {
  outputs_.send(id, alive_line());
}

void Core::handle(ConnectionId id, Session& session, const CollectorRegistration& registration, Ms) {
  require_unregistered(session);
  if (auto surplus = sessions_.surplus_collector(registration.locality))
    reject(*surplus, "the locality has newer collectors");
  sessions_.register_collector(id, registration.locality);
  outputs_.log(log::Level::info, "collector_registered",
               {{"locality", configuration_.names.localities[to_underlying(registration.locality)]}});
}

void Core::handle(ConnectionId id, Session& session, const ProxyRegistration& registration, Ms) {
  require_unregistered(session);
  // The proxy may reconnect before the end of its previous stream is detected. The previous stream must no
  // longer represent the proxy, and its later end must not disconnect the proxy.
  if (auto previous = sessions_.connection_of(registration.proxy)) {
    outputs_.effects.emplace_back(CloseConnection{*previous, true});
    end_session(*previous, "the proxy has a newer stream");
  }
  sessions_.register_proxy(id, registration);
  outputs_.log(log::Level::info, "proxy_registered",
               {{"proxy", std::to_string(to_underlying(registration.proxy))},
                {"connection", std::to_string(to_underlying(id))}});
  register_with_controller(registration);
}

void Core::register_with_controller(const ProxyRegistration& registration) {
  updates_.register_proxy(registration.proxy);
  outputs_.events.emplace_back(ProxyRegistered{registration.proxy, registration.locality,
                                               registration.expected_rate, registration.only_static_tables});
}

void Core::handle(ConnectionId id, Session& session, const Ack& ack, Ms now) {
  if (session.role() != Session::Role::proxy || session.registration().proxy != ack.proxy)
    throw ProtocolError(ProtocolError::Scope::message, "an ack that is not of this stream's proxy",
                        {"node", std::to_string(to_underlying(ack.proxy)), "the stream's own proxy"});
  switch (acks_.acknowledge(id, ack.nonce, now)) {
    case AckTracker::AckResult::acknowledged:
      return;
    case AckTracker::AckResult::late:
      ++counters_.late_acks;
      return;
    case AckTracker::AckResult::unknown:
      throw ProtocolError(ProtocolError::Scope::message, "an ack of a nonce that is not in flight",
                          {"nonce", std::to_string(ack.nonce), "a nonce that was sent on this stream"});
  }
}

void Core::handle(ConnectionId, Session& session, const EndpointReportMessage& report, Ms) {
  require_registered(session);
  auto endpoint = discovery_.catalog().find(report.uid);
  if (!endpoint)
    throw ProtocolError(ProtocolError::Scope::message, "endpoint " + report.uid + " was never listed",
                        {"endpoint", report.uid, "the uid of a listed endpoint"});
  ++counters_.reports;
  if (view_log_) view_log_->record_report(*endpoint, report);
  outputs_.events.emplace_back(EndpointReport{report.source_locality, *endpoint, report.attempts,
                                              report.failed, Duration(report.mean_latency),
                                              Duration(report.interval), report.load});
}

void Core::handle(ConnectionId, Session& session, const DemandReportMessage& report, Ms) {
  require_registered(session);
  if (session.role() == Session::Role::proxy && session.registration().proxy != report.proxy)
    throw ProtocolError(ProtocolError::Scope::message,
                        "the report is for a different proxy than this stream's",
                        {"node", std::to_string(to_underlying(report.proxy)), "the stream's own proxy"});
  ++counters_.reports;
  if (!sessions_.connection_of(report.proxy)) return;  // not registered with the controller
  outputs_.events.emplace_back(DemandReport{report.proxy, report.request_class, report.arrivals,
                                            report.failed, Duration(report.interval)});
}

// ---- The controller ----

void Core::start_controller() {
  controller_ = std::make_unique<Controller>(configuration_.settings);
  acks_.start_controller();
  updates_.start_controller(configuration_.settings.classes.size());
  health_checks_.start_controller();
  outputs_.events.clear();
  timers_.clear();
  discovery_.start_controller();
}

void Core::reconfigure(Configuration next, Ms now) {
  const bool address_changed = next.discovery != configuration_.discovery;
  const bool settings_changed = next.values != configuration_.values;
  const bool localities_changed = next.names.localities != configuration_.names.localities;
  const bool registrations_valid = !localities_changed &&
                                   next.names.classes == configuration_.names.classes &&
                                   next.settings.proxy_count == configuration_.settings.proxy_count;
  next.listen = configuration_.listen;
  configuration_ = std::move(next);
  sessions_.set_descriptor_limit(configuration_.descriptor_limit);
  outputs_.log(log::Level::info, "configuration_applied",
               {{"discovery", net::to_string(configuration_.discovery)},
                {"new_controller", settings_changed ? "yes" : "no"}});
  discovery_.on_reconfigured(address_changed, localities_changed);
  if (!settings_changed) return;
  // If classes, localities or the number of proxies differ, the registrations refer to the previous settings
  // and are no longer valid: the proxies must connect again.
  while (!registrations_valid && !sessions_.proxies().empty())
    reject(sessions_.proxies().begin()->second, "the settings have changed");
  start_controller();
  hand_over_streams(now);
}

// Registers the proxies of all open streams with the new controller, which assigns tables to them; until then
// the proxies use their present tables. The limits on the channel and on the messages to each proxy apply to
// all controllers together, so the new controller is informed of the usage by messages of the previous ones.
void Core::hand_over_streams(Ms now) {
  SharedChannelUsage usage;
  for (const auto& [proxy, id] : sessions_.proxies()) {
    Session& session = *sessions_.find(id);
    acks_.carry_over(id);
    usage.messages_sent[proxy] = static_cast<int>(session.sent_messages_within(message_window(), now));
    session.mark_tables_assigned();
    register_with_controller(session.registration());
  }
  usage.queued_lines = acks_.external_lines();
  outputs_.events.emplace_back(std::move(usage));
}

void Core::execute(const std::vector<Action>& actions, Ms now) {
  for (const Action& action : actions)
    std::visit([this](const auto& concrete) { execute(concrete); }, action);
  send_updates(now);
}

void Core::execute(const Subscribe& action) {
  if (action.active) discovery_.subscribe();
  else discovery_.unsubscribe();
}

void Core::execute(const SetTimer& action) {
  timers_.emplace(action.deadline.time_since_epoch().count(), action.token);
}

void Core::execute(const AckRequest& action) {
  requested_ack_ = action.sequence_number;
  if (!action.all_proxies) return;
  for (const auto& [proxy, id] : sessions_.proxies()) updates_.add_message(proxy);
}

void Core::execute(const LogMessage& action) {
  outputs_.log(log::Level::info, "controller", {{"text", action.text}});
}

void Core::execute(const InvariantViolated& action) {
  outputs_.log(log::Level::error, "controller_invariant_violated", {{"text", action.text}});
}

// Sends all updates of a batch to a proxy as one message. All messages of a batch share one nonce.
void Core::send_updates(Ms now) {
  const std::optional<std::uint32_t> sequence_number = std::exchange(requested_ack_, std::nullopt);
  std::map<ProxyId, UpdateWriter::Parts> messages = updates_.take_messages();
  std::optional<std::uint32_t> nonce;
  if (sequence_number && !messages.empty()) nonce = acks_.next_nonce();
  for (auto& [proxy, parts] : messages) {
    auto id = sessions_.connection_of(proxy);
    if (!id) continue;
    const double lines = count_lines(parts, nonce.has_value());
    ++counters_.messages;
    counters_.lines += static_cast<std::uint64_t>(lines);
    Session& session = *sessions_.find(*id);
    // Drops the records of messages before the window, which would otherwise grow with the stream's age.
    static_cast<void>(session.sent_messages_within(message_window(), now));
    session.count_sent_message(now);
    if (nonce)
      acks_.add_update(*id, proxy, *nonce, *sequence_number,
                       lines + configuration_.settings.message_overhead_lines, now);
    outputs_.send(*id, update_lines(std::move(parts), nonce, configuration_.names));
  }
}

// ---- Time ----

void Core::run_once(Ms now) {
  if (now >= next_timeout_check_) expire_timeouts(now);
  if (view_log_) view_log_->write_if_due(discovery_.catalog(), updates_.tables(), configuration_.names, now);
  while (!timers_.empty() && timers_.begin()->first <= now) {
    outputs_.events.emplace_back(TimerFired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  discovery_.run_timers(now);
  if (outputs_.events.empty()) return;
  execute(controller_->handle(time_at(now), std::exchange(outputs_.events, {})), now);
}

Ms Core::next_due() const {
  if (!outputs_.events.empty()) return 0;
  Ms due = next_timeout_check_;
  if (!timers_.empty()) due = std::min(due, timers_.begin()->first);
  if (auto discovery_due = discovery_.next_due()) due = std::min(due, *discovery_due);
  return due;
}

void Core::expire_timeouts(Ms now) {
  next_timeout_check_ = now + kTimeoutCheckInterval;
  acks_.discard_old_deliveries(now);
  TimeoutPass pass{.now = now, .liveness_checks_left = liveness_check_budget()};
  auto& sessions = sessions_.sessions();
  for (auto next = sessions.begin(); next != sessions.end();) {
    auto current = next++;  // expire_timeouts() may remove the session
    expire_timeouts(current->first, current->second, pass);
  }
}

void Core::expire_timeouts(ConnectionId id, Session& session, TimeoutPass& pass) {
  if (session.handshake_timed_out(pass.now)) {
    reject(id, "nobody has joined in time");
    return;
  }
  pass.unfinished_bytes += session.unfinished_bytes();
  const bool over_memory = session.unfinished_bytes() > 0 && pass.unfinished_bytes > kMaxUnfinishedBytes;
  if (session.message_timed_out(pass.now) || over_memory) {
    reject(id, "a message does not end");
    return;
  }
  if (pass.liveness_checks_left > 0 && check_liveness(id, session, pass.now)) --pass.liveness_checks_left;
  expire_acks(id, session, pass.now);
}

// Returns the number of liveness checks that one pass over the sessions may send.
double Core::liveness_check_budget() const {
  const Settings& settings = configuration_.settings;
  return kLivenessChannelShare * settings.channel_lines_per_second * kTimeoutCheckInterval / kMsPerSecond /
         (settings.message_overhead_lines + 1);
}

// Sends a nonce without updates to an idle stream, and returns true if one was sent. The stream of a proxy
// that vanished stays open and silent; while nothing is sent, no ack becomes overdue, and the proxy would
// stay registered indefinitely with its last reported demand. The nonce makes either the proxy respond or its
// ack overdue. An event reports the check's channel usage to the controller, which did not send it.
bool Core::check_liveness(ConnectionId id, Session& session, Ms now) {
  const Settings& settings = configuration_.settings;
  if (session.role() != Session::Role::proxy) return false;
  if (acks_.has_unacknowledged(id) || !session.is_idle(now)) return false;
  if (settings.max_messages_per_window > 0 &&
      kLivenessWindowDivisor * session.sent_messages_within(message_window(), now) >=
          static_cast<std::size_t>(settings.max_messages_per_window))
    return false;
  ++counters_.liveness_checks;
  const std::uint32_t nonce = acks_.next_nonce();
  session.count_sent_message(now);
  acks_.add_liveness_check(id, session.registration().proxy, nonce, settings.message_overhead_lines + 1, now);
  outputs_.send(id, update_lines({}, nonce, configuration_.names));
  return true;
}

void Core::expire_acks(ConnectionId id, const Session& session, Ms now) {
  const Ms max_update_delay = configuration_.settings.max_update_delay.count();
  while (auto sent_at = acks_.overdue_sent_at(id, max_update_delay, now)) {
    ++counters_.unacknowledged;
    if (session.last_received() <= *sent_at) {
      ++counters_.unresponsive;
      outputs_.effects.emplace_back(CloseConnection{id, true});
      end_session(id, "unresponsive");
      return;
    }
    // Bytes of the proxy arrived after the message was sent, so the message was delivered and its ack was
    // lost or malformed. If the nonce were not released, its lines would count as queued and delay the
    // updates of all proxies.
    acks_.release_oldest(id, now);
  }
}

}  // namespace beamshunt::platform
