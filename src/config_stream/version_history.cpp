#include "config_stream/version_history.h"

#include <algorithm>
#include <ranges>
#include <set>

namespace beamshunt::config_stream {

using Kind = HistoryRecord::Kind;

const char* kind_name(Kind kind) {
  constexpr const char* kNames[] = {"accepted", "confirmed", "reverted", "rolled back", "refused",
                                    "pinned",   "unpinned",  "started",  "forgiven"};
  return kNames[static_cast<std::size_t>(kind)];
}

void VersionHistory::add(HistoryRecord record) {
  switch (record.kind) {
    case Kind::accepted:
      accept(record);
      break;
    case Kind::confirmed:
      last_good_ = {record.number, record.hash};
      break;
    case Kind::reverted:
      reverted_contents_[record.hash] =
          record.reasons.empty() ? record.cause : to_string(record.reasons.front());
      [[fallthrough]];
    case Kind::rolled_back:
      active_.reset();
      if (record.to_number != 0) active_ = {record.to_number, record.to_hash};
      starts_on_trial_ = 0;
      break;
    case Kind::started:
      ++starts_on_trial_;
      break;
    case Kind::pinned:
      pinned_ = record.number;
      break;
    case Kind::unpinned:
      pinned_.reset();
      break;
    case Kind::forgiven:
      reverted_contents_.erase(record.hash);
      break;
    case Kind::refused:
      break;
  }
  record.content.reset();  // versions_ has it
  records_.push_back(std::move(record));
}

void VersionHistory::accept(const HistoryRecord& record) {
  highest_number_ = std::max(highest_number_, record.number);
  if (record.content) {
    std::erase_if(versions_, [&](const Version& version) {
      return version.number == record.number && version.hash == record.hash;
    });
    versions_.push_back({record.number, record.hash, *record.content});
  }
  active_ = {record.number, record.hash};
  starts_on_trial_ = 0;
}

const Version* VersionHistory::find(const std::optional<VersionId>& id) const {
  if (!id) return nullptr;
  for (const Version& version : versions_)
    if (version.number == id->number && version.hash == id->hash) return &version;
  return nullptr;
}

const Version* VersionHistory::find_version(std::uint64_t number) const {
  for (const Version& version : versions_ | std::views::reverse)
    if (version.number == number) return &version;
  return nullptr;
}

std::optional<std::uint64_t> VersionHistory::reverted_hash(std::uint64_t number) const {
  for (const HistoryRecord& record : records_ | std::views::reverse)
    if (record.kind == Kind::reverted && record.number == number) return record.hash;
  return std::nullopt;
}

VersionHistory::StartVersion VersionHistory::version_to_start() const {
  if (!on_trial() || starts_on_trial_ == 0 || !last_good()) return {active(), nullptr};
  return {last_good(), active()};
}

std::vector<HistoryRecord> VersionHistory::compacted(std::size_t kept_versions,
                                                     std::size_t kept_records) const {
  std::set<VersionId> kept_contents;
  for (const Version& version : versions_ | std::views::reverse) {
    if (kept_contents.size() >= kept_versions) break;
    kept_contents.insert({version.number, version.hash});
  }
  for (const auto& id : {active_, last_good_})
    if (id) kept_contents.insert(*id);
  if (pinned_)
    if (const Version* version = find_version(*pinned_))
      kept_contents.insert({version->number, version->hash});

  std::vector<HistoryRecord> out;
  std::set<VersionId> written;
  for (std::size_t k = 0; k < records_.size(); ++k) {
    const HistoryRecord& record = records_[k];
    bool is_recent = k + 1 + kept_records > records_.size();
    // An old rejection or start means nothing any more; every other old record still does.
    bool has_meaning = record.kind != Kind::refused && record.kind != Kind::started;
    if (!is_recent && !has_meaning) continue;
    out.push_back(record);
    VersionId id{record.number, record.hash};
    if (record.kind == Kind::accepted && kept_contents.contains(id) && written.insert(id).second)
      out.back().content = find(id)->resources;
  }
  return out;
}

std::vector<HistoryRecord> rollback_records(const Version& from, const Version& to) {
  return {{.kind = Kind::rolled_back,
           .number = from.number,
           .hash = from.hash,
           .to_number = to.number,
           .to_hash = to.hash},
          {.kind = Kind::confirmed, .number = to.number, .hash = to.hash},
          {.kind = Kind::pinned, .number = to.number, .hash = to.hash}};
}

}  // namespace beamshunt::config_stream
