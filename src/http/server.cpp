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
      if (server && server->options_.on_bad) server->options_.on_bad(connection->peer(), error);
      Message answer = response(error.status, std::string(error.what()) + "\n", "text/plain");
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
  void done(Message&& request) override {
    auto exchange = open_exchange();
    exchange->keep_alive = request.keep_alive;
    if (waiting.size() >= server->options_.most_pipelined) connection->pause(true);
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
        return closing->close_after_sending();
      }
      if (server && waiting.size() + 1 == server->options_.most_pipelined) connection->pause(false);
    }
    if (peer_ended) {
      auto closing = connection;
      gone();
      closing->close_after_sending();
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
  Message head = response(status, {});
  head.headers.emplace_back("content-type", type);
  head.headers.emplace_back("transfer-encoding", "chunked");
  exchange_->out += serialize(head);
  return stream({});
}

bool Responder::stream(std::string_view piece) const {
  if (!piece.empty()) exchange_->out += chunk(piece);
  auto s = exchange_->session.lock();
  if (!s || !s->server) return false;
  s->flush();
  return alive();
}

void Responder::end_stream() const {
  if (exchange_->done) return;
  exchange_->out += chunk({});
  exchange_->done = true;
  if (auto s = exchange_->session.lock(); s && s->server) s->flush();
}

void Responder::reset() const {
  exchange_->done = true;
  if (auto s = exchange_->session.lock(); s && s->server) s->reset();
}

bool Responder::alive() const {
  auto s = exchange_->session.lock();
  return s && s->server && s->connection->open();
}

net::Address Responder::peer() const { return exchange_->peer; }

Server::Server(net::Reactor& reactor, net::Address at, Handle handle, Options options)
    : reactor_(reactor), handle_(std::move(handle)), options_(std::move(options)) {
  listener_ = std::make_unique<net::Listener>(
      reactor_, at,
      [this](std::shared_ptr<net::Connection> c) {
        if (options_.admit && !options_.admit(c->peer())) return c->close();
        auto session = std::make_shared<Session>(*this, std::move(c));
        sessions_.insert(session);
        session->start();
      },
      net::ConnectionOptions{.tls = options_.tls});
}

Server::~Server() { reset_all(); }

void Server::reset_all() {
  for (auto& session : std::exchange(sessions_, {})) session->reset();
}

// ---- Client ----

struct Client::Link final : Parser::Sink, std::enable_shared_from_this<Client::Link> {
  Link(Client& c, net::Address t)
      : client(&c), to(t), parser(Parser::Kind::response, *this, c.options_.limits) {}

  void dial() {
    connection = net::Connection::dial(client->reactor_, to, client->options_.from,
                                       {.tls = client->options_.tls, .tls_name = client->options_.tls_name});
    dialling = true;
    connection->start({[this] { dialling = false, arm(); }, [this](std::string_view bytes) { feed(bytes); },
                       [this] { ended(); },
                       [this](net::CloseReason reason) {
                         bool never = std::exchange(dialling, false);
                         fail(never ? Failure::connect : Failure::broken, net::reason_name(reason));
                       }});
  }
  void arm() {  // the time that the present state may last
    disarm();
    Ms wait = dialling ? std::min(client->options_.connect_ms, timeout_ms) : timeout_ms;
    timer = client->reactor_.at(client->reactor_.now() + wait, [this] {
      armed = false;
      fail(dialling ? Failure::connect : Failure::timed_out,
           dialling ? "no connection in time" : "no answer in time");
    });
    armed = true;
  }
  void disarm() {
    if (std::exchange(armed, false)) client->reactor_.cancel(timer);
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
        parser.end();
      } catch (const ParseError& error) {
        return fail(Failure::broken, error.what());
      }
    }
    if (client) fail(Failure::broken, "ended");
  }
  bool body(std::string_view part) override {
    // The body of a refusal is no part of what is listened for: it comes whole, with its status, in the
    // answer.
    if (!piece || parser.status() != 200) return false;
    auto give = piece;
    give(part);
    return true;
  }
  void done(Message&& message) override {
    if (!client || call == 0) return;
    auto self = shared_from_this();
    disarm();
    Answer answer{
        .failure = Failure::none, .detail = {}, .message = std::move(message), .fresh = fresh, .sent = true};
    auto tell = finish_call();
    // No place is made for connections to this address until one is kept: start() takes the last of a place.
    auto kept = client->idle_.find(to);
    std::size_t idle = kept == client->idle_.end() ? 0 : kept->second.size();
    if (!answer.message.keep_alive || !connection->open() || idle >= client->options_.most_idle) {
      drop();
    } else {
      fresh = false;
      client->idle_[to].push_back(self);
      timer = client->reactor_.at(client->reactor_.now() + client->options_.idle_ms, [this] {
        armed = false;
        auto hold = shared_from_this();
        forget_idle();
        drop();
      });
      armed = true;
    }
    tell(std::move(answer));
  }
  Done finish_call() {
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
    Answer answer{.failure = failure,
                  .detail = std::move(detail),
                  .message = {},
                  .fresh = fresh,
                  .sent = !dialling && failure != Failure::connect};
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
  Call call = 0;
  Ms timeout_ms = 0;
  std::function<void(std::string_view)> piece;
  Done tell_done;
  net::Reactor::TimerId timer{};
  bool armed = false, dialling = false, fresh = true;
};

Client::~Client() {
  for (auto& [call, link] : std::exchange(busy_, {})) link->drop();
  for (auto& [to, links] : std::exchange(idle_, {}))
    for (auto& link : links) link->drop();
}

Client::Call Client::ask(net::Address to, const Message& message, Ms timeout_ms, Done done) {
  return start(to, message, timeout_ms, nullptr, std::move(done));
}

Client::Call Client::listen(net::Address to, const Message& message, Ms quiet_ms,
                            std::function<void(std::string_view)> piece, Done done) {
  return start(to, message, quiet_ms, std::move(piece), std::move(done));
}

Client::Call Client::start(net::Address to, const Message& message, Ms timeout_ms,
                           std::function<void(std::string_view)> piece, Done done) {
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
  link->parser.answers(message.method);
  busy_[link->call] = link;
  Call call = link->call;
  link->arm();
  link->connection->send(serialize(message));
  return call;
}

void Client::cancel(Call call) {
  auto found = busy_.extract(call);
  if (!found.empty()) found.mapped()->drop();
}

void Client::drop_idle(net::Address to) {
  auto found = idle_.extract(to);
  if (found.empty()) return;
  for (auto& link : found.mapped()) link->drop();
}

}  // namespace beamshunt::http
