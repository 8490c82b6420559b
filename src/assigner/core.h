// The assigner without I/O: received bytes, times and responses go in, effects come out. Because it contains
// all of the assigner's logic but no sockets and no clock, tests can run it through any fault in simulated
// time. The core connects the modules; decisions about load are made by the controllers.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "assigner/assigner_settings.h"
#include "assigner/cached_list_codec.h"
#include "assigner/core_metrics.h"
#include "assigner/core_status.h"
#include "assigner/core_view.h"
#include "assigner/counters.h"
#include "assigner/effects.h"
#include "assigner/endpoint_catalog.h"
#include "assigner/handover.h"
#include "assigner/report_intake.h"
#include "assigner/session_protocol.h"
#include "assigner/update_channel.h"
#include "assigner/update_writer.h"

namespace beamshunt::assigner {

// Modifies the updates of a message before they are encoded. Audits inject violations with it to show that
// they detect them; it must not be set in production.
using MessageInterceptor =
    std::function<void(Ms now, std::uint32_t proxy, std::vector<native_protocol::Update>& updates,
                       const EndpointCatalog& endpoints)>;

// All times are in ms on one monotonic clock and must never decrease. `wall_now` is in ms since 1970.
class Core final : private SessionListener {
 public:
  // `epoch` must be greater than that of every earlier run. `cached` is the endpoint list saved by an earlier
  // run, if any.
  Core(const AssignerSettings& settings, std::uint64_t epoch, std::optional<EndpointCatalog> cached, Ms now,
       double wall_now);
  Core(const Core&) = delete;  // its modules refer to each other
  Core& operator=(const Core&) = delete;

  void set_message_interceptor(MessageInterceptor interceptor) { interceptor_ = std::move(interceptor); }

  // ---- Events. The host calls run_once() and then take_effects() after one or more of them. ----
  // A proxy or peer at the address `peer` opened a stream.
  void stream_opened(StreamId stream, net::Address peer, Ms now) {
    protocol_.stream_opened(stream, peer, now);
  }
  // The host connected a stream to a peer, as requested by DialPeer.
  void peer_dialled(StreamId stream, std::uint32_t instance, Ms now) {
    protocol_.peer_dialled(stream, instance, now);
  }
  void stream_bytes_received(StreamId stream, std::string_view bytes, Ms now) {
    protocol_.bytes_received(stream, bytes, now);
  }
  // The other side or the network closed the stream. `reason` is for the log.
  void stream_closed(StreamId stream, const std::string& reason, Ms now) {
    protocol_.stream_closed(stream, reason, now);
  }
  // Applies one line of the discovery service's JSON. An invalid line is rejected as a whole, logged, and
  // handled like a call of endpoint_list_lost().
  void endpoint_list_received(std::string_view json, Ms now, double wall_now);
  // The watch is alive, but the endpoint list has not changed.
  void watch_heartbeat_received(Ms now) { last_watch_activity_at_ = now; }
  // The watch broke or a fetch failed. `reason` is for the log.
  void endpoint_list_lost(const std::string& reason);
  void health_check_completed(EndpointId endpoint, AttemptOutcome outcome, Ms latency, LoadReport load);

  // Returns whether reconfigure() may be called with `next` now. If the policy settings change, it must not
  // be called while a handover is in progress, nor while the message limit (rule 5) might keep a proxy from
  // receiving the message that assigns its new table.
  [[nodiscard]] bool may_reconfigure(const AssignerSettings& next, Ms now) const;
  // Applies new settings. If the policy settings changed, a new controller takes over (see handover.h). Must
  // only be called if may_reconfigure() returns true and fleet_conflicts() returns no reasons for `next`.
  // `version` and `hash` identify the settings in the flight record.
  void reconfigure(const AssignerSettings& next, std::uint64_t version, std::uint64_t hash, Ms now);
  // Refuses all open streams, and all that are opened from now on.
  void stop(Ms now) { protocol_.stop(now); }

  // Handles expired timeouts, passes pending events to the controllers, executes their actions, and sends the
  // update messages that are due.
  void run_once(Ms now);
  // Returns the time by which run_once() must be called next; 0 if controllers have pending events.
  [[nodiscard]] Ms next_due() const;
  // Returns the effects requested since the last call, in order. The host must execute them in this order.
  [[nodiscard]] std::vector<Effect> take_effects() { return std::exchange(effects_, {}); }

  // ---- State ----
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] std::size_t stream_count() const { return protocol_.sessions().size(); }
  [[nodiscard]] std::size_t proxy_count() const { return protocol_.sessions().proxies().size(); }
  [[nodiscard]] double unacknowledged_lines() const { return protocol_.sessions().unacknowledged_lines(); }
  // Returns how long the oldest pending load report has waited; 0 if none is pending.
  [[nodiscard]] Ms oldest_report_wait(Ms now) const { return reports_.oldest_wait(now); }
  [[nodiscard]] bool handover_in_progress() const { return handover_.in_progress(); }
  [[nodiscard]] FleetSnapshot fleet(Ms now) const { return fleet_snapshot(view(), metrics_, now); }
  // Returns the bytes of the endpoint list for the cache on disk.
  [[nodiscard]] std::string encoded_endpoint_list() const { return encode_cached_list(endpoints_); }
  [[nodiscard]] std::string status_json(Ms now) const { return assigner::status_json(view(), now); }
  [[nodiscard]] telemetry::AssignerMetrics collect_metrics(Ms now) { return metrics_.collect(view(), now); }

 private:
  // ---- SessionListener ----
  void proxy_registered(const Session& session, Locality locality,
                        const native_protocol::Hello& hello) override;
  void proxy_disconnected(ProxyId proxy) override;
  void messages_acknowledged(ProxyId proxy, const std::vector<UnacknowledgedMessage>& messages,
                             Ms now) override;
  void load_report_received(const Session& session, const native_protocol::LoadReportMessage& report,
                            Ms now) override;
  void peer_note_received(std::uint32_t instance, const native_protocol::PeerNote& note) override;

  [[nodiscard]] CoreView view() const;
  [[nodiscard]] Locality locality_of(const Session& session) const;
  void start_controller(Ms now);
  void release_reports(Ms now);
  void run_controller(std::uint32_t number, RunningController& running, Ms now);
  void retire_replaced_controllers();
  void enqueue_messages(std::uint32_t controller, Ms now);
  void enqueue_message(std::uint32_t controller, SessionTable::Iterator session,
                       std::vector<native_protocol::Update> updates, Ms now);
  void send_due_messages(Ms now);
  [[nodiscard]] bool flight_record_enabled() const { return !settings_.record_file.empty(); }
  void append_flight_record(std::string bytes);
  void log(log::Level level, std::string event, log::Fields fields);

  AssignerSettings settings_;
  std::uint64_t epoch_;
  std::vector<Effect> effects_;
  Counters counters_;
  SessionProtocol protocol_;
  Handover handover_;
  EndpointCatalog endpoints_;
  ReportIntake reports_;
  UpdateWriter writer_;
  UpdateChannel channel_;
  CoreMetrics metrics_;
  MessageInterceptor interceptor_;
  Ms next_report_release_;
  Ms last_watch_activity_at_;
  double wall_offset_;  // wall time minus monotonic time at the last received endpoint list
  bool endpoint_watch_open_ = false;
};

}  // namespace beamshunt::assigner
