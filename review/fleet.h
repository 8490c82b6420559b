// A small deployment around one assigner: tasks that answer requests over HTTP, proxies that route by tables
// that the assigner wrote, one collector a zone, and the channel with its pace and delay.
#pragma once

#include <algorithm>
#include <deque>

#include "peers.h"

namespace review {

struct FleetOptions {
  std::vector<std::string> zones;
  std::vector<std::string> classes;
  std::vector<double> shares;            // of the requests, by class
  std::vector<double> work_ms;           // mean time that a request takes at a task, by class
  std::vector<bool> home_only;           // by class
  int default_again = 0;                 // what proxies do where no way of trying again is set
  double rate = 10;                      // requests a second of one proxy
  double lines_per_s = 9000, head = 10;  // the channel
  double late_least = 130, late_most = 420;
  double period = 500;  // of reports
  double heard_late = 700;
  int ejects = 3;  // failures in a row after which a proxy avoids a task
  std::string task_ip_prefix = "127.77.0.";
  unsigned seed = 7;
};

// One task: it answers requests after their work, reports its load when probed, drains, and ends.
class Task {
 public:
  Task(Loop& loop, const FleetOptions& options, std::string uid, std::string zone, int number)
      : uid(std::move(uid)), zone(std::move(zone)), loop_(loop) {
    server_ = std::make_unique<HttpServer>(
        loop, options.task_ip_prefix + std::to_string(number), 0,
        [this](const std::string& target, const auto& connection) {
          if (target.starts_with("/-/"))
            return connection->send(HttpServer::response(
                200, "TEXT inflight=" + std::to_string(in_hand_) +
                         ", queue=0, util=" + std::to_string(std::min(1.0, in_hand_ / 6.0))));
          // /request/<id>/<work in ms>
          ++taken;
          ++in_hand_;
          double work = std::stod(target.substr(target.rfind('/') + 1));
          std::weak_ptr<Connection> to = connection;
          loop_.after(work, [this, to] {
            --in_hand_;
            if (auto open = to.lock()) open->send(HttpServer::response(200, "done"));
          });
        });
  }
  const std::string& address() const { return server_->address(); }
  void end() {
    ended = true;
    server_->stop();
  }
  json entry(const std::string& state, double boot_ms) const {
    return {{"uid", uid},     {"endpoint", address()}, {"az", zone},           {"model", "twin-fast"},
            {"pod_group", 1}, {"state", state},        {"capacity_hint", 1.0}, {"boot_ms", boot_ms}};
  }
  std::string uid, zone;
  bool ended = false;
  int taken = 0;

 private:
  Loop& loop_;
  int in_hand_ = 0;
  std::unique_ptr<HttpServer> server_;
};

// What one zone's proxies met at each task and what came to each proxy, for the collectors.
struct Outcome {
  int total = 0, errors = 0;
  double rtt_sum = 0;
};

class Fleet;

class Proxy {
 public:
  Proxy(Fleet& fleet, int node, std::string zone) : node(node), zone(std::move(zone)), fleet_(fleet) {
    prepare();
  }
  void prepare();
  void dial();
  void send_request();
  void on_message(const json& part);
  void apply(const std::vector<json>& message);
  int node;
  std::string zone;
  bool joined = false;
  double joined_at = 0;
  std::vector<double> arrivals_at;                              // of messages, since the joining
  std::map<std::string, std::map<std::string, double>> tables;  // by class: task and weight
  std::map<std::string, int> again;
  std::map<std::string, double> gate;
  std::set<std::string> dropped;
  std::map<std::string, Outcome> outcomes;
  std::map<std::string, int> demand;

 private:
  void attempt(const std::string& name, double work, int tries_left, const std::string& not_this,
               int request);
  std::string pick(const std::string& name, const std::string& not_this);
  Fleet& fleet_;
  std::unique_ptr<Peer> peer_;
  bool ever_joined_ = false;
  std::vector<json> parts_;
  double last_effect_ = 0;  // messages reach a proxy in order
  std::vector<double> due_;
  std::map<std::string, int> failures_;
  std::map<std::string, double> avoided_until_;
  std::map<std::string, std::vector<std::shared_ptr<Connection>>> idle_;
  friend class Fleet;
};

class Fleet {
 public:
  Fleet(Loop& l, FleetOptions o, Assigner& a)
      : loop(l), options(std::move(o)), assigner(a), random(options.seed) {}
  Task& add_task(const std::string& uid, const std::string& zone) {
    return *(tasks[uid] = std::make_unique<Task>(loop, options, uid, zone, ++last_task_));
  }
  void add_proxy(const std::string& zone) {
    proxies.push_back(std::make_unique<Proxy>(*this, static_cast<int>(proxies.size()), zone));
  }
  // A proxy starts with a table of some listed tasks, in its zone if there are any.
  void start(std::size_t standing = 12) {
    for (auto& proxy : proxies) join(*proxy, standing);
    for (auto& zone : options.zones) collector(zone);
    loop.every(options.period, [this] { report(); });
    for (auto& proxy : proxies) next_request(*proxy);
  }
  // Adds a proxy that joins now, with tables that another assigner gave it.
  void join_late(const std::string& zone, std::size_t standing = 12) {
    add_proxy(zone);
    proxies.back()->ever_joined_ = true;
    join(*proxies.back(), standing);
    next_request(*proxies.back());
  }
  double uniform(double from, double to) { return std::uniform_real_distribution<>(from, to)(random); }
  // Called at each send of a request to a task.
  std::function<void(Proxy&, const std::string&, int)> on_send = [](Proxy&, const std::string&, int) {};

  Loop& loop;
  FleetOptions options;
  Assigner& assigner;
  std::mt19937 random;
  std::map<std::string, std::unique_ptr<Task>> tasks;
  std::vector<std::unique_ptr<Proxy>> proxies;
  std::map<std::string, std::unique_ptr<Peer>> collectors;
  double channel_free_at = 0;
  int requests = 0, answered = 0, failed = 0, refused = 0;
  bool stopped = false;

 private:
  friend class Proxy;
  void join(Proxy& proxy, std::size_t standing) {
    std::vector<std::string> uids;
    for (auto& [uid, task] : tasks)
      if (task->zone == proxy.zone) uids.push_back(uid);
    std::shuffle(uids.begin(), uids.end(), random);
    for (std::size_t k = 0; k < std::min(standing, uids.size()); ++k)
      for (auto& name : options.classes) proxy.tables[name][uids[k]] = 1;
    proxy.dial();
  }
  void collector(const std::string& zone) {
    collectors[zone] = std::make_unique<Peer>(
        loop, assigner.listen(), [](const json&) {},
        [this, zone] {
          if (!stopped) loop.after(500, [this, zone] { collector(zone); });
        });
    collectors[zone]->send({{"t", "agent"}, {"locality", zone}});
  }
  void next_request(Proxy& proxy) {  // clients send evenly
    loop.after(uniform(0, 1000 / options.rate), [this, &proxy] {
      loop.every(1000 / options.rate, [this, &proxy] {
        if (!stopped) proxy.send_request();
      });
    });
  }
  void report() {
    std::map<std::string, std::map<std::string, Outcome>> by_zone;
    for (auto& proxy : proxies) {
      for (auto& [uid, outcome] : proxy->outcomes) {
        Outcome& sum = by_zone[proxy->zone][uid];
        sum.total += outcome.total, sum.errors += outcome.errors, sum.rtt_sum += outcome.rtt_sum;
      }
      proxy->outcomes.clear();
      for (auto& [name, total] : std::exchange(proxy->demand, {}))
        if (proxy->peer_ && proxy->joined)
          loop.after(options.heard_late, [p = proxy.get(), message = json{{"t", "demand"},
                                                                          {"node", proxy->node},
                                                                          {"route", name},
                                                                          {"total", total},
                                                                          {"errors", 0},
                                                                          {"interval", options.period}}] {
            if (p->joined) p->peer_->send(message);
          });
    }
    for (auto& [zone, outcomes] : by_zone)
      for (auto& [uid, outcome] : outcomes) {
        int good = outcome.total - outcome.errors;
        json message = {{"t", "outcomes"},
                        {"locality", zone},
                        {"endpoint", uid},
                        {"total", outcome.total},
                        {"errors", outcome.errors},
                        {"rtt", good ? outcome.rtt_sum / good : 0.0},
                        {"interval", options.period},
                        {"metrics", {{"queue", 0}, {"util", 0.5}}}};
        loop.after(options.heard_late, [this, zone, message] {
          if (collectors[zone]) collectors[zone]->send(message);
        });
      }
  }
  int last_task_ = 0;
};

inline void Proxy::prepare() { due_.assign(fleet_.options.classes.size(), 0); }

inline void Proxy::dial() {
  parts_.clear();
  peer_ = std::make_unique<Peer>(
      fleet_.loop, fleet_.assigner.listen(), [this](const json& message) { on_message(message); },
      [this] {
        if (joined) record("proxy %d: its stream ended", node);
        joined = false;
        if (!fleet_.stopped) fleet_.loop.after(fleet_.uniform(400, 2000), [this] { dial(); });
      });
  peer_->send({{"t", "hello"},
               {"node", node},
               {"locality", zone},
               {"w", fleet_.options.rate},
               {"cold", !ever_joined_}});
  joined = ever_joined_ = true;
  joined_at = now_ms();
  arrivals_at.clear();
}

inline void Proxy::on_message(const json& part) {
  if (part.value("t", "") != "push") return;
  parts_.push_back(part);
  if (part.value("part", false)) return;
  std::vector<json> message = std::exchange(parts_, {});
  double lines = fleet_.options.head;
  for (const json& p : message) {
    lines += p.value("rows", json::array()).size() + p.value("drop", json::array()).size() +
             p.value("undrop", json::array()).size();
    lines += p.value("replace", false) + p.contains("gate") + p.contains("stamp");
  }
  arrivals_at.push_back(now_ms());
  double& free = fleet_.channel_free_at;
  free = std::max(free, now_ms()) + lines / fleet_.options.lines_per_s * 1000;
  last_effect_ =
      std::max(last_effect_, free + fleet_.uniform(fleet_.options.late_least, fleet_.options.late_most));
  double sent = now_ms();
  Peer* stream = peer_.get();
  int in_window = 0;
  for (double at : arrivals_at) in_window += sent - at <= 10000;
  std::string text;
  for (const json& p : message)
    for (const json& row : p.value("rows", json::array()))
      text += (row[1] > 0 ? " +" : " -") + row[0].get<std::string>();
  record("proxy %d: message %zu, %d of them in 10 s:%s", node, arrivals_at.size(), in_window, text.c_str());
  fleet_.loop.at(last_effect_, [this, message, sent, stream] {
    if (stream != peer_.get() || !joined) return;  // lost with its stream
    apply(message);
    if (message.back().contains("stamp"))
      peer_->send(
          {{"t", "ack"}, {"node", node}, {"nonce", message.back()["stamp"]}, {"latency", now_ms() - sent}});
  });
}

inline void Proxy::apply(const std::vector<json>& message) {
  for (const json& part : message) {
    for (const std::string& name : part.value("for", fleet_.options.classes)) {
      auto& table = tables[name];
      if (part.value("replace", false)) table.clear(), again.erase(name), gate.erase(name);
      for (const json& row : part.value("rows", json::array()))
        if (row[1] > 0) table[row[0]] = row[1];
        else table.erase(row[0].get<std::string>());
      if (part.contains("gate")) gate[name] = part["gate"], again[name] = part["again"];
    }
    for (const json& uid : part.value("drop", json::array())) dropped.insert(uid);
    for (const json& uid : part.value("undrop", json::array())) dropped.erase(uid.get<std::string>());
  }
}

inline std::string Proxy::pick(const std::string& name, const std::string& not_this) {
  double sum = 0;
  std::vector<std::pair<std::string, double>> lines;
  for (bool avoid : {true, false}) {
    for (auto& [uid, weight] : tables[name])
      if (uid != not_this && !dropped.contains(uid) && !(avoid && avoided_until_[uid] > now_ms()))
        lines.emplace_back(uid, weight), sum += weight;
    if (!lines.empty()) break;
  }
  double at = fleet_.uniform(0, sum);
  for (auto& [uid, weight] : lines)
    if ((at -= weight) <= 0) return uid;
  return lines.empty() ? "" : lines.back().first;
}

inline void Proxy::send_request() {
  // The classes come in turn, by their shares.
  std::size_t c = 0;
  for (std::size_t k = 0; k < due_.size(); ++k) {
    due_[k] += fleet_.options.shares[k];
    if (due_[k] > due_[c]) c = k;
  }
  due_[c] -= 1;
  const std::string& name = fleet_.options.classes[c];
  ++demand[name];
  int request = ++fleet_.requests;
  int mode = again.contains(name) ? again[name] : fleet_.options.default_again;
  attempt(name, fleet_.options.work_ms[c] * fleet_.uniform(0.6, 1.4),
          mode == 3 ? 2
          : mode    ? 1
                    : 0,
          "", request);
}

// One try. Only a refused connection proves that the request never ran; then one more try may follow.
inline void Proxy::attempt(const std::string& name, double work, int tries_left, const std::string& not_this,
                           int request) {
  std::string uid = pick(name, not_this);
  if (uid.empty()) {
    ++fleet_.refused;
    return;
  }
  fleet_.on_send(*this, uid, request);
  auto& idle = idle_[uid];
  while (!idle.empty() && !idle.back()->open()) idle.pop_back();
  bool fresh = idle.empty();
  auto connection = fresh ? Connection::dial(fleet_.loop, fleet_.tasks.at(uid)->address()) : idle.back();
  if (!fresh) idle.pop_back();
  double sent = now_ms();
  auto done = std::make_shared<bool>(false);
  auto fail = [this, name, work, tries_left, uid, request, done](bool never_ran) {
    if (std::exchange(*done, true)) return;
    ++outcomes[uid].total, ++outcomes[uid].errors;
    if (++failures_[uid] >= fleet_.options.ejects)
      avoided_until_[uid] = now_ms() + fleet_.uniform(2300, 7000), failures_[uid] = 0;
    if (tries_left > 0 && never_ran) return attempt(name, work, tries_left - 1, uid, request);
    ++fleet_.failed;
    record("proxy %d: request %d (%s) failed at %s%s", node, request, name.c_str(), uid.c_str(),
           fleet_.tasks.at(uid)->ended ? ", which is gone" : "");
  };
  auto was_connected = std::make_shared<bool>(!fresh);
  std::weak_ptr<Connection> weak = connection;
  connection->start(
      [this, uid, sent, done, connection](std::string_view) {
        if (std::exchange(*done, true)) return;
        ++outcomes[uid].total, outcomes[uid].rtt_sum += now_ms() - sent;
        failures_[uid] = 0;
        ++fleet_.answered;
        idle_[uid].push_back(connection);
      },
      [fail, was_connected] { fail(!*was_connected); });
  if (fresh)
    fleet_.loop.after(20, [was_connected, weak] {
      if (auto open = weak.lock()) *was_connected = open->connected();
    });
  char line[128];
  std::snprintf(line, sizeof line, "GET /request/%d/%.0f HTTP/1.1\r\nhost: t\r\n\r\n", request, work);
  connection->send(line);
}

}  // namespace review
