#include "platform/service.h"

#include <csignal>
#include <deque>
#include <exception>
#include <memory>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <unordered_map>

#include "base/file.h"
#include "base/time.h"
#include "http/server.h"
#include "log/log.h"
#include "net/reactor.h"
#include "platform/core.h"
#include "health_check/http_outcome.h"

namespace beamshunt::platform {
namespace {

// ---- Bounds of the sockets: unit, reason ----
constexpr Ms kListenWithin = 5000;            // ms, half of what a restarted assigner may take to be ready
constexpr Ms kListenAgain = 50;               // ms between two looks whether the address is free
constexpr Ms kConnectMost = 1000;             // ms to discovery, on the same network
constexpr Ms kListQuiet = 4500;               // ms; a watch's empty lines come every 2 s: two are missing
constexpr Ms kProbeWithin = 500;              // ms for an endpoint to take a connection, and again to answer
constexpr std::size_t kMostUnsent = 1048576;  // bytes that a proxy leaves unread before it is given up
constexpr std::size_t kMostATurn = 65536;     // bytes read from one connection in a turn
constexpr std::size_t kMostListBytes = 4 * 1048576;  // of one object of discovery
constexpr std::size_t kMostLeaving = 8;  // closed connections that may still take their time to read why

Configuration read_configuration(const std::string& file) {
  auto bytes = base::read_file(file);
  if (!bytes) throw std::runtime_error("configuration " + file + ": there is no such file");
  try {
    return parse_configuration(*bytes);
  } catch (const std::runtime_error& error) {
    throw std::runtime_error("configuration " + file + ": " + error.what());
  }
}

class Service {
 public:
  Service(std::string file, bool verbose)
      : file_(std::move(file)),
        log_("", verbose ? log::Level::debug : log::Level::info),
        core_(read_configuration(file_), reactor_.now(), base::wall_ms(), verbose),
        client_(reactor_, {.connect_ms = kConnectMost, .most_idle = 0, .limits = {.body = kMostListBytes}}) {
    for (int signal : {SIGTERM, SIGINT}) reactor_.on_signal(signal, [this] { reactor_.stop(); });
    reactor_.on_signal(SIGHUP, [this] { reload(); });
    listen(reactor_.now() + kListenWithin);
    soon();
  }

  void run() {
    reactor_.run();
    if (cannot_listen_) std::rethrow_exception(cannot_listen_);
    log_.write(log::Level::info, "stopped");
  }

 private:
  // The process before this one may still hold the address while it ends: that is no reason to refuse the
  // start.
  void listen(Ms until) {
    try {
      listener_ = std::make_unique<net::Listener>(
          reactor_, core_.configuration().listen, [this](auto c) { accept(std::move(c)); },
          net::ConnectionOptions{.most_unsent = kMostUnsent, .most_a_turn = kMostATurn});
    } catch (const std::system_error& error) {
      if (error.code() != std::errc::address_in_use || reactor_.now() >= until) {
        cannot_listen_ = std::current_exception();
        return reactor_.defer([this] { reactor_.stop(); });
      }
      if (!std::exchange(waits_for_address_, true))
        log_.write(log::Level::warning, "address_in_use",
                   {{"listen", net::to_string(core_.configuration().listen)}});
      reactor_.at(reactor_.now() + kListenAgain, [this, until] { listen(until); });
      return;
    }
    log_.write(log::Level::info, "serving",
               {{"name", core_.configuration().name}, {"listen", net::to_string(listener_->address())}});
  }

  // ---- The core's turns: once a turn of the loop, after all that came in it ----
  void soon() {
    if (std::exchange(turn_due_, true)) return;
    reactor_.defer([this] { turn(); });
  }
  void turn() {
    turn_due_ = false;
    core_.turn(reactor_.now());
    carry_out_all();
    if (timer_) reactor_.cancel(*timer_);
    timer_ = reactor_.at(core_.next_due(), [this] { timer_.reset(), soon(); });
  }

  void carry_out_all() {
    for (Effect& effect : core_.take_effects()) std::visit([this](auto& e) { carry_out(e); }, effect);
  }

  void accept(std::shared_ptr<net::Connection> connection) {
    ConnectionId id{++last_connection_};
    connections_[id] = connection;
    core_.opened(id, reactor_.now());
    connection->start({{},
                       [this, id](std::string_view bytes) {
                         core_.bytes(id, bytes, reactor_.now());
                         soon();
                       },
                       {},
                       [this, id](net::CloseReason reason) {
                         connections_.erase(id);
                         core_.closed(id, net::reason_name(reason), reactor_.now());
                         soon();
                       }});
    // Hundreds may be accepted in one turn of the loop: who has to go for this one goes now, or descriptors
    // run out before the turn ends and the listener turns away whoever comes next, be it a proxy. Nor has the
    // turn read what they sent: a joining that waits in the kernel's buffer is no reason to be turned away.
    while (auto oldest = core_.to_evict()) {
      if (auto c = connections_.find(*oldest); c != connections_.end()) {
        auto hold = c->second;
        hold->read_now();
      }
      core_.evict(*oldest);
      carry_out_all();
    }
    soon();
  }

  // ---- Effects ----
  void carry_out(SendBytes& e) {
    if (auto c = connections_.find(e.to); c != connections_.end()) c->second->send(std::move(e.bytes));
  }
  void carry_out(CloseConnection& e) {
    auto c = connections_.extract(e.connection);
    if (c.empty()) return;
    std::erase_if(leaving_, [](auto& l) { return l.expired(); });
    // Closed with bytes unread, a connection is reset, and its peer may never see why: it gets a moment, but
    // not so many at a time that their descriptors are missed.
    if (e.at_once || leaving_.size() >= kMostLeaving) return c.mapped()->close();
    leaving_.push_back(c.mapped());
    c.mapped()->close_after_sending();
  }
  void carry_out(OpenWatch& e) {
    ListWatch::Number number = e.number;
    watches_[number] = client_.listen(
        e.discovery, http::request("GET", "/api/targets?watch=1&from=" + std::to_string(e.from)), kListQuiet,
        [this, number](std::string_view piece) {
          core_.watch_bytes(number, piece, reactor_.now(), base::wall_ms());
          soon();
        },
        [this, number](http::Client::Answer&& answer) {
          watches_.erase(number);
          core_.watch_ended(number, failure(answer), reactor_.now());
          soon();
        });
  }
  void carry_out(CloseWatch& e) {
    if (auto watch = watches_.extract(e.number); !watch.empty()) client_.cancel(watch.mapped());
  }
  void carry_out(FetchTheList& e) {
    client_.ask(e.discovery, http::request("GET", "/api/targets"), kListQuiet,
                [this](http::Client::Answer&& answer) {
                  if (answer.failure == http::Client::Failure::none && answer.message.status == 200)
                    core_.fetch_answered(answer.message.body, reactor_.now(), base::wall_ms());
                  else core_.fetch_failed(failure(answer));
                  soon();
                });
  }
  static std::string failure(const http::Client::Answer& answer) {
    if (answer.failure != http::Client::Failure::none) return answer.detail;
    return "it ended with status " + std::to_string(answer.message.status);
  }
  void carry_out(AskEndpoint& e) {
    due_.push_back(e);
    probe();
  }
  void probe() {
    for (; asked_ < most_probes(core_.configuration().sockets) && !due_.empty(); due_.pop_front()) {
      ++asked_;
      Ms begun = reactor_.now();
      client_.ask(due_.front().address,
                  http::request("GET", due_.front().for_load ? "/-/load" : "/-/healthy"), kProbeWithin,
                  [this, begun, e = due_.front()](http::Client::Answer&& answer) {
                    --asked_;
                    core_.probe_answered(e.endpoint, e.number, health_check::outcome_of(answer),
                                         reactor_.now() - begun, answer.message.body);
                    probe();
                    soon();
                  });
    }
  }
  void carry_out(LogLine& e) { log_.write(e.level, e.event, e.fields); }

  void reload() {
    try {
      core_.reconfigure(read_configuration(file_), reactor_.now());
    } catch (const std::exception& error) {  // what runs goes on as it is
      log_.write(log::Level::error, "configuration_refused", {{"reason", error.what()}});
    }
    soon();
  }

  std::string file_;
  net::Reactor reactor_;
  log::Log log_;
  Core core_;
  http::Client client_;
  std::unique_ptr<net::Listener> listener_;
  std::exception_ptr cannot_listen_;
  std::unordered_map<ConnectionId, std::shared_ptr<net::Connection>> connections_;
  std::deque<std::weak_ptr<net::Connection>> leaving_;
  std::map<ListWatch::Number, http::Client::Call> watches_;
  std::deque<AskEndpoint> due_;  // one an endpoint at most: the core asks none that it waits for
  std::size_t asked_ = 0;
  std::uint64_t last_connection_ = 0;
  bool turn_due_ = false, waits_for_address_ = false;
  std::optional<net::Reactor::TimerId> timer_;
};

}  // namespace

void serve(const std::string& file, bool verbose) {
  net::Reactor::block_signals({SIGTERM, SIGINT, SIGHUP});  // before the log's thread
  Service(file, verbose).run();
}

}  // namespace beamshunt::platform
