#include "configstream/client.h"

#include <fmt/format.h>

#include <algorithm>

namespace beamshunt::configstream {
namespace {

using channel::RefuseCode;

constexpr int kMostDoublings = 10;
Reason because(const char* rule, std::string path, std::string reason, std::string would_do = {}) {
  return {rule, std::move(path), std::move(reason), std::move(would_do)};
}

}  // namespace

Client::Client(ClientOptions options, Version in_force, std::uint64_t newest,
               std::map<std::uint64_t, std::string> broken, Ms now)
    : o_(std::move(options)),
      random_(o_.seed),
      dial_at_(now),
      now_(now),
      parser_(o_.most_frame),
      in_force_(std::move(in_force)),
      newest_(std::max(newest, in_force_.number)),
      broken_(std::move(broken)) {}

// ---- The stream ----

void Client::connected(Ms now) {
  now_ = heard_ = opened_ = now;
  lived_ = false;
  state_ = State::streaming;
  parser_ = FrameParser(o_.most_frame);
  ++counters_.streams;
  Subscribe hello{.instance = o_.instance,
                  .origin = o_.origin,
                  .held_number = in_force_.number,
                  .held_hash = in_force_.hash};
  for (auto& [key, resource] : in_force_.resources) hello.held[key] = resource.version;
  delivered_ = in_force_;
  send(hello, now);
}

void Client::bytes(std::string_view text, Ms now) {
  if (state_ != State::streaming) return;
  now_ = heard_ = now;
  lived_ = true;
  parser_.push(text);
  try {
    while (std::optional<Frame> frame = parser_.next()) {
      if (auto* part = std::get_if<Delivery>(&*frame)) take(*part, now);
      else if (auto* ping = std::get_if<Ping>(&*frame)) send(Pong{ping->token}, now);
      else if (auto* no = std::get_if<Refuse>(&*frame)) {
        effects_.push_back(HangUp{});
        down("refused by the service: " + no->reason, now, no->retry_after_ms);
      } else if (!std::get_if<Pong>(&*frame)) {
        hang_up(RefuseCode::unexpected, "a frame that a service does not send", now);
      }
      if (state_ != State::streaming) return;
    }
  } catch (const channel::ProtocolError& fault) {
    hang_up(fault.code, fmt::format("at byte {}: {}", fault.offset, fault.what()), now);
  }
}

void Client::closed(const std::string& reason, Ms now) {
  if (state_ != State::waiting) down(reason, now);
}

void Client::hang_up(RefuseCode code, const std::string& reason, Ms now) {
  send(Refuse{code, 0, reason}, now);
  effects_.push_back(HangUp{});
  down(reason, now);
}

// The stream is over. The services are tried in their order, from the first one on where a stream had lived,
// after waits that grow, with jitter, so that a fleet of assigners does not fall on one that has just come
// back.
void Client::down(const std::string& reason, Ms now, Ms retry_after) {
  effects_.push_back(Told{"config_stream_lost", reason, in_force_.number, in_force_.hash, {}});
  state_ = State::waiting;
  endpoint_ = std::exchange(lived_, false) ? 0 : (endpoint_ + 1) % std::max<std::size_t>(1, o_.endpoints);
  double least = o_.backoff_least * (1 << std::min(failures_++, kMostDoublings));
  double wait = std::min(least, o_.backoff_most);
  dial_at_ = now + std::max(retry_after, wait * (0.5 + random_() / 8589934592.0));  // half to the whole of it
  arriving_.reset(), delivered_.reset(), waiting_.reset();
  force_nonce_ = 0;
  // What is on its way to disk must end there or nowhere; what is only looked at will be offered again.
  if (under_way_ && under_way_->keeping) under_way_->offer.nonce = 0;
  else under_way_.reset();
}

void Client::send(const Frame& frame, Ms now) {
  sent_ = now;
  effects_.push_back(Send{encode(frame)});
}

void Client::answer(std::uint64_t nonce, std::uint64_t number, Verdict verdict, std::vector<Reason> reasons) {
  counters_.acked += verdict == Verdict::ack, counters_.nacked += verdict == Verdict::nack;
  counters_.superseded += verdict == Verdict::superseded, counters_.resyncs += verdict == Verdict::resync;
  if (nonce == 0 || state_ != State::streaming) return;
  send(Answer{nonce, number, verdict, in_force_.number, std::move(reasons)}, now_);
}

// ---- Deliveries ----

void Client::take(const Delivery& part, Ms now) {
  auto unfit = [&](const std::string& why) {  // a snapshot has to follow
    arriving_.reset(), delivered_.reset();
    answer(part.nonce, part.number, Verdict::resync, {because("order", "", why)});
  };
  if (part.origin != o_.origin) {
    arriving_.reset();
    if (part.part + 1 < part.parts) return;
    ++counters_.offered;
    return refuse_offer(
        {part.nonce, {part.number, part.hash, {}}},
        {because("order", "origin",
                 fmt::format("versions of \"{}\" are asked for, not of \"{}\"", o_.origin, part.origin),
                 "\"" + o_.origin + "\"")});
  }
  if (part.part == 0) {
    ++counters_.offered;
    if (part.base != 0 && (!delivered_ || delivered_->number != part.base))
      return unfit(fmt::format("a change of version {}, but {} was delivered last", part.base,
                               delivered_ ? std::to_string(delivered_->number) : "nothing"));
    arriving_ = Arriving{part, part.base == 0 ? Resources{} : delivered_->resources, 0, now};
  } else if (!arriving_ || arriving_->head.nonce != part.nonce || arriving_->head.part + 1 != part.part ||
             arriving_->head.parts != part.parts || arriving_->head.number != part.number) {
    bool whole = part.part + 1 == part.parts;  // one answer a delivery, at its end
    if (whole || arriving_)
      unfit(fmt::format("part {} of version {} is out of order", part.part, part.number));
    return;
  }
  Arriving& a = *arriving_;
  a.head.part = part.part;
  for (const Key& key : part.removed) a.resources.erase(key);
  for (auto& [key, body] : part.changed) {
    a.bytes += key.type.size() + key.name.size() + body.size();
    a.resources[key] = {part.number, body};
  }
  if (a.bytes > o_.most_bytes || a.resources.size() > o_.most_resources) {
    answer(part.nonce, part.number, Verdict::nack,
           {because("bounds", "",
                    fmt::format("over {} bytes or {} resources", o_.most_bytes, o_.most_resources))});
    return hang_up(RefuseCode::full, "a version too large", now);
  }
  if (part.part + 1 < part.parts) return;
  Version v{part.number, part.hash, std::move(a.resources)};
  arriving_.reset();
  if (content_hash(v.resources) != v.hash) return unfit("the content's hash differs from the one announced");
  delivered_ = v;
  failures_ = 0;
  offered({part.nonce, std::move(v)}, now);
}

std::optional<Reason> Client::out_of_place(const Version& v) const {
  if (pinned_ && v.hash != in_force_.hash)
    return because("pinned", "", fmt::format("version {} is pinned by a person", *pinned_));
  if (auto broken = broken_.find(v.hash); broken != broken_.end())
    return because("watch", "", "this content was in force once and had to go back: " + broken->second);
  if (v.number < newest_)
    return because("order", "",
                   fmt::format("version {} is older than {}, which was taken", v.number, newest_),
                   fmt::format("a number over {}", newest_));
  if (v.number == newest_ && v.number == in_force_.number && v.hash != in_force_.hash)
    return because("order", "",
                   fmt::format("version {} was taken with other content: two services disagree", v.number),
                   fmt::format("a number over {}", newest_));
  return std::nullopt;
}

void Client::offered(Offer offer, Ms) {
  if (auto reason = out_of_place(offer.version)) return refuse_offer(offer, {*reason});
  if (offer.version.hash == in_force_.hash && offer.version.number == in_force_.number) {
    force_nonce_ = offer.nonce;
    return answer(offer.nonce, offer.version.number, Verdict::ack, {});
  }
  if (!under_way_) return examine(std::move(offer));
  if (waiting_)
    answer(waiting_->nonce, waiting_->version.number, Verdict::superseded,
           {because("order", "", fmt::format("version {} came", offer.version.number))});
  waiting_ = std::move(offer);
}

void Client::examine(Offer offer) {
  under_way_ = UnderWay{++last_ticket_, std::move(offer)};
  effects_.push_back(Check{last_ticket_, under_way_->offer.version});
}

void Client::examine_waiting() {
  if (!waiting_ || under_way_) return;
  Offer next = std::move(*std::exchange(waiting_, std::nullopt));
  offered(std::move(next), now_);
}

void Client::refuse_offer(const Offer& offer, std::vector<Reason> reasons) {
  effects_.push_back(Told{"config_refused", "", offer.version.number, offer.version.hash, reasons});
  answer(offer.nonce, offer.version.number, Verdict::nack, std::move(reasons));
}

void Client::checked(std::uint64_t ticket, std::vector<Reason> reasons, Ms now) {
  now_ = now;
  if (!under_way_ || under_way_->ticket != ticket || under_way_->keeping) return;  // dropped meanwhile
  if (reasons.empty()) {
    under_way_->keeping = true;
    effects_.push_back(Keep{ticket, under_way_->offer.version});
    return;
  }
  Offer offer = std::move(under_way_->offer);
  under_way_.reset();
  refuse_offer(offer, std::move(reasons));
  examine_waiting();
}

bool Client::give_way(std::uint64_t ticket, Ms now) {
  now_ = now;
  if (!under_way_ || under_way_->ticket != ticket) return true;  // dropped meanwhile
  if (under_way_->keeping || !waiting_) return false;
  Offer offer = std::move(under_way_->offer);
  under_way_.reset();
  answer(offer.nonce, offer.version.number, Verdict::superseded,
         {because("order", "", fmt::format("version {} came", waiting_->version.number))});
  examine_waiting();
  return true;
}

void Client::kept(std::uint64_t ticket, const std::string& failure, Ms now) {
  now_ = now;
  if (!under_way_ || under_way_->ticket != ticket || !under_way_->keeping) return;
  Offer offer = std::move(under_way_->offer);
  under_way_.reset();
  if (!failure.empty()) {
    refuse_offer(offer, {because("disk", "", "it could not be kept, so it is not run: " + failure)});
  } else {
    in_force_ = std::move(offer.version);
    newest_ = std::max(newest_, in_force_.number);
    force_nonce_ = offer.nonce;
    answer(offer.nonce, in_force_.number, Verdict::ack, {});
    effects_.push_back(Told{"config_taken", "", in_force_.number, in_force_.hash, {}});
    effects_.push_back(Apply{in_force_});
  }
  examine_waiting();
}

// ---- Going back ----

void Client::drop_under_way(const std::string& why) {
  for (auto* offer : {under_way_ ? &under_way_->offer : nullptr, waiting_ ? &*waiting_ : nullptr})
    if (offer) refuse_offer(*offer, {because("rollback", "", why)});
  under_way_.reset(), waiting_.reset();
}

void Client::went_back(Version to, std::vector<Reason> evidence, Ms now) {
  now_ = now;
  ++counters_.reverted;
  std::uint64_t number = in_force_.number, hash = in_force_.hash;
  broken_[hash] = evidence.empty() ? "" : to_string(evidence.front());
  // What was examined beside the version that failed was examined against it: it must be offered again.
  drop_under_way(fmt::format("version {} has just gone back", number));
  in_force_ = std::move(to);
  effects_.push_back(Told{"config_reverted", "", number, hash, evidence});
  answer(std::exchange(force_nonce_, 0), number, Verdict::reverted, std::move(evidence));
  effects_.push_back(Apply{in_force_});
}

void Client::rolled_back(Version to, Ms now) {
  now_ = now;
  drop_under_way(fmt::format("version {} was chosen by a person", to.number));
  in_force_ = std::move(to);
  force_nonce_ = 0;
  effects_.push_back(Told{"config_rolled_back", "", in_force_.number, in_force_.hash, {}});
  effects_.push_back(Apply{in_force_});
}

void Client::pin(std::optional<std::uint64_t> number, Ms now) {
  now_ = now;
  pinned_ = number;
  // What was refused for the pin alone is looked at now: the service would not offer it again by itself.
  if (!pinned_ && delivered_ && delivered_->hash != in_force_.hash && !under_way_)
    offered({0, *delivered_}, now);
}

// ---- Time ----

void Client::turn(Ms now) {
  now_ = now;
  if (state_ == State::waiting && now >= dial_at_ && o_.endpoints > 0) {
    state_ = State::dialling;
    effects_.push_back(Dial{endpoint_});
  }
  if (state_ != State::streaming) return;
  if (now >= heard_ + channel::kHeartbeatsUntilDead * o_.heartbeat)
    return hang_up(RefuseCode::silent, fmt::format("no byte for {:.0f} ms", now - heard_), now);
  if (arriving_ && now >= arriving_->begun + o_.deliver_within)
    return hang_up(RefuseCode::unexpected,
                   fmt::format("version {} does not end: {} of {} parts in {:.0f} ms", arriving_->head.number,
                               arriving_->head.part + 1, arriving_->head.parts, o_.deliver_within),
                   now);
  if (endpoint_ != 0 && now >= opened_ + o_.return_after)
    return hang_up(RefuseCode::stopping, "the first service is tried again", now);
  if (now >= sent_ + o_.heartbeat) send(Ping{counters_.offered}, now);
}

Ms Client::next_due() const {
  if (state_ == State::dialling) return 1e300;  // closed() or connected() comes
  if (state_ == State::waiting) return o_.endpoints > 0 ? dial_at_ : 1e300;
  Ms due = std::min(heard_ + channel::kHeartbeatsUntilDead * o_.heartbeat, sent_ + o_.heartbeat);
  if (endpoint_ != 0) due = std::min(due, opened_ + o_.return_after);
  return arriving_ ? std::min(due, arriving_->begun + o_.deliver_within) : due;
}

}  // namespace beamshunt::configstream
