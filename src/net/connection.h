// Streams over TCP on a Reactor: listeners and connections that never block and hold bounded bytes.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/address.h"
#include "net/reactor.h"
#include "net/tls.h"

namespace beamshunt::net {

struct ConnectionOptions {
  std::size_t max_unsent_bytes =
      std::size_t{8} * 1048576;  // bytes; more is the peer's fault, who does not read
  std::size_t max_read_bytes_per_iteration =
      std::size_t{256} * 1024;              // bytes read in one turn of the loop: others get theirs, too
  std::shared_ptr<const TlsContext> tls{};  // speaks TLS if there is one
  std::string tls_peer_name{};              // that a dialled peer's certificate must have
};

// Why a connection ended, as far as this side can tell.
enum class CloseReason {
  closed_locally,
  end_of_stream,
  reset,
  refused,
  timed_out,
  peer_does_not_read,
  untrusted,
  failed
};
const char* close_reason_name(CloseReason reason);

class Connection final : public EventHandler, public std::enable_shared_from_this<Connection> {
 public:
  struct Callbacks {
    std::function<void()> on_connected;             // of a dialled connection
    std::function<void(std::string_view)> on_data;  // what came, in order
    std::function<void()> on_peer_shutdown;         // the peer sends no more; it may still read
    std::function<void(CloseReason)> on_closed;     // once, last; not after close()
  };

  // Dials `to`, from `from` if its ip is given. Never blocks; failure comes by `closed`.
  static std::shared_ptr<Connection> dial(Reactor& reactor, Address to, Address from,
                                          ConnectionOptions options = {});
  static std::shared_ptr<Connection> from_accepted_socket(Reactor& reactor, Fd fd, Address peer,
                                                          ConnectionOptions options = {});
  ~Connection() override;

  // Call once, before the loop turns. Until then nothing is reported.
  void start(Callbacks callbacks);
  // Queues bytes, shared so that one encoding serves many peers. False: the peer reads too slowly; the
  // connection is closing and `closed` follows.
  bool send(std::shared_ptr<const std::string> bytes);
  bool send(std::string bytes) { return send(std::make_shared<const std::string>(std::move(bytes))); }
  void shutdown_write();     // sends what is queued, then no more; the peer may go on
  void close_after_flush();  // closes once what is queued is out, or after the time a peer may take
  void close();              // at once; no callback follows
  void reset();              // at once, and the peer is told by a reset
  void read_available();     // what has come already, without waiting to be told of it
  void set_reading_paused(
      bool paused);  // while paused nothing is read: the kernel's buffers fill, then the peer waits
  bool is_open() const { return static_cast<bool>(fd_); }
  std::size_t unsent_bytes() const { return unsent_; }
  Address peer() const { return peer_; }

  void on_ready(std::uint32_t events) override;

 private:
  Connection(Reactor& reactor, Fd fd, Address peer, ConnectionOptions options, bool dialling);
  void enqueue(std::shared_ptr<const std::string> bytes);
  bool take(std::string_view bytes);  // false: the connection is over, or paused
  void read_some();
  void write_some();
  void finish(CloseReason reason);
  void drop();
  void fail_later(CloseReason reason);

  Reactor& reactor_;
  Fd fd_;
  Address peer_;
  ConnectionOptions options_;
  std::shared_ptr<Callbacks> callbacks_;  // held by whoever calls one: a callback may drop them
  std::unique_ptr<TlsEngine> tls_;
  std::deque<std::shared_ptr<const std::string>> queue_;
  std::size_t front_sent_ = 0, unsent_ = 0;
  bool dialling_ = false, ending_ = false, closing_ = false, paused_ = false, peer_ended_ = false,
       shut_ = false, more_to_read_ = false;
};

// Accepts connections until it is destroyed. Out of descriptors, it turns newcomers away by closing them,
// with a descriptor kept in reserve, rather than letting them wait unheard.
class Listener final {
 public:
  using AcceptCallback = std::function<void(std::shared_ptr<Connection>)>;
  // Throws std::system_error. A port of 0 takes any; address() tells which.
  Listener(Reactor& reactor, Address at, AcceptCallback accept, ConnectionOptions options = {});
  ~Listener();
  Address address() const { return address_; }
  std::size_t rejected_connections() const;

 private:
  struct Acceptor;
  Reactor& reactor_;
  Address address_;
  std::shared_ptr<Acceptor> acceptor_;
};

}  // namespace beamshunt::net
