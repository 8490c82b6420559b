#include "assigner/config_feed.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace beamshunt::assigner {
namespace {

using config_stream::ClientEvent;
using config_stream::Reason;
using Record = config_stream::HistoryRecord;
using config_stream::Version;

constexpr std::size_t kMostQueued = 64 * 1048576;  // bytes of versions on their way to disk or gate
constexpr Ms kLookEvery = 250;                     // at figures, while a version is on trial and before
constexpr Ms kRoomEvery = 20;                      // looks for room to take over
constexpr Ms kRoomWithin = 30000;                  // or the version is refused
constexpr std::size_t kMostRefusals = 20;  // that are kept in a second: a storm must not fill the disk

std::int64_t wall() { return static_cast<std::int64_t>(base::wall_ms()); }
std::string lines(const std::vector<Reason>& reasons) {
  std::string out;
  for (const Reason& r : reasons) out += (out.empty() ? "" : "\n") + config_stream::to_string(r);
  return out;
}

// Paths that a candidate gives otherwise than what runs.
std::vector<std::string> changed_paths(const config_stream::Resources& now,
                                       const config_stream::Resources& next) {
  std::vector<std::string> out;
  for (auto& [key, resource] : next) {
    auto had = now.find(key);
    if (had != now.end() && had->second.body == resource.body) continue;
    if (key.type == kAlertsType) continue;
    try {
      for (auto& [path, at] : config::given_paths({key.type, resource.body})) out.push_back(path);
    } catch (const config::ConfigError&) {  // compose() has refused it
    }
  }
  for (auto& [key, resource] : now)
    if (!next.contains(key)) out.push_back(key.type + "/" + key.name);
  return out;
}

}  // namespace

std::string config_folder(const std::string& state_folder) { return state_folder + "/config"; }

Beginning begin(const std::vector<config::Source>& files) {
  Beginning out;
  std::optional<Site> alone;
  std::string fault;
  try {
    alone = load_site(files);
  } catch (const config::ConfigError& error) {
    fault = error.what();
  }
  // Files that are not whole by themselves may be so with a version; where the state is they must say.
  std::optional<std::string> state;
  if (alone && alone->control) state = alone->state_folder;
  if (!alone) state = config::given_text(files, "state");
  if (state) {
    std::unique_ptr<config_stream::Disk> disk = config_stream::open_folder(config_folder(*state));
    config_stream::VersionHistory history = config_stream::VersionStore::read_history(*disk);
    const auto [first, abandoned] = history.version_to_start();
    for (const Version* v : {first, history.last_good()}) {
      if (!v || (v != first && first && v->hash == first->hash)) continue;
      Composed c = compose(files, v->resources);
      if (c.site) {
        out.site = std::move(*c.site);
        out.version = *v;
        if (abandoned) out.abandoned = *abandoned;
        return out;
      }
      out.notes.push_back(fmt::format("version {} on disk: {}", v->number, lines(c.reasons)));
    }
  }
  if (!alone) {
    for (const std::string& note : out.notes) fault += "\n" + note;
    throw config::ConfigError(fault);
  }
  out.site = std::move(*alone);
  return out;
}

namespace {

// The versions on disk, with what the beginning has found out of them.
std::shared_ptr<config_stream::VersionStore> open_store(const Beginning& beginning,
                                                        const std::vector<Reason>& evidence) {
  auto store = std::make_shared<config_stream::VersionStore>(std::shared_ptr<config_stream::Disk>(
      config_stream::open_folder(config_folder(beginning.site.state_folder))));
  if (beginning.abandoned)
    store->add({.kind = Record::Kind::reverted,
                .wall_ms = wall(),
                .number = beginning.abandoned->number,
                .hash = beginning.abandoned->hash,
                .to_number = beginning.version.number,
                .to_hash = beginning.version.hash,
                .cause = "found at the start",
                .reasons = evidence});
  return store;
}

const std::vector<Reason> kEndedOnTrial{
    {"watch", "", "the process ended while this version was on trial", ""}};

}  // namespace

ConfigFeed::ConfigFeed(net::Reactor& reactor, std::vector<config::Source> files, const Beginning& beginning,
                       Gate gate, Host host)
    : reactor_(reactor),
      files_(std::move(files)),
      control_(*beginning.site.control),
      from_{beginning.site.channel.ip, 0},
      gate_(std::make_shared<const Gate>(std::move(gate))),
      host_(std::move(host)),
      store_(open_store(beginning, kEndedOnTrial)),
      client_({.instance = beginning.site.instance,
               .origin = control_.origin,
               .services = control_.services.size(),
               .heartbeat_interval = control_.heartbeat,
               .failback_after = control_.return_after,
               .delivery_timeout = control_.deliver_within,
               .min_backoff = control_.backoff_least,
               .max_backoff = control_.backoff_most,
               .max_frame_bytes = control_.most_frame,
               .max_version_bytes = control_.most_bytes,
               .max_resources = control_.most_resources,
               .seed = beginning.site.policy.seed},
              beginning.version, store_->history().highest_number(), store_->history().reverted_contents(),
              reactor.now()),
      served_(control_.least_requests),
      disk_(kMostQueued),
      judge_(kMostQueued) {
  if (beginning.abandoned)
    host_.say(log::Level::error, "config_reverted",
              {{"version", std::to_string(beginning.abandoned->number)}, {"reason", lines(kEndedOnTrial)}});
  for (const std::string& note : beginning.notes)
    host_.say(log::Level::error, "config_not_usable", {{"reason", note}});
  const config_stream::VersionHistory& history = store_->history();
  if (history.last_good()) last_good_ = *history.last_good();
  client_.set_pin(history.pinned(), reactor.now());
  if (beginning.version.number != 0) {
    if (history.on_trial())
      watch_.emplace(Watch::Limits{control_.watch, control_.service_drop, control_.least_requests},
                     std::nullopt, margins_, reactor.now());
    on_trial_ = history.on_trial();
    store_->add({.kind = Record::Kind::started,
                 .wall_ms = wall(),
                 .number = beginning.version.number,
                 .hash = beginning.version.hash});
  }
  look();
  soon();
}

ConfigFeed::~ConfigFeed() {
  *alive_ = false;
  if (timer_) reactor_.cancel(*timer_);
  if (stream_) stream_->close();
}

void ConfigFeed::soon() {
  if (std::exchange(turn_due_, true)) return;
  reactor_.defer([this, alive = alive_] {
    if (*alive) turn();
  });
}

void ConfigFeed::turn() {
  turn_due_ = false;
  client_.run_once(reactor_.now());
  for (auto effects = client_.take_effects(); !effects.empty(); effects = client_.take_effects())
    for (config_stream::Effect& e : effects) std::visit([this](auto& x) { carry_out(x); }, e);
  if (timer_) reactor_.cancel(*timer_);
  timer_.reset();
  if (client_.next_deadline() < base::kNever)
    timer_ = reactor_.at(client_.next_deadline(), [this, alive = alive_] {
      if (!*alive) return;
      timer_.reset();
      soon();
    });
}

// ---- The stream ----

void ConfigFeed::carry_out(config_stream::Connect& e) {
  std::uint64_t number = ++stream_number_;
  auto mine = [this, alive = alive_, number] { return *alive && number == stream_number_; };
  stream_ = net::Connection::dial(reactor_, control_.services[e.service], from_,
                                  {.most_unsent = control_.most_bytes + 1048576});
  stream_->start({[this, mine] {
                    if (!mine()) return;
                    client_.on_connected(reactor_.now());
                    soon();
                  },
                  [this, mine](std::string_view bytes) {
                    if (!mine()) return;
                    client_.on_bytes(bytes, reactor_.now());
                    soon();
                  },
                  {},
                  [this, mine](net::CloseReason reason) {
                    if (!mine()) return;
                    stream_.reset();
                    client_.on_disconnected(net::reason_name(reason), reactor_.now());
                    soon();
                  }});
}
void ConfigFeed::carry_out(config_stream::SendBytes& e) {
  if (stream_) stream_->send(std::move(e.bytes));
}
void ConfigFeed::carry_out(config_stream::CloseAfterSending&) {
  ++stream_number_;
  if (auto stream = std::exchange(stream_, nullptr)) stream->close_after_sending();
}

// ---- The gate ----

void ConfigFeed::carry_out(config_stream::Validate& e) {
  struct Job {
    Version candidate;
    std::vector<config::Source> files;
    Fleet fleet;
    Site now;
    std::vector<std::string> changed;
  };
  auto job = std::make_shared<Job>(Job{std::move(e.candidate), files_, host_.fleet(), host_.site(), {}});
  job->changed = changed_paths(client_.active().resources, job->candidate.resources);
  Ms begun = base::monotonic_ms();
  std::size_t size = 65536;
  for (auto& [key, resource] : job->candidate.resources) size += resource.body.size();
  bool taken = judge_.post(size, [this, alive = alive_, gate = gate_, job, ticket = e.ticket, begun] {
    std::vector<Reason> reasons;
    std::shared_ptr<const Site> site;
    try {
      Composed c = compose(job->files, job->candidate.resources);
      reasons = std::move(c.reasons);
      if (c.site) {
        site = std::make_shared<const Site>(std::move(*c.site));
        if (*gate) reasons = (*gate)({job->now, *site, job->fleet, job->candidate.resources, job->changed});
      }
    } catch (const std::exception& error) {  // a gate that fails lets nobody in
      reasons = {{"gate", "", error.what(), ""}};
    }
    reactor_.post(
        [this, alive, ticket, reasons = std::move(reasons), site, hash = job->candidate.hash, begun] {
          if (*alive) judged(ticket, reasons, site, hash, begun);
        });
  });
  if (!taken) {
    client_.on_validated(e.ticket, {{"gate", "", "the gate is behind", ""}}, reactor_.now());
    soon();
  }
}

void ConfigFeed::judged(std::uint64_t ticket, std::vector<Reason> reasons, std::shared_ptr<const Site> site,
                        std::uint64_t hash, Ms begun) {
  last_check_ms_ = base::monotonic_ms() - begun;
  longest_check_ms_ = std::max(longest_check_ms_, last_check_ms_);
  if (reasons.empty()) return let_through(ticket, std::move(site), hash, reactor_.now() + kRoomWithin);
  client_.on_validated(ticket, std::move(reasons), reactor_.now());
  soon();
}

// A fresh module must be able to bind every proxy at once: until it is, the version waits before it is acked.
void ConfigFeed::let_through(std::uint64_t ticket, std::shared_ptr<const Site> site, std::uint64_t hash,
                             Ms limit) {
  if (!to_apply_ && host_.may_apply(*site)) {
    // The fleet may have changed since the gate looked; this much must hold at the instant itself.
    auto reasons = unapplicable(host_.site(), *site, host_.fleet());
    if (reasons.empty()) passed_ = Passed{hash, std::move(site)};
    client_.on_validated(ticket, std::move(reasons), reactor_.now());
    return soon();
  }
  if (client_.supersede_by_queued(ticket, reactor_.now())) return soon();
  if (reactor_.now() >= limit) {
    client_.on_validated(ticket,
                         {{"rule 5", "", "no room among the messages of some proxy to take it over", ""}},
                         reactor_.now());
    return soon();
  }
  reactor_.at(reactor_.now() + kRoomEvery, [this, alive = alive_, ticket, site, hash, limit] {
    if (*alive) let_through(ticket, site, hash, limit);
  });
}

// ---- The disk ----

void ConfigFeed::keep_record(Record record, Done done) {
  record.wall_ms = wall();
  std::size_t size = 1024;
  if (record.content)
    for (auto& [key, resource] : *record.content) size += resource.body.size();
  bool taken = disk_.post(size, [this, alive = alive_, store = store_, record = std::move(record), done] {
    std::string failure;
    try {
      store->add(record);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    reactor_.post([this, alive, done, failure] {
      if (!*alive) return;
      if (!failure.empty()) host_.say(log::Level::error, "config_not_kept", {{"reason", failure}});
      if (done) done(failure);
    });
  });
  if (!taken && done) done("the disk is behind");
}

void ConfigFeed::carry_out(config_stream::Persist& e) {
  keep_record({.kind = Record::Kind::accepted,
               .number = e.candidate.number,
               .hash = e.candidate.hash,
               .cause = "from the stream",
               .content = e.candidate.resources},
              [this, ticket = e.ticket](const std::string& failure) {
                client_.on_persisted(ticket, failure, reactor_.now());
                soon();
              });
}

void ConfigFeed::carry_out(config_stream::Notify& e) {
  bool bad = e.event == ClientEvent::version_rejected || e.event == ClientEvent::version_reverted;
  host_.say(bad ? log::Level::warning : log::Level::info, config_stream::event_name(e.event),
            {{"version", std::to_string(e.number)},
             {"hash", fmt::format("{:016x}", e.hash)},
             {"reason", e.reasons.empty() ? e.reason : lines(e.reasons)}});
  if (e.event == ClientEvent::version_rejected) {
    if (reactor_.now() >= second_ + 1000) second_ = reactor_.now(), refusals_kept_ = 0;
    if (++refusals_kept_ <= kMostRefusals)
      keep_record({.kind = Record::Kind::refused, .number = e.number, .hash = e.hash, .reasons = e.reasons},
                  {});
  }
  if (e.event == ClientEvent::version_reverted) {
    on_trial_ = false;
    keep_record({.kind = Record::Kind::reverted,
                 .number = e.number,
                 .hash = e.hash,
                 .to_number = client_.active().number,
                 .to_hash = client_.active().hash,
                 .reasons = e.reasons},
                {});
  }
  if (e.event == ClientEvent::version_accepted) on_trial_ = true;
}

// ---- Into force ----

std::shared_ptr<const Site> ConfigFeed::site_of(const Version& version, std::string& why) const {
  Composed c = compose(files_, version.resources);
  if (c.site) return std::make_shared<const Site>(std::move(*c.site));
  why = lines(c.reasons);
  return nullptr;
}

void ConfigFeed::carry_out(config_stream::Apply& e) {
  std::string why;
  std::shared_ptr<const Site> site =
      passed_ && passed_->hash == e.version.hash ? passed_->site : site_of(e.version, why);
  if (!site)  // it ran before, on these files: they can't have changed under a running process
    return host_.say(log::Level::error, "config_not_applied",
                     {{"version", std::to_string(e.version.number)}, {"reason", why}});
  watch_.reset();
  to_apply_ = ToApply{std::move(e.version), std::move(site)};
  try_to_apply();
}

void ConfigFeed::try_to_apply() {
  if (!to_apply_) return;
  if (!host_.may_apply(*to_apply_->site)) {
    reactor_.at(reactor_.now() + kRoomEvery, [this, alive = alive_] {
      if (*alive) try_to_apply();
    });
    return;
  }
  ToApply now = std::move(*std::exchange(to_apply_, std::nullopt));
  host_.apply(*now.site, now.version);
  if (std::exchange(on_trial_, false) && control_.watch > 0)
    watch_.emplace(Watch::Limits{control_.watch, control_.service_drop, control_.least_requests},
                   served_.value(), margins_, reactor_.now());
}

void ConfigFeed::look() {
  reactor_.at(reactor_.now() + kLookEvery, [this, alive = alive_] {
    if (*alive) look();
  });
  telemetry::AssignerMetrics f = host_.figures();
  served_.note(f);
  if (!watch_) {
    margins_ = f.rule_usage;
    return;
  }
  switch (watch_->look(f, reactor_.now())) {
    case Watch::State::watching:
      return;
    case Watch::State::passed:
      watch_.reset();
      last_good_ = client_.active();
      host_.say(log::Level::info, "config_confirmed", {{"version", std::to_string(last_good_.number)}});
      return keep_record(
          {.kind = Record::Kind::confirmed, .number = last_good_.number, .hash = last_good_.hash}, {});
    case Watch::State::broken:
      break;
  }
  std::vector<Reason> evidence = watch_->evidence();
  watch_.reset();
  std::string why;
  if (!site_of(last_good_, why)) {  // the files alone are not whole, and there was no version before
    host_.say(log::Level::error, "config_stays",
              {{"version", std::to_string(client_.active().number)},
               {"reason", lines(evidence) + "; there is nothing to go back to: " + why}});
    return;
  }
  client_.revert_to(last_good_, std::move(evidence), reactor_.now());
  soon();
}

// ---- People ----

void ConfigFeed::roll_back(std::uint64_t number, Done done) {
  bool taken = disk_.post(1024, [this, alive = alive_, store = store_, number, done] {
    std::optional<Version> found;
    if (const Version* v = store->history().find_version(number)) found = *v;
    reactor_.post([this, alive, number, done, found = std::move(found)] {
      if (!*alive) return;
      if (!found) return done(fmt::format("there is no version {} on disk", number));
      std::string why;
      auto site = site_of(*found, why);
      if (!site) return done(fmt::format("version {} is not sound with these files: {}", number, why));
      auto reasons = unapplicable(host_.site(), *site, host_.fleet());
      if (!reasons.empty()) return done(lines(reasons));
      Version before = client_.active();
      client_.roll_back_to(*found, reactor_.now());
      client_.set_pin(number, reactor_.now());
      on_trial_ = false;
      last_good_ = *found;
      soon();
      std::vector<Record> records = config_stream::rollback_records(before, *found);
      for (Record& r : records) {
        r.cause = "by a person";
        keep_record(r, r.kind == records.back().kind ? done : Done());
      }
    });
  });
  if (!taken) done("the disk is behind");
}

void ConfigFeed::pin(Done done) {
  const Version& v = client_.active();
  client_.set_pin(v.number, reactor_.now());
  soon();
  keep_record({.kind = Record::Kind::pinned, .number = v.number, .hash = v.hash}, std::move(done));
}

void ConfigFeed::unpin(Done done) {
  client_.set_pin(std::nullopt, reactor_.now());
  soon();
  const Version& v = client_.active();
  keep_record({.kind = Record::Kind::unpinned, .number = v.number, .hash = v.hash}, std::move(done));
}

void ConfigFeed::forgive(std::uint64_t number, Done done) {
  bool taken = disk_.post(1024, [this, alive = alive_, store = store_, number, done] {
    std::optional<std::uint64_t> hash = store->history().reverted_hash(number);
    reactor_.post([this, alive, number, hash, done] {
      if (!*alive) return;
      if (!hash) return done(fmt::format("version {} never went back", number));
      client_.allow_again(*hash);
      keep_record({.kind = Record::Kind::forgiven, .number = number, .hash = *hash}, done);
    });
  });
  if (!taken) done("the disk is behind");
}

std::string ConfigFeed::status_json() const {
  const config_stream::ClientCounters& c = client_.counters();
  nlohmann::json out{{"version", client_.active().number},
                     {"hash", fmt::format("{:016x}", client_.active().hash)},
                     {"last_good", last_good_.number},
                     {"on_trial", watch_.has_value() || on_trial_},
                     {"newest", client_.highest_number()},
                     {"streaming", client_.streaming()},
                     {"origin", control_.origin},
                     {"offered", c.offered},
                     {"acked", c.acked},
                     {"nacked", c.nacked},
                     {"superseded", c.superseded},
                     {"resyncs", c.resyncs},
                     {"reverted", c.reverted},
                     {"last_check_ms", last_check_ms_},
                     {"longest_check_ms", longest_check_ms_}};
  if (client_.pinned()) out["pinned"] = *client_.pinned();
  return out.dump();
}

void ConfigFeed::fill(telemetry::AssignerMetrics& figures) const {
  const config_stream::ClientCounters& c = client_.counters();
  figures.config_version = static_cast<double>(client_.active().number);
  figures.config_streaming = client_.streaming();
  figures.config_acked = c.acked, figures.config_nacked = c.nacked;
  figures.config_superseded = c.superseded, figures.config_reverted = c.reverted;
}

std::string ConfigFeed::alerts() const {
  std::string out;
  for (auto& [key, resource] : client_.active().resources)
    if (key.type == kAlertsType) out += "# " + key.name + "\n" + resource.body + "\n";
  return out;
}

}  // namespace beamshunt::assigner
