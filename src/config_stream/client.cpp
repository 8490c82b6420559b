#include "config_stream/client.h"

#include <fmt/format.h>

#include <algorithm>

namespace beamshunt::config_stream {
namespace {

using native_protocol::RefuseCode;

Reason make_reason(const char* rule, std::string path, std::string reason, std::string would_do = {}) {
  return {rule, std::move(path), std::move(reason), std::move(would_do)};
}

}  // namespace

const char* event_name(ClientEvent event) {
  switch (event) {
    case ClientEvent::stream_disconnected:
      return "config_stream_disconnected";
    case ClientEvent::version_rejected:
      return "config_rejected";
    case ClientEvent::version_accepted:
      return "config_accepted";
    case ClientEvent::version_reverted:
      return "config_reverted";
    case ClientEvent::version_rolled_back:
      return "config_rolled_back";
  }
  return "";
}

Client::Client(ClientOptions options, Version active, std::uint64_t highest_number,
               std::map<std::uint64_t, std::string> reverted_contents, Ms now)
    : options_(std::move(options)),
      schedule_(options_.services, options_.min_backoff, options_.max_backoff, options_.seed, now),
      assembler_(options_.origin, {options_.max_version_bytes, options_.max_resources}),
      now_(now),
      parser_(options_.max_frame_bytes),
      active_(std::move(active)),
      highest_number_(std::max(highest_number, active_.number)),
      reverted_contents_(std::move(reverted_contents)) {}

// ---- The stream ----

void Client::on_connected(Ms now) {
  now_ = now;
  last_received_ = now;
  connected_at_ = now;
  received_bytes_ = false;
  state_ = State::streaming;
  parser_ = FrameParser(options_.max_frame_bytes);
  ++counters_.streams;
  Subscribe subscription{.instance = options_.instance,
                         .origin = options_.origin,
                         .held_number = active_.number,
                         .held_hash = active_.hash};
  for (const auto& [key, resource] : active_.resources) subscription.held[key] = resource.version;
  assembler_.start(active_);
  send(subscription, now);
}

void Client::on_bytes(std::string_view bytes, Ms now) {
  if (state_ != State::streaming) return;
  now_ = now;
  last_received_ = now;
  received_bytes_ = true;
  parser_.push(bytes);
  try {
    while (std::optional<Frame> frame = parser_.next()) {
      handle(*frame, now);
      if (state_ != State::streaming) return;
    }
  } catch (const native_protocol::ProtocolError& error) {
    end_stream(error.code, fmt::format("at byte {}: {}", error.offset, error.what()), now);
  }
}

void Client::handle(const Frame& frame, Ms now) {
  if (const auto* part = std::get_if<Delivery>(&frame)) {
    handle_delivery(*part, now);
  } else if (const auto* ping = std::get_if<Ping>(&frame)) {
    send(Pong{ping->token}, now);
  } else if (const auto* refusal = std::get_if<Refuse>(&frame)) {
    effects_.emplace_back(CloseAfterSending{});
    stream_ended("refused by the service: " + refusal->reason, now, refusal->retry_after_ms);
  } else if (!std::holds_alternative<Pong>(frame)) {
    end_stream(RefuseCode::unexpected, "a frame that a service does not send", now);
  }
}

void Client::on_disconnected(const std::string& reason, Ms now) {
  if (state_ != State::backing_off) stream_ended(reason, now);
}

void Client::end_stream(RefuseCode code, const std::string& reason, Ms now) {
  send(Refuse{code, 0, reason}, now);
  effects_.emplace_back(CloseAfterSending{});
  stream_ended(reason, now);
}

void Client::stream_ended(const std::string& reason, Ms now, Ms retry_after) {
  effects_.emplace_back(Notify{ClientEvent::stream_disconnected, reason, active_.number, active_.hash, {}});
  state_ = State::backing_off;
  schedule_.on_disconnected(std::exchange(received_bytes_, false), retry_after, now);
  assembler_.stop();
  queued_.reset();
  active_nonce_ = 0;
  // What is on its way to disk ends there: its result is still wanted, but nobody waits for the answer. What
  // is only being validated is offered again by the next stream.
  if (in_progress_ && in_progress_->persisting) in_progress_->offer.nonce = 0;
  else in_progress_.reset();
}

void Client::send(const Frame& frame, Ms now) {
  last_sent_ = now;
  effects_.emplace_back(SendBytes{encode(frame)});
}

void Client::answer(std::uint64_t nonce, std::uint64_t number, Verdict verdict, std::vector<Reason> reasons) {
  switch (verdict) {
    case Verdict::ack:
      ++counters_.acked;
      break;
    case Verdict::nack:
      ++counters_.nacked;
      break;
    case Verdict::superseded:
      ++counters_.superseded;
      break;
    case Verdict::resync:
      ++counters_.resyncs;
      break;
    case Verdict::reverted:  // counted where it is reverted: the answer may have no stream to go to
      break;
  }
  if (nonce == 0 || state_ != State::streaming) return;
  send(Answer{nonce, number, verdict, active_.number, std::move(reasons)}, now_);
}

// ---- Deliveries ----

void Client::handle_delivery(const Delivery& part, Ms now) {
  if (part.part == 0 && part.origin == options_.origin) ++counters_.offered;
  DeliveryResult result = assembler_.add(part, now);
  if (auto* complete = std::get_if<DeliveryComplete>(&result)) {
    schedule_.on_delivery();
    consider({part.nonce, std::move(complete->version)});
  } else if (std::holds_alternative<ForeignOrigin>(result)) {
    ++counters_.offered;
    reject({part.nonce, {part.number, part.hash, {}}},
           {make_reason(
               "order", "origin",
               fmt::format(R"(versions of "{}" are asked for, not of "{}")", options_.origin, part.origin),
               "\"" + options_.origin + "\"")});
  } else if (auto* misfit = std::get_if<ResyncNeeded>(&result)) {
    answer(part.nonce, part.number, Verdict::resync, {make_reason("order", "", misfit->reason)});
  } else if (auto* large = std::get_if<DeliveryTooLarge>(&result)) {
    answer(part.nonce, part.number, Verdict::nack, {make_reason("bounds", "", large->reason)});
    end_stream(RefuseCode::full, "a version too large", now);
  }
}

// Why the version is nacked without a look at its content; nothing if it may be validated.
std::optional<Reason> Client::reason_against(const Version& version) const {
  if (pinned_ && version.hash != active_.hash)
    return make_reason("pinned", "", fmt::format("version {} is pinned by a person", *pinned_));
  auto reverted = reverted_contents_.find(version.hash);
  if (reverted != reverted_contents_.end())
    return make_reason("watch", "", "this content was in force once and had to go back: " + reverted->second);
  if (version.number < highest_number_)
    return make_reason(
        "order", "",
        fmt::format("version {} is older than {}, which was taken", version.number, highest_number_),
        fmt::format("a number over {}", highest_number_));
  if (version.number == highest_number_ && version.number == active_.number && version.hash != active_.hash)
    return make_reason(
        "order", "",
        fmt::format("version {} was taken with other content: two services disagree", version.number),
        fmt::format("a number over {}", highest_number_));
  return std::nullopt;
}

void Client::consider(Offer offer) {
  if (std::optional<Reason> reason = reason_against(offer.version)) return reject(offer, {*reason});
  bool is_active = offer.version.hash == active_.hash && offer.version.number == active_.number;
  if (is_active) {
    active_nonce_ = offer.nonce;
    return answer(offer.nonce, offer.version.number, Verdict::ack, {});
  }
  if (!in_progress_) return validate(std::move(offer));
  if (queued_) supersede(*queued_, offer.version.number);
  queued_ = std::move(offer);
}

void Client::validate(Offer offer) {
  in_progress_ = InProgress{++last_ticket_, std::move(offer)};
  effects_.emplace_back(Validate{last_ticket_, in_progress_->offer.version});
}

void Client::consider_queued() {
  if (!queued_ || in_progress_) return;
  Offer next = std::move(*std::exchange(queued_, std::nullopt));
  consider(std::move(next));
}

void Client::reject(const Offer& offer, std::vector<Reason> reasons) {
  effects_.emplace_back(
      Notify{ClientEvent::version_rejected, "", offer.version.number, offer.version.hash, reasons});
  answer(offer.nonce, offer.version.number, Verdict::nack, std::move(reasons));
}

void Client::supersede(const Offer& offer, std::uint64_t newer) {
  answer(offer.nonce, offer.version.number, Verdict::superseded,
         {make_reason("order", "", fmt::format("version {} came", newer))});
}

void Client::on_validated(std::uint64_t ticket, std::vector<Reason> reasons, Ms now) {
  now_ = now;
  bool is_awaited = in_progress_ && in_progress_->ticket == ticket && !in_progress_->persisting;
  if (!is_awaited) return;  // its stream has ended, or a person chose another version meanwhile
  if (reasons.empty()) {
    in_progress_->persisting = true;
    effects_.emplace_back(Persist{ticket, in_progress_->offer.version});
    return;
  }
  Offer offer = std::move(in_progress_->offer);
  in_progress_.reset();
  reject(offer, std::move(reasons));
  consider_queued();
}

bool Client::supersede_by_queued(std::uint64_t ticket, Ms now) {
  now_ = now;
  if (!in_progress_ || in_progress_->ticket != ticket) return true;  // dropped meanwhile
  if (in_progress_->persisting || !queued_) return false;
  Offer offer = std::move(in_progress_->offer);
  in_progress_.reset();
  supersede(offer, queued_->version.number);
  consider_queued();
  return true;
}

void Client::on_persisted(std::uint64_t ticket, const std::string& failure, Ms now) {
  now_ = now;
  bool is_awaited = in_progress_ && in_progress_->ticket == ticket && in_progress_->persisting;
  if (!is_awaited) return;
  Offer offer = std::move(in_progress_->offer);
  in_progress_.reset();
  if (failure.empty()) {
    active_ = std::move(offer.version);
    highest_number_ = std::max(highest_number_, active_.number);
    active_nonce_ = offer.nonce;
    answer(offer.nonce, active_.number, Verdict::ack, {});
    effects_.emplace_back(Notify{ClientEvent::version_accepted, "", active_.number, active_.hash, {}});
    effects_.emplace_back(Apply{active_});
  } else {
    reject(offer, {make_reason("disk", "", "it could not be kept, so it is not run: " + failure)});
  }
  consider_queued();
}

// ---- Back to another version ----

void Client::reject_pending(const std::string& why) {
  if (in_progress_) reject(in_progress_->offer, {make_reason("rollback", "", why)});
  if (queued_) reject(*queued_, {make_reason("rollback", "", why)});
  in_progress_.reset();
  queued_.reset();
}

void Client::revert_to(Version to, std::vector<Reason> evidence, Ms now) {
  now_ = now;
  ++counters_.reverted;
  std::uint64_t number = active_.number;
  std::uint64_t hash = active_.hash;
  reverted_contents_[hash] = evidence.empty() ? "" : to_string(evidence.front());
  // What is in progress was validated against the version that failed: it must be offered again.
  reject_pending(fmt::format("version {} has just gone back", number));
  active_ = std::move(to);
  effects_.emplace_back(Notify{ClientEvent::version_reverted, "", number, hash, evidence});
  answer(std::exchange(active_nonce_, 0), number, Verdict::reverted, std::move(evidence));
  effects_.emplace_back(Apply{active_});
}

void Client::roll_back_to(Version to, Ms now) {
  now_ = now;
  reject_pending(fmt::format("version {} was chosen by a person", to.number));
  active_ = std::move(to);
  active_nonce_ = 0;
  effects_.emplace_back(Notify{ClientEvent::version_rolled_back, "", active_.number, active_.hash, {}});
  effects_.emplace_back(Apply{active_});
}

void Client::set_pin(std::optional<std::uint64_t> number, Ms now) {
  now_ = now;
  pinned_ = number;
  // What was nacked for the pin alone is considered now: the service would not offer it again by itself.
  const std::optional<Version>& last = assembler_.last_delivered();
  if (!pinned_ && last && last->hash != active_.hash && !in_progress_) consider({0, *last});
}

// ---- Time ----

void Client::run_once(Ms now) {
  now_ = now;
  if (state_ == State::backing_off && now >= schedule_.attempt_at()) {
    state_ = State::connecting;
    effects_.emplace_back(Connect{schedule_.service()});
  }
  if (state_ != State::streaming) return;
  // A service whose machine is gone closes nothing: only its silence shows it.
  if (now >= last_received_ + native_protocol::kHeartbeatTimeoutPeriods * options_.heartbeat_interval)
    return end_stream(RefuseCode::silent, fmt::format("no byte for {:.0f} ms", now - last_received_), now);
  // A delivery that never ends would keep every later version out, while its heartbeats go on.
  std::optional<DeliveryAssembler::Progress> delivery = assembler_.progress();
  if (delivery && now >= delivery->begun_at + options_.delivery_timeout)
    return end_stream(RefuseCode::unexpected,
                      fmt::format("version {} does not end: {} of {} parts in {:.0f} ms", delivery->number,
                                  delivery->parts_received, delivery->parts, options_.delivery_timeout),
                      now);
  if (schedule_.service() != 0 && now >= connected_at_ + options_.failback_after)
    return end_stream(RefuseCode::stopping, "the first service is tried again", now);
  if (now >= last_sent_ + options_.heartbeat_interval) send(Ping{counters_.offered}, now);
}

Ms Client::next_deadline() const {
  if (state_ == State::connecting) return base::kNever;  // on_connected() or on_disconnected() comes
  if (state_ == State::backing_off) return schedule_.attempt_at();
  Ms silent_at = last_received_ + native_protocol::kHeartbeatTimeoutPeriods * options_.heartbeat_interval;
  Ms deadline = std::min(silent_at, last_sent_ + options_.heartbeat_interval);
  if (schedule_.service() != 0) deadline = std::min(deadline, connected_at_ + options_.failback_after);
  std::optional<DeliveryAssembler::Progress> delivery = assembler_.progress();
  return delivery ? std::min(deadline, delivery->begun_at + options_.delivery_timeout) : deadline;
}

}  // namespace beamshunt::config_stream
