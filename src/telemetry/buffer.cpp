#include "telemetry/buffer.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <iterator>
#include <optional>
#include <utility>

#include "base/archive.h"
#include "base/file.h"
#include "base/parse.h"

namespace beamshunt::telemetry {
namespace {

constexpr const char* kSegmentExtension = ".seg";
constexpr const char* kAcknowledgedFile = "/taken";
constexpr std::size_t kPositionBytes = 16;  // segment and offset

// The payload of a segment's record. It names series by number; those that its segment has not named before
// come along.
struct Record {
  std::int64_t at_ms = 0;
  std::vector<std::pair<std::uint32_t, Labels>> new_series;
  std::vector<std::pair<std::uint32_t, double>> values;
};
template <class A>
void fields(A& a, Record& record) {
  a(record.at_ms, record.new_series, record.values);
}

std::optional<Record> decode(std::string_view payload) {
  Record record;
  base::Decoder decoder(payload);
  try {
    decoder(record);
    decoder.expect_end();
  } catch (const base::DecodeError&) {
    return std::nullopt;
  }
  return record;
}

// The next record of a segment's bytes; nothing at their end, and where they are torn or damaged.
std::optional<Record> next_record(std::string_view bytes, std::size_t& offset) {
  std::optional<std::string_view> payload = base::read_record(bytes, offset);
  return payload ? decode(*payload) : std::nullopt;
}

}  // namespace

std::string Buffer::file_of(std::uint64_t segment) const {
  return fmt::format("{}/{:012}{}", folder_, segment, kSegmentExtension);
}

Buffer::Buffer(std::string folder, BufferLimits limits) : folder_(std::move(folder)), limits_(limits) {
  std::filesystem::create_directories(folder_);
  load_segments();
  load_acknowledged();
  if (segments_.empty()) segments_[acknowledged_.segment + 1];
}

void Buffer::load_segments() {
  std::vector<std::uint64_t> numbers;
  for (const auto& entry : std::filesystem::directory_iterator(folder_)) {
    auto number = base::parse_number<std::uint64_t>(entry.path().stem().string());
    if (number && entry.path().extension() == kSegmentExtension) numbers.push_back(*number);
  }
  std::sort(numbers.begin(), numbers.end());
  for (std::uint64_t number : numbers) load_segment(number, number == numbers.back());
}

void Buffer::load_segment(std::uint64_t number, bool is_last) {
  std::string bytes = base::read_file(file_of(number)).value_or("");
  Segment& segment = segments_[number];
  std::size_t offset = 0;
  while (std::optional<Record> record = next_record(bytes, offset)) {
    for (const auto& [id, labels] : record->new_series) segment.series[labels] = id;
    segment.scrapes.push_back({offset, record->at_ms, record->values.size()});
    segment.bytes = offset;
  }
  if (segment.bytes == bytes.size()) return;
  // A kill tears the last segment only. Damage in another one has cost samples; how many can't be known, but
  // that there are some must be seen.
  if (!is_last) ++lost_samples_;
  if (::truncate(file_of(number).c_str(), static_cast<off_t>(segment.bytes)) != 0)
    throw base::FileError("cut", file_of(number), errno);
}

void Buffer::load_acknowledged() {
  std::optional<std::string> saved = base::read_file(folder_ + kAcknowledgedFile);
  if (!saved) return;
  std::size_t offset = 0;
  std::optional<std::string_view> payload = base::read_record(*saved, offset);
  // Damaged: from the oldest on. Sent twice is better than never, and the receiver drops what it has.
  if (!payload || payload->size() != kPositionBytes) return;
  base::Decoder decoder(*payload);
  decoder(acknowledged_.segment, acknowledged_.offset);
}

bool Buffer::write(Segment& segment, std::uint64_t number, const std::string& bytes) {
  int fd = ::open(file_of(number).c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
  if (fd < 0) return false;
  std::size_t done = 0;
  while (done < bytes.size()) {
    auto end = static_cast<off_t>(segment.bytes + done);
    ssize_t written = ::pwrite(fd, bytes.data() + done, bytes.size() - done, end);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) break;
    done += static_cast<std::size_t>(written);
  }
  bool is_whole = done == bytes.size();
  // A full disk takes a part of a record, which would hide all that is written behind it. Where even the cut
  // fails, the next record is written over it, and a restart cuts it.
  if (!is_whole) {
    [[maybe_unused]] int result = ::ftruncate(fd, static_cast<off_t>(segment.bytes));
  }
  ::close(fd);
  if (is_whole) segment.bytes += bytes.size();
  return is_whole;
}

bool Buffer::append(const Scrape& scrape) {
  auto last = std::prev(segments_.end());
  if (last->second.bytes >= limits_.segment_bytes) last = segments_.emplace(last->first + 1, Segment{}).first;
  Segment& segment = last->second;
  Record record{scrape.at_ms, {}, {}};
  for (const Point& point : scrape.points) {
    auto next_id = static_cast<std::uint32_t>(segment.series.size());
    auto [series, is_new] = segment.series.try_emplace(point.labels, next_id);
    if (is_new) record.new_series.emplace_back(series->second, point.labels);
    record.values.emplace_back(series->second, point.value);
  }
  base::Encoder encoder;
  encoder(record);
  bool written = write(segment, last->first, base::encode_record(encoder.bytes()));
  if (written) {
    segment.scrapes.push_back({segment.bytes, scrape.at_ms, scrape.points.size()});
  } else {
    // The segment has not named them: the next record must.
    for (const auto& [id, labels] : record.new_series) segment.series.erase(labels);
    lost_samples_ += scrape.points.size();
  }
  drop_oldest(scrape.at_ms);
  return written;
}

void Buffer::drop_oldest(std::int64_t now_ms) {
  while (segments_.size() > 1) {
    auto oldest = segments_.begin();
    const Segment& segment = oldest->second;
    bool is_acknowledged = acknowledged_.segment > oldest->first;
    bool is_old = !segment.scrapes.empty() && now_ms - segment.scrapes.back().at_ms > limits_.age_ms;
    if (!is_acknowledged && !is_old && bytes() <= limits_.bytes) return;
    for (const Entry& entry : segment.scrapes)
      if (Position{oldest->first, entry.end} > acknowledged_) dropped_samples_ += entry.samples;
    std::error_code ignored;  // a file that stays is taken up by the next start and dropped again
    std::filesystem::remove(file_of(oldest->first), ignored);
    segments_.erase(oldest);
  }
}

std::vector<Buffer::StoredScrape> Buffer::read(Position from, std::size_t max_scrapes) {
  std::vector<StoredScrape> out;
  for (auto at = segments_.lower_bound(from.segment); at != segments_.end(); ++at) {
    if (out.size() >= max_scrapes) break;
    const auto& [number, segment] = *at;
    bool has_any = !segment.scrapes.empty() && Position{number, segment.scrapes.back().end} > from;
    if (!has_any) continue;
    std::string bytes = base::read_file(file_of(number)).value_or("");
    std::map<std::uint32_t, Labels> series;
    std::size_t offset = 0;
    while (out.size() < max_scrapes) {
      std::optional<Record> record = next_record(bytes, offset);
      if (!record) break;
      for (const auto& [id, labels] : record->new_series) series[id] = labels;
      Position end{number, offset};
      if (end <= from) continue;
      StoredScrape stored{end, {record->at_ms, {}}};
      for (const auto& [id, value] : record->values) stored.scrape.points.push_back({series[id], value});
      out.push_back(std::move(stored));
    }
  }
  return out;
}

void Buffer::acknowledge(Position position) {
  if (position <= acknowledged_) return;
  acknowledged_ = position;
  base::Encoder encoder;
  encoder(acknowledged_.segment, acknowledged_.offset);
  base::replace_file(folder_ + kAcknowledgedFile, base::encode_record(encoder.bytes()));
}

std::uint64_t Buffer::bytes() const {
  std::uint64_t sum = 0;
  for (const auto& [number, segment] : segments_) sum += segment.bytes;
  return sum;
}

std::int64_t Buffer::newest_ms() const {
  std::int64_t newest = 0;
  for (const auto& [number, segment] : segments_)
    for (const Entry& entry : segment.scrapes) newest = std::max(newest, entry.at_ms);
  return newest;
}

std::int64_t Buffer::oldest_waiting_ms() const {
  for (const auto& [number, segment] : segments_)
    for (const Entry& entry : segment.scrapes)
      if (Position{number, entry.end} > acknowledged_) return entry.at_ms;
  return 0;
}

}  // namespace beamshunt::telemetry
