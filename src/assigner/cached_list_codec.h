// The bytes of the cached endpoint list, which an assigner starts from until the discovery service answers.
// Pure: the file itself is state_folder's. The format is sealed with a checksum and carries a version; a file
// written by an older program must stay readable.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

#include "assigner/endpoint_catalog.h"

namespace beamshunt::assigner {

// Bytes that are not a cached list. what() says it for a log line.
class CachedListError : public std::runtime_error {
 public:
  // `offset` is the byte of the payload at which reading failed.
  CachedListError(std::size_t offset, const std::string& reason);
  // The checksum or the length does not fit: half written, or damaged on disk.
  CachedListError();

  [[nodiscard]] std::size_t offset() const { return offset_; }

 private:
  std::size_t offset_ = 0;
};

// The version and the listed endpoints of the catalog.
[[nodiscard]] std::string encode_cached_list(const EndpointCatalog& catalog);
// A catalog that holds what encode_cached_list() was given. Throws CachedListError.
[[nodiscard]] EndpointCatalog decode_cached_list(std::string_view bytes);

}  // namespace beamshunt::assigner
