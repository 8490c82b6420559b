#include "http/server.h"

#include <algorithm>

namespace beamshunt::http {

// ---- Server ----

struct Responder::Exchange {
  std::weak_ptr<Server::Session> session;
  net::Address peer;
  std::string output;  // encoded response bytes that wait for the responses to earlier requests
  bool keep_alive = true, complete = false;
  ~Exchange();
};

struct Server::Session final : Parser::Sink, std::enable_shared_from_this<Server::Session> {
  Session(Server& owner, std::shared_ptr<net::Connection> accepted)
      : server(&owner),
        connection(std::move(accepted)),
        parser(Parser::Kind::request, *this, owner.options_.limits) {}

  void start() {
    connection->start({{},
                       [this](std::string_view bytes) { feed(bytes); },
                       [this] { peer_shut_down = true, flush(); },
                       [this](net::CloseReason) { detach(); }});
  }
  void feed(std::string_view bytes) {
    // Further bytes are read and discarded. Unread bytes at close() would make the kernel reset the
    // connection, and the peer could lose the error response.
    if (malformed) return;
    auto self = shared_from_this();
    try {
      parser.feed(bytes);
    } catch (const ParseError& error) {
      malformed = true;
      if (server && server->options_.on_malformed_request)
        server->options_.on_malformed_request(connection->peer(), error);
      Message error_response = make_response(error.status, std::string(error.what()) + "\n", "text/plain");
      error_response.keep_alive = false;
      auto exchange = open_exchange();
      exchange->keep_alive = false;
      exchange->output = serialize(error_response);
      exchange->complete = true;
      flush();
    }
  }
  std::shared_ptr<Responder::Exchange> open_exchange() {
    auto exchange = std::make_shared<Responder::Exchange>();
    exchange->session = weak_from_this();
    exchange->peer = connection->peer();
    pending.push_back(exchange);
    return exchange;
  }
  void on_message(Message&& request) override {
    auto exchange = open_exchange();
    exchange->keep_alive = request.keep_alive;
    if (pending.size() >= server->options_.max_pipelined_requests) connection->set_reading_paused(true);
    server->handler_(std::move(request), Responder(exchange));
  }
  // Sends the completed responses in the order of their requests.
  void flush() {
    auto self = shared_from_this();
    while (!pending.empty()) {
      auto front = pending.front().lock();
      if (!front) return reset();  // all copies of the responder were destroyed
      if (!front->output.empty() && !connection->send(std::exchange(front->output, {}))) return;
      if (!front->complete) return;
      pending.pop_front();
      if (!front->keep_alive) {
        auto closing = connection;
        detach();
        return closing->close_after_flush();
      }
      if (server && pending.size() + 1 == server->options_.max_pipelined_requests)
        connection->set_reading_paused(false);
    }
    if (peer_shut_down) {
      auto closing = connection;
      detach();
      closing->close_after_flush();
    }
  }
  void reset() {
    auto closing = connection;
    detach();
    closing->reset();
  }
  // Removes the session from the server. The connection is left to the caller.
  void detach() {
    auto self = shared_from_this();
    pending.clear();
    if (auto* owner = std::exchange(server, nullptr)) owner->sessions_.erase(self);
  }

  Server* server;  // null after detach()
  std::shared_ptr<net::Connection> connection;
  Parser parser;
  std::deque<std::weak_ptr<Responder::Exchange>> pending;
  bool peer_shut_down = false, malformed = false;
};

Responder::Exchange::~Exchange() {
  if (complete) return;
  if (auto active_session = session.lock(); active_session && active_session->server) active_session->reset();
}

void Responder::send(const Message& message) const {
  auto& exchange = *exchange_;
  if (exchange.complete) return;
  Message copy = message;
  copy.keep_alive &= exchange.keep_alive;
  exchange.keep_alive = copy.keep_alive;
  exchange.output = serialize(copy);
  exchange.complete = true;
  if (auto active_session = exchange.session.lock(); active_session && active_session->server)
    active_session->flush();
}

bool Responder::begin_stream(int status, std::string_view type) const {
  Message head = make_response(status, {});
  head.headers.emplace_back("content-type", type);
  head.headers.emplace_back("transfer-encoding", "chunked");
  exchange_->output += serialize(head);
  return send_chunk({});
}

bool Responder::send_chunk(std::string_view data) const {
  if (!data.empty()) exchange_->output += encode_chunk(data);
  auto active_session = exchange_->session.lock();
  if (!active_session || !active_session->server) return false;
  active_session->flush();
  return is_connected();
}

void Responder::end_stream() const {
  if (exchange_->complete) return;
  exchange_->output += encode_chunk({});
  exchange_->complete = true;
  if (auto active_session = exchange_->session.lock(); active_session && active_session->server)
    active_session->flush();
}

void Responder::reset() const {
  exchange_->complete = true;
  if (auto active_session = exchange_->session.lock(); active_session && active_session->server)
    active_session->reset();
}

bool Responder::is_connected() const {
  auto active_session = exchange_->session.lock();
  return active_session && active_session->server && active_session->connection->is_open();
}

net::Address Responder::peer() const { return exchange_->peer; }

Server::Server(net::Reactor& reactor, net::Address bind_address, RequestHandler handler, Options options)
    : reactor_(reactor), handler_(std::move(handler)), options_(std::move(options)) {
  listener_ = std::make_unique<net::Listener>(
      reactor_, bind_address,
      [this](std::shared_ptr<net::Connection> connection) {
        if (options_.accept_peer && !options_.accept_peer(connection->peer())) return connection->close();
        auto session = std::make_shared<Session>(*this, std::move(connection));
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
  Link(Client& owner, net::Address server)
      : client(&owner), to(server), parser(Parser::Kind::response, *this, owner.options_.limits) {}

  void dial() {
    connection =
        net::Connection::dial(client->reactor_, to, client->options_.source,
                              {.tls = client->options_.tls, .tls_peer_name = client->options_.tls_peer_name});
    dialling = true;
    connection->start({[this] { dialling = false, start_timer(); },
                       [this](std::string_view bytes) { feed(bytes); }, [this] { handle_peer_shutdown(); },
                       [this](net::CloseReason reason) {
                         bool was_dialling = std::exchange(dialling, false);
                         fail(was_dialling ? Failure::connect_failed : Failure::connection_lost,
                              net::close_reason_name(reason));
                       }});
  }
  // Restarts the timeout of the current state: connecting, or waiting for bytes of the response.
  void start_timer() {
    stop_timer();
    Ms timeout = dialling ? std::min(client->options_.connect_timeout_ms, timeout_ms) : timeout_ms;
    timer = client->reactor_.call_at(client->reactor_.now() + timeout, [this] {
      timer_active = false;
      fail(dialling ? Failure::connect_failed : Failure::timed_out,
           dialling ? "timed out while connecting" : "timed out while waiting for the response");
    });
    timer_active = true;
  }
  void stop_timer() {
    if (std::exchange(timer_active, false)) client->reactor_.cancel_timer(timer);
  }
  void feed(std::string_view bytes) {
    auto self = shared_from_this();
    if (call == 0) return close();  // bytes without an outstanding request
    if (on_data) start_timer();
    try {
      parser.feed(bytes);
    } catch (const ParseError& error) {
      fail(Failure::malformed, error.what());
    }
  }
  void handle_peer_shutdown() {
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
    // Only the body of a response with status 200 is streamed. Other bodies are returned in the result, with
    // their status.
    if (!on_data || parser.status() != 200) return false;
    auto callback = on_data;
    callback(part);
    return true;
  }
  void on_message(Message&& message) override {
    if (!client || call == 0) return;
    auto self = shared_from_this();
    stop_timer();
    Result result{.failure = Failure::none,
                  .detail = {},
                  .response = std::move(message),
                  .new_connection = is_new,
                  .request_sent = true};
    auto callback = finish_call();
    // An entry for the address is only created when it receives a connection: start() relies on every entry
    // being non-empty.
    auto idle_entry = client->idle_links_.find(to);
    std::size_t idle = idle_entry == client->idle_links_.end() ? 0 : idle_entry->second.size();
    if (!result.response.keep_alive || !connection->is_open() ||
        idle >= client->options_.max_idle_connections) {
      close();
    } else {
      is_new = false;
      client->idle_links_[to].push_back(self);
      timer = client->reactor_.call_at(client->reactor_.now() + client->options_.idle_timeout_ms, [this] {
        timer_active = false;
        auto link = shared_from_this();  // remove_from_idle() drops the reference of the client
        remove_from_idle();
        close();
      });
      timer_active = true;
    }
    callback(std::move(result));
  }
  // Ends the outstanding call and returns its callback.
  ResultCallback finish_call() {
    client->active_links_.erase(std::exchange(call, 0));
    on_data = nullptr;
    return std::exchange(on_result, nullptr);
  }
  void remove_from_idle() {
    auto found = client->idle_links_.find(to);
    if (found == client->idle_links_.end()) return;
    std::erase(found->second, shared_from_this());
    if (found->second.empty()) client->idle_links_.erase(found);
  }
  // Closes the connection and reports the failure if a request is outstanding.
  void fail(Failure failure, std::string detail) {
    if (!client) return;
    auto self = shared_from_this();
    stop_timer();
    if (call == 0) {
      remove_from_idle();
      return close();
    }
    Result result{.failure = failure,
                  .detail = std::move(detail),
                  .response = {},
                  .new_connection = is_new,
                  .request_sent = !dialling && failure != Failure::connect_failed};
    auto callback = finish_call();
    close();
    callback(std::move(result));
  }
  // Closes the connection without a result.
  void close() {
    if (!client) return;
    stop_timer();
    client = nullptr;
    connection->close();
  }

  Client* client;  // null after close()
  net::Address to;
  std::shared_ptr<net::Connection> connection;
  Parser parser;
  CallId call = 0;  // outstanding call; 0: the connection is idle
  Ms timeout_ms = 0;
  std::function<void(std::string_view)> on_data;
  ResultCallback on_result;
  net::Reactor::TimerId timer{};
  bool timer_active = false, dialling = false, is_new = true;
};

Client::~Client() {
  for (auto& [call, link] : std::exchange(active_links_, {})) link->close();
  for (auto& [to, links] : std::exchange(idle_links_, {}))
    for (auto& link : links) link->close();
}

Client::CallId Client::send_request(net::Address to, const Message& message, Ms timeout_ms,
                                    ResultCallback on_result) {
  return start(to, message, timeout_ms, nullptr, std::move(on_result));
}

Client::CallId Client::stream_response(net::Address to, const Message& message, Ms idle_timeout_ms,
                                       std::function<void(std::string_view)> on_data,
                                       ResultCallback on_result) {
  return start(to, message, idle_timeout_ms, std::move(on_data), std::move(on_result));
}

Client::CallId Client::start(net::Address to, const Message& message, Ms timeout_ms,
                             std::function<void(std::string_view)> on_data, ResultCallback on_result) {
  std::shared_ptr<Link> link;
  if (auto idle_entry = idle_links_.find(to); idle_entry != idle_links_.end()) {
    // The connection used last is the least likely to have been closed by the peer.
    link = idle_entry->second.back();
    link->stop_timer();
    link->remove_from_idle();
  } else {
    link = std::make_shared<Link>(*this, to);
    link->dial();
  }
  link->call = next_call_++;
  link->timeout_ms = timeout_ms;
  link->on_data = std::move(on_data);
  link->on_result = std::move(on_result);
  link->parser.set_request_method(message.method);
  active_links_[link->call] = link;
  CallId call = link->call;
  link->start_timer();
  link->connection->send(serialize(message));
  return call;
}

void Client::cancel(CallId call) {
  auto found = active_links_.extract(call);
  if (!found.empty()) found.mapped()->close();
}

void Client::close_idle(net::Address to) {
  auto found = idle_links_.extract(to);
  if (found.empty()) return;
  for (auto& link : found.mapped()) link->close();
}

}  // namespace beamshunt::http
