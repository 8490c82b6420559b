// The interface of the decision module: what one controller is told (settings and events) and what it
// orders (actions). It speaks of endpoints, proxies and tables, never of a wire; decisions are in brain.cpp.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace beamshunt {

using Duration = std::chrono::duration<double, std::milli>;
struct Clock {  // the simulator's or the machine's monotonic clock; its origin is arbitrary
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};
using Time = Clock::time_point;

enum class EndpointId : std::uint32_t {};
enum class ProxyId : std::uint32_t {};
enum class TableId : std::uint32_t {};   // a slice's number where the site has slices
enum class Locality : std::uint32_t {};  // position in Settings::localities
enum class ClassId : std::uint32_t {};   // position in Settings::classes
using ClassMask = std::uint64_t;         // the sum of 2^k over class positions; 0 means all of them

enum class Semantics { retryable, dedup, fragile };
enum class DedupScope { all, zone, cell };
enum class LevelKind { share, rate, none };
enum class RetryMode { never = 0, after_proof = 1, once = 2, twice = 3 };

struct RequestClass {
  Duration slo{}, deadline{}, dedup_window{};
  double worth = 1;
  Semantics semantics = Semantics::fragile;
  DedupScope scope = DedupScope::cell;
  bool home_only = false;  // may go only to endpoints of the proxy's locality
};

struct Settings {
  std::uint64_t seed = 0;
  std::vector<RequestClass> classes;
  std::vector<std::string> localities;
  Locality home{};
  bool local_proxies_only = false;  // other controllers serve the other localities' proxies
  bool list_on_request = true, may_probe = false, single_writer = false;
  int slices = 0;  // 0: tables are the controller's own and proxies are bound to them
  LevelKind level_kind = LevelKind::none;
  RetryMode default_retry = RetryMode::never;
  double retry_wait_factor = 1;  // a try that may be followed waits this many SLOs
  // The order channel.
  double egress_lines_per_s = 0, envelope_lines = 0, most_waiting_lines = 0;
  int proxies = 0;         // of all controllers
  Duration conn_idle{};    // a proxy closes a connection that is idle for so long
  int pushes_allowed = 0;  // messages to one proxy within pushes_span; 0: no limit
  Duration pushes_span{}, push_delay{}, push_delay_most{};
  // Reports and guarantees.
  bool reports_by_probe = false;  // load reports come in probe results only
  Duration period{}, must_ask_in{}, empty_for{}, lease{}, settle{};
  Duration drain_grace{}, warm_up{}, fall{};
  double start_capacity = 1, tip_multiple = 1;
  bool gone_is_advice = false;
};

using LoadReport = std::map<std::string, double>;

enum class EndpointState { in_service, terminating, terminated };
struct ListedEndpoint {
  EndpointId id{};
  Locality locality{};
  std::uint32_t cell = 0;
  double size = 1;
  EndpointState state = EndpointState::in_service;
  Time started{};
  bool started_known = false;  // false: long past
};

enum class ListKind { incremental, total, warm_copy, lost };
enum class Outcome { delivered, app_error, shed, expired, dial_failed, dropped, revoked, unused };

// Events.
struct EndpointList {
  ListKind kind = ListKind::total;
  std::vector<ListedEndpoint> entries;
};
struct TimerFired {
  std::uint64_t token = 0;
};
struct ProbeResult {
  EndpointId endpoint{};
  Outcome outcome = Outcome::delivered;
  Duration took{};
  LoadReport load{};
};
struct PeerMessage {
  std::uint32_t author = 0;
  std::vector<std::uint8_t> payload;
};
struct ProxyJoined {
  ProxyId proxy{};
  Locality locality{};
  double usual_rate = 0;  // requests a second; 0: unknown
  bool only_standing = false;
};
struct ProxyLeft {
  ProxyId proxy{};
};
struct OrderApplied {
  ProxyId proxy{};
  Duration took{};
  std::uint32_t serial = 0;
};
struct EndpointHeard {  // tries of one locality's proxies that ended at one endpoint
  Locality from{};
  EndpointId endpoint{};
  double tries = 0, failed = 0;
  Duration latency{};  // mean of the good ones
  Duration span{};
  LoadReport load{};
};
struct ProxyUsage {  // requests of a class that came to a proxy, refused and repeated ones included
  ProxyId proxy{};
  ClassId request_class{};
  double came = 0, unanswered = 0;
  Duration span{};
};
struct SliceUsage {
  TableId slice{};
  ClassId request_class{};
  double came = 0, unanswered = 0;
  Duration span{};
};
struct SliceGiven {
  TableId slice{};
  bool given = false;
};
struct SliceHeld {
  TableId slice{};
  EndpointId endpoint{};
  double weight = 0;
};
struct ChannelShared {  // an instance that takes this one's place, or whose place this one takes, orders too
  double lines = 0;     // of its messages that are not confirmed
  std::map<ProxyId, int> messages;  // that it sent since the last such event; at first, within the span
};
using Event =
    std::variant<EndpointList, TimerFired, ProbeResult, PeerMessage, ProxyJoined, ProxyLeft, OrderApplied,
                 EndpointHeard, ProxyUsage, SliceUsage, SliceGiven, SliceHeld, ChannelShared>;

// Actions.
struct WatchList {
  bool on = true;
};
struct FetchList {};
struct SetTimer {
  Time at{};
  std::uint64_t token = 0;
};
struct Probe {
  EndpointId endpoint{};
};
struct SendPeer {
  std::uint32_t peer = 0;
  bool everyone = false;
  std::vector<std::uint8_t> payload;
};
struct SetLine {
  TableId table{};
  EndpointId endpoint{};
  double weight = 0;  // 0 removes the line
};
struct ResetTable {
  TableId table{};
};
struct Bind {
  ClassMask classes = 0;
  ProxyId proxy{};
  TableId table{};
};
struct Withdraw {
  EndpointId endpoint{};
  bool withdrawn = true;
};
struct Admit {
  TableId table{};
  bool every_table = false;
  ClassMask classes = 0;
  double level = 0;  // a share or a rate at each proxy, by Settings::level_kind
  RetryMode retry = RetryMode::never;
};
struct Barrier {
  std::uint32_t serial = 0;
  bool everyone = false;
};
struct Remark {
  std::string text;
};
struct DeclareFault {
  std::string text;
};
using Action = std::variant<WatchList, FetchList, SetTimer, Probe, SendPeer, SetLine, ResetTable, Bind,
                            Withdraw, Admit, Barrier, Remark, DeclareFault>;

// One controller. Same events, same actions; instances share nothing.
class Brain {
 public:
  explicit Brain(Settings settings);
  ~Brain();
  Brain(Brain&&) noexcept;
  Brain& operator=(Brain&&) noexcept;
  std::vector<Action> handle(Time now, const std::vector<Event>& events);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace beamshunt
