// Stand-ins of what surrounds one assigner on the platform: discovery, proxies, collectors and tasks, on
// loopback addresses and one poll loop. They follow PROTOCOL.md. A case's program includes this file, starts
// the assigner as a process with the deploy file's `run` command, and judges what clients, tasks and the
// platform can see.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

using nlohmann::json;

inline double wall_ms() {
  return std::chrono::duration<double, std::milli>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline double now_ms() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

// ---- The record: one line an event, in ms since the start ----
inline FILE*& record_file() {
  static FILE* file = nullptr;
  return file;
}
inline void record(const char* format, ...) {
  if (!record_file()) return;
  std::fprintf(record_file(), "%9.1f ", now_ms());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(record_file(), format, arguments);
  va_end(arguments);
  std::fputc('\n', record_file());
  std::fflush(record_file());
}

// ---- One poll loop ----
class Loop {
 public:
  using Callback = std::function<void(short)>;
  void watch(int fd, short events, Callback callback) { watched_[fd] = {events, std::move(callback)}; }
  void events(int fd, short events) {
    if (auto found = watched_.find(fd); found != watched_.end()) found->second.events = events;
  }
  void unwatch(int fd) { watched_.erase(fd); }
  void at(double when, std::function<void()> call) { timers_.emplace(when, std::move(call)); }
  void after(double ms, std::function<void()> call) { at(now_ms() + ms, std::move(call)); }
  void every(double ms, std::function<void()> call) {
    after(ms, [this, ms, call] { call(), every(ms, call); });
  }
  void run_until(
      double when, const std::function<bool()>& done = [] { return false; }) {
    while (now_ms() < when && !done()) turn(when);
  }

 private:
  struct Watched {
    short events;
    Callback callback;
  };
  void turn(double until) {
    std::vector<pollfd> fds;
    for (auto& [fd, watched] : watched_) fds.push_back({fd, watched.events, 0});
    double due = timers_.empty() ? until : std::min(until, timers_.begin()->first);
    int wait = static_cast<int>(std::max(0.0, std::min(50.0, due - now_ms() + 0.5)));
    ::poll(fds.data(), fds.size(), wait);
    for (pollfd& ready : fds) {
      if (!ready.revents) continue;
      auto found = watched_.find(ready.fd);
      if (found == watched_.end()) continue;
      auto callback = found->second.callback;
      callback(ready.revents);
    }
    while (!timers_.empty() && timers_.begin()->first <= now_ms()) {
      auto call = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      call();
    }
  }
  std::map<int, Watched> watched_;
  std::multimap<double, std::function<void()>> timers_;
};

// ---- Sockets ----
inline sockaddr_in address_of(const std::string& text) {
  auto colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(std::stoi(text.substr(colon + 1))));
  ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}
inline void no_block(int fd) { ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) | O_NONBLOCK); }

// A connection that calls back with received bytes and with its end.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Loop& loop, int fd, bool connecting) : loop_(loop), fd_(fd), connecting_(connecting) {
    no_block(fd_);
    int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { close(); }
  static std::shared_ptr<Connection> dial(Loop& loop, const std::string& to) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    no_block(fd);
    sockaddr_in address = address_of(to);
    int result = ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
    bool failed = result != 0 && errno != EINPROGRESS;
    auto connection = std::make_shared<Connection>(loop, fd, true);
    connection->failed_ = failed;
    return connection;
  }
  void start(std::function<void(std::string_view)> on_bytes, std::function<void()> on_end) {
    on_bytes_ = std::move(on_bytes);
    on_end_ = std::move(on_end);
    auto self = weak_from_this();
    if (failed_) {
      loop_.after(0, [self] {
        if (auto alive = self.lock()) alive->end();
      });
      return;
    }
    loop_.watch(fd_, POLLIN | (connecting_ ? POLLOUT : 0), [self](short events) {
      if (auto alive = self.lock()) alive->ready(events);
    });
  }
  void send(const std::string& bytes) {
    if (fd_ < 0) return;
    out_ += bytes;
    if (!connecting_) flush();
  }
  void close() {
    if (fd_ < 0) return;
    loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  void reset() {
    if (fd_ < 0) return;
    linger now{1, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
  }
  bool open() const { return fd_ >= 0; }
  bool connected() const { return fd_ >= 0 && !connecting_; }

 private:
  void ready(short events) {
    auto self = shared_from_this();
    if (connecting_ && (events & (POLLOUT | POLLERR | POLLHUP))) {
      int error = 0;
      socklen_t size = sizeof error;
      ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error) return end();
      connecting_ = false;
    }
    flush();
    char buffer[65536];
    while (fd_ >= 0) {
      ssize_t size = ::read(fd_, buffer, sizeof buffer);
      if (size > 0) {
        if (on_bytes_) on_bytes_({buffer, static_cast<std::size_t>(size)});
        continue;
      }
      if (size < 0 && (errno == EAGAIN || errno == EINTR)) break;
      return end();
    }
  }
  void flush() {
    while (fd_ >= 0 && !out_.empty()) {
      ssize_t size = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (size <= 0) break;
      out_.erase(0, static_cast<std::size_t>(size));
    }
    if (fd_ >= 0) loop_.events(fd_, POLLIN | (out_.empty() ? 0 : POLLOUT));
  }
  void end() {
    auto self = shared_from_this();
    close();
    if (on_end_) on_end_();
  }
  Loop& loop_;
  int fd_;
  bool connecting_, failed_ = false;
  std::string out_;
  std::function<void(std::string_view)> on_bytes_;
  std::function<void()> on_end_;
};

// Listens at an address; port 0 takes a free one.
class Listener {
 public:
  Listener(Loop& loop, const std::string& ip, int port,
           std::function<void(std::shared_ptr<Connection>)> accept)
      : loop_(loop) {
    sockaddr_in address = address_of(ip + ":" + std::to_string(port));
    for (int tries = 0;; ++tries) {
      fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      int one = 1;
      if (port != 0) ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
      if (!::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) && !::listen(fd_, 512)) break;
      if (tries == 50) {
        std::perror("cannot listen");
        std::exit(2);
      }
      ::close(fd_);
      ::usleep(20000);
    }
    socklen_t size = sizeof address;
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    this->address = ip + ":" + std::to_string(ntohs(address.sin_port));
    no_block(fd_);
    loop_.watch(fd_, POLLIN, [this, &loop, accept](short) {
      int fd;
      while ((fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC)) >= 0)
        accept(std::make_shared<Connection>(loop, fd, false));
    });
  }
  ~Listener() { close(); }
  void close() {
    if (fd_ < 0) return;
    loop_.unwatch(fd_);
    ::close(fd_);
    fd_ = -1;
  }
  std::string address;

 private:
  Loop& loop_;
  int fd_;
};

// A free port at an address, for a program that is told where to listen.
inline std::string free_address(const std::string& ip) {
  Loop loop;
  return Listener(loop, ip, 0, [](auto) {}).address;
}

// An HTTP/1.1 server for requests without a body. The handler gets the target and the connection.
class HttpServer {
 public:
  using Handler = std::function<void(const std::string&, const std::shared_ptr<Connection>&)>;
  HttpServer(Loop& loop, const std::string& ip, int port, Handler handler)
      : handler_(std::move(handler)),
        listener_(std::make_unique<Listener>(loop, ip, port, [this](auto connection) {
          auto buffer = std::make_shared<std::string>();
          auto* raw = connection.get();
          open_.insert(connection);
          connection->start(
              [this, buffer, raw](std::string_view bytes) {
                buffer->append(bytes);
                std::size_t end;
                while ((end = buffer->find("\r\n\r\n")) != std::string::npos) {
                  std::string line = buffer->substr(0, buffer->find("\r\n"));
                  buffer->erase(0, end + 4);
                  auto first = line.find(' '), last = line.rfind(' ');
                  handler_(line.substr(first + 1, last - first - 1), raw->shared_from_this());
                }
              },
              [this, raw] { open_.erase(raw->shared_from_this()); });
        })) {}
  const std::string& address() const { return listener_->address; }
  void stop() {  // as a process that dies: connections are reset, new ones are refused
    listener_->close();
    for (auto& connection : std::exchange(open_, {})) connection->reset();
  }
  static std::string response(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Unavailable") +
           "\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  Handler handler_;
  std::set<std::shared_ptr<Connection>> open_;
  std::unique_ptr<Listener> listener_;
};

// The discovery service: the whole list, and watches on changes, with an empty line every 2 s.
class Discovery {
 public:
  explicit Discovery(Loop& loop, const std::string& ip, std::uint64_t first_revision = 40)
      : revision_(first_revision),
        loop_(loop),
        server_(loop, ip, 0, [this](const std::string& target, const auto& connection) {
          if (target.find("watch=1") == std::string::npos)
            return connection->send(HttpServer::response(200, list().dump()));
          record("discovery: %s", target.c_str());
          connection->send(
              "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n");
          watches_.push_back(connection);
          std::uint64_t from = std::stoull(target.substr(target.find("from=") + 5));
          json changes = json::array();
          bool known = from >= first_change_;
          for (auto& [uid, entry] : targets_)
            if (!known || changed_at_[uid] > from) changes.push_back(entry);
          if (!known || !changes.empty())
            write(connection, {{"rev", revision_}, {"all", !known}, {"targets", changes}});
        }) {
    first_change_ = revision_;
    loop.every(2000, [this] {
      for (auto& watch : watches_) chunk(watch, "\n");
    });
  }
  const std::string& address() const { return server_.address(); }
  void set(const json& entry) { targets_[entry["uid"]] = entry; }  // before the start
  json list() const {
    json targets = json::array();
    for (auto& [uid, entry] : targets_)
      if (entry["state"] != "terminated") targets.push_back(entry);
    return {{"rev", revision_}, {"all", true}, {"targets", targets}};
  }
  const json& entry(const std::string& uid) { return targets_[uid]; }
  // Publishes changed entries as one object on each open watch. Returns false if no watch is open.
  bool publish(const std::vector<json>& entries) {
    ++revision_;
    for (const json& entry : entries) {
      targets_[entry["uid"]] = entry;
      changed_at_[entry["uid"]] = revision_;
    }
    bool written = false;
    for (auto& watch : watches_) {
      if (!watch->open()) continue;
      write(watch, {{"rev", revision_}, {"all", false}, {"targets", entries}});
      written = true;
    }
    return written;
  }
  bool watched() const {
    for (auto& watch : watches_)
      if (watch->open()) return true;
    return false;
  }

 private:
  static void chunk(const std::shared_ptr<Connection>& watch, const std::string& line) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    watch->send(size + line + "\r\n");
  }
  static void write(const std::shared_ptr<Connection>& watch, const json& object) {
    chunk(watch, object.dump() + "\n");
  }
  std::uint64_t revision_, first_change_;
  std::map<std::string, json> targets_;
  std::map<std::string, std::uint64_t> changed_at_;
  std::vector<std::shared_ptr<Connection>> watches_;
  Loop& loop_;
  HttpServer server_;
};

// The assigner, started by the deploy file's `run` command from the repository's root.
class Assigner {
 public:
  Assigner(json configuration, const std::string& folder) : file_(folder + "/config.json"), folder_(folder) {
    write(configuration);
  }
  ~Assigner() { kill(); }
  void write(const json& configuration) {
    std::ofstream(file_ + ".new") << configuration.dump();
    std::rename((file_ + ".new").c_str(), file_.c_str());
    configuration_ = configuration;
  }
  void start() {
    const char* run = std::getenv("RUN");
    if (!run) std::exit(2);
    std::string log = folder_ + "/assigner.log";
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with this program, however that ends
      ::setenv("BALANCER_CONFIG", file_.c_str(), 1);
      ::setenv("BALANCER_NAME", "n0", 1);
      ::setenv("BALANCER_LISTEN", configuration_["listen"].get<std::string>().c_str(), 1);
      ::setenv("BALANCER_DISCOVERY", configuration_["discovery"].get<std::string>().c_str(), 1);
      int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      ::execl("/bin/sh", "sh", "-c", run, nullptr);
      ::_exit(127);
    }
    record("assigner: started");
  }
  // Returns whether the process still runs; records its end once.
  bool running() {
    if (pid_ <= 0) return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
    pid_ = -1;
    if (WIFSIGNALED(status))
      record("assigner: killed by signal %d (%s)", WTERMSIG(status), strsignal(WTERMSIG(status)));
    else record("assigner: ended with exit code %d", WEXITSTATUS(status));
    return false;
  }
  void signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  const std::string& listen() { return *configuration_["listen"].get_ptr<std::string*>(); }

 private:
  std::string file_, folder_;
  json configuration_;
  pid_t pid_ = -1;
};

// A connection to the assigner that speaks JSON lines.
class Peer {
 public:
  Peer(Loop& loop, const std::string& to, std::function<void(const json&)> on_message,
       std::function<void()> on_end)
      : connection_(Connection::dial(loop, to)) {
    connection_->start(
        [this, on_message](std::string_view bytes) {
          buffer_.append(bytes);
          std::size_t end;
          while ((end = buffer_.find('\n')) != std::string::npos) {
            json message = json::parse(buffer_.substr(0, end), nullptr, false);
            buffer_.erase(0, end + 1);
            if (message.is_object()) on_message(message);
          }
        },
        on_end);
  }
  void send(const json& message) { connection_->send(message.dump() + "\n"); }
  void send_text(const std::string& text) { connection_->send(text); }
  bool open() const { return connection_->open(); }
  void close() { connection_->close(); }

 private:
  std::shared_ptr<Connection> connection_;
  std::string buffer_;
};

// Waits until the assigner answers `probe` with `alive`; exits with 2 if it does not within 10 s.
inline void wait_alive(Loop& loop, Assigner& assigner) {
  bool alive = false;
  double limit = now_ms() + 10000;
  while (!alive && now_ms() < limit && assigner.running()) {
    Peer peer(
        loop, assigner.listen(), [&](const json& message) { alive |= message.value("t", "") == "alive"; },
        [] {});
    peer.send({{"t", "probe"}});
    loop.run_until(now_ms() + 200, [&] { return alive; });
    peer.close();
  }
  if (!alive) {
    record("the assigner did not answer alive");
    std::exit(2);
  }
  record("assigner: alive");
}

}  // namespace review
