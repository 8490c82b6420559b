#include "platform/watch_set.h"

#include <algorithm>
#include <cmath>

namespace beamshunt::platform {
namespace {

// Maximum size of one object in bytes: larger than the complete list of the largest fleet.
constexpr std::size_t kMaxObjectBytes = 4194304;
// Delay in ms of the first retry. Short, because discovery may only have restarted.
constexpr Ms kFirstRetryDelay = 250;
// Maximum delay in ms of a retry. Changes of the list are binding 6 s after discovery publishes them, whether
// they were received or not.
constexpr Ms kMaxRetryDelay = 2000;
// Doublings after which the first delay reaches the maximum delay.
constexpr int kMaxRetryDoublings = 3;
// Smallest factor that the jitter applies to the delay: the retries of all assigners spread over half of the
// delay.
constexpr double kMinJitterFactor = 0.5;

}  // namespace

WatchSet::Opened WatchSet::open() {
  Opened opened;
  // Only the active watch and the new one are needed. If the other ones stayed open, a burst of address
  // changes would leave one open watch per change.
  std::erase_if(watches_, [&](const auto& watch) {
    if (watch.second.is_active) return false;
    opened.superseded.push_back(watch.first);
    return true;
  });
  opened.id = ++last_id_;
  watches_.try_emplace(opened.id);
  return opened;
}

std::vector<std::string> WatchSet::receive(Id id, std::string_view bytes) {
  std::vector<std::string> objects;
  auto watch = watches_.find(id);
  if (watch == watches_.end()) return objects;
  std::string& buffer = watch->second.partial_object;
  const std::size_t searched = buffer.size();
  buffer.append(bytes);
  std::size_t begin = 0;
  while (true) {
    std::size_t end = buffer.find('\n', std::max(begin, searched));
    if (end == std::string::npos) break;
    std::string_view line = std::string_view(buffer).substr(begin, end - begin);
    if (line.find_first_not_of(" \r") != std::string_view::npos) objects.emplace_back(line);
    begin = end + 1;
  }
  buffer.erase(0, begin);
  if (buffer.size() > kMaxObjectBytes) throw WatchError("a list object exceeds the maximum size");
  return objects;
}

std::vector<WatchSet::Id> WatchSet::mark_active(Id id) {
  std::vector<Id> superseded;
  auto watch = watches_.find(id);
  if (watch == watches_.end()) return superseded;
  watch->second.is_active = true;
  consecutive_failures_ = 0;
  while (watches_.begin()->first < id) {
    superseded.push_back(watches_.begin()->first);
    watches_.erase(watches_.begin());
  }
  return superseded;
}

WatchSet::EndResult WatchSet::end(Id id, Ms now) {
  auto watch = watches_.find(id);
  if (watch == watches_.end()) return EndResult::none;
  const bool was_newest = watches_.rbegin()->first == id;
  watches_.erase(watch);
  if (!was_newest) return EndResult::none;
  const int doublings = std::min(consecutive_failures_, kMaxRetryDoublings);
  ++consecutive_failures_;
  const Ms delay = std::min(kMaxRetryDelay, kFirstRetryDelay * std::exp2(doublings));
  retry_at_ = now + delay * std::uniform_real_distribution<>(kMinJitterFactor, 1)(random_);
  return watches_.empty() ? EndResult::all_lost : EndResult::newest_lost;
}

std::vector<WatchSet::Id> WatchSet::close_all() {
  std::vector<Id> closed;
  closed.reserve(watches_.size());
  for (const auto& [id, watch] : watches_) closed.push_back(id);
  watches_.clear();
  return closed;
}

}  // namespace beamshunt::platform
