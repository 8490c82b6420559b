#include "assigner/service.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <unordered_map>

#include "assigner/config_feed.h"
#include "base/archive.h"
#include "base/file.h"
#include "base/parse.h"
#include "base/worker.h"
#include "health_check/http_outcome.h"
#include "http/numbers.h"
#include "http/server.h"

namespace beamshunt::assigner {

std::optional<net::Fd> lock_state(const std::string& folder) {
  std::filesystem::create_directories(folder);
  std::string file = folder + "/lock";
  net::Fd lock(::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
  if (!lock) throw std::runtime_error("cannot open " + file + ": " + std::strerror(errno));
  if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) return std::nullopt;
  return lock;
}

namespace {

constexpr std::size_t kMostDiskBytes = 64 * 1048576;  // queued for the disk; more is let go, and said
constexpr Ms kConnectMost = 1000;                     // to discovery and probed servers

log::Level to_level(const std::string& name) {
  if (name == "debug") return log::Level::debug;
  if (name == "warning") return log::Level::warning;
  return name == "error" ? log::Level::error : log::Level::info;
}

// The folder that outlives a restart: its lock, the epoch, the warm copy of the list.
class StateFolder {
 public:
  explicit StateFolder(const std::string& path) : path_(path) {
    auto lock = lock_state(path);
    if (!lock) throw std::runtime_error("the state folder " + path + " is held by another process");
    lock_ = std::move(*lock);
  }

  // One more than that of the last start. A damaged file is refused, not guessed at: the epoch falls back to
  // the clock, which is ahead of any count of starts.
  std::uint64_t next_epoch(log::Log& log) {
    std::string file = path_ + "/epoch";
    std::uint64_t epoch = 0;
    if (auto bytes = base::read_file(file)) {
      std::size_t offset = 0;
      if (auto payload = base::unseal(*bytes, offset)) {
        base::Decoder d(*payload);
        d(epoch);
      } else {
        epoch = static_cast<std::uint64_t>(base::wall_ms());
        log.write(log::Level::error, "epoch_refused", {{"file", file}, {"reason", "torn or damaged"}});
      }
    }
    base::Encoder e;
    e(++epoch);
    base::replace_file(file, base::sealed(e.bytes()));
    return epoch;
  }

  std::optional<EndpointBook> warm_list(log::Log& log) {
    for (std::string file : {list_file(), list_file() + ".before"}) {
      auto bytes = base::read_file(file);
      if (!bytes) continue;
      try {
        return EndpointBook::from_bytes(*bytes);
      } catch (const std::runtime_error& error) {
        log.write(log::Level::error, "warm_list_refused", {{"file", file}, {"reason", error.what()}});
      }
    }
    return std::nullopt;
  }

  void save_list(const std::string& bytes) {  // on the disk's thread
    std::error_code none;
    std::filesystem::remove(list_file() + ".before", none);
    std::filesystem::create_hard_link(list_file(), list_file() + ".before", none);
    base::replace_file(list_file(), bytes);
  }

 private:
  std::string list_file() const { return path_ + "/list"; }
  std::string path_;
  net::Fd lock_;
};

class Service {
 public:
  Service(const std::vector<config::Source>& files, Beginning& beginning, Gate gate,
          MessageInterceptor interceptor)
      : site_(std::move(beginning.site)),
        log_(site_.log_file, to_level(site_.log_level)),
        state_(site_.state_folder),
        core_(site_, state_.next_epoch(log_), state_.warm_list(log_), reactor_.now(), base::wall_ms()),
        client_(reactor_, {.from = {site_.channel.ip, 0}, .idle_ms = 15000, .connect_ms = kConnectMost}),
        disk_(kMostDiskBytes) {
    core_.set_message_interceptor(std::move(interceptor));
    open_record();
    listener_ = std::make_unique<net::Listener>(
        reactor_, site_.channel, [this](auto c) { accept(std::move(c)); },
        net::ConnectionOptions{.most_unsent = site_.most_unsent});
    if (site_.admin) open_admin();
    open_writer();
    if (site_.control) open_feed(files, beginning, std::move(gate));
    for (int signal : {SIGTERM, SIGINT}) reactor_.on_signal(signal, [this] { stop(); });
    log_.write(log::Level::info, "serving",
               {{"channel", net::to_string(listener_->address())},
                {"home", site_.policy.localities[static_cast<std::size_t>(site_.policy.own_locality)]}});
    soon();
  }

  void run() {
    reactor_.run();
    log_.write(log::Level::info, "stopped");
  }

 private:
  // ---- The core's turns: once a turn of the loop, after all that came in it ----
  void soon() {
    if (std::exchange(turn_due_, true)) return;
    reactor_.defer([this] { turn(); });
  }
  void turn() {
    turn_due_ = false;
    core_.run_once(reactor_.now());
    for (Effect& effect : core_.take_effects()) std::visit([this](auto& e) { carry_out(e); }, effect);
    if (timer_) reactor_.cancel(*timer_);
    timer_ = reactor_.at(core_.next_due(), [this] { timer_.reset(), soon(); });
  }

  void accept(std::shared_ptr<net::Connection> connection) {
    StreamId id{++last_stream_};
    core_.stream_opened(id, connection->peer(), reactor_.now());
    adopt(id, std::move(connection), {});
    soon();
  }
  void adopt(StreamId id, std::shared_ptr<net::Connection> connection, std::function<void()> connected) {
    streams_[id] = connection;
    connection->start({std::move(connected),
                       [this, id](std::string_view bytes) {
                         core_.stream_bytes(id, bytes, reactor_.now());
                         soon();
                       },
                       {},
                       [this, id](net::CloseReason reason) {
                         streams_.erase(id);
                         core_.stream_closed(id, net::reason_name(reason), reactor_.now());
                         soon();
                       }});
  }

  // ---- Effects ----
  void carry_out(SendBytes& e) {
    if (auto s = streams_.find(e.stream); s != streams_.end()) s->second->send(std::move(e.bytes));
  }
  void carry_out(CloseStream& e) {
    auto s = streams_.extract(e.stream);
    if (!s.empty()) s.mapped()->close_after_sending();
  }
  void carry_out(DialPeer& e) {
    StreamId id{++last_stream_};
    auto connection =
        net::Connection::dial(reactor_, e.address, {site_.channel.ip, 0}, {.most_unsent = site_.most_unsent});
    adopt(id, std::move(connection), [this, id, instance = e.instance] {
      core_.peer_dialled(id, instance, reactor_.now());
      soon();
    });
  }
  void carry_out(OpenWatch&) {
    close_watch();
    std::uint64_t number = ++watch_number_;
    auto mine = [this, number] { return number == watch_number_; };
    auto told = std::make_shared<std::string>();  // an unfinished line
    watch_ = client_.listen(
        site_.discovery, http::request("GET", "/v1/watch?instance=" + std::to_string(site_.instance)),
        site_.list_quiet,
        [this, mine, told](std::string_view piece) {
          if (!mine()) return;
          told->append(piece);
          for (std::size_t end; (end = told->find('\n')) != told->npos; told->erase(0, end + 1))
            if (end == 0) core_.watch_heartbeat_received(reactor_.now());
            else
              core_.endpoint_list_received(std::string_view(*told).substr(0, end), reactor_.now(),
                                           base::wall_ms());
          if (told->size() > kMostListLine) told->clear(), core_.endpoint_list_lost("a line is too long");
          soon();
        },
        [this, mine](http::Client::Answer&& answer) {
          if (!mine()) return;
          watch_ = 0;
          core_.endpoint_list_lost(answer.failure == http::Client::Failure::none
                                       ? "the watch ended with status " +
                                             std::to_string(answer.message.status)
                                       : answer.detail);
          soon();
        });
  }
  void carry_out(CloseWatch&) { close_watch(); }
  void close_watch() {
    ++watch_number_;
    if (watch_ != 0) client_.cancel(std::exchange(watch_, 0));
  }
  void carry_out(FetchList&) {
    client_.ask(site_.discovery, http::request("GET", "/v1/list?instance=" + std::to_string(site_.instance)),
                site_.list_quiet, [this](http::Client::Answer&& answer) {
                  if (answer.failure != http::Client::Failure::none || answer.message.status != 200)
                    core_.endpoint_list_lost("fetch failed: " + answer.detail);
                  else core_.endpoint_list_received(answer.message.body, reactor_.now(), base::wall_ms());
                  soon();
                });
  }
  void carry_out(SendHealthCheckRequest& e) {
    Ms asked = reactor_.now();
    client_.ask(e.address, http::request("GET", "/probe"), site_.probe_timeout,
                [this, asked, endpoint = e.endpoint](http::Client::Answer&& answer) {
                  core_.health_check_completed(endpoint, health_check::outcome_of(answer),
                                               reactor_.now() - asked,
                                               http::parse_numbers(answer.message.body));
                  soon();
                });
  }
  void carry_out(SaveList&) {  // one save at a time: what changes meanwhile is in the next
    list_changed_ = true;
    save_list();
  }
  void save_list() {
    if (saving_list_ || !std::exchange(list_changed_, false)) return;
    std::string bytes = core_.list_bytes();
    std::size_t size = bytes.size();
    saving_list_ = disk_.post(size, [this, bytes = std::move(bytes)] {
      std::string failure;
      try {
        state_.save_list(bytes);
      } catch (const std::exception& error) {
        failure = error.what();
      }
      reactor_.post([this, failure] {
        saving_list_ = false;
        if (!failure.empty()) log_.write(log::Level::error, "warm_list_not_saved", {{"reason", failure}});
        save_list();
      });
    });
    if (!saving_list_)
      log_.write(log::Level::error, "warm_list_not_saved", {{"reason", "the disk is behind"}});
  }
  void carry_out(AppendRecord& e) {
    if (!record_) return;
    std::size_t size = e.bytes.size();
    // A record with a hole would replay as a difference: after a loss there is none until the next start.
    auto lost = [this](const std::string& reason) {
      record_lost_ = true;
      reactor_.post([this, reason] { log_.write(log::Level::error, "record_ends", {{"reason", reason}}); });
    };
    if (record_lost_) return;
    bool taken = disk_.post(size, [this, lost, bytes = std::move(e.bytes)] {
      std::string_view left = bytes;
      while (!left.empty() && !record_lost_) {
        ssize_t n = ::write(record_.get(), left.data(), left.size());
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) return lost(std::strerror(errno));
        left.remove_prefix(static_cast<std::size_t>(n));
      }
    });
    if (!taken) lost("the disk is behind");
  }
  void carry_out(LogLine& e) { log_.write(e.level, e.event, e.fields); }

  // ---- Files and people ----
  void open_record() {
    if (site_.record_file.empty()) return;
    record_.reset(::open(site_.record_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
    if (!record_)
      throw std::runtime_error("cannot open the flight record " + site_.record_file + ": " +
                               std::strerror(errno));
    cut_torn_tail();
  }
  // A kill may have left half a record: what is appended behind it could not be read.
  void cut_torn_tail() {
    std::string bytes = base::read_file(site_.record_file).value_or("");
    std::size_t offset = 0;
    while (offset < bytes.size() && base::unseal(bytes, offset)) {
    }
    if (offset == bytes.size()) return;
    if (::ftruncate(record_.get(), static_cast<off_t>(offset)) != 0)
      throw std::runtime_error("cannot cut the flight record " + site_.record_file + ": " +
                               std::strerror(errno));
    log_.write(log::Level::warning, "record_cut",
               {{"file", site_.record_file}, {"bytes", std::to_string(bytes.size() - offset)}});
  }
  // ---- Settings ----
  void open_writer() {
    writer_.reset();
    if (!site_.remote_write) return;
    writer_ = std::make_unique<telemetry::Writer>(
        reactor_, *site_.remote_write,
        [this] {
          telemetry::Figures f = core_.figures(reactor_.now());
          f.loop_lag_s = reactor_.take_longest_turn() / 1000;
          if (feed_) feed_->fill(f);
          return f;
        },
        [this](const std::string& event, const std::string& reason) {
          log_.write(log::Level::warning, event, {{"reason", reason}});
        });
  }
  void open_feed(const std::vector<config::Source>& files, Beginning& beginning, Gate gate) {
    beginning.site = site_;
    feed_ = std::make_unique<ConfigFeed>(
        reactor_, files, beginning, std::move(gate),
        ConfigFeed::Host{
            [this] { return core_.fleet(reactor_.now()); }, [this]() -> const Site& { return site_; },
            [this] { return core_.figures(reactor_.now()); },
            [this](const Site& next) { return core_.may_reconfigure(next, reactor_.now()); },
            [this](const Site& next, const configstream::Version& version) { apply(next, version); },
            [this](log::Level level, const std::string& event, const log::Fields& fields) {
              log_.write(level, event, fields);
            }});
  }
  void apply(const Site& next, const configstream::Version& version) {
    bool writes_otherwise = site_.remote_write != next.remote_write;
    core_.reconfigure(next, version.number, version.hash, reactor_.now());
    site_ = next;
    log_.least(to_level(site_.log_level));
    if (writes_otherwise) {
      try {
        open_writer();
      } catch (const std::exception& error) {  // figures are lost, routing is not
        log_.write(log::Level::error, "figures_not_written", {{"reason", error.what()}});
      }
    }
    soon();
  }
  void handle_config(const http::Message& request, const http::Responder& responder) {
    auto done = [responder](const std::string& failure) {
      responder.send(failure.empty() ? http::response(200, "done\n", "text/plain")
                                     : http::response(409, failure + "\n", "text/plain"));
    };
    auto number = [&](std::string_view path) -> std::optional<std::uint64_t> {
      std::string_view target = request.target;
      if (!target.starts_with(path)) return std::nullopt;
      return base::parse_number<std::uint64_t>(target.substr(path.size()));
    };
    if (!feed_) return responder.send(http::response(404, "no control service is set\n", "text/plain"));
    if (request.method == "GET" && request.target == "/v1/config")
      return responder.send(http::response(200, feed_->status_json() + "\n"));
    if (request.method == "GET" && request.target == "/v1/alerts")
      return responder.send(http::response(200, feed_->alerts(), "text/plain"));
    if (request.method != "POST")
      return responder.send(http::response(405, "changes are made by POST\n", "text/plain"));
    if (auto n = number("/v1/config/rollback?version=")) return feed_->roll_back(*n, done);
    if (auto n = number("/v1/config/forgive?version=")) return feed_->forgive(*n, done);
    if (request.target == "/v1/config/pin") return feed_->pin(done);
    if (request.target == "/v1/config/unpin") return feed_->unpin(done);
    responder.send(
        http::response(404, "rollback?version=N, forgive?version=N, pin or unpin\n", "text/plain"));
  }
  void open_admin() {
    http::Server::Options options;
    options.on_bad = [this](net::Address peer, const http::ParseError& error) {
      log_.write(log::Level::warning, "admin_bad_request",
                 {{"peer", net::to_string(peer)},
                  {"offset", std::to_string(error.offset)},
                  {"reason", error.what()}});
    };
    admin_ = std::make_unique<http::Server>(
        reactor_, *site_.admin,
        [this](http::Message&& request, http::Responder responder) {
          if (request.target == "/healthz") return responder.send(http::response(200, "ok\n", "text/plain"));
          if (request.target == "/v1/status")
            return responder.send(http::response(200, core_.status_json(reactor_.now()) + "\n"));
          if (request.target.starts_with("/v1/config") || request.target == "/v1/alerts")
            return handle_config(request, responder);
          responder.send(
              http::response(404, "/healthz, /v1/status, /v1/config or /v1/alerts\n", "text/plain"));
        },
        options);
  }

  void stop() {
    if (std::exchange(stopping_, true)) return reactor_.stop();  // asked twice: at once
    log_.write(log::Level::info, "stopping");
    listener_.reset();
    core_.stop(reactor_.now());
    soon();
    if (writer_) writer_->finish(site_.stop_within, [this] { figures_sent_ = true; });
    else figures_sent_ = true;
    reactor_.at(reactor_.now() + site_.stop_within, [this] { reactor_.stop(); });
    end_once_sent();
  }
  void end_once_sent() {
    if (streams_.empty() && !turn_due_ && figures_sent_) return reactor_.stop();
    reactor_.at(reactor_.now() + 5, [this] { end_once_sent(); });
  }

  static constexpr std::size_t kMostListLine = 64 * 1048576;

  Site site_;
  net::Reactor reactor_;
  log::Log log_;
  StateFolder state_;
  Core core_;
  http::Client client_;
  std::unique_ptr<net::Listener> listener_;
  std::unique_ptr<http::Server> admin_;
  std::unordered_map<StreamId, std::shared_ptr<net::Connection>> streams_;
  std::uint64_t last_stream_ = 0, watch_number_ = 0;
  http::Client::Call watch_ = 0;
  std::optional<net::Reactor::TimerId> timer_;
  net::Fd record_;
  std::atomic<bool> record_lost_ = false;
  std::unique_ptr<telemetry::Writer> writer_;
  std::unique_ptr<ConfigFeed> feed_;
  bool figures_sent_ = false;
  bool list_changed_ = false, saving_list_ = false, turn_due_ = false, stopping_ = false;
  base::Worker disk_;  // last: its jobs use the others, and it ends first
};

}  // namespace

void serve(const std::vector<config::Source>& files, Gate gate,
           const std::function<MessageInterceptor(const Site&)>& interceptor) {
  Beginning beginning = begin(files);
  net::Reactor::block_signals({SIGTERM, SIGINT});
  MessageInterceptor of_site = interceptor ? interceptor(beginning.site) : nullptr;
  Service(files, beginning, std::move(gate), std::move(of_site)).run();
}

}  // namespace beamshunt::assigner
