#include "platform/list_watch.h"

#include <algorithm>
#include <cmath>

namespace beamshunt::platform {
namespace {

// Bytes of one object: more than the complete list of the largest fleet.
constexpr std::size_t kMaxObjectBytes = 4194304;
// ms to the first retry: discovery may only have restarted.
constexpr Ms kFirstRetryDelay = 250;
// ms to any retry: what discovery has to tell counts as told after 6 s, received or not.
constexpr Ms kMaxRetryDelay = 2000;
// Doublings of the delay: the first delay reaches the longest one.
constexpr int kMaxRetryDoublings = 3;
// Part of the delay that the jitter leaves at the least: assigners spread over half of it.
constexpr double kMinRetryJitter = 0.5;

}  // namespace

ListWatch::Opened ListWatch::open() {
  Opened opened;
  // The watch that serves and the one on its way are all that is ever of use. Without this, a burst of
  // address changes would hold open a watch for each.
  std::erase_if(watches_, [&](const auto& watch) {
    if (watch.second.serves) return false;
    opened.superseded.push_back(watch.first);
    return true;
  });
  opened.id = ++last_id_;
  watches_.try_emplace(opened.id);
  return opened;
}

std::vector<std::string> ListWatch::receive(Id id, std::string_view bytes) {
  std::vector<std::string> objects;
  auto watch = watches_.find(id);
  if (watch == watches_.end()) return objects;
  std::string& buffer = watch->second.unfinished;
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
  if (buffer.size() > kMaxObjectBytes) throw WatchError("an object of the list does not end");
  return objects;
}

std::vector<ListWatch::Id> ListWatch::mark_serving(Id id) {
  std::vector<Id> former;
  auto watch = watches_.find(id);
  if (watch == watches_.end()) return former;
  watch->second.serves = true;
  failures_in_a_row_ = 0;
  while (watches_.begin()->first < id) {
    former.push_back(watches_.begin()->first);
    watches_.erase(watches_.begin());
  }
  return former;
}

ListWatch::EndEffect ListWatch::end(Id id, Ms now) {
  auto watch = watches_.find(id);
  if (watch == watches_.end()) return EndEffect::none;
  const bool was_newest = watches_.rbegin()->first == id;
  watches_.erase(watch);
  if (!was_newest) return EndEffect::none;
  const int doublings = std::min(failures_in_a_row_, kMaxRetryDoublings);
  ++failures_in_a_row_;
  const Ms delay = std::min(kMaxRetryDelay, kFirstRetryDelay * std::exp2(doublings));
  retry_at_ = now + delay * std::uniform_real_distribution<>(kMinRetryJitter, 1)(random_);
  return watches_.empty() ? EndEffect::all_lost : EndEffect::newest_lost;
}

std::vector<ListWatch::Id> ListWatch::close_all() {
  std::vector<Id> closed;
  closed.reserve(watches_.size());
  for (const auto& [id, watch] : watches_) closed.push_back(id);
  watches_.clear();
  return closed;
}

}  // namespace beamshunt::platform
