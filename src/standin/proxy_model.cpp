#include "standin/proxy_model.h"

#include <algorithm>
#include <limits>
#include <random>

namespace beamshunt::standin {
namespace {

constexpr double kBurstSeconds = 0.25;  // of a rate level that may come at once

}  // namespace

ProxyModel::ProxyModel(ProxySpec spec) : spec_(std::move(spec)), random_(spec_.seed) {
  auto standing = std::make_shared<Table>();
  for (const Place& p : spec_.standing) standing->lines[p.endpoint] = {1, p}, used_[p.endpoint] = p;
  by_class_.assign(spec_.classes, standing);
  usage_.resize(spec_.classes), last_.resize(spec_.classes);
  for (std::size_t c = 0; c < spec_.classes; ++c) usage_[c].request_class = static_cast<std::uint16_t>(c);
}

void ProxyModel::stream_begins() {
  of_stream_.clear();
  bound_ = false;
  report_sequence_ = 0;  // what was met without a stream is told to the next one, with its whole span
}

ProxyModel::Table& ProxyModel::table(std::uint32_t number) {
  TablePtr& t = of_stream_[number];
  if (!t) t = std::make_shared<Table>();
  return *t;
}

void ProxyModel::set_level(Level& level, const native_protocol::AdmissionLimitUpdate& order) {
  level.level = order.limit;
  level.retry = order.retry_mode, level.retry_set = true;
}

void ProxyModel::apply(const native_protocol::UpdateMessage& message) {
  struct Doing {
    ProxyModel& p;
    void operator()(const native_protocol::WeightUpdate& x) {
      if (x.weight > 0)
        p.table(x.table).lines[x.endpoint] = {x.weight, {x.endpoint, x.locality, x.cell, {x.ip, x.port}}};
      else p.table(x.table).lines.erase(x.endpoint);
    }
    void operator()(const native_protocol::ClearTableUpdate& x) { p.table(x.table) = {}; }
    void operator()(const native_protocol::AssignTableUpdate& x) {
      if (!std::exchange(p.bound_, true)) p.withdrawn_.clear(), p.every_table_.clear();  // of earlier streams
      p.only_standing_ = false;
      p.table(x.table) = {};
      for (std::size_t c = 0; c < p.by_class_.size(); ++c)
        if (x.classes >> c & 1) p.by_class_[c] = p.of_stream_[x.table];
    }
    void operator()(const native_protocol::ExcludeEndpointUpdate& x) {
      if (x.excluded) p.withdrawn_.insert(x.endpoint);
      else p.withdrawn_.erase(x.endpoint);
    }
    void operator()(const native_protocol::AdmissionLimitUpdate& x) {
      for (std::size_t c = 0; c < p.by_class_.size(); ++c) {
        if (!(x.classes >> c & 1)) continue;
        p.set_level(x.table == native_protocol::kAllTables ? p.every_table_[c] : p.table(x.table).levels[c],
                    x);
      }
    }
    void operator()(const native_protocol::AckRequestUpdate&) {}
  };
  for (const native_protocol::Update& order : message.updates) std::visit(Doing{*this}, order);

  std::map<std::uint32_t, Place> now;
  for (const TablePtr& t : by_class_)
    for (auto& [endpoint, line] : t->lines)
      if (!withdrawn_.contains(endpoint)) now[endpoint] = line.place;
  for (auto& [endpoint, place] : used_)
    if (!now.contains(endpoint)) left_.push_back(place);
  used_ = std::move(now);
}

std::vector<Place> ProxyModel::take_left() { return std::exchange(left_, {}); }

bool ProxyModel::level_lets_in(Level& level, Ms now) {
  if (level.level < 0 || spec_.levels == Levels::none) return true;
  if (spec_.levels == Levels::share) return std::uniform_real_distribution<double>()(random_) < level.level;
  double most = std::max(1.0, level.level * kBurstSeconds);
  if (level.level <= 0) return false;
  level.tokens = std::min(most, level.tokens + level.level * (now - level.filled) / 1000);
  level.filled = now;
  if (level.tokens < 1) return false;
  --level.tokens;
  return true;
}

bool ProxyModel::admit(Ms now, std::size_t c) {
  auto own = by_class_[c]->levels.find(c);
  if (own != by_class_[c]->levels.end() && !level_lets_in(own->second, now)) return false;
  auto all = every_table_.find(c);
  return all == every_table_.end() || level_lets_in(all->second, now);
}

std::optional<Place> ProxyModel::pick(Ms now, std::size_t c, const std::set<std::uint32_t>& tried) {
  std::vector<const Line*> open, avoided;
  for (auto& [endpoint, line] : by_class_[c]->lines) {
    if (withdrawn_.contains(endpoint) || tried.contains(endpoint)) continue;
    (health_[endpoint].avoided_until > now ? avoided : open).push_back(&line);
  }
  if (open.empty()) open = avoided;  // never avoids all of a table
  if (open.empty()) return std::nullopt;
  auto draw = [&] {
    double sum = 0;
    for (auto* line : open) sum += line->weight;
    double at = std::uniform_real_distribution<double>(0, sum)(random_);
    for (auto* line : open) {
      at -= line->weight;
      if (at < 0) return line;
    }
    return open.back();
  };
  if (spec_.pick == Pick::round) {
    auto next = std::find_if(open.begin(), open.end(), [&](auto* l) { return l->place.endpoint > last_[c]; });
    const Place& place = (next == open.end() ? open.front() : *next)->place;
    last_[c] = place.endpoint;
    return place;
  }
  if (spec_.pick == Pick::least) {  // among several with the fewest, any: proxies must not agree on one
    int fewest = std::numeric_limits<int>::max();
    std::vector<const Line*> idle;
    for (auto* line : open) {
      int n = outstanding_[line->place.endpoint];
      if (n < fewest) idle.clear(), fewest = n;
      if (n == fewest) idle.push_back(line);
    }
    return idle[random_(static_cast<std::uint32_t>(idle.size()))]->place;
  }
  const Line* chosen = draw();
  if (spec_.pick == Pick::two) {
    const Line* other = draw();
    if (outstanding_[other->place.endpoint] < outstanding_[chosen->place.endpoint]) chosen = other;
  }
  return chosen->place;
}

void ProxyModel::ended(Ms now, std::uint32_t endpoint, bool good, Ms took,
                       const std::map<std::string, double>& load) {
  outstanding_[endpoint] = std::max(0, outstanding_[endpoint] - 1);
  Tries& t = heard_[endpoint];
  ++t.tries;
  if (good) t.latency_sum += took;
  else ++t.failed;
  if (!load.empty()) t.load = load;
  Health& h = health_[endpoint];
  h.failures = good ? 0 : h.failures + 1;
  if (spec_.avoid_after > 0 && h.failures >= spec_.avoid_after)
    h.avoided_until = now + spec_.avoid_for, h.failures = 0;
}

std::uint8_t ProxyModel::retry_mode(std::size_t c) const {
  auto own = by_class_[c]->levels.find(c);
  if (own != by_class_[c]->levels.end() && own->second.retry_set) return own->second.retry;
  return spec_.default_retry;
}

bool ProxyModel::may_retry(std::size_t c, int tries_made, bool proof) const {
  switch (retry_mode(c)) {
    case 1:
      return proof && tries_made < 2;
    case 2:
      return tries_made < 2;
    case 3:
      return tries_made < 3;
    default:
      return false;
  }
}

native_protocol::LoadReportMessage ProxyModel::report(Ms now) {
  native_protocol::LoadReportMessage out{.sequence = ++report_sequence_,
                                         .interval_ms = std::max(0.0, now - reported_at_)};
  reported_at_ = now;
  for (auto& [endpoint, t] : heard_) {
    native_protocol::EndpointReportEntry h{.endpoint = endpoint, .attempts = t.tries, .failed = t.failed};
    if (t.tries > t.failed) h.mean_latency_ms = t.latency_sum / (t.tries - t.failed);
    h.load.assign(t.load.begin(), t.load.end());
    out.endpoints.push_back(std::move(h));
  }
  heard_.clear();
  for (native_protocol::DemandReportEntry& u : usage_) {
    out.demand.push_back(u);
    u.arrivals = u.failed = u.within_objective = 0;
  }
  return out;
}

std::vector<std::uint32_t> ProxyModel::lines_of(std::size_t c) const {
  std::vector<std::uint32_t> out;
  for (auto& [endpoint, line] : by_class_[c]->lines)
    if (!withdrawn_.contains(endpoint)) out.push_back(endpoint);
  return out;
}

}  // namespace beamshunt::standin
