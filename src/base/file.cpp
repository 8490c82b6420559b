#include "base/file.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <filesystem>

#include "base/archive.h"

namespace beamshunt::base {
namespace {

constexpr std::size_t kReadBlockBytes = 65536;  // one read call; most state files fit

[[noreturn]] void fail(const std::string& operation, const std::string& path) {
  throw FileError(operation, path, errno);
}

// A descriptor that is closed at the end of its scope.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  [[nodiscard]] int get() const { return fd_; }
  [[nodiscard]] bool is_open() const { return fd_ >= 0; }

 private:
  int fd_;
};

void write_all(const Descriptor& file, std::string_view bytes, const std::string& path) {
  while (!bytes.empty()) {
    ssize_t written = ::write(file.get(), bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) fail("write", path);
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

void sync_parent_folder(const std::string& path) {
  std::string folder = std::filesystem::path(path).parent_path().string();
  if (folder.empty()) folder = ".";
  Descriptor opened(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!opened.is_open() || ::fsync(opened.get()) != 0) fail("sync", folder);
}

}  // namespace

FileError::FileError(const std::string& failed, const std::string& file, int errno_value)
    : std::runtime_error("cannot " + failed + " " + file + ": " + std::strerror(errno_value)),
      operation(failed),
      path(file),
      error_number(errno_value) {}

std::optional<std::string> read_file(const std::string& path) {
  Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.is_open()) {
    if (errno == ENOENT) return std::nullopt;
    fail("open", path);
  }
  std::string out;
  char block[kReadBlockBytes];
  while (true) {
    ssize_t got = ::read(file.get(), block, sizeof block);
    if (got < 0 && errno == EINTR) continue;
    if (got < 0) fail("read", path);
    if (got == 0) return out;
    out.append(block, static_cast<std::size_t>(got));
  }
}

void replace_file(const std::string& path, std::string_view bytes) {
  std::string fresh = path + ".new";
  {
    Descriptor file(::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644));
    if (!file.is_open()) fail("create", fresh);
    write_all(file, bytes, fresh);
    if (::fsync(file.get()) != 0) fail("sync", fresh);
  }
  if (::rename(fresh.c_str(), path.c_str()) != 0) fail("rename over", path);
  sync_parent_folder(path);
}

std::string encode_record(std::string_view payload) {
  Encoder encoder;
  encoder(static_cast<std::uint32_t>(payload.size()),
          static_cast<std::uint64_t>(XXH3_64bits(payload.data(), payload.size())));
  return encoder.release().append(payload);
}

std::optional<std::string_view> read_record(std::string_view bytes, std::size_t& offset) {
  if (bytes.size() - offset < kRecordHeaderBytes) return std::nullopt;
  Decoder seal(bytes.substr(offset, kRecordHeaderBytes));
  std::uint32_t size = 0;
  std::uint64_t checksum = 0;
  seal(size, checksum);
  if (bytes.size() - offset - kRecordHeaderBytes < size) return std::nullopt;
  std::string_view payload = bytes.substr(offset + kRecordHeaderBytes, size);
  if (XXH3_64bits(payload.data(), payload.size()) != checksum) return std::nullopt;
  offset += kRecordHeaderBytes + size;
  return payload;
}

std::optional<std::size_t> find_record_after(std::string_view bytes, std::size_t offset) {
  for (std::size_t candidate = offset + 1; candidate < bytes.size(); ++candidate) {
    std::size_t end = candidate;
    if (read_record(bytes, end) && end > candidate + kRecordHeaderBytes) return candidate;
  }
  return std::nullopt;
}

}  // namespace beamshunt::base
