// Accounting for the update channel: the lines that are queued or in flight, and the messages sent to each
// proxy.
//
// Questions: How full is the update channel? How many messages did a proxy receive recently?
// Inputs: lines and messages sent, acknowledgements, and the usage of another controller on the channel.
// Rules: A message counts with its lines and a fixed overhead until it is acknowledged. An acknowledgement
// covers all earlier messages to the proxy too. Unacknowledged lines to a disconnected proxy drain at the
// rate of the channel.
// Reason: Rule 5 limits the queued lines, and the messages to one proxy within a time window.
// Never: The budget never decides which updates are sent; update_scheduler decides that.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "policy/events.h"
#include "policy/settings.h"

namespace beamshunt {

// Tracks the usage of the update channel. One line is one entry of a message.
class ChannelBudget {
 public:
  explicit ChannelBudget(const Settings& settings);

  // Returns an upper bound on the lines in the channel: sent but not yet acknowledged, or queued for
  // disconnected proxies and not yet drained.
  [[nodiscard]] double queued_lines(Time now) const;

  // Returns the maximum over `proxies` of the messages sent to one proxy within the message window, plus one
  // for the next message.
  [[nodiscard]] double max_messages_in_window(const std::set<ProxyId>& proxies, Time now);

  // Adds lines to the proxy's message of the current batch. The first lines also add the fixed overhead of a
  // message and its AckRequest.
  void add_lines(ProxyId proxy, double lines);

  // Ends the messages of the current batch. Returns the sequence number of their AckRequest, or nothing if
  // the batch has no messages.
  std::optional<std::uint32_t> finish_messages(Time now);

  // Records that the proxy received the message with this sequence number and all earlier messages. Unknown
  // proxies and sequence numbers have no effect.
  void acknowledge(ProxyId proxy, std::uint32_t sequence_number);

  // Records the lines of another controller in this channel and its messages to the same proxies. Rule 5
  // applies to the sum over both controllers.
  void apply(const SharedChannelUsage& usage, Time now);

  // Records that the proxy's stream ended. Its queued lines will not be acknowledged any more; they leave the
  // channel at the channel's rate.
  void remove_proxy(ProxyId proxy, Time now);

 private:
  struct Message {
    std::uint32_t sequence_number = 0;
    double lines = 0;
  };
  struct SentMessages {
    std::deque<Message> unacknowledged;
    std::deque<Time> send_times;  // send times of the messages within the window
  };
  [[nodiscard]] double disconnected_lines(Time now) const;

  double message_overhead_lines_;  // lines for each message, including its AckRequest
  double lines_per_second_;        // the channel's rate
  Duration window_;
  double unacknowledged_lines_ = 0;    // lines sent by this controller
  double other_controller_lines_ = 0;  // lines sent by another controller
  double disconnected_lines_ = 0;      // lines to disconnected proxies at disconnected_lines_at_
  Time disconnected_lines_at_{};
  std::uint16_t sequence_number_ = 0;  // sequence numbers have 16 bits on the wire
  std::map<ProxyId, SentMessages> sent_;
  std::map<ProxyId, double> pending_lines_;  // lines added in the current batch
};

}  // namespace beamshunt
