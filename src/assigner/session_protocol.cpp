#include "assigner/session_protocol.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace beamshunt::assigner {
namespace {

using native_protocol::kHeartbeatTimeoutPeriods;
using native_protocol::RefuseCode;

// Interval between attempts to dial the same peer, in ms: short enough for gossip between controllers, long
// enough not to load a peer that is down.
constexpr Ms kRedialInterval = 500;
// Frame limit before the handshake, so that unidentified clients can't fill the memory. A hello is far
// shorter.
constexpr std::size_t kMaxHandshakeFrameBytes = 1024;
// Delay in ms after which a proxy refused for too many streams may retry: some streams may have ended by
// then.
constexpr Ms kRetryWhenFull = 1000;
constexpr const char* kStoppingReason = "this assigner is stopping";

}  // namespace

SessionProtocol::SessionProtocol(const AssignerSettings& settings, std::uint64_t epoch, Ms now,
                                 SessionListener& listener, std::vector<Effect>& effects, Counters& counters)
    : settings_(settings), epoch_(epoch), listener_(listener), effects_(effects), counters_(counters) {
  for (const auto& [instance, address] : settings_.peers) next_dial_at_[instance] = now;
}

void SessionProtocol::log(log::Level level, std::string event, log::Fields fields) {
  effects_.emplace_back(WriteLogEvent{level, std::move(event), std::move(fields)});
}

SessionTimeouts SessionProtocol::timeouts() const {
  return {
      .handshake = settings_.hello_within, .heartbeat = settings_.heartbeat, .ack = settings_.confirm_within};
}

// ---- Events on streams ----

void SessionProtocol::stream_opened(StreamId stream, net::Address peer, Ms now) {
  auto session = sessions_.open(stream, now);
  session->second.address = peer;
  session->second.parser = native_protocol::FrameParser(kMaxHandshakeFrameBytes);
  sessions_.schedule_check(session, timeouts());
  if (stopping_) return refuse(session, RefuseCode::stopping, kStoppingReason, 0, now);
  if (sessions_.size() > settings_.most_streams)
    return refuse(session, RefuseCode::full,
                  fmt::format("{} streams are open, no more are taken", settings_.most_streams),
                  kRetryWhenFull, now);
  if (!settings_.admits_all && !settings_.admitted.find(peer.ip))
    return refuse(session, RefuseCode::bad_locality, "the peer's address is not admitted", 0, now);
}

void SessionProtocol::peer_dialled(StreamId stream, std::uint32_t instance, Ms now) {
  auto session = sessions_.open(stream, now);
  session->second.parser = native_protocol::FrameParser(settings_.most_frame);
  sessions_.register_dialled_peer(session, instance);
  send_frame(session, native_protocol::PeerHello{.instance = settings_.instance}, now);
}

void SessionProtocol::bytes_received(StreamId stream, std::string_view bytes, Ms now) {
  auto session = sessions_.find(stream);
  if (session == sessions_.end()) return;
  session->second.last_received_at = now;
  session->second.parser.append(bytes);
  try {
    while (std::optional<native_protocol::Frame> frame = session->second.parser.next()) {
      handle_frame(session, *frame, now);
      session = sessions_.find(stream);
      if (session == sessions_.end()) return;
    }
  } catch (const native_protocol::ProtocolError& error) {
    return refuse(session, error.code, fmt::format("at byte {}: {}", error.offset, error.what()), 0, now);
  }
  sessions_.schedule_check(session, timeouts());
}

void SessionProtocol::stream_closed(StreamId stream, const std::string& reason, Ms now) {
  auto session = sessions_.find(stream);
  if (session == sessions_.end()) return;
  ++counters_.broken_streams;
  end_session(session, reason, now);
}

// ---- Frames ----

void SessionProtocol::handle_frame(Iterator session, const native_protocol::Frame& frame, Ms now) {
  if (const auto* refused = std::get_if<native_protocol::Refuse>(&frame)) {
    effects_.emplace_back(CloseStream{session->first});
    return end_session(session, "refused by the other side: " + refused->reason, now);
  }
  bool handled = handle_heartbeat_frame(session, frame, now);
  if (handled) return;
  switch (session->second.state) {
    case SessionState::handshake_pending:
      handled = handle_handshake_frame(session, frame, now);
      break;
    case SessionState::proxy:
      handled = handle_proxy_frame(session, frame, now);
      break;
    case SessionState::peer:
      handled = handle_peer_frame(session->second, frame);
      break;
  }
  if (handled) return;
  refuse(session, RefuseCode::unexpected,
         fmt::format("a {} frame is out of place", native_protocol::frame_kind_name(frame)), 0, now);
}

bool SessionProtocol::handle_heartbeat_frame(Iterator session, const native_protocol::Frame& frame, Ms now) {
  if (session->second.state == SessionState::handshake_pending) return false;
  if (const auto* ping = std::get_if<native_protocol::Ping>(&frame)) {
    send_frame(session, native_protocol::Pong{ping->token}, now);
    return true;
  }
  // A Pong needs no action: any received byte has already shown that the other side is alive.
  return std::holds_alternative<native_protocol::Pong>(frame);
}

bool SessionProtocol::handle_handshake_frame(Iterator session, const native_protocol::Frame& frame, Ms now) {
  if (const auto* hello = std::get_if<native_protocol::Hello>(&frame)) {
    register_proxy(session, *hello, now);
    return true;
  }
  if (const auto* hello = std::get_if<native_protocol::PeerHello>(&frame)) {
    register_peer(session, *hello, now);
    return true;
  }
  return false;
}

bool SessionProtocol::handle_proxy_frame(Iterator session, const native_protocol::Frame& frame, Ms now) {
  if (const auto* acknowledgement = std::get_if<native_protocol::Acknowledgement>(&frame)) {
    handle_acknowledgement(session, *acknowledgement, now);
    return true;
  }
  if (const auto* report = std::get_if<native_protocol::LoadReportMessage>(&frame)) {
    handle_load_report(session, *report, now);
    return true;
  }
  return false;
}

bool SessionProtocol::handle_peer_frame(const Session& session, const native_protocol::Frame& frame) {
  const auto* note = std::get_if<native_protocol::PeerNote>(&frame);
  if (!note) return false;
  listener_.peer_note_received(session.id, *note);
  return true;
}

void SessionProtocol::register_proxy(Iterator session, const native_protocol::Hello& hello, Ms now) {
  Session& proxy_session = session->second;
  auto locality = settings_.locality_of.find(proxy_session.address.ip);
  if (!locality)
    return refuse(session, RefuseCode::bad_locality, "the peer's address is in no locality of the settings",
                  0, now);
  const std::string& name = settings_.policy.localities[*locality];
  if (hello.locality != name)
    return refuse(session, RefuseCode::bad_locality,
                  fmt::format(R"(proxy {} says it is in "{}", its address is in "{}")", hello.proxy,
                              hello.locality, name),
                  0, now);
  if (!replace_former_session(session, hello, now)) return;
  proxy_session.parser.set_max_payload_bytes(settings_.most_frame);
  proxy_session.incarnation = hello.incarnation;
  proxy_session.attempt = hello.attempt;
  proxy_session.expected_rate = hello.expected_rate;
  sessions_.register_proxy(session, hello.proxy);
  log(log::Level::info, "proxy_registered",
      {{"proxy", std::to_string(hello.proxy)},
       {"peer", net::to_string(proxy_session.address)},
       {"locality", name}});
  send_welcome(session, now);
  listener_.proxy_registered(proxy_session, Locality(*locality), hello);
}

bool SessionProtocol::replace_former_session(Iterator session, const native_protocol::Hello& hello, Ms now) {
  auto former = sessions_.find_proxy(ProxyId{hello.proxy});
  if (former == sessions_.end()) return true;
  const Session& former_session = former->second;
  // If the same run of the proxy dials again, the former stream is half open and is replaced. Another run
  // with this id is a restarted proxy if the former stream is silent. Otherwise it is a second proxy
  // configured with the same id and is refused: if it replaced the first one, the two would replace each
  // other forever.
  bool same_run = former_session.incarnation == hello.incarnation && hello.attempt > former_session.attempt;
  Ms silence_limit = kHeartbeatTimeoutPeriods * settings_.heartbeat;
  if (!same_run && now - former_session.last_received_at <= silence_limit) {
    refuse(session, RefuseCode::id_in_use,
           fmt::format("proxy {} has a live stream from {}", hello.proxy,
                       net::to_string(former_session.address)),
           silence_limit, now);
    return false;
  }
  refuse(former, RefuseCode::replaced, fmt::format("proxy {} has a newer stream", hello.proxy), 0, now);
  return true;
}

void SessionProtocol::register_peer(Iterator session, const native_protocol::PeerHello& hello, Ms now) {
  Session& peer_session = session->second;
  bool known = std::any_of(settings_.peers.begin(), settings_.peers.end(), [&](const auto& peer) {
    return peer.first == hello.instance && peer.second.ip == peer_session.address.ip;
  });
  if (!known)
    return refuse(session, RefuseCode::unexpected,
                  fmt::format("instance {} is no peer of these settings, or not from there", hello.instance),
                  0, now);
  peer_session.parser.set_max_payload_bytes(settings_.most_frame);
  peer_session.state = SessionState::peer;
  peer_session.id = hello.instance;
  log(log::Level::info, "peer_connected", {{"instance", std::to_string(hello.instance)}});
  sessions_.schedule_check(session, timeouts());
}

void SessionProtocol::handle_acknowledgement(Iterator session,
                                             const native_protocol::Acknowledgement& acknowledgement,
                                             Ms now) {
  Session& proxy_session = session->second;
  if (acknowledgement.sequence > proxy_session.update_sequence)
    return refuse(session, RefuseCode::unexpected,
                  fmt::format("message {} is confirmed, {} were sent", acknowledgement.sequence,
                              proxy_session.update_sequence),
                  0, now);
  listener_.messages_acknowledged(ProxyId{proxy_session.id},
                                  proxy_session.ack_tracker.acknowledge(acknowledgement.sequence), now);
}

void SessionProtocol::handle_load_report(Iterator session, const native_protocol::LoadReportMessage& report,
                                         Ms now) {
  std::size_t class_count = settings_.policy.classes.size();
  for (const native_protocol::DemandReportEntry& entry : report.demand)
    if (entry.request_class >= class_count)
      return refuse(session, RefuseCode::unexpected,
                    fmt::format("a report on class {}, there are {}", entry.request_class, class_count), 0,
                    now);
  if (report.sequence <= session->second.report_sequence) return;  // the report was counted before
  session->second.report_sequence = report.sequence;
  listener_.load_report_received(session->second, report, now);
}

// ---- Actions of this side ----

void SessionProtocol::expire_timeouts(Ms now) {
  for (auto session = sessions_.find_due(now); session != sessions_.end();
       session = sessions_.find_due(now)) {
    const Session& due_session = session->second;
    switch (due_session.check(timeouts(), now)) {
      case SessionCheck::handshake_timed_out:
        refuse(session, RefuseCode::silent, "no hello in time", 0, now);
        break;
      case SessionCheck::unresponsive:
        refuse(session, RefuseCode::silent,
               fmt::format("no byte for {} ms", now - due_session.last_received_at), 0, now);
        break;
      case SessionCheck::ack_overdue:
        refuse(session, RefuseCode::silent,
               fmt::format("message {} is not confirmed after {} ms",
                           due_session.ack_tracker.oldest().sequence, settings_.confirm_within),
               0, now);
        break;
      case SessionCheck::ping_due:
        send_frame(session, native_protocol::Ping{due_session.update_sequence}, now);
        break;
      case SessionCheck::none:
        sessions_.schedule_check(session, timeouts());
        break;
    }
  }
}

void SessionProtocol::dial_peers(Ms now) {
  for (const auto& [instance, address] : settings_.peers) {
    Ms& due = next_dial_at_.at(instance);
    if (stopping_ || due > now || sessions_.dialled_peers().contains(instance)) continue;
    due = now + kRedialInterval;
    effects_.emplace_back(DialPeer{instance, address});
  }
}

void SessionProtocol::settings_changed(bool announce, Ms now) {
  for (auto session = sessions_.begin(); session != sessions_.end(); ++session) {
    Session& open_session = session->second;
    if (open_session.state == SessionState::handshake_pending) continue;
    open_session.parser.set_max_payload_bytes(settings_.most_frame);
    if (announce && open_session.state == SessionState::proxy) send_welcome(session, now);
    sessions_.schedule_check(session, timeouts());
  }
}

void SessionProtocol::stop(Ms now) {
  stopping_ = true;
  while (sessions_.size() > 0) refuse(sessions_.begin(), RefuseCode::stopping, kStoppingReason, 0, now);
}

void SessionProtocol::send_peer_note(std::uint32_t instance, bool all_peers, const std::string& payload,
                                     Ms now) {
  for (const auto& [peer, stream] : sessions_.dialled_peers())
    if (all_peers || peer == instance)
      send_frame(sessions_.find(stream), native_protocol::PeerNote{payload}, now);
}

void SessionProtocol::message_enqueued(Iterator session, UnacknowledgedMessage message) {
  session->second.ack_tracker.add(std::move(message));
  sessions_.schedule_check(session, timeouts());
}

bool SessionProtocol::send_message(StreamId stream, std::shared_ptr<const std::string> bytes, Ms now) {
  auto session = sessions_.find(stream);
  if (session == sessions_.end()) return false;
  session->second.last_sent_at = now;
  effects_.emplace_back(SendBytes{stream, std::move(bytes)});
  return true;
}

void SessionProtocol::send_frame(Iterator session, const native_protocol::Frame& frame, Ms now) {
  effects_.emplace_back(
      SendBytes{session->first, std::make_shared<const std::string>(native_protocol::encode(frame))});
  session->second.last_sent_at = now;
  sessions_.schedule_check(session, timeouts());
}

void SessionProtocol::send_welcome(Iterator session, Ms now) {
  send_frame(session,
             native_protocol::Welcome{.epoch = epoch_,
                                      .heartbeat_ms = settings_.heartbeat,
                                      .report_period_ms = settings_.policy.report_period.count()},
             now);
}

void SessionProtocol::refuse(Iterator session, RefuseCode code, const std::string& reason, Ms retry_after,
                             Ms now) {
  ++counters_.refused_streams;
  log(log::Level::warning, "stream_refused",
      {{"peer", net::to_string(session->second.address)},
       {"code", std::to_string(static_cast<int>(code))},
       {"reason", reason}});
  send_frame(session, native_protocol::Refuse{code, retry_after, reason}, now);
  effects_.emplace_back(CloseStream{session->first});
  end_session(session, reason, now);
}

void SessionProtocol::end_session(Iterator session, const std::string& reason, Ms now) {
  const Session& ended_session = session->second;
  const SessionState state = ended_session.state;
  const std::uint32_t id = ended_session.id;
  if (state == SessionState::proxy) {
    log(log::Level::info, "proxy_disconnected",
        {{"proxy", std::to_string(id)}, {"peer", net::to_string(ended_session.address)}, {"reason", reason}});
  } else if (state == SessionState::peer) {
    next_dial_at_[id] = now + kRedialInterval;
    log(log::Level::info, "peer_disconnected", {{"instance", std::to_string(id)}, {"reason", reason}});
  }
  sessions_.erase(session);
  if (state == SessionState::proxy) listener_.proxy_disconnected(ProxyId{id});
}

}  // namespace beamshunt::assigner
