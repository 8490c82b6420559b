#include "assigner/core.h"

#include <algorithm>

#include "assigner/action_executor.h"
#include "assigner/endpoint_list_json.h"
#include "base/enums.h"
#include "flight_record/codec.h"
#include "flight_record/writer.h"

namespace beamshunt::assigner {
namespace {

using base::to_underlying;

// A handover may start only if each proxy has received less than this share of the messages permitted within
// the message window. The handover itself needs one message for each proxy, and drains need further ones
// after it.
constexpr double kMaxMessageShareBeforeHandover = 0.5;

Time to_time(Ms ms) { return Time(Duration(ms)); }

bool same_policy(const Settings& a, const Settings& b) {
  auto encoded = [](const Settings& settings) {
    base::Encoder encoder;
    encoder(settings);
    return encoder.release();
  };
  return encoded(a) == encoded(b);
}

}  // namespace

Core::Core(const AssignerSettings& settings, std::uint64_t epoch, std::optional<EndpointCatalog> cached,
           Ms now, double wall_now)
    : settings_(settings),
      epoch_(epoch),
      protocol_(settings_, epoch, now, *this, effects_, counters_),
      handover_(settings.policy),
      reports_(settings.report_lines_per_s),
      next_report_release_(now),
      last_watch_activity_at_(now),
      wall_offset_(wall_now - now) {
  if (flight_record_enabled()) append_flight_record(flight_record::encode_controller_start(settings_.policy));
  if (cached) endpoints_ = std::move(*cached);
  // The first event is always a cached list, possibly an empty one. The controller then subscribes to the
  // endpoint list by itself.
  handover_.deliver(
      EndpointList{EndpointListKind::cached, endpoints_.to_listed(endpoints_.entries(), now, wall_now)});
}

void Core::log(log::Level level, std::string event, log::Fields fields) {
  effects_.emplace_back(WriteLogEvent{level, std::move(event), std::move(fields)});
}

void Core::append_flight_record(std::string bytes) {
  effects_.emplace_back(AppendFlightRecord{std::move(bytes)});
}

CoreView Core::view() const {
  return {.settings = settings_,
          .sessions = protocol_.sessions(),
          .controllers = handover_.controllers(),
          .endpoints = endpoints_,
          .reports = reports_,
          .channel = channel_,
          .counters = counters_,
          .epoch = epoch_,
          .endpoint_watch_open = endpoint_watch_open_,
          .last_watch_activity_at = last_watch_activity_at_};
}

Locality Core::locality_of(const Session& session) const {
  return Locality{settings_.locality_of.find(session.address.ip).value_or(0)};
}

// ---- Sessions ----

void Core::proxy_registered(const Session& session, Locality locality, const native_protocol::Hello& hello) {
  ProxyId proxy{session.id};
  handover_.register_proxy(proxy);
  handover_.newest().pending.emplace_back(
      ProxyRegistered{proxy, locality, hello.expected_rate, hello.only_static_tables});
}

void Core::proxy_disconnected(ProxyId proxy) {
  handover_.remove_proxy(proxy);
  reports_.remove_proxy(proxy);
  writer_.discard(proxy);
  metrics_.proxy_removed(proxy);
  handover_.deliver(ProxyDisconnected{proxy});
}

void Core::messages_acknowledged(ProxyId proxy, const std::vector<UnacknowledgedMessage>& messages, Ms now) {
  for (const UnacknowledgedMessage& message : messages) {
    auto running = handover_.controllers().find(message.controller);
    if (running == handover_.controllers().end()) continue;  // the controller has been replaced
    for (std::uint32_t sequence_number : message.ack_requests)
      running->second.pending.emplace_back(
          UpdateAcknowledged{proxy, Duration(now - message.decided_at), sequence_number});
  }
}

void Core::load_report_received(const Session& session, const native_protocol::LoadReportMessage& report,
                                Ms now) {
  ++counters_.reports;
  counters_.report_entries += report.endpoints.size() + report.demand.size();
  Locality proxy_locality = locality_of(session);
  Ms begin = now - report.interval_ms;
  for (const native_protocol::EndpointReportEntry& entry : report.endpoints) {
    if (endpoints_.find(entry.endpoint)) reports_.add_endpoint_report(proxy_locality, entry, begin, now);
    else ++counters_.unknown_endpoints;
  }
  metrics_.add_load_report(proxy_locality, report, endpoints_, now);
  for (const native_protocol::DemandReportEntry& entry : report.demand)
    reports_.add_demand_report(ProxyId(session.id), entry, begin, now);
}

void Core::peer_note_received(std::uint32_t instance, const native_protocol::PeerNote& note) {
  handover_.deliver(PeerMessage{instance, {note.payload.begin(), note.payload.end()}});
}

// ---- Endpoint list and health checks ----

void Core::endpoint_list_received(std::string_view json, Ms now, double wall_now) {
  EndpointListUpdate update;
  try {
    update = parse_endpoint_list(json, settings_.policy.localities);
  } catch (const EndpointListError& error) {
    log(log::Level::error, "endpoint_list_rejected",
        {{"reason", error.what()}, {"kept_version", std::to_string(endpoints_.version())}});
    return endpoint_list_lost(std::string("rejected: ") + error.what());
  }
  last_watch_activity_at_ = now;
  wall_offset_ = wall_now - now;
  for (std::uint32_t id : endpoints_.apply(update))
    metrics_.endpoint_changed(id, endpoints_.is_available(id), now);
  handover_.deliver(EndpointList{update.complete ? EndpointListKind::complete : EndpointListKind::incremental,
                                 endpoints_.to_listed(update.entries, now, wall_now)});
  effects_.emplace_back(SaveEndpointList{});
  log(log::Level::debug, "endpoint_list_applied",
      {{"version", std::to_string(update.version)}, {"entries", std::to_string(update.entries.size())}});
}

void Core::endpoint_list_lost(const std::string& reason) {
  endpoint_watch_open_ = false;
  log(log::Level::warning, "endpoint_list_lost",
      {{"reason", reason}, {"kept_version", std::to_string(endpoints_.version())}});
  handover_.deliver(EndpointList{EndpointListKind::lost, {}});
}

void Core::health_check_completed(EndpointId endpoint, AttemptOutcome outcome, Ms latency, LoadReport load) {
  handover_.deliver(HealthCheckResult{endpoint, outcome, Duration(latency), std::move(load)});
}

// ---- Configuration changes ----

bool Core::may_reconfigure(const AssignerSettings& next, Ms now) const {
  if (same_policy(settings_.policy, next.policy)) return true;
  if (handover_.shares_channel()) return false;
  double max_messages = next.policy.max_messages_per_window;
  if (max_messages <= 0) return true;  // the number of messages is not limited
  const SessionTable& sessions = protocol_.sessions();
  return std::all_of(sessions.proxies().begin(), sessions.proxies().end(), [&](const auto& proxy_and_stream) {
    auto sent_messages = sessions.session_of(proxy_and_stream.second)
                             .message_history.count(now, next.policy.message_window.count());
    return static_cast<double>(sent_messages) < kMaxMessageShareBeforeHandover * max_messages;
  });
}

void Core::reconfigure(const AssignerSettings& next, std::uint64_t version, std::uint64_t hash, Ms now) {
  bool policy_changed = !same_policy(settings_.policy, next.policy);
  // Pending reports may refer to removed classes and localities.
  if (next.policy.classes.size() < settings_.policy.classes.size() ||
      next.policy.localities.size() < settings_.policy.localities.size())
    reports_ = ReportIntake(next.report_lines_per_s);
  bool periods_changed =
      settings_.heartbeat != next.heartbeat || settings_.policy.report_period != next.policy.report_period;
  settings_ = next;
  reports_.set_rate(settings_.report_lines_per_s);
  if (flight_record_enabled())
    append_flight_record(flight_record::encode_config_change(to_time(now), version, hash));
  log(log::Level::info, "config_applied",
      {{"version", std::to_string(version)}, {"new_controller", policy_changed ? "yes" : "no"}});
  protocol_.settings_changed(periods_changed, now);
  if (policy_changed) start_controller(now);
}

void Core::start_controller(Ms now) {
  std::uint32_t number = handover_.start_controller(settings_.policy);
  if (flight_record_enabled())
    append_flight_record(flight_record::encode_controller_start(settings_.policy, number));
  RunningController& running = handover_.newest();
  // The wall-clock offset of the last list is sufficient: the start times of all these endpoints were
  // converted before, and the catalog keeps them.
  running.pending.emplace_back(EndpointList{
      EndpointListKind::cached, endpoints_.to_listed(endpoints_.entries(), now, wall_offset_ + now)});
  for (const auto& [proxy, stream] : protocol_.sessions().proxies()) {
    const Session& session = protocol_.sessions().session_of(stream);
    running.tables.register_proxy(proxy);
    running.other_messages[proxy] =
        static_cast<int>(session.message_history.count(now, settings_.policy.message_window.count()));
    running.pending.emplace_back(ProxyRegistered{proxy, locality_of(session), session.expected_rate, false});
  }
  retire_replaced_controllers();
}

void Core::retire_replaced_controllers() {
  for (std::uint32_t number : handover_.retire_replaced_controllers())
    log(log::Level::info, "controller_replaced",
        {{"controller", std::to_string(number)}, {"by", std::to_string(handover_.newest_number())}});
}

// ---- Running ----

void Core::run_once(Ms now) {
  protocol_.dial_peers(now);
  protocol_.expire_timeouts(now);
  release_reports(now);
  handover_.deliver_shared_channel_usage(protocol_.sessions().all());
  for (auto& [number, running] : handover_.controllers()) run_controller(number, running, now);
  retire_replaced_controllers();
  send_due_messages(now);
}

Ms Core::next_due() const {
  Ms due = next_report_release_;
  for (const auto& [number, running] : handover_.controllers()) {
    if (!running.pending.empty()) return 0;
    if (!running.timers.empty()) due = std::min(due, running.timers.begin()->first);
  }
  if (auto check_due = protocol_.sessions().next_due()) due = std::min(due, *check_due);
  if (auto message_due = channel_.next_due()) due = std::min(due, *message_due);
  return due;
}

void Core::release_reports(Ms now) {
  if (now < next_report_release_) return;
  for (const Event& event : reports_.release(now)) handover_.deliver(event);
  next_report_release_ = now + settings_.policy.report_period.count();
}

void Core::run_controller(std::uint32_t number, RunningController& running, Ms now) {
  std::vector<Event> events = running.collect_events(now);
  if (events.empty()) return;
  std::vector<Action> actions = running.controller.handle(to_time(now), events);
  counters_.events += events.size();
  if (flight_record_enabled())
    append_flight_record(flight_record::encode_batch(to_time(now), events, actions, number));
  execute_actions(actions, number,
                  {.handover = handover_,
                   .protocol = protocol_,
                   .writer = writer_,
                   .metrics = metrics_,
                   .endpoints = endpoints_,
                   .effects = effects_,
                   .endpoint_watch_open = endpoint_watch_open_},
                  now);
  counters_.actions += actions.size();
  enqueue_messages(number, now);
}

// ---- Update messages ----

void Core::enqueue_messages(std::uint32_t controller, Ms now) {
  for (auto& [proxy, updates] : writer_.take_updates()) {
    auto session = protocol_.sessions().find_proxy(proxy);
    if (session == protocol_.sessions().end()) continue;
    if (interceptor_) interceptor_(now, to_underlying(proxy), updates, endpoints_);
    if (!updates.empty()) enqueue_message(controller, session, std::move(updates), now);
  }
}

// Adds one message to the update channel, which paces the messages of all proxies.
void Core::enqueue_message(std::uint32_t controller, SessionTable::Iterator session,
                           std::vector<native_protocol::Update> updates, Ms now) {
  Session& recipient = session->second;
  native_protocol::UpdateMessage message{.sequence = ++recipient.update_sequence, .decided_at_ms = now};
  message.lines = settings_.policy.message_overhead_lines + static_cast<double>(updates.size());
  UnacknowledgedMessage unacknowledged{
      .sequence = message.sequence, .decided_at = now, .lines = message.lines, .controller = controller};
  for (const native_protocol::Update& update : updates) {
    if (const auto* request = std::get_if<native_protocol::AckRequestUpdate>(&update))
      unacknowledged.ack_requests.push_back(request->sequence_number);
    unacknowledged.removes_unavailable_endpoint |= metrics_.removes_unavailable_endpoint(update);
  }
  message.updates = std::move(updates);
  ++counters_.update_messages;
  counters_.updates += message.updates.size();
  Ms send_at = channel_.reserve(message.lines, settings_.policy.channel_lines_per_second, now);
  unacknowledged.send_at = send_at;
  recipient.message_history.add(now, settings_.policy.message_window.count());
  handover_.count_message(controller, ProxyId{recipient.id});
  protocol_.message_enqueued(session, std::move(unacknowledged));
  channel_.enqueue(
      {send_at, session->first, std::make_shared<const std::string>(native_protocol::encode(message))});
}

void Core::send_due_messages(Ms now) {
  while (std::optional<QueuedMessage> message = channel_.pop_due(now))
    if (!protocol_.send_message(message->stream, std::move(message->bytes), now))
      ++counters_.dropped_messages;
}

}  // namespace beamshunt::assigner
