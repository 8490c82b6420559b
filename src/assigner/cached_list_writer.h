// Saves the endpoint list on the disk's thread, one save at a time: what changes meanwhile is in the next.
#pragma once

#include <functional>
#include <string>

#include "assigner/state_folder.h"
#include "base/worker.h"
#include "log/log.h"
#include "net/reactor.h"

namespace beamshunt::assigner {

class CachedListWriter {
 public:
  // `list_bytes` gives the list as it is, on the reactor's thread. All arguments outlive the last save;
  // `disk` must end before this object.
  CachedListWriter(net::Reactor& reactor, base::Worker& disk, StateFolder& state, log::Log& log,
                   std::function<std::string()> list_bytes);

  // The list has changed: it is saved as soon as the disk is free. A save that fails is logged, and the next
  // change saves again.
  void list_changed();

 private:
  void save_if_changed();
  void on_saved(const std::string& failure);

  net::Reactor& reactor_;
  base::Worker& disk_;
  StateFolder& state_;
  log::Log& log_;
  std::function<std::string()> list_bytes_;
  bool changed_ = false;
  bool saving_ = false;
};

}  // namespace beamshunt::assigner
