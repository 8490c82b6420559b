// Tests the assigner as the platform starts it: as a process started with the `run` command of the deploy
// file, with simulated discovery, endpoints, proxies and unknown peers on the loopback interface.
// BEAMSHUNT_RUN contains the command.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <sstream>

#include "base/file.h"
#include "http/server.h"
#include "nested_json.h"
#include "platform/core_harness.h"
#include "process/child.h"

namespace beamshunt::platform::test {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

// A connection to the assigner, with the messages received on it.
class Peer {
 public:
  Peer(net::Reactor& reactor, net::Address address)
      : connection(net::Connection::dial(reactor, address, {})) {
    connection->start({[this] { connected = true; },
                       [this](std::string_view bytes) { received_bytes += bytes; }, [this] { closed = true; },
                       [this](net::CloseReason) { closed = true; }});
  }
  ~Peer() { connection->close(); }
  void send(const json& message) { connection->send(message.dump() + "\n"); }
  std::vector<json> received(const char* kind) const {
    std::vector<json> result;
    std::istringstream lines(received_bytes);
    for (std::string line; std::getline(lines, line);)
      if (auto parsed = json::parse(line, nullptr, false); parsed.is_object() && parsed["t"] == kind)
        result.push_back(parsed);
    return result;
  }
  bool has_endpoint(const std::string& uid) const {
    bool found = false;
    for (const json& parsed : received("push")) {
      if (parsed.value("replace", false)) found = false;
      for (const json& row : parsed.value("rows", json::array()))
        if (row[0] == uid) found = row[1] > 0;
    }
    return found;
  }
  std::shared_ptr<net::Connection> connection;
  std::string received_bytes;
  bool closed = false, connected = false;
};

struct DiscoveryServer {
  explicit DiscoveryServer(net::Reactor& reactor)
      : server(reactor, {kLoopback, 0},
               [this](http::Message&& request, http::Responder responder) {
                 request_targets.push_back(request.target);
                 if (remaining_refusals > 0) {
                   --remaining_refusals;
                   return responder.send(http::make_response(503, endpoint_list(9, true, {}).dump() + "\n"));
                 }
                 if (delay_responses) return watches.push_back(responder);
                 responder.begin_stream(200, "application/json");
                 responder.send_chunk(four_endpoints().dump() + "\n");
                 watches.push_back(responder);
               },
               {}) {}
  void publish(const json& object) {
    for (auto& watch : watches) watch.send_chunk(object.dump() + "\n");
  }
  int remaining_refusals = 0;    // number of requests to answer with 503 and a body that looks like a list
  bool delay_responses = false;  // true: requests get no response
  std::vector<std::string> request_targets;
  std::vector<http::Responder> watches;
  http::Server server;
};

class PlatformProcess : public ::testing::Test {
 protected:
  void SetUp() override {
    const char* run = std::getenv("BEAMSHUNT_RUN");
    ASSERT_TRUE(run) << "BEAMSHUNT_RUN must contain the command that starts the assigner";
    run_command = run;
    path_prefix = ::testing::TempDir() + "platform-" + std::to_string(::getpid());
    net::Listener free_port(reactor, {kLoopback, 0}, [](auto) {});
    listen = free_port.address();
    config = configuration();
    config["listen"] = net::to_string(listen);
    config["discovery"] = net::to_string(discovery.server.address());
  }
  void write_configuration(const std::string& bytes) { base::replace_file(path_prefix + ".json", bytes); }
  void start(const std::string& log = {}) { start_with_bytes(config.dump(), log); }
  void start_with_bytes(const std::string& configuration_bytes, const std::string& log = {}) {
    write_configuration(configuration_bytes);
    ::setenv("BALANCER_CONFIG", (path_prefix + ".json").c_str(), 1);
    child = std::make_unique<process::Child>("/bin/sh",
                                             std::vector<std::string>{"-c", "ulimit -n 256; " + run_command},
                                             log.empty() ? path_prefix + ".log" : log);
  }
  void start_and_wait() {
    start();
    wait_until("alive", [&] { return is_serving(); });
  }
  bool is_serving() {
    if (!health_check_peer || health_check_peer->closed) {
      health_check_peer = std::make_unique<Peer>(reactor, listen);
      health_check_peer->send({{"t", "probe"}});
    }
    return !health_check_peer->received("alive").empty();
  }
  void wait_until(const char* condition, const std::function<bool()>& done, Ms timeout = 10000) {
    bool expired = false;
    auto limit = reactor.call_at(base::monotonic_ms() + timeout, [&] { expired = true, reactor.stop(); });
    std::function<void()> poll = [&] {
      if (done()) return reactor.stop();
      reactor.call_at(reactor.now() + 10, poll);
    };
    auto first = reactor.call_at(reactor.now(), poll);
    reactor.run();
    reactor.cancel_timer(limit), reactor.cancel_timer(first);
    ASSERT_FALSE(expired) << condition << "; log: " << base::read_file(path_prefix + ".log").value_or("");
  }
  std::unique_ptr<Peer> register_proxy(int number) {
    auto peer = std::make_unique<Peer>(reactor, listen);
    peer->send({{"t", "hello"}, {"node", number}, {"locality", "north"}, {"w", 20.0}, {"cold", true}});
    return peer;
  }
  std::unique_ptr<Peer> start_with_one_proxy() {
    start_and_wait();
    auto proxy = register_proxy(0);
    wait_until("a table", [&] { return proxy->has_endpoint("s-a"); });
    return proxy;
  }
  void move_discovery(DiscoveryServer& new_discovery) {
    config["discovery"] = net::to_string(new_discovery.server.address());
    write_configuration(config.dump());
    child->signal(SIGHUP);
  }

  net::Reactor reactor;
  DiscoveryServer discovery{reactor};
  net::Address listen;
  json config;
  std::unique_ptr<process::Child> child;
  std::string run_command, path_prefix;
  std::unique_ptr<Peer> health_check_peer;
};

TEST_F(PlatformProcess, TablesAndDrainsReachAProxyAndSigtermStopsTheProcess) {
  start_and_wait();
  auto proxy = register_proxy(0);
  wait_until("a table", [&] { return proxy->has_endpoint("s-a") && proxy->has_endpoint("s-b"); });
  EXPECT_TRUE(proxy->received("push").back().contains("stamp"));
  proxy->send(
      {{"t", "ack"}, {"node", 0}, {"nonce", proxy->received("push").back()["stamp"]}, {"latency", 3.0}});
  discovery.publish(endpoint_list(6, false, {endpoint_entry("s-a", "north", "terminating")}));
  wait_until("a drain", [&] { return !proxy->has_endpoint("s-a"); });
  EXPECT_TRUE(proxy->has_endpoint("s-b"));
  EXPECT_NE(discovery.request_targets.at(0).find("watch=1&from=5"), std::string::npos);
#ifdef NDEBUG
  EXPECT_LT(child->resident_kib(), 24 * 1024) << "the memory limit in the platform's days is 32 MB";
#endif
  EXPECT_EQ(child->stop(5000), 0);
}

// 400 unknown peers connect under a limit of 256 descriptors: silent, speaking HTTP, stopping in the middle
// of a message or sending a message without end. Proxies that connect before and after them are served.
TEST_F(PlatformProcess, ProxiesAreServedWhileHundredsOfUnknownPeersAreRejected) {
  start_and_wait();
  auto early = register_proxy(0);
  wait_until("a table", [&] { return early->has_endpoint("s-a"); });
  std::vector<std::unique_ptr<Peer>> unknown_peers;
  for (int k = 0; k < 400; ++k) {
    unknown_peers.push_back(std::make_unique<Peer>(reactor, listen));
    if (k % 4 == 1) unknown_peers.back()->connection->send("GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    if (k % 4 == 2) unknown_peers.back()->connection->send("{\"t\":\"hel");
    if (k % 4 == 3) unknown_peers.back()->connection->send("{" + std::string(200000, ' '));
  }
  auto late = register_proxy(1);
  wait_until("a table for the proxy that connects after them", [&] { return late->has_endpoint("s-a"); });
  wait_until(
      "the rejection of each unknown peer",
      [&] {
        return std::all_of(unknown_peers.begin(), unknown_peers.end(),
                           [](auto& peer) { return peer->closed || !peer->received("error").empty(); });
      },
      3500);
  EXPECT_FALSE(early->closed);
  EXPECT_FALSE(late->closed);
}

// SIGHUP is sent with a configuration that names another discovery address, then with one that cannot be
// parsed. The first moves the watch; the second is logged and changes nothing.
TEST_F(PlatformProcess, NewConfigurationMovesTheWatchAndAnInvalidOneChangesNothing) {
  DiscoveryServer new_discovery(reactor);
  auto proxy = start_with_one_proxy();
  move_discovery(new_discovery);
  wait_until("a watch at the new address", [&] { return !new_discovery.watches.empty(); });
  write_configuration("{\"name\":");
  child->signal(SIGHUP);
  wait_until("the rejected configuration in the log", [&] {
    return base::read_file(path_prefix + ".log").value_or("").find("configuration_rejected") !=
           std::string::npos;
  });
  new_discovery.publish(endpoint_list(6, false, {endpoint_entry("s-b", "north", "terminating")}));
  wait_until("a drain from the new address", [&] { return !proxy->has_endpoint("s-b"); });
  EXPECT_FALSE(proxy->closed);
  EXPECT_EQ(child->stop(5000), 0);
}

// ---- Concurrent events, each ordered by a barrier ----

// The new discovery responds 503 with a body that looks like a list. The body must not be applied, the older
// watch must stay active, and the new address must be tried again.
TEST_F(PlatformProcess, WatchRefusedAfterAMoveLeavesTheOlderOneActive) {
  DiscoveryServer new_discovery(reactor);
  new_discovery.remaining_refusals = 2;
  auto proxy = start_with_one_proxy();
  move_discovery(new_discovery);
  wait_until("a refused watch", [&] { return new_discovery.remaining_refusals == 1; });
  discovery.publish(endpoint_list(6, false, {endpoint_entry("s-a", "north", "terminating")}));
  wait_until("the drain from the older watch", [&] { return !proxy->has_endpoint("s-a"); });
  EXPECT_TRUE(proxy->has_endpoint("s-b")) << "the body of a 503 response is not applied";
  wait_until("a retry at the new address while the older watch is open",
             [&] { return !new_discovery.watches.empty(); });
  EXPECT_NE(new_discovery.request_targets.back().find("from=6"), std::string::npos);
}

// At a restart the previous process still uses the listen address for a moment. The new process waits instead
// of failing.
TEST_F(PlatformProcess, AddressInUseByThePreviousProcessIsRetried) {
  auto previous_process = std::make_unique<net::Listener>(reactor, listen, [](auto) {});
  start();
  wait_until("the wait for the address", [&] {
    return base::read_file(path_prefix + ".log").value_or("").find("address_in_use") != std::string::npos;
  });
  EXPECT_FALSE(child->has_exited());
  previous_process.reset();
  wait_until("alive", [&] { return is_serving(); });
}

// Standard error is a full pipe without a reader. A blocking write would stop the assigner.
TEST_F(PlatformProcess, FullLogPipeDoesNotBlockTheProcess) {
  std::string pipe = path_prefix + ".pipe";
  ::unlink(pipe.c_str());
  ASSERT_EQ(::mkfifo(pipe.c_str(), 0600), 0);
  net::Fd reader(::open(pipe.c_str(), O_RDONLY | O_NONBLOCK));
  net::Fd writer(::open(pipe.c_str(), O_WRONLY | O_NONBLOCK));
  while (::write(writer.get(), "x", 1) == 1) {
  }
  start(pipe);
  wait_until("alive", [&] { return is_serving(); });
  auto proxy = register_proxy(0);
  wait_until("a table", [&] { return proxy->has_endpoint("s-a"); });
  child->signal(SIGTERM);
  wait_until(
      "the end of the process before SIGKILL would follow", [&] { return child->has_exited(); }, 700);
  EXPECT_EQ(child->stop(0), 0);
}

// SIGTERM arrives while discovery has not responded, while an object is partly received, and while a proxy
// does not read. In each case the process must end before SIGKILL would follow.
TEST_F(PlatformProcess, SigtermStopsTheProcessDuringUnfinishedOperations) {
  for (int k = 0; k < 3; ++k) {
    discovery.delay_responses = k == 0;
    discovery.watches.clear(), discovery.request_targets.clear();
    start();
    wait_until("the watch", [&] { return !discovery.watches.empty(); });
    std::unique_ptr<Peer> proxy;
    if (k == 1)
      discovery.watches.back().send_chunk(
          endpoint_list(6, true, {}).dump().substr(0, 20));  // part of a list object
    if (k == 2) {
      wait_until("alive", [&] { return is_serving(); });
      proxy = register_proxy(0);
      proxy->connection->set_reading_paused(true);  // the proxy does not read
      discovery.publish(endpoint_list(6, false, {endpoint_entry("s-a", "north", "terminating")}));
    }
    child->signal(SIGTERM);
    wait_until(
        "the end of the process", [&] { return child->has_exited(); }, 700);
    EXPECT_EQ(child->stop(0), 0) << k;
  }
}

// The process is stopped, and resumes with 600 connections of unknown peers that were opened after that of a
// proxy. The proxy's connection is the oldest and would be evicted first, but its registration waits in the
// kernel and must be read before that.
TEST_F(PlatformProcess, RegistrationAmongHundredsOfConnectionsInOneIterationIsRead) {
  start_and_wait();
  child->signal(SIGSTOP);
  std::vector<std::unique_ptr<Peer>> unknown_peers;
  auto first = register_proxy(0);  // the oldest connection; its registration waits in the kernel
  auto reset_proxy = register_proxy(1);
  wait_until("both connections", [&] { return first->connected && reset_proxy->connected; });
  reset_proxy->connection->reset();  // after its connection, before the assigner reads from it
  for (int k = 0; k < 600; ++k) unknown_peers.push_back(std::make_unique<Peer>(reactor, listen));
  wait_until("all connections", [&] {
    return std::all_of(unknown_peers.begin(), unknown_peers.end(),
                       [](auto& peer) { return peer->connected; });
  });
  child->signal(SIGCONT);
  wait_until("a table", [&] { return first->has_endpoint("s-a"); });
  EXPECT_FALSE(first->closed);
  auto reconnected = register_proxy(1);
  wait_until("a table for the proxy whose connection was reset",
             [&] { return reconnected->has_endpoint("s-a"); });
}

// A drain and two SIGHUPs with new settings arrive in one iteration of the event loop. The new controller
// must not lose the drain.
TEST_F(PlatformProcess, NewSettingsAndADrainInOneIterationKeepTheDrain) {
  auto proxy = start_with_one_proxy();
  child->signal(SIGSTOP);
  discovery.publish(endpoint_list(6, false, {endpoint_entry("s-a", "north", "terminating")}));
  config["settings"]["guarantees"]["warm_up"] = 9000.0;
  write_configuration(config.dump());
  child->signal(SIGHUP);
  child->signal(SIGHUP);
  child->signal(SIGCONT);
  wait_until("the drain", [&] { return !proxy->has_endpoint("s-a"); });
  EXPECT_TRUE(proxy->has_endpoint("s-b"));
  EXPECT_FALSE(proxy->closed);
}

// Guards against a crash: one message of 800 kB whose field is nested 400,000 levels deep ended the process.
// The message is dropped, and its peer and all others are served.
TEST_F(PlatformProcess, DeeplyNestedValueInAReportEndsNeitherTheProcessNorAStream) {
  auto proxy = start_with_one_proxy();
  proxy->connection->send(R"({"t":"demand","node":0,"route":"buy","errors":0,"interval":500,"total":)" +
                          beamshunt::test::nested_arrays() + "}\n");
  proxy->send({{"t", "probe"}});
  wait_until("the answer to the message after it", [&] { return !proxy->received("alive").empty(); });
  EXPECT_FALSE(child->has_exited());
  EXPECT_FALSE(proxy->closed);
  wait_until("a log line that names the field", [&] {
    return base::read_file(path_prefix + ".log").value_or("").find("field total is no number") !=
           std::string::npos;
  });
}

// The list that the process last received comes back in its configuration, with a deeply nested value in one
// entry. The process starts and uses the other entries.
TEST_F(PlatformProcess, DeeplyNestedValueInTheCachedListDoesNotPreventTheStart) {
  discovery.delay_responses = true;
  json entry = endpoint_entry("s-e", "north");
  entry["model"] = "@";
  config["known"]["targets"].push_back(entry);
  std::string bytes = config.dump();
  bytes.replace(bytes.find("\"@\""), 3, beamshunt::test::nested_arrays());
  start_with_bytes(bytes);
  wait_until("alive", [&] { return is_serving(); });
  auto proxy = register_proxy(0);
  wait_until("a table", [&] { return proxy->has_endpoint("s-a") && proxy->has_endpoint("s-e"); });
}

// Guards against empty tables: after one report with an interval of 1e-310 ms, proxies that registered later
// in another locality had no endpoint to send to until the process ended.
TEST_F(PlatformProcess, ImpossibleIntervalInAReportLeavesTablesForProxiesThatRegisterLater) {
  auto north = start_with_one_proxy();
  auto collector = std::make_unique<Peer>(reactor, listen);
  collector->send({{"t", "agent"}, {"locality", "north"}});
  json report = {{"t", "outcomes"}, {"locality", "north"}, {"total", 50},
                 {"errors", 0},     {"rtt", 40.0},         {"interval", 500.0}};
  for (const char* uid : {"s-a", "s-b", "s-c", "s-d"}) {
    report["endpoint"] = uid;
    collector->send(report);
  }
  report["interval"] = 1e-310;
  collector->send(report);
  // The weights are computed once per second.
  const Ms sent_at = reactor.now();
  wait_until("two steps", [&] { return reactor.now() > sent_at + 2500; });
  auto south = std::make_unique<Peer>(reactor, listen);
  south->send({{"t", "hello"}, {"node", 1}, {"locality", "south"}, {"w", 20.0}, {"cold", true}});
  wait_until("a table", [&] { return south->has_endpoint("s-c") && south->has_endpoint("s-d"); });
  EXPECT_FALSE(collector->closed);
}

// A required setting is missing. The process names it and exits with the code for unusable input.
TEST_F(PlatformProcess, InvalidConfigurationIsReportedAndEndsTheProcess) {
  config["settings"]["family_info"].erase("agents");
  start();
  wait_until("the end of the process", [&] { return child->has_exited(); });
  EXPECT_EQ(child->stop(0), 2);
  EXPECT_NE(base::read_file(path_prefix + ".log").value_or("").find("family_info.agents is missing"),
            std::string::npos);
}

}  // namespace
}  // namespace beamshunt::platform::test
