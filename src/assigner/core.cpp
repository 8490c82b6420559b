#include "assigner/core.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "base/enums.h"
#include "record/policy_fields.h"
#include "record/record.h"

namespace beamshunt::assigner {
namespace {

using base::raw;
using channel::kHeartbeatsUntilDead;
using channel::RefuseCode;

constexpr Ms kRedialPeer = 500;      // between dials of one peer
constexpr Ms kRateFade = 1000;       // in which a rate of tries fades, for figures
constexpr double kBusyLeast = 0.05;  // utilization that tells a speed, for figures
constexpr Ms kMessagesKept = 60000;  // so long at least: the span may become longer
// Of the messages that a proxy may be sent: a take-over costs one, and drains must find theirs behind it.
constexpr double kTakeoverPart = 0.5;
constexpr std::size_t kMostHello = 1024;  // bytes: who has not said who he is gets no memory to fill
// Each module's tables have a range of numbers on the wire, so that a fresh one's never meet a former one's.
constexpr std::uint32_t kTablesAModule = 1 << 16;
constexpr std::uint32_t kModuleRanges = 0xffffffff / kTablesAModule - 1;
std::uint32_t on_wire(std::uint32_t module, TableId table) {
  return module % kModuleRanges * kTablesAModule + raw(table);
}
std::string encoded(const Settings& settings) {
  base::Encoder e;
  e(settings);
  return e.take();
}

Time at(Ms ms) { return Time(Duration(ms)); }
}  // namespace

Core::Core(const Site& site, std::uint64_t epoch, std::optional<EndpointBook> warm, Ms now, double wall_now)
    : site_(site), epoch_(epoch), intake_(site.report_lines_per_s) {
  modules_.emplace(0, site.policy);
  next_release_ = list_heard_ = now;
  wall_less_now_ = wall_now - now;
  for (auto& [instance, address] : site_.peers) dial_at_[instance] = now;
  if (!site_.record_file.empty()) effects_.push_back(AppendRecord{record::opening(site_.policy)});
  if (warm) book_ = std::move(*warm);
  // As on the bench, the first event is the warm copy, be it empty: the module asks for the list itself.
  tell(EndpointList{EndpointListKind::cached, book_.listed(book_.all(), now, wall_now)});
}

void Core::tell(const Event& event) {
  for (auto& [number, module] : modules_) module.pending.push_back(event);
}

void Core::log(log::Level level, std::string event, log::Fields fields) {
  effects_.push_back(LogLine{level, std::move(event), std::move(fields)});
}

// ---- Streams ----

void Core::schedule(Streams::iterator s) {
  Stream& stream = s->second;
  due_.erase({stream.due, s->first});
  if (stream.is == Stream::Is::opening) {
    stream.due = stream.opened + site_.hello_within;
  } else {
    stream.due = std::min(stream.heard + kHeartbeatsUntilDead * site_.heartbeat,
                          std::max(stream.sent, stream.heard) + site_.heartbeat);
    if (!stream.unconfirmed.empty())
      stream.due = std::min(stream.due, stream.unconfirmed.front().leaves + site_.confirm_within);
  }
  due_.insert({stream.due, s->first});
}

void Core::stream_opened(StreamId id, net::Address peer, Ms now) {
  auto [s, fresh] = streams_.try_emplace(id);
  s->second.address = peer;
  s->second.parser = channel::FrameParser(kMostHello);
  s->second.heard = s->second.sent = s->second.opened = now;
  schedule(s);
  if (stopping_) return refuse(s, RefuseCode::stopping, "this assigner is stopping", 0, now);
  if (streams_.size() > site_.most_streams)
    return refuse(s, RefuseCode::full,
                  fmt::format("{} streams are open, no more are taken", site_.most_streams), 1000, now);
  if (!site_.admits_all && !site_.admitted.find(peer.ip))
    return refuse(s, RefuseCode::bad_locality, "the peer's address is not admitted", 0, now);
}

void Core::peer_dialled(StreamId id, std::uint32_t instance, Ms now) {
  auto [s, fresh] = streams_.try_emplace(id);
  Stream& stream = s->second;
  stream.is = Stream::Is::peer;
  stream.parser = channel::FrameParser(site_.most_frame);
  stream.id = instance;
  stream.heard = stream.sent = stream.opened = now;
  peers_[instance] = id;
  send_frame(s, channel::PeerHello{.instance = site_.instance}, now);
}

void Core::stream_bytes(StreamId id, std::string_view bytes, Ms now) {
  auto s = streams_.find(id);
  if (s == streams_.end()) return;
  s->second.heard = now;
  s->second.parser.push(bytes);
  try {
    while (std::optional<channel::Frame> frame = s->second.parser.next()) {
      handle_frame(s, *frame, now);
      if (s = streams_.find(id); s == streams_.end()) return;
    }
  } catch (const channel::ProtocolError& fault) {
    return refuse(s, fault.code, fmt::format("at byte {}: {}", fault.offset, fault.what()), 0, now);
  }
  schedule(s);
}

void Core::stream_closed(StreamId id, const std::string& reason, Ms now) {
  auto s = streams_.find(id);
  if (s == streams_.end()) return;
  ++counters_.broken_streams;
  end_stream(s, reason, now);
}

// The stream is over; what it stood for goes with it.
void Core::end_stream(Streams::iterator s, const std::string& reason, Ms now) {
  Stream& stream = s->second;
  if (stream.is == Stream::Is::proxy) {
    ProxyId proxy{stream.id};
    log(log::Level::info, "proxy_left",
        {{"proxy", std::to_string(stream.id)}, {"peer", net::to_string(stream.address)}, {"reason", reason}});
    proxies_.erase(proxy);
    for (auto& [number, module] : modules_) module.tables.remove_proxy(proxy);
    intake_.forget(proxy);
    open_.erase(proxy);
    tell(ProxyDisconnected{proxy});
  } else if (stream.is == Stream::Is::peer) {
    auto held = peers_.find(stream.id);
    if (held != peers_.end() && held->second == s->first) peers_.erase(held);
    dial_at_[stream.id] = now + kRedialPeer;
    log(log::Level::info, "peer_left", {{"instance", std::to_string(stream.id)}, {"reason", reason}});
  }
  due_.erase({stream.due, s->first});
  streams_.erase(s);
}

void Core::refuse(Streams::iterator s, RefuseCode code, const std::string& reason, Ms retry_after, Ms now) {
  ++counters_.refused_streams;
  log(log::Level::warning, "stream_refused",
      {{"peer", net::to_string(s->second.address)},
       {"code", std::to_string(static_cast<int>(code))},
       {"reason", reason}});
  send_frame(s, channel::Refuse{code, retry_after, reason}, now);
  effects_.push_back(CloseStream{s->first});
  end_stream(s, reason, now);
}

void Core::send_frame(Streams::iterator s, const channel::Frame& frame, Ms now) {
  effects_.push_back(SendBytes{s->first, std::make_shared<const std::string>(channel::encode(frame))});
  s->second.sent = now;
  schedule(s);
}

void Core::handle_frame(Streams::iterator s, const channel::Frame& frame, Ms now) {
  Stream& stream = s->second;
  if (auto* hello = std::get_if<channel::Hello>(&frame); hello && stream.is == Stream::Is::opening)
    return open_proxy(s, *hello, now);
  if (auto* hello = std::get_if<channel::PeerHello>(&frame); hello && stream.is == Stream::Is::opening)
    return open_peer(s, *hello, now);
  if (auto* ping = std::get_if<channel::Ping>(&frame); ping && stream.is != Stream::Is::opening)
    return send_frame(s, channel::Pong{ping->token}, now);
  if (std::get_if<channel::Pong>(&frame) && stream.is != Stream::Is::opening) return;
  if (auto* no = std::get_if<channel::Refuse>(&frame)) {
    effects_.push_back(CloseStream{s->first});
    return end_stream(s, "refused by the peer: " + no->reason, now);
  }
  if (stream.is == Stream::Is::proxy) {
    if (auto* applied = std::get_if<channel::Acknowledgement>(&frame)) {
      if (applied->sequence > stream.sequence)
        return refuse(
            s, RefuseCode::unexpected,
            fmt::format("message {} is confirmed, {} were sent", applied->sequence, stream.sequence), 0, now);
      return confirm(stream, applied->sequence, now);
    }
    if (auto* report = std::get_if<channel::LoadReportMessage>(&frame)) {
      for (const channel::DemandReportEntry& u : report->demand)
        if (u.request_class >= site_.policy.classes.size())
          return refuse(
              s, RefuseCode::unexpected,
              fmt::format("a report on class {}, there are {}", u.request_class, site_.policy.classes.size()),
              0, now);
      return take_report(stream, *report, now);
    }
  }
  if (auto* note = std::get_if<channel::PeerNote>(&frame); note && stream.is == Stream::Is::peer) {
    tell(PeerMessage{stream.id, {note->payload.begin(), note->payload.end()}});
    return;
  }
  refuse(s, RefuseCode::unexpected, fmt::format("a {} frame is out of place", channel::kind_name(frame)), 0,
         now);
}

void Core::open_proxy(Streams::iterator s, const channel::Hello& hello, Ms now) {
  Stream& stream = s->second;
  auto locality = site_.locality_of.find(stream.address.ip);
  if (!locality)
    return refuse(s, RefuseCode::bad_locality, "the peer's address is in no locality of the settings", 0,
                  now);
  const std::string& name = site_.policy.localities[*locality];
  if (hello.locality != name)
    return refuse(s, RefuseCode::bad_locality,
                  fmt::format("proxy {} says it is in \"{}\", its address is in \"{}\"", hello.proxy,
                              hello.locality, name),
                  0, now);
  ProxyId proxy{hello.proxy};
  if (auto held = proxies_.find(proxy); held != proxies_.end()) {
    auto old = streams_.find(held->second);
    // The same run of the proxy has dialled again: the old stream is a ghost. Another run with the same id
    // is a restart if the old stream is silent, and else a second proxy by the same name, which must not
    // push the first one out: the two would do so to each other for ever.
    bool same_run = old->second.incarnation == hello.incarnation && hello.attempt > old->second.attempt;
    if (!same_run && now - old->second.heard <= kHeartbeatsUntilDead * site_.heartbeat)
      return refuse(
          s, RefuseCode::id_in_use,
          fmt::format("proxy {} has a live stream from {}", hello.proxy, net::to_string(old->second.address)),
          kHeartbeatsUntilDead * site_.heartbeat, now);
    refuse(old, RefuseCode::replaced, fmt::format("proxy {} has a newer stream", hello.proxy), 0, now);
  }
  stream.is = Stream::Is::proxy;
  stream.parser.allow(site_.most_frame);
  stream.id = hello.proxy, stream.incarnation = hello.incarnation, stream.attempt = hello.attempt;
  stream.usual = hello.expected_rate;
  stream.owner = modules_.rbegin()->first;
  proxies_[proxy] = s->first;
  log(log::Level::info, "proxy_joined",
      {{"proxy", std::to_string(hello.proxy)}, {"peer", net::to_string(stream.address)}, {"locality", name}});
  send_frame(s,
             channel::Welcome{.epoch = epoch_,
                              .heartbeat_ms = site_.heartbeat,
                              .report_period_ms = site_.policy.report_period.count()},
             now);
  modules_.rbegin()->second.tables.register_proxy(proxy);
  modules_.rbegin()->second.pending.push_back(
      ProxyRegistered{proxy, Locality(*locality), hello.expected_rate, hello.only_static_tables});
}

void Core::open_peer(Streams::iterator s, const channel::PeerHello& hello, Ms now) {
  bool known = std::any_of(site_.peers.begin(), site_.peers.end(), [&](auto& p) {
    return p.first == hello.instance && p.second.ip == s->second.address.ip;
  });
  if (!known)
    return refuse(s, RefuseCode::unexpected,
                  fmt::format("instance {} is no peer of these settings, or not from there", hello.instance),
                  0, now);
  s->second.parser.allow(site_.most_frame);
  s->second.is = Stream::Is::peer;
  s->second.id = hello.instance;
  log(log::Level::info, "peer_joined", {{"instance", std::to_string(hello.instance)}});
  schedule(s);
}

void Core::take_report(Stream& s, const channel::LoadReportMessage& report, Ms now) {
  if (report.sequence <= s.reported) return;  // counted already
  s.reported = report.sequence;
  ++counters_.reports;
  counters_.report_lines += report.endpoints.size() + report.demand.size();
  Locality from{site_.locality_of.find(s.address.ip).value_or(0)};
  for (const channel::EndpointReportEntry& line : report.endpoints) {
    if (book_.find(line.endpoint)) intake_.heard(from, line, now - report.interval_ms, now);
    else ++counters_.unknown_endpoints;
  }
  note_report(from, report, now);
  for (const channel::DemandReportEntry& line : report.demand)
    intake_.used(ProxyId(s.id), line, now - report.interval_ms, now);
}

void Core::confirm(Stream& s, std::uint64_t sequence, Ms now) {
  for (; !s.unconfirmed.empty() && s.unconfirmed.front().sequence <= sequence; s.unconfirmed.pop_front()) {
    const Sent& sent = s.unconfirmed.front();
    auto module = modules_.find(sent.module);
    if (module == modules_.end()) continue;
    for (std::uint32_t serial : sent.serials)
      module->second.pending.push_back(
          UpdateAcknowledged{ProxyId(s.id), Duration(now - sent.decided), serial});
  }
}

double Core::waiting_lines() const {
  double lines = 0;
  for (auto& [id, s] : streams_)
    for (const Sent& m : s.unconfirmed) lines += m.lines;
  return lines;
}

// ---- List and probes ----

void Core::list_line(std::string_view json, Ms now, double wall_now) {
  ListUpdate update;
  try {
    update = parse_list(json, site_.policy.localities);
  } catch (const std::runtime_error& error) {
    log(log::Level::error, "list_refused",
        {{"reason", error.what()}, {"kept_version", std::to_string(book_.version())}});
    return list_lost(std::string("refused: ") + error.what(), now);
  }
  list_heard_ = now;
  wall_less_now_ = wall_now - now;
  for (std::uint32_t id : book_.apply(update)) {
    if (book_.open(id)) closed_.erase(id);
    else closed_.try_emplace(id, now);
  }
  tell(EndpointList{update.total ? EndpointListKind::complete : EndpointListKind::incremental,
                    book_.listed(update.entries, now, wall_now)});
  effects_.push_back(SaveList{});
  log(log::Level::debug, "list_taken",
      {{"version", std::to_string(update.version)}, {"entries", std::to_string(update.entries.size())}});
}

void Core::list_lost(const std::string& reason, Ms) {
  watching_ = false;
  log(log::Level::warning, "list_lost",
      {{"reason", reason}, {"kept_version", std::to_string(book_.version())}});
  tell(EndpointList{EndpointListKind::lost, {}});
}

void Core::probe_answered(EndpointId endpoint, AttemptOutcome outcome, Ms took, LoadReport load, Ms) {
  tell(HealthCheckResult{endpoint, outcome, Duration(took), std::move(load)});
}

// ---- The module's orders ----

channel::WeightUpdate Core::line_of(std::uint32_t table, std::uint32_t endpoint, double weight) const {
  channel::WeightUpdate line{.table = table, .endpoint = endpoint, .weight = weight};
  if (const ListEntry* e = book_.find(endpoint); e && weight > 0) {
    line.locality = static_cast<std::uint16_t>(e->locality);
    line.cell = e->cell;
    line.ip = e->address.ip, line.port = e->address.port;
  }
  return line;
}

// A proxy obeys one module: what another one says to it is of a time that is over.
void Core::write(std::uint32_t module, ProxyId proxy, const assignments::Update& order) {
  auto joined = proxies_.find(proxy);
  if (joined == proxies_.end() || streams_.at(joined->second).owner != module) return;
  struct OnWire {
    const Core& core;
    std::uint32_t module;
    using Order = channel::Update;
    Order operator()(const assignments::TableAssigned& x) {
      return channel::AssignTableUpdate{x.classes, on_wire(module, x.table)};
    }
    Order operator()(const assignments::WeightChanged& x) {
      return core.line_of(on_wire(module, x.table), raw(x.endpoint), x.weight);
    }
    Order operator()(const assignments::TableCleared& x) {
      return channel::ClearTableUpdate{on_wire(module, x.table)};
    }
    Order operator()(const assignments::LimitChanged& x) {
      return channel::AdmissionLimitUpdate{x.all_tables ? channel::kAllTables : on_wire(module, x.table),
                                           x.classes, x.limit.limit,
                                           static_cast<std::uint8_t>(x.limit.retry_mode)};
    }
    Order operator()(const assignments::EndpointExcluded& x) {
      return channel::ExcludeEndpointUpdate{raw(x.endpoint), x.excluded};
    }
  };
  open_[proxy].push_back(std::visit(OnWire{*this, module}, order));
}

// A fresh module's first bind of a proxy: the former module is rid of it.
void Core::take_over(std::uint32_t number, ProxyId proxy) {
  auto joined = proxies_.find(proxy);
  if (joined == proxies_.end()) return;  // it has left
  std::uint32_t& owner = streams_.at(joined->second).owner;
  if (owner >= number) return;
  auto former = modules_.find(std::exchange(owner, number));
  if (former == modules_.end()) return;
  former->second.tables.remove_proxy(proxy);
  former->second.pending.push_back(ProxyDisconnected{proxy});
}

void Core::count_cuts(const Module& module, const SetAdmissionLimit& x) {
  static const std::map<ClassId, assignments::AdmissionLimit> none;
  auto table = module.tables.tables().find(x.table);
  auto& had = x.all_tables                            ? module.tables.limits_for_all_tables()
              : table != module.tables.tables().end() ? table->second.limits
                                                      : none;
  for (auto& [c, level] : had)
    if ((x.classes == 0 || x.classes >> raw(c) & 1) && x.limit < level.limit) ++cuts_[raw(c)];
}

void Core::act(Ms now, std::uint32_t number, Module& module, const std::vector<Action>& actions) {
  struct Doing {
    Core& core;
    Ms now;
    std::uint32_t number;
    Module& module;
    const assignments::AssignmentTables::WriteUpdate write;
    void operator()(const Subscribe& x) {
      core.watching_ = x.active;
      if (x.active) core.effects_.push_back(OpenWatch{});
      else core.effects_.push_back(CloseWatch{});
    }
    void operator()(const FetchEndpoints&) { core.effects_.push_back(FetchTheList{}); }
    void operator()(const SetTimer& x) {
      module.timers.emplace(x.deadline.time_since_epoch().count(), x.token);
    }
    void operator()(const SendHealthCheck& x) {
      if (const ListEntry* e = core.book_.find(raw(x.endpoint)))
        core.effects_.push_back(ProbeServer{x.endpoint, e->address});
    }
    void operator()(const SendPeerMessage& x) {
      if (x.payload.size() > channel::kMaxPeerNoteBytes) return;
      for (auto& [instance, stream] : core.peers_)
        if (x.to_all_peers || instance == x.peer)
          core.send_frame(core.streams_.find(stream),
                          channel::PeerNote{std::string(x.payload.begin(), x.payload.end())}, now);
    }
    void operator()(const SetWeight& x) { module.tables.apply(x, write); }
    void operator()(const ClearTable& x) { module.tables.apply(x, write); }
    void operator()(const AssignTable& x) {
      core.take_over(number, x.proxy);
      module.tables.apply(x, write);
    }
    void operator()(const ExcludeEndpoint& x) { module.tables.apply(x, write); }
    void operator()(const SetAdmissionLimit& x) {
      core.count_cuts(module, x);
      module.tables.apply(x, write);
    }
    void operator()(const AckRequest& x) {
      if (x.all_proxies)
        for (auto& [proxy, stream] : core.proxies_) core.open_[proxy];
      for (auto& [proxy, orders] : core.open_) orders.push_back(channel::AckRequestUpdate{x.sequence_number});
    }
    void operator()(const LogMessage& x) {
      core.ejections_ += x.text.starts_with("eject ");
      core.log(log::Level::info, "module", {{"text", x.text}});
    }
    void operator()(const InvariantViolated& x) {
      core.log(log::Level::error, "module_fault", {{"text", x.text}});
    }
  };
  Doing doing{*this, now, number, module,
              [&](ProxyId proxy, const assignments::Update& order) { write(number, proxy, order); }};
  for (const Action& action : actions) std::visit(doing, action);
  counters_.actions += actions.size();
}

// One message for each proxy concerned, envelope included; they leave one after the other at the set pace.
void Core::send_messages(Ms now, std::uint32_t module) {
  for (auto& [proxy, orders] : open_) {
    auto joined = proxies_.find(proxy);
    if (joined == proxies_.end()) continue;
    if (between_) between_(now, raw(proxy), orders, book_);
    if (orders.empty()) continue;
    Stream& s = streams_.at(joined->second);
    channel::UpdateMessage message{.sequence = ++s.sequence, .decided_at_ms = now};
    Sent sent{.sequence = s.sequence, .decided = now, .module = module};
    for (const channel::Update& order : orders) note_order(order, sent);
    sent.lines = message.lines = site_.policy.message_overhead_lines + static_cast<double>(orders.size());
    message.updates = std::move(orders);
    ++counters_.messages;
    counters_.lines += message.updates.size();
    channel_free_ = std::max(channel_free_, now) + sent.lines / site_.policy.channel_lines_per_second * 1000;
    sent.leaves = channel_free_;
    s.messages.push_back(now);
    for (auto& [other, m] : modules_)
      if (other != module) ++m.others_sent[proxy];
    while (now - s.messages.front() > std::max(kMessagesKept, site_.policy.message_window.count()))
      s.messages.pop_front();
    s.unconfirmed.push_back(std::move(sent));
    schedule(streams_.find(joined->second));
    waiting_.push_back(
        {channel_free_, joined->second, std::make_shared<const std::string>(channel::encode(message))});
  }
  open_.clear();
}

void Core::release_messages(Ms now) {
  for (; !waiting_.empty() && waiting_.front().leaves <= now; waiting_.pop_front()) {
    auto s = streams_.find(waiting_.front().stream);
    if (s == streams_.end()) {  // it took its time in the channel all the same, as the module counts it
      ++counters_.dropped_messages;
      continue;
    }
    s->second.sent = now;
    effects_.push_back(SendBytes{waiting_.front().stream, std::move(waiting_.front().bytes)});
  }
}

// ---- Time ----

void Core::upkeep(Ms now) {
  while (!due_.empty() && due_.begin()->first <= now) {
    auto s = streams_.find(due_.begin()->second);
    Stream& stream = s->second;
    if (stream.is == Stream::Is::opening && now >= stream.opened + site_.hello_within) {
      refuse(s, RefuseCode::silent, "no hello in time", 0, now);
    } else if (stream.is != Stream::Is::opening &&
               now >= stream.heard + kHeartbeatsUntilDead * site_.heartbeat) {
      refuse(s, RefuseCode::silent, fmt::format("no byte for {} ms", now - stream.heard), 0, now);
    } else if (!stream.unconfirmed.empty() &&
               now >= stream.unconfirmed.front().leaves + site_.confirm_within) {
      // Alive and not applying: its lines would fill the channel's account and hold up everybody's orders.
      refuse(s, RefuseCode::silent,
             fmt::format("message {} is not confirmed after {} ms", stream.unconfirmed.front().sequence,
                         site_.confirm_within),
             0, now);
    } else if (now >= std::max(stream.sent, stream.heard) + site_.heartbeat) {
      send_frame(s, channel::Ping{stream.sequence}, now);
    } else {
      schedule(s);
    }
  }
}

void Core::dial_peers(Ms now) {
  for (auto& [instance, address] : site_.peers) {
    Ms& due = dial_at_.at(instance);
    if (stopping_ || due > now || peers_.contains(instance)) continue;
    due = now + kRedialPeer;
    effects_.push_back(DialPeer{instance, address});
  }
}

// ---- Modules ----

void Core::run(std::uint32_t number, Module& module, Ms now) {
  while (!module.timers.empty() && module.timers.begin()->first <= now) {
    module.pending.push_back(TimerFired{module.timers.begin()->second});
    module.timers.erase(module.timers.begin());
  }
  if (module.pending.empty()) return;
  std::vector<Event> events = std::exchange(module.pending, {});
  std::vector<Action> actions = module.controller.handle(at(now), events);
  counters_.events += events.size();
  if (!site_.record_file.empty())
    effects_.push_back(AppendRecord{record::batch(at(now), events, actions, number)});
  act(now, number, module, actions);
  send_messages(now, number);
}

// While several modules order through one channel each must know what the others have in it.
void Core::share_channel() {
  std::map<std::uint32_t, double> lines;
  double all = 0;
  for (auto& [id, s] : streams_)
    for (const Sent& m : s.unconfirmed) lines[m.module] += m.lines, all += m.lines;
  bool foreign = false;
  for (auto& [number, module] : modules_) {
    double others = all - lines[number];
    foreign |= others > 0;
    if (others == module.others_lines && module.others_sent.empty()) continue;
    module.pending.push_back(SharedChannelUsage{others, std::exchange(module.others_sent, {})});
    module.others_lines = others;
  }
  sharing_ = foreign || modules_.size() > 1;
}

// A module that orders no proxy any more has been taken over.
void Core::retire() {
  if (modules_.size() == 1) return;
  std::set<std::uint32_t> owners{modules_.rbegin()->first};
  for (auto& [proxy, id] : proxies_) owners.insert(streams_.at(id).owner);
  std::erase_if(modules_, [&](auto& m) {
    if (owners.contains(m.first)) return false;
    log(log::Level::info, "module_taken_over",
        {{"module", std::to_string(m.first)}, {"by", std::to_string(modules_.rbegin()->first)}});
    return true;
  });
}

std::size_t Core::spent(const Stream& s, Ms now, Ms span) {
  return static_cast<std::size_t>(s.messages.end() -
                                  std::lower_bound(s.messages.begin(), s.messages.end(), now - span));
}

bool Core::may_reconfigure(const Site& next, Ms now) const {
  if (encoded(site_.policy) == encoded(next.policy)) return true;
  if (modules_.size() > 1 || sharing_) return false;
  double allowed = next.policy.max_messages_per_window;
  return allowed <= 0 || std::all_of(proxies_.begin(), proxies_.end(), [&](auto& p) {
           auto sent = spent(streams_.at(p.second), now, next.policy.message_window.count());
           return static_cast<double>(sent) < kTakeoverPart * allowed;
         });
}

void Core::reconfigure(const Site& next, std::uint64_t version, std::uint64_t hash, Ms now) {
  bool fresh = encoded(site_.policy) != encoded(next.policy);
  // What waits for the module speaks of classes and localities that may be no more.
  if (next.policy.classes.size() < site_.policy.classes.size() ||
      next.policy.localities.size() < site_.policy.localities.size())
    intake_ = Intake(next.report_lines_per_s);
  bool told = site_.heartbeat != next.heartbeat || site_.policy.report_period != next.policy.report_period;
  site_ = next;
  intake_.pace(site_.report_lines_per_s);
  if (!site_.record_file.empty()) effects_.push_back(AppendRecord{record::applied(at(now), version, hash)});
  log(log::Level::info, "config_applied",
      {{"version", std::to_string(version)}, {"fresh_module", fresh ? "yes" : "no"}});
  for (auto s = streams_.begin(); s != streams_.end(); ++s) {
    if (s->second.is == Stream::Is::opening) continue;
    s->second.parser.allow(site_.most_frame);
    if (told && s->second.is == Stream::Is::proxy)
      send_frame(s,
                 channel::Welcome{.epoch = epoch_,
                                  .heartbeat_ms = site_.heartbeat,
                                  .report_period_ms = site_.policy.report_period.count()},
                 now);
    schedule(s);
  }
  if (!fresh) return;
  std::uint32_t number = modules_.rbegin()->first + 1;
  Module& module = modules_.emplace(number, site_.policy).first->second;
  if (!site_.record_file.empty()) effects_.push_back(AppendRecord{record::opening(site_.policy, number)});
  // Known instants of starts are kept as they are: no wall clock is needed, none of these is new.
  module.pending.push_back(
      EndpointList{EndpointListKind::cached, book_.listed(book_.all(), now, wall_less_now_ + now)});
  for (auto& [proxy, id] : proxies_) {
    Stream& s = streams_.at(id);
    module.tables.register_proxy(proxy);
    module.others_sent[proxy] = static_cast<int>(spent(s, now, site_.policy.message_window.count()));
    module.pending.push_back(
        ProxyRegistered{proxy, Locality{site_.locality_of.find(s.address.ip).value_or(0)}, s.usual, false});
  }
  sharing_ = true;
  retire();
}

Fleet Core::fleet(Ms now) const {
  Fleet out;
  for (const ListEntry& e : book_.all()) {
    Fleet::Server s{e.id, e.locality, e.cell, e.size, e.state == EndpointState::available};
    s.address = e.address;
    if (auto start = book_.started(e.id)) s.up_for = now - *start;
    if (auto h = heard_.find(e.id); h != heard_.end()) s.rate = h->second.rate, s.busy = h->second.busy;
    out.servers.push_back(s);
  }
  for (auto& [proxy, id] : proxies_) {
    const Stream& s = streams_.at(id);
    out.proxies.push_back({raw(proxy), site_.locality_of.find(s.address.ip).value_or(0), s.usual,
                           spent(s, now, site_.policy.message_window.count()), s.address});
  }
  out.came.assign(site_.policy.classes.size(), 0);
  for (auto& [key, sum] : service_)
    if (key.second < out.came.size()) out.came[key.second] += static_cast<double>(sum.came);
  out.streams = streams_.size();
  return out;
}

void Core::turn(Ms now) {
  dial_peers(now);
  upkeep(now);
  if (now >= next_release_) {
    for (const Event& e : intake_.release(now)) tell(e);
    next_release_ = now + site_.policy.report_period.count();
  }
  if (sharing_) share_channel();
  for (auto& [number, module] : modules_) run(number, module, now);
  retire();
  release_messages(now);
}

Ms Core::next_due() const {
  Ms due = next_release_;
  for (auto& [number, module] : modules_) {
    if (!module.pending.empty()) return 0;
    if (!module.timers.empty()) due = std::min(due, module.timers.begin()->first);
  }
  if (!due_.empty()) due = std::min(due, due_.begin()->first);
  if (!waiting_.empty()) due = std::min(due, waiting_.front().leaves);
  return due;
}

void Core::stop(Ms now) {
  stopping_ = true;
  while (!streams_.empty())
    refuse(streams_.begin(), RefuseCode::stopping, "this assigner is stopping", 0, now);
}

// ---- Figures ----

void Core::note_report(Locality from, const channel::LoadReportMessage& report, Ms now) {
  for (const channel::DemandReportEntry& u : report.demand) {
    ServiceSum& sum = service_[{raw(from), u.request_class}];
    sum.came += u.arrivals, sum.unanswered += u.failed, sum.in_time += u.within_objective;
  }
  for (const channel::EndpointReportEntry& h : report.endpoints) {
    if (!book_.find(h.endpoint)) continue;
    // Tries fade out over a second: a rate whatever the proxies' periods and numbers.
    Heard& heard = heard_[h.endpoint];
    double keep = std::exp(-std::max(0.0, now - heard.at) / kRateFade);
    heard.rate = heard.rate * keep + h.attempts / (kRateFade / 1000);
    heard.at = now;
    for (auto& [name, value] : h.load)
      if (name == "utilization") heard.busy = value;
  }
}

void Core::note_order(const channel::Update& order, Sent& sent) const {
  if (auto* barrier = std::get_if<channel::AckRequestUpdate>(&order))
    sent.serials.push_back(barrier->sequence_number);
  if (auto* line = std::get_if<channel::WeightUpdate>(&order))
    sent.removes |= line->weight <= 0 && closed_.contains(line->endpoint);
}

// The fullest cold server: its tries against what it may be sent, by what the warm ones do at their load.
double Core::cold_used(Ms now) const {
  double tries = 0, busy_size = 0, most = 0;
  auto ramp = [&](std::uint32_t id) {
    auto start = book_.started(id);
    const Settings& p = site_.policy;
    if (!start) return 1.0;
    return std::min(1.0,
                    p.initial_capacity + (1 - p.initial_capacity) * (now - *start) / p.warm_up_time.count());
  };
  for (auto& [id, h] : heard_)
    if (h.busy > kBusyLeast && ramp(id) >= 1) tries += h.rate, busy_size += h.busy * book_.find(id)->size;
  if (tries <= 0) return 0;
  for (auto& [id, h] : heard_) {
    double r = ramp(id), fresh = std::exp(-(now - h.at) / kRateFade);
    if (r < 1)
      most =
          std::max(most, h.rate * fresh /
                             (site_.policy.overload_multiple * r * book_.find(id)->size * tries / busy_size));
  }
  return most;
}

// The oldest order to leave a closed server that is not confirmed, or the oldest line to one that stands.
double Core::drain_used(Ms now) const {
  Ms oldest = 0;
  for (auto& [id, s] : streams_)
    for (const Sent& m : s.unconfirmed)
      if (m.removes) oldest = std::max(oldest, now - m.decided);
  for (auto& [endpoint, since] : closed_)
    for (auto& [module_number, module] : modules_)
      for (auto& [id, table] : module.tables.tables())
        if (!table.proxies.empty() && table.weights.contains(EndpointId{endpoint}))
          oldest = std::max(oldest, now - since);
  return oldest / site_.policy.drain_grace_period.count();
}

telemetry::Figures Core::figures(Ms now) {
  const Settings& p = site_.policy;
  telemetry::Figures f;
  f.backlog_lines = waiting_lines();
  f.backlog_most = p.max_queued_lines;
  f.messages_allowed = p.max_messages_per_window;
  double most_messages = 0;
  Ms emptiest = 0;
  std::set<ProxyId> lacking;  // bound to a table that has no lines
  for (auto& [number, module] : modules_)
    for (auto& [id, table] : module.tables.tables())
      if (table.weights.empty())
        for (auto& [proxy, classes] : table.proxies) lacking.insert(proxy);
  for (auto& [proxy, id] : proxies_) {
    Stream& s = streams_.at(id);
    if (!s.unconfirmed.empty())
      f.backlog_age_s = std::max(f.backlog_age_s, (now - s.unconfirmed.front().decided) / 1000);
    f.messages.push_back(static_cast<double>(spent(s, now, p.message_window.count())));
    most_messages = std::max(most_messages, f.messages.back());
    if (!lacking.contains(proxy)) s.empty_since = -1;
    else if (s.empty_since < 0) s.empty_since = now;
    if (s.empty_since >= 0) emptiest = std::max(emptiest, now - s.empty_since);
  }
  for (std::uint32_t z = 0; z < p.localities.size(); ++z)
    for (std::uint32_t c = 0; c < p.classes.size(); ++c) {
      auto sum = service_.find({z, c});
      telemetry::Figures::Service s{
          p.localities[z], site_.class_names[c], 0, 0, 0, p.classes[c].priority_weight};
      if (sum != service_.end())
        s.came = sum->second.came, s.unanswered = sum->second.unanswered, s.in_time = sum->second.in_time;
      f.service.push_back(std::move(s));
    }
  bool unproven = false;
  for (std::uint32_t c = 0; c < p.classes.size(); ++c) {
    telemetry::Figures::Level level{site_.class_names[c],
                                    p.admission_limit_kind == AdmissionLimitKind::rate ? 1e6 : 1, cuts_[c]};
    for (auto& [number, module] : modules_)
      for (auto& [id, table] : module.tables.tables())
        if (auto l = table.limits.find(ClassId{c}); l != table.limits.end()) {
          level.lowest = std::min(level.lowest, l->second.limit);
          unproven |= p.classes[c].semantics != Semantics::idempotent &&
                      l->second.retry_mode > RetryMode::if_not_processed;
        }
    f.levels.push_back(std::move(level));
  }
  f.ejections = ejections_;
  f.list_age_s = std::max(0.0, now - list_heard_) / 1000;
  f.list_entries = static_cast<double>(book_.all().size());
  f.report_wait_s = intake_.oldest(now) / 1000;
  f.reports = counters_.reports, f.events = counters_.events, f.actions = counters_.actions;
  f.orders = counters_.messages, f.refused_streams = counters_.refused_streams;
  f.broken_streams = counters_.broken_streams, f.dropped_messages = counters_.dropped_messages;
  f.streams = static_cast<double>(streams_.size()), f.proxies = static_cast<double>(proxies_.size());
  double messages_used = p.max_messages_per_window > 0 ? most_messages / p.max_messages_per_window : 0;
  f.rules = {emptiest / p.max_time_without_endpoints.count(), unproven ? 1.0 : 0.0, drain_used(now),
             cold_used(now), std::max(f.backlog_lines / p.max_queued_lines, messages_used)};
  return f;
}

std::string Core::status_json(Ms now) const {
  nlohmann::json out;
  out["instance"] = site_.instance;
  out["epoch"] = epoch_;
  out["streams"] = streams_.size();
  out["proxies"] = proxies_.size();
  out["list"] = {{"version", book_.version()}, {"entries", book_.all().size()}, {"watching", watching_}};
  out["channel"] = {{"unconfirmed_lines", waiting_lines()},
                    {"unsent_messages", waiting_.size()},
                    {"free_in_ms", std::max(0.0, channel_free_ - now)}};
  out["reports"] = {{"waiting_lines", intake_.waiting()}, {"taken", counters_.reports}};
  out["counters"] = {{"events", counters_.events},
                     {"actions", counters_.actions},
                     {"messages", counters_.messages},
                     {"lines", counters_.lines},
                     {"refused_streams", counters_.refused_streams},
                     {"broken_streams", counters_.broken_streams},
                     {"dropped_messages", counters_.dropped_messages},
                     {"unknown_endpoints", counters_.unknown_endpoints}};
  nlohmann::json tables = nlohmann::json::object();
  for (auto& [number, module] : modules_)
    for (auto& [id, table] : module.tables.tables()) {
      nlohmann::json lines = nlohmann::json::object();
      for (auto& [endpoint, weight] : table.weights) lines[std::to_string(raw(endpoint))] = weight;
      nlohmann::json levels = nlohmann::json::object();
      for (auto& [c, level] : table.limits)
        levels[site_.class_names[raw(c)]] = {{"level", level.limit},
                                             {"retry", static_cast<int>(level.retry_mode)}};
      tables[std::to_string(on_wire(number, id))] = {
          {"users", table.proxies.size()}, {"lines", lines}, {"levels", levels}};
    }
  out["tables"] = tables;
  return out.dump();
}

}  // namespace beamshunt::assigner
