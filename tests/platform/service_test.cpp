// The assigner as the platform starts it: a process by the deploy file's `run`, against a small stand-in for
// discovery, tasks, proxies and strangers on loopback. BEAMSHUNT_RUN has the command.
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
#include "platform/rig.h"
#include "process/child.h"

namespace beamshunt::platform::test {
namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

class Peer {  // a connection to the assigner and all that it was told
 public:
  Peer(net::Reactor& reactor, net::Address to) : connection(net::Connection::dial(reactor, to, {})) {
    connection->start({[this] { connected = true; }, [this](std::string_view bytes) { came += bytes; },
                       [this] { over = true; }, [this](net::CloseReason) { over = true; }});
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
  bool over = false, connected = false;
};

struct Discovery {
  explicit Discovery(net::Reactor& reactor)
      : server(reactor, {kLoopback, 0},
               [this](http::Message&& request, http::Responder responder) {
                 asked.push_back(request.target);
                 if (refusals > 0) {
                   --refusals;
                   return responder.send(http::make_response(503, list(9, true, {}).dump() + "\n"));
                 }
                 if (holds) return watches.push_back(responder);
                 responder.begin_stream(200, "application/json");
                 responder.send_chunk(four().dump() + "\n");
                 watches.push_back(responder);
               },
               {}) {}
  void tell(const json& object) {
    for (auto& w : watches) w.send_chunk(object.dump() + "\n");
  }
  int refusals = 0;    // calls that are answered 503, with a body that looks like a list
  bool holds = false;  // calls wait for an answer
  std::vector<std::string> asked;
  std::vector<http::Responder> watches;
  http::Server server;
};

class PlatformProcess : public ::testing::Test {
 protected:
  void SetUp() override {
    const char* run = std::getenv("BEAMSHUNT_RUN");
    ASSERT_TRUE(run) << "BEAMSHUNT_RUN has the command that starts the assigner";
    run_line = run;
    folder = ::testing::TempDir() + "platform-" + std::to_string(::getpid());
    net::Listener free_port(reactor, {kLoopback, 0}, [](auto) {});
    listen = free_port.address();
    configured = configuration();
    configured["listen"] = net::to_string(listen);
    configured["discovery"] = net::to_string(discovery.server.address());
  }
  void write_configuration(const std::string& bytes) { base::replace_file(folder + ".json", bytes); }
  void start(const std::string& log = {}) {
    write_configuration(configured.dump());
    ::setenv("BALANCER_CONFIG", (folder + ".json").c_str(), 1);
    child = std::make_unique<process::Child>("/bin/sh",
                                             std::vector<std::string>{"-c", "ulimit -n 256; " + run_line},
                                             log.empty() ? folder + ".log" : log);
  }
  void start_and_wait() {
    start();
    until("alive", [&] { return alive(); });
  }
  bool alive() {
    if (!asking_peer || asking_peer->over) {
      asking_peer = std::make_unique<Peer>(reactor, listen);
      asking_peer->say({{"t", "probe"}});
    }
    return !asking_peer->told("alive").empty();
  }
  void until(const char* what, const std::function<bool()>& done, Ms most = 10000) {
    bool expired = false;
    auto limit = reactor.call_at(base::monotonic_ms() + most, [&] { expired = true, reactor.stop(); });
    std::function<void()> look = [&] {
      if (done()) return reactor.stop();
      reactor.call_at(reactor.now() + 10, look);
    };
    auto first = reactor.call_at(reactor.now(), look);
    reactor.run();
    reactor.cancel_timer(limit), reactor.cancel_timer(first);
    ASSERT_FALSE(expired) << what << "; log: " << base::read_file(folder + ".log").value_or("");
  }
  std::unique_ptr<Peer> join(int node) {
    auto peer = std::make_unique<Peer>(reactor, listen);
    peer->say({{"t", "hello"}, {"node", node}, {"locality", "north"}, {"w", 20.0}, {"cold", true}});
    return peer;
  }
  std::unique_ptr<Peer> start_and_serve_one() {
    start_and_wait();
    auto proxy = join(0);
    until("a table", [&] { return proxy->holds("s-a"); });
    return proxy;
  }
  void move_to(Discovery& other) {
    configured["discovery"] = net::to_string(other.server.address());
    write_configuration(configured.dump());
    child->signal(SIGHUP);
  }

  net::Reactor reactor;
  Discovery discovery{reactor};
  net::Address listen;
  json configured;
  std::unique_ptr<process::Child> child;
  std::string run_line, folder;
  std::unique_ptr<Peer> asking_peer;
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

// Four hundred strangers connect under a limit of 256 descriptors: silent, speaking HTTP, stopping in the
// middle or sending without end. Proxies before and after them are served.
TEST_F(PlatformProcess, HundredsOfStrangersAreRejectedAndProxiesAreServedMeanwhile) {
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

// SIGHUP comes with a configuration that names another discovery, then with one that can't be read. The
// first moves the watch; the second is logged and changes nothing.
TEST_F(PlatformProcess, ANewConfigurationMovesTheWatchAndABadOneChangesNothing) {
  Discovery other(reactor);
  auto proxy = start_and_serve_one();
  move_to(other);
  until("a watch at the new address", [&] { return !other.watches.empty(); });
  write_configuration("{\"name\":");
  child->signal(SIGHUP);
  until("a refusal in the log", [&] {
    return base::read_file(folder + ".log").value_or("").find("configuration_rejected") != std::string::npos;
  });
  other.tell(list(6, false, {target("s-b", "north", "terminating")}));
  until("a drain by the new address", [&] { return !proxy->holds("s-b"); });
  EXPECT_FALSE(proxy->over);
  EXPECT_EQ(child->stop(5000), 0);
}

// ---- Where two events cross, each forced by a barrier ----

// The new discovery answers 503 with a body that looks like a list. The body must not be applied, the
// former watch must go on, and the new address must be tried again.
TEST_F(PlatformProcess, AWatchThatIsRefusedAfterAMoveLeavesTheFormerOneAtWork) {
  Discovery other(reactor);
  other.refusals = 2;
  auto proxy = start_and_serve_one();
  move_to(other);
  until("a refusal", [&] { return other.refusals == 1; });
  discovery.tell(list(6, false, {target("s-a", "north", "terminating")}));
  until("the drain by the former watch", [&] { return !proxy->holds("s-a"); });
  EXPECT_TRUE(proxy->holds("s-b")) << "the body of a refusal is no list";
  until("the new address asked again while the former one lives", [&] { return !other.watches.empty(); });
  EXPECT_NE(other.asked.back().find("from=6"), std::string::npos);
}

// At a restart the former process still holds the listening address for a moment. The new one waits instead
// of failing.
TEST_F(PlatformProcess, AnAddressThatTheProcessBeforeStillHoldsIsWaitedFor) {
  auto former = std::make_unique<net::Listener>(reactor, listen, [](auto) {});
  start();
  until("that it waits", [&] {
    return base::read_file(folder + ".log").value_or("").find("address_in_use") != std::string::npos;
  });
  EXPECT_FALSE(child->has_exited());
  former.reset();
  until("alive", [&] { return alive(); });
}

// Standard error is a full pipe that nobody reads. A write that blocked would stop the assigner.
TEST_F(PlatformProcess, NothingWaitsOnALogThatNobodyReads) {
  std::string pipe = folder + ".pipe";
  ::unlink(pipe.c_str());
  ASSERT_EQ(::mkfifo(pipe.c_str(), 0600), 0);
  net::Fd reader(::open(pipe.c_str(), O_RDONLY | O_NONBLOCK));
  net::Fd writer(::open(pipe.c_str(), O_WRONLY | O_NONBLOCK));
  while (::write(writer.get(), "x", 1) == 1) {
  }
  start(pipe);
  until("alive", [&] { return alive(); });
  auto proxy = join(0);
  until("a table", [&] { return proxy->holds("s-a"); });
  child->signal(SIGTERM);
  until(
      "an end before SIGKILL may follow", [&] { return child->has_exited(); }, 700);
  EXPECT_EQ(child->stop(0), 0);
}

// SIGTERM comes while discovery has not answered, while an object is half received, and while a proxy does
// not read. Each time the process must end before SIGKILL follows.
TEST_F(PlatformProcess, SigtermEndsItInOrderWhateverIsHalfDone) {
  for (int k = 0; k < 3; ++k) {
    discovery.holds = k == 0;
    discovery.watches.clear(), discovery.asked.clear();
    start();
    until("its watch", [&] { return !discovery.watches.empty(); });
    std::unique_ptr<Peer> proxy;
    if (k == 1)
      discovery.watches.back().send_chunk(list(6, true, {}).dump().substr(0, 20));  // a list in half
    if (k == 2) {
      until("alive", [&] { return alive(); });
      proxy = join(0);
      proxy->connection->set_reading_paused(true);  // a message that is not read
      discovery.tell(list(6, false, {target("s-a", "north", "terminating")}));
    }
    child->signal(SIGTERM);
    until(
        "an end", [&] { return child->has_exited(); }, 700);
    EXPECT_EQ(child->stop(0), 0) << k;
  }
}

// The process was stopped, and wakes to 600 strangers that came after a proxy. The proxy is the oldest and
// would make room first, but its registration waits in the kernel and must be read before that.
TEST_F(PlatformProcess, ARegistrationAmongHundredsOfStrangersInOneTurnIsRead) {
  start_and_wait();
  child->signal(SIGSTOP);
  std::vector<std::unique_ptr<Peer>> strangers;
  auto first = join(0);  // the oldest of all, and its registration waits in the kernel
  auto gone = join(1);
  until("that they are there", [&] { return first->connected && gone->connected; });
  gone->connection->reset();  // between its connect and the first read
  for (int k = 0; k < 600; ++k) strangers.push_back(std::make_unique<Peer>(reactor, listen));
  until("that all wait", [&] {
    return std::all_of(strangers.begin(), strangers.end(), [](auto& s) { return s->connected; });
  });
  child->signal(SIGCONT);
  until("a table", [&] { return first->holds("s-a"); });
  EXPECT_FALSE(first->over);
  auto again = join(1);
  until("a table for who was reset", [&] { return again->holds("s-a"); });
}

// A drain and two SIGHUPs with new settings come in one turn of the loop. The new controller must not lose
// the drain.
TEST_F(PlatformProcess, OtherSettingsAndADrainInOneTurn) {
  auto proxy = start_and_serve_one();
  child->signal(SIGSTOP);
  discovery.tell(list(6, false, {target("s-a", "north", "terminating")}));
  configured["settings"]["guarantees"]["warm_up"] = 9000.0;
  write_configuration(configured.dump());
  child->signal(SIGHUP);
  child->signal(SIGHUP);
  child->signal(SIGCONT);
  until("the drain", [&] { return !proxy->holds("s-a"); });
  EXPECT_TRUE(proxy->holds("s-b"));
  EXPECT_FALSE(proxy->over);
}

// A setting that is needed is missing. The process names it and ends with the exit code for unusable input.
TEST_F(PlatformProcess, WithoutAValidConfigurationItSaysWhyAndEnds) {
  configured["settings"]["family_info"].erase("agents");
  start();
  until("an end", [&] { return child->has_exited(); });
  EXPECT_EQ(child->stop(0), 2);
  EXPECT_NE(base::read_file(folder + ".log").value_or("").find("family_info.agents is missing"),
            std::string::npos);
}

}  // namespace
}  // namespace beamshunt::platform::test
