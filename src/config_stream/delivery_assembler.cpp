#include "config_stream/delivery_assembler.h"

#include <fmt/format.h>

#include <utility>

namespace beamshunt::config_stream {
namespace {

bool is_last(const Delivery& part) { return part.part + 1 >= part.parts; }

}  // namespace

DeliveryAssembler::DeliveryAssembler(std::string origin, Limits limits)
    : origin_(std::move(origin)), limits_(limits) {}

void DeliveryAssembler::start(Version held) { last_delivered_ = std::move(held); }

void DeliveryAssembler::stop() {
  arriving_.reset();
  last_delivered_.reset();
}

DeliveryResult DeliveryAssembler::add(const Delivery& part, Ms now) {
  if (part.origin != origin_) {
    arriving_.reset();
    if (!is_last(part)) return DeliveryIncomplete{};  // one answer a delivery, at its end
    return ForeignOrigin{};
  }
  if (part.part == 0) {
    if (std::optional<ResyncNeeded> misfit = begin(part, now)) return *misfit;
  } else if (!continues(part)) {
    // One answer a delivery: when it is interrupted, or else at its end.
    if (!arriving_ && !is_last(part)) return DeliveryIncomplete{};
    return need_resync(fmt::format("part {} of version {} is out of order", part.part, part.number));
  }
  arriving_->part = part.part;
  for (const Key& key : part.removed) arriving_->resources.erase(key);
  for (const auto& [key, body] : part.changed) {
    arriving_->bytes += key.type.size() + key.name.size() + body.size();
    arriving_->resources[key] = {part.number, body};
  }
  // Checked part by part: an endless delivery must not fill the memory before its last part comes.
  if (arriving_->bytes > limits_.max_bytes || arriving_->resources.size() > limits_.max_resources)
    return DeliveryTooLarge{
        fmt::format("over {} bytes or {} resources", limits_.max_bytes, limits_.max_resources)};
  if (!is_last(part)) return DeliveryIncomplete{};
  return finish(part);
}

std::optional<ResyncNeeded> DeliveryAssembler::begin(const Delivery& first, Ms now) {
  bool is_snapshot = first.base == 0;
  if (!is_snapshot && (!last_delivered_ || last_delivered_->number != first.base))
    return need_resync(fmt::format("a change of version {}, but {} was delivered last", first.base,
                                   last_delivered_ ? std::to_string(last_delivered_->number) : "nothing"));
  arriving_ = Arriving{.nonce = first.nonce,
                       .number = first.number,
                       .part = first.part,
                       .parts = first.parts,
                       .resources = is_snapshot ? Resources{} : last_delivered_->resources,
                       .bytes = 0,
                       .begun_at = now};
  return std::nullopt;
}

bool DeliveryAssembler::continues(const Delivery& part) const {
  return arriving_ && arriving_->nonce == part.nonce && arriving_->part + 1 == part.part &&
         arriving_->parts == part.parts && arriving_->number == part.number;
}

ResyncNeeded DeliveryAssembler::need_resync(std::string reason) {
  arriving_.reset();
  last_delivered_.reset();
  return {std::move(reason)};
}

DeliveryResult DeliveryAssembler::finish(const Delivery& last) {
  Version version{last.number, last.hash, std::move(arriving_->resources)};
  arriving_.reset();
  if (content_hash(version.resources) != version.hash)
    return need_resync("the content's hash differs from the one announced");
  last_delivered_ = version;
  return DeliveryComplete{std::move(version)};
}

std::optional<DeliveryAssembler::Progress> DeliveryAssembler::progress() const {
  if (!arriving_) return std::nullopt;
  return Progress{arriving_->number, arriving_->part + 1, arriving_->parts, arriving_->begun_at};
}

}  // namespace beamshunt::config_stream
