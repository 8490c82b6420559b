#include "config_stream/store.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <iterator>
#include <set>
#include <stdexcept>

#include "base/archive.h"
#include "base/file.h"

namespace beamshunt::config_stream {

template <class A>
void fields(A& a, Record& x) {
  bool has_content = x.content.has_value();
  a(x.kind, x.wall_ms, x.number, x.hash, x.to_number, x.to_hash, x.cause, x.reasons, has_content);
  if (!has_content) return;
  if (!x.content) x.content.emplace();
  a(*x.content);
}

namespace {

constexpr const char* kFile = "config.log";
constexpr const char* kFresh = "config.log.new";
constexpr std::uint16_t kFormat = 1;

std::string encoded(const Record& record) {
  base::Encoder e;
  e(kFormat, record);
  return base::sealed(e.bytes());
}

// The records of a file and where the whole ones end.
std::size_t read_records(std::string_view bytes, Ledger& out) {
  std::size_t offset = 0;
  while (offset < bytes.size()) {
    std::size_t begin = offset;
    auto payload = base::unseal(bytes, offset);
    if (!payload) {
      for (std::size_t k = begin + 1; k < bytes.size(); ++k)
        if (std::size_t at = k; base::unseal(bytes, at) && at > k + 12)
          throw std::runtime_error(
              fmt::format("{} is damaged at byte {}; whole records follow at {}", kFile, begin, k));
      return begin;
    }
    base::Decoder d(*payload);
    std::uint16_t format = 0;
    Record record;
    try {
      d(format);
      if (format != kFormat) d.fail(fmt::format("a record of format {}, not {}", format, kFormat));
      d(record);
      d.end();
    } catch (const base::DecodeError& error) {
      throw std::runtime_error(
          fmt::format("{}, record at {}, byte {}: {}", kFile, begin, error.offset, error.what()));
    }
    out.add(std::move(record));
  }
  return offset;
}

class FolderDisk final : public Disk {
 public:
  explicit FolderDisk(const std::string& folder) : folder_(folder) {
    std::filesystem::create_directories(folder);
  }
  std::optional<std::string> read(const std::string& file) override { return base::read_file(path(file)); }
  void append(const std::string& file, std::string_view bytes) override {
    File f = open(file, O_WRONLY | O_CREAT | O_APPEND);
    while (!bytes.empty()) {
      ssize_t n = ::write(f.fd, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) fail("write", file);
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
  }
  void cut(const std::string& file, std::size_t size) override {
    File f = open(file, O_WRONLY);
    if (::ftruncate(f.fd, static_cast<off_t>(size)) != 0) fail("cut", file);
  }
  void sync(const std::string& file) override {
    File f = open(file, O_RDONLY);
    if (::fsync(f.fd) != 0) fail("sync", file);
  }
  void rename(const std::string& from, const std::string& to) override {
    if (::rename(path(from).c_str(), path(to).c_str()) != 0) fail("rename", from);
  }
  void remove(const std::string& file) override {
    if (::unlink(path(file).c_str()) != 0 && errno != ENOENT) fail("remove", file);
  }
  void sync_folder() override {
    File f{::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)};
    if (f.fd < 0 || ::fsync(f.fd) != 0) fail("sync", "");
  }

 private:
  struct File {
    int fd;
    explicit File(int descriptor) : fd(descriptor) {}
    File(File&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
    ~File() {
      if (fd >= 0) ::close(fd);
    }
  };
  File open(const std::string& file, int flags) const {
    File f(::open(path(file).c_str(), flags | O_CLOEXEC, 0644));
    if (f.fd < 0) fail("open", file);
    return f;
  }
  std::string path(const std::string& file) const { return folder_ + "/" + file; }
  [[noreturn]] void fail(const char* what, const std::string& file) const {
    throw std::runtime_error(fmt::format("cannot {} {}: {}", what, path(file), std::strerror(errno)));
  }
  std::string folder_;
};

}  // namespace

const char* kind_name(Record::Kind kind) {
  constexpr const char* kNames[] = {"accepted", "confirmed", "reverted", "rolled back", "refused",
                                    "pinned",   "unpinned",  "started",  "forgiven"};
  return kNames[static_cast<std::size_t>(kind)];
}

// ---- Ledger ----

void Ledger::add(Record r) {
  switch (r.kind) {
    case Record::Kind::accepted:
      newest_ = std::max(newest_, r.number);
      if (r.content) {
        std::erase_if(versions_, [&](const Version& v) { return v.number == r.number && v.hash == r.hash; });
        versions_.push_back({r.number, r.hash, *r.content});
      }
      in_force_ = {r.number, r.hash};
      trial_starts_ = 0;
      break;
    case Record::Kind::confirmed:
      confirmed_ = {r.number, r.hash};
      break;
    case Record::Kind::reverted:
      broken_[r.hash] = r.reasons.empty() ? r.cause : to_string(r.reasons.front());
      [[fallthrough]];
    case Record::Kind::rolled_back:
      in_force_.reset();
      if (r.to_number != 0) in_force_ = {r.to_number, r.to_hash};
      trial_starts_ = 0;
      break;
    case Record::Kind::started:
      ++trial_starts_;
      break;
    case Record::Kind::pinned:
      pinned_ = r.number;
      break;
    case Record::Kind::unpinned:
      pinned_.reset();
      break;
    case Record::Kind::forgiven:
      broken_.erase(r.hash);
      break;
    case Record::Kind::refused:
      break;
  }
  r.content.reset();  // versions_ has it
  records_.push_back(std::move(r));
}

const Version* Ledger::find(const std::optional<Id>& id) const {
  if (!id) return nullptr;
  for (const Version& v : versions_)
    if (v.number == id->first && v.hash == id->second) return &v;
  return nullptr;
}

const Version* Ledger::version(std::uint64_t number) const {
  for (auto v = versions_.rbegin(); v != versions_.rend(); ++v)
    if (v->number == number) return &*v;
  return nullptr;
}

std::optional<std::uint64_t> Ledger::hash_gone_back(std::uint64_t number) const {
  for (auto r = records_.rbegin(); r != records_.rend(); ++r)
    if (r->kind == Record::Kind::reverted && r->number == number) return r->hash;
  return std::nullopt;
}

std::vector<Record> rollback(const Version& from, const Version& to) {
  using Kind = Record::Kind;
  return {{.kind = Kind::rolled_back,
           .number = from.number,
           .hash = from.hash,
           .to_number = to.number,
           .to_hash = to.hash},
          {.kind = Kind::confirmed, .number = to.number, .hash = to.hash},
          {.kind = Kind::pinned, .number = to.number, .hash = to.hash}};
}

const Version* Ledger::to_start(const Version** abandoned) const {
  *abandoned = nullptr;
  const Version* now = in_force();
  if (!on_trial() || trial_starts_ == 0 || !confirmed()) return now;
  *abandoned = now;
  return confirmed();
}

std::vector<Record> Ledger::compacted(std::size_t versions, std::size_t records) const {
  std::set<Id> whole;  // contents that stay
  for (auto v = versions_.rbegin(); v != versions_.rend() && whole.size() < versions; ++v)
    whole.insert({v->number, v->hash});
  for (auto& id : {in_force_, confirmed_})
    if (id) whole.insert(*id);
  if (pinned_)
    if (const Version* v = version(*pinned_)) whole.insert({v->number, v->hash});
  std::vector<Record> out;
  std::size_t k = 0;
  std::set<Id> written;
  for (const Record& r : records_) {
    bool recent = ++k + records > records_.size();
    Id id{r.number, r.hash};
    // An old record that still means something stays; refusals and starts mean nothing once they are old.
    bool means = r.kind != Record::Kind::refused && r.kind != Record::Kind::started;
    if (!recent && !means) continue;
    out.push_back(r);
    if (r.kind == Record::Kind::accepted && whole.contains(id) && written.insert(id).second)
      out.back().content = find(id)->resources;
  }
  return out;
}

// ---- Store ----

std::unique_ptr<Disk> folder_disk(const std::string& folder) { return std::make_unique<FolderDisk>(folder); }

Ledger Store::look(Disk& disk) {
  Ledger out;
  if (auto bytes = disk.read(kFile)) read_records(*bytes, out);
  return out;
}

Store::Store(std::shared_ptr<Disk> disk, Options options) : disk_(std::move(disk)), options_(options) {
  disk_->remove(kFresh);  // of a compaction that a kill has ended
  auto bytes = disk_->read(kFile);
  if (!bytes) return;
  size_ = read_records(*bytes, ledger_);
  cut_bytes_ = bytes->size() - size_;
  if (cut_bytes_ == 0) return;
  disk_->cut(kFile, size_);
  disk_->sync(kFile);
}

void Store::add(const Record& record) {
  std::string bytes = encoded(record);
  bool first = size_ == 0;
  try {
    disk_->append(kFile, bytes);
    disk_->sync(kFile);
    if (first) disk_->sync_folder();
  } catch (const std::exception&) {
    // Half a record must not stand before the next one. Where even the cut fails, the next start makes it.
    try {
      disk_->cut(kFile, size_);
      disk_->sync(kFile);
    } catch (const std::exception&) {
    }
    throw;
  }
  size_ += bytes.size();
  ledger_.add(record);
  if (size_ > options_.most_bytes) compact();
}

// The record is kept already: a compaction that fails costs only room, and is tried at the next record.
void Store::compact() {
  std::string bytes;
  Ledger fresh;
  for (const Record& r : ledger_.compacted(options_.versions, options_.records))
    bytes += encoded(r), fresh.add(r);
  if (bytes.size() >= size_) return;
  try {
    disk_->remove(kFresh);
    disk_->append(kFresh, bytes);
    disk_->sync(kFresh);
    disk_->rename(kFresh, kFile);
  } catch (const std::exception&) {
    return;
  }
  size_ = bytes.size();
  ledger_ = std::move(fresh);
  try {
    disk_->sync_folder();
  } catch (const std::exception&) {  // either file means the same
  }
}

}  // namespace beamshunt::config_stream
