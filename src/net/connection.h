// Non-blocking TCP connections and listeners on a Reactor. Their buffers are bounded.
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
  // Bytes that may wait to be sent. A connection whose peer does not read fast enough to stay below the limit
  // is closed.
  std::size_t max_unsent_bytes = std::size_t{8} * 1048576;
  // Bytes read from a connection in one iteration of the loop, so that busy connections do not starve others.
  std::size_t max_read_bytes_per_iteration = std::size_t{256} * 1024;
  std::shared_ptr<const TlsContext> tls{};  // TLS configuration; null: plain TCP
  std::string tls_peer_name{};              // name that the certificate of a dialled peer must contain
};

// Reason for the end of a connection, as seen by this side.
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
// Returns the name of the reason for logs and reports.
const char* close_reason_name(CloseReason reason);

// A TCP connection, with TLS if it is configured. It is used on the thread of its reactor only.
class Connection final : public EventHandler, public std::enable_shared_from_this<Connection> {
 public:
  // Functions that the connection calls on events. Any of them may be empty, and may close the connection.
  struct Callbacks {
    // A dialled connection is established, including the TLS handshake if there is one.
    std::function<void()> on_connected;
    // Bytes were received. They are passed in order.
    std::function<void(std::string_view)> on_data;
    // The peer has shut down its sending direction. It may still read. The connection ends if this callback
    // is empty.
    std::function<void()> on_peer_shutdown;
    // The connection has ended. Called at most once, as the last callback, and not after close().
    std::function<void(CloseReason)> on_closed;
  };

  // Opens a connection to `to`. The source address is `from` unless its IP address is 0. The call does not
  // block; failures are reported by `on_closed`.
  static std::shared_ptr<Connection> dial(Reactor& reactor, Address to, Address from,
                                          ConnectionOptions options = {});
  // Wraps a connected, non-blocking socket.
  static std::shared_ptr<Connection> from_accepted_socket(Reactor& reactor, Fd fd, Address peer,
                                                          ConnectionOptions options = {});
  ~Connection() override;

  // Sets the callbacks and starts to watch the socket. It must be called exactly once, before the next
  // iteration of the loop. No callback is called earlier.
  void start(Callbacks callbacks);
  // Queues bytes for sending. The buffer is shared so that one encoded message can be sent to many peers.
  // Returns false if the connection is closed, or if it will close because the peer reads too slowly or TLS
  // has failed; in the latter cases `on_closed` follows.
  bool send(std::shared_ptr<const std::string> bytes);
  bool send(std::string bytes) { return send(std::make_shared<const std::string>(std::move(bytes))); }
  // Sends the queued bytes, then shuts down the sending direction. The peer may continue to send.
  void shutdown_write();
  // Sends the queued bytes, then closes the connection. It closes after a time limit if the peer does not
  // read. No callback follows.
  void close_after_flush();
  // Closes the connection immediately. No callback follows.
  void close();
  // Closes the connection immediately with a TCP reset. No callback follows.
  void reset();
  // Reads the bytes that have arrived already, without waiting for a readiness event.
  void read_available();
  // Pauses or resumes reading. While reading is paused, the kernel's buffers fill and TCP flow control stops
  // the peer.
  void set_reading_paused(bool paused);
  bool is_open() const { return static_cast<bool>(fd_); }
  // Returns the number of bytes queued and not yet passed to the kernel.
  std::size_t unsent_bytes() const { return unsent_bytes_; }
  Address peer() const { return peer_; }

  void on_ready(std::uint32_t events) override;

 private:
  Connection(Reactor& reactor, Fd fd, Address peer, ConnectionOptions options, bool dialling);
  void enqueue(std::shared_ptr<const std::string> bytes);
  // Decrypts received bytes if necessary and passes them to `on_data`. Returns false if reading must stop
  // because the connection has ended or is paused.
  bool process_received(std::string_view bytes);
  void read_socket();
  void write_socket();
  // Closes the socket and calls `on_closed`.
  void finish(CloseReason reason);
  // Closes the socket without a callback.
  void close_socket();
  // Calls finish() before the loop next blocks. Events that arrive earlier are ignored.
  void finish_later(CloseReason reason);

  Reactor& reactor_;
  Fd fd_;
  Address peer_;
  ConnectionOptions options_;
  // Callers of a callback keep a reference to the set, because a callback may close the connection and so
  // reset this pointer.
  std::shared_ptr<Callbacks> callbacks_;
  std::unique_ptr<TlsEngine> tls_;
  std::deque<std::shared_ptr<const std::string>> send_queue_;
  std::size_t front_sent_bytes_ = 0;  // bytes of the first queued buffer that were sent
  std::size_t unsent_bytes_ = 0;      // unsent bytes of all queued buffers
  bool dialling_ = false, shutdown_requested_ = false, finish_pending_ = false, reading_paused_ = false,
       peer_shut_down_ = false, write_shut_down_ = false, read_deferred_ = false;
};

// Listens on an address and accepts connections until it is destroyed. If the process has no free file
// descriptor, it accepts and closes waiting connections with the help of a reserved descriptor; otherwise
// their peers would get no answer.
class Listener final {
 public:
  using AcceptCallback = std::function<void(std::shared_ptr<Connection>)>;
  // Listens on `bind_address`. For port 0 the kernel selects a free port, which address() returns. `accept`
  // is called with each new connection. Throws std::system_error.
  Listener(Reactor& reactor, Address bind_address, AcceptCallback accept, ConnectionOptions options = {});
  ~Listener();
  Address address() const { return address_; }
  // Returns the number of connections closed for lack of file descriptors.
  std::size_t rejected_connections() const;

 private:
  struct Acceptor;
  Reactor& reactor_;
  Address address_;
  std::shared_ptr<Acceptor> acceptor_;
};

}  // namespace beamshunt::net
