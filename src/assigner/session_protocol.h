// The protocol of a stream: handshake, heartbeat, time-outs, which frame may come when, and who makes room
// for whom. It keeps the sessions and tells its listener what concerns the controllers; it knows no
// controller.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "assigner/assigner_settings.h"
#include "assigner/counters.h"
#include "assigner/effects.h"
#include "assigner/session_table.h"
#include "native_protocol/frames.h"

namespace beamshunt::assigner {

// Called from within SessionProtocol's methods; must not open, close or write to a session.
class SessionListener {
 public:
  virtual void proxy_registered(const Session& session, Locality locality,
                                const native_protocol::Hello& hello) = 0;
  virtual void proxy_disconnected(ProxyId proxy) = 0;
  virtual void messages_acknowledged(ProxyId proxy, const std::vector<UnacknowledgedMessage>& messages,
                                     Ms now) = 0;
  // Each of its classes exists.
  virtual void load_report_received(const Session& session, const native_protocol::LoadReportMessage& report,
                                    Ms now) = 0;
  virtual void peer_note_received(std::uint32_t instance, const native_protocol::PeerNote& note) = 0;

 protected:
  ~SessionListener() = default;
};

class SessionProtocol {
 public:
  // All references must outlive this. `site` is read at each call; site_changed() follows its change.
  // `epoch`: of this run, told to proxies.
  SessionProtocol(const AssignerSettings& site, std::uint64_t epoch, Ms now, SessionListener& listener,
                  std::vector<Effect>& effects, Counters& counters);

  // ---- What happens on streams ----
  void opened(StreamId stream, net::Address peer, Ms now);  // a peer or proxy dialled this side
  void peer_dialled(StreamId stream, std::uint32_t instance, Ms now);
  void bytes_received(StreamId stream, std::string_view bytes, Ms now);
  void closed(StreamId stream, const std::string& reason, Ms now);  // by the other side or the network

  // ---- What this side does ----
  void expire_timeouts(Ms now);
  void dial_peers(Ms now);  // those that are not connected, at a bounded rate
  // Frame limits and time-outs may differ now; `announce`: proxies are told the new periods.
  void site_changed(bool announce, Ms now);
  void stop(Ms now);  // refuses every stream, those there and those to come
  void send_peer_note(std::uint32_t instance, bool all_peers, const std::string& payload, Ms now);
  // The message was put in the channel: its acknowledgement is awaited.
  void message_enqueued(SessionTable::Iterator session, UnacknowledgedMessage message);
  // It leaves the channel. False: the stream has ended.
  bool send_message(StreamId stream, std::shared_ptr<const std::string> bytes, Ms now);

  [[nodiscard]] SessionTable& sessions() { return sessions_; }
  [[nodiscard]] const SessionTable& sessions() const { return sessions_; }

 private:
  using Iterator = SessionTable::Iterator;

  [[nodiscard]] SessionTimeouts timeouts() const;
  void handle_frame(Iterator session, const native_protocol::Frame& frame, Ms now);
  // Each returns whether the frame is one of its kind, in its place.
  bool handle_heartbeat_frame(Iterator session, const native_protocol::Frame& frame, Ms now);
  bool handle_handshake_frame(Iterator session, const native_protocol::Frame& frame, Ms now);
  bool handle_proxy_frame(Iterator session, const native_protocol::Frame& frame, Ms now);
  bool handle_peer_frame(const Session& session, const native_protocol::Frame& frame);
  void register_proxy(Iterator session, const native_protocol::Hello& hello, Ms now);
  // A session of the same proxy id makes room for the new one, or the new one is refused: then false.
  bool replace_former_session(Iterator session, const native_protocol::Hello& hello, Ms now);
  void register_peer(Iterator session, const native_protocol::PeerHello& hello, Ms now);
  void handle_acknowledgement(Iterator session, const native_protocol::Acknowledgement& acknowledgement,
                              Ms now);
  void handle_load_report(Iterator session, const native_protocol::LoadReportMessage& report, Ms now);
  void send_frame(Iterator session, const native_protocol::Frame& frame, Ms now);
  void send_welcome(Iterator session, Ms now);
  void refuse(Iterator session, native_protocol::RefuseCode code, const std::string& reason, Ms retry_after,
              Ms now);
  void end(Iterator session, const std::string& reason, Ms now);  // and all that it stood for
  void log(log::Level level, std::string event, log::Fields fields);

  const AssignerSettings& site_;
  std::uint64_t epoch_;
  SessionListener& listener_;
  std::vector<Effect>& effects_;
  Counters& counters_;
  SessionTable sessions_;
  std::map<std::uint32_t, Ms> dial_at_;  // by peer instance
  bool stopping_ = false;
};

}  // namespace beamshunt::assigner
