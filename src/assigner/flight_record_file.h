// The file of the flight record: what an assigner decided and what it decided it from, for replay. Appends on
// the disk's thread. After the first byte that is lost nothing more is written until the next start: a record
// with a hole would replay as a difference.
#pragma once

#include <atomic>
#include <string>

#include "base/worker.h"
#include "log/log.h"
#include "net/reactor.h"

namespace beamshunt::assigner {

class FlightRecordFile {
 public:
  // An empty `path`: no record is kept. Opens the file and cuts half a record off its end, which a kill may
  // have left: what is appended behind it could not be read. Throws std::runtime_error if it can't. `disk`
  // and `log` outlive this object or at least its last append; `disk` must end before it.
  FlightRecordFile(net::Reactor& reactor, base::Worker& disk, log::Log& log, const std::string& path);

  void append(std::string bytes);

 private:
  void truncate_torn_tail(log::Log& log, const std::string& path);
  void write(std::string_view bytes);   // on the disk's thread
  void end(const std::string& reason);  // from any thread

  net::Reactor& reactor_;
  base::Worker& disk_;
  log::Log& log_;
  net::Fd file_;
  std::atomic<bool> ended_ = false;
};

}  // namespace beamshunt::assigner
