#include "platform/core.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/enums.h"

namespace beamshunt::platform {
namespace {

using base::raw;

// ---- The protocol's bounds: unit, reason ----
constexpr std::size_t kMostOpening = 4096;        // bytes of a message before joining: all such are short
constexpr std::size_t kMostJoined = 1048576;      // bytes of any message, by the protocol
constexpr std::size_t kMostUnfinished = 4194304;  // bytes of all connections' begun messages together
constexpr std::size_t kMostCollectors = 4;        // of a locality: one, and ghosts of broken connections
constexpr Ms kJoinWithin = 1000;                  // ms from connecting on; who has not joined may be closed
constexpr Ms kLineWithin = 3000;                  // ms from a message's first byte to its last
constexpr Ms kUpkeep = 200;                       // ms between two looks at all connections
constexpr int kMostUnusable = 4;                  // messages in a row: such a stream is of no further use
constexpr std::size_t kReserved = 32;  // descriptors for all else but probes: loop, discovery, files
// probes at a time: those of endpoints that hang must leave some for the others; more would only be a burst
constexpr std::size_t kProbesLeast = 16, kProbesMost = 64;
constexpr Ms kAckSlack = 1000;       // ms that an ack may take beyond the channel's longest
constexpr Ms kSilentMost = 20000;    // ms without an answer, where no other proxy's tells
constexpr Ms kQuiet = 10000;         // ms without a byte: a proxy that serves has reported its demand since
constexpr double kCheckPart = 0.05;  // of the channel, for health checks: after a cut many are quiet at once
constexpr Ms kViewEach = 1000;       // ms between two accounts of all endpoints
constexpr Ms kPassedKept = 60000;    // ms
constexpr std::size_t kMostSettled = 256;  // nonces kept of a stream: more are never on their way

Time at(Ms ms) { return Time(Duration(ms)); }
ClassMask bit(ClassId c) { return ClassMask{1} << raw(c); }

}  // namespace

std::size_t most_probes(std::size_t sockets) { return std::clamp(sockets / 16, kProbesLeast, kProbesMost); }

Core::Core(Configuration configuration, Ms now, double wall_now, bool verbose)
    : configuration_(std::move(configuration)), watch_(configuration_.seed), verbose_(verbose) {
  if (!configuration_.known.empty()) {
    try {
      directory_.take(configuration_.known, configuration_.names, now, wall_now);
    } catch (const std::runtime_error& error) {
      log(log::Level::error, "known_list_refused", {{"reason", error.what()}});
    }
  }
  start_module();
}

void Core::log(log::Level level, std::string event, log::Fields fields) {
  effects_.push_back(LogLine{level, std::move(event), std::move(fields)});
}

// ---- Connections ----

void Core::opened(ConnectionId id, Ms now) {
  connections_.emplace(id, Connection{.reader = LineReader(kMostOpening), .opened = now, .heard = now});
  opening_.push_back(id);
}

// The oldest of those that have not joined, for it had its time.
std::optional<ConnectionId> Core::to_evict() {
  while (!opening_.empty()) {
    auto c = connections_.find(opening_.front());
    if (c != connections_.end() && c->second.is == Connection::Is::opening) break;
    opening_.pop_front();
  }
  if (connections_.size() <= most_connections() || opening_.empty()) return std::nullopt;
  return opening_.front();
}

std::size_t Core::most_connections() const {
  std::size_t reserved = kReserved + most_probes(configuration_.sockets);
  return configuration_.sockets > 2 * reserved ? configuration_.sockets - reserved : reserved;
}

// Past the last descriptor that may be given away, one stream more would cost all others the list and the
// probes.
void Core::admit(Connection& c, Connection::Is as) {
  if (joined_ >= most_connections())
    throw Unusable(Unusable::Scope::connection, "there are descriptors for no more who join");
  ++joined_;
  c.is = as;
  c.reader.allow(kMostJoined);
}

void Core::evict(ConnectionId id) {
  auto c = connections_.find(id);
  if (c == connections_.end() || c->second.is != Connection::Is::opening)
    return;  // what came last was a joining
  send(id, error_line("too many connections that have not joined"));
  effects_.push_back(CloseConnection{id, true});
  ++counters_.evicted;
  end(c, "room is needed");
}

void Core::bytes(ConnectionId id, std::string_view bytes, Ms now) {
  auto c = connections_.find(id);
  if (c == connections_.end()) return;
  Connection& connection = c->second;
  connection.heard = now;
  bool begun = connection.reader.unfinished() > 0;
  connection.reader.push(bytes);
  try {
    while (std::optional<std::string> line = connection.reader.next()) {
      begun = false;
      if (line->find_first_not_of(" \t\r") == line->npos) continue;
      take_line(c, *line, now);  // a message may end other connections, never its own
    }
  } catch (const Unusable& fault) {
    return refuse(c, fault.what());
  }
  if (!begun) connection.unfinished_since = now;
}

void Core::take_line(Connections::iterator c, std::string_view line, Ms now) {
  Connection& connection = c->second;
  try {
    Message message = parse_message(line, configuration_.names, configuration_.settings.proxy_count);
    std::visit([&](const auto& m) { take(c, m, now); }, message);
    connection.unusable = 0;
  } catch (const Unusable& fault) {
    // Who has not joined gets one try; a joined stream loses only what was spoilt, unless nothing else comes.
    if (connection.is == Connection::Is::opening || fault.scope == Unusable::Scope::connection) throw;
    ++counters_.spoilt;
    log(log::Level::warning, "message_dropped",
        {{"connection", std::to_string(raw(c->first))}, {"reason", fault.what()}});
    if (++connection.unusable >= kMostUnusable)
      throw Unusable(Unusable::Scope::connection, "nothing usable comes any more");
  }
}

void Core::closed(ConnectionId id, const std::string& reason, Ms) {
  if (auto c = connections_.find(id); c != connections_.end()) end(c, reason);
}

void Core::send(ConnectionId to, std::string bytes) {
  effects_.push_back(SendBytes{to, std::make_shared<const std::string>(std::move(bytes))});
}

void Core::refuse(Connections::iterator c, const std::string& reason) {
  ++counters_.refused;
  log(log::Level::warning, "connection_refused",
      {{"connection", std::to_string(raw(c->first))}, {"reason", reason}});
  send(c->first, error_line(reason));
  effects_.push_back(CloseConnection{c->first});
  end(c, reason);
}

// What the connection stood for goes with it.
void Core::end(Connections::iterator c, const std::string& reason) {
  if (c->second.is != Connection::Is::opening) --joined_;
  if (c->second.is == Connection::Is::proxy) {
    settle(c->second);
    ProxyId proxy = c->second.joined.proxy;
    log(log::Level::info, "proxy_left", {{"proxy", std::to_string(raw(proxy))}, {"reason", reason}});
    streams_.erase(proxy);
    open_.erase(proxy);
    tables_->remove_proxy(proxy);
    pending_.push_back(ProxyDisconnected{proxy});
  }
  connections_.erase(c);
}

// ---- Messages ----

void Core::take(Connections::iterator c, const HealthCheckRequest&, Ms) { send(c->first, alive_line()); }

void Core::take(Connections::iterator c, const CollectorRegistration& m, Ms) {
  if (c->second.is != Connection::Is::opening)
    throw Unusable(Unusable::Scope::message, "a second joining on one connection");
  // Nothing is written to a collector, so one that has fallen silent never shows: newer ones push it out.
  auto& others = collectors_[m.locality];
  std::erase_if(others, [&](ConnectionId id) { return !connections_.contains(id); });
  if (others.size() >= kMostCollectors) {
    refuse(connections_.find(others.front()), "the locality has newer collectors");
    others.pop_front();
  }
  admit(c->second, Connection::Is::collector);
  others.push_back(c->first);
  log(log::Level::info, "collector_joined", {{"locality", configuration_.names.localities[raw(m.locality)]}});
}

void Core::take(Connections::iterator c, const ProxyRegistration& m, Ms) {
  if (c->second.is != Connection::Is::opening)
    throw Unusable(Unusable::Scope::message, "a second joining on one connection");
  // The proxy dialled again before the end of its former stream was seen: that one is a ghost.
  if (auto former = streams_.find(m.proxy); former != streams_.end()) {
    effects_.push_back(CloseConnection{former->second, true});
    end(connections_.find(former->second), "the proxy has a newer stream");
  }
  Connection& connection = c->second;
  admit(connection, Connection::Is::proxy);
  connection.joined = m;
  streams_[m.proxy] = c->first;
  log(log::Level::info, "proxy_joined",
      {{"proxy", std::to_string(raw(m.proxy))}, {"connection", std::to_string(raw(c->first))}});
  join(m);
}

void Core::join(const ProxyRegistration& m) {
  tables_->register_proxy(m.proxy);
  pending_.push_back(ProxyRegistered{m.proxy, m.locality, m.usual_rate, m.only_standing});
}

void Core::take(Connections::iterator c, const Ack& m, Ms now) {
  Connection& connection = c->second;
  if (connection.is != Connection::Is::proxy || connection.joined.proxy != m.proxy)
    throw Unusable(Unusable::Scope::message, "an ack that is not of this stream's proxy");
  auto hit = std::find_if(connection.unacked.begin(), connection.unacked.end(),
                          [&](const Nonce& nonce) { return nonce.value == m.nonce; });
  if (hit == connection.unacked.end()) {
    // It crossed the end of its wait, or of its module: none of the stream's doing, and nothing spoilt.
    if (std::find(connection.settled.begin(), connection.settled.end(), m.nonce) !=
        connection.settled.end()) {
      ++counters_.late;
      return;
    }
    throw Unusable(Unusable::Scope::message, "an ack of a nonce that does not wait for one");
  }
  if (passed_.empty() || hit->order > passed_.back().first) passed_.emplace_back(hit->order, now);
  acknowledge(connection, static_cast<std::size_t>(hit - connection.unacked.begin()) + 1, now);
}

void Core::acknowledge(Connection& c, std::size_t nonces, Ms now) {
  for (; nonces > 0; --nonces, c.unacked.pop_front()) {
    const Nonce& nonce = c.unacked.front();
    c.settled.push_back(nonce.value);
    if (c.settled.size() > kMostSettled) c.settled.pop_front();
    if (nonce.module == module_)
      pending_.push_back(UpdateAcknowledged{c.joined.proxy, Duration(now - nonce.sent), nonce.serial});
    else pending_.push_back(SharedChannelUsage{other_lines_ -= nonce.lines, {}});
  }
}

// Nothing more is confirmed of this stream: what it holds of former modules' lines leaves their account.
void Core::settle(Connection& c) {
  double before = other_lines_;
  for (const Nonce& nonce : c.unacked)
    if (nonce.module != module_) other_lines_ -= nonce.lines;
  c.unacked.clear();
  if (other_lines_ != before) pending_.push_back(SharedChannelUsage{other_lines_, {}});
}

void Core::take(Connections::iterator c, const EndpointReportMessage& m, Ms) {
  if (c->second.is == Connection::Is::opening)
    throw Unusable(Unusable::Scope::connection, "a report before a joining");
  auto endpoint = directory_.find(m.uid);
  if (!endpoint) throw Unusable(Unusable::Scope::message, "endpoint " + m.uid + " was never listed");
  ++counters_.reports;
  if (verbose_) {
    View& v = view_[*endpoint];
    v.tries += m.tries, v.failed += m.failed, v.latency += m.latency * (m.tries - m.failed);
  }
  pending_.push_back(
      EndpointReport{m.from, *endpoint, m.tries, m.failed, Duration(m.latency), Duration(m.span), m.load});
}

void Core::take(Connections::iterator c, const DemandReportMessage& m, Ms) {
  if (c->second.is == Connection::Is::opening)
    throw Unusable(Unusable::Scope::connection, "a report before a joining");
  if (c->second.is == Connection::Is::proxy && c->second.joined.proxy != m.proxy)
    throw Unusable(Unusable::Scope::message, "a report of another proxy than this stream's");
  ++counters_.reports;
  if (streams_.contains(m.proxy))
    pending_.push_back(DemandReport{m.proxy, m.request_class, m.came, m.unanswered, Duration(m.span)});
}

// ---- List and probes ----

void Core::watch_bytes(ListWatch::Number number, std::string_view piece, Ms now, double wall_now) {
  try {
    for (const std::string& object : watch_.bytes(number, piece)) {
      if (!list_object(object, now, wall_now)) continue;
      // Only now is it known that the new watch serves: the former one was the only one to tell of a drain.
      close_watches(watch_.tells(number));
    }
  } catch (const std::runtime_error& error) {
    close_watches({number});
    watch_ended(number, error.what(), now);
  }
}

void Core::watch_ended(ListWatch::Number number, const std::string& reason, Ms now) {
  ListWatch::Loss loss = watch_.ended(number, now);
  if (loss == ListWatch::Loss::list_lost) list_lost(reason);
  if (loss != ListWatch::Loss::newest) return;
  reopen_ = true;
  log(log::Level::warning, "watch_lost", {{"reason", reason}, {"list", "a former watch tells"}});
}

void Core::fetch_answered(std::string_view json, Ms now, double wall_now) {
  list_object(json, now, wall_now);
}

void Core::fetch_failed(const std::string& reason) {
  if (!watch_.any()) list_lost(reason);
  else log(log::Level::warning, "fetch_failed", {{"reason", reason}});
}

bool Core::list_object(std::string_view json, Ms now, double wall_now) {
  Directory::Told told;
  try {
    told = directory_.take(json, configuration_.names, now, wall_now);
  } catch (const std::runtime_error& error) {
    log(log::Level::error, "list_refused", {{"reason", error.what()}});
    return false;
  }
  for (const std::string& fault : told.faults)
    log(log::Level::warning, "list_entry_unusable", {{"reason", fault}});
  log(log::Level::info, "list_taken",
      {{"version", std::to_string(directory_.version())},
       {"all", told.list.kind == EndpointListKind::complete ? "yes" : "no"},
       {"old", told.old ? "yes" : "no"},
       {"entries", std::to_string(told.list.entries.size())}});
  pending_.push_back(std::move(told.list));
  return true;
}

void Core::list_lost(const std::string& reason) {
  if (!configuration_.settings.endpoint_list_by_subscription) reopen_ = true;  // else the module says when
  log(log::Level::warning, "list_lost", {{"reason", reason}});
  pending_.push_back(EndpointList{EndpointListKind::lost, {}});
}

void Core::open_watch() {
  reopen_ = false;
  directory_.asked_again();
  std::vector<ListWatch::Number> over;
  ListWatch::Number number = watch_.open(over);
  close_watches(over);
  effects_.push_back(OpenWatch{number, configuration_.discovery, directory_.version()});
}

void Core::close_watches(const std::vector<ListWatch::Number>& numbers) {
  for (ListWatch::Number number : numbers) effects_.push_back(CloseWatch{number});
}

void Core::probe_answered(EndpointId endpoint, std::uint64_t number, AttemptOutcome outcome, Ms took,
                          std::string_view body) {
  auto probe = probing_.find(endpoint);
  if (probe == probing_.end() || probe->second != number) return;  // of a module that is no more
  probing_.erase(probe);
  LoadReport load = parse_load(body);
  if (verbose_) {
    constexpr const char* kOutcomes[] = {"delivered",   "app_error", "shed",    "expired",
                                         "dial_failed", "dropped",   "revoked", "unused"};
    View& v = view_[endpoint];
    v.probe = kOutcomes[raw(outcome)];
    if (auto busy = load.find("utilization"); busy != load.end()) v.busy = busy->second;
  }
  pending_.push_back(HealthCheckResult{endpoint, outcome, Duration(took), std::move(load)});
}

// ---- The module and its orders ----

void Core::start_module() {
  ++module_;
  controller_ = std::make_unique<Controller>(configuration_.settings);
  tables_ = std::make_unique<assignments::AssignmentTables>(configuration_.settings.classes.size());
  pending_.clear(), timers_.clear(), probing_.clear();
  pending_.push_back(EndpointList{EndpointListKind::cached, directory_.all()});
  reopen_ |= !configuration_.settings.endpoint_list_by_subscription && !watch_.any();
}

void Core::reconfigure(Configuration next, Ms now) {
  bool moved = next.discovery != configuration_.discovery, other = next.values != configuration_.values;
  bool places = next.names.localities == configuration_.names.localities;
  bool same = places && next.names.classes == configuration_.names.classes &&
              next.settings.proxy_count == configuration_.settings.proxy_count;
  next.listen = configuration_.listen;
  configuration_ = std::move(next);
  log(log::Level::info, "configuration_taken",
      {{"discovery", net::to_string(configuration_.discovery)}, {"fresh_module", other ? "yes" : "no"}});
  // The list's localities are numbers of the former settings, and might be none of the present ones.
  if (!places) directory_.rename(configuration_.names);
  if (moved || !places) open_watch();
  if (!other) return;
  // Where classes, localities or the number of proxies are others, the joinings meant the former ones: those
  // streams dial again. Else the fresh module binds them all, and they go on by what they hold until it does.
  while (!same && !streams_.empty())
    refuse(connections_.find(streams_.begin()->second), "the settings have changed");
  start_module();
  // Rule 5 is kept by both modules together: the fresh one is told what the former ones' messages still hold
  // of the channel, and how many of the last ones each proxy was sent.
  SharedChannelUsage shared;
  other_lines_ = 0;
  for (auto& [proxy, id] : streams_) {
    Connection& connection = connections_.at(id);
    for (const Nonce& nonce : connection.unacked) other_lines_ += nonce.lines;
    shared.messages_sent[proxy] = static_cast<int>(messages_within(connection, now));
    connection.joined.only_standing = false;
    join(connection.joined);
  }
  shared.queued_lines = other_lines_;
  pending_.push_back(std::move(shared));
}

std::size_t Core::messages_within(Connection& c, Ms now) const {
  Ms span = configuration_.settings.message_window.count();
  while (!c.messages.empty() && now - c.messages.front() > span) c.messages.pop_front();
  return c.messages.size();
}

void Core::act(const std::vector<Action>& actions, Ms now) {
  std::optional<std::uint32_t> serial;
  auto write_to = [this](ProxyId proxy, const assignments::Update& order) { write(proxy, order); };
  struct Doing {
    Core& core;
    std::optional<std::uint32_t>& serial;
    const assignments::AssignmentTables::WriteUpdate write;
    void operator()(const Subscribe& x) {
      if (!x.active) core.reopen_ = false, core.close_watches(core.watch_.close_all());
      else if (!core.watch_.any()) core.open_watch();  // one that lives tells all that a new one would
    }
    void operator()(const FetchEndpoints&) {
      core.effects_.push_back(FetchTheList{core.configuration_.discovery});
    }
    void operator()(const SetTimer& x) {
      core.timers_.emplace(x.deadline.time_since_epoch().count(), x.token);
    }
    void operator()(const SendHealthCheck& x) {
      // Asked faster than it answers, one endpoint that hangs would hold up the probes of all others.
      std::uint64_t number = core.last_probe_ + 1;
      if (!core.probing_.emplace(x.endpoint, number).second) return;
      core.last_probe_ = number;
      if (auto address = core.directory_.address(x.endpoint))
        core.effects_.push_back(AskEndpoint{number, x.endpoint, *address,
                                            core.configuration_.settings.load_reports_by_health_check});
      else core.probe_answered(x.endpoint, number, AttemptOutcome::connect_failed, 0, {});
    }
    void operator()(const SendPeerMessage&) {}  // the platform has no such messages
    void operator()(const SetWeight& x) { core.tables_->apply(x, write); }
    void operator()(const ClearTable& x) { core.tables_->apply(x, write); }
    void operator()(const AssignTable& x) { core.tables_->apply(x, write); }
    void operator()(const ExcludeEndpoint& x) { core.tables_->apply(x, write); }
    void operator()(const SetAdmissionLimit& x) { core.tables_->apply(x, write); }
    void operator()(const AckRequest& x) {
      serial = x.sequence_number;
      if (x.all_proxies)
        for (auto& [proxy, stream] : core.streams_) core.open_[proxy];
    }
    void operator()(const LogMessage& x) { core.log(log::Level::info, "module", {{"text", x.text}}); }
    void operator()(const InvariantViolated& x) {
      core.log(log::Level::error, "module_fault", {{"text", x.text}});
    }
  };
  Doing doing{*this, serial, write_to};
  for (const Action& action : actions) std::visit(doing, action);
  send_messages(serial, now);
}

// A part that may take one more order for `classes`: not past a later part that such an order would overtake.
template <typename Blocks>
static Part& part_for(std::vector<Part>& parts, ClassMask classes, Blocks blocks) {
  for (auto p = parts.rbegin(); p != parts.rend(); ++p) {
    if (p->classes == classes) return *p;
    if ((p->classes & classes) != 0 && blocks(*p)) break;
  }
  parts.emplace_back().classes = classes;
  return parts.back();
}

void Core::write_levels(ProxyId proxy, TableId table, ClassMask classes) {
  for (std::uint32_t c = 0; (classes >> c) != 0; ++c) {
    auto level = classes >> c & 1 ? tables_->effective_limit(table, ClassId{c}) : std::nullopt;
    if (!level) continue;
    Part& part = part_for(open_[proxy], bit(ClassId{c}), [](const Part& p) { return p.replace || p.level; });
    part.level = {level->limit, static_cast<int>(level->retry_mode)};
  }
}

void Core::write(ProxyId proxy, const assignments::Update& order) {
  struct Writing {
    Core& core;
    ProxyId proxy;
    std::vector<Part>& parts;
    void operator()(const assignments::TableAssigned& x) {
      parts.push_back(Part{.classes = x.classes, .replace = true});
    }
    void operator()(const assignments::TableCleared& x) {
      ClassMask classes = core.tables_->classes_using(proxy, x.table);
      parts.push_back(Part{.classes = classes, .replace = true});
      core.write_levels(proxy, x.table, classes);  // what holds for all tables outlives the table's own
    }
    void operator()(const assignments::WeightChanged& x) {
      const std::string* uid = core.directory_.uid(x.endpoint);
      if (!uid) return;
      Part& part = part_for(parts, core.tables_->classes_using(proxy, x.table),
                            [](const Part& p) { return p.replace || !p.rows.empty(); });
      auto same = std::find_if(part.rows.begin(), part.rows.end(), [&](auto& r) { return r.first == *uid; });
      if (same != part.rows.end()) same->second = x.weight;
      else part.rows.emplace_back(*uid, x.weight);
    }
    void operator()(const assignments::LimitChanged& x) {
      if (!x.all_tables)
        return core.write_levels(proxy, x.table, x.classes & core.tables_->classes_using(proxy, x.table));
      for (TableId table : core.tables_->tables_of(proxy))
        core.write_levels(proxy, table, x.classes & core.tables_->classes_using(proxy, table));
    }
    void operator()(const assignments::EndpointExcluded& x) {
      if (const std::string* uid = core.directory_.uid(x.endpoint)) {
        Part& part = parts.emplace_back();
        (x.excluded ? part.drop : part.undrop).push_back(*uid);
      }
    }
  };
  std::visit(Writing{*this, proxy, open_[proxy]}, order);
}

void Core::send_messages(std::optional<std::uint32_t> serial, Ms now) {
  std::optional<std::uint32_t> nonce;
  if (serial && !open_.empty()) nonce = ++last_nonce_;
  for (auto& [proxy, parts] : open_) {
    auto stream = streams_.find(proxy);
    if (stream == streams_.end()) continue;
    ++counters_.messages;
    double lines = count_lines(parts, nonce.has_value());
    counters_.lines += static_cast<std::uint64_t>(lines);
    Connection& connection = connections_.at(stream->second);
    messages_within(connection, now);  // forgets the older ones
    connection.messages.push_back(now);
    if (nonce)
      connection.unacked.push_back({*nonce, *serial, ++last_order_, now, module_,
                                    lines + configuration_.settings.message_overhead_lines});
    send(stream->second, push_lines(std::move(parts), nonce, configuration_.names));
  }
  open_.clear();
}

// ---- Time ----

// The channel is one queue: once a later message has been answered, an earlier one has left it too, and what
// travels takes late_most at the longest. However slow the channel is on a day, the comparison holds.
bool Core::overdue(const Nonce& nonce, Ms now) const {
  auto passed = std::upper_bound(passed_.begin(), passed_.end(), nonce.order,
                                 [](std::uint64_t order, auto& p) { return order < p.first; });
  if (passed == passed_.end()) return now > nonce.sent + kSilentMost;
  return now > passed->second + configuration_.settings.max_update_delay.count() + kAckSlack;
}

void Core::upkeep(Ms now) {
  next_upkeep_ = now + kUpkeep;
  while (passed_.size() > 1 && passed_.front().second < now - kPassedKept) passed_.pop_front();
  const Settings& set = configuration_.settings;
  double checks =
      kCheckPart * set.channel_lines_per_second * kUpkeep / 1000 / (set.message_overhead_lines + 1);
  std::size_t unfinished = 0;
  for (auto next = connections_.begin(); next != connections_.end();) {
    auto c = next++;  // `c` may end here
    Connection& connection = c->second;
    if (connection.is == Connection::Is::opening && now >= connection.opened + kJoinWithin) {
      refuse(c, "nobody has joined in time");
      continue;
    }
    unfinished += connection.reader.unfinished();
    if (connection.reader.unfinished() > 0 &&
        (now >= connection.unfinished_since + kLineWithin || unfinished > kMostUnfinished)) {
      refuse(c, "a message does not end");
      continue;
    }
    if (checks > 0 && check_quiet(c->first, connection, now)) --checks;
    while (!connection.unacked.empty() && overdue(connection.unacked.front(), now)) {
      ++counters_.unacked_nonces;
      // The message is through: its lines must leave the module's account, or they would hold up everybody.
      if (connection.heard > connection.unacked.front().sent) {
        acknowledge(connection, 1, now);
        continue;
      }
      ++counters_.silent;
      effects_.push_back(CloseConnection{c->first, true});
      end(c, "silent");
      break;
    }
  }
}

// A stream that falls silent while nothing is written to it would stand for its proxy for good, and its
// demand with it. A nonce alone asks whether it lives. It is no message of the module's, which is told what
// it takes (rule 5).
bool Core::check_quiet(ConnectionId id, Connection& c, Ms now) {
  const Settings& set = configuration_.settings;
  if (c.is != Connection::Is::proxy || !c.unacked.empty() || now < c.heard + kQuiet) return false;
  if (set.max_messages_per_window > 0 &&
      2 * messages_within(c, now) >= static_cast<std::size_t>(set.max_messages_per_window))
    return false;
  ++counters_.checks;
  c.unacked.push_back({++last_nonce_, 0, ++last_order_, now, 0, set.message_overhead_lines + 1});
  c.messages.push_back(now);
  other_lines_ += set.message_overhead_lines + 1;
  pending_.push_back(SharedChannelUsage{other_lines_, {{c.joined.proxy, 1}}});
  send(id, push_lines({}, last_nonce_, configuration_.names));
  return true;
}

void Core::note_view(Ms now) {
  next_view_ = now + kViewEach;
  log::Fields seen;
  for (const ListedEndpoint& e : directory_.all()) {
    View& v = view_[e.id];
    double share = 0, answered = v.tries - v.failed;  // of the lines of all tables in use
    for (auto& [id, table] : tables_->tables()) {
      double all = 0;
      for (auto& [endpoint, weight] : table.weights) all += weight;
      if (auto line = table.weights.find(e.id); line != table.weights.end() && !table.proxies.empty())
        share += line->second / all;
    }
    seen.emplace_back(
        *directory_.uid(e.id),
        fmt::format("{} {}: {:.0f} tries, {:.0f} failed, {:.0f} ms; share {:.2f}; probe {}, busy {:.2f}",
                    configuration_.names.localities[raw(e.locality)],
                    e.state == EndpointState::available ? "open" : "closed", v.tries, v.failed,
                    answered > 0 ? v.latency / answered : 0, share, v.probe, v.busy));
    v.tries = v.failed = v.latency = 0;
  }
  log(log::Level::debug, "endpoints", std::move(seen));
}

void Core::turn(Ms now) {
  if (now >= next_upkeep_) upkeep(now);
  if (verbose_ && now >= next_view_) note_view(now);
  while (!timers_.empty() && timers_.begin()->first <= now) {
    pending_.push_back(TimerFired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  if (reopen_ && now >= watch_.retry_at()) open_watch();
  if (pending_.empty()) return;
  act(controller_->handle(at(now), std::exchange(pending_, {})), now);
}

Ms Core::next_due() const {
  if (!pending_.empty()) return 0;
  Ms due = next_upkeep_;
  if (!timers_.empty()) due = std::min(due, timers_.begin()->first);
  if (reopen_) due = std::min(due, watch_.retry_at());
  return due;
}

}  // namespace beamshunt::platform
