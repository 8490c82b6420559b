#include "assigner/configuration_journal.h"

#include <exception>
#include <utility>

#include "base/time.h"

namespace beamshunt::assigner {
namespace {

// Bytes of records that wait for the disk; beyond it a version is answered as not kept, so it is not lost.
constexpr std::size_t kMaxQueuedBytes = std::size_t{64} << 20;
// Memory of a record besides the text of its resources.
constexpr std::size_t kRecordBytes = 1024;

std::int64_t wall_ms() { return static_cast<std::int64_t>(base::wall_ms()); }

std::size_t size_of(const config_stream::HistoryRecord& record) {
  std::size_t size = kRecordBytes;
  if (!record.content) return size;
  for (const auto& [key, resource] : *record.content) size += resource.body.size();
  return size;
}

}  // namespace

ConfigurationJournal::ConfigurationJournal(net::Reactor& reactor, const std::string& folder,
                                           std::function<void(const std::string&)> write_failed)
    : reactor_(reactor),
      write_failed_(std::move(write_failed)),
      store_(std::shared_ptr<config_stream::Disk>(config_stream::open_folder(folder))),
      disk_(kMaxQueuedBytes) {}

ConfigurationJournal::~ConfigurationJournal() { *alive_ = false; }

void ConfigurationJournal::append_now(config_stream::HistoryRecord record) {
  record.wall_ms = wall_ms();
  store_.add(record);
}

void ConfigurationJournal::append(config_stream::HistoryRecord record, const Done& done) {
  record.wall_ms = wall_ms();
  std::size_t size = size_of(record);
  bool queued = disk_.post(size, [this, alive = alive_, record = std::move(record), done] {
    std::string failure;
    try {
      store_.add(record);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    reactor_.post([this, alive, done, failure] {
      if (!*alive) return;
      if (!failure.empty()) write_failed_(failure);
      if (done) done(failure);
    });
  });
  if (!queued && done) done("the disk is behind");
}

bool ConfigurationJournal::find_version(std::uint64_t number, VersionFound found) {
  return disk_.post(kRecordBytes, [this, alive = alive_, number, found = std::move(found)] {
    std::optional<config_stream::Version> version;
    if (const config_stream::Version* known = store_.history().find_version(number)) version = *known;
    reactor_.post([alive, found, version = std::move(version)] {
      if (*alive) found(version);
    });
  });
}

bool ConfigurationJournal::find_reverted_hash(std::uint64_t number, HashFound found) {
  return disk_.post(kRecordBytes, [this, alive = alive_, number, found = std::move(found)] {
    std::optional<std::uint64_t> hash = store_.history().reverted_hash(number);
    reactor_.post([alive, found, hash] {
      if (*alive) found(hash);
    });
  });
}

}  // namespace beamshunt::assigner
