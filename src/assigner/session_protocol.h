// The native protocol on streams to proxies and peers: handshakes, heartbeats, timeouts, the frames permitted
// in each state, and the replacement of one session by another. It owns the sessions and notifies a listener
// of the events that concern controllers.
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

// Receives events of sessions. Its methods are called from within those of SessionProtocol and must not open,
// close or write to a session.
class SessionListener {
 public:
  virtual void proxy_registered(const Session& session, Locality locality,
                                const native_protocol::Hello& hello) = 0;
  virtual void proxy_disconnected(ProxyId proxy) = 0;
  virtual void messages_acknowledged(ProxyId proxy, const std::vector<UnacknowledgedMessage>& messages,
                                     Ms now) = 0;
  // All classes in the report exist in the settings.
  virtual void load_report_received(const Session& session, const native_protocol::LoadReportMessage& report,
                                    Ms now) = 0;
  virtual void peer_note_received(std::uint32_t instance, const native_protocol::PeerNote& note) = 0;

 protected:
  ~SessionListener() = default;
};

class SessionProtocol {
 public:
  // All references must outlive this object. `settings` is read at each call; settings_changed() must be
  // called after each change to it. `epoch` identifies this run of the assigner and is sent to proxies.
  SessionProtocol(const AssignerSettings& settings, std::uint64_t epoch, Ms now, SessionListener& listener,
                  std::vector<Effect>& effects, Counters& counters);

  // ---- Events on streams ----
  // A proxy or peer at the address `peer` opened a stream.
  void stream_opened(StreamId stream, net::Address peer, Ms now);
  // This assigner opened a stream to a peer.
  void peer_dialled(StreamId stream, std::uint32_t instance, Ms now);
  void bytes_received(StreamId stream, std::string_view bytes, Ms now);
  // The other side or the network closed the stream.
  void stream_closed(StreamId stream, const std::string& reason, Ms now);

  // ---- Actions of this side ----
  // Handles all timeouts that have expired by `now`: refuses sessions or sends pings.
  void expire_timeouts(Ms now);
  // Dials the configured peers that are not connected, each at a bounded rate.
  void dial_peers(Ms now);
  // Applies the frame limits and timeouts of the changed settings to open sessions. If `announce` is set,
  // registered proxies are sent the new heartbeat and report periods.
  void settings_changed(bool announce, Ms now);
  // Refuses all open streams, and all that are opened from now on.
  void stop(Ms now);
  // Sends a note to the peer `instance`, or to all connected peers if `all_peers` is set.
  void send_peer_note(std::uint32_t instance, bool all_peers, const std::string& payload, Ms now);
  // Starts to track a message that was queued in the update channel until it is acknowledged.
  void message_enqueued(SessionTable::Iterator session, UnacknowledgedMessage message);
  // Sends a message that is due in the update channel. Returns false if its stream has ended.
  bool send_message(StreamId stream, std::shared_ptr<const std::string> bytes, Ms now);

  [[nodiscard]] SessionTable& sessions() { return sessions_; }
  [[nodiscard]] const SessionTable& sessions() const { return sessions_; }

 private:
  using Iterator = SessionTable::Iterator;

  [[nodiscard]] SessionTimeouts timeouts() const;
  void handle_frame(Iterator session, const native_protocol::Frame& frame, Ms now);
  // Each of the following four methods handles a frame if it is permitted in the session's state. Returns
  // whether it was handled.
  bool handle_heartbeat_frame(Iterator session, const native_protocol::Frame& frame, Ms now);
  bool handle_handshake_frame(Iterator session, const native_protocol::Frame& frame, Ms now);
  bool handle_proxy_frame(Iterator session, const native_protocol::Frame& frame, Ms now);
  bool handle_peer_frame(const Session& session, const native_protocol::Frame& frame);
  void register_proxy(Iterator session, const native_protocol::Hello& hello, Ms now);
  // If another session has the same proxy id, refuses one of the two. Returns whether the new session may be
  // registered.
  bool replace_former_session(Iterator session, const native_protocol::Hello& hello, Ms now);
  void register_peer(Iterator session, const native_protocol::PeerHello& hello, Ms now);
  void handle_acknowledgement(Iterator session, const native_protocol::Acknowledgement& acknowledgement,
                              Ms now);
  void handle_load_report(Iterator session, const native_protocol::LoadReportMessage& report, Ms now);
  void send_frame(Iterator session, const native_protocol::Frame& frame, Ms now);
  void send_welcome(Iterator session, Ms now);
  void refuse(Iterator session, native_protocol::RefuseCode code, const std::string& reason, Ms retry_after,
              Ms now);
  // Removes the session; a proxy or peer is unregistered.
  void end_session(Iterator session, const std::string& reason, Ms now);
  void log(log::Level level, std::string event, log::Fields fields);

  const AssignerSettings& settings_;
  std::uint64_t epoch_;
  SessionListener& listener_;
  std::vector<Effect>& effects_;
  Counters& counters_;
  SessionTable sessions_;
  std::map<std::uint32_t, Ms> next_dial_at_;  // by peer instance
  bool stopping_ = false;
};

}  // namespace beamshunt::assigner
