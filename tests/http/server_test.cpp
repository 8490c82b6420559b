// Server and client on loopback: order of answers, streams, time-outs, what breaks.
#include "http/server.h"

#include <gtest/gtest.h>

#include <optional>

namespace beamshunt::http {
namespace {

class HttpTest : public ::testing::Test {
 protected:
  void run_until(const bool& done) {
    auto limit = reactor.call_at(reactor.now() + 10000, [&] { reactor.stop(), expired = true; });
    std::function<void()> look = [&] {
      if (done) return reactor.stop();
      reactor.call_at(reactor.now() + 1, look);
    };
    look();
    if (!done) reactor.run();
    reactor.cancel_timer(limit);
    ASSERT_FALSE(expired);
  }
  Client::Result ask(Client& client, net::Address to, const std::string& target, double timeout = 3000) {
    std::optional<Client::Result> out;
    bool done = false;
    client.send_request(to, make_request("GET", target), timeout,
                        [&](Client::Result&& a) { out = std::move(a), done = true; });
    run_until(done);
    return out.value_or(Client::Result{});
  }
  net::Reactor reactor;
  bool expired = false;
};

// A client that keeps no connection once looked for one where none had been kept, and crashed.
TEST_F(HttpTest, AClientThatKeepsNoConnectionAsksAgainByAFreshOne) {
  Server server(reactor, {0x7f000001, 0}, [&](Message&&, Responder r) { r.send(make_response(200, "1")); },
                {});
  Client client(reactor, {.max_idle_connections = 0});
  for (int k = 0; k < 3; ++k) {
    Client::Result answer = ask(client, server.address(), "/");
    EXPECT_EQ(answer.failure, Client::Failure::none);
    EXPECT_TRUE(answer.new_connection);
  }
}

TEST_F(HttpTest, AnswersInOrderThoughLaterOnesAreReadyFirst) {
  std::vector<std::pair<std::string, Responder>> held;
  Server server(reactor, {0x7f000001, 0},
                [&](Message&& m, Responder r) {
                  held.emplace_back(m.target, r);
                  if (held.size() < 3) return;
                  for (std::size_t k = 3; k-- > 0;) held[k].second.send(make_response(200, held[k].first));
                  held.clear();
                },
                {});
  std::string came;
  bool done = false;
  auto c = net::Connection::dial(reactor, server.address(), {});
  c->start({{},
            [&](std::string_view b) {
              came += b;
              done = came.find("/3") != std::string::npos;
            },
            {},
            {}});
  c->send(serialize(make_request("GET", "/1")) + serialize(make_request("GET", "/2")) +
          serialize(make_request("GET", "/3")));
  run_until(done);
  EXPECT_LT(came.find("/1"), came.find("/2"));
  EXPECT_LT(came.find("/2"), came.find("/3"));
}

TEST_F(HttpTest, KeepsConnectionsAndTellsFreshOnes) {
  Server server(reactor, {0x7f000001, 0},
                [](Message&& m, Responder r) { r.send(make_response(200, m.target)); }, {});
  Client client(reactor, {.source = {0x7f000003, 0}});
  auto first = ask(client, server.address(), "/a"), second = ask(client, server.address(), "/b");
  EXPECT_EQ(first.failure, Client::Failure::none);
  EXPECT_TRUE(first.new_connection);
  EXPECT_FALSE(second.new_connection);
  EXPECT_EQ(second.response.body, "/b");
  EXPECT_EQ(server.connection_count(), 1u);
  client.close_idle(server.address());
  EXPECT_TRUE(ask(client, server.address(), "/c").new_connection);
}

TEST_F(HttpTest, SilenceRefusalResetAndRubbishAreToldApart) {
  std::optional<Responder> silent;
  Server server(reactor, {0x7f000001, 0},
                [&](Message&& m, Responder r) {
                  if (m.target == "/reset") return r.reset();
                  if (m.target == "/dropped") return;  // never answered: must not hang the client
                  silent = r;
                },
                {});
  net::Listener rubbish(reactor, {0x7f000001, 0}, [](std::shared_ptr<net::Connection> c) {
    c->start({});
    c->send(std::string("SMTP ready\r\n"));
    c->close_after_flush();
  });
  Client client(reactor, {});
  EXPECT_EQ(ask(client, server.address(), "/silent", 50).failure, Client::Failure::timed_out);
  EXPECT_EQ(ask(client, server.address(), "/reset").failure, Client::Failure::connection_lost);
  EXPECT_EQ(ask(client, server.address(), "/dropped").failure, Client::Failure::connection_lost);
  EXPECT_EQ(ask(client, rubbish.address(), "/").failure, Client::Failure::malformed);
  EXPECT_EQ(ask(client, {0x7f000001, 1}, "/").failure, Client::Failure::connect_failed);
}

TEST_F(HttpTest, StreamsComeInPiecesAndEndOrBreakAudibly) {
  std::optional<Responder> stream;
  Server server(reactor, {0x7f000001, 0},
                [&](Message&&, Responder r) {
                  r.begin_stream(200, "text/plain");
                  r.send_chunk("one ");
                  stream = r;
                },
                {});
  Client client(reactor, {});
  std::string came;
  std::optional<Client::Result> end;
  bool first = false, done = false;
  auto piece = [&](std::string_view p) { came += p, first = true; };
  auto ended = [&](Client::Result&& a) { end = std::move(a), done = true; };
  client.stream_response(server.address(), make_request("GET", "/"), 3000, piece, ended);
  run_until(first);
  EXPECT_TRUE(stream->send_chunk("two"));
  stream->end_stream();
  run_until(done);
  EXPECT_EQ(came, "one two");
  EXPECT_EQ(end->failure, Client::Failure::none);
  done = first = false;
  client.stream_response(server.address(), make_request("GET", "/"), 60, piece, ended);
  run_until(done);
  EXPECT_EQ(end->failure, Client::Failure::timed_out);
}

TEST_F(HttpTest, BadRequestsGetOneAnswerAndTheirConnectionEnds) {
  std::string told;
  Server server(reactor, {0x7f000001, 0}, [](Message&&, Responder r) { r.send(make_response(200, "ok")); },
                {.on_malformed_request = [&](net::Address, const ParseError& e) { told = e.what(); }});
  std::string came;
  bool done = false;
  auto c = net::Connection::dial(reactor, server.address(), {});
  c->start({{},
            [&](std::string_view b) { came += b; },
            [&] { done = true; },
            [&](net::CloseReason) { done = true; }});
  c->send(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/9\r\n\r\n"));
  run_until(done);
  EXPECT_NE(came.find("200 OK"), std::string::npos);
  EXPECT_NE(came.find("505"), std::string::npos);
  EXPECT_EQ(told, "not HTTP/1.1");
}

}  // namespace
}  // namespace beamshunt::http
