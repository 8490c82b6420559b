// HTTP server and client on the loopback interface: response order, streams, timeouts and failures.
#include "http/server.h"

#include <gtest/gtest.h>

#include <optional>

namespace beamshunt::http {
namespace {

class HttpTest : public ::testing::Test {
 protected:
  void run_until(const bool& done) {
    auto timeout = reactor.call_at(reactor.now() + 10000, [&] { reactor.stop(), expired = true; });
    std::function<void()> poll = [&] {
      if (done) return reactor.stop();
      reactor.call_at(reactor.now() + 1, poll);
    };
    poll();
    if (!done) reactor.run();
    reactor.cancel_timer(timeout);
    ASSERT_FALSE(expired);
  }
  // Sends a request and runs the loop until its result is available.
  Client::Result get(Client& client, net::Address to, const std::string& target, double timeout_ms = 3000) {
    std::optional<Client::Result> result;
    bool done = false;
    client.send_request(to, make_request("GET", target), timeout_ms,
                        [&](Client::Result&& received) { result = std::move(received), done = true; });
    run_until(done);
    return result.value_or(Client::Result{});
  }
  net::Reactor reactor;
  bool expired = false;
};

// A client that kept no idle connections once crashed: it looked for an idle connection in an empty list.
TEST_F(HttpTest, ClientWithoutIdleConnectionsOpensANewOneForEachRequest) {
  Server server(reactor, {0x7f000001, 0},
                [&](Message&&, Responder responder) { responder.send(make_response(200, "1")); }, {});
  Client client(reactor, {.max_idle_connections = 0});
  for (int k = 0; k < 3; ++k) {
    Client::Result result = get(client, server.address(), "/");
    EXPECT_EQ(result.failure, Client::Failure::none);
    EXPECT_TRUE(result.new_connection);
  }
}

TEST_F(HttpTest, SendsResponsesInRequestOrderIfLaterOnesAreReadyFirst) {
  std::vector<std::pair<std::string, Responder>> pending;
  Server server(reactor, {0x7f000001, 0},
                [&](Message&& request, Responder responder) {
                  pending.emplace_back(request.target, responder);
                  if (pending.size() < 3) return;
                  for (std::size_t k = 3; k-- > 0;)
                    pending[k].second.send(make_response(200, pending[k].first));
                  pending.clear();
                },
                {});
  std::string received;
  bool done = false;
  auto connection = net::Connection::dial(reactor, server.address(), {});
  connection->start({{},
                     [&](std::string_view bytes) {
                       received += bytes;
                       done = received.find("/3") != std::string::npos;
                     },
                     {},
                     {}});
  connection->send(serialize(make_request("GET", "/1")) + serialize(make_request("GET", "/2")) +
                   serialize(make_request("GET", "/3")));
  run_until(done);
  EXPECT_LT(received.find("/1"), received.find("/2"));
  EXPECT_LT(received.find("/2"), received.find("/3"));
}

TEST_F(HttpTest, ReusesConnectionsAndReportsNewOnes) {
  Server server(
      reactor, {0x7f000001, 0},
      [](Message&& request, Responder responder) { responder.send(make_response(200, request.target)); }, {});
  Client client(reactor, {.source = {0x7f000003, 0}});
  auto first = get(client, server.address(), "/a"), second = get(client, server.address(), "/b");
  EXPECT_EQ(first.failure, Client::Failure::none);
  EXPECT_TRUE(first.new_connection);
  EXPECT_FALSE(second.new_connection);
  EXPECT_EQ(second.response.body, "/b");
  EXPECT_EQ(server.connection_count(), 1u);
  client.close_idle(server.address());
  EXPECT_TRUE(get(client, server.address(), "/c").new_connection);
}

TEST_F(HttpTest, DistinguishesTimeoutResetMalformedResponseAndRefusedConnection) {
  std::optional<Responder> unanswered;
  Server server(reactor, {0x7f000001, 0},
                [&](Message&& request, Responder responder) {
                  if (request.target == "/reset") return responder.reset();
                  if (request.target == "/dropped")
                    return;  // destroys the responder: the client must not wait for the timeout
                  unanswered = responder;
                },
                {});
  net::Listener smtp_server(reactor, {0x7f000001, 0}, [](std::shared_ptr<net::Connection> connection) {
    connection->start({});
    connection->send(std::string("SMTP ready\r\n"));
    connection->close_after_flush();
  });
  Client client(reactor, {});
  EXPECT_EQ(get(client, server.address(), "/silent", 50).failure, Client::Failure::timed_out);
  EXPECT_EQ(get(client, server.address(), "/reset").failure, Client::Failure::connection_lost);
  EXPECT_EQ(get(client, server.address(), "/dropped").failure, Client::Failure::connection_lost);
  EXPECT_EQ(get(client, smtp_server.address(), "/").failure, Client::Failure::malformed);
  EXPECT_EQ(get(client, {0x7f000001, 1}, "/").failure, Client::Failure::connect_failed);
}

TEST_F(HttpTest, DeliversStreamInPartsAndReportsItsEndOrTimeout) {
  std::optional<Responder> stream;
  Server server(reactor, {0x7f000001, 0},
                [&](Message&&, Responder responder) {
                  responder.begin_stream(200, "text/plain");
                  responder.send_chunk("one ");
                  stream = responder;
                },
                {});
  Client client(reactor, {});
  std::string received;
  std::optional<Client::Result> result;
  bool first_received = false, done = false;
  auto on_data = [&](std::string_view data) { received += data, first_received = true; };
  auto on_result = [&](Client::Result&& value) { result = std::move(value), done = true; };
  client.stream_response(server.address(), make_request("GET", "/"), 3000, on_data, on_result);
  run_until(first_received);
  EXPECT_TRUE(stream->send_chunk("two"));
  stream->end_stream();
  run_until(done);
  EXPECT_EQ(received, "one two");
  EXPECT_EQ(result->failure, Client::Failure::none);
  done = first_received = false;
  client.stream_response(server.address(), make_request("GET", "/"), 60, on_data, on_result);
  run_until(done);
  EXPECT_EQ(result->failure, Client::Failure::timed_out);
}

TEST_F(HttpTest, AnswersMalformedRequestOnceAndClosesTheConnection) {
  std::string reported_error;
  Server server(reactor, {0x7f000001, 0},
                [](Message&&, Responder responder) { responder.send(make_response(200, "ok")); },
                {.on_malformed_request = [&](net::Address, const ParseError& error) {
                  reported_error = error.what();
                }});
  std::string received;
  bool done = false;
  auto connection = net::Connection::dial(reactor, server.address(), {});
  connection->start({{},
                     [&](std::string_view bytes) { received += bytes; },
                     [&] { done = true; },
                     [&](net::CloseReason) { done = true; }});
  connection->send(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/9\r\n\r\n"));
  run_until(done);
  EXPECT_NE(received.find("200 OK"), std::string::npos);
  EXPECT_NE(received.find("505"), std::string::npos);
  EXPECT_EQ(reported_error, "not HTTP/1.1");
}

}  // namespace
}  // namespace beamshunt::http
