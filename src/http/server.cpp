#include "http/server.h"

#include <algorithm>

namespace beamshunt::http {

// ---- Server ----

struct Responder::Exchange {
  std::weak_ptr<Server::Session> session;
  net::Address peer;
  std::string out;  // what waits for the answers before it
  bool keep_alive = true, done = false;
  ~Exchange();
};

struct Server::Session final : Parser::Sink, std::enable_shared_from_this<Server::Session> {
  Session(Server& s, std::shared_ptr<net::Connection> c)
      : server(&s), connection(std::move(c)), parser(Parser::Kind::request, *this, s.options_.limits) {}

  void start() {
    connection->start({{},
                       [this](std::string_view bytes) { feed(bytes); },
                       [this] { peer_ended = true, flush(); },
                       [this](net::CloseReason) { gone(); }});
  }
  void feed(std::string_view bytes) {
    if (refused) return;  // read and dropped, lest the peer's unread bytes reset our last words
    auto self = shared_from_this();
    try {
      parser.feed(bytes);
    } catch (const ParseError& error) {
      refused = true;
      if (server && server->options_.on_malformed_request)
        server->options_.on_malformed_request(connection->peer(), error);
      Message answer = make_response(error.status, std::string(error.what()) + "\n", "text/plain");
      answer.keep_alive = false;
      auto exchange = open_exchange();
      exchange->keep_alive = false;
      exchange->out = serialize(answer);
      exchange->done = true;
      flush();
    }
  }
  std::shared_ptr<Responder::Exchange> open_exchange() {
    auto exchange = std::make_shared<Responder::Exchange>();
    exchange->session = weak_from_this();
    exchange->peer = connection->peer();
    waiting.push_back(exchange);
    return exchange;
  }
  void on_message(Message&& request) override {
    auto exchange = open_exchange();
    exchange->keep_alive = request.keep_alive;
    if (waiting.size() >= server->options_.max_pipelined_requests) connection->set_reading_paused(true);
    server->handle_(std::move(request), Responder(exchange));
  }
  void flush() {
    auto self = shared_from_this();
    while (!waiting.empty()) {
      auto front = waiting.front().lock();
      if (!front) return reset();  // its responder was dropped
      if (!front->out.empty() && !connection->send(std::exchange(front->out, {}))) return;
      if (!front->done) return;
      waiting.pop_front();
      if (!front->keep_alive) {
        auto closing = connection;
        gone();
        return closing->close_after_flush();
      }
      if (server && waiting.size() + 1 == server->options_.max_pipelined_requests)
        connection->set_reading_paused(false);
    }
    if (peer_ended) {
      auto closing = connection;
      gone();
      closing->close_after_flush();
    }
  }
  void reset() {
    auto closing = connection;
    gone();
    closing->reset();
  }
  void gone() {
    auto self = shared_from_this();
    waiting.clear();
    if (auto* owner = std::exchange(server, nullptr)) owner->sessions_.erase(self);
  }

  Server* server;  // null once the session is over
  std::shared_ptr<net::Connection> connection;
  Parser parser;
  std::deque<std::weak_ptr<Responder::Exchange>> waiting;
  bool peer_ended = false, refused = false;
};

Responder::Exchange::~Exchange() {
  if (done) return;
  if (auto s = session.lock(); s && s->server) s->reset();
}

void Responder::send(const Message& message) const {
  auto& x = *exchange_;
  if (x.done) return;
  Message copy = message;
  copy.keep_alive &= x.keep_alive;
  x.keep_alive = copy.keep_alive;
  x.out = serialize(copy);
  x.done = true;
  if (auto s = x.session.lock(); s && s->server) s->flush();
}

bool Responder::begin_stream(int status, std::string_view type) const {
  Message head = make_response(status, {});
  head.headers.emplace_back("content-type", type);
  head.headers.emplace_back("transfer-encoding", "chunked");
  exchange_->out += serialize(head);
  return send_chunk({});
}

bool Responder::send_chunk(std::string_view piece) const {
  if (!piece.empty()) exchange_->out += encode_chunk(piece);
  auto s = exchange_->session.lock();
  if (!s || !s->server) return false;
  s->flush();
  return is_connected();
}

void Responder::end_stream() const {
  if (exchange_->done) return;
  exchange_->out += encode_chunk({});
  exchange_->done = true;
  if (auto s = exchange_->session.lock(); s && s->server) s->flush();
}

void Responder::reset() const {
  exchange_->done = true;
  if (auto s = exchange_->session.lock(); s && s->server) s->reset();
}

bool Responder::is_connected() const {
  auto s = exchange_->session.lock();
  return s && s->server && s->connection->is_open();
}

net::Address Responder::peer() const { return exchange_->peer; }

Server::Server(net::Reactor& reactor, net::Address at, RequestHandler handle, Options options)
    : reactor_(reactor), handle_(std::move(handle)), options_(std::move(options)) {
  listener_ = std::make_unique<net::Listener>(
      reactor_, at,
      [this](std::shared_ptr<net::Connection> c) {
        if (options_.accept_peer && !options_.accept_peer(c->peer())) return c->close();
        auto session = std::make_shared<Session>(*this, std::move(c));
        sessions_.insert(session);
        session->start();
      },
      net::ConnectionOptions{.tls = options_.tls});
}

Server::~Server() { reset_connections(); }

void Server::reset_connections() {
  for (auto& session : std::exchange(sessions_, {})) session->reset();
}

// ---- Client ----

struct Client::Link final : Parser::Sink, std::enable_shared_from_this<Client::Link> {
  Link(Client& c, net::Address t)
      : client(&c), to(t), parser(Parser::Kind::response, *this, c.options_.limits) {}

  void dial() {
    connection =
        net::Connection::dial(client->reactor_, to, client->options_.source,
                              {.tls = client->options_.tls, .tls_peer_name = client->options_.tls_peer_name});
    dialling = true;
    connection->start({[this] { dialling = false, arm(); }, [this](std::string_view bytes) { feed(bytes); },
                       [this] { ended(); },
                       [this](net::CloseReason reason) {
                         bool never = std::exchange(dialling, false);
                         fail(never ? Failure::connect_failed : Failure::connection_lost,
                              net::close_reason_name(reason));
                       }});
  }
  void arm() {  // the time that the present state may last
    disarm();
    Ms wait = dialling ? std::min(client->options_.connect_timeout_ms, timeout_ms) : timeout_ms;
    timer = client->reactor_.call_at(client->reactor_.now() + wait, [this] {
      armed = false;
      fail(dialling ? Failure::connect_failed : Failure::timed_out,
           dialling ? "no connection in time" : "no answer in time");
    });
    armed = true;
  }
  void disarm() {
    if (std::exchange(armed, false)) client->reactor_.cancel_timer(timer);
  }
  void feed(std::string_view bytes) {
    auto self = shared_from_this();
    if (call == 0) return drop();  // an answer that nobody asked for
    if (piece) arm();
    try {
      parser.feed(bytes);
    } catch (const ParseError& error) {
      fail(Failure::malformed, error.what());
    }
  }
  void ended() {
    auto self = shared_from_this();
    if (call != 0) {
      try {
        parser.finish();
      } catch (const ParseError& error) {
        return fail(Failure::connection_lost, error.what());
      }
    }
    if (client) fail(Failure::connection_lost, "ended");
  }
  bool on_body(std::string_view part) override {
    // The body of a refusal is no part of what is listened for: it comes whole, with its status, in the
    // answer.
    if (!piece || parser.status() != 200) return false;
    auto give = piece;
    give(part);
    return true;
  }
  void on_message(Message&& message) override {
    if (!client || call == 0) return;
    auto self = shared_from_this();
    disarm();
    Result answer{.failure = Failure::none,
                  .detail = {},
                  .response = std::move(message),
                  .new_connection = fresh,
                  .request_sent = true};
    auto tell = finish_call();
    // No place is made for connections to this address until one is kept: start() takes the last of a place.
    auto kept = client->idle_.find(to);
    std::size_t idle = kept == client->idle_.end() ? 0 : kept->second.size();
    if (!answer.response.keep_alive || !connection->is_open() ||
        idle >= client->options_.max_idle_connections) {
      drop();
    } else {
      fresh = false;
      client->idle_[to].push_back(self);
      timer = client->reactor_.call_at(client->reactor_.now() + client->options_.idle_timeout_ms, [this] {
        armed = false;
        auto hold = shared_from_this();
        forget_idle();
        drop();
      });
      armed = true;
    }
    tell(std::move(answer));
  }
  ResultCallback finish_call() {
    client->busy_.erase(std::exchange(call, 0));
    piece = nullptr;
    return std::exchange(tell_done, nullptr);
  }
  void forget_idle() {
    auto found = client->idle_.find(to);
    if (found == client->idle_.end()) return;
    std::erase(found->second, shared_from_this());
    if (found->second.empty()) client->idle_.erase(found);
  }
  void fail(Failure failure, std::string detail) {
    if (!client) return;
    auto self = shared_from_this();
    disarm();
    if (call == 0) {
      forget_idle();
      return drop();
    }
    Result answer{.failure = failure,
                  .detail = std::move(detail),
                  .response = {},
                  .new_connection = fresh,
                  .request_sent = !dialling && failure != Failure::connect_failed};
    auto tell = finish_call();
    drop();
    tell(std::move(answer));
  }
  void drop() {
    if (!client) return;
    disarm();
    client = nullptr;
    connection->close();
  }

  Client* client;  // null once the link is over
  net::Address to;
  std::shared_ptr<net::Connection> connection;
  Parser parser;
  CallId call = 0;
  Ms timeout_ms = 0;
  std::function<void(std::string_view)> piece;
  ResultCallback tell_done;
  net::Reactor::TimerId timer{};
  bool armed = false, dialling = false, fresh = true;
};

Client::~Client() {
  for (auto& [call, link] : std::exchange(busy_, {})) link->drop();
  for (auto& [to, links] : std::exchange(idle_, {}))
    for (auto& link : links) link->drop();
}

Client::CallId Client::send_request(net::Address to, const Message& message, Ms timeout_ms,
                                    ResultCallback done) {
  return start(to, message, timeout_ms, nullptr, std::move(done));
}

Client::CallId Client::stream_response(net::Address to, const Message& message, Ms quiet_ms,
                                       std::function<void(std::string_view)> piece, ResultCallback done) {
  return start(to, message, quiet_ms, std::move(piece), std::move(done));
}

Client::CallId Client::start(net::Address to, const Message& message, Ms timeout_ms,
                             std::function<void(std::string_view)> piece, ResultCallback done) {
  std::shared_ptr<Link> link;
  if (auto kept = idle_.find(to); kept != idle_.end()) {
    link = kept->second.back();  // the one used last is the likeliest to live
    link->disarm();
    link->forget_idle();
  } else {
    link = std::make_shared<Link>(*this, to);
    link->dial();
  }
  link->call = next_++;
  link->timeout_ms = timeout_ms;
  link->piece = std::move(piece);
  link->tell_done = std::move(done);
  link->parser.set_request_method(message.method);
  busy_[link->call] = link;
  CallId call = link->call;
  link->arm();
  link->connection->send(serialize(message));
  return call;
}

void Client::cancel(CallId call) {
  auto found = busy_.extract(call);
  if (!found.empty()) found.mapped()->drop();
}

void Client::close_idle(net::Address to) {
  auto found = idle_.extract(to);
  if (found.empty()) return;
  for (auto& link : found.mapped()) link->drop();
}

}  // namespace beamshunt::http
