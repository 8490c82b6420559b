#include "policy/channel_budget.h"

#include <algorithm>

namespace beamshunt {
namespace {

// Lines of the AckRequest that ends a message.
constexpr double kAckRequestLines = 1;

}  // namespace

ChannelBudget::ChannelBudget(const Settings& settings)
    : overhead_(settings.message_overhead_lines + kAckRequestLines),
      lines_per_second_(settings.channel_lines_per_second),
      window_(settings.message_window) {}

double ChannelBudget::queued_lines(Time now) const {
  return unacknowledged_ + shared_ + abandoned_lines(now);
}

double ChannelBudget::most_messages(const std::set<ProxyId>& proxies, Time now) {
  std::size_t most = 0;
  for (ProxyId proxy : proxies) {
    std::deque<Time>& times = sent_[proxy].times;
    while (!times.empty() && now - times.front() > window_) times.pop_front();
    most = std::max(most, times.size());
  }
  return static_cast<double>(most) + 1;
}

void ChannelBudget::add(ProxyId proxy, double lines) {
  if (!open_.contains(proxy)) lines += overhead_;
  open_[proxy] += lines;
  unacknowledged_ += lines;
}

std::optional<std::uint32_t> ChannelBudget::close(Time now) {
  if (open_.empty()) return std::nullopt;
  sequence_number_ = static_cast<std::uint16_t>(sequence_number_ + 1);
  for (auto [proxy, lines] : open_) {
    Sent& sent = sent_[proxy];
    sent.unacknowledged.push_back({sequence_number_, lines});
    sent.times.push_back(now);
  }
  open_.clear();
  return sequence_number_;
}

void ChannelBudget::acknowledge(ProxyId proxy, std::uint32_t sequence_number) {
  auto found = sent_.find(proxy);
  if (found == sent_.end()) return;
  std::deque<Message>& queue = found->second.unacknowledged;
  auto hit = std::ranges::find(queue, sequence_number, &Message::sequence_number);
  if (hit == queue.end()) return;
  for (auto message = queue.begin(); message != hit + 1; ++message) unacknowledged_ -= message->lines;
  queue.erase(queue.begin(), hit + 1);
}

void ChannelBudget::apply(const SharedChannelUsage& usage, Time now) {
  shared_ = usage.queued_lines;
  for (auto [proxy, count] : usage.messages_sent) {
    std::deque<Time>& times = sent_[proxy].times;
    times.insert(times.end(), static_cast<std::size_t>(std::max(0, count)), now);
  }
}

void ChannelBudget::forget(ProxyId proxy, Time now) {
  if (auto open = open_.extract(proxy)) unacknowledged_ -= open.mapped();
  auto found = sent_.find(proxy);
  if (found == sent_.end()) return;
  abandoned_ = abandoned_lines(now);
  abandoned_at_ = now;
  for (const Message& message : found->second.unacknowledged) {
    unacknowledged_ -= message.lines;
    abandoned_ += message.lines;
  }
  sent_.erase(found);
}

double ChannelBudget::abandoned_lines(Time now) const {
  double left = lines_per_second_ * ((now - abandoned_at_) / Duration(1000));
  return std::max(0.0, abandoned_ - left);
}

}  // namespace beamshunt
