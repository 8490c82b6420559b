// The assigner without its sockets: bytes, times and answers in; the module asked; effects out. Everything
// that an assigner is, but for moving bytes, so that tests drive it through any fault in simulated time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "assigner/intake.h"
#include "assigner/list_feed.h"
#include "assigner/site.h"
#include "assignments/assignment_tables.h"
#include "channel/frames.h"
#include "log/log.h"
#include "telemetry/figures.h"

namespace beamshunt::assigner {

enum class StreamId : std::uint64_t {};

// ---- Effects: what the shell is to do ----
struct SendBytes {
  StreamId stream{};
  std::shared_ptr<const std::string> bytes;
};
struct CloseStream {  // after what was sent before
  StreamId stream{};
};
struct DialPeer {
  std::uint32_t instance = 0;
  net::Address address{};
};
struct OpenWatch {};  // a new watch, or the present one anew: the whole list answers
struct CloseWatch {};
struct FetchTheList {};
struct ProbeServer {
  EndpointId endpoint{};
  net::Address address{};
};
struct SaveList {};  // list_bytes(), as soon as the disk is free
struct AppendRecord {
  std::string bytes;
};
struct LogLine {
  log::Level level = log::Level::info;
  std::string event;   // a stable name
  log::Fields fields;  // stable names
};
using Effect = std::variant<SendBytes, CloseStream, DialPeer, OpenWatch, CloseWatch, FetchTheList,
                            ProbeServer, SaveList, AppendRecord, LogLine>;

struct Counters {
  std::uint64_t events = 0, actions = 0, messages = 0, lines = 0, reports = 0, report_lines = 0,
                refused_streams = 0, broken_streams = 0, dropped_messages = 0, unknown_endpoints = 0;
};

// What may change a message between the module and the wire: audits prove themselves by it. Never in service.
using Between = std::function<void(Ms now, std::uint32_t proxy, std::vector<channel::Update>& orders,
                                   const EndpointBook& book)>;

// What is known of the fleet at an instant: what a change of the settings is judged against.
struct Fleet {
  struct Server {
    std::uint32_t id = 0, locality = 0, cell = 0;
    double size = 1;
    bool open = true;
    Ms up_for = 1e12;            // since its start; long, if that is unknown
    double rate = 0, busy = -1;  // tries a second; utilization by its last report, below 0: unknown
    net::Address address{};
  };
  struct JoinedProxy {
    std::uint32_t id = 0, locality = 0;
    double usual = 0;       // requests a second, as it announced
    std::size_t spent = 0;  // messages within the span
    net::Address from{};
  };
  std::vector<Server> servers;       // listed
  std::vector<JoinedProxy> proxies;  // with a stream
  std::vector<double> came;          // requests by class since the start
  std::size_t streams = 0;
};

class Core {
 public:
  // `epoch` grows at each start. The warm copy is the list that was held before it, if any.
  Core(const Site& site, std::uint64_t epoch, std::optional<EndpointBook> warm, Ms now, double wall_now);

  void set_between(Between between) { between_ = std::move(between); }

  // ---- What happens; effects are taken after turn() ----
  void stream_opened(StreamId stream, net::Address peer, Ms now);
  void peer_dialled(StreamId stream, std::uint32_t instance, Ms now);
  void stream_bytes(StreamId stream, std::string_view bytes, Ms now);
  void stream_closed(StreamId stream, const std::string& reason, Ms now);
  void list_line(std::string_view json, Ms now, double wall_now);
  void list_beat(Ms now) { list_heard_ = now; }  // the watch lives, with nothing new
  void list_lost(const std::string& reason, Ms now);
  void probe_answered(EndpointId endpoint, AttemptOutcome outcome, Ms took, LoadReport load, Ms now);
  // Other settings from this instant on. Where the module's own differ, a fresh instance takes the place of
  // the one that runs: it binds the proxies one after the other, at the pace of the channel, and each is
  // ordered by the former one until then, so that none is ever without lines and no drain waits. `next` may
  // differ from what runs in nothing that unapplicable() names.
  // Not while one takes over, nor while a proxy could not be sent the message that binds it (rule 5):
  // may_reconfigure() says so.
  bool may_reconfigure(const Site& next, Ms now) const;
  void reconfigure(const Site& next, std::uint64_t version, std::uint64_t hash, Ms now);
  void stop(Ms now);  // no new streams; those there are told

  // Asks the module, if there is anything to tell it, and does what is due.
  void turn(Ms now);
  Ms next_due() const;  // when turn() must come at the latest
  std::vector<Effect> take_effects() { return std::exchange(effects_, {}); }

  // ---- What is seen ----
  const Counters& counters() const { return counters_; }
  std::size_t streams() const { return streams_.size(); }
  std::size_t proxies() const { return proxies_.size(); }
  double waiting_lines() const;                                   // decided and not yet confirmed
  Ms oldest_report(Ms now) const { return intake_.oldest(now); }  // that waits for the module
  bool taking_over() const { return modules_.size() > 1; }
  Fleet fleet(Ms now) const;
  std::string list_bytes() const { return book_.to_bytes(); }
  std::string status_json(Ms now) const;
  telemetry::Figures figures(Ms now);

 private:
  struct Sent {
    std::uint64_t sequence = 0;
    Ms decided = 0, leaves = 0;  // the channel, at its pace
    double lines = 0;
    std::uint32_t module = 0;            // that decided it
    std::vector<std::uint32_t> serials;  // of barriers
    bool removes = false;                // a line of a closed endpoint
  };
  struct Stream {
    enum class Is { opening, proxy, peer };
    Is is = Is::opening;
    net::Address address{};
    channel::FrameParser parser;
    Ms heard = 0, sent = 0, opened = 0;
    std::uint32_t id = 0;  // of the proxy or the peer
    std::uint64_t incarnation = 0;
    std::uint32_t attempt = 0;
    std::uint32_t owner = 0;  // the module that orders this proxy
    double usual = 0;
    std::uint64_t sequence = 0, reported = 0;
    std::deque<Sent> unconfirmed;
    std::deque<Ms> messages;  // by when they were decided: the span's and some before it
    Ms empty_since = -1;      // bound and without a line for a class, as far as ordered; below 0: not
    Ms due = 0;               // its place in due_
  };
  // One instance of the decision module and what it has ordered for all.
  struct Module {
    explicit Module(const Settings& settings) : controller(settings), tables(settings.classes.size()) {}
    Controller controller;
    assignments::AssignmentTables tables;
    std::vector<Event> pending;
    std::multimap<Ms, std::uint64_t> timers;
    std::map<ProxyId, int> others_sent;  // messages of others since the last ChannelShared
    double others_lines = 0;             // as last told
  };
  using Modules = std::map<std::uint32_t, Module>;  // by number; the last one takes over from those before
  struct Waiting {                                  // a message on its way through the channel's pace
    Ms leaves = 0;
    StreamId stream{};
    std::shared_ptr<const std::string> bytes;
  };

  static std::size_t spent(const Stream& s, Ms now, Ms span);  // messages within the span

  using Streams = std::map<StreamId, Stream>;
  void handle_frame(Streams::iterator s, const channel::Frame& frame, Ms now);
  void open_proxy(Streams::iterator s, const channel::Hello& hello, Ms now);
  void open_peer(Streams::iterator s, const channel::PeerHello& hello, Ms now);
  void take_report(Stream& s, const channel::LoadReportMessage& report, Ms now);
  void confirm(Stream& s, std::uint64_t sequence, Ms now);
  void send_frame(Streams::iterator s, const channel::Frame& frame, Ms now);
  void refuse(Streams::iterator s, channel::RefuseCode code, const std::string& reason, Ms retry_after,
              Ms now);
  void end_stream(Streams::iterator s, const std::string& reason, Ms now);
  void schedule(Streams::iterator s);
  void upkeep(Ms now);
  void dial_peers(Ms now);

  void tell(const Event& event);  // every module
  void share_channel();
  void run(std::uint32_t number, Module& module, Ms now);
  void retire();
  void act(Ms now, std::uint32_t number, Module& module, const std::vector<Action>& actions);
  void write(std::uint32_t module, ProxyId proxy, const assignments::Update& order);
  channel::WeightUpdate line_of(std::uint32_t table, std::uint32_t endpoint, double weight) const;
  void take_over(std::uint32_t number, ProxyId proxy);
  void count_cuts(const Module& module, const SetAdmissionLimit& admit);
  void send_messages(Ms now, std::uint32_t module);
  void release_messages(Ms now);
  void note_report(Locality from, const channel::LoadReportMessage& report, Ms now);
  void note_order(const channel::Update& order, Sent& sent) const;
  double cold_used(Ms now) const;
  double drain_used(Ms now) const;
  void log(log::Level level, std::string event, log::Fields fields);

  Site site_;
  std::uint64_t epoch_;
  Modules modules_;
  bool sharing_ = false;  // the channel, with another module's messages
  EndpointBook book_;
  Intake intake_;
  Between between_;
  std::vector<Effect> effects_;
  Streams streams_;
  std::set<std::pair<Ms, StreamId>> due_;                 // streams by when they need a look
  std::map<ProxyId, StreamId> proxies_;                   // joined ones
  std::map<std::uint32_t, StreamId> peers_;               // open streams to them
  std::map<std::uint32_t, Ms> dial_at_;                   // peers to dial, once their time has come
  std::map<ProxyId, std::vector<channel::Update>> open_;  // this turn's messages
  std::deque<Waiting> waiting_;
  Ms channel_free_ = 0;
  Ms next_release_ = 0;
  bool watching_ = false, stopping_ = false;
  Counters counters_;
  // For figures alone: nothing is decided by these.
  struct Heard {
    double rate = 0, busy = -1;  // tries a second, smoothed; utilization by its last report
    Ms at = 0;
  };
  std::map<std::uint32_t, Heard> heard_;  // by endpoint
  std::map<std::uint32_t, Ms> closed_;    // endpoints told to drain or be gone, since when
  struct ServiceSum {
    std::uint64_t came = 0, unanswered = 0, in_time = 0;
  };
  std::map<std::pair<std::uint32_t, std::uint32_t>, ServiceSum> service_;  // by locality and class
  std::map<std::uint32_t, std::uint64_t> cuts_;                            // by class
  std::uint64_t ejections_ = 0;
  Ms list_heard_ = 0;
  Ms wall_less_now_ = 0;  // the wall clock less this one, as last told
};

}  // namespace beamshunt::assigner
