// The assigner without its sockets: bytes, times and responses in, effects out. Everything that an assigner
// is, but for moving bytes, so that tests drive it through any fault in simulated time. This class wires the
// modules: it decides nothing about load, which the controllers do, and performs no I/O.
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

// What may change a message between the controller and the wire: audits prove themselves by it. Never in
// service.
using MessageInterceptor =
    std::function<void(Ms now, std::uint32_t proxy, std::vector<native_protocol::Update>& updates,
                       const EndpointCatalog& endpoints)>;

// All times are of one monotonic clock, in milliseconds, and never go back; `wall_now` is since 1970.
class Core final : private SessionListener {
 public:
  // `epoch` grows at each start. `cached`: the endpoint list that was held before it, if any.
  Core(const AssignerSettings& site, std::uint64_t epoch, std::optional<EndpointCatalog> cached, Ms now,
       double wall_now);
  Core(const Core&) = delete;  // its modules refer to each other
  Core& operator=(const Core&) = delete;

  void set_message_interceptor(MessageInterceptor interceptor) { interceptor_ = std::move(interceptor); }

  // ---- What happens; effects are taken after run_once() ----
  void stream_opened(StreamId stream, net::Address peer, Ms now) { protocol_.opened(stream, peer, now); }
  void peer_dialled(StreamId stream, std::uint32_t instance, Ms now) {
    protocol_.peer_dialled(stream, instance, now);
  }
  void stream_bytes_received(StreamId stream, std::string_view bytes, Ms now) {
    protocol_.bytes_received(stream, bytes, now);
  }
  void stream_closed(StreamId stream, const std::string& reason, Ms now) {
    protocol_.closed(stream, reason, now);
  }
  // One line of the discovery service's JSON. A line that can't be is rejected as a whole, logged, and counts
  // as a lost list.
  void endpoint_list_received(std::string_view json, Ms now, double wall_now);
  void watch_heartbeat_received(Ms now) { list_received_at_ = now; }  // the watch lives, with nothing new
  void endpoint_list_lost(const std::string& reason);
  void health_check_completed(EndpointId endpoint, AttemptOutcome outcome, Ms latency, LoadReport load);

  // Other settings from this instant on. Where the policy's own differ, a new controller takes over (see
  // handover.h). `next` may differ from what runs in nothing that fleet_conflicts() names. `version`, `hash`:
  // for the flight record. Not while a handover is in progress, nor while a proxy could not be sent the
  // message that assigns its table within the limit on messages (rule 5): may_reconfigure() says so.
  [[nodiscard]] bool may_reconfigure(const AssignerSettings& next, Ms now) const;
  void reconfigure(const AssignerSettings& next, std::uint64_t version, std::uint64_t hash, Ms now);
  void stop(Ms now) { protocol_.stop(now); }  // no new streams; those there are told

  // Asks the controllers, if there is anything to tell them, and does what is due.
  void run_once(Ms now);
  [[nodiscard]] Ms next_due() const;  // when run_once() must come at the latest
  [[nodiscard]] std::vector<Effect> take_effects() { return std::exchange(effects_, {}); }

  // ---- What is seen ----
  [[nodiscard]] const Counters& counters() const { return counters_; }
  [[nodiscard]] std::size_t stream_count() const { return protocol_.sessions().size(); }
  [[nodiscard]] std::size_t proxy_count() const { return protocol_.sessions().proxies().size(); }
  [[nodiscard]] double unacknowledged_lines() const { return protocol_.sessions().unacknowledged_lines(); }
  [[nodiscard]] Ms oldest_report_wait(Ms now) const { return reports_.oldest_wait(now); }
  [[nodiscard]] bool handover_in_progress() const { return handover_.in_progress(); }
  [[nodiscard]] FleetSnapshot fleet(Ms now) const { return fleet_snapshot(view(), metrics_, now); }
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
  [[nodiscard]] bool keeps_record() const { return !site_.record_file.empty(); }
  void append_record(std::string bytes);
  void log(log::Level level, std::string event, log::Fields fields);

  AssignerSettings site_;
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
  Ms list_received_at_;
  double wall_offset_;     // the wall clock less this one, when the endpoint list last came
  bool watching_ = false;  // a watch on the endpoint list is open
};

}  // namespace beamshunt::assigner
