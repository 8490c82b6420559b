#include "platform/list_watch.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace beamshunt::platform {
namespace {

constexpr std::size_t kMostObject = 4 * 1048576;  // bytes
// ms to the first retry, and to any: what discovery has to tell counts as told 6 s later, heard or not.
constexpr Ms kRetryFirst = 250, kRetryMost = 2000;
constexpr int kRetryDoublings = 3;

}  // namespace

ListWatch::Number ListWatch::open(std::vector<Number>& closed) {
  // One that tells and one that is on its way are all that is ever of use: a burst of moves opens no more.
  std::erase_if(watches_, [&](auto& watch) {
    if (watch.second.tells) return false;
    closed.push_back(watch.first);
    return true;
  });
  watches_[++last_];
  return last_;
}

std::vector<std::string> ListWatch::bytes(Number number, std::string_view piece) {
  std::vector<std::string> objects;
  auto watch = watches_.find(number);
  if (watch == watches_.end()) return objects;
  std::string& begun = watch->second.begun;
  std::size_t looked = begun.size(), from = 0;
  begun.append(piece);
  for (std::size_t end; (end = begun.find('\n', std::max(from, looked))) != begun.npos; from = end + 1) {
    std::string_view line = std::string_view(begun).substr(from, end - from);
    if (line.find_first_not_of(" \r") != line.npos) objects.emplace_back(line);
  }
  begun.erase(0, from);
  if (begun.size() > kMostObject) throw std::runtime_error("an object of the list does not end");
  return objects;
}

std::vector<ListWatch::Number> ListWatch::tells(Number number) {
  std::vector<Number> former;
  auto watch = watches_.find(number);
  if (watch == watches_.end()) return former;
  watch->second.tells = true;
  failures_ = 0;
  while (watches_.begin()->first < number) {
    former.push_back(watches_.begin()->first);
    watches_.erase(watches_.begin());
  }
  return former;
}

ListWatch::Loss ListWatch::ended(Number number, Ms now) {
  auto watch = watches_.find(number);
  if (watch == watches_.end()) return Loss::none;
  bool newest = watches_.rbegin()->first == number;
  watches_.erase(watch);
  if (!newest) return Loss::none;
  Ms wait = std::min(kRetryMost, kRetryFirst * std::exp2(std::min(failures_++, kRetryDoublings)));
  retry_at_ = now + wait * std::uniform_real_distribution<>(0.5, 1)(random_);
  return watches_.empty() ? Loss::list_lost : Loss::newest;
}

std::vector<ListWatch::Number> ListWatch::close_all() {
  std::vector<Number> all;
  for (auto& [number, watch] : watches_) all.push_back(number);
  watches_.clear();
  return all;
}

}  // namespace beamshunt::platform
