#include "net/connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace beamshunt::net {
namespace {

constexpr Ms kSendOutMost = 2000;  // a peer's time to read the last words of a closing connection
constexpr Ms kAcceptPause = 20;    // after accept() failed for want of anything but a connection
constexpr std::size_t kReadBlock = 65536;
constexpr int kBacklog = 4096, kIovMost = 64;

sockaddr_in to_sockaddr(Address a) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(a.ip);
  out.sin_port = htons(a.port);
  return out;
}
Address from_sockaddr(const sockaddr_in& a) { return {ntohl(a.sin_addr.s_addr), ntohs(a.sin_port)}; }

int stream_socket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }
void set_option(int fd, int level, int name, int value) {
  ::setsockopt(fd, level, name, &value, sizeof value);  // a refusal costs speed alone
}

CloseReason reason_of(int error) {
  switch (error) {
    case ECONNREFUSED:
      return CloseReason::refused;
    case ECONNRESET:
    case EPIPE:
      return CloseReason::reset;
    case ETIMEDOUT:
    case EHOSTUNREACH:
    case ENETUNREACH:
      return CloseReason::timed_out;
    default:
      return CloseReason::failed;
  }
}

}  // namespace

const char* close_reason_name(CloseReason reason) {
  constexpr const char* kNames[] = {
      "by_us", "ended", "reset", "refused", "timed_out", "peer_does_not_read", "untrusted", "failed"};
  return kNames[static_cast<std::size_t>(reason)];
}

Connection::Connection(Reactor& reactor, Fd fd, Address peer, ConnectionOptions options, bool dialling)
    : reactor_(reactor), fd_(std::move(fd)), peer_(peer), options_(std::move(options)), dialling_(dialling) {
  if (options_.tls) tls_ = std::make_unique<TlsEngine>(options_.tls, options_.tls_peer_name);
}

Connection::~Connection() { drop(); }

std::shared_ptr<Connection> Connection::dial(Reactor& reactor, Address to, Address from,
                                             ConnectionOptions options) {
  Fd fd(stream_socket());
  int error = fd ? 0 : errno;
  if (fd && from.ip != 0) {
    set_option(fd.get(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
    sockaddr_in source = to_sockaddr(from);
    if (::bind(fd.get(), reinterpret_cast<sockaddr*>(&source), sizeof source) != 0) error = errno;
  }
  if (error == 0) {
    set_option(fd.get(), IPPROTO_TCP, TCP_NODELAY, 1);
    sockaddr_in target = to_sockaddr(to);
    if (::connect(fd.get(), reinterpret_cast<sockaddr*>(&target), sizeof target) != 0 && errno != EINPROGRESS)
      error = errno;
  }
  std::shared_ptr<Connection> made(new Connection(reactor, std::move(fd), to, std::move(options), true));
  if (error != 0) made->fail_later(reason_of(error));
  return made;
}

std::shared_ptr<Connection> Connection::from_accepted_socket(Reactor& reactor, Fd fd, Address peer,
                                                             ConnectionOptions options) {
  set_option(fd.get(), IPPROTO_TCP, TCP_NODELAY, 1);
  return std::shared_ptr<Connection>(new Connection(reactor, std::move(fd), peer, std::move(options), false));
}

void Connection::fail_later(CloseReason reason) {
  closing_ = true;  // nothing is watched any more, one report is due
  reactor_.defer([self = shared_from_this(), reason] { self->finish(reason); });
}

void Connection::start(Callbacks callbacks) {
  callbacks_ = std::make_shared<Callbacks>(std::move(callbacks));
  if (!closing_) reactor_.watch(fd_.get(), shared_from_this());
}

bool Connection::send(std::shared_ptr<const std::string> bytes) {
  if (!fd_ || closing_ || ending_ || bytes->empty()) return static_cast<bool>(fd_);
  if (!tls_) {
    enqueue(std::move(bytes));
  } else {
    try {
      tls_->write(*bytes);
    } catch (const TlsError&) {
      fail_later(CloseReason::untrusted);
      return false;
    }
    enqueue(std::make_shared<const std::string>(tls_->take_wire()));
  }
  if (!fd_) return false;
  if (unsent_ <= options_.max_unsent_bytes) return true;
  fail_later(CloseReason::peer_does_not_read);
  return false;
}

void Connection::enqueue(std::shared_ptr<const std::string> bytes) {
  if (bytes->empty()) return;
  unsent_ += bytes->size();
  queue_.push_back(std::move(bytes));
  if (!dialling_) write_some();
}

void Connection::shutdown_write() {
  ending_ = true;
  if (!dialling_) write_some();
}

void Connection::close_after_flush() {
  if (!fd_ || closing_) return;
  callbacks_.reset();
  shutdown_write();
  if (!fd_) return;
  if (shut_ && peer_ended_) return drop();
  reactor_.call_at(reactor_.now() + kSendOutMost, [self = shared_from_this()] { self->drop(); });
}

void Connection::close() { drop(); }

void Connection::reset() {
  if (fd_) {
    linger hard{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  }
  drop();
}

void Connection::drop() {
  if (!fd_) return;
  reactor_.unwatch(fd_.get());
  fd_.reset();
  queue_.clear();
  unsent_ = 0;
  callbacks_.reset();
}

void Connection::finish(CloseReason reason) {
  bool live = static_cast<bool>(fd_) || closing_;
  auto hold = callbacks_;
  drop();
  closing_ = false;
  if (live && hold && hold->on_closed) hold->on_closed(reason);
}

void Connection::read_available() {
  if (!dialling_) read_some();
}

void Connection::set_reading_paused(bool paused) {
  bool resumed = paused_ && !paused;
  paused_ = paused;
  if (resumed && fd_) reactor_.defer([self = shared_from_this()] { self->read_some(); });
}

void Connection::on_ready(std::uint32_t events) {
  if (!fd_ || closing_) return;
  if (dialling_) {
    if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) return;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return finish(reason_of(error));
    dialling_ = false;
    if (tls_) {  // `connected` is told once the peer is trusted
      tls_->begin();
      enqueue(std::make_shared<const std::string>(tls_->take_wire()));
    } else if (auto hold = callbacks_; hold && hold->on_connected) {
      hold->on_connected();
    }
    if (!fd_) return;
  }
  if (events & EPOLLOUT) write_some();
  if (fd_ && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))) read_some();
}

bool Connection::take(std::string_view bytes) {
  std::string plain;
  if (tls_) {
    bool fresh = !tls_->established();
    try {
      plain = tls_->read(bytes);
    } catch (const TlsError&) {
      enqueue(std::make_shared<const std::string>(tls_->take_wire()));  // the alert that tells the peer why
      finish(CloseReason::untrusted);
      return false;
    }
    enqueue(std::make_shared<const std::string>(tls_->take_wire()));
    if (fresh && tls_->established())
      if (auto hold = callbacks_; hold && hold->on_connected) hold->on_connected();
    bytes = plain;
  }
  if (auto hold = callbacks_; fd_ && !closing_ && !bytes.empty() && hold && hold->on_data)
    hold->on_data(bytes);
  return fd_ && !closing_ && !paused_;
}

void Connection::read_some() {
  if (!fd_ || closing_ || paused_ || peer_ended_) return;
  char block[kReadBlock];
  std::size_t came = 0;
  while (came < options_.max_read_bytes_per_iteration) {
    ssize_t n = ::read(fd_.get(), block, sizeof block);
    if (n > 0) {
      came += static_cast<std::size_t>(n);
      if (!take({block, static_cast<std::size_t>(n)})) return;
      continue;
    }
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (n < 0) return finish(reason_of(errno));
    peer_ended_ = true;
    if (ending_ && shut_) return finish(CloseReason::end_of_stream);
    if (auto hold = callbacks_; hold && hold->on_peer_shutdown) return hold->on_peer_shutdown();
    return finish(CloseReason::end_of_stream);
  }
  if (std::exchange(more_to_read_, true)) return;
  reactor_.defer([self = shared_from_this()] {  // no edge will tell of what is left
    self->more_to_read_ = false;
    self->read_some();
  });
}

void Connection::write_some() {
  while (fd_ && !queue_.empty()) {
    iovec parts[kIovMost];
    int count = 0;
    std::size_t skip = front_sent_;
    for (auto part = queue_.begin(); part != queue_.end() && count < kIovMost; ++part, skip = 0)
      parts[count++] = {const_cast<char*>((*part)->data()) + skip, (*part)->size() - skip};
    msghdr message{};
    message.msg_iov = parts;
    message.msg_iovlen = static_cast<std::size_t>(count);
    ssize_t n = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (n < 0) return fail_later(reason_of(errno));
    unsent_ -= static_cast<std::size_t>(n);
    front_sent_ += static_cast<std::size_t>(n);
    while (!queue_.empty() && front_sent_ >= queue_.front()->size()) {
      front_sent_ -= queue_.front()->size();
      queue_.pop_front();
    }
  }
  if (!fd_ || !ending_ || shut_) return;
  shut_ = true;
  ::shutdown(fd_.get(), SHUT_WR);
  if (peer_ended_) fail_later(CloseReason::end_of_stream);
}

// ---- Listener ----

struct Listener::Acceptor final : EventHandler, std::enable_shared_from_this<Acceptor> {
  Acceptor(Reactor& r, AcceptCallback a, ConnectionOptions l)
      : reactor(r), accept(std::move(a)), options(std::move(l)) {}

  void on_ready(std::uint32_t) override {
    while (listening) {
      sockaddr_in peer{};
      socklen_t size = sizeof peer;
      Fd fd(::accept4(listening.get(), reinterpret_cast<sockaddr*>(&peer), &size,
                      SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (fd) {
        accept(Connection::from_accepted_socket(reactor, std::move(fd), from_sockaddr(peer), options));
        continue;
      }
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if ((errno == EMFILE || errno == ENFILE) && reserve) {
        reserve.reset();
        Fd shed(::accept4(listening.get(), nullptr, nullptr, SOCK_CLOEXEC));
        bool was_one = static_cast<bool>(shed);  // the kernel takes a descriptor before it looks who waits
        shed.reset();
        reserve.reset(::open("/dev/null", O_RDONLY | O_CLOEXEC));
        if (!was_one) return;
        ++turned_away;
        continue;
      }
      // Some other shortage. No edge comes for who waits already, so a timer looks again.
      reactor.call_at(reactor.now() + kAcceptPause, [self = shared_from_this()] { self->on_ready(0); });
      return;
    }
  }

  Reactor& reactor;
  AcceptCallback accept;
  ConnectionOptions options;
  Fd listening, reserve{::open("/dev/null", O_RDONLY | O_CLOEXEC)};
  std::size_t turned_away = 0;
};

Listener::Listener(Reactor& reactor, Address at, AcceptCallback accept, ConnectionOptions options)
    : reactor_(reactor), acceptor_(std::make_shared<Acceptor>(reactor, std::move(accept), options)) {
  acceptor_->listening.reset(stream_socket());
  int fd = acceptor_->listening.get();
  set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  sockaddr_in name = to_sockaddr(at);
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 ||
      ::listen(fd, kBacklog) != 0) {
    int error = errno;  // before the text is made, which may change it
    throw std::system_error(error, std::generic_category(), "cannot listen at " + to_string(at));
  }
  socklen_t size = sizeof name;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &size);
  address_ = from_sockaddr(name);
  reactor_.watch(fd, acceptor_);
}

Listener::~Listener() {
  reactor_.unwatch(acceptor_->listening.get());
  acceptor_->listening.reset();
}

std::size_t Listener::rejected_connections() const { return acceptor_->turned_away; }

}  // namespace beamshunt::net
