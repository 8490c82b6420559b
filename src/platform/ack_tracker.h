// Tracks the nonces that proxies have not acknowledged: which of them are overdue, which acks arrive late,
// and how many lines of the update channel they occupy, across the handover from one controller to the next.
// The tracker sends nothing and ends no session.
//
// All messages to all proxies pass one channel in the order in which they were sent, at a rate that varies. A
// message therefore counts as overdue only by comparison: once a message that was sent later, to any proxy,
// is acknowledged, the earlier message has left the channel too, and it travels for max_update_delay at most.
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

// The nonces in flight on all streams of one assigner.
class AckTracker {
 public:
  // Classifies an ack by the nonce that it names.
  enum class AckResult {
    acknowledged,
    late,    // the nonce was released before its ack arrived; the stream is healthy
    unknown  // the nonce was not sent on this stream, or too long ago to be remembered
  };

  // `outputs` receives the events for the controller and must outlive the tracker.
  explicit AckTracker(Outputs& outputs) : outputs_(outputs) {}

  // ---- Handover ----
  // Attributes all further updates to a new controller; the nonces in flight belong to earlier controllers.
  // The caller then calls carry_over() for each stream that stays open, and reports external_lines() to the
  // new controller.
  void start_controller();
  // Adds the stream's unacknowledged lines to external_lines().
  void carry_over(ConnectionId connection);
  // Returns the number of lines in the channel that the present controller did not send.
  [[nodiscard]] double external_lines() const { return external_lines_; }

  // ---- Sending ----
  // Returns a nonce that is unique among those in flight. All messages of one batch share a nonce.
  [[nodiscard]] std::uint32_t next_nonce() { return ++last_nonce_; }
  // Records that an update of the present controller was sent at `now` (ms). `lines` is the number of lines
  // that the update counts for in the channel, including the overhead per message.
  void add_update(ConnectionId connection, ProxyId proxy, std::uint32_t nonce, std::uint32_t sequence_number,
                  double lines, Ms now);
  // Records that a nonce without updates was sent to check whether the proxy still responds. The controller
  // did not send this message, so an event reports its lines as usage by another sender.
  void add_liveness_check(ConnectionId connection, ProxyId proxy, std::uint32_t nonce, double lines, Ms now);

  // ---- Acknowledging ----
  // Releases the acknowledged nonce and all nonces that were sent before it on the stream. For each of them
  // an event reports the ack to the present controller, or the reduced channel usage if the present
  // controller did not send the message.
  AckResult acknowledge(ConnectionId connection, std::uint32_t nonce, Ms now);
  // Returns true if a nonce is in flight on the stream.
  [[nodiscard]] bool has_unacknowledged(ConnectionId connection) const;
  // Returns the time (ms) at which the stream's oldest nonce was sent if its ack is overdue at `now`, else
  // nothing. `max_update_delay` is the longest time in ms that a message travels.
  [[nodiscard]] std::optional<Ms> overdue_sent_at(ConnectionId connection, Ms max_update_delay, Ms now) const;
  // Releases the stream's oldest nonce as if the proxy had acknowledged it. Otherwise its lines would stay in
  // the controller's account of the channel and delay the updates of all proxies.
  void release_oldest(ConnectionId connection, Ms now);
  // Drops a stream that has ended: none of its nonces can be acknowledged any more.
  void remove(ConnectionId connection);
  // Drops deliveries that are too old to decide whether a nonce is overdue.
  void discard_old_deliveries(Ms now);

 private:
  struct Nonce {
    std::uint32_t value = 0;            // value on the wire
    std::uint32_t sequence_number = 0;  // the controller's number, which restarts after a handover
    std::uint64_t position = 0;         // position among all messages of the channel
    Ms sent_at = 0;
    std::uint64_t controller = 0;  // number of the sending controller; kNoController for a liveness check
    double lines = 0;              // lines that the message counts for in the channel
  };
  struct Stream {
    ProxyId proxy{};
    std::deque<Nonce> unacknowledged;    // nonces in flight, in sending order
    std::deque<std::uint32_t> released;  // released nonces, to recognize late acks
  };
  // An ack showed that the channel had delivered every message up to `position`.
  struct Delivery {
    std::uint64_t position = 0;
    Ms acknowledged_at = 0;
  };

  void add(ConnectionId connection, ProxyId proxy, const Nonce& nonce);
  void release(Stream& stream, std::size_t count, Ms now);
  [[nodiscard]] bool is_overdue(const Nonce& nonce, Ms max_update_delay, Ms now) const;

  Outputs& outputs_;
  std::map<ConnectionId, Stream> streams_;
  std::deque<Delivery> deliveries_;  // by increasing position
  std::uint64_t last_position_ = 0;
  std::uint16_t last_nonce_ = 0;  // has the width of the controller's sequence numbers
  std::uint64_t controller_ = 0;  // number of the present controller
  double external_lines_ = 0;
};

}  // namespace beamshunt::platform
