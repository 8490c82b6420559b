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
  bool stream(std::string_view piece) const;
  void end_stream() const;
  void reset() const;  // the connection breaks
  bool alive() const;
  net::Address peer() const;

 private:
  std::shared_ptr<Exchange> exchange_;
};

class Server {
 public:
  using Handle = std::function<void(Message&& request, Responder responder)>;
  struct Options {
    Limits limits{};
    std::size_t most_pipelined = 64;  // more waiting requests of one connection are not read
    std::shared_ptr<const net::TlsContext> tls{};
    std::function<bool(net::Address)> admit{};  // else closed at once
    std::function<void(net::Address, const ParseError&)> on_bad{};
  };
  Server(net::Reactor& reactor, net::Address at, Handle handle, Options options);
  ~Server();
  net::Address address() const { return listener_->address(); }
  void reset_all();  // breaks every connection
  std::size_t connections() const { return sessions_.size(); }

  struct Session;

 private:
  net::Reactor& reactor_;
  Handle handle_;
  Options options_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::unique_ptr<net::Listener> listener_;
};

class Client {
 public:
  enum class Failure { none, connect, timed_out, broken, malformed };
  struct Answer {
    Failure failure = Failure::none;
    std::string detail;  // of a failure
    Message message;     // where there is none
    bool fresh = false;  // came by a newly dialled connection
    bool sent = false;   // the request's bytes went to a connection
  };
  using Done = std::function<void(Answer&&)>;
  using Call = std::uint64_t;
  struct Options {
    net::Address from{};  // source address of the connections
    Ms idle_ms = 15000, connect_ms = 1000;
    std::size_t most_idle = 64;  // kept connections to one address
    Limits limits{};
    std::shared_ptr<const net::TlsContext> tls{};
    std::string tls_name{};
  };

  Client(net::Reactor& reactor, Options options) : reactor_(reactor), options_(std::move(options)) {}
  ~Client();
  Call ask(net::Address to, const Message& message, Ms timeout_ms, Done done);
  // The same for an answer without end: `piece` is given each part of the body of a 200; `done` follows at
  // its end or failure. `quiet_ms` is the longest time without a byte.
  Call listen(net::Address to, const Message& message, Ms quiet_ms,
              std::function<void(std::string_view)> piece, Done done);
  void cancel(Call call);           // no answer follows; its connection is closed
  void drop_idle(net::Address to);  // closes kept connections

  struct Link;

 private:
  friend struct Link;
  Call start(net::Address to, const Message& message, Ms timeout_ms,
             std::function<void(std::string_view)> piece, Done done);
  net::Reactor& reactor_;
  Options options_;
  Call next_ = 1;
  std::map<Call, std::shared_ptr<Link>> busy_;
  std::map<net::Address, std::deque<std::shared_ptr<Link>>> idle_;
};

}  // namespace beamshunt::http
