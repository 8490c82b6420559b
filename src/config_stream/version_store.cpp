#include "config_stream/version_store.h"

#include <fmt/format.h>

#include <optional>
#include <string_view>

#include "base/archive.h"
#include "base/file.h"

namespace beamshunt::config_stream {

// Found by argument-dependent lookup, hence not in the unnamed namespace.
template <class A>
void fields(A& a, HistoryRecord& x) {
  bool has_content = x.content.has_value();
  a(x.kind, x.wall_ms, x.number, x.hash, x.to_number, x.to_hash, x.cause, x.reasons, has_content);
  if (!has_content) return;
  if (!x.content) x.content.emplace();
  a(*x.content);
}

namespace {

constexpr const char* kLogFile = "config.log";
constexpr const char* kCompactedFile = "config.log.new";  // until it is renamed over the log
constexpr std::uint16_t kFormatVersion = 1;               // of each record

std::string encode(const HistoryRecord& record) {
  base::Encoder encoder;
  encoder(kFormatVersion, record);
  return base::encode_record(encoder.bytes());
}

// `begin`: of the record in the log.
HistoryRecord decode(std::string_view payload, std::size_t begin) {
  base::Decoder decoder(payload);
  try {
    std::uint16_t format = 0;
    decoder(format);
    if (format != kFormatVersion)
      decoder.fail(fmt::format("a record of format {}, not {}", format, kFormatVersion));
    HistoryRecord record;
    decoder(record);
    decoder.expect_end();
    return record;
  } catch (const base::DecodeError& error) {
    throw StoreError(
        kLogFile, begin,
        fmt::format("{}, record at {}, byte {}: {}", kLogFile, begin, error.offset, error.what()));
  }
}

// Adds the records of the log to `history`. Returns where the whole ones end: what stands behind is a torn
// tail.
std::size_t read_records(std::string_view bytes, VersionHistory& history) {
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    std::size_t begin = offset;
    std::optional<std::string_view> payload = base::read_record(bytes, offset);
    if (!payload) {
      if (std::optional<std::size_t> next = base::find_record_after(bytes, begin))
        throw StoreError(
            kLogFile, begin,
            fmt::format("{} is damaged at byte {}; whole records follow at {}", kLogFile, begin, *next));
      return begin;
    }
    history.add(decode(*payload, begin));
  }
  return offset;
}

}  // namespace

StoreError::StoreError(std::string damaged_file, std::size_t byte, const std::string& what)
    : std::runtime_error(what), file(std::move(damaged_file)), offset(byte) {}

VersionHistory VersionStore::read_history(Disk& disk) {
  VersionHistory history;
  if (std::optional<std::string> bytes = disk.read(kLogFile)) read_records(*bytes, history);
  return history;
}

VersionStore::VersionStore(std::shared_ptr<Disk> disk, Options options)
    : disk_(std::move(disk)), options_(options) {
  disk_->remove(kCompactedFile);  // of a compaction that a kill has ended
  std::optional<std::string> bytes = disk_->read(kLogFile);
  if (!bytes) return;
  size_ = read_records(*bytes, history_);
  torn_bytes_ = bytes->size() - size_;
  if (torn_bytes_ == 0) return;
  disk_->truncate(kLogFile, size_);
  disk_->sync(kLogFile);
}

void VersionStore::add(const HistoryRecord& record) {
  std::string bytes = encode(record);
  bool is_first = size_ == 0;
  try {
    disk_->append(kLogFile, bytes);
    disk_->sync(kLogFile);
    if (is_first) disk_->sync_folder();
  } catch (const std::exception&) {
    drop_partial_record();
    throw;
  }
  size_ += bytes.size();
  history_.add(record);
  if (size_ > options_.max_bytes) compact();
}

// A full disk takes a part of a record. Were it left there, the next record would stand behind damage, and
// the next start would refuse the log. Where even this fails, the next start cuts the torn tail.
void VersionStore::drop_partial_record() {
  try {
    disk_->truncate(kLogFile, size_);
    disk_->sync(kLogFile);
  } catch (const std::exception&) {
  }
}

// The record is durable already: a compaction that fails costs only room, and is tried again at the next
// record.
void VersionStore::compact() {
  std::string bytes;
  VersionHistory compacted;
  for (const HistoryRecord& record : history_.compacted(options_.kept_versions, options_.kept_records)) {
    bytes += encode(record);
    compacted.add(record);
  }
  if (bytes.size() >= size_) return;
  try {
    disk_->remove(kCompactedFile);
    disk_->append(kCompactedFile, bytes);
    disk_->sync(kCompactedFile);
    disk_->rename(kCompactedFile, kLogFile);
  } catch (const std::exception&) {
    return;
  }
  size_ = bytes.size();
  history_ = std::move(compacted);
  try {
    disk_->sync_folder();
  } catch (const std::exception&) {  // the old file and the new one mean the same
  }
}

}  // namespace beamshunt::config_stream
