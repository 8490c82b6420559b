// Accounts for the update channel: which lines are queued or in flight, and which messages each proxy was
// sent.
//
// Questions: how full is the channel? How many messages did a proxy get lately?
// Inputs: lines and messages sent, acknowledgments, another controller's share of the channel.
// Rule: a message counts its lines and a fixed overhead until it is acknowledged, and an acknowledgment
// covers all messages before it. What a disconnected proxy did not acknowledge leaves at the channel's rate.
// Reason: rule 5 limits the queued lines and the messages to one proxy in a window.
// It never decides what is sent; update_scheduler does.
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

class ChannelBudget {
 public:
  explicit ChannelBudget(const Settings& settings);

  // Lines, at most: sent and not yet acknowledged, or still to go out to proxies that have left.
  [[nodiscard]] double queued_lines(Time now) const;

  // Messages to one of the proxies within the window, at most, one more included.
  [[nodiscard]] double most_messages(const std::set<ProxyId>& proxies, Time now);

  // Adds lines to the proxy's message of this reply; a message has a fixed overhead and an AckRequest
  // besides.
  void add(ProxyId proxy, double lines);

  // Ends the messages of this reply; the sequence number of their AckRequest, if there are any messages.
  std::optional<std::uint32_t> close(Time now);

  // The proxy has the message and all before it.
  void acknowledge(ProxyId proxy, std::uint32_t sequence_number);

  // Another controller's lines in the same channel, and its messages to the same proxies: rule 5 is kept
  // together.
  void apply(const SharedChannelUsage& usage, Time now);

  // The proxy's stream ended: nothing more is acknowledged, but what is queued takes its time to leave.
  void forget(ProxyId proxy, Time now);

 private:
  struct Message {
    std::uint32_t sequence_number = 0;
    double lines = 0;
  };
  struct Sent {
    std::deque<Message> unacknowledged;
    std::deque<Time> times;  // of messages within the window
  };
  [[nodiscard]] double abandoned_lines(Time now) const;

  double overhead_;          // lines a message
  double lines_per_second_;  // the channel's rate
  Duration window_;
  double unacknowledged_ = 0;  // lines of this controller
  double shared_ = 0;          // lines of another controller
  double abandoned_ = 0;       // lines to proxies that have left, as of abandoned_at_
  Time abandoned_at_{};
  std::uint16_t sequence_number_ = 0;  // the wire's sequence numbers have so many bits
  std::map<ProxyId, Sent> sent_;
  std::map<ProxyId, double> open_;  // lines of this reply
};

}  // namespace beamshunt
