#include "assigner/handover.h"

#include <set>
#include <utility>

namespace beamshunt::assigner {

std::vector<Event> RunningController::collect_events(Ms now) {
  while (!timers.empty() && timers.begin()->first <= now) {
    pending.emplace_back(TimerFired{timers.begin()->second});
    timers.erase(timers.begin());
  }
  return std::exchange(pending, {});
}

Handover::Handover(const Settings& settings) { controllers_.emplace(0, settings); }

std::uint32_t Handover::start_controller(const Settings& settings) {
  std::uint32_t number = newest_number() + 1;
  controllers_.emplace(number, settings);
  shares_channel_ = true;
  return number;
}

void Handover::deliver(const Event& event) {
  for (auto& [number, running] : controllers_) running.pending.push_back(event);
}

void Handover::register_proxy(ProxyId proxy) {
  owners_[proxy] = newest_number();
  newest().tables.register_proxy(proxy);
}

void Handover::remove_proxy(ProxyId proxy) {
  owners_.erase(proxy);
  for (auto& [number, running] : controllers_) running.tables.remove_proxy(proxy);
}

bool Handover::owns(std::uint32_t controller, ProxyId proxy) const {
  auto owner = owners_.find(proxy);
  return owner != owners_.end() && owner->second == controller;
}

void Handover::transfer_proxy(std::uint32_t controller, ProxyId proxy) {
  auto owner = owners_.find(proxy);
  if (owner == owners_.end() || owner->second >= controller) return;
  auto former_owner = controllers_.find(std::exchange(owner->second, controller));
  if (former_owner == controllers_.end()) return;
  former_owner->second.tables.remove_proxy(proxy);
  former_owner->second.pending.emplace_back(ProxyDisconnected{proxy});
}

std::vector<std::uint32_t> Handover::retire_replaced_controllers() {
  std::vector<std::uint32_t> retired;
  if (!in_progress()) return retired;
  std::set<std::uint32_t> owning_controllers{newest_number()};
  for (const auto& [proxy, owner] : owners_) owning_controllers.insert(owner);
  for (const auto& [number, running] : controllers_)
    if (!owning_controllers.contains(number)) retired.push_back(number);
  for (std::uint32_t number : retired) controllers_.erase(number);
  return retired;
}

void Handover::count_message(std::uint32_t controller, ProxyId proxy) {
  for (auto& [number, running] : controllers_)
    if (number != controller) ++running.other_messages[proxy];
}

void Handover::deliver_shared_channel_usage(const SessionTable::Sessions& sessions) {
  if (!shares_channel_) return;
  std::map<std::uint32_t, double> lines_by_controller;  // including retired controllers
  double total_lines = 0;
  for (const auto& [stream, session] : sessions) {
    for (const UnacknowledgedMessage& message : session.ack_tracker.messages()) {
      lines_by_controller[message.controller] += message.lines;
      total_lines += message.lines;
    }
  }
  bool any_other_lines = false;
  for (auto& [number, running] : controllers_) {
    double other_lines = total_lines - lines_by_controller[number];
    any_other_lines |= other_lines > 0;
    if (other_lines == running.other_lines && running.other_messages.empty()) continue;
    running.pending.emplace_back(SharedChannelUsage{other_lines, std::exchange(running.other_messages, {})});
    running.other_lines = other_lines;
  }
  shares_channel_ = any_other_lines || in_progress();
}

}  // namespace beamshunt::assigner
