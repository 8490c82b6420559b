// The folder of the version store, as the few operations that it needs. Tests put another one in its place,
// which stops the world at each write, sync and rename.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace beamshunt::config_stream {

// Files by name in one folder. Every operation throws a std::runtime_error that names the file and the cause;
// the real folder throws base::FileError.
class Disk {
 public:
  virtual ~Disk() = default;
  // The whole file; nothing if there is none.
  virtual std::optional<std::string> read(const std::string& file) = 0;
  // Makes the file if there is none. A failure may leave a part of `bytes` behind.
  virtual void append(const std::string& file, std::string_view bytes) = 0;
  // Leaves the first `size` bytes.
  virtual void truncate(const std::string& file, std::size_t size) = 0;
  // Returns once the file's bytes are durable.
  virtual void sync(const std::string& file) = 0;
  // Replaces `to` if it is there.
  virtual void rename(const std::string& from, const std::string& to) = 0;
  // No error if there is no such file.
  virtual void remove(const std::string& file) = 0;
  // Returns once the folder's entries are durable: new files and renames.
  virtual void sync_folder() = 0;
};

// A folder of the machine, made if it is not there. Throws std::filesystem::filesystem_error if it can't be
// made.
std::unique_ptr<Disk> open_folder(const std::string& folder);

}  // namespace beamshunt::config_stream
