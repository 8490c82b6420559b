// Identifiers, time types and enumerations used by the settings, events and actions of the decision module.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace beamshunt {

// A time span in milliseconds; fractions are allowed.
using Duration = std::chrono::duration<double, std::milli>;

// The monotonic clock of the host (the simulator or the machine). Its origin is arbitrary.
struct Clock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};
using Time = Clock::time_point;

enum class EndpointId : std::uint32_t {};
enum class ProxyId : std::uint32_t {};
// Identifies a weight table of one controller. In a sharded deployment it is the number of a shard.
enum class TableId : std::uint32_t {};
// Index into Settings::localities.
enum class Locality : std::uint32_t {};
// Index into Settings::classes.
enum class ClassId : std::uint32_t {};
// A set of request classes: bit k stands for ClassId k, and 0 stands for all classes.
using ClassMask = std::uint64_t;

// States whether a request may be executed more than once.
enum class Semantics {
  idempotent,           // safe to repeat at any endpoint
  idempotent_with_key,  // safe to repeat within the idempotency key's scope and window
  not_idempotent,       // must not be executed twice
};

// The endpoints that recognize the idempotency key of an earlier request.
enum class IdempotencyScope { everywhere, locality, cell };

// The unit of an admission limit: a share of the proxy's requests (0 to 1), requests per second at the proxy,
// or none where proxies do not enforce limits.
enum class AdmissionLimitKind { share, rate, none };

// The condition under which a proxy may retry a failed attempt, and the maximum number of retries.
enum class RetryMode {
  never = 0,
  if_not_processed = 1,  // only with proof that the first attempt was never processed
  once = 2,
  twice = 3,
};

enum class EndpointState { available, draining, removed };

enum class EndpointListKind {
  incremental,  // only the entries that changed
  complete,     // all endpoints: an endpoint that is not in the list counts as removed
  cached,       // a list stored by an earlier run, possibly out of date
  lost,         // no entries: the subscription ended or a fetch failed
};

// The result of one attempt or health check.
enum class AttemptOutcome {
  success,
  application_error,
  rejected,  // load shedding by the endpoint
  timed_out,
  connect_failed,
  connection_lost,
  cancelled,
  not_sent,
};

// The values of an endpoint's load report by name, such as "utilization" (0 to 1).
using LoadReport = std::map<std::string, double>;

}  // namespace beamshunt
