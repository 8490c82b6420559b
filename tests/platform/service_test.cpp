// The assigner as the platform starts it: a process by the deploy file's `run`, against a small stand-in for
// discovery, tasks, proxies and strangers on loopback. BEAMSHUNT_RUN has the command.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

#include "base/file.h"
#include "http/server.h"
#include "platform/rig.h"
#include "process/child.h"

namespace beamshunt::platform::test {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

class Peer {  // a connection to the assigner and all that it was told
 public:
  Peer(net::Reactor& reactor, net::Address to) : connection(net::Connection::dial(reactor, to, {})) {
    connection->start({{},
                       [this](std::string_view bytes) { came += bytes; },
                       [this] { over = true; },
                       [this](net::CloseReason) { over = true; }});
  }
  ~Peer() { connection->close(); }
  void say(const json& message) { connection->send(message.dump() + "\n"); }
  std::vector<json> told(const char* kind) const {
    std::vector<json> out;
    std::istringstream lines(came);
    for (std::string line; std::getline(lines, line);)
      if (auto m = json::parse(line, nullptr, false); m.is_object() && m["t"] == kind) out.push_back(m);
    return out;
  }
  bool holds(const std::string& uid) const {
    bool held = false;
    for (const json& m : told("push")) {
      if (m.value("replace", false)) held = false;
      for (const json& row : m.value("rows", json::array()))
        if (row[0] == uid) held = row[1] > 0;
    }
    return held;
  }
  std::shared_ptr<net::Connection> connection;
  std::string came;
  bool over = false;
};

struct Discovery {
  explicit Discovery(net::Reactor& reactor)
      : server(reactor, {kLoopback, 0},
               [this](http::Message&& request, http::Responder responder) {
                 asked.push_back(request.target);
                 responder.begin_stream(200, "application/json");
                 responder.stream(four().dump() + "\n");
                 watches.push_back(responder);
               },
               {}) {}
  void tell(const json& object) {
    for (auto& w : watches) w.stream(object.dump() + "\n");
  }
  std::vector<std::string> asked;
  std::vector<http::Responder> watches;
  http::Server server;
};

class PlatformProcess : public ::testing::Test {
 protected:
  void SetUp() override {
    const char* run = std::getenv("BEAMSHUNT_RUN");
    ASSERT_TRUE(run) << "BEAMSHUNT_RUN has the command that starts the assigner";
    run_ = run;
    folder_ = ::testing::TempDir() + "platform-" + std::to_string(::getpid());
    net::Listener free_port(reactor, {kLoopback, 0}, [](auto) {});
    listen = free_port.address();
    configured = configuration();
    configured["listen"] = net::to_string(listen);
    configured["discovery"] = net::to_string(discovery.server.address());
  }
  void write_configuration(const std::string& bytes) { base::replace_file(folder_ + ".json", bytes); }
  void start() {
    write_configuration(configured.dump());
    ::setenv("BALANCER_CONFIG", (folder_ + ".json").c_str(), 1);
    child = std::make_unique<process::Child>(
        "/bin/sh", std::vector<std::string>{"-c", "ulimit -n 256; " + run_}, folder_ + ".log");
  }
  void start_and_wait() {
    start();
    std::unique_ptr<Peer> peer;
    until("alive", [&] {
      if (!peer || peer->over) {
        peer = std::make_unique<Peer>(reactor, listen);
        peer->say({{"t", "probe"}});
      }
      return !peer->told("alive").empty();
    });
  }
  void until(const char* what, const std::function<bool()>& done, Ms most = 10000) {
    bool expired = false;
    auto limit = reactor.at(base::monotonic_ms() + most, [&] { expired = true, reactor.stop(); });
    std::function<void()> look = [&] {
      if (done()) return reactor.stop();
      reactor.at(reactor.now() + 10, look);
    };
    auto first = reactor.at(reactor.now(), look);
    reactor.run();
    reactor.cancel(limit), reactor.cancel(first);
    ASSERT_FALSE(expired) << what << "; log: " << base::read_file(folder_ + ".log").value_or("");
  }
  std::unique_ptr<Peer> join(int node) {
    auto peer = std::make_unique<Peer>(reactor, listen);
    peer->say({{"t", "hello"}, {"node", node}, {"locality", "north"}, {"w", 20.0}, {"cold", true}});
    return peer;
  }

  net::Reactor reactor;
  Discovery discovery{reactor};
  net::Address listen;
  json configured;
  std::unique_ptr<process::Child> child;
  std::string run_, folder_;
};

TEST_F(PlatformProcess, TablesAndDrainsReachAProxyAndSigtermEndsItInOrder) {
  start_and_wait();
  auto proxy = join(0);
  until("a table", [&] { return proxy->holds("s-a") && proxy->holds("s-b"); });
  EXPECT_TRUE(proxy->told("push").back().contains("stamp"));
  proxy->say({{"t", "ack"}, {"node", 0}, {"nonce", proxy->told("push").back()["stamp"]}, {"latency", 3.0}});
  discovery.tell(list(6, false, {target("s-a", "north", "terminating")}));
  until("a drain", [&] { return !proxy->holds("s-a"); });
  EXPECT_TRUE(proxy->holds("s-b"));
  EXPECT_NE(discovery.asked.at(0).find("watch=1&from=5"), std::string::npos);
#ifdef NDEBUG
  EXPECT_LT(child->resident_kib(), 24 * 1024) << "days give 32 MB";
#endif
  EXPECT_EQ(child->stop(5000), 0);
}

TEST_F(PlatformProcess, HundredsOfStrangersAreTurnedAwayAndProxiesAreServedMeanwhile) {
  start_and_wait();
  auto early = join(0);
  until("a table", [&] { return early->holds("s-a"); });
  std::vector<std::unique_ptr<Peer>> strangers;
  for (int k = 0; k < 400; ++k) {
    strangers.push_back(std::make_unique<Peer>(reactor, listen));
    if (k % 4 == 1) strangers.back()->connection->send("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    if (k % 4 == 2) strangers.back()->connection->send("{\"t\":\"hel");
    if (k % 4 == 3) strangers.back()->connection->send("{" + std::string(200000, ' '));
  }
  auto late = join(1);
  until("a table for who comes after them", [&] { return late->holds("s-a"); });
  until(
      "an end of each stranger",
      [&] {
        return std::all_of(strangers.begin(), strangers.end(),
                           [](auto& s) { return s->over || !s->told("error").empty(); });
      },
      3500);
  EXPECT_FALSE(early->over);
  EXPECT_FALSE(late->over);
}

TEST_F(PlatformProcess, ANewConfigurationMovesTheWatchAndABadOneChangesNothing) {
  Discovery other(reactor);
  start_and_wait();
  auto proxy = join(0);
  until("a table", [&] { return proxy->holds("s-a"); });
  configured["discovery"] = net::to_string(other.server.address());
  write_configuration(configured.dump());
  child->signal(SIGHUP);
  until("a watch at the new address", [&] { return !other.watches.empty(); });
  write_configuration("{\"name\":");
  child->signal(SIGHUP);
  until("a refusal in the log", [&] {
    return base::read_file(folder_ + ".log").value_or("").find("configuration_refused") != std::string::npos;
  });
  other.tell(list(6, false, {target("s-b", "north", "terminating")}));
  until("a drain by the new address", [&] { return !proxy->holds("s-b"); });
  EXPECT_FALSE(proxy->over);
  EXPECT_EQ(child->stop(5000), 0);
}

TEST_F(PlatformProcess, WithoutASoundConfigurationItSaysWhyAndEnds) {
  configured["settings"]["family_info"].erase("agents");
  start();
  until("an end", [&] { return child->ended(); });
  EXPECT_EQ(child->stop(0), 2);
  EXPECT_NE(base::read_file(folder_ + ".log").value_or("").find("family_info.agents is missing"),
            std::string::npos);
}

}  // namespace
}  // namespace beamshunt::platform::test
