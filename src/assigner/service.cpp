#include "assigner/service.h"

#include <csignal>
#include <cstdint>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>

#include "assigner/admin_server.h"
#include "assigner/cached_list_codec.h"
#include "assigner/cached_list_writer.h"
#include "assigner/configuration_manager.h"
#include "assigner/discovery_connection.h"
#include "assigner/flight_record_file.h"
#include "assigner/startup_configuration.h"
#include "assigner/state_folder.h"
#include "base/worker.h"
#include "health_check/http_outcome.h"
#include "http/numbers.h"
#include "http/server.h"
#include "net/connection.h"

namespace beamshunt::assigner {
namespace {

// Bytes queued for the disk. What is beyond it is lost, and logged: a stuck disk must not fill the memory.
constexpr std::size_t kMaxDiskBytes = std::size_t{64} << 20;
// ms to connect to the discovery service and to health-checked endpoints: far above any round trip in a site.
constexpr Ms kConnectTimeout = 1000;
// ms for which an unused HTTP connection is kept for the next request.
constexpr Ms kIdleTimeout = 15000;
// ms between looks at whether all is sent, while stopping.
constexpr Ms kStopInterval = 5;
constexpr double kMsPerSecond = 1000;

log::Level log_level_of(const std::string& name) {
  if (name == "debug") return log::Level::debug;
  if (name == "warning") return log::Level::warning;
  if (name == "error") return log::Level::error;
  return log::Level::info;
}

class Service final : private ConfigurationHost {
 public:
  Service(const std::vector<config::Source>& files, StartupConfiguration& startup,
          ConfigurationValidator validator, MessageInterceptor interceptor);

  void run();

 private:
  // ---- The core: run once a turn of the loop, after all that came in it ----
  void schedule_run();
  void run_core();

  // ---- Streams of proxies and peers ----
  void accept(std::shared_ptr<net::Connection> connection);
  void adopt(StreamId id, std::shared_ptr<net::Connection> connection, std::function<void()> connected);

  // ---- The core's effects ----
  void execute(SendBytes& effect);
  void execute(CloseStream& effect);
  void execute(DialPeer& effect);
  void execute(OpenEndpointWatch& effect);
  void execute(CloseEndpointWatch& effect);
  void execute(FetchEndpointList& effect);
  void execute(SendHealthCheckRequest& effect);
  void execute(SaveEndpointList& effect);
  void execute(AppendFlightRecord& effect);
  void execute(WriteLogEvent& effect);

  // ---- Metrics and configuration ----
  void open_metrics_writer();
  telemetry::AssignerMetrics all_figures();
  void open_configuration(const std::vector<config::Source>& files, StartupConfiguration& startup,
                          ConfigurationValidator validator);
  FleetSnapshot fleet() override { return core_.fleet(reactor_.now()); }
  const AssignerSettings& settings() override { return settings_; }
  telemetry::AssignerMetrics figures() override { return core_.collect_metrics(reactor_.now()); }
  bool may_apply(const AssignerSettings& next) override {
    return core_.may_reconfigure(next, reactor_.now());
  }
  void apply(const AssignerSettings& next, const config_stream::Version& version) override;
  void log(log::Level level, const std::string& event, const log::Fields& fields) override {
    log_.write(level, event, fields);
  }

  // ---- The end ----
  void stop();
  void stop_once_sent();

  [[nodiscard]] DiscoveryConnection::Events discovery_events();

  AssignerSettings settings_;
  net::Reactor reactor_;
  log::Log log_;
  StateFolder state_;
  Core core_;
  http::Client client_;
  DiscoveryConnection discovery_;
  FlightRecordFile record_;
  CachedListWriter list_writer_;
  std::unique_ptr<net::Listener> listener_;
  std::unique_ptr<AdminServer> admin_;
  std::unordered_map<StreamId, std::shared_ptr<net::Connection>> streams_;
  std::uint64_t last_stream_ = 0;
  std::optional<net::Reactor::TimerId> timer_;
  std::unique_ptr<telemetry::RemoteWriter> metrics_writer_;
  std::unique_ptr<ConfigurationManager> configuration_;
  bool metrics_sent_ = false;
  bool run_scheduled_ = false;
  bool stopping_ = false;
  base::Worker disk_;  // last: its jobs use the others, and it ends first
};

Service::Service(const std::vector<config::Source>& files, StartupConfiguration& startup,
                 ConfigurationValidator validator, MessageInterceptor interceptor)
    : settings_(std::move(startup.settings)),
      log_(settings_.log_file, log_level_of(settings_.log_level)),
      state_(settings_.state_folder),
      core_(settings_, state_.next_epoch(log_), state_.load_cached_list(log_), reactor_.now(),
            base::wall_ms()),
      client_(reactor_, {.source = {settings_.channel.ip, 0},
                         .idle_timeout_ms = kIdleTimeout,
                         .connect_timeout_ms = kConnectTimeout}),
      discovery_(client_, settings_.discovery, settings_.instance, discovery_events()),
      record_(reactor_, disk_, log_, settings_.record_file),
      list_writer_(reactor_, disk_, state_, log_, [this] { return core_.encoded_endpoint_list(); }),
      disk_(kMaxDiskBytes) {
  core_.set_message_interceptor(std::move(interceptor));
  listener_ = std::make_unique<net::Listener>(
      reactor_, settings_.channel, [this](auto connection) { accept(std::move(connection)); },
      net::ConnectionOptions{.max_unsent_bytes = settings_.most_unsent});
  if (settings_.admin)
    admin_ = std::make_unique<AdminServer>(
        reactor_, *settings_.admin, log_, [this] { return core_.status_json(reactor_.now()); },
        [this] { return configuration_.get(); });
  open_metrics_writer();
  if (settings_.control) open_configuration(files, startup, std::move(validator));
  for (int signal : {SIGTERM, SIGINT}) reactor_.on_signal(signal, [this] { stop(); });
  const Settings& policy = settings_.policy;
  log_.write(log::Level::info, "serving",
             {{"channel", net::to_string(listener_->address())},
              {"home", policy.localities[static_cast<std::size_t>(policy.own_locality)]}});
  schedule_run();
}

void Service::run() {
  reactor_.run();
  log_.write(log::Level::info, "stopped");
}

// ---- The core ----

void Service::schedule_run() {
  if (std::exchange(run_scheduled_, true)) return;
  reactor_.defer([this] { run_core(); });
}

void Service::run_core() {
  run_scheduled_ = false;
  core_.run_once(reactor_.now());
  for (Effect& effect : core_.take_effects()) std::visit([this](auto& one) { execute(one); }, effect);
  if (timer_) reactor_.cancel_timer(*timer_);
  timer_ = reactor_.call_at(core_.next_due(), [this] {
    timer_.reset();
    schedule_run();
  });
}

// ---- Streams of proxies and peers ----

void Service::accept(std::shared_ptr<net::Connection> connection) {
  StreamId id{++last_stream_};
  core_.stream_opened(id, connection->peer(), reactor_.now());
  adopt(id, std::move(connection), {});
  schedule_run();
}

void Service::adopt(StreamId id, std::shared_ptr<net::Connection> connection,
                    std::function<void()> connected) {
  streams_[id] = connection;
  connection->start({std::move(connected),
                     [this, id](std::string_view bytes) {
                       core_.stream_bytes_received(id, bytes, reactor_.now());
                       schedule_run();
                     },
                     {},
                     [this, id](net::CloseReason reason) {
                       streams_.erase(id);
                       core_.stream_closed(id, net::close_reason_name(reason), reactor_.now());
                       schedule_run();
                     }});
}

void Service::execute(SendBytes& effect) {
  auto stream = streams_.find(effect.stream);
  if (stream != streams_.end()) stream->second->send(std::move(effect.bytes));
}

void Service::execute(CloseStream& effect) {
  auto stream = streams_.extract(effect.stream);
  if (!stream.empty()) stream.mapped()->close_after_flush();
}

void Service::execute(DialPeer& effect) {
  StreamId id{++last_stream_};
  auto connection = net::Connection::dial(reactor_, effect.address, {settings_.channel.ip, 0},
                                          {.max_unsent_bytes = settings_.most_unsent});
  adopt(id, std::move(connection), [this, id, instance = effect.instance] {
    core_.peer_dialled(id, instance, reactor_.now());
    schedule_run();
  });
}

// ---- The endpoint list ----

DiscoveryConnection::Events Service::discovery_events() {
  return {
      [this](std::string_view line) { core_.endpoint_list_received(line, reactor_.now(), base::wall_ms()); },
      [this] { core_.watch_heartbeat_received(reactor_.now()); },
      [this](const std::string& reason) { core_.endpoint_list_lost(reason); }, [this] { schedule_run(); }};
}

void Service::execute(OpenEndpointWatch&) { discovery_.open_watch(settings_.list_quiet); }

void Service::execute(CloseEndpointWatch&) { discovery_.close_watch(); }

void Service::execute(FetchEndpointList&) { discovery_.fetch(settings_.list_quiet); }

void Service::execute(SaveEndpointList&) { list_writer_.list_changed(); }

// ---- Health checks, the flight record, the log ----

void Service::execute(SendHealthCheckRequest& effect) {
  Ms sent = reactor_.now();
  client_.send_request(effect.address, http::make_request("GET", "/probe"), settings_.probe_timeout,
                       [this, sent, endpoint = effect.endpoint](http::Client::Result&& answer) {
                         core_.health_check_completed(endpoint, health_check::outcome_of(answer),
                                                      reactor_.now() - sent,
                                                      http::parse_named_numbers(answer.response.body));
                         schedule_run();
                       });
}

void Service::execute(AppendFlightRecord& effect) { record_.append(std::move(effect.bytes)); }

void Service::execute(WriteLogEvent& effect) { log_.write(effect.level, effect.event, effect.fields); }

// ---- Metrics and configuration ----

telemetry::AssignerMetrics Service::all_figures() {
  telemetry::AssignerMetrics out = core_.collect_metrics(reactor_.now());
  out.longest_turn_s = reactor_.reset_longest_iteration() / kMsPerSecond;
  if (configuration_) configuration_->add_to(out);
  return out;
}

void Service::open_metrics_writer() {
  metrics_writer_.reset();
  if (!settings_.remote_write) return;
  metrics_writer_ = std::make_unique<telemetry::RemoteWriter>(
      reactor_, *settings_.remote_write, [this] { return all_figures(); },
      [this](const std::string& event, const std::string& reason) {
        log_.write(log::Level::warning, event, {{"reason", reason}});
      });
}

void Service::open_configuration(const std::vector<config::Source>& files, StartupConfiguration& startup,
                                 ConfigurationValidator validator) {
  startup.settings = settings_;  // they were moved from it
  ConfigurationHost& host = *this;
  configuration_ =
      std::make_unique<ConfigurationManager>(reactor_, files, startup, std::move(validator), host);
}

void Service::apply(const AssignerSettings& next, const config_stream::Version& version) {
  bool other_metrics = settings_.remote_write != next.remote_write;
  core_.reconfigure(next, version.number, version.hash, reactor_.now());
  settings_ = next;
  log_.set_min_level(log_level_of(settings_.log_level));
  if (other_metrics) {
    try {
      open_metrics_writer();
    } catch (const std::exception& error) {  // metrics are lost, routing is not
      log_.write(log::Level::error, "metrics_not_written", {{"reason", error.what()}});
    }
  }
  schedule_run();
}

// ---- The end ----

void Service::stop() {
  if (std::exchange(stopping_, true)) return reactor_.stop();  // a second signal: at once
  log_.write(log::Level::info, "stopping");
  listener_.reset();
  core_.stop(reactor_.now());
  schedule_run();
  if (metrics_writer_) metrics_writer_->finish(settings_.stop_within, [this] { metrics_sent_ = true; });
  else metrics_sent_ = true;
  reactor_.call_at(reactor_.now() + settings_.stop_within, [this] { reactor_.stop(); });
  stop_once_sent();
}

void Service::stop_once_sent() {
  if (streams_.empty() && !run_scheduled_ && metrics_sent_) return reactor_.stop();
  reactor_.call_at(reactor_.now() + kStopInterval, [this] { stop_once_sent(); });
}

}  // namespace

void serve(const std::vector<config::Source>& files, ConfigurationValidator validator,
           const std::function<MessageInterceptor(const AssignerSettings&)>& between) {
  StartupConfiguration startup = load_startup_configuration(files);
  net::Reactor::block_signals({SIGTERM, SIGINT});
  MessageInterceptor interceptor = between ? between(startup.settings) : nullptr;
  Service(files, startup, std::move(validator), std::move(interceptor)).run();
}

}  // namespace beamshunt::assigner
