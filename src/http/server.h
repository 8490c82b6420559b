// HTTP/1.1 server and client on a Reactor. The server supports asynchronous responses; the client keeps idle
// connections for reuse.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "http/message.h"
#include "net/connection.h"

namespace beamshunt::http {

using base::Ms;

// Sends the response to one request. Copies refer to the same request, which is answered once. Responses
// leave in the order of the requests of their connection. If the last copy is destroyed before the response
// is complete, the connection is reset.
class Responder {
 public:
  // A request and its response.
  struct Exchange;
  explicit Responder(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}
  // Sends a complete response. It does nothing if the response is complete already.
  void send(const Message& message) const;
  // Starts a chunked response of unknown length. Returns false if the connection is closed.
  bool begin_stream(int status, std::string_view type) const;
  // Sends one part of the body of a chunked response. Returns false if the connection is closed.
  bool send_chunk(std::string_view data) const;
  // Completes a chunked response.
  void end_stream() const;
  // Resets the connection.
  void reset() const;
  // Returns whether the connection is open.
  bool is_connected() const;
  net::Address peer() const;

 private:
  std::shared_ptr<Exchange> exchange_;
};

// An HTTP/1.1 server that listens on one address.
class Server {
 public:
  using RequestHandler = std::function<void(Message&& request, Responder responder)>;
  struct Options {
    Limits limits{};
    // Number of unanswered requests on a connection at which the server pauses reading from it.
    std::size_t max_pipelined_requests = 64;
    std::shared_ptr<const net::TlsContext> tls{};  // TLS configuration; null: plain HTTP
    // Returns whether to accept a connection from this peer; other connections are closed at once. An empty
    // function accepts all peers.
    std::function<bool(net::Address)> accept_peer{};
    // Called for each malformed request. The server answers it with an error status and closes the
    // connection.
    std::function<void(net::Address, const ParseError&)> on_malformed_request{};
  };
  // Listens on `bind_address`. Throws std::system_error.
  Server(net::Reactor& reactor, net::Address bind_address, RequestHandler handler, Options options);
  ~Server();
  net::Address address() const { return listener_->address(); }
  // Resets all open connections.
  void reset_connections();
  std::size_t connection_count() const { return sessions_.size(); }

  // One connection of the server.
  struct Session;

 private:
  net::Reactor& reactor_;
  RequestHandler handler_;
  Options options_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::unique_ptr<net::Listener> listener_;
};

// An HTTP/1.1 client. It opens one connection per concurrent request and keeps idle connections for reuse.
class Client {
 public:
  enum class Failure { none, connect_failed, timed_out, connection_lost, malformed };
  struct Result {
    Failure failure = Failure::none;
    std::string detail;           // cause of the failure; empty on success
    Message response;             // empty on failure
    bool new_connection = false;  // true: the connection was opened for this request
    bool request_sent = false;    // true: the request was written to an established connection
  };
  using ResultCallback = std::function<void(Result&&)>;
  using CallId = std::uint64_t;
  struct Options {
    net::Address source{};  // source address of the connections
    Ms idle_timeout_ms = 15000, connect_timeout_ms = 1000;
    std::size_t max_idle_connections = 64;  // idle connections kept per server address
    Limits limits{};
    std::shared_ptr<const net::TlsContext> tls{};  // TLS configuration; null: plain HTTP
    std::string tls_peer_name{};                   // name that the server's certificate must contain
  };

  Client(net::Reactor& reactor, Options options) : reactor_(reactor), options_(std::move(options)) {}
  ~Client();
  // Sends a request. `on_result` is called once, with the response or a failure, unless the call is
  // cancelled. `timeout_ms` limits the wait for the connection and, separately, the wait for the complete
  // response.
  CallId send_request(net::Address to, const Message& message, Ms timeout_ms, ResultCallback on_result);
  // Sends a request whose response may have an unlimited body. `on_data` is called with each part of the body
  // if the status is 200; `on_result` follows when the response has ended or failed. `idle_timeout_ms` limits
  // the time without received bytes.
  CallId stream_response(net::Address to, const Message& message, Ms idle_timeout_ms,
                         std::function<void(std::string_view)> on_data, ResultCallback on_result);
  // Cancels a call and closes its connection. Its callbacks are not called any more.
  void cancel(CallId call);
  // Closes the idle connections to an address.
  void close_idle(net::Address to);

  // One connection of the client.
  struct Link;

 private:
  friend struct Link;
  CallId start(net::Address to, const Message& message, Ms timeout_ms,
               std::function<void(std::string_view)> on_data, ResultCallback on_result);
  net::Reactor& reactor_;
  Options options_;
  CallId next_call_ = 1;
  std::map<CallId, std::shared_ptr<Link>> active_links_;
  std::map<net::Address, std::deque<std::shared_ptr<Link>>> idle_links_;
};

}  // namespace beamshunt::http
