#include "policy/channel_budget.h"

#include <algorithm>

namespace beamshunt {
namespace {

// Lines for the AckRequest at the end of a message.
constexpr double kAckRequestLines = 1;

}  // namespace

ChannelBudget::ChannelBudget(const Settings& settings)
    : message_overhead_lines_(settings.message_overhead_lines + kAckRequestLines),
      lines_per_second_(settings.channel_lines_per_second),
      window_(settings.message_window) {}

double ChannelBudget::queued_lines(Time now) const {
  return unacknowledged_lines_ + other_controller_lines_ + disconnected_lines(now);
}

double ChannelBudget::max_messages_in_window(const std::set<ProxyId>& proxies, Time now) {
  std::size_t max_count = 0;
  for (ProxyId proxy : proxies) {
    std::deque<Time>& send_times = sent_[proxy].send_times;
    while (!send_times.empty() && now - send_times.front() > window_) send_times.pop_front();
    max_count = std::max(max_count, send_times.size());
  }
  return static_cast<double>(max_count) + 1;
}

void ChannelBudget::add_lines(ProxyId proxy, double lines) {
  if (!pending_lines_.contains(proxy)) lines += message_overhead_lines_;
  pending_lines_[proxy] += lines;
  unacknowledged_lines_ += lines;
}

std::optional<std::uint32_t> ChannelBudget::finish_messages(Time now) {
  if (pending_lines_.empty()) return std::nullopt;
  sequence_number_ = static_cast<std::uint16_t>(sequence_number_ + 1);
  for (auto [proxy, lines] : pending_lines_) {
    SentMessages& sent = sent_[proxy];
    sent.unacknowledged.push_back({sequence_number_, lines});
    sent.send_times.push_back(now);
  }
  pending_lines_.clear();
  return sequence_number_;
}

void ChannelBudget::acknowledge(ProxyId proxy, std::uint32_t sequence_number) {
  auto found = sent_.find(proxy);
  if (found == sent_.end()) return;
  std::deque<Message>& queue = found->second.unacknowledged;
  auto acknowledged = std::ranges::find(queue, sequence_number, &Message::sequence_number);
  if (acknowledged == queue.end()) return;
  for (auto message = queue.begin(); message != acknowledged + 1; ++message)
    unacknowledged_lines_ -= message->lines;
  queue.erase(queue.begin(), acknowledged + 1);
}

void ChannelBudget::apply(const SharedChannelUsage& usage, Time now) {
  other_controller_lines_ = usage.queued_lines;
  for (auto [proxy, count] : usage.messages_sent) {
    std::deque<Time>& send_times = sent_[proxy].send_times;
    send_times.insert(send_times.end(), static_cast<std::size_t>(std::max(0, count)), now);
  }
}

void ChannelBudget::remove_proxy(ProxyId proxy, Time now) {
  if (auto pending = pending_lines_.extract(proxy)) unacknowledged_lines_ -= pending.mapped();
  auto found = sent_.find(proxy);
  if (found == sent_.end()) return;
  disconnected_lines_ = disconnected_lines(now);
  disconnected_lines_at_ = now;
  for (const Message& message : found->second.unacknowledged) {
    unacknowledged_lines_ -= message.lines;
    disconnected_lines_ += message.lines;
  }
  sent_.erase(found);
}

double ChannelBudget::disconnected_lines(Time now) const {
  double drained_lines = lines_per_second_ * ((now - disconnected_lines_at_) / Duration(1000));
  return std::max(0.0, disconnected_lines_ - drained_lines);
}

}  // namespace beamshunt
