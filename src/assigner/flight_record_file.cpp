#include "assigner/flight_record_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <utility>

#include "base/file.h"

namespace beamshunt::assigner {

FlightRecordFile::FlightRecordFile(net::Reactor& reactor, base::Worker& disk, log::Log& log,
                                   const std::string& path)
    : reactor_(reactor), disk_(disk), log_(log) {
  if (path.empty()) return;
  file_.reset(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644));
  if (!file_) throw std::runtime_error("cannot open the flight record " + path + ": " + std::strerror(errno));
  truncate_torn_tail(log, path);
}

void FlightRecordFile::truncate_torn_tail(log::Log& log, const std::string& path) {
  std::string bytes = base::read_file(path).value_or("");
  std::size_t whole = 0;  // bytes of records that are complete
  while (whole < bytes.size() && base::read_record(bytes, whole)) {
  }
  if (whole == bytes.size()) return;
  if (::ftruncate(file_.get(), static_cast<off_t>(whole)) != 0)
    throw std::runtime_error("cannot cut the flight record " + path + ": " + std::strerror(errno));
  log.write(log::Level::warning, "flight_record_truncated",
            {{"file", path}, {"bytes", std::to_string(bytes.size() - whole)}});
}

void FlightRecordFile::append(std::string bytes) {
  if (!file_ || ended_) return;
  std::size_t size = bytes.size();
  bool queued = disk_.post(size, [this, bytes = std::move(bytes)] { write(bytes); });
  if (!queued) end("the disk is behind");
}

void FlightRecordFile::write(std::string_view bytes) {
  while (!bytes.empty() && !ended_) {
    ssize_t written = ::write(file_.get(), bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return end(std::strerror(errno));
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
}

void FlightRecordFile::end(const std::string& reason) {
  ended_ = true;
  reactor_.post([this, reason] {
    log_.write(log::Level::error, "flight_record_ended", {{"reason", reason}});
  });
}

}  // namespace beamshunt::assigner
