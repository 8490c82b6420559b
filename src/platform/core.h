// The platform's assigner without its sockets: bytes, times and answers in; the module asked; effects out.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "log/log.h"
#include "orders/tables.h"
#include "platform/configuration.h"
#include "platform/directory.h"
#include "platform/message.h"

namespace beamshunt::platform {

enum class ConnectionId : std::uint64_t {};

// ---- Effects: what the shell is to do ----
struct SendBytes {
  ConnectionId to{};
  std::shared_ptr<const std::string> bytes;
};
struct CloseConnection {
  ConnectionId connection{};
  bool at_once = false;  // else after what was sent before
};
struct OpenWatch {  // in place of the present one, which lasts until the new one tells something
  net::Address discovery{};
  std::uint64_t from = 0;
};
struct CloseWatch {};
struct FetchTheList {
  net::Address discovery{};
};
struct AskEndpoint {
  EndpointId endpoint{};
  net::Address address{};
  bool for_load = false;  // the load report too
};
struct LogLine {
  log::Level level = log::Level::info;
  std::string event;
  log::Fields fields;
};
using Effect =
    std::variant<SendBytes, CloseConnection, OpenWatch, CloseWatch, FetchTheList, AskEndpoint, LogLine>;

struct Counters {
  std::uint64_t messages = 0, lines = 0, reports = 0, spoilt = 0, refused = 0, evicted = 0, silent = 0,
                unanswered_marks = 0;
};

class Core {
 public:
  // `verbose`: once a second a line on each endpoint, to be set against the traffic that its sockets see.
  Core(Configuration configuration, Ms now, double wall_now, bool verbose = false);

  // ---- What happens; effects are taken after turn() ----
  void opened(ConnectionId id, Ms now);
  void bytes(ConnectionId id, std::string_view bytes, Ms now);
  void closed(ConnectionId id, const std::string& reason, Ms now);
  void list_object(std::string_view json, Ms now, double wall_now);
  void list_lost(const std::string& reason, Ms now);
  void probe_answered(EndpointId endpoint, Outcome outcome, Ms took, std::string_view body);
  // Another configuration from this instant on. Where the module's settings differ a fresh module takes over.
  void reconfigure(Configuration next, Ms now);

  void turn(Ms now);
  Ms next_due() const;  // when turn() must come at the latest
  std::vector<Effect> take_effects() { return std::exchange(effects_, {}); }

  // ---- What is seen ----
  const Counters& counters() const { return counters_; }
  const Configuration& configuration() const { return configuration_; }
  std::size_t connections() const { return connections_.size(); }
  std::size_t proxies() const { return streams_.size(); }

 private:
  struct Mark {
    std::uint32_t stamp = 0;  // on the wire; a module that takes over counts its serials anew
    std::uint32_t serial = 0;
    std::uint64_t order = 0;  // among all messages of this channel
    Ms sent = 0;
  };
  struct Connection {
    enum class Is { opening, collector, proxy };
    Is is = Is::opening;
    LineReader reader;
    Ms opened = 0, heard = 0, unfinished_since = 0;
    ProxyJoins joined;  // of a proxy
    int unusable = 0;   // messages in a row
    std::deque<Mark> marks;
  };
  using Connections = std::map<ConnectionId, Connection>;
  using Parts = std::vector<Part>;

  void take_line(Connections::iterator c, std::string_view line, Ms now);
  void take(Connections::iterator c, const SignOfLife& m, Ms now);
  void take(Connections::iterator c, const CollectorJoins& m, Ms now);
  void take(Connections::iterator c, const ProxyJoins& m, Ms now);
  void take(Connections::iterator c, const MarkApplied& m, Ms now);
  void take(Connections::iterator c, const TriesHeard& m, Ms now);
  void take(Connections::iterator c, const UsageHeard& m, Ms now);
  void send(ConnectionId to, std::string bytes);
  void refuse(Connections::iterator c, const std::string& reason);
  void end(Connections::iterator c, const std::string& reason);
  void make_room();
  void upkeep(Ms now);
  bool mark_overdue(const Mark& mark, Ms now) const;
  void confirm(Connection& c, std::size_t marks, Ms now);

  void start_module(Ms now);
  void join(const ProxyJoins& joined);
  void act(const std::vector<Action>& actions, Ms now);
  void write(ProxyId proxy, const orders::Order& order);
  void write_levels(ProxyId proxy, TableId table, ClassMask classes);
  void send_messages(std::optional<std::uint32_t> mark, Ms now);
  void watch();
  void note_view(Ms now);
  void log(log::Level level, std::string event, log::Fields fields);

  Configuration configuration_;
  Directory directory_;
  std::unique_ptr<Brain> brain_;
  std::unique_ptr<orders::Tables> tables_;
  std::vector<Event> pending_;
  std::multimap<Ms, std::uint64_t> timers_;
  Connections connections_;
  std::map<ProxyId, ConnectionId> streams_;
  std::map<Locality, std::deque<ConnectionId>> collectors_;  // in the order they joined
  std::deque<ConnectionId> opening_;  // in the order they came; some of them joined or gone
  std::map<ProxyId, Parts> open_;     // this turn's messages
  std::uint64_t last_order_ = 0;
  std::uint16_t last_stamp_ = 0;                     // the wire's marks have so many bits
  std::deque<std::pair<std::uint64_t, Ms>> passed_;  // answered marks' orders, growing, and when it was so
  bool watching_ = false;
  Ms watch_at_ = 0, next_upkeep_ = 0;
  Counters counters_;
  // For the log alone: nothing is decided by it.
  struct View {
    double tries = 0, failed = 0, latency = 0;  // heard since the last line; ms, summed over answered tries
    std::string probe;                          // the last outcome
    double busy = -1;                           // utilization by the last report
  };
  bool verbose_ = false;
  std::map<EndpointId, View> view_;
  Ms next_view_ = 0;
  std::vector<Effect> effects_;
};

}  // namespace beamshunt::platform
