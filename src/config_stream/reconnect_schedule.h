// Which configuration service to connect to next, and when. Pure: it opens no connection and reads no clock.
//
// The services are tried in their order, and from the first one again after a stream that had worked. Waits
// double from failure to failure and are spread at random, so that a fleet of assigners does not fall all at
// once on a service that has just come back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <pcg_random.hpp>

#include "base/time.h"

namespace beamshunt::config_stream {

using base::Ms;

class ReconnectSchedule {
 public:
  // `services`: how many there are, 0 for none. `min_backoff`, `max_backoff`: the wait after the first
  // failure and the longest one. `seed`: of the spread; assigners need different ones. The first attempt is
  // due at `now`.
  ReconnectSchedule(std::size_t services, Ms min_backoff, Ms max_backoff, std::uint64_t seed, Ms now);

  // A connection ended or was not made. `received_bytes`: whether its service had sent anything.
  // `retry_after`: the least wait, in ms, that the service has asked for; 0 if none.
  void on_disconnected(bool received_bytes, Ms retry_after, Ms now);
  // A service has delivered a whole version: the waits begin anew.
  void on_delivery() { failures_ = 0; }

  // The position of the service to try next, or of the one that is connected.
  [[nodiscard]] std::size_t service() const { return service_; }
  // When to try it; base::kNever if there is no service.
  [[nodiscard]] Ms attempt_at() const { return services_ > 0 ? attempt_at_ : base::kNever; }

 private:
  std::size_t services_;
  Ms min_backoff_;
  Ms max_backoff_;
  pcg32 random_;
  std::size_t service_ = 0;
  int failures_ = 0;  // since the last delivery
  Ms attempt_at_;
};

}  // namespace beamshunt::config_stream
