#include "platform/service.h"

#include <csignal>
#include <deque>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <system_error>
#include <unordered_map>
#include <utility>

#include "base/time.h"
#include "health_check/http_outcome.h"
#include "http/server.h"
#include "log/log.h"
#include "net/reactor.h"
#include "platform/core.h"

namespace beamshunt::platform {
namespace {

// ms to get the listening address: half of what a restarted assigner may take to be ready.
constexpr Ms kListenTimeout = 5000;
// ms between two attempts to listen: short against the time-out.
constexpr Ms kListenRetryInterval = 50;
// ms to connect to discovery or an endpoint: they are on the same network.
constexpr Ms kConnectTimeout = 1000;
// ms without a byte of a watch: its empty lines come every 2 s, so two are missing.
constexpr Ms kDiscoveryIdleTimeout = 4500;
// ms for an endpoint to accept the connection and answer: a slower one serves no requests in time.
constexpr Ms kHealthCheckTimeout = 500;
// Bytes that a peer leaves unread before its connection ends: it would hold memory of all others.
constexpr std::size_t kMaxUnsentBytes = 1048576;
// Bytes read from one connection in a turn of the loop: no sender may keep the others waiting.
constexpr std::size_t kMaxBytesPerTurn = 65536;
// Bytes of one answer of discovery: more than the complete list of the largest fleet.
constexpr std::size_t kMaxDiscoveryBytes = 4194304;
// Closed connections that may still take their time to read the reason: each holds a descriptor.
constexpr std::size_t kMaxLingering = 8;
constexpr int kHttpOk = 200;

class Service {
 public:
  Service(std::string file, bool log_endpoints)
      : file_(std::move(file)),
        log_("", log_endpoints ? log::Level::debug : log::Level::info),
        core_(read_configuration(file_), reactor_.now(), base::wall_ms(), log_endpoints),
        client_(reactor_, {.connect_timeout_ms = kConnectTimeout,
                           .max_idle_connections = 0,
                           .limits = {.max_body_bytes = kMaxDiscoveryBytes}}) {
    for (int signal : {SIGTERM, SIGINT}) reactor_.on_signal(signal, [this] { reactor_.stop(); });
    reactor_.on_signal(SIGHUP, [this] { reload(); });
    listen(reactor_.now() + kListenTimeout);
    schedule_run();
  }

  void run() {
    reactor_.run();
    if (listen_error_) std::rethrow_exception(listen_error_);
    log_.write(log::Level::info, "stopped");
  }

 private:
  // ---- Listening ----

  // The former process may still hold the address while it ends: that is no reason to fail the start.
  void listen(Ms deadline) {
    try {
      listener_ = std::make_unique<net::Listener>(
          reactor_, core_.configuration().listen,
          [this](std::shared_ptr<net::Connection> connection) { accept(std::move(connection)); },
          net::ConnectionOptions{.max_unsent_bytes = kMaxUnsentBytes,
                                 .max_read_bytes_per_iteration = kMaxBytesPerTurn});
    } catch (const std::system_error& error) {
      if (error.code() != std::errc::address_in_use || reactor_.now() >= deadline) {
        listen_error_ = std::current_exception();
        reactor_.defer([this] { reactor_.stop(); });
        return;
      }
      if (!std::exchange(logged_address_in_use_, true))
        log_.write(log::Level::warning, "address_in_use",
                   {{"listen", net::to_string(core_.configuration().listen)}});
      reactor_.call_at(reactor_.now() + kListenRetryInterval, [this, deadline] { listen(deadline); });
      return;
    }
    log_.write(log::Level::info, "serving",
               {{"name", core_.configuration().name}, {"listen", net::to_string(listener_->address())}});
  }

  void accept(std::shared_ptr<net::Connection> connection) {
    const ConnectionId id{++last_connection_};
    connections_[id] = connection;
    core_.on_connection_opened(id, reactor_.now());
    connection->start({.on_connected = {},
                       .on_data =
                           [this, id](std::string_view bytes) {
                             core_.on_bytes(id, bytes, reactor_.now());
                             schedule_run();
                           },
                       .on_peer_shutdown = {},
                       .on_closed =
                           [this, id](net::CloseReason reason) {
                             connections_.erase(id);
                             core_.on_connection_closed(id, net::close_reason_name(reason));
                             schedule_run();
                           }});
    make_room();
    schedule_run();
  }

  // Hundreds may be accepted in one turn of the loop. Who has to go for the newest goes at once: otherwise
  // descriptors run out before the turn ends, and the listener rejects whoever comes next, a proxy included.
  // Nor has the turn read what they sent: a registration that waits in the kernel's buffer is read first.
  void make_room() {
    while (auto candidate = core_.eviction_candidate()) {
      if (auto found = connections_.find(*candidate); found != connections_.end()) {
        auto connection = found->second;  // reading may close it and drop the table's reference
        connection->read_available();
      }
      core_.evict(*candidate);
      execute_effects();
    }
  }

  // ---- Running the core: once a turn of the loop, after all that came in it ----

  void schedule_run() {
    if (std::exchange(run_scheduled_, true)) return;
    reactor_.defer([this] { run_core(); });
  }

  void run_core() {
    run_scheduled_ = false;
    core_.run_once(reactor_.now());
    execute_effects();
    if (timer_) reactor_.cancel_timer(*timer_);
    timer_ = reactor_.call_at(core_.next_due(), [this] {
      timer_.reset();
      schedule_run();
    });
  }

  void execute_effects() {
    for (Effect& effect : core_.take_effects())
      std::visit([this](auto& concrete) { execute(concrete); }, effect);
  }

  // ---- Effects ----

  void execute(SendBytes& effect) {
    auto connection = connections_.find(effect.connection);
    if (connection != connections_.end()) connection->second->send(std::move(effect.bytes));
  }

  // Closed with bytes unread, a connection is reset, and its peer may never see the reason. So it lingers,
  // but not so many at a time that their descriptors are missed.
  void execute(const CloseConnection& effect) {
    auto connection = connections_.extract(effect.connection);
    if (connection.empty()) return;
    std::erase_if(lingering_, [](const auto& closed) { return closed.expired(); });
    if (effect.immediately || lingering_.size() >= kMaxLingering) {
      connection.mapped()->close();
      return;
    }
    lingering_.push_back(connection.mapped());
    connection.mapped()->close_after_flush();
  }

  void execute(const OpenWatch& effect) {
    const ListWatch::Id watch = effect.watch;
    auto request =
        http::make_request("GET", "/api/targets?watch=1&from=" + std::to_string(effect.from_version));
    watches_[watch] = client_.stream_response(
        effect.discovery, request, kDiscoveryIdleTimeout,
        [this, watch](std::string_view bytes) {
          core_.on_watch_bytes(watch, bytes, reactor_.now(), base::wall_ms());
          schedule_run();
        },
        [this, watch](http::Client::Result&& answer) {
          watches_.erase(watch);
          core_.on_watch_ended(watch, failure_text(answer), reactor_.now());
          schedule_run();
        });
  }

  void execute(const CloseWatch& effect) {
    auto watch = watches_.extract(effect.watch);
    if (!watch.empty()) client_.cancel(watch.mapped());
  }

  void execute(const FetchEndpointList& effect) {
    client_.send_request(
        effect.discovery, http::make_request("GET", "/api/targets"), kDiscoveryIdleTimeout,
        [this](http::Client::Result&& answer) {
          if (answer.failure == http::Client::Failure::none && answer.response.status == kHttpOk)
            core_.on_fetched(answer.response.body, reactor_.now(), base::wall_ms());
          else core_.on_fetch_failed(failure_text(answer));
          schedule_run();
        });
  }

  static std::string failure_text(const http::Client::Result& answer) {
    if (answer.failure != http::Client::Failure::none) return answer.detail;
    return "it ended with status " + std::to_string(answer.response.status);
  }

  void execute(const StartHealthCheck& effect) {
    waiting_health_checks_.push_back(effect);
    start_health_checks();
  }

  void start_health_checks() {
    const std::size_t limit = max_concurrent_health_checks(core_.configuration().sockets);
    while (running_health_checks_ < limit && !waiting_health_checks_.empty()) {
      ++running_health_checks_;
      start_health_check(waiting_health_checks_.front());
      waiting_health_checks_.pop_front();
    }
  }

  void start_health_check(const StartHealthCheck& check) {
    const Ms started = reactor_.now();
    auto request = http::make_request("GET", check.wants_load_report ? "/-/load" : "/-/healthy");
    client_.send_request(
        check.address, request, kHealthCheckTimeout, [this, started, check](http::Client::Result&& answer) {
          --running_health_checks_;
          core_.on_health_check_result(check.endpoint, check.id, health_check::outcome_of(answer),
                                       reactor_.now() - started, answer.response.body);
          start_health_checks();
          schedule_run();
        });
  }

  void execute(const LogLine& effect) { log_.write(effect.level, effect.event, effect.fields); }

  // ---- SIGHUP ----

  void reload() {
    try {
      core_.reconfigure(read_configuration(file_), reactor_.now());
    } catch (const std::exception& error) {  // the present configuration stays in force
      log_.write(log::Level::error, "configuration_rejected", {{"reason", error.what()}});
    }
    schedule_run();
  }

  std::string file_;
  net::Reactor reactor_;
  log::Log log_;
  Core core_;
  http::Client client_;
  std::unique_ptr<net::Listener> listener_;
  std::exception_ptr listen_error_;  // that ended the start
  std::unordered_map<ConnectionId, std::shared_ptr<net::Connection>> connections_;
  std::deque<std::weak_ptr<net::Connection>> lingering_;
  std::map<ListWatch::Id, http::Client::CallId> watches_;
  std::deque<StartHealthCheck> waiting_health_checks_;
  std::size_t running_health_checks_ = 0;
  std::uint64_t last_connection_ = 0;
  bool run_scheduled_ = false;
  bool logged_address_in_use_ = false;
  std::optional<net::Reactor::TimerId> timer_;
};

}  // namespace

void serve(const std::string& file, bool log_endpoints) {
  // Before the log's thread starts: a thread that does not block a signal would end the process by it.
  net::Reactor::block_signals({SIGTERM, SIGINT, SIGHUP});
  Service(file, log_endpoints).run();
}

}  // namespace beamshunt::platform
