// HTTP/1.1 on the Reactor: a server whose answers may come later, and a client with kept connections.
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

// One request's way back. Copies share it; it is answered once, and answers go out in the order of the
// requests. Dropped unanswered, its connection is reset.
class Responder {
 public:
  struct Exchange;
  explicit Responder(std::shared_ptr<Exchange> exchange) : exchange_(std::move(exchange)) {}
  void send(const Message& message) const;
  // A chunked answer of unknown length: head, then pieces; false once the peer is gone.
  bool begin_stream(int status, std::string_view type) const;
  bool send_chunk(std::string_view piece) const;
  void end_stream() const;
  void reset() const;  // the connection breaks
  bool is_connected() const;
  net::Address peer() const;

 private:
  std::shared_ptr<Exchange> exchange_;
};

class Server {
 public:
  using RequestHandler = std::function<void(Message&& request, Responder responder)>;
  struct Options {
    Limits limits{};
    std::size_t max_pipelined_requests = 64;  // more waiting requests of one connection are not read
    std::shared_ptr<const net::TlsContext> tls{};
    std::function<bool(net::Address)> accept_peer{};  // else closed at once
    std::function<void(net::Address, const ParseError&)> on_malformed_request{};
  };
  Server(net::Reactor& reactor, net::Address at, RequestHandler handle, Options options);
  ~Server();
  net::Address address() const { return listener_->address(); }
  void reset_connections();  // breaks every connection
  std::size_t connection_count() const { return sessions_.size(); }

  struct Session;

 private:
  net::Reactor& reactor_;
  RequestHandler handle_;
  Options options_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::unique_ptr<net::Listener> listener_;
};

class Client {
 public:
  enum class Failure { none, connect_failed, timed_out, connection_lost, malformed };
  struct Result {
    Failure failure = Failure::none;
    std::string detail;           // of a failure
    Message response;             // where there is none
    bool new_connection = false;  // came by a newly dialled connection
    bool request_sent = false;    // the request's bytes went to a connection
  };
  using ResultCallback = std::function<void(Result&&)>;
  using CallId = std::uint64_t;
  struct Options {
    net::Address source{};  // source address of the connections
    Ms idle_timeout_ms = 15000, connect_timeout_ms = 1000;
    std::size_t max_idle_connections = 64;  // kept connections to one address
    Limits limits{};
    std::shared_ptr<const net::TlsContext> tls{};
    std::string tls_peer_name{};
  };

  Client(net::Reactor& reactor, Options options) : reactor_(reactor), options_(std::move(options)) {}
  ~Client();
  CallId send_request(net::Address to, const Message& message, Ms timeout_ms, ResultCallback done);
  // The same for an answer without end: `piece` is given each part of the body of a 200; `done` follows at
  // its end or failure. `quiet_ms` is the longest time without a byte.
  CallId stream_response(net::Address to, const Message& message, Ms quiet_ms,
                         std::function<void(std::string_view)> piece, ResultCallback done);
  void cancel(CallId call);          // no answer follows; its connection is closed
  void close_idle(net::Address to);  // closes kept connections

  struct Link;

 private:
  friend struct Link;
  CallId start(net::Address to, const Message& message, Ms timeout_ms,
               std::function<void(std::string_view)> piece, ResultCallback done);
  net::Reactor& reactor_;
  Options options_;
  CallId next_ = 1;
  std::map<CallId, std::shared_ptr<Link>> busy_;
  std::map<net::Address, std::deque<std::shared_ptr<Link>>> idle_;
};

}  // namespace beamshunt::http
