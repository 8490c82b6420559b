#include "assigner/configuration_manager.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "assigner/fleet_constraints.h"
#include "assigner/streamed_configuration.h"

namespace beamshunt::assigner {
namespace {

using config_stream::Reason;
using Record = config_stream::HistoryRecord;
using config_stream::Version;

// ms between samples of the figures: a trial of some seconds must see a fault more than once.
constexpr Ms kSampleInterval = 250;
// ms between looks for room to take over: a wait that is short against the time that a service gives a
// version.
constexpr Ms kReadyInterval = 20;
// ms for which a checked version may wait for room. Then it is rejected, so that its service hears an answer.
constexpr Ms kReadyTimeout = 30000;
// Rejections stored in a second: a service that offers bad versions in a loop must not fill the disk.
constexpr std::size_t kMaxRejectionsPerSecond = 20;
constexpr Ms kSecond = 1000;
// Bytes that may wait on the stream besides one version.
constexpr std::size_t kUnsentReserve = 1048576;

const std::vector<Reason>& ended_on_trial() {
  static const std::vector<Reason> kReasons{
      {"watch", "", "the process ended while this version was on trial", ""}};
  return kReasons;
}

std::string hash_text(std::uint64_t hash) { return fmt::format("{:016x}", hash); }

// The versions on disk. A version that ended its process on trial is written down as reverted before anything
// else reads them: at the next start it must not be tried again.
std::unique_ptr<ConfigurationJournal> open_journal(net::Reactor& reactor, const StartupConfiguration& startup,
                                                   ConfigurationHost& host) {
  auto write_failed = [&host](const std::string& failure) {
    host.log(log::Level::error, "config_not_stored", {{"reason", failure}});
  };
  auto journal = std::make_unique<ConfigurationJournal>(
      reactor, configuration_folder(startup.settings.state_folder), write_failed);
  if (startup.abandoned)
    journal->append_now({.kind = Record::Kind::reverted,
                         .number = startup.abandoned->number,
                         .hash = startup.abandoned->hash,
                         .to_number = startup.version.number,
                         .to_hash = startup.version.hash,
                         .cause = "found at the start",
                         .reasons = ended_on_trial()});
  return journal;
}

config_stream::ClientOptions client_options(const AssignerSettings& settings) {
  const ControlSettings& control = *settings.control;
  return {.instance = settings.instance,
          .origin = control.origin,
          .services = control.services.size(),
          .heartbeat_interval = control.heartbeat,
          .failback_after = control.return_after,
          .delivery_timeout = control.deliver_within,
          .min_backoff = control.backoff_least,
          .max_backoff = control.backoff_most,
          .max_frame_bytes = control.most_frame,
          .max_version_bytes = control.most_bytes,
          .max_resources = control.most_resources,
          .seed = settings.policy.seed};
}

}  // namespace

ConfigurationManager::ConfigurationManager(net::Reactor& reactor, std::vector<config::Source> files,
                                           const StartupConfiguration& startup,
                                           ConfigurationValidator validator, ConfigurationHost& host)
    : reactor_(reactor),
      files_(std::move(files)),
      control_(*startup.settings.control),
      host_(host),
      journal_(open_journal(reactor, startup, host)),
      client_(client_options(startup.settings), startup.version, journal_->history().highest_number(),
              journal_->history().reverted_contents(), reactor.now()),
      trial_({control_.trial_duration, control_.max_service_drop, control_.min_trial_requests}),
      checker_(reactor, files_, std::move(validator)),
      connection_(reactor, {startup.settings.channel.ip, 0}, control_.most_bytes + kUnsentReserve,
                  {[this] {
                     client_.on_connected(reactor_.now());
                     schedule_run();
                   },
                   [this](std::string_view bytes) {
                     client_.on_bytes(bytes, reactor_.now());
                     schedule_run();
                   },
                   [this](const std::string& reason) {
                     client_.on_disconnected(reason, reactor_.now());
                     schedule_run();
                   }}) {
  log_startup(startup);
  start(startup);
  sample();
  schedule_run();
}

ConfigurationManager::~ConfigurationManager() {
  *alive_ = false;
  if (timer_) reactor_.cancel_timer(*timer_);
}

void ConfigurationManager::log_startup(const StartupConfiguration& startup) {
  if (startup.abandoned)
    host_.log(
        log::Level::error, "config_reverted",
        {{"version", std::to_string(startup.abandoned->number)}, {"reason", to_text(ended_on_trial())}});
  for (const std::string& note : startup.notes)
    host_.log(log::Level::error, "config_not_usable", {{"reason", note}});
}

void ConfigurationManager::start(const StartupConfiguration& startup) {
  const config_stream::VersionHistory& history = journal_->history();
  if (history.last_good()) last_good_ = *history.last_good();
  client_.set_pin(history.pinned(), reactor_.now());
  if (startup.version.number == 0) return;
  on_trial_ = history.on_trial();
  if (on_trial_) trial_.begin_without_baseline(reactor_.now());
  journal_->append_now(
      {.kind = Record::Kind::started, .number = startup.version.number, .hash = startup.version.hash});
}

void ConfigurationManager::schedule_run() {
  if (std::exchange(run_scheduled_, true)) return;
  reactor_.defer([this, alive = alive_] {
    if (*alive) run_once();
  });
}

void ConfigurationManager::run_once() {
  run_scheduled_ = false;
  client_.run_once(reactor_.now());
  for (auto effects = client_.take_effects(); !effects.empty(); effects = client_.take_effects())
    for (config_stream::Effect& effect : effects) std::visit([this](auto& one) { execute(one); }, effect);
  schedule_timer();
}

void ConfigurationManager::schedule_timer() {
  if (timer_) reactor_.cancel_timer(*timer_);
  timer_.reset();
  if (client_.next_deadline() >= base::kNever) return;
  timer_ = reactor_.call_at(client_.next_deadline(), [this, alive = alive_] {
    if (!*alive) return;
    timer_.reset();
    schedule_run();
  });
}

// ---- The stream ----

void ConfigurationManager::execute(config_stream::Connect& effect) {
  connection_.dial(control_.services[effect.service]);
}

void ConfigurationManager::execute(config_stream::SendBytes& effect) {
  connection_.send(std::move(effect.bytes));
}

void ConfigurationManager::execute(config_stream::CloseAfterSending&) { connection_.hang_up(); }

// ---- The check of a candidate ----

void ConfigurationManager::reject(std::uint64_t ticket, Reason reason) {
  client_.on_validated(ticket, {std::move(reason)}, reactor_.now());
  schedule_run();
}

void ConfigurationManager::execute(config_stream::Validate& effect) {
  std::vector<std::string> changed = changed_paths(client_.active().resources, effect.candidate.resources);
  std::uint64_t ticket = effect.ticket;
  bool queued =
      checker_.check({std::move(effect.candidate), host_.fleet(), host_.settings(), std::move(changed)},
                     [this, ticket](const CandidateResult& result) { on_checked(ticket, result); });
  if (!queued) reject(ticket, {"gate", "", "the gate is behind", ""});
}

void ConfigurationManager::on_checked(std::uint64_t ticket, const CandidateResult& result) {
  last_check_ms_ = result.duration;
  longest_check_ms_ = std::max(longest_check_ms_, last_check_ms_);
  if (result.reasons.empty())
    return accept_when_ready(ticket, {result.hash, result.settings}, reactor_.now() + kReadyTimeout);
  client_.on_validated(ticket, result.reasons, reactor_.now());
  schedule_run();
}

// A new controller must be able to take over every proxy at once: until it is, the version waits before it is
// acknowledged, and a later version may take its place.
void ConfigurationManager::accept_when_ready(std::uint64_t ticket, const CheckedVersion& checked,
                                             Ms deadline) {
  if (!pending_ && host_.may_apply(*checked.settings)) {
    // The fleet may have changed since the check: this much must hold at the instant itself, or a proxy would
    // take one locality or class for another.
    auto conflicts = fleet_conflicts(host_.settings(), *checked.settings, host_.fleet());
    if (conflicts.empty()) checked_ = checked;
    client_.on_validated(ticket, std::move(conflicts), reactor_.now());
    return schedule_run();
  }
  if (client_.supersede_by_queued(ticket, reactor_.now())) return schedule_run();
  if (reactor_.now() >= deadline)
    return reject(ticket, {"rule 5", "", "no room among the messages of some proxy to take it over", ""});
  reactor_.call_at(reactor_.now() + kReadyInterval, [this, alive = alive_, ticket, checked, deadline] {
    if (*alive) accept_when_ready(ticket, checked, deadline);
  });
}

// ---- The disk ----

void ConfigurationManager::execute(config_stream::Persist& effect) {
  journal_->append({.kind = Record::Kind::accepted,
                    .number = effect.candidate.number,
                    .hash = effect.candidate.hash,
                    .cause = "from the stream",
                    .content = effect.candidate.resources},
                   [this, ticket = effect.ticket](const std::string& failure) {
                     client_.on_persisted(ticket, failure, reactor_.now());
                     schedule_run();
                   });
}

void ConfigurationManager::execute(config_stream::Notify& effect) {
  bool rejected = effect.event == config_stream::ClientEvent::version_rejected;
  bool reverted = effect.event == config_stream::ClientEvent::version_reverted;
  host_.log(rejected || reverted ? log::Level::warning : log::Level::info,
            config_stream::event_name(effect.event),
            {{"version", std::to_string(effect.number)},
             {"hash", hash_text(effect.hash)},
             {"reason", effect.reasons.empty() ? effect.reason : to_text(effect.reasons)}});
  if (rejected) store_rejection(effect);
  if (reverted) store_reversion(effect);
  if (effect.event == config_stream::ClientEvent::version_accepted) on_trial_ = true;
}

void ConfigurationManager::store_rejection(const config_stream::Notify& effect) {
  if (reactor_.now() >= rejections_since_ + kSecond) {
    rejections_since_ = reactor_.now();
    rejections_stored_ = 0;
  }
  if (++rejections_stored_ > kMaxRejectionsPerSecond) return;
  journal_->append({.kind = Record::Kind::refused,
                    .number = effect.number,
                    .hash = effect.hash,
                    .reasons = effect.reasons},
                   {});
}

void ConfigurationManager::store_reversion(const config_stream::Notify& effect) {
  on_trial_ = false;
  journal_->append({.kind = Record::Kind::reverted,
                    .number = effect.number,
                    .hash = effect.hash,
                    .to_number = client_.active().number,
                    .to_hash = client_.active().hash,
                    .reasons = effect.reasons},
                   {});
}

// ---- Into force, and on trial ----

std::shared_ptr<const AssignerSettings> ConfigurationManager::compose_version(const Version& version,
                                                                              std::string& why) const {
  ComposedSettings composed = compose(files_, version.resources);
  if (composed.settings) return std::make_shared<const AssignerSettings>(std::move(*composed.settings));
  why = to_text(composed.reasons);
  return nullptr;
}

void ConfigurationManager::execute(config_stream::Apply& effect) {
  std::string why;
  bool is_checked = checked_ && checked_->hash == effect.version.hash;
  auto settings = is_checked ? checked_->settings : compose_version(effect.version, why);
  if (!settings) {
    // It ran before, on these files, and they can't have changed under a running process.
    host_.log(log::Level::error, "config_not_applied",
              {{"version", std::to_string(effect.version.number)}, {"reason", why}});
    return;
  }
  trial_.cancel();
  pending_ = PendingVersion{std::move(effect.version), std::move(settings)};
  apply_when_ready();
}

void ConfigurationManager::apply_when_ready() {
  if (!pending_) return;
  if (!host_.may_apply(*pending_->settings)) {
    reactor_.call_at(reactor_.now() + kReadyInterval, [this, alive = alive_] {
      if (*alive) apply_when_ready();
    });
    return;
  }
  PendingVersion ready = std::move(*std::exchange(pending_, std::nullopt));
  host_.apply(*ready.settings, ready.version);
  if (std::exchange(on_trial_, false) && control_.trial_duration > 0) trial_.begin(reactor_.now());
}

void ConfigurationManager::schedule_sample() {
  reactor_.call_at(reactor_.now() + kSampleInterval, [this, alive = alive_] {
    if (*alive) sample();
  });
}

void ConfigurationManager::sample() {
  schedule_sample();
  auto outcome = trial_.sample(host_.figures(), reactor_.now());
  if (!outcome) return;
  if (outcome->passed) return on_trial_passed();
  on_trial_failed(std::move(outcome->evidence));
}

void ConfigurationManager::on_trial_passed() {
  last_good_ = client_.active();
  host_.log(log::Level::info, "config_confirmed", {{"version", std::to_string(last_good_.number)}});
  journal_->append({.kind = Record::Kind::confirmed, .number = last_good_.number, .hash = last_good_.hash},
                   {});
}

void ConfigurationManager::on_trial_failed(std::vector<Reason> evidence) {
  std::string why;
  if (!compose_version(last_good_, why)) {
    // The files alone are not complete and no version ran before: a bad one is better than none.
    host_.log(log::Level::error, "config_not_reverted",
              {{"version", std::to_string(client_.active().number)},
               {"reason", to_text(evidence) + "; there is nothing to go back to: " + why}});
    return;
  }
  client_.revert_to(last_good_, std::move(evidence), reactor_.now());
  schedule_run();
}

// ---- Operators ----

void ConfigurationManager::roll_back(std::uint64_t number, const Done& done) {
  bool queued = journal_->find_version(number, [this, number, done](const std::optional<Version>& version) {
    on_rollback_found(number, version, done);
  });
  if (!queued) done("the disk is behind");
}

void ConfigurationManager::on_rollback_found(std::uint64_t number, const std::optional<Version>& version,
                                             const Done& done) {
  if (!version) return done(fmt::format("there is no version {} on disk", number));
  std::string why;
  auto settings = compose_version(*version, why);
  if (!settings) return done(fmt::format("version {} is not sound with these files: {}", number, why));
  auto conflicts = fleet_conflicts(host_.settings(), *settings, host_.fleet());
  if (!conflicts.empty()) return done(to_text(conflicts));
  Version before = client_.active();
  client_.roll_back_to(*version, reactor_.now());
  client_.set_pin(number, reactor_.now());
  on_trial_ = false;
  last_good_ = *version;
  schedule_run();
  std::vector<Record> records = config_stream::rollback_records(before, *version);
  for (Record& record : records) {
    record.cause = "by a person";
    bool is_last = record.kind == records.back().kind;
    journal_->append(record, is_last ? done : Done());
  }
}

void ConfigurationManager::pin(const Done& done) {
  const Version& version = client_.active();
  client_.set_pin(version.number, reactor_.now());
  schedule_run();
  journal_->append({.kind = Record::Kind::pinned, .number = version.number, .hash = version.hash}, done);
}

void ConfigurationManager::unpin(const Done& done) {
  client_.set_pin(std::nullopt, reactor_.now());
  schedule_run();
  const Version& version = client_.active();
  journal_->append({.kind = Record::Kind::unpinned, .number = version.number, .hash = version.hash}, done);
}

void ConfigurationManager::forgive(std::uint64_t number, const Done& done) {
  bool queued = journal_->find_reverted_hash(number, [this, number, done](std::optional<std::uint64_t> hash) {
    if (!hash) return done(fmt::format("version {} never went back", number));
    client_.allow_again(*hash);
    journal_->append({.kind = Record::Kind::forgiven, .number = number, .hash = *hash}, done);
  });
  if (!queued) done("the disk is behind");
}

std::string ConfigurationManager::status_json() const {
  const config_stream::ClientCounters& counters = client_.counters();
  nlohmann::json out{{"version", client_.active().number},
                     {"hash", hash_text(client_.active().hash)},
                     {"last_good", last_good_.number},
                     {"on_trial", trial_.is_running() || on_trial_},
                     {"newest", client_.highest_number()},
                     {"streaming", client_.streaming()},
                     {"origin", control_.origin},
                     {"offered", counters.offered},
                     {"acked", counters.acked},
                     {"nacked", counters.nacked},
                     {"superseded", counters.superseded},
                     {"resyncs", counters.resyncs},
                     {"reverted", counters.reverted},
                     {"last_check_ms", last_check_ms_},
                     {"longest_check_ms", longest_check_ms_}};
  if (client_.pinned()) out["pinned"] = *client_.pinned();
  return out.dump();
}

void ConfigurationManager::add_to(telemetry::AssignerMetrics& figures) const {
  const config_stream::ClientCounters& counters = client_.counters();
  figures.config_version = static_cast<double>(client_.active().number);
  figures.config_streaming = client_.streaming();
  figures.config_acked = counters.acked;
  figures.config_nacked = counters.nacked;
  figures.config_superseded = counters.superseded;
  figures.config_reverted = counters.reverted;
}

std::string ConfigurationManager::alerts() const {
  std::string out;
  for (const auto& [key, resource] : client_.active().resources)
    if (key.type == kAlertsType) out += "# " + key.name + "\n" + resource.body + "\n";
  return out;
}

}  // namespace beamshunt::assigner
