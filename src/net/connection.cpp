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

constexpr Ms kMaxFlushTime = 2000;    // time for the peer to read the last bytes of a connection that closes
constexpr Ms kAcceptRetryDelay = 20;  // delay after accept() has failed for lack of resources
constexpr std::size_t kReadBufferBytes = 65536;
constexpr int kListenBacklog = 4096;
constexpr int kMaxBuffersPerWrite = 64;

sockaddr_in to_sockaddr(Address address) {
  sockaddr_in native{};
  native.sin_family = AF_INET;
  native.sin_addr.s_addr = htonl(address.ip);
  native.sin_port = htons(address.port);
  return native;
}
Address from_sockaddr(const sockaddr_in& address) {
  return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

int open_tcp_socket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }
void set_option(int fd, int level, int name, int value) {
  // Failures are ignored: the options that are set here only affect performance.
  ::setsockopt(fd, level, name, &value, sizeof value);
}

CloseReason close_reason_of(int error) {
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

Connection::~Connection() { close_socket(); }

std::shared_ptr<Connection> Connection::dial(Reactor& reactor, Address to, Address from,
                                             ConnectionOptions options) {
  Fd fd(open_tcp_socket());
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
  std::shared_ptr<Connection> connection(
      new Connection(reactor, std::move(fd), to, std::move(options), true));
  if (error != 0) connection->finish_later(close_reason_of(error));
  return connection;
}

std::shared_ptr<Connection> Connection::from_accepted_socket(Reactor& reactor, Fd fd, Address peer,
                                                             ConnectionOptions options) {
  set_option(fd.get(), IPPROTO_TCP, TCP_NODELAY, 1);
  return std::shared_ptr<Connection>(new Connection(reactor, std::move(fd), peer, std::move(options), false));
}

void Connection::finish_later(CloseReason reason) {
  finish_pending_ = true;  // events are ignored from here on; only finish() is still due
  reactor_.defer([self = shared_from_this(), reason] { self->finish(reason); });
}

void Connection::start(Callbacks callbacks) {
  callbacks_ = std::make_shared<Callbacks>(std::move(callbacks));
  if (!finish_pending_) reactor_.watch(fd_.get(), shared_from_this());
}

bool Connection::send(std::shared_ptr<const std::string> bytes) {
  if (!fd_ || finish_pending_ || shutdown_requested_ || bytes->empty()) return static_cast<bool>(fd_);
  if (!tls_) {
    enqueue(std::move(bytes));
  } else {
    try {
      tls_->encrypt(*bytes);
    } catch (const TlsError&) {
      finish_later(CloseReason::untrusted);
      return false;
    }
    enqueue(std::make_shared<const std::string>(tls_->drain_output()));
  }
  if (!fd_) return false;
  if (unsent_bytes_ <= options_.max_unsent_bytes) return true;
  finish_later(CloseReason::peer_does_not_read);
  return false;
}

void Connection::enqueue(std::shared_ptr<const std::string> bytes) {
  if (bytes->empty()) return;
  unsent_bytes_ += bytes->size();
  send_queue_.push_back(std::move(bytes));
  if (!dialling_) write_socket();
}

void Connection::shutdown_write() {
  shutdown_requested_ = true;
  if (!dialling_) write_socket();
}

void Connection::close_after_flush() {
  if (!fd_ || finish_pending_) return;
  callbacks_.reset();
  shutdown_write();
  if (!fd_) return;
  if (write_shut_down_ && peer_shut_down_) return close_socket();
  reactor_.call_at(reactor_.now() + kMaxFlushTime, [self = shared_from_this()] { self->close_socket(); });
}

void Connection::close() { close_socket(); }

void Connection::reset() {
  if (fd_) {
    linger immediate{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
  }
  close_socket();
}

void Connection::close_socket() {
  if (!fd_) return;
  reactor_.unwatch(fd_.get());
  fd_.reset();
  send_queue_.clear();
  unsent_bytes_ = 0;
  callbacks_.reset();
}

void Connection::finish(CloseReason reason) {
  bool was_open = static_cast<bool>(fd_) || finish_pending_;
  auto callbacks = callbacks_;
  close_socket();
  finish_pending_ = false;
  if (was_open && callbacks && callbacks->on_closed) callbacks->on_closed(reason);
}

void Connection::read_available() {
  if (!dialling_) read_socket();
}

void Connection::set_reading_paused(bool paused) {
  bool resumed = reading_paused_ && !paused;
  reading_paused_ = paused;
  if (resumed && fd_) reactor_.defer([self = shared_from_this()] { self->read_socket(); });
}

void Connection::on_ready(std::uint32_t events) {
  if (!fd_ || finish_pending_) return;
  if (dialling_) {
    if (!(events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) return;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd_.get(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return finish(close_reason_of(error));
    dialling_ = false;
    if (tls_) {  // `on_connected` is called once the handshake has verified the peer
      tls_->start_handshake();
      enqueue(std::make_shared<const std::string>(tls_->drain_output()));
    } else if (auto callbacks = callbacks_; callbacks && callbacks->on_connected) {
      callbacks->on_connected();
    }
    if (!fd_) return;
  }
  if (events & EPOLLOUT) write_socket();
  if (fd_ && (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR))) read_socket();
}

bool Connection::process_received(std::string_view bytes) {
  std::string plaintext;
  if (tls_) {
    bool handshake_pending = !tls_->is_established();
    try {
      plaintext = tls_->decrypt(bytes);
    } catch (const TlsError&) {
      // The TLS engine may have produced an alert that informs the peer of the failure.
      enqueue(std::make_shared<const std::string>(tls_->drain_output()));
      finish(CloseReason::untrusted);
      return false;
    }
    enqueue(std::make_shared<const std::string>(tls_->drain_output()));
    if (handshake_pending && tls_->is_established())
      if (auto callbacks = callbacks_; callbacks && callbacks->on_connected) callbacks->on_connected();
    bytes = plaintext;
  }
  if (auto callbacks = callbacks_;
      fd_ && !finish_pending_ && !bytes.empty() && callbacks && callbacks->on_data)
    callbacks->on_data(bytes);
  return fd_ && !finish_pending_ && !reading_paused_;
}

void Connection::read_socket() {
  if (!fd_ || finish_pending_ || reading_paused_ || peer_shut_down_) return;
  char buffer[kReadBufferBytes];
  std::size_t received = 0;
  while (received < options_.max_read_bytes_per_iteration) {
    ssize_t size = ::read(fd_.get(), buffer, sizeof buffer);
    if (size > 0) {
      received += static_cast<std::size_t>(size);
      if (!process_received({buffer, static_cast<std::size_t>(size)})) return;
      continue;
    }
    if (size < 0 && errno == EINTR) continue;
    if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (size < 0) return finish(close_reason_of(errno));
    peer_shut_down_ = true;
    if (shutdown_requested_ && write_shut_down_) return finish(CloseReason::end_of_stream);
    if (auto callbacks = callbacks_; callbacks && callbacks->on_peer_shutdown)
      return callbacks->on_peer_shutdown();
    return finish(CloseReason::end_of_stream);
  }
  if (std::exchange(read_deferred_, true)) return;
  // Edge-triggered epoll reports no further event for the bytes that are left in the socket.
  reactor_.defer([self = shared_from_this()] {
    self->read_deferred_ = false;
    self->read_socket();
  });
}

void Connection::write_socket() {
  while (fd_ && !send_queue_.empty()) {
    iovec buffers[kMaxBuffersPerWrite];
    int buffer_count = 0;
    std::size_t offset = front_sent_bytes_;
    for (auto buffer = send_queue_.begin(); buffer != send_queue_.end() && buffer_count < kMaxBuffersPerWrite;
         ++buffer, offset = 0)
      buffers[buffer_count++] = {const_cast<char*>((*buffer)->data()) + offset, (*buffer)->size() - offset};
    msghdr message{};
    message.msg_iov = buffers;
    message.msg_iovlen = static_cast<std::size_t>(buffer_count);
    ssize_t sent = ::sendmsg(fd_.get(), &message, MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
    if (sent < 0) return finish_later(close_reason_of(errno));
    unsent_bytes_ -= static_cast<std::size_t>(sent);
    front_sent_bytes_ += static_cast<std::size_t>(sent);
    while (!send_queue_.empty() && front_sent_bytes_ >= send_queue_.front()->size()) {
      front_sent_bytes_ -= send_queue_.front()->size();
      send_queue_.pop_front();
    }
  }
  if (!fd_ || !shutdown_requested_ || write_shut_down_) return;
  write_shut_down_ = true;
  ::shutdown(fd_.get(), SHUT_WR);
  if (peer_shut_down_) finish_later(CloseReason::end_of_stream);
}

// ---- Listener ----

struct Listener::Acceptor final : EventHandler, std::enable_shared_from_this<Acceptor> {
  Acceptor(Reactor& event_loop, AcceptCallback on_accept, ConnectionOptions connection_options)
      : reactor(event_loop), accept(std::move(on_accept)), options(std::move(connection_options)) {}

  void on_ready(std::uint32_t) override {
    while (listening_socket) {
      sockaddr_in peer{};
      socklen_t size = sizeof peer;
      Fd fd(::accept4(listening_socket.get(), reinterpret_cast<sockaddr*>(&peer), &size,
                      SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (fd) {
        accept(Connection::from_accepted_socket(reactor, std::move(fd), from_sockaddr(peer), options));
        continue;
      }
      if (errno == EAGAIN || errno == EWOULDBLOCK) return;
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if ((errno == EMFILE || errno == ENFILE) && reserved_descriptor) {
        reserved_descriptor.reset();
        Fd rejected(::accept4(listening_socket.get(), nullptr, nullptr, SOCK_CLOEXEC));
        // The kernel allocates a descriptor before it checks for waiting connections, so accept4() can report
        // a lack of descriptors when no connection waits.
        bool was_waiting = static_cast<bool>(rejected);
        rejected.reset();
        reserved_descriptor.reset(::open("/dev/null", O_RDONLY | O_CLOEXEC));
        if (!was_waiting) return;
        ++rejected_connections;
        continue;
      }
      // Another resource is exhausted. Edge-triggered epoll reports no further event for connections that
      // already wait, so a timer retries.
      reactor.call_at(reactor.now() + kAcceptRetryDelay, [self = shared_from_this()] { self->on_ready(0); });
      return;
    }
  }

  Reactor& reactor;
  AcceptCallback accept;
  ConnectionOptions options;
  Fd listening_socket, reserved_descriptor{::open("/dev/null", O_RDONLY | O_CLOEXEC)};
  std::size_t rejected_connections = 0;
};

Listener::Listener(Reactor& reactor, Address bind_address, AcceptCallback accept, ConnectionOptions options)
    : reactor_(reactor), acceptor_(std::make_shared<Acceptor>(reactor, std::move(accept), options)) {
  acceptor_->listening_socket.reset(open_tcp_socket());
  int fd = acceptor_->listening_socket.get();
  set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  sockaddr_in socket_address = to_sockaddr(bind_address);
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) != 0 ||
      ::listen(fd, kListenBacklog) != 0) {
    int error = errno;  // saved because the construction of the message may change errno
    throw std::system_error(error, std::generic_category(), "cannot listen at " + to_string(bind_address));
  }
  socklen_t size = sizeof socket_address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&socket_address), &size);
  address_ = from_sockaddr(socket_address);
  reactor_.watch(fd, acceptor_);
}

Listener::~Listener() {
  reactor_.unwatch(acceptor_->listening_socket.get());
  acceptor_->listening_socket.reset();
}

std::size_t Listener::rejected_connections() const { return acceptor_->rejected_connections; }

}  // namespace beamshunt::net
