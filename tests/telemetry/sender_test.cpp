// The sender against receivers of every kind, in simulated time.
#include "telemetry/sender.h"

#include <gtest/gtest.h>

#include <map>

#include "seeded_random.h"
#include "telemetry/exporter.h"

namespace beamshunt::telemetry {
namespace {

Scrape scrape(std::int64_t at, int series = 20) {
  Scrape s{at, {}};
  for (int k = 0; k < series; ++k)
    s.points.push_back({{{"__name__", "m"}, {"k", std::to_string(k)}}, static_cast<double>(at)});
  return s;
}

// A receiver in simulated time: answers as told, holds what it took.
struct Stage {
  Sender sender;
  Ms now = 0;
  std::map<Labels, std::vector<std::int64_t>> took;
  std::uint64_t posts = 0;
  Position next{1, 0};
  Position done;

  explicit Stage(SenderSettings s = {}) : sender(s) {}
  void give(std::int64_t at, int series = 20) { sender.enqueue({1, ++next.offset}, scrape(at, series), now); }
  // `answer`: the status for a request, or 0 for none at all; above 1000: 429 with Retry-After of so many ms.
  template <typename Answer>
  void run(Ms until, Answer answer) {
    while (now < until) {
      for (Sender::Request& post : sender.take_due_requests(now)) {
        ++posts;
        auto series = decode_request(post.body, 1 << 20);
        ASSERT_TRUE(series);
        int status = answer(*series);
        if (status / 100 == 2)
          for (auto& run : *series)
            for (auto& [at, value] : run.samples) {
              auto& had = took[run.labels];
              ASSERT_TRUE(had.empty() || had.back() < at) << "out of order";
              had.push_back(at);
            }
        if (status == 0) sender.on_no_response(post.shard, now + 5);
        else if (status > 1000) sender.on_response(post.shard, 429, status, now);
        else sender.on_response(post.shard, status, -1, now);
      }
      if (auto d = sender.take_acknowledged()) done = *d;
      now = std::max(now + 1, std::min(until, sender.next_deadline()));
    }
  }
};

TEST(Sender, BatchesKeepEachSeriesOrderAndTellWhatIsDone) {
  Stage s({.shards = 3, .batch_samples = 7, .batch_wait = 10});
  for (int k = 1; k <= 30; ++k) s.give(k);
  s.run(5000, [](auto&) { return 204; });
  EXPECT_EQ(s.took.size(), 20u);
  for (auto& [labels, times] : s.took) EXPECT_EQ(times.size(), 30u);
  EXPECT_EQ(s.done.offset, 30u);
  EXPECT_TRUE(s.sender.idle());
  EXPECT_EQ(s.sender.sent_samples(), 600u);
}

// The receiver is away for five minutes. It is tried at waits that grow, not without pause, and once it is
// back it gets every sample.
TEST(Sender, MinutesWithoutAReceiverLoseNothingAndAreNotKnockedThrough) {
  Stage s({.min_backoff = 100, .max_backoff = 10000});
  for (int k = 1; k <= 60; ++k) s.give(k);
  s.run(300000, [](auto&) { return 0; });
  EXPECT_LT(s.posts, 120u);  // five minutes, two shards, ten seconds at the most between two tries
  EXPECT_GT(s.posts, 40u);
  EXPECT_EQ(s.done.offset, 0u);
  s.run(330000, [](auto&) { return 200; });
  EXPECT_EQ(s.done.offset, 60u);
  for (auto& [labels, times] : s.took) EXPECT_EQ(times.size(), 60u);
}

// The receiver is overloaded and says how long to wait. It is not asked before that time, again and again,
// and nothing is lost.
TEST(Sender, AStormOf429IsHeardAndItsTimeKept) {
  Stage s({.shards = 1});
  s.give(1);
  std::vector<Ms> asked;
  s.run(60000, [&](auto&) {
    asked.push_back(s.now);
    return asked.size() < 5 ? 5000 : 200;
  });
  ASSERT_EQ(asked.size(), 5u);
  for (std::size_t k = 1; k < asked.size(); ++k) EXPECT_GE(asked[k] - asked[k - 1], 5000);
  EXPECT_EQ(s.done.offset, 1u);
}

// The receiver will never take one series and refuses each batch that holds it. That series alone is given up
// and counted; what shared a batch with it arrives.
TEST(Sender, OneSeriesThatIsRefusedIsGivenUpAloneAndCounted) {
  Stage s({.shards = 1, .batch_samples = 64, .batch_wait = 10});
  for (int k = 1; k <= 5; ++k) s.give(k);
  s.run(20000, [](const std::vector<SeriesRun>& series) {
    for (auto& run : series)
      if (run.labels[1].second == "13") return 400;
    return 200;
  });
  EXPECT_EQ(s.sender.rejected_samples(), 5u);
  EXPECT_EQ(s.took.size(), 19u);
  for (auto& [labels, times] : s.took) EXPECT_EQ(times.size(), 5u);
  EXPECT_EQ(s.done.offset, 5u);
}

// Ten times the usual series must not make requests ten times as large, which a receiver refuses: no batch is
// over its bound.
TEST(Sender, TenTimesTheUsualSeriesGoInBoundedBatches) {
  Stage s({.shards = 2, .batch_samples = 500, .batch_wait = 10});
  std::size_t most = 0;
  for (int k = 1; k <= 5; ++k) s.give(k, 1000);
  s.run(20000, [&](const std::vector<SeriesRun>& series) {
    std::size_t samples = 0;
    for (auto& run : series) samples += run.samples.size();
    most = std::max(most, samples);
    return 200;
  });
  EXPECT_EQ(most, 500u);
  EXPECT_EQ(s.took.size(), 1000u);
  for (auto& [labels, times] : s.took) EXPECT_EQ(times.size(), 5u);
}

// The wall clock steps back. A receiver refuses samples that are not newer than the last ones, so the stamps
// go on by a millisecond until the clock has caught up.
TEST(Stamp, StepsBackOfTheClockKeepTheOrderUntilItHasCaughtUp) {
  std::int64_t last = 0, before = 0;
  for (double wall : {1000.0, 2000.0, 500.0, 500.0, 1500.0, 2500.0, 2500.5}) {
    last = next_stamp(last, wall);
    EXPECT_GT(last, before);
    before = last;
  }
  EXPECT_EQ(next_stamp(2000, 500), 2001);
  EXPECT_EQ(next_stamp(2001, 9000), 9000);
}

// While the receiver is away the sender holds a bounded number of scrapes; the others wait on disk.
TEST(Sender, ItsWindowBoundsWhatItHolds) {
  Stage s({.window = 4});
  for (int k = 1; k <= 4; ++k) s.give(k);
  EXPECT_EQ(s.sender.capacity(), 0u);
  s.run(5000, [](auto&) { return 200; });
  EXPECT_EQ(s.sender.capacity(), 4u);
}

// Seeded receivers that fail in every way by chance. In the end each has each sample once, in order.
TEST(Sender, SeededFailuresLoseNothing) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Stage s({.shards = 1 + seed % 4,
             .batch_samples = 5 + seed * 3,
             .batch_wait = 20,
             .max_backoff = 500,
             .seed = seed});
    test::SeededRandom draw(seed);
    for (int k = 1; k <= 40; ++k) {
      s.give(k);
      s.run(s.now + 50, [&](auto&) -> int {
        switch (draw(6)) {
          case 0:
            return 0;
          case 1:
            return 500;
          case 2:
            return 1000 + static_cast<int>(draw(300));
          case 3:
            return 302;
          default:
            return 204;
        }
      });
    }
    s.run(s.now + 20000, [](auto&) { return 204; });
    EXPECT_EQ(s.done.offset, 40u) << seed;
    for (auto& [labels, times] : s.took) EXPECT_EQ(times.size(), 40u) << seed;
  }
}

// A fleet of ten thousand proxies must not bring down the metrics receiver: it has as many series as one of
// three.
TEST(Exporter, SeriesDoNotGrowWithProxies) {
  auto count = [](std::size_t proxies) {
    Exporter e(Labels{{"instance", "0"}});
    AssignerMetrics f;
    f.messages_in_window.assign(proxies, 3);
    f.service.push_back({"north", "read", 10, 1, 8, 1});
    f.admission_limits.push_back({"read", 5, 0});
    e.scrape(f, 1);
    return e.scrape(f, 2).points.size();
  };
  EXPECT_EQ(count(3), count(10000));
  EXPECT_LT(count(3), 80u);
}

// A counter that fell would look like a restart, and a series that just ends would be shown with its last
// value for minutes: counters only grow, and the end is marked.
TEST(Exporter, LabelsAreSortedCountersOnlyGrowAndTheEndIsMarked) {
  Exporter e(Labels{{"zone", "z"}, {"instance", "0"}});
  AssignerMetrics f;
  f.reports = 10;
  e.scrape(f, 1);
  f.reports = 7;  // can't be: a counter stays
  Scrape s = e.scrape(f, 2);
  for (const Point& p : s.points) {
    EXPECT_TRUE(std::is_sorted(p.labels.begin(), p.labels.end()));
    EXPECT_TRUE(!to_string(p.labels).starts_with("beamshunt_reports_total") || p.value == 10);
  }
  Scrape end = e.stale(3);
  EXPECT_EQ(end.points.size(), s.points.size());
  for (const Point& p : end.points) EXPECT_TRUE(is_stale_marker(p.value));
}

// A body that is no request, or a few bytes that announce gigabytes, is refused before memory is taken for
// it.
TEST(Wire, RubbishAndBombsAreNoRequests) {
  std::string good = encode_request({{{{"__name__", "m"}}, {{1, 2.0}}}});
  EXPECT_TRUE(decode_request(good, 1000));
  EXPECT_FALSE(decode_request(good, 3));
  EXPECT_FALSE(decode_request("rubbish", 1000));
  EXPECT_FALSE(decode_request(std::string("\xff\xff\xff\xff\x0f", 5) + good, 1000));
}

}  // namespace
}  // namespace beamshunt::telemetry
