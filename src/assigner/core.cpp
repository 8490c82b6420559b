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

// Of the messages that a proxy may be sent within the window, the part that may be spent before a handover:
// it costs each proxy one message, and drains must find theirs behind it.
constexpr double kMaxSpentBeforeHandover = 0.5;

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

Core::Core(const AssignerSettings& site, std::uint64_t epoch, std::optional<EndpointCatalog> cached, Ms now,
           double wall_now)
    : site_(site),
      epoch_(epoch),
      protocol_(site_, epoch, now, *this, effects_, counters_),
      handover_(site.policy),
      reports_(site.report_lines_per_s),
      next_report_release_(now),
      list_received_at_(now),
      wall_offset_(wall_now - now) {
  if (keeps_record()) append_record(flight_record::encode_controller_start(site_.policy));
  if (cached) endpoints_ = std::move(*cached);
  // The first event is the cached list, be it empty: the controller subscribes by itself.
  handover_.deliver(
      EndpointList{EndpointListKind::cached, endpoints_.to_listed(endpoints_.entries(), now, wall_now)});
}

void Core::log(log::Level level, std::string event, log::Fields fields) {
  effects_.emplace_back(WriteLogEvent{level, std::move(event), std::move(fields)});
}

void Core::append_record(std::string bytes) { effects_.emplace_back(AppendFlightRecord{std::move(bytes)}); }

CoreView Core::view() const {
  return {.site = site_,
          .sessions = protocol_.sessions(),
          .controllers = handover_.controllers(),
          .endpoints = endpoints_,
          .reports = reports_,
          .channel = channel_,
          .counters = counters_,
          .epoch = epoch_,
          .watching = watching_,
          .list_received_at = list_received_at_};
}

Locality Core::locality_of(const Session& session) const {
  return Locality{site_.locality_of.find(session.address.ip).value_or(0)};
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
    if (running == handover_.controllers().end()) continue;  // it has been replaced
    for (std::uint32_t sequence_number : message.ack_requests)
      running->second.pending.emplace_back(
          UpdateAcknowledged{proxy, Duration(now - message.decided_at), sequence_number});
  }
}

void Core::load_report_received(const Session& session, const native_protocol::LoadReportMessage& report,
                                Ms now) {
  ++counters_.reports;
  counters_.report_lines += report.endpoints.size() + report.demand.size();
  Locality from = locality_of(session);
  Ms begin = now - report.interval_ms;
  for (const native_protocol::EndpointReportEntry& entry : report.endpoints) {
    if (endpoints_.find(entry.endpoint)) reports_.add_endpoint_report(from, entry, begin, now);
    else ++counters_.unknown_endpoints;
  }
  metrics_.add_report(from, report, endpoints_, now);
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
    update = parse_endpoint_list(json, site_.policy.localities);
  } catch (const EndpointListError& error) {
    log(log::Level::error, "endpoint_list_rejected",
        {{"reason", error.what()}, {"kept_version", std::to_string(endpoints_.version())}});
    return endpoint_list_lost(std::string("refused: ") + error.what());
  }
  list_received_at_ = now;
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
  watching_ = false;
  log(log::Level::warning, "endpoint_list_lost",
      {{"reason", reason}, {"kept_version", std::to_string(endpoints_.version())}});
  handover_.deliver(EndpointList{EndpointListKind::lost, {}});
}

void Core::health_check_completed(EndpointId endpoint, AttemptOutcome outcome, Ms latency, LoadReport load) {
  handover_.deliver(HealthCheckResult{endpoint, outcome, Duration(latency), std::move(load)});
}

// ---- Other settings ----

bool Core::may_reconfigure(const AssignerSettings& next, Ms now) const {
  if (same_policy(site_.policy, next.policy)) return true;
  if (handover_.shares_channel()) return false;
  double allowed = next.policy.max_messages_per_window;
  if (allowed <= 0) return true;  // no limit
  const SessionTable& sessions = protocol_.sessions();
  return std::all_of(sessions.proxies().begin(), sessions.proxies().end(), [&](const auto& proxy) {
    auto sent = sessions.session_of(proxy.second).messages.count(now, next.policy.message_window.count());
    return static_cast<double>(sent) < kMaxSpentBeforeHandover * allowed;
  });
}

void Core::reconfigure(const AssignerSettings& next, std::uint64_t version, std::uint64_t hash, Ms now) {
  bool new_policy = !same_policy(site_.policy, next.policy);
  // Reports that wait may be on classes and localities that are no more.
  if (next.policy.classes.size() < site_.policy.classes.size() ||
      next.policy.localities.size() < site_.policy.localities.size())
    reports_ = ReportIntake(next.report_lines_per_s);
  bool other_periods =
      site_.heartbeat != next.heartbeat || site_.policy.report_period != next.policy.report_period;
  site_ = next;
  reports_.set_rate(site_.report_lines_per_s);
  if (keeps_record()) append_record(flight_record::encode_config_change(to_time(now), version, hash));
  log(log::Level::info, "config_applied",
      {{"version", std::to_string(version)}, {"new_controller", new_policy ? "yes" : "no"}});
  protocol_.site_changed(other_periods, now);
  if (new_policy) start_controller(now);
}

void Core::start_controller(Ms now) {
  std::uint32_t number = handover_.start_controller(site_.policy);
  if (keeps_record()) append_record(flight_record::encode_controller_start(site_.policy, number));
  RunningController& running = handover_.newest();
  // Known start times are kept as they are: the wall clock of the last list does, for none of these is new.
  running.pending.emplace_back(EndpointList{
      EndpointListKind::cached, endpoints_.to_listed(endpoints_.entries(), now, wall_offset_ + now)});
  for (const auto& [proxy, stream] : protocol_.sessions().proxies()) {
    const Session& session = protocol_.sessions().session_of(stream);
    running.tables.register_proxy(proxy);
    running.others_messages[proxy] =
        static_cast<int>(session.messages.count(now, site_.policy.message_window.count()));
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
  if (auto check = protocol_.sessions().next_due()) due = std::min(due, *check);
  if (auto message = channel_.next_due()) due = std::min(due, *message);
  return due;
}

void Core::release_reports(Ms now) {
  if (now < next_report_release_) return;
  for (const Event& event : reports_.release(now)) handover_.deliver(event);
  next_report_release_ = now + site_.policy.report_period.count();
}

void Core::run_controller(std::uint32_t number, RunningController& running, Ms now) {
  std::vector<Event> events = running.take_events(now);
  if (events.empty()) return;
  std::vector<Action> actions = running.controller.handle(to_time(now), events);
  counters_.events += events.size();
  if (keeps_record()) append_record(flight_record::encode_batch(to_time(now), events, actions, number));
  execute_actions(actions, number,
                  {.handover = handover_,
                   .protocol = protocol_,
                   .writer = writer_,
                   .metrics = metrics_,
                   .endpoints = endpoints_,
                   .effects = effects_,
                   .watching = watching_},
                  now);
  counters_.actions += actions.size();
  enqueue_messages(number, now);
}

// ---- Update messages ----

void Core::enqueue_messages(std::uint32_t controller, Ms now) {
  for (auto& [proxy, updates] : writer_.take()) {
    auto session = protocol_.sessions().find_proxy(proxy);
    if (session == protocol_.sessions().end()) continue;
    if (interceptor_) interceptor_(now, to_underlying(proxy), updates, endpoints_);
    if (!updates.empty()) enqueue_message(controller, session, std::move(updates), now);
  }
}

// One message for each proxy concerned; they leave one after the other at the channel's pace.
void Core::enqueue_message(std::uint32_t controller, SessionTable::Iterator session,
                           std::vector<native_protocol::Update> updates, Ms now) {
  Session& s = session->second;
  native_protocol::UpdateMessage message{.sequence = ++s.update_sequence, .decided_at_ms = now};
  message.lines = site_.policy.message_overhead_lines + static_cast<double>(updates.size());
  UnacknowledgedMessage unacknowledged{
      .sequence = message.sequence, .decided_at = now, .lines = message.lines, .controller = controller};
  for (const native_protocol::Update& update : updates) {
    if (const auto* request = std::get_if<native_protocol::AckRequestUpdate>(&update))
      unacknowledged.ack_requests.push_back(request->sequence_number);
    unacknowledged.removes_endpoint |= metrics_.removes_closed_endpoint(update);
  }
  message.updates = std::move(updates);
  ++counters_.messages;
  counters_.lines += message.updates.size();
  Ms leaves_at = channel_.reserve(message.lines, site_.policy.channel_lines_per_second, now);
  unacknowledged.leaves_at = leaves_at;
  s.messages.add(now, site_.policy.message_window.count());
  handover_.count_message(controller, ProxyId{s.id});
  protocol_.message_enqueued(session, std::move(unacknowledged));
  channel_.enqueue(
      {leaves_at, session->first, std::make_shared<const std::string>(native_protocol::encode(message))});
}

void Core::send_due_messages(Ms now) {
  while (std::optional<PacedMessage> message = channel_.take_due(now))
    if (!protocol_.send_message(message->stream, std::move(message->bytes), now))
      ++counters_.dropped_messages;
}

}  // namespace beamshunt::assigner
