#include "assigner/cached_list_writer.h"

#include <exception>
#include <utility>

namespace beamshunt::assigner {

CachedListWriter::CachedListWriter(net::Reactor& reactor, base::Worker& disk, StateFolder& state,
                                   log::Log& log, std::function<std::string()> list_bytes)
    : reactor_(reactor), disk_(disk), state_(state), log_(log), list_bytes_(std::move(list_bytes)) {}

void CachedListWriter::list_changed() {
  changed_ = true;
  save_if_changed();
}

void CachedListWriter::save_if_changed() {
  if (saving_ || !std::exchange(changed_, false)) return;
  std::string bytes = list_bytes_();
  std::size_t size = bytes.size();
  saving_ = disk_.post(size, [this, bytes = std::move(bytes)] {
    std::string failure;
    try {
      state_.save_cached_list(bytes);
    } catch (const std::exception& error) {
      failure = error.what();
    }
    reactor_.post([this, failure] { on_saved(failure); });
  });
  if (!saving_) log_.write(log::Level::error, "cached_list_not_saved", {{"reason", "the disk is behind"}});
}

void CachedListWriter::on_saved(const std::string& failure) {
  saving_ = false;
  if (!failure.empty()) log_.write(log::Level::error, "cached_list_not_saved", {{"reason", failure}});
  save_if_changed();
}

}  // namespace beamshunt::assigner
