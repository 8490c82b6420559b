#include "measure/measure.h"

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

#include <boost/histogram.hpp>
#include <csignal>
#include <filesystem>
#include <functional>
#include <memory>
#include <set>
#include <stdexcept>
#include <vector>

#include "base/file.h"
#include "native_protocol/frames.h"
#include "process/child.h"
#include "standin/control.h"
#include "standin/list.h"
#include "standin/receiver.h"
#include "telemetry/exporter.h"

namespace beamshunt::measure {
namespace {

using base::Ms;
namespace bh = boost::histogram;

constexpr std::uint32_t kLoopback = 127u << 24 | 200u << 16;  // 127.200.0.0/16 is the measurements' own
constexpr net::Address kChannel{kLoopback | 1, 7000}, kAdmin{kLoopback | 1, 7001}, kList{kLoopback | 2, 7100},
    kEcho{kLoopback | 3, 7200}, kReceiver{kLoopback | 4, 9090}, kControl{kLoopback | 5, 7300};
constexpr std::size_t kInFlight = 8;  // reports or echoes a stream has out at once when it floods

rlim_t raise_descriptors() {  // to what this process may have; how many that is
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

auto log_histogram() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(400, 0.001, 100000.0));
}
using Histogram = decltype(log_histogram());
// The upper edge of the bin in which the quantile lies: within 5% above it.
double quantile(const Histogram& h, double q) {
  double all = bh::algorithm::sum(h), sum = 0;
  for (int k = -1; k <= h.axis().size(); ++k) {
    sum += h.at(k);
    if (sum >= q * all && all > 0) return h.axis().value(k + 1);
  }
  return 0;
}

// Many streams from this process, as proxies that apply at once or as echoers.
class Swarm {
 public:
  explicit Swarm(net::Reactor& reactor) : reactor_(reactor) {}
  ~Swarm() { close(); }

  void open(int count, bool echoing) {
    echoing_ = echoing;
    for (int k = 0; k < count; ++k) {
      auto s = std::make_unique<Stream>();
      s->id = static_cast<std::uint32_t>(streams_.size());
      streams_.push_back(std::move(s));
    }
    dial_some();
  }
  void close() {
    for (auto& s : streams_)
      if (s->connection) s->connection->close();
    streams_.clear();
    ready = 0, next_ = 0;
  }
  void flood(bool on) {
    flooding_ = on;
    for (auto& s : streams_)
      for (std::size_t k = 0; on && k < kInFlight; ++k) push(*s);
  }
  // Each stream each period, spread over it.
  void report_each(Ms period) {
    for (std::size_t k = 0; k < streams_.size(); ++k)
      report_again(k, period,
                   reactor_.now() + period * static_cast<double>(k) / static_cast<double>(streams_.size()));
  }
  int servers = 1;
  std::size_t ready = 0;  // streams that were welcomed (or, echoing, are connected)
  std::uint64_t orders = 0, lines = 0, back = 0;
  Histogram latency = log_histogram();
  std::size_t size() const { return streams_.size(); }

 private:
  struct Stream {
    std::uint32_t id = 0;
    std::shared_ptr<net::Connection> connection;
    native_protocol::FrameParser parser;
    std::uint64_t report = 0;
  };

  void report_again(std::size_t k, Ms period, Ms when) {
    reactor_.call_at(when, [this, k, period, when, alive = std::weak_ptr(alive_)] {
      if (alive.expired()) return;
      send_report(*streams_[k], period);
      report_again(k, period, when + period);
    });
  }
  void dial_some() {  // not all in one turn: the listener's queue is short
    constexpr std::size_t kAtOnce = 200;
    for (std::size_t k = 0; k < kAtOnce && next_ < streams_.size(); ++k, ++next_) dial(*streams_[next_]);
    if (next_ < streams_.size())
      reactor_.call_at(reactor_.now() + 20, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) dial_some();
      });
  }
  void dial(Stream& s) {
    // A source address carries some 28,000 ports: four of them are enough for any count measured here.
    net::Address from{kLoopback | 16 | s.id % 4, 0};
    s.connection = net::Connection::dial(reactor_, echoing_ ? kEcho : kChannel, from);
    s.connection->start(
        {[this, &s] {
           if (echoing_) ++ready;
           else
             s.connection->send(native_protocol::encode(native_protocol::Hello{.proxy = s.id,
                                                                               .incarnation = 1,
                                                                               .attempt = 1,
                                                                               .locality = "here",
                                                                               .expected_rate = 10,
                                                                               .only_static_tables = true}));
         },
         [this, &s](std::string_view bytes) { came(s, bytes); },
         {},
         [](net::CloseReason reason) {
           throw std::runtime_error(std::string("a stream broke: ") + net::close_reason_name(reason));
         }});
  }
  void came(Stream& s, std::string_view bytes) {
    std::vector<native_protocol::Frame> frames;
    s.parser.feed(bytes, frames);
    for (const native_protocol::Frame& f : frames) {
      if (std::get_if<native_protocol::Welcome>(&f)) ++ready;
      if (std::get_if<native_protocol::LoadReportMessage>(&f)) ++back, push(s);
      if (std::get_if<native_protocol::Pong>(&f)) ++back, push(s);
      if (auto* ping = std::get_if<native_protocol::Ping>(&f))
        s.connection->send(native_protocol::encode(native_protocol::Pong{ping->token}));
      if (auto* refuse = std::get_if<native_protocol::Refuse>(&f))
        throw std::runtime_error("refused: " + refuse->reason);
      if (auto* o = std::get_if<native_protocol::UpdateMessage>(&f)) {
        ++orders, lines += o->updates.size();
        latency(std::max(0.001, base::monotonic_ms() - o->decided_at_ms));
        s.connection->send(native_protocol::encode(native_protocol::Acknowledgement{o->sequence}));
      }
    }
  }
  void push(Stream& s) {
    if (!flooding_) return;
    send_report(s, 250);
    // An assigner does not answer reports: a ping behind each tells when it has been read.
    if (!echoing_) s.connection->send(native_protocol::encode(native_protocol::Ping{++s.report}));
  }
  void send_report(Stream& s, Ms span) const {
    native_protocol::LoadReportMessage report{.sequence = ++s.report, .interval_ms = span};
    for (std::uint32_t e = 0; e < 10; ++e)  // ten endpoints and three classes: as a proxy of a day reports
      report.endpoints.push_back(
          {(s.id + e) % static_cast<std::uint32_t>(servers) + 1, 10, 0, 20, {{"utilization", 0.4}}});
    for (std::uint16_t c = 0; c < 3; ++c) report.demand.push_back({c, 30, 0});
    s.connection->send(native_protocol::encode(report));
  }

  net::Reactor& reactor_;
  std::vector<std::unique_ptr<Stream>> streams_;
  std::size_t next_ = 0;
  bool echoing_ = false, flooding_ = false;
  std::shared_ptr<int> alive_ = std::make_shared<int>();  // timers may outlive the swarm
};

class Bench {
 public:
  explicit Bench(Options o) : o_(std::move(o)) {
    std::string pattern = (std::filesystem::temp_directory_path() / "beamshunt-measure-XXXXXX").string();
    if (!::mkdtemp(pattern.data())) throw std::runtime_error("cannot make a folder at " + pattern);
    folder_ = pattern;
    auto wanted = static_cast<rlim_t>(std::max(o_.active, o_.idle)) + 100;
    if (rlim_t allowed = raise_descriptors(); allowed < wanted)
      throw std::runtime_error(
          fmt::format("{} descriptors are allowed here, {} are needed", allowed, wanted));
    if (auto reason = world_.locality_of.add("127.200.0.0/16", 0)) throw std::logic_error(*reason);
    list_ = std::make_unique<standin::ListService>(world_, kList, std::vector<std::string>{"here"});
    for (int e = 1; e <= o_.servers; ++e) list_->change(listing(static_cast<std::uint32_t>(e)), 0);
  }
  ~Bench() {
    std::error_code none;
    std::filesystem::remove_all(folder_, none);
  }

  // From a version's offer to its answer, with and without the rehearsal by turns, and the loop meanwhile.
  void run_config() {
    fmt::print("measurement,figure,value\n");
    standin::Receiver receiver(world_, kReceiver);
    for (const char* kind :
         {"no versions", "without the shadow", "with the shadow", "without the shadow", "with the shadow"})
      answer_times(kind, receiver);
  }

  void run() {
    fmt::print("measurement,figure,value\n");
    double floor = echo_floor();
    double reports = report_rate("reports");
    fmt::print("ratio,reports to echo floor,{:.2f}\n", reports / floor);
    figures_cost(reports);
    order_latency();
    idle_streams();
  }

 private:
  standin::Listing listing(std::uint32_t id) const {
    return {.id = id, .locality = 0, .cell = 0, .size = 2, .address = {kLoopback | 0x200 | id, 8000}};
  }
  void until(const std::function<bool()>& done, Ms most) {
    Ms limit = world_.now() + most;
    bool late = false;
    std::function<void()> look = [&] {
      bool met = done();
      if (!met) late = world_.now() > limit;
      if (met || late) return world_.reactor.stop();
      world_.reactor.call_at(world_.now() + 5, look);
    };
    world_.reactor.call_at(world_.now(), look);
    world_.reactor.run();
    if (late) throw std::runtime_error("a measurement did not get ready in time");
  }
  void wait(Ms time) {
    world_.reactor.call_at(world_.now() + time, [this] { world_.reactor.stop(); });
    world_.reactor.run();
  }
  void await_listener(net::Address at) {
    bool listens = false;
    std::shared_ptr<net::Connection> knock;
    std::function<void()> dial = [&] {
      knock = net::Connection::dial(world_.reactor, at, {kLoopback | 16, 0});
      knock->start({[&] { listens = true; }, {}, {}, [&](net::CloseReason) { knock.reset(); }});
    };
    until(
        [&] {
          if (!listens && !knock) dial();
          return listens;
        },
        10000);
    knock->close();
  }
  std::unique_ptr<process::Child> start_assigner(double heartbeat_ms, const std::string& more = {}) {
    std::string file = folder_ + "/assigner.cue";
    base::replace_file(
        file, fmt::format(R"(
home: "here"
listen: {{channel: "{}", admin: "{}"}}
discovery: "{}"
state: "{}/state"
log: level: "error"
streams: heartbeat: {}ms
site: {{
  localities: [{{name: "here", prefixes: ["127.200.0.0/16"]}}]
  classes: [{{name: "a", slo: 500ms, deadline: 2s}}, {{name: "b", slo: 500ms, deadline: 2s}},
            {{name: "c", slo: 500ms, deadline: 2s}}]
  proxies: {}
  channel: {{lines_per_s: 1e9/s, most_waiting_lines: 1e9, messages: 0}}
  reports: {{period: 250ms, lines_per_s: 5000/s}}
}}
{}
)",
                          net::to_string(kChannel), net::to_string(kAdmin), net::to_string(kList), folder_,
                          heartbeat_ms, std::max(o_.active, o_.idle), more));
    auto child = std::make_unique<process::Child>(o_.program, std::vector<std::string>{"serve", file});
    await_listener(kChannel);
    return child;
  }
  // All streams send as fast as they are answered: answers a second, and what each costs the other side.
  double flood_rate(Swarm& swarm, const process::Child& child, const char* name, const char* what,
                    const char* unit) {
    swarm.flood(true);
    wait(1000);
    std::uint64_t before = swarm.back;
    double cpu = child.cpu_seconds();
    wait(o_.seconds * 1000);
    double rate = static_cast<double>(swarm.back - before) / o_.seconds;
    fmt::print("{},{} a second over {} streams,{:.0f}\n", name, what, o_.active, rate);
    fmt::print("{},CPU us a {},{:.2f}\n", name, unit,
               (child.cpu_seconds() - cpu) / (rate * o_.seconds) * 1e6);
    return rate;
  }
  double echo_floor() {
    process::Child child(o_.program, {"measure", "--echo", net::to_string(kEcho)});
    await_listener(kEcho);
    Swarm swarm(world_.reactor);
    swarm.open(o_.active, true);
    until([&] { return swarm.ready == swarm.size(); }, 20000);
    return flood_rate(swarm, child, "echo floor", "report frames echoed", "frame");
  }
  double report_rate(const char* name, const std::string& more = {}) {
    auto child = start_assigner(60000, more);
    Swarm swarm(world_.reactor);
    swarm.servers = o_.servers;
    swarm.open(o_.active, false);
    until([&] { return swarm.ready == swarm.size(); }, 30000);
    wait(1500);
    return flood_rate(swarm, *child, name, "taken (13 lines each)", "report");
  }
  // With and without figures by turns: the machine's speed drifts by more than they cost.
  void figures_cost(double first_without) {
    constexpr int kTurns = 3;
    std::string more =
        fmt::format("remote_write: {{url: \"http://{}/w\", interval: 1s}}", net::to_string(kReceiver));
    standin::Receiver receiver(world_, kReceiver);
    double with = 0, without = first_without;
    for (int turn = 0; turn < kTurns; ++turn) {
      with += report_rate("reports with figures sent each second", more);
      if (turn + 1 < kTurns) without += report_rate("reports without");
    }
    fmt::print("ratio,reports with figures to without,{:.3f}\n", with / without);
    fmt::print("figures,samples that the receiver took,{}\n", receiver.samples());
  }
  // Servers drain and return by turns: each change is an order to every proxy whose table has them.
  void order_latency() {
    auto child = start_assigner(60000);
    Swarm swarm(world_.reactor);
    swarm.servers = o_.servers;
    swarm.open(o_.active, false);
    until([&] { return swarm.ready == swarm.size(); }, 30000);
    swarm.report_each(250);
    wait(3000);
    swarm.latency.reset();
    std::uint64_t orders = swarm.orders, lines = swarm.lines;
    double cpu = child->cpu_seconds();
    changing_ = true;
    change_list(0);
    wait(o_.seconds * 1000);
    changing_ = false;
    double seconds = o_.seconds;
    fmt::print("orders,messages a second to {} proxies,{:.0f}\n", o_.active,
               static_cast<double>(swarm.orders - orders) / seconds);
    fmt::print("orders,lines a second,{:.0f}\n", static_cast<double>(swarm.lines - lines) / seconds);
    for (double q : {0.5, 0.99, 0.999})
      fmt::print("orders,decided to applied p{:g} ms,{:.2f}\n", q * 100, quantile(swarm.latency, q));
    fmt::print("orders,assigner CPU share while {} proxies report four times a second,{:.2f}\n", o_.active,
               (child->cpu_seconds() - cpu) / seconds);
    fmt::print("orders,resident KiB,{:.0f}\n", child->resident_kib());
  }
  void change_list(std::uint32_t turn) {
    if (!changing_) return;
    standin::Listing l = listing(turn / 2 % static_cast<std::uint32_t>(o_.servers) + 1);
    if (turn % 2 == 0) l.state = standin::ListTold::State::terminating;
    list_->change(l, 0);
    world_.reactor.call_at(world_.now() + 100, [this, turn] { change_list(turn + 1); });
  }
  void answer_times(const std::string& kind, standin::Receiver& receiver) {
    constexpr Ms kEvery = 100;
    standin::ControlService service(world_, kControl, "ops");
    service.skip_to(next_version_);  // the state folder knows the versions of the turn before
    auto child = start_assigner(
        60000,
        fmt::format("control: {{origin: \"ops\", services: [\"{}\"], watch: time: 0ms, shadow: length: {}}}\n"
                    "remote_write: {{url: \"http://{}/w\", interval: 100ms}}",
                    net::to_string(kControl), kind == "with the shadow" ? "4s" : "0ms",
                    net::to_string(kReceiver)));
    Swarm swarm(world_.reactor);
    swarm.servers = o_.servers;
    swarm.open(o_.active, false);
    until([&] { return swarm.ready == swarm.size() && service.subscribers() > 0; }, 30000);
    swarm.report_each(250);
    wait(3000);
    auto since = static_cast<std::int64_t>(base::wall_ms());
    Ms end = world_.now() + o_.seconds * 1000;
    for (int k = 0; world_.now() < end; ++k) {  // each takes effect in place: no take-over is waited for
      if (kind != "no versions") {
        std::size_t answered = service.answers().size();
        service.publish({{{"settings", "site"}, fmt::format("streams: hello_within: {}ms", 1000 + k)}});
        until([&] { return service.answers().size() > answered; }, 10000);
      }
      wait(kEvery);
    }
    std::vector<double> took, lag;
    for (auto& a : service.answers()) {
      if (a.answer.verdict != config_stream::Verdict::ack)
        throw std::runtime_error("a sound version was not taken: " +
                                 config_stream::to_string(a.answer.reasons.at(0)));
      took.push_back(a.took);
      next_version_ = a.answer.number + 1;
    }
    for (auto& [labels, samples] : receiver.store().series())
      if (telemetry::label_of(labels, "__name__") == "beamshunt_loop_lag_seconds")
        for (auto& [at, value] : samples)
          if (at > since && !telemetry::is_stale_marker(value)) lag.push_back(value * 1000);
    auto part = [](std::vector<double>& values, double q) {
      std::sort(values.begin(), values.end());
      return values.empty() ? 0.0
                            : values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
    };
    if (!took.empty())
      fmt::print(
          "{0},versions answered,{1}\n{0},offer to answer p50 ms,{2:.2f}\n{0},offer to answer p99 "
          "ms,{3:.2f}\n",
          kind, took.size(), part(took, 0.5), part(took, 0.99));
    fmt::print(
        "{0},longest turn of the loop in 100 ms p50 ms,{1:.2f}\n{0},longest turn of the loop in 100 ms p99 "
        "ms,{2:.2f}\n",
        kind, part(lag, 0.5), part(lag, 0.99));
    std::fflush(stdout);
  }
  void idle_streams() {
    auto child = start_assigner(5000);
    double memory = child->resident_kib();
    Swarm swarm(world_.reactor);
    swarm.servers = o_.servers;
    Ms begun = world_.now();
    swarm.open(o_.idle, false);
    until([&] { return swarm.ready == swarm.size(); }, 120000);
    fmt::print("idle,{} streams welcomed within ms,{:.0f}\n", o_.idle, world_.now() - begun);
    wait(3000);
    double cpu = child->cpu_seconds();
    wait(o_.seconds * 1000);
    fmt::print("idle,CPU share with heartbeats each 5 s,{:.3f}\n", (child->cpu_seconds() - cpu) / o_.seconds);
    fmt::print("idle,resident KiB a proxy,{:.2f}\n", (child->resident_kib() - memory) / o_.idle);
    fmt::print("idle,streams still open,{}\n", swarm.ready);
  }

  std::uint64_t next_version_ = 1;
  Options o_;
  std::string folder_;
  standin::World world_;
  bool changing_ = false;
  std::unique_ptr<standin::ListService> list_;
};

}  // namespace

void measure_config(const Options& options) { Bench(options).run_config(); }

void measure_channel(const Options& options) { Bench(options).run(); }

void echo(const std::string& address) {
  auto at = net::parse_address(address);
  if (!at) throw std::runtime_error("'" + address + "' is no address");
  raise_descriptors();
  net::Reactor reactor;
  reactor.on_signal(SIGTERM, [&] { reactor.stop(); });
  struct Stream {
    std::shared_ptr<net::Connection> connection;
    native_protocol::FrameParser parser;
  };
  std::set<std::shared_ptr<Stream>> streams;
  net::Listener listener(reactor, *at, [&](std::shared_ptr<net::Connection> c) {
    auto s = std::make_shared<Stream>();
    s->connection = c;
    streams.insert(s);
    c->start({{},
              [s = s.get()](std::string_view bytes) {
                std::vector<native_protocol::Frame> frames;
                s->parser.feed(bytes, frames);
                for (const native_protocol::Frame& f : frames)
                  s->connection->send(native_protocol::encode(f));
              },
              {},
              [&streams, weak = std::weak_ptr(s)](net::CloseReason) { streams.erase(weak.lock()); }});
  });
  reactor.run();
}

}  // namespace beamshunt::measure
