// Puts the parts of deliveries together to whole versions, and checks that they fit: order, base, size and
// content hash. Pure: it answers nothing; the client does (client.h).
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "base/time.h"
#include "config_stream/wire.h"

namespace beamshunt::config_stream {

using base::Ms;

// ---- What a part comes to ----

// More parts have to come, or this one is of a delivery that has been answered already.
struct DeliveryIncomplete {};
// The last part of a version that fits.
struct DeliveryComplete {
  Version version;
};
// The last part of a version of another origin.
struct ForeignOrigin {};
// It doesn't fit what was delivered before: only a snapshot can follow. `reason`: why, for the service.
struct ResyncNeeded {
  std::string reason;
};
// More bytes or resources than a version may have. `reason`: the limits, for the service.
struct DeliveryTooLarge {
  std::string reason;
};
using DeliveryResult =
    std::variant<DeliveryIncomplete, DeliveryComplete, ForeignOrigin, ResyncNeeded, DeliveryTooLarge>;

class DeliveryAssembler {
 public:
  struct Limits {
    std::size_t max_bytes = 0;  // of types, names and bodies in one delivery
    std::size_t max_resources = 0;
  };
  // A version of which some parts have come.
  struct Progress {
    std::uint64_t number = 0;
    std::uint32_t parts_received = 0;
    std::uint32_t parts = 0;
    Ms begun_at = 0;  // when the first part came
  };

  // `origin`: the one whose versions are wanted.
  DeliveryAssembler(std::string origin, Limits limits);

  // A stream has begun. Deltas build on `held`, which the subscription names.
  void start(Version held);
  // The stream is over: half a version is worth nothing, and the next stream begins with start().
  void stop();

  DeliveryResult add(const Delivery& part, Ms now);

  // The last whole version of this stream, whether or not it was accepted: what a delta builds on.
  [[nodiscard]] const std::optional<Version>& last_delivered() const { return last_delivered_; }
  [[nodiscard]] std::optional<Progress> progress() const;

 private:
  struct Arriving {
    std::uint64_t nonce = 0;
    std::uint64_t number = 0;
    std::uint32_t part = 0;  // the last one that came
    std::uint32_t parts = 0;
    Resources resources;    // of the version, as far as it is known
    std::size_t bytes = 0;  // that the parts have brought
    Ms begun_at = 0;
  };

  std::optional<ResyncNeeded> begin(const Delivery& first, Ms now);
  [[nodiscard]] bool continues(const Delivery& part) const;
  ResyncNeeded need_resync(std::string reason);
  DeliveryResult finish(const Delivery& last);

  std::string origin_;
  Limits limits_;
  std::optional<Version> last_delivered_;
  std::optional<Arriving> arriving_;
};

}  // namespace beamshunt::config_stream
