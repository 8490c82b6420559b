#include "telemetry/sender.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <utility>

namespace beamshunt::telemetry {
namespace {

constexpr int kMaxDoublings = 20;  // any longer wait is at max_backoff
constexpr double kMinPart = 0.5;   // of a wait, so that jitter never removes the backoff

// Statuses of HTTP.
constexpr int kOk = 200;
constexpr int kRedirect = 300;
constexpr int kClientError = 400;
constexpr int kTooManyRequests = 429;
constexpr int kServerError = 500;

std::uint64_t hash(const Labels& labels) {
  std::uint64_t out = 0;
  for (const auto& [name, value] : labels) {
    out = XXH3_64bits_withSeed(name.data(), name.size(), out);
    out = XXH3_64bits_withSeed(value.data(), value.size(), out);
  }
  return out;
}

bool is_success(int status) { return status >= kOk && status < kRedirect; }

// Whether the same request may be taken later: overload, a fault of the receiver, a redirect. Any other
// status says that the request itself is wrong.
bool is_worth_retry(int status) {
  return status == kTooManyRequests || status >= kServerError || status < kClientError;
}

}  // namespace

Sender::Sender(SenderSettings settings) : settings_(settings), random_(settings.seed) {
  shards_.resize(std::max<std::size_t>(1, settings_.shards));
  for (Shard& shard : shards_) shard.max_batch = settings_.batch_samples;
}

std::size_t Sender::capacity() const {
  return pending_.size() < settings_.window ? settings_.window - pending_.size() : 0;
}

void Sender::enqueue(Position end, const Scrape& scrape, Ms now) {
  auto pending = std::make_shared<PendingScrape>(PendingScrape{end, scrape.points.size()});
  pending_.push_back(pending);
  // A series always goes by the same shard, which keeps its order: a receiver refuses samples out of order.
  for (const Point& point : scrape.points) {
    Shard& shard = shards_[hash(point.labels) % shards_.size()];
    shard.items.push_back({pending, point.labels, scrape.at_ms, point.value, now});
  }
}

std::vector<Sender::Request> Sender::take_due_requests(Ms now) {
  std::vector<Request> out;
  for (std::size_t k = 0; k < shards_.size(); ++k) {
    Shard& shard = shards_[k];
    if (ready_at(shard) > now) continue;
    shard.in_flight = std::min(shard.items.size(), shard.max_batch);
    out.push_back({k, encode_request(series_in_flight(shard))});
  }
  return out;
}

// A series' samples of several scrapes go as one run, oldest first, as the shard's order has them.
std::vector<SeriesRun> Sender::series_in_flight(const Shard& shard) {
  std::map<Labels, SeriesRun> runs;
  for (std::size_t k = 0; k < shard.in_flight; ++k) {
    const Item& item = shard.items[k];
    SeriesRun& run = runs[item.labels];
    run.labels = item.labels;
    run.samples.push_back({item.at_ms, item.value});
  }
  std::vector<SeriesRun> series;
  series.reserve(runs.size());
  for (auto& [labels, run] : runs) series.push_back(std::move(run));
  return series;
}

Ms Sender::ready_at(const Shard& shard) const {
  if (shard.in_flight > 0 || shard.items.empty()) return base::kNever;
  bool is_full = shard.items.size() >= shard.max_batch;
  if (is_full) return shard.not_before;
  return std::max(shard.not_before, shard.items.front().enqueued_at + settings_.batch_wait);
}

Ms Sender::next_deadline() const {
  Ms deadline = base::kNever;
  for (const Shard& shard : shards_) deadline = std::min(deadline, ready_at(shard));
  return deadline;
}

void Sender::on_response(std::size_t shard_index, int status, Ms retry_after, Ms now) {
  Shard& shard = shards_[shard_index];
  if (shard.in_flight == 0) return;
  if (is_success(status)) {
    sent_samples_ += shard.in_flight;
    release(shard, shard.in_flight);
    shard.max_batch = std::min(settings_.batch_samples, shard.max_batch * 2);
  } else {
    ++failed_requests_;
    if (is_worth_retry(status)) return back_off(shard, retry_after, now);
    split_rejected(shard);
  }
  shard.failures = 0;
  shard.not_before = now;
}

// The receiver will never take this batch. It is halved until the one sample that it rejects stands alone,
// and that one is given up: what came with it must not go with it.
void Sender::split_rejected(Shard& shard) {
  if (shard.in_flight == 1) {
    ++rejected_samples_;
    release(shard, 1);
  } else {
    shard.max_batch = shard.in_flight / 2;
  }
  shard.in_flight = 0;
}

void Sender::on_no_response(std::size_t shard_index, Ms now) {
  Shard& shard = shards_[shard_index];
  if (shard.in_flight == 0) return;
  ++failed_requests_;
  back_off(shard, -1, now);
}

void Sender::back_off(Shard& shard, Ms retry_after, Ms now) {
  double doubled = settings_.min_backoff * std::exp2(std::min(shard.failures, kMaxDoublings));
  ++shard.failures;
  Ms wait = std::min(settings_.max_backoff, doubled);
  // Spread at random: many assigners must not come back to the receiver at once.
  wait *= std::uniform_real_distribution<double>(kMinPart, 1)(random_);
  shard.not_before = now + std::max(wait, std::max(0.0, retry_after));
  shard.in_flight = 0;
}

// The first `count` items are sent or given up.
void Sender::release(Shard& shard, std::size_t count) {
  for (std::size_t k = 0; k < count; ++k) {
    --shard.items.front().scrape->samples_left;
    shard.items.pop_front();
  }
  shard.in_flight = 0;
  while (!pending_.empty() && pending_.front()->samples_left == 0) {
    acknowledged_ = pending_.front()->end;
    pending_.pop_front();
  }
}

std::optional<Position> Sender::take_acknowledged() { return std::exchange(acknowledged_, std::nullopt); }

}  // namespace beamshunt::telemetry
