#include "assigner/state_folder.h"

#include <fcntl.h>
#include <sys/file.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "assigner/cached_list_codec.h"
#include "base/archive.h"
#include "base/file.h"
#include "base/time.h"

namespace beamshunt::assigner {

std::optional<net::Fd> lock_state(const std::string& folder) {
  std::filesystem::create_directories(folder);
  std::string file = folder + "/lock";
  net::Fd lock(::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644));
  if (!lock) throw std::runtime_error("cannot open " + file + ": " + std::strerror(errno));
  if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) return std::nullopt;
  return lock;
}

StateFolder::StateFolder(const std::string& path) : path_(path) {
  auto lock = lock_state(path);
  if (!lock) throw std::runtime_error("the state folder " + path + " is held by another process");
  lock_ = std::move(*lock);
}

std::uint64_t StateFolder::next_epoch(log::Log& log) {
  std::string file = path_ + "/epoch";
  std::uint64_t epoch = 0;
  if (auto bytes = base::read_file(file)) {
    std::size_t offset = 0;
    if (auto payload = base::read_record(*bytes, offset)) {
      base::Decoder decoder(*payload);
      decoder(epoch);
    } else {
      epoch = static_cast<std::uint64_t>(base::wall_ms());
      log.write(log::Level::error, "epoch_rejected", {{"file", file}, {"reason", "torn or damaged"}});
    }
  }
  ++epoch;
  base::Encoder encoder;
  encoder(epoch);
  base::replace_file(file, base::encode_record(encoder.bytes()));
  return epoch;
}

std::optional<EndpointCatalog> StateFolder::load_cached_list(log::Log& log) {
  for (const std::string& file : {list_file(), previous_list_file()}) {
    auto bytes = base::read_file(file);
    if (!bytes) continue;
    try {
      return decode_cached_list(*bytes);
    } catch (const CachedListError& error) {
      log.write(log::Level::error, "cached_list_rejected", {{"file", file}, {"reason", error.what()}});
    }
  }
  return std::nullopt;
}

void StateFolder::save_cached_list(const std::string& bytes) {
  std::error_code none;  // there is no list yet at the first save
  std::filesystem::remove(previous_list_file(), none);
  std::filesystem::create_hard_link(list_file(), previous_list_file(), none);
  base::replace_file(list_file(), bytes);
}

}  // namespace beamshunt::assigner
