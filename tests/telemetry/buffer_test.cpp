// The durable buffer: torn tails, damage, bounds, full disks, a restart in the middle.
#include "telemetry/buffer.h"

#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>

#include "base/file.h"

namespace beamshunt::telemetry {
namespace {

struct BufferTest : ::testing::Test {
  std::string folder =
      (std::filesystem::temp_directory_path() / ("beamshunt-buffer-" + std::to_string(::getpid()))).string();
  BufferTest() { std::filesystem::remove_all(folder); }
  ~BufferTest() override { std::filesystem::remove_all(folder); }

  static Scrape scrape(std::int64_t at, int series = 5) {
    Scrape s{at, {}};
    for (int k = 0; k < series; ++k)
      s.points.push_back(
          {{{"__name__", "metric"}, {"k", std::to_string(k)}}, static_cast<double>(at * 10 + k)});
    return s;
  }
  static std::vector<std::int64_t> times(const std::vector<Buffer::StoredScrape>& reads) {
    std::vector<std::int64_t> out;
    for (auto& r : reads) out.push_back(r.scrape.at_ms);
    return out;
  }
  std::vector<std::string> segments() const {
    std::vector<std::string> out;
    for (auto& e : std::filesystem::directory_iterator(folder))
      if (e.path().extension() == ".seg") out.push_back(e.path().string());
    std::sort(out.begin(), out.end());
    return out;
  }
};

// The process restarts while the receiver has taken half. The next one goes on from there and sends nothing
// twice.
TEST_F(BufferTest, GivesBackWhatWasPutOverSegmentsAndRestarts) {
  BufferLimits limits{.segment_bytes = 500};
  Position half;
  {
    Buffer b(folder, limits);
    for (int k = 1; k <= 20; ++k) ASSERT_TRUE(b.append(scrape(k)));
    EXPECT_GT(segments().size(), 3u);
    auto reads = b.read({}, 100);
    ASSERT_EQ(reads.size(), 20u);
    EXPECT_EQ(reads[7].scrape.points[3].value, 83);
    EXPECT_EQ(reads[7].scrape.points[3].labels, scrape(1).points[3].labels);
    half = reads[9].end;
    b.acknowledge(half);
  }
  Buffer again(folder, limits);
  EXPECT_EQ(again.acknowledged(), half);
  EXPECT_EQ(times(again.read(half, 3)), (std::vector<std::int64_t>{11, 12, 13}));
  EXPECT_EQ(again.newest_ms(), 20);
  EXPECT_EQ(again.oldest_waiting_ms(), 11);
  ASSERT_TRUE(again.append(scrape(21)));
  EXPECT_EQ(again.read(half, 100).size(), 11u);
  EXPECT_EQ(again.lost_samples(), 0u);
}

// A new configuration brings classes and localities, and with them series that the segment has not named yet.
// Each keeps its own labels when it is read again.
TEST_F(BufferTest, TenTimesTheUsualSeriesComeBackWholeAndNewOnesInTheMiddle) {
  Buffer b(folder, {.segment_bytes = 20000});
  for (int k = 1; k <= 10; ++k) ASSERT_TRUE(b.append(scrape(k, k * 100)));
  auto reads = b.read({}, 100);
  ASSERT_EQ(reads.size(), 10u);
  for (int k = 1; k <= 10; ++k) {
    auto& points = reads[static_cast<std::size_t>(k - 1)].scrape.points;
    ASSERT_EQ(points.size(), static_cast<std::size_t>(k * 100));
    EXPECT_EQ(points.back().labels, scrape(k, k * 100).points.back().labels);
    EXPECT_EQ(points.back().value, k * 10 + k * 100 - 1);
  }
}

// The process is killed while it appends a scrape. Wherever the record is torn, the whole scrapes before it
// are read, and the next one must not stand behind the torn one, where nothing would find it.
TEST_F(BufferTest, ATornTailIsCutWhereverItIsTorn) {
  {
    Buffer b(folder, {});
    for (int k = 1; k <= 3; ++k) b.append(scrape(k));
  }
  std::string whole = *base::read_file(segments()[0]);
  for (std::size_t cut = 0; cut <= whole.size(); cut += 7) {
    base::replace_file(segments()[0], std::string_view(whole).substr(0, cut));
    Buffer b(folder, {});
    auto had = b.read({}, 100).size();
    EXPECT_LE(had, 3u);
    ASSERT_TRUE(b.append(scrape(50)));
    auto now = times(b.read({}, 100));
    ASSERT_EQ(now.size(), had + 1) << cut;
    EXPECT_EQ(now.back(), 50);
    Buffer reread(folder, {});
    EXPECT_EQ(times(reread.read({}, 100)), now);
  }
}

// The disk returns a changed byte in an old segment. What stands behind it in that segment can not be read;
// the other segments are, and the loss shows in a metric.
TEST_F(BufferTest, DamageCostsWhatStandsBehindItInItsSegmentAndIsCounted) {
  BufferLimits limits{.segment_bytes = 500};
  {
    Buffer b(folder, limits);
    for (int k = 1; k <= 12; ++k) b.append(scrape(k));
  }
  std::string bytes = *base::read_file(segments()[0]);
  bytes[20] = static_cast<char>(bytes[20] ^ 1);
  base::replace_file(segments()[0], bytes);
  Buffer b(folder, limits);
  EXPECT_GT(b.lost_samples(), 0u);
  auto left = times(b.read({}, 100));
  EXPECT_FALSE(left.empty());
  EXPECT_EQ(left.back(), 12);
}

// The receiver is away for longer than the buffer has room. The oldest samples are dropped and counted; what
// the receiver has taken is removed without being counted.
TEST_F(BufferTest, TheOldestGoFirstAndAreCountedUnlessTaken) {
  BufferLimits limits{.bytes = 2000, .segment_bytes = 500};
  Buffer b(folder, limits);
  for (int k = 1; k <= 100; ++k) b.append(scrape(k));
  EXPECT_LE(b.bytes(), 2000u + 600);
  auto left = times(b.read({}, 1000));
  EXPECT_EQ(left.back(), 100);
  EXPECT_EQ(b.dropped_samples(), (100 - left.size()) * 5);
  auto all = b.read({}, 1000);
  b.acknowledge(all.back().end);
  auto dropped = b.dropped_samples();
  for (int k = 101; k <= 130; ++k) {
    b.append(scrape(k));
    b.acknowledge(b.read(b.acknowledged(), 100).back().end);
  }
  EXPECT_EQ(b.dropped_samples(), dropped);
  EXPECT_LE(segments().size(), 2u);
}

// The receiver is away for longer than the age that samples are kept, while there is room. They are dropped
// all the same.
TEST_F(BufferTest, AgeIsABoundToo) {
  Buffer b(folder, {.segment_bytes = 300, .age_ms = 1000});
  for (int k = 0; k < 50; ++k) b.append(scrape(std::int64_t{k} * 100));
  EXPECT_GE(times(b.read({}, 100)).front(), 4900 - 1000 - 300);
  EXPECT_GT(b.dropped_samples(), 0u);
}

// The disk is full and takes a part of a scrape. That scrape is lost and counted; those before and after it
// are read, also by the next start.
TEST_F(BufferTest, AFullDiskCostsTheScrapesThatItDoesNotTake) {
  Buffer b(folder, {});
  for (int k = 1; k <= 3; ++k) ASSERT_TRUE(b.append(scrape(k)));
  rlimit old{};
  getrlimit(RLIMIT_FSIZE, &old);
  auto handler = std::signal(SIGXFSZ, SIG_IGN);
  rlimit tight = old;
  tight.rlim_cur = static_cast<rlim_t>(b.bytes() + 20);  // the next record fits in part
  setrlimit(RLIMIT_FSIZE, &tight);
  EXPECT_FALSE(b.append(scrape(4)));
  setrlimit(RLIMIT_FSIZE, &old);
  std::signal(SIGXFSZ, handler);
  EXPECT_EQ(b.lost_samples(), 5u);
  ASSERT_TRUE(b.append(scrape(5)));
  EXPECT_EQ(times(b.read({}, 100)), (std::vector<std::int64_t>{1, 2, 3, 5}));
  Buffer again(folder, {});
  EXPECT_EQ(again.read({}, 100).size(), 4u);
}

}  // namespace
}  // namespace beamshunt::telemetry
