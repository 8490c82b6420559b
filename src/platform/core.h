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

#include "assignments/assignment_tables.h"
#include "log/log.h"
#include "platform/configuration.h"
#include "platform/directory.h"
#include "platform/list_watch.h"
#include "platform/message.h"

namespace beamshunt::platform {

enum class ConnectionId : std::uint64_t {};

// Endpoints asked at a time: a descriptor each, as part of all that the process may hold.
std::size_t most_probes(std::size_t sockets);

// ---- Effects: what the shell is to do ----
struct SendBytes {
  ConnectionId to{};
  std::shared_ptr<const std::string> bytes;
};
struct CloseConnection {
  ConnectionId connection{};
  bool at_once = false;  // else after what was sent before
};
struct OpenWatch {
  ListWatch::Number number = 0;  // what comes of it is told by
  net::Address discovery{};
  std::uint64_t from = 0;
};
struct CloseWatch {
  ListWatch::Number number = 0;
};
struct FetchTheList {
  net::Address discovery{};
};
struct AskEndpoint {
  std::uint64_t number = 0;  // what comes of it is told by
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
                unacked_nonces = 0, late = 0, checks = 0;
};

class Core {
 public:
  // `verbose`: once a second a line on each endpoint, to be set against the traffic that its sockets see.
  Core(Configuration configuration, Ms now, double wall_now, bool verbose = false);

  // ---- What happens; effects are taken after turn() ----
  void opened(ConnectionId id, Ms now);
  void bytes(ConnectionId id, std::string_view bytes, Ms now);
  void closed(ConnectionId id, const std::string& reason, Ms now);
  void watch_bytes(ListWatch::Number number, std::string_view piece, Ms now, double wall_now);
  void watch_ended(ListWatch::Number number, const std::string& reason, Ms now);
  void fetch_answered(std::string_view json, Ms now, double wall_now);
  void fetch_failed(const std::string& reason);
  void probe_answered(EndpointId endpoint, std::uint64_t number, AttemptOutcome outcome, Ms took,
                      std::string_view body);
  // Another configuration from this instant on. Where the module's settings differ a fresh module takes over.
  void reconfigure(Configuration next, Ms now);

  // Descriptors are for who has joined: who is to make room for others; nothing while there is enough of it.
  // What has come of it is to be read first, for it may be a joining.
  std::optional<ConnectionId> to_evict();
  void evict(ConnectionId id);

  void turn(Ms now);
  Ms next_due() const;  // when turn() must come at the latest
  std::vector<Effect> take_effects() { return std::exchange(effects_, {}); }

  // ---- What is seen ----
  const Counters& counters() const { return counters_; }
  const Configuration& configuration() const { return configuration_; }
  std::size_t connections() const { return connections_.size(); }
  std::size_t proxies() const { return streams_.size(); }

 private:
  struct Nonce {
    std::uint32_t value = 0;  // on the wire; a module that takes over counts its serials anew
    std::uint32_t serial = 0;
    std::uint64_t order = 0;  // among all messages of this channel
    Ms sent = 0;
    std::uint64_t module = 0;  // that ordered it; 0: the channel's own health check
    double lines = 0;          // that it counts in the channel
  };
  struct Connection {
    enum class Is { opening, collector, proxy };
    Is is = Is::opening;
    LineReader reader;
    Ms opened = 0, heard = 0, unfinished_since = 0;
    ProxyRegistration joined;  // of a proxy
    int unusable = 0;          // messages in a row
    std::deque<Nonce> unacked;
    std::deque<std::uint32_t> settled;  // nonces that wait no more: an ack of one is late, and sound
    std::deque<Ms> messages;            // times at which it was written to, within the span that is limited
  };
  using Connections = std::map<ConnectionId, Connection>;
  using Parts = std::vector<Part>;

  void take_line(Connections::iterator c, std::string_view line, Ms now);
  void take(Connections::iterator c, const HealthCheckRequest& m, Ms now);
  void take(Connections::iterator c, const CollectorRegistration& m, Ms now);
  void take(Connections::iterator c, const ProxyRegistration& m, Ms now);
  void take(Connections::iterator c, const Ack& m, Ms now);
  void take(Connections::iterator c, const EndpointReportMessage& m, Ms now);
  void take(Connections::iterator c, const DemandReportMessage& m, Ms now);
  void send(ConnectionId to, std::string bytes);
  void refuse(Connections::iterator c, const std::string& reason);
  void end(Connections::iterator c, const std::string& reason);
  std::size_t most_connections() const;
  void admit(Connection& c, Connection::Is as);
  void upkeep(Ms now);
  bool check_quiet(ConnectionId id, Connection& c, Ms now);
  bool overdue(const Nonce& nonce, Ms now) const;
  void acknowledge(Connection& c, std::size_t nonces, Ms now);
  void settle(Connection& c);
  std::size_t messages_within(Connection& c, Ms now) const;

  void start_module();
  void join(const ProxyRegistration& joined);
  void act(const std::vector<Action>& actions, Ms now);
  void write(ProxyId proxy, const assignments::Update& order);
  void write_levels(ProxyId proxy, TableId table, ClassMask classes);
  void send_messages(std::optional<std::uint32_t> serial, Ms now);
  bool list_object(std::string_view json, Ms now, double wall_now);
  void list_lost(const std::string& reason);
  void open_watch();
  void close_watches(const std::vector<ListWatch::Number>& numbers);
  void note_view(Ms now);
  void log(log::Level level, std::string event, log::Fields fields);

  Configuration configuration_;
  Directory directory_;
  ListWatch watch_;
  std::unique_ptr<Controller> controller_;
  std::unique_ptr<assignments::AssignmentTables> tables_;
  std::vector<Event> pending_;
  std::multimap<Ms, std::uint64_t> timers_;
  Connections connections_;
  std::size_t joined_ = 0;  // of them
  std::map<ProxyId, ConnectionId> streams_;
  std::map<Locality, std::deque<ConnectionId>> collectors_;  // in the order they joined
  std::deque<ConnectionId> opening_;  // in the order they came; some of them joined or gone
  std::map<ProxyId, Parts> open_;     // this turn's messages
  std::uint64_t last_order_ = 0;
  std::uint16_t last_nonce_ = 0;                     // as the module's serials, which have so many bits
  std::deque<std::pair<std::uint64_t, Ms>> passed_;  // acknowledged nonces' orders, growing, and when
  std::uint64_t module_ = 0, last_probe_ = 0;
  std::map<EndpointId, std::uint64_t> probing_;  // those that the present module waits for, and their numbers
  double other_lines_ = 0;  // unconfirmed, of messages that the present module did not order
  bool reopen_ = false;     // the watch at discovery's present address
  Ms next_upkeep_ = 0;
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
