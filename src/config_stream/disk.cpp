#include "config_stream/disk.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <utility>

#include "base/file.h"

namespace beamshunt::config_stream {
namespace {

// A descriptor that is closed at the end of its scope.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  Descriptor& operator=(Descriptor&&) = delete;
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  [[nodiscard]] int get() const { return fd_; }
  [[nodiscard]] bool is_open() const { return fd_ >= 0; }

 private:
  int fd_;
};

class FolderDisk final : public Disk {
 public:
  explicit FolderDisk(const std::string& folder) : folder_(folder) {
    std::filesystem::create_directories(folder);
  }
  std::optional<std::string> read(const std::string& file) override { return base::read_file(path(file)); }
  void append(const std::string& file, std::string_view bytes) override {
    Descriptor opened = open(file, O_WRONLY | O_CREAT | O_APPEND);
    while (!bytes.empty()) {
      ssize_t written = ::write(opened.get(), bytes.data(), bytes.size());
      if (written < 0 && errno == EINTR) continue;
      if (written < 0) fail("write", file);
      bytes.remove_prefix(static_cast<std::size_t>(written));
    }
  }
  void truncate(const std::string& file, std::size_t size) override {
    Descriptor opened = open(file, O_WRONLY);
    if (::ftruncate(opened.get(), static_cast<off_t>(size)) != 0) fail("cut", file);
  }
  void sync(const std::string& file) override {
    Descriptor opened = open(file, O_RDONLY);
    if (::fsync(opened.get()) != 0) fail("sync", file);
  }
  void rename(const std::string& from, const std::string& to) override {
    if (::rename(path(from).c_str(), path(to).c_str()) != 0) fail("rename", from);
  }
  void remove(const std::string& file) override {
    if (::unlink(path(file).c_str()) != 0 && errno != ENOENT) fail("remove", file);
  }
  void sync_folder() override {
    Descriptor opened(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!opened.is_open() || ::fsync(opened.get()) != 0) fail("sync", "");
  }

 private:
  [[nodiscard]] Descriptor open(const std::string& file, int flags) const {
    Descriptor opened(::open(path(file).c_str(), flags | O_CLOEXEC, 0644));
    if (!opened.is_open()) fail("open", file);
    return opened;
  }
  [[nodiscard]] std::string path(const std::string& file) const { return folder_ + "/" + file; }
  [[noreturn]] void fail(const char* operation, const std::string& file) const {
    throw base::FileError(operation, path(file), errno);
  }

  std::string folder_;
};

}  // namespace

std::unique_ptr<Disk> open_folder(const std::string& folder) { return std::make_unique<FolderDisk>(folder); }

}  // namespace beamshunt::config_stream
