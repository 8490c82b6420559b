#include "config_stream/reconnect_schedule.h"

#include <algorithm>

namespace beamshunt::config_stream {
namespace {

constexpr int kMaxDoublings = 10;            // any longer wait is at max_backoff; the shift must not overflow
constexpr double kMinPart = 0.5;             // of a wait, so that jitter never removes the backoff
constexpr double kRandomRange = 8589934592;  // 2^33: a 32-bit draw divided by it lies below 0.5

}  // namespace

ReconnectSchedule::ReconnectSchedule(std::size_t services, Ms min_backoff, Ms max_backoff, std::uint64_t seed,
                                     Ms now)
    : services_(services),
      min_backoff_(min_backoff),
      max_backoff_(max_backoff),
      random_(seed),
      attempt_at_(now) {}

void ReconnectSchedule::on_disconnected(bool received_bytes, Ms retry_after, Ms now) {
  service_ = received_bytes ? 0 : (service_ + 1) % std::max<std::size_t>(1, services_);
  double doubled = min_backoff_ * (1 << std::min(failures_, kMaxDoublings));
  ++failures_;
  double wait = std::min(doubled, max_backoff_);
  attempt_at_ = now + std::max(retry_after, wait * (kMinPart + random_() / kRandomRange));
}

}  // namespace beamshunt::config_stream
