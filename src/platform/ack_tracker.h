// The nonces that proxies have not acknowledged: which are overdue, which acks are late, and what they hold
// of the channel, also across a handover from one controller to the next. It sends nothing and ends no
// session.
//
// All proxies' messages pass one channel in their order, at a pace that differs from day to day. A message is
// overdue by comparison with others alone: once a later one was acknowledged, whoever it was sent to, the
// earlier one has left the channel too, and travels max_update_delay at the longest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/time.h"
#include "platform/effects.h"
#include "policy/controller.h"

namespace beamshunt::platform {

class AckTracker {
 public:
  // What an ack on a stream was.
  enum class AckResult {
    acknowledged,
    late,    // of a nonce that was released before: the ack crossed that, and the stream is sound
    unknown  // of no nonce that was sent on this stream lately
  };

  explicit AckTracker(Outputs& outputs) : outputs_(outputs) {}

  // ---- Handover ----
  // From here on another controller's messages are sent. Nonces sent before are of former controllers: the
  // caller names each stream that goes on, and then tells the controller what they hold of the channel.
  void start_controller();
  void carry_over(ConnectionId connection);
  // Lines in the channel that the present controller did not send.
  [[nodiscard]] double other_lines() const { return other_lines_; }

  // ---- Sending ----
  // Unique among those in flight; one for all messages of a batch.
  [[nodiscard]] std::uint32_t next_nonce() { return ++last_nonce_; }
  // A message of the present controller was sent; `lines`: that it counts in the channel, overhead included.
  void add_update(ConnectionId connection, ProxyId proxy, std::uint32_t nonce, std::uint32_t sequence_number,
                  double lines, Ms now);
  // A nonce alone was sent, to learn whether the stream lives. The controller did not send it, so its lines
  // are told to it as another's.
  void add_liveness_check(ConnectionId connection, ProxyId proxy, std::uint32_t nonce, double lines, Ms now);

  // ---- Acknowledging ----
  // An ack covers all nonces of the stream up to its own. Each released one becomes an event for the
  // controller that sent it.
  AckResult acknowledge(ConnectionId connection, std::uint32_t nonce, Ms now);
  [[nodiscard]] bool has_unacknowledged(ConnectionId connection) const;
  // When the stream's oldest nonce was sent, if its ack is overdue; else nothing. `max_update_delay`: ms that
  // a message travels at the longest.
  [[nodiscard]] std::optional<Ms> overdue_since_sent(ConnectionId connection, Ms max_update_delay,
                                                     Ms now) const;
  // Releases the stream's oldest nonce as if it were acknowledged. Its lines leave the controller's account,
  // where they would hold up the updates of all proxies.
  void release_oldest(ConnectionId connection, Ms now);
  // The stream is over: nothing more will be acknowledged.
  void remove(ConnectionId connection);
  void forget_old_deliveries(Ms now);

 private:
  struct Nonce {
    std::uint32_t value = 0;            // on the wire
    std::uint32_t sequence_number = 0;  // of the controller, which counts anew after a handover
    std::uint64_t position = 0;         // among all messages of the channel
    Ms sent_at = 0;
    std::uint64_t controller = 0;  // that sent it; kNoController: a liveness check
    double lines = 0;              // that it counts in the channel
  };
  struct Stream {
    ProxyId proxy{};
    std::deque<Nonce> unacknowledged;    // in the order of sending
    std::deque<std::uint32_t> released;  // whose ack would be late
  };
  struct Delivery {
    std::uint64_t position = 0;
    Ms acknowledged_at = 0;
  };

  void add(ConnectionId connection, ProxyId proxy, const Nonce& nonce);
  void release(Stream& stream, std::size_t count, Ms now);
  [[nodiscard]] bool is_overdue(const Nonce& nonce, Ms max_update_delay, Ms now) const;

  Outputs& outputs_;
  std::map<ConnectionId, Stream> streams_;
  std::deque<Delivery> deliveries_;  // of growing position
  std::uint64_t last_position_ = 0;
  std::uint16_t last_nonce_ = 0;  // has as many bits as the controller's sequence numbers
  std::uint64_t controller_ = 0;
  double other_lines_ = 0;
};

}  // namespace beamshunt::platform
