// What is sent to the metrics receiver, and when: shards that keep each series' order, bounded batches, what
// a response means, how long to wait. Pure: scrapes, responses and times go in, requests come out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "base/time.h"
#include "telemetry/buffer.h"
#include "telemetry/remote_write.h"

namespace beamshunt::telemetry {

using base::Ms;

struct SenderSettings {
  std::size_t shards = 2;            // each with one request in flight
  std::size_t batch_samples = 2000;  // of one request
  Ms batch_wait = 1000;              // a batch that is not full leaves after this
  std::size_t window = 64;           // scrapes held in memory
  Ms min_backoff = 200;              // after the first failure; doubled from failure to failure
  Ms max_backoff = 30000;
  std::uint64_t seed = 1;  // of the backoff's jitter
  bool operator==(const SenderSettings&) const = default;
};

class Sender {
 public:
  struct Request {
    std::size_t shard = 0;  // to be named with the response
    std::string body;
  };
  explicit Sender(SenderSettings settings);

  // How many scrapes it would take now.
  [[nodiscard]] std::size_t capacity() const;
  // `end`: the scrape's position in the buffer. Scrapes come in the buffer's order.
  void enqueue(Position end, const Scrape& scrape, Ms now);

  // The requests that are due; their shards wait for a response from then on.
  std::vector<Request> take_due_requests(Ms now);
  // When the next request is due, which may lie in the past; base::kNever if only a response or a scrape can
  // change it.
  [[nodiscard]] Ms next_deadline() const;

  // The receiver's response to the request of a shard, as Request::shard names it. `status`: of HTTP.
  // `retry_after`: the wait that it asks for, in ms; below 0: it named none.
  void on_response(std::size_t shard_index, int status, Ms retry_after, Ms now);
  // No response: not reached, too late, broken.
  void on_no_response(std::size_t shard_index, Ms now);

  // The position behind the last scrape that all shards are done with; nothing if it has not moved since the
  // last call.
  std::optional<Position> take_acknowledged();

  [[nodiscard]] std::uint64_t sent_samples() const { return sent_samples_; }  // taken by the receiver
  [[nodiscard]] std::uint64_t rejected_samples() const {
    return rejected_samples_;
  }  // that it will never take
  [[nodiscard]] std::uint64_t failed_requests() const { return failed_requests_; }
  // Whether all that was given is done.
  [[nodiscard]] bool idle() const { return pending_.empty(); }

 private:
  // A scrape, until all its samples are sent or given up.
  struct PendingScrape {
    Position end;
    std::size_t samples_left = 0;
  };
  struct Item {
    std::shared_ptr<PendingScrape> scrape;
    Labels labels;
    std::int64_t at_ms = 0;
    double value = 0;
    Ms enqueued_at = 0;
  };
  struct Shard {
    std::deque<Item> items;
    std::size_t in_flight = 0;  // of the first items; 0: no request is out
    std::size_t max_batch = 0;  // halved to find what the receiver rejects, doubled afterwards
    int failures = 0;           // in a row
    Ms not_before = 0;
  };
  [[nodiscard]] Ms ready_at(const Shard& shard) const;
  static std::vector<SeriesRun> series_in_flight(const Shard& shard);
  void release(Shard& shard, std::size_t count);
  void split_rejected(Shard& shard);
  void back_off(Shard& shard, Ms retry_after, Ms now);

  SenderSettings settings_;
  pcg32 random_;
  std::vector<Shard> shards_;
  std::deque<std::shared_ptr<PendingScrape>> pending_;
  std::optional<Position> acknowledged_;
  std::uint64_t sent_samples_ = 0;
  std::uint64_t rejected_samples_ = 0;
  std::uint64_t failed_requests_ = 0;
};

}  // namespace beamshunt::telemetry
